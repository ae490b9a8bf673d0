//! Tests of [`parse`]: it reports all errors of a text, each with its line.

use super::*;
use std::time::Duration;

#[test]
fn all_errors_are_reported_with_their_lines() {
    let text = "a = 1\n[daemon]\nstte = \"x\"\nevery = \"soon\"\ncount = 70000\n";
    let errors = parse(Path::new("f.toml"), text, |top| {
        let daemon = top.section("daemon");
        daemon.path("state");
        daemon.time("every", Duration::from_millis(1)..=Duration::from_secs(1));
        daemon.count("count", 1..=100);
    })
    .expect_err("the text should be invalid");
    let lines: Vec<String> = errors.iter().map(FileError::to_string).collect();
    assert_eq!(lines, [
        "f.toml:1: a: is no known key; known are daemon",
        "f.toml:3: daemon.stte: is no known key; did you mean state?",
        "f.toml:4: daemon.every: is \"soon\"; a time such as \"200ms\" or \"2s\", from 1ms to 1s, was expected",
        "f.toml:5: daemon.count: is 70000; a whole number from 1 to 100 was expected",
    ]);
}

#[test]
fn malformed_toml_reports_lines_and_no_missing_keys() {
    let errors = parse(Path::new("f.toml"), "[daemon\nx = = 1\n", |top| {
        let section = top.section("daemon");
        let state = section.path("state");
        section.required("state", state, "a path");
    })
    .expect_err("the text should be invalid");
    assert!(errors.iter().all(|e| e.key.is_empty() && e.line > 0), "{errors:?}");
    assert!(errors.len() >= 2, "both lines should be reported: {errors:?}");
}
