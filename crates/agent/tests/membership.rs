//! Membership of whole processes with faulty links between them, under traffic.

mod membership_support;

use bellcroft_simulation::What;
use membership_support::*;
use std::time::Duration;
use testbed::faults::{Cluster, Shape, Stage};
use testbed::*;
use tokio::net::UdpSocket;
use tokio::time::Instant;

/// Far past the bound on the operators' page for twelve on healthy links, as the machine may be busy.
const SOON: Duration = Duration::from_secs(40);

/// Twelve processes under steady traffic through crash, stall, partition, a one-way cut and healing.
#[tokio::test(flavor = "multi_thread")]
async fn fleet_serves_through_crash_stall_partition_and_cut() {
    let mut stage = converged_stage(Shape { seed: 7, ..Shape::default() }, 10.0, SOON).await;
    assert_eq!(stage.cluster.stance(0).await.as_deref(), Some("whole"));
    stage.traffic.more(10, 12).await;
    crash_and_restart(&mut stage).await;
    stall_and_resume(&mut stage).await;
    partition_and_heal(&stage).await;
    cut_one_way_and_heal(&stage).await;
    stage.traffic.more(10, 12).await;
    let (_, findings) = stage.finish().await;
    assert_eq!(findings.breaches, Vec::<String>::new());
    assert_eq!(findings.unanswered, Vec::<String>::new(), "each request has its one final answer in time");
    assert!(findings.records.len() > 1_000);
}

/// The crashed member alone is declared dead, by all, and rejoins without state.
async fn crash_and_restart(stage: &mut Stage) {
    let since = stage.cluster.journal.now();
    stage.suffer(&What::Kill { instances: vec![5] }).await;
    let (all, rest) = (all_except(12, &[]), all_except(12, &[5]));
    let took = stage.cluster.until(&rest, &[5], &["dead"], SOON).await;
    assert!(took.is_some(), "all others detect the crash");
    assert_eq!(stage.cluster.stance(0).await.as_deref(), Some("degraded"));
    let logged_by_all = async {
        while deaths_logged(&stage.cluster, &rest, 5, since) < rest.len() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    soon("that all others have logged its death", logged_by_all).await;
    let false_deaths = all_deaths_logged(&stage.cluster, &all, &rest, since);
    assert_eq!(false_deaths, 0, "no other member is declared dead");
    stage.suffer(&What::Restart { instances: vec![5] }).await;
    assert!(stage.cluster.agree(SOON).await.is_some(), "it rejoins with its name and number");
}

/// The stalled member is declared dead, refutes it, and declares no other member dead.
async fn stall_and_resume(stage: &mut Stage) {
    let since = stage.cluster.journal.now();
    stage.suffer(&What::Stop { instances: vec![3], on: true }).await;
    let (all, others) = (all_except(12, &[]), all_except(12, &[3]));
    assert!(stage.cluster.until(&others, &[3], &["dead"], SOON).await.is_some(), "the stall is detected");
    stage.suffer(&What::Stop { instances: vec![3], on: false }).await;
    assert!(stage.cluster.agree(SOON).await.is_some(), "it refutes, and the views converge");
    assert!(stage.cluster.journal.count("i3", since, "process resumed after a stall") >= 1);
    let false_deaths = all_deaths_logged(&stage.cluster, &all, &others, since);
    assert_eq!(false_deaths, 0, "no other member is declared dead");
}

/// Each side declares the other one dead, and no member of its own; the effective size stays twelve.
async fn partition_and_heal(stage: &Stage) {
    let (left, right): (Vec<usize>, Vec<usize>) = ((0..6).collect(), (6..12).collect());
    stage.cluster.partition(&[&left, &right]);
    assert!(stage.cluster.until(&left, &right, &["dead"], SOON).await.is_some(), "left declares right dead");
    assert!(stage.cluster.until(&right, &left, &["dead"], SOON).await.is_some(), "right declares left dead");
    for side in [&left, &right] {
        assert!(
            stage.cluster.until(side, side, &["alive"], SOON).await.is_some(),
            "each side holds its own members for alive"
        );
        let status = stage.cluster.members(side[0]).await.expect("it answers");
        assert_eq!(status["stance"], "minority");
        assert_eq!(status["reckoned"], 12, "by the roster, not by reachable members");
    }
    stage.traffic.more(10, 12).await;
    stage.cluster.partition(&[&all_except(12, &[])]);
    assert!(stage.cluster.agree(SOON).await.is_some(), "the views converge");
}

/// No datagram reaches number 4, and its own arrive. Foreign bytes arrive at number 0 besides.
async fn cut_one_way_and_heal(stage: &Stage) {
    let since = stage.cluster.journal.now();
    stage.cluster.link(
        &[bellcroft_simulation::Place::Instance(None)],
        &[bellcroft_simulation::Place::Instance(Some(4))],
        bellcroft_simulation::LinkFault { cut: true, ..Default::default() },
    );
    let foreign = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    for length in [0, 1, 200, 256, 257, 60_000] {
        let home = stage.cluster.home(0).expect("it listens");
        foreign.send_to(&vec![1; length], home).await.expect("it is sent");
    }
    let others = all_except(12, &[4]);
    assert!(
        stage.cluster.until(&others, &[4], &["dead", "suspect"], SOON).await.is_some(),
        "it acks no pings"
    );
    let isolated = async {
        while stage.cluster.stance(4).await.as_deref() != Some("alone") {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    soon("that it is isolated", isolated).await;
    stage.cluster.links.heal();
    assert!(stage.cluster.agree(SOON).await.is_some(), "the views converge");
    let false_deaths = all_deaths_logged(&stage.cluster, &others, &others, since);
    assert_eq!(false_deaths, 0, "its accusations declare no member dead");
}

/// A stalled instance must not decide by its list from before the stall: five of six servers have drained meanwhile, and its
/// clients' requests wait in its sockets.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_instance_sends_nothing_by_outdated_list() {
    let shape = Shape { instances: 2, seed: 3, ..Shape::default() };
    let mut cluster = Cluster::start(shape).await;
    assert!(cluster.agree(SOON).await.is_some());
    let load = Load { agents: cluster.addresses(), clients: 8, rate: 100.0, seed: 3, most: 100_000 };
    let traffic = Traffic::start(&load);
    traffic.more(50, 2).await;
    let (from, to) = (bellcroft_simulation::Place::Discovery, bellcroft_simulation::Place::Instance(Some(0)));
    cluster.stop(0, true).await;
    cluster.link(&[from], &[to], bellcroft_simulation::LinkFault { cut: true, ..Default::default() });
    (1..6).for_each(|server| cluster.drain(server));
    // The other instance continues to serve.
    tokio::time::sleep(Duration::from_millis(2500)).await;
    let before = cluster.world.seen().len();
    cluster.links.heal();
    let resumed = Instant::now();
    cluster.stop(0, false).await;
    traffic.more(50, 2).await;
    let records = traffic.finish().await;
    let own: std::collections::HashSet<&str> =
        records.iter().filter(|r| r.instance == 0).map(|r| r.id.as_str()).collect();
    let seen = cluster.world.seen();
    let late: Vec<_> = seen
        .iter()
        .filter(|(server, s)| *server > 0 && own.contains(s.id.as_str()) && s.first_byte >= resumed)
        .collect();
    assert!(
        late.is_empty(),
        "{} requests to servers that drained during the stall: {:?}",
        late.len(),
        late.first()
    );
    assert!(
        seen.len() > before + 50 && cluster.journal.count("i0", 0.0, "process resumed after a stall") >= 1
    );
    let breaches = cluster.world.audit(&records);
    assert!(breaches.is_empty(), "{breaches:#?}");
}
