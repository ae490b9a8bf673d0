//! Several whole programs with faulty relays between them: what each holds of the others, and what becomes of requests.

use rig::faults::{Cluster, Shape};
use rig::*;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::Instant;

/// Far past the bound that the operators' page states for twelve on healthy links, for a machine that does other things
/// too.
const SOON: Duration = Duration::from_secs(40);

/// Times in which an instance could not answer: gone, or standing still.
#[derive(Default)]
struct Away(Vec<(usize, Instant, Instant)>);

impl Away {
    fn during(&self, record: &Record) -> bool {
        let (from, until) = (record.sent, record.sent + record.took);
        let slack = Duration::from_secs(1);
        self.0.iter().any(|(n, away, back)| *n == record.instance && *away <= until && *back + slack >= from)
    }
}

fn but(all: usize, without: &[usize]) -> Vec<usize> {
    (0..all).filter(|n| !without.contains(n)).collect()
}

/// The test the users would trust: twelve programs under steady traffic through kill, stall, halves, a one-way cut and heal.
#[tokio::test(flavor = "multi_thread")]
async fn twelve_programs_through_kill_stall_halves_and_a_one_way_cut() {
    let mut cluster = Cluster::start(Shape { seed: 7, ..Shape::default() }).await;
    assert!(cluster.agree(SOON).await.is_some(), "they find each other");
    assert_eq!(cluster.stance(0).await.as_deref(), Some("whole"));
    let load = Load { agents: cluster.addresses(), clients: 2, rate: 10.0, seed: 7, most: 100_000 };
    let traffic = Traffic::start(&load);
    traffic.more(10, 12).await;
    let mut away = Away::default();

    // One is killed: dead to all, and nobody beside it; back from nothing under its name.
    let gone = Instant::now();
    let since = cluster.journal.now();
    cluster.kill(5).await;
    let rest = but(12, &[5]);
    let took = cluster.until(&rest, &[5], &["dead"], SOON).await;
    assert!(took.is_some(), "a killed one is seen by all others");
    assert_eq!(cluster.stance(0).await.as_deref(), Some("degraded"));
    let dead = |cluster: &Cluster, since: f64, of: usize| {
        let told = format!("member {of} is dead");
        let count = |n: usize| cluster.journal.count(&format!("i{n}"), since, &told);
        (0..12).map(count).sum::<usize>()
    };
    for other in &rest {
        assert_eq!(dead(&cluster, since, *other), 0, "no false death beside it");
    }
    cluster.launch(5).await;
    away.0.push((5, gone, Instant::now()));
    assert!(cluster.agree(SOON).await.is_some(), "back under its name and number, from nothing");

    // One stands still, and accuses nobody on waking.
    let (still, since) = (Instant::now(), cluster.journal.now());
    cluster.stop(3, true).await;
    let others = but(12, &[3]);
    assert!(cluster.until(&others, &[3], &["dead"], SOON).await.is_some(), "it is missed");
    cluster.stop(3, false).await;
    away.0.push((3, still, Instant::now()));
    assert!(cluster.agree(SOON).await.is_some(), "it refutes, and all hold it for alive again");
    assert!(cluster.journal.count("i3", since, "stood still") >= 1);
    for other in &others {
        assert_eq!(dead(&cluster, since, *other), 0, "on waking it accuses nobody");
    }

    // Halves: each side misses the other whole, and nobody of its own; all reckon by twelve.
    let (left, right): (Vec<usize>, Vec<usize>) = ((0..6).collect(), (6..12).collect());
    cluster.partition(&[&left, &right]);
    assert!(cluster.until(&left, &right, &["dead"], SOON).await.is_some(), "left misses right");
    assert!(cluster.until(&right, &left, &["dead"], SOON).await.is_some(), "right misses left");
    for side in [&left, &right] {
        assert!(cluster.until(side, side, &["alive"], SOON).await.is_some(), "each side is one");
        let told = cluster.members(side[0]).await.expect("it answers");
        assert_eq!(told["stance"], "minority");
        assert_eq!(told["reckoned"], 12, "by the roster, never by who answers");
    }
    traffic.more(10, 12).await;
    cluster.partition(&[&but(12, &[])]);
    assert!(cluster.agree(SOON).await.is_some(), "one view again");

    // One way only: nothing reaches number 4, which is heard by all. Bytes that are none of theirs come besides.
    let since = cluster.journal.now();
    cluster.link(
        &[bellcroft_model::Place::Instance(None)],
        &[bellcroft_model::Place::Instance(Some(4))],
        bellcroft_model::LinkFault { cut: true, ..Default::default() },
    );
    let stranger = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    for length in [0, 1, 200, 256, 257, 60_000] {
        let home = cluster.home(0).expect("it listens");
        stranger.send_to(&vec![1; length], home).await.expect("it is sent");
    }
    let hearing = but(12, &[4]);
    assert!(cluster.until(&hearing, &[4], &["dead", "suspect"], SOON).await.is_some(), "it answers nobody");
    let deaf = async {
        while cluster.stance(4).await.as_deref() != Some("alone") {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    soon("that it holds itself for alone", deaf).await;
    cluster.links.heal();
    assert!(cluster.agree(SOON).await.is_some(), "one view again");
    for other in &hearing {
        let by_others = but(12, &[4]);
        let told = format!("member {other} is dead");
        let count = |n: usize| cluster.journal.count(&format!("i{n}"), since, &told);
        assert_eq!(by_others.iter().map(|n| count(*n)).sum::<usize>(), 0, "its accusations kill nobody");
    }

    traffic.more(10, 12).await;
    let records = traffic.finish().await;
    let breaches = cluster.world.audit_but(&records, |record| record.crossed && away.during(record));
    assert!(
        breaches.is_empty(),
        "{} breaches, the first: {:#?}",
        breaches.len(),
        &breaches[..breaches.len().min(5)]
    );
    let unanswered: Vec<&Record> =
        records.iter().filter(|r| !r.fate.is_answer() && !away.during(r)).collect();
    assert!(unanswered.is_empty(), "each request has its one final answer: {unanswered:#?}");
    let late: Vec<&Record> = records.iter().filter(|r| r.late() && !away.during(r)).collect();
    assert!(late.is_empty(), "in time: {late:#?}");
    assert!(records.len() > 1_000 && records.iter().any(|r| away.during(r)));
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
    let (from, to) = (bellcroft_model::Place::Discovery, bellcroft_model::Place::Instance(Some(0)));
    cluster.stop(0, true).await;
    cluster.link(&[from], &[to], bellcroft_model::LinkFault { cut: true, ..Default::default() });
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
