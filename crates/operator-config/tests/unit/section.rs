//! Tests of the edit distance that suggests known keys for mistyped ones.

use super::*;

#[test]
fn edit_distance_counts_insertions_deletions_and_substitutions() {
    for (a, b, expected) in
        [("state", "state", 0), ("state", "sate", 1), ("state", "stats", 1), ("", "abc", 3)]
    {
        assert_eq!(edit_distance(a, b), expected, "{a} {b}");
    }
}
