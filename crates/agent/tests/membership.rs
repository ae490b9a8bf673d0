//! Several whole programs with faulty relays between them: what each holds of the others, and what becomes of requests.

use bellcroft_simulation::What;
use std::time::Duration;
use testbed::faults::{Cluster, Shape, Stage};
use testbed::*;
use tokio::net::UdpSocket;
use tokio::time::Instant;

/// Far past the bound that the operators' page states for twelve on healthy links, for a machine that does other things
/// too.
const SOON: Duration = Duration::from_secs(40);

fn but(all: usize, without: &[usize]) -> Vec<usize> {
    (0..all).filter(|n| !without.contains(n)).collect()
}

/// The test the users would trust: twelve programs under steady traffic through kill, stall, halves, a one-way cut and heal.
#[tokio::test(flavor = "multi_thread")]
async fn twelve_programs_through_kill_stall_halves_and_a_one_way_cut() {
    let mut stage = Stage::start(Shape { seed: 7, ..Shape::default() }, 10.0, 100_000, SOON).await;
    assert!(stage.cluster.agree(SOON).await.is_some(), "they find each other");
    assert_eq!(stage.cluster.stance(0).await.as_deref(), Some("whole"));
    stage.traffic.more(10, 12).await;

    // One is killed: dead to all, and nobody beside it; back from nothing under its name.
    let since = stage.cluster.journal.now();
    stage.suffer(&What::Kill { instances: vec![5] }).await;
    let rest = but(12, &[5]);
    let took = stage.cluster.until(&rest, &[5], &["dead"], SOON).await;
    assert!(took.is_some(), "a killed one is seen by all others");
    assert_eq!(stage.cluster.stance(0).await.as_deref(), Some("degraded"));
    let dead = |cluster: &Cluster, since: f64, of: usize| {
        let told = format!("member {of} is dead");
        let count = |n: usize| cluster.journal.count(&format!("i{n}"), since, &told);
        (0..12).map(count).sum::<usize>()
    };
    for other in &rest {
        assert_eq!(dead(&stage.cluster, since, *other), 0, "no false death beside it");
    }
    stage.suffer(&What::Restart { instances: vec![5] }).await;
    assert!(stage.cluster.agree(SOON).await.is_some(), "back under its name and number, from nothing");

    // One stands still, and accuses nobody on waking.
    let since = stage.cluster.journal.now();
    stage.suffer(&What::Stop { instances: vec![3], on: true }).await;
    let others = but(12, &[3]);
    assert!(stage.cluster.until(&others, &[3], &["dead"], SOON).await.is_some(), "it is missed");
    stage.suffer(&What::Stop { instances: vec![3], on: false }).await;
    assert!(stage.cluster.agree(SOON).await.is_some(), "it refutes, and all hold it for alive again");
    assert!(stage.cluster.journal.count("i3", since, "stood still") >= 1);
    for other in &others {
        assert_eq!(dead(&stage.cluster, since, *other), 0, "on waking it accuses nobody");
    }

    // Halves: each side misses the other whole, and nobody of its own; all reckon by twelve.
    let (left, right): (Vec<usize>, Vec<usize>) = ((0..6).collect(), (6..12).collect());
    stage.cluster.partition(&[&left, &right]);
    assert!(stage.cluster.until(&left, &right, &["dead"], SOON).await.is_some(), "left misses right");
    assert!(stage.cluster.until(&right, &left, &["dead"], SOON).await.is_some(), "right misses left");
    for side in [&left, &right] {
        assert!(stage.cluster.until(side, side, &["alive"], SOON).await.is_some(), "each side is one");
        let told = stage.cluster.members(side[0]).await.expect("it answers");
        assert_eq!(told["stance"], "minority");
        assert_eq!(told["reckoned"], 12, "by the roster, never by who answers");
    }
    stage.traffic.more(10, 12).await;
    stage.cluster.partition(&[&but(12, &[])]);
    assert!(stage.cluster.agree(SOON).await.is_some(), "one view again");

    // One way only: nothing reaches number 4, which is heard by all. Bytes that are none of theirs come besides.
    let since = stage.cluster.journal.now();
    stage.cluster.link(
        &[bellcroft_simulation::Place::Instance(None)],
        &[bellcroft_simulation::Place::Instance(Some(4))],
        bellcroft_simulation::LinkFault { cut: true, ..Default::default() },
    );
    let stranger = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    for length in [0, 1, 200, 256, 257, 60_000] {
        let home = stage.cluster.home(0).expect("it listens");
        stranger.send_to(&vec![1; length], home).await.expect("it is sent");
    }
    let hearing = but(12, &[4]);
    assert!(
        stage.cluster.until(&hearing, &[4], &["dead", "suspect"], SOON).await.is_some(),
        "it answers nobody"
    );
    let deaf = async {
        while stage.cluster.stance(4).await.as_deref() != Some("alone") {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    soon("that it holds itself for alone", deaf).await;
    stage.cluster.links.heal();
    assert!(stage.cluster.agree(SOON).await.is_some(), "one view again");
    for other in &hearing {
        let by_others = but(12, &[4]);
        let told = format!("member {other} is dead");
        let count = |n: usize| stage.cluster.journal.count(&format!("i{n}"), since, &told);
        assert_eq!(by_others.iter().map(|n| count(*n)).sum::<usize>(), 0, "its accusations kill nobody");
    }

    stage.traffic.more(10, 12).await;
    let (_, findings) = stage.finish().await;
    assert_eq!(findings.breaches, Vec::<String>::new());
    assert_eq!(findings.unanswered, Vec::<String>::new(), "each request has its one final answer in time");
    assert!(findings.records.len() > 1_000);
}

/// Whoever slept must not go by the list that it fell asleep with: five of six servers have drained meanwhile, and what its
/// clients sent waits in its sockets.
#[tokio::test(flavor = "multi_thread")]
async fn after_standing_still_nothing_is_sent_by_the_list_of_before() {
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
    // The other one goes on, and its outcomes show that time has passed.
    tokio::time::sleep(Duration::from_millis(2500)).await;
    let before = cluster.world.seen().len();
    cluster.links.heal();
    let woke = Instant::now();
    cluster.stop(0, false).await;
    traffic.more(50, 2).await;
    let records = traffic.finish().await;
    let own: std::collections::HashSet<&str> =
        records.iter().filter(|r| r.instance == 0).map(|r| r.id.as_str()).collect();
    let seen = cluster.world.seen();
    let late: Vec<_> = seen
        .iter()
        .filter(|(server, s)| *server > 0 && own.contains(s.id.as_str()) && s.first_byte >= woke)
        .collect();
    assert!(
        late.is_empty(),
        "{} requests to servers that drained while it slept: {:?}",
        late.len(),
        late.first()
    );
    assert!(seen.len() > before + 50 && cluster.journal.count("i0", 0.0, "stood still") >= 1);
    let breaches = cluster.world.audit(&records);
    assert!(breaches.is_empty(), "{breaches:#?}");
}
