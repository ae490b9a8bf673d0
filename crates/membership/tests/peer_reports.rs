//! Hints between members, and the limits on peers' reports about servers.

mod common;

use bellcroft_balancer::Time;
use bellcroft_membership::{Id, PeerReports, ReportVerdict, MAX_HINT_BYTES};
use common::*;

#[test]
fn hints_are_sent_only_to_reachable_members() {
    let mut fleet = fleet(3, 1);
    let mut sent = Vec::new();
    fleet.with(0, |peer, now, out| sent.push(peer.send_hint(now, Id(1), vec![1, 2, 3, 4], out)));
    fleet.with(0, |peer, now, out| sent.push(peer.send_hint(now, Id(1), vec![0; MAX_HINT_BYTES + 1], out)));
    fleet.with(0, |peer, now, out| sent.push(peer.send_hint(now, Id(9), vec![1], out)));
    fleet.play(seconds(0.1));
    assert_eq!(sent, [true, false, false]);
    assert_eq!(fleet.hints, [(1, Id(0), vec![1, 2, 3, 4])]);
}

#[test]
fn reports_are_bounded_by_peer_and_by_servers() {
    let mut reports = PeerReports::default();
    let now = Time(1_000_000);
    let server = |n: u32| n.to_be_bytes().to_vec();
    // One peer reports one server after another, unconfirmed, until its burst is exhausted.
    let verdicts: Vec<ReportVerdict> =
        (0..8).map(|n| reports.on_report(now, Id(1), &server(n), 40)).collect();
    assert_eq!(verdicts, [ReportVerdict::Unconfirmed; 8]);
    assert_eq!(reports.on_report(now, Id(1), &server(8), 40), ReportVerdict::RateLimited);
    // A second peer confirms the reports. All peers together can have at most 10 of the 40 servers reported.
    let second: Vec<ReportVerdict> = (0..8).map(|n| reports.on_report(now, Id(2), &server(n), 40)).collect();
    assert_eq!(second, [ReportVerdict::Accepted; 8]);
    let report_by_two_peers = |n: u32| [Id(3), Id(4)].map(|by| reports.on_report(now, by, &server(n), 40));
    let verdicts: Vec<[ReportVerdict; 2]> = [8, 9, 10].map(report_by_two_peers).into();
    let (accepted, rejected) = (
        [ReportVerdict::Unconfirmed, ReportVerdict::Accepted],
        [ReportVerdict::TooManyServers, ReportVerdict::TooManyServers],
    );
    assert_eq!(
        verdicts,
        [accepted, accepted, rejected],
        "the eleventh server exceeds a quarter of the servers"
    );
    assert_eq!(
        reports.on_report(now, Id(3), &server(9), 40),
        ReportVerdict::Accepted,
        "the server already counts as reported"
    );
    let later = now + seconds(5.0);
    assert_eq!(
        reports.on_report(later, Id(3), &server(10), 40),
        ReportVerdict::Unconfirmed,
        "the former reports have expired, so this one is unconfirmed"
    );
    assert_eq!(
        reports.on_report(later, Id(4), &server(10), 40),
        ReportVerdict::Accepted,
        "the former reported servers have expired, so there is room for another"
    );
    assert_eq!(
        [5, 6].map(|by| reports.on_report(later, Id(by), &server(1), 1))[1],
        ReportVerdict::TooManyServers,
        "a report of the only server is never accepted"
    );
}
