//! Golden test of the segment format: the bytes that are written, and reading a file that was written earlier.

use bellcroft_attempt_log::segment::{self, Header, Item};
use bellcroft_attempt_log::{FinalResponse, Incarnation, Outcome, Record};
use expect_test::expect_file;
use std::fmt::Write;

fn header() -> Header {
    Header {
        incarnation: Incarnation(0x0102_0304_0506_0708),
        sequence: 3,
        instance: "desk-1".into(),
        started_ms: 1_700_000_000_000,
    }
}

/// Records of two received requests, and of two attempts of the first one.
fn sent_records() -> Vec<Record> {
    vec![
        Record::Received {
            request: 1,
            id: b"request-1".to_vec(),
            key: b"key-1".to_vec(),
            class: "log-session".into(),
            tenant: "acme".into(),
            wall_ms: 1_700_000_000_123,
            at_us: 123_000,
            deadline_us: 2_623_000,
        },
        Record::Received {
            request: 300,
            id: vec![0xff, 0x00],
            key: Vec::new(),
            class: "assign-session".into(),
            tenant: String::new(),
            wall_ms: 1_700_000_000_124,
            at_us: 124_000,
            deadline_us: 2_624_000,
        },
        Record::Intent {
            request: 1,
            attempt: 0,
            server: "server-1".into(),
            address: "127.0.0.1:8080".into(),
            at_us: 125_000,
            remaining_window_us: Some(7_500_000),
            written_late: false,
        },
        Record::Intent {
            request: 1,
            attempt: 1,
            server: "server-2".into(),
            address: "127.0.0.1:8081".into(),
            at_us: 126_000,
            remaining_window_us: None,
            written_late: true,
        },
    ]
}

fn records() -> Vec<Record> {
    let mut records = sent_records();
    let outcomes =
        [Outcome::Answered, Outcome::Rejected, Outcome::NotSent, Outcome::Unknown, Outcome::ServerError];
    for (attempt, outcome) in (0..).zip(outcomes) {
        records.push(Record::Outcome { request: 1, attempt, outcome, at_us: 130_000 });
    }
    for response in [FinalResponse::Served, FinalResponse::Rejected, FinalResponse::Failed] {
        records.push(Record::Completed { request: 1, response, at_us: 140_000 });
    }
    records.push(Record::ClientDisconnected { request: 300, at_us: 150_000 });
    records.push(Record::Gap { lost_records: 12, from_us: 160_000, to_us: 170_000 });
    records
}

fn hex(bytes: &[u8]) -> String {
    let mut text = String::new();
    for line in bytes.chunks(32) {
        for byte in line {
            write!(text, "{byte:02x}").expect("a string grows");
        }
        text.push('\n');
    }
    text
}

fn unhex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    let byte =
        |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).expect("digits"), 16).expect("a byte");
    digits.chunks(2).map(byte).collect()
}

#[test]
fn segment_bytes_match_golden_file() {
    let mut bytes = segment::encode_header(&header()).expect("header is encodable");
    for record in records() {
        segment::append_record(&record, &mut bytes).expect("record is encodable");
    }
    expect_file!["golden/segment.hex"].assert_eq(&hex(&bytes));
}

#[test]
fn segment_written_earlier_is_read_completely() {
    let bytes = unhex(include_str!("golden/segment.hex"));
    let (actual_header, items) = segment::open(&bytes).expect("a segment");
    assert_eq!(actual_header, header());
    let read: Vec<Record> = items
        .map(|item| match item {
            Item::Record(record, _) => record,
            other => panic!("expected a record, got {other:?}"),
        })
        .collect();
    assert_eq!(read, records());
}
