//! Membership at scale, on the model: how soon a death is seen, who is called dead by mistake, what it costs.

mod plain;

use bellcroft_balancer::{Micros, Time};
use bellcroft_membership::{Change, Config, Membership, State};
use bellcroft_simulation::fleet::{address, Link, Net, Peer, ORIGIN};
use plain::Plain;
use rayon::prelude::*;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;

/// Wall clocks begin here, in Unix milliseconds.
const WALL: u64 = 1_790_000_000_000;
/// A fleet has so long to find together before anything is measured.
const SETTLE: f64 = 20.0;
/// Members that are killed, one every other second.
const KILLS: usize = 5;
/// After the last kill a death is looked for so long.
const LOOK: f64 = 60.0;

/// Which protocol is played.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// The project's.
    Own,
    /// The project's without the awareness of its own health.
    Trusting,
    /// The registry's SWIM.
    Plain,
}

impl Protocol {
    /// What it is called in tables.
    pub fn word(self) -> &'static str {
        match self {
            Protocol::Own => "own",
            Protocol::Trusting => "own, without self-doubt",
            Protocol::Plain => "foca 1.0",
        }
    }
}

/// What is measured.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Sizes of fleets.
    pub members: Vec<usize>,
    /// Shares of lost datagrams.
    pub losses: Vec<f64>,
    /// Seconds that mistakes are counted for.
    pub seconds: f64,
    /// Seeds.
    pub seeds: Vec<u64>,
}

/// What was measured in one cell.
#[derive(Debug, Clone, Default)]
pub struct Figures {
    /// Seconds until a killed member was dead to one that held it, over all of both; sorted.
    pub detected: Vec<f64>,
    /// Pairs in which it never was.
    pub undetected: usize,
    /// Suspicions and deaths of members that ran, each by one instance, for each instance and hour.
    pub suspected: f64,
    /// Deaths among them.
    pub mistaken: f64,
    /// Bytes a second that an instance sends.
    pub bytes: f64,
    /// Seconds until a leave was known to one that held the member; sorted.
    pub left: Vec<f64>,
    /// The mean of the estimates' distance from the true size, as a share; none where all are held.
    pub off: Option<f64>,
}

fn seconds(s: f64) -> Micros {
    Micros::from_ms(s * 1e3)
}

fn quantile(sorted: &[f64], q: f64) -> f64 {
    let place = ((sorted.len() as f64 * q) as usize).min(sorted.len().saturating_sub(1));
    sorted.get(place).copied().unwrap_or(f64::NAN)
}

/// A fleet that has found together, with nothing of its beginning kept.
fn fleet<P: Peer>(members: usize, seed: u64, make: impl Fn(usize, Time) -> P) -> Net<P> {
    let mut net = Net::new(members, seed);
    for number in 0..members {
        let now = net.now();
        net.start(number, make(number, now));
    }
    for _ in 0..SETTLE as usize {
        net.play(seconds(1.0));
        net.seen.clear();
    }
    net
}

fn own(members: usize, seed: u64, self_doubt: bool) -> impl Fn(usize, Time) -> Membership {
    let roster: Arc<[SocketAddr]> = (0..members).map(address).collect();
    move |number, now| {
        let config = Config {
            local_health_awareness: self_doubt,
            ..Config::new("experiments", number as u32, roster.clone())
        };
        let life = WALL + now.since(ORIGIN).0 / 1000;
        Membership::new(config, now, life, seed.wrapping_mul(1 << 20) ^ number as u64)
    }
}

/// How soon kills are seen, at this loss.
fn detect<P: Peer>(mut net: Net<P>, loss: f64, figures: &mut Figures) {
    let members = net.running().len();
    net.link = Box::new(move |_, _| Link { loss, ..Link::default() });
    let holders = |net: &Net<P>, of: usize| -> Vec<usize> {
        let holds = |by: &usize| {
            *by != of && net.peer(*by).and_then(|p| p.holds(of)).is_some_and(State::is_reachable)
        };
        net.running().into_iter().filter(holds).collect()
    };
    let mut killed = Vec::new();
    for kill in 0..KILLS.min(members / 2) {
        let number = kill * members / KILLS;
        killed.push((number, net.now(), holders(&net, number)));
        net.kill(number);
        net.play(seconds(2.0));
    }
    net.play(seconds(LOOK));
    for (number, at, holders) in &killed {
        for by in holders.iter().filter(|by| !killed.iter().any(|(gone, ..)| gone == *by)) {
            let told = net.seen.iter().find(|seen| {
                let dead = matches!(&seen.change, Change::Member { id, to: State::Dead, .. } if id.0 as usize == *number);
                seen.by == *by && seen.at >= *at && dead
            });
            match told {
                Some(seen) => figures.detected.push(seen.at.since(*at).0 as f64 / 1e6),
                None => figures.undetected += 1,
            }
        }
    }
    figures.detected.sort_by(f64::total_cmp);
}

/// Who is accused though nobody has failed, at this loss; and what it costs. With `stalls` a twentieth of the members stand
/// still for three seconds out of every fifteen, and those don't count as accused.
fn mistakes<P: Peer>(mut net: Net<P>, loss: f64, time: f64, stalls: bool, figures: &mut Figures) {
    let members = net.running().len();
    net.link = Box::new(move |_, _| Link { loss, ..Link::default() });
    net.seen.clear();
    let before = net.sent.1;
    let sleepers = if stalls { (members / 20).max(1) } else { 0 };
    let mut played = 0.0;
    while played < time {
        (0..sleepers).for_each(|n| net.stop(n));
        net.play(seconds(3.0));
        (0..sleepers).for_each(|n| net.go_on(n));
        net.play(seconds(12.0));
        played += 15.0;
    }
    let hours = played / 3600.0 * members as f64;
    let (mut suspected, mut mistaken) = (0, 0);
    for seen in &net.seen {
        if let Change::Member { id, to, .. } = seen.change {
            let innocent = id.0 as usize >= sleepers;
            suspected += usize::from(innocent && to == State::Suspect);
            mistaken += usize::from(innocent && to == State::Dead);
        }
    }
    figures.suspected = suspected as f64 / hours;
    figures.mistaken = mistaken as f64 / hours;
    figures.bytes = (net.sent.1 - before) as f64 / played / members as f64;
}

/// How soon a leave is known to all that hold the member, and how well the size is estimated.
fn leave(mut net: Net<Membership>, figures: &mut Figures) {
    let members = net.running().len();
    let sizes: Vec<(f64, Option<f64>)> =
        net.running().iter().filter_map(|n| net.peer(*n)).map(Membership::size).collect();
    if sizes.iter().all(|(_, error)| error.is_some()) {
        let off = sizes.iter().map(|(size, _)| (size / members as f64 - 1.0).abs()).sum::<f64>();
        figures.off = Some(off / sizes.len() as f64);
    }
    net.seen.clear();
    let number = members / 3;
    let at = net.now();
    net.with(number, Membership::leave);
    net.play(seconds(0.2));
    net.kill(number);
    net.play(seconds(LOOK / 2.0));
    for seen in &net.seen {
        if matches!(seen.change, Change::Member { id, to: State::Left, .. } if id.0 as usize == number) {
            figures.left.push(seen.at.since(at).0 as f64 / 1e6);
        }
    }
    figures.left.sort_by(f64::total_cmp);
}

/// Plays one cell.
fn cell(protocol: Protocol, members: usize, loss: f64, stalls: bool, plan: &Plan, seed: u64) -> Figures {
    let mut figures = Figures::default();
    match protocol {
        Protocol::Plain => {
            let make = |number: usize, _: Time| Plain::new(number, members, seed);
            if !stalls {
                detect(fleet(members, seed, make), loss, &mut figures);
            }
            mistakes(fleet(members, seed ^ 1, make), loss, plan.seconds, stalls, &mut figures);
        }
        Protocol::Own | Protocol::Trusting => {
            let make = own(members, seed, protocol == Protocol::Own);
            if !stalls {
                detect(fleet(members, seed, &make), loss, &mut figures);
                leave(fleet(members, seed ^ 2, &make), &mut figures);
            }
            mistakes(fleet(members, seed ^ 1, &make), loss, plan.seconds, stalls, &mut figures);
        }
    }
    figures
}

/// The figures of several seeds as one.
fn join(all: Vec<Figures>) -> Figures {
    let count = all.len() as f64;
    let mean = |of: fn(&Figures) -> f64| all.iter().map(of).sum::<f64>() / count;
    let sorted = |of: fn(&Figures) -> &Vec<f64>| {
        let mut values: Vec<f64> = all.iter().flat_map(|f| of(f).iter().copied()).collect();
        values.sort_by(f64::total_cmp);
        values
    };
    let offs: Vec<f64> = all.iter().filter_map(|f| f.off).collect();
    Figures {
        detected: sorted(|f| &f.detected),
        undetected: all.iter().map(|f| f.undetected).sum(),
        suspected: mean(|f| f.suspected),
        mistaken: mean(|f| f.mistaken),
        bytes: mean(|f| f.bytes),
        left: sorted(|f| &f.left),
        off: (!offs.is_empty()).then(|| offs.iter().sum::<f64>() / offs.len() as f64),
    }
}

/// Plays all cells on all cores and gives the table; `done` hears of each cell.
pub fn table(plan: &Plan, done: impl Fn(&str) + Sync) -> String {
    let mut cells = Vec::new();
    for members in &plan.members {
        for protocol in [Protocol::Own, Protocol::Trusting, Protocol::Plain] {
            // A full view of thousands, in as many instances, is more than one machine holds.
            if protocol == Protocol::Plain && *members > 1_000 {
                continue;
            }
            if *members > 2_000 && protocol != Protocol::Own {
                continue;
            }
            let losses = if *members > 2_000 { vec![0.0] } else { plan.losses.clone() };
            cells.extend(losses.iter().map(|loss| (protocol, *members, *loss, false)));
            if *members <= 500 {
                cells.push((protocol, *members, 0.0, true));
            }
        }
    }
    let rows: Vec<String> = cells
        .par_iter()
        .map(|(protocol, members, loss, stalls)| {
            let seeds = if *members > 500 { &plan.seeds[..1] } else { &plan.seeds };
            let figures = join(
                seeds.iter().map(|seed| cell(*protocol, *members, *loss, *stalls, plan, *seed)).collect(),
            );
            let row = row(*protocol, *members, *loss, *stalls, &figures);
            done(&row);
            row
        })
        .collect();
    let mut text = String::from(
        "| members | protocol | links | death seen: median / p99 / worst s | never seen | suspected | called dead by mistake | bytes/s | leave known: median / p99 s | size off by |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    rows.iter().for_each(|row| text.push_str(row));
    let _ = writeln!(
        text,
        "\nSuspected and called dead by mistake: for each instance and hour, of members that ran. Each figure is of one instance's \
         view. Seeds {:?} (the first alone past 500 members), {} s of mistakes each, after {SETTLE} s to find together; {KILLS} \
         kills. `stalls`: a twentieth of the members stand still for 3 of each 15 s; their own accusations are not counted as \
         mistakes.",
        plan.seeds, plan.seconds
    );
    text
}

fn row(protocol: Protocol, members: usize, loss: f64, stalls: bool, f: &Figures) -> String {
    let links = if stalls { "stalls".to_owned() } else { format!("{:.0}% lost", loss * 100.0) };
    let times = |values: &[f64], with_worst: bool| match values {
        [] => "-".to_owned(),
        _ if with_worst => {
            format!(
                "{:.1} / {:.1} / {:.1}",
                quantile(values, 0.5),
                quantile(values, 0.99),
                quantile(values, 1.0)
            )
        }
        _ => format!("{:.2} / {:.2}", quantile(values, 0.5), quantile(values, 0.99)),
    };
    let suspected = if protocol == Protocol::Plain { "-".to_owned() } else { format!("{:.2}", f.suspected) };
    let off = f.off.map_or("-".to_owned(), |off| format!("{:.1}%", off * 100.0));
    format!(
        "| {members} | {} | {links} | {} | {} | {suspected} | {:.2} | {:.0} | {} | {off} |\n",
        protocol.word(),
        times(&f.detected, true),
        f.undetected,
        f.mistaken,
        f.bytes,
        times(&f.left, false)
    )
}
