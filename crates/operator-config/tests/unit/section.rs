//! The distance by which typing errors of keys are recognised.

use super::*;

#[test]
fn edit_distance_counts_changed_letters() {
    for (a, b, far) in [("state", "state", 0), ("state", "sate", 1), ("state", "stats", 1), ("", "abc", 3)] {
        assert_eq!(edit_distance(a, b), far, "{a} {b}");
    }
}
