//! The bodies of remote write in both versions, before compression and as they are sent.

use bellcroft_telemetry::{encode, Family, Kind, Registry, Version};
use expect_test::expect_file;
use std::fmt::Write;

const AT_MS: i64 = 1_700_000_000_500;
const CREATED_MS: i64 = 1_700_000_000_000;

fn registry() -> Registry {
    let registry = Registry::new(&[("instance".into(), "desk-1".into()), ("job".into(), "bellcroft".into())]);
    let family =
        |name, kind, labels, bounds| Family { name, help: "Help.", kind, labels, max_series: 100, bounds };
    let counted = family("bellcroft_requests_total", Kind::Counter, &["class", "outcome"][..], Vec::new());
    registry.counter(&counted, &["read", "served"]).inc_by(3.0);
    registry.counter(&counted, &["read", "refused"]).inc();
    let known = family("bellcroft_servers", Kind::Gauge, &["state"][..], Vec::new());
    registry.gauge(&known, &["up"]).set(12.5);
    let times = family("bellcroft_answer_seconds", Kind::Histogram, &["class"][..], vec![0.25, 1.5]);
    registry.histogram(&times, &["read"]).observe(0.3);
    registry
}

#[test]
fn remote_write_bodies_match_golden_file() {
    let samples = registry().gather();
    let mut text = String::new();
    for version in [Version::V1, Version::V2] {
        writeln!(text, "{} {}", version.content_type(), version.header()).expect("a string grows");
        let body = encode(version, &samples, AT_MS, CREATED_MS);
        let plain = snap::raw::Decoder::new().decompress_vec(&body).expect("a snappy block");
        for bytes in [plain, body] {
            for line in bytes.chunks(32) {
                line.iter().for_each(|byte| write!(text, "{byte:02x}").expect("a string grows"));
                text.push('\n');
            }
        }
    }
    expect_file!["golden/remote_write.txt"].assert_eq(&text);
}
