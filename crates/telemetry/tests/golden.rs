//! Golden test of the remote-write bodies in both versions, before and after compression.

use bellcroft_telemetry::{encode, Family, Kind, Registry, Version};
use expect_test::expect_file;
use std::fmt::Write;

const AT_MS: i64 = 1_700_000_000_500;
const CREATED_MS: i64 = 1_700_000_000_000;

fn registry() -> Registry {
    let registry = Registry::new(&[("instance".into(), "desk-1".into()), ("job".into(), "bellcroft".into())]);
    let family =
        |name, kind, labels, bounds| Family { name, help: "Help.", kind, labels, max_series: 100, bounds };
    let requests = family("bellcroft_requests_total", Kind::Counter, &["class", "outcome"][..], Vec::new());
    registry.counter(&requests, &["read", "served"]).inc_by(3.0);
    registry.counter(&requests, &["read", "refused"]).inc();
    let servers = family("bellcroft_servers", Kind::Gauge, &["state"][..], Vec::new());
    registry.gauge(&servers, &["up"]).set(12.5);
    let response_times = family("bellcroft_answer_seconds", Kind::Histogram, &["class"][..], vec![0.25, 1.5]);
    registry.histogram(&response_times, &["read"]).observe(0.3);
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
