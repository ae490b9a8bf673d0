//! Files of faults: the shipped ones, and bad ones.

use std::path::Path;
use testbed::faults::Timeline;

#[test]
fn the_shipped_timelines_are_good() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/faults");
    let files: Vec<_> = std::fs::read_dir(folder).expect("a folder").flatten().collect();
    assert!(!files.is_empty());
    for file in files {
        let timeline = Timeline::read(&file.path()).unwrap_or_else(|why| panic!("{why}"));
        assert!(
            timeline.troubles.windows(2).all(|pair| pair[0].at <= pair[1].at),
            "in the order of their times"
        );
    }
}

#[test]
fn what_is_wrong_with_one_is_told_with_its_place() {
    let head = "name = \"x\"\ninstances = 3\nservers = 2\nrate = 5.0\nseconds = 10.0\n";
    let trouble = |at: &str, what: &str| format!("{head}[[troubles]]\nat = {at}\nwhat = {{ {what} }}\n");
    let cases = [
        (trouble("1.0", "kind = \"kill\", instances = [3]"), "troubles[0] at 1: no instance 3; there are 3"),
        (trouble("11.0", "kind = \"kill\", instances = [1]"), "comes after the quiet tail begins at 10"),
        (trouble("1.0", "kind = \"drain\", servers = [2]"), "no server 2; there are 2"),
        (trouble("1.0", "kind = \"link\", from = [\"i9\"], to = [\"i*\"]"), "no place i9"),
        (trouble("1.0", "kind = \"link\", from = [\"x1\"], to = [\"i*\"]"), "\"x1\" is no place"),
        (
            trouble("1.0", "kind = \"link\", from = [\"i1\"], to = [\"i*\"], link = { loss = 1.5 }"),
            "a link's shares are from 0 to 1",
        ),
        (trouble("1.0", "kind = \"cut\", from = 0, to = 1, on = true"), "use link here"),
        (
            trouble("-1.0", "kind = \"kill\", instances = [1]"),
            "a trouble's time is finite and not below zero",
        ),
        (head.replace("instances = 3", "instances = 0"), "instances are 1 to 60"),
        (head.replace("rate = 5.0", "rate = 5.0\nrates = 1"), "unknown field `rates`"),
    ];
    for (text, expected) in cases {
        let why = Timeline::parse(&text).expect_err(&text);
        assert!(why.contains(expected), "{why}\ninstead of {expected}");
    }
}
