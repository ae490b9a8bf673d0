//! Helpers of the membership tests with whole processes.
#![allow(dead_code)]

use std::time::Duration;
use testbed::faults::{member_change, Cluster, Shape, Stage};

/// The numbers below `count` without some.
pub fn all_except(count: usize, excluded: &[usize]) -> Vec<usize> {
    (0..count).filter(|n| !excluded.contains(n)).collect()
}

/// A stage whose members all hold each other for alive, under traffic of `rate` requests a second.
pub async fn converged_stage(shape: Shape, rate: f64, timeout: Duration) -> Stage {
    let stage = Stage::start(shape, rate, 100_000, timeout).await;
    assert!(stage.cluster.agree(timeout).await.is_some(), "the views converge");
    stage
}

/// How often a member was declared dead by any of these, by their logs since a time.
pub fn deaths_logged(cluster: &Cluster, by: &[usize], of: usize, since: f64) -> usize {
    let text = member_change(of, "dead");
    by.iter().map(|n| cluster.journal.count(&format!("i{n}"), since, &text)).sum()
}

/// The same for several members.
pub fn all_deaths_logged(cluster: &Cluster, by: &[usize], of: &[usize], since: f64) -> usize {
    of.iter().map(|of| deaths_logged(cluster, by, *of, since)).sum()
}

/// How often an instance logged datagrams of a member from another address, since a time.
pub fn mismatches_logged(cluster: &Cluster, by: usize, of: usize, since: f64) -> usize {
    let (who, member) = (format!("i{by}"), format!("member={of} "));
    let entries = cluster.journal.entries().into_iter();
    entries
        .filter(|entry| entry.who == who && entry.at >= since)
        .filter(|entry| entry.what.contains("member address mismatch") && entry.what.contains(&member))
        .count()
}
