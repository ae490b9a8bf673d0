//! Every series that an instance sends, with its labels and help, as the operators' page has it.

use expect_test::expect_file;

#[test]
fn table_of_series_matches_golden_file() {
    expect_file!["golden/metrics.md"].assert_eq(&testbed::metrics_table());
}
