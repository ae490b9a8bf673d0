//! Simulated membership at scale: detection times of failures, false positives, and network traffic.

mod foca_peer;

use bellcroft_balancer::{Micros, Time};
use bellcroft_membership::{Change, Config, Membership, State};
use bellcroft_simulation::fleet::{address, Link, Net, Peer, ORIGIN};
use foca_peer::FocaPeer;
use rayon::prelude::*;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;

/// Wall-clock time at the start of a simulation, in Unix milliseconds.
const START_UNIX_MS: u64 = 1_790_000_000_000;
/// Seconds for the fleet to join before anything is measured.
const JOIN_S: f64 = 20.0;
/// Number of members that are killed, one every two seconds.
const KILLS: usize = 5;
/// Seconds after the last kill in which detections count.
const DETECTION_WINDOW_S: f64 = 60.0;

/// The simulated protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// This project's protocol.
    Own,
    /// This project's protocol without local health awareness.
    OwnWithoutLocalHealth,
    /// SWIM of the `foca` crate.
    Foca,
}

impl Protocol {
    /// Returns the protocol's name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Protocol::Own => "own",
            Protocol::OwnWithoutLocalHealth => "own, without self-doubt",
            Protocol::Foca => "foca 1.0",
        }
    }
}

/// Parameters of a measurement.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Fleet sizes.
    pub members: Vec<usize>,
    /// Loss rates of datagrams.
    pub losses: Vec<f64>,
    /// Seconds during which false positives are counted.
    pub seconds: f64,
    /// Seeds.
    pub seeds: Vec<u64>,
}

/// Measurements of one cell.
#[derive(Debug, Clone, Default)]
pub struct Figures {
    /// Sorted seconds from a kill until an instance that tracked the member declared it dead, over all such pairs.
    pub detected: Vec<f64>,
    /// Number of such pairs without detection.
    pub undetected: usize,
    /// Suspicions of running members, for each instance and hour.
    pub suspected: f64,
    /// Running members declared dead, for each instance and hour.
    pub false_deaths: f64,
    /// Bytes per second that an instance sends.
    pub bytes: f64,
    /// Sorted seconds from a leave until an instance that tracked the member learned of it.
    pub left: Vec<f64>,
    /// Mean relative error of the instances' size estimates; None if an instance knows the exact size.
    pub size_error: Option<f64>,
}

fn seconds(s: f64) -> Micros {
    Micros::from_ms(s * 1e3)
}

fn quantile(sorted: &[f64], q: f64) -> f64 {
    let index = ((sorted.len() as f64 * q) as usize).min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().unwrap_or(f64::NAN)
}

/// Starts a fleet, lets it join, and discards the changes seen meanwhile.
fn start_fleet<P: Peer>(members: usize, seed: u64, make: impl Fn(usize, Time) -> P) -> Net<P> {
    let mut net = Net::new(members, seed);
    for number in 0..members {
        let now = net.now();
        net.start(number, make(number, now));
    }
    for _ in 0..JOIN_S as usize {
        net.play(seconds(1.0));
        net.seen.clear();
    }
    net
}

fn make_membership(members: usize, seed: u64, local_health: bool) -> impl Fn(usize, Time) -> Membership {
    let roster: Arc<[SocketAddr]> = (0..members).map(address).collect();
    move |number, now| {
        let config = Config {
            local_health_awareness: local_health,
            ..Config::new("experiments", number as u32, roster.clone())
        };
        let epoch = START_UNIX_MS + now.since(ORIGIN).0 / 1000;
        Membership::new(config, now, epoch, seed.wrapping_mul(1 << 20) ^ number as u64)
    }
}

/// Measures how soon kills are detected at the given loss rate.
fn measure_detection<P: Peer>(mut net: Net<P>, loss: f64, figures: &mut Figures) {
    let members = net.running().len();
    net.link = Box::new(move |_, _| Link { loss, ..Link::default() });
    let trackers = |net: &Net<P>, of: usize| -> Vec<usize> {
        let tracks = |by: &usize| {
            *by != of && net.peer(*by).and_then(|p| p.holds(of)).is_some_and(State::is_reachable)
        };
        net.running().into_iter().filter(tracks).collect()
    };
    let mut killed = Vec::new();
    for kill in 0..KILLS.min(members / 2) {
        let number = kill * members / KILLS;
        killed.push((number, net.now(), trackers(&net, number)));
        net.kill(number);
        net.play(seconds(2.0));
    }
    net.play(seconds(DETECTION_WINDOW_S));
    for (number, at, trackers) in &killed {
        for by in trackers.iter().filter(|by| !killed.iter().any(|(other, ..)| other == *by)) {
            let detection = net.seen.iter().find(|seen| {
                let dead = matches!(&seen.change, Change::Member { id, to: State::Dead, .. } if id.0 as usize == *number);
                seen.by == *by && seen.at >= *at && dead
            });
            match detection {
                Some(seen) => figures.detected.push(seen.at.since(*at).0 as f64 / 1e6),
                None => figures.undetected += 1,
            }
        }
    }
    figures.detected.sort_by(f64::total_cmp);
}

/// Measures false positives and traffic at the given loss rate while no member fails. With `stalls`, a twentieth of the
/// members stall for 3 s out of every 15 s; suspicions and deaths of these members are not counted.
fn measure_false_positives<P: Peer>(
    mut net: Net<P>,
    loss: f64,
    duration_s: f64,
    stalls: bool,
    figures: &mut Figures,
) {
    let members = net.running().len();
    net.link = Box::new(move |_, _| Link { loss, ..Link::default() });
    net.seen.clear();
    let before = net.sent.1;
    let stalling = if stalls { (members / 20).max(1) } else { 0 };
    let mut played = 0.0;
    while played < duration_s {
        (0..stalling).for_each(|n| net.stop(n));
        net.play(seconds(3.0));
        (0..stalling).for_each(|n| net.go_on(n));
        net.play(seconds(12.0));
        played += 15.0;
    }
    let hours = played / 3600.0 * members as f64;
    let (mut suspected, mut false_deaths) = (0, 0);
    for seen in &net.seen {
        if let Change::Member { id, to, .. } = seen.change {
            let never_stalls = id.0 as usize >= stalling;
            suspected += usize::from(never_stalls && to == State::Suspect);
            false_deaths += usize::from(never_stalls && to == State::Dead);
        }
    }
    figures.suspected = suspected as f64 / hours;
    figures.false_deaths = false_deaths as f64 / hours;
    figures.bytes = (net.sent.1 - before) as f64 / played / members as f64;
}

/// Measures how soon a leave is known to all instances that track the member, and the error of the size estimates.
fn measure_leave(mut net: Net<Membership>, figures: &mut Figures) {
    let members = net.running().len();
    let sizes: Vec<(f64, Option<f64>)> =
        net.running().iter().filter_map(|n| net.peer(*n)).map(Membership::size).collect();
    if sizes.iter().all(|(_, error)| error.is_some()) {
        let errors = sizes.iter().map(|(size, _)| (size / members as f64 - 1.0).abs()).sum::<f64>();
        figures.size_error = Some(errors / sizes.len() as f64);
    }
    net.seen.clear();
    let number = members / 3;
    let at = net.now();
    net.with(number, Membership::leave);
    net.play(seconds(0.2));
    net.kill(number);
    net.play(seconds(DETECTION_WINDOW_S / 2.0));
    for seen in &net.seen {
        if matches!(seen.change, Change::Member { id, to: State::Left, .. } if id.0 as usize == number) {
            figures.left.push(seen.at.since(at).0 as f64 / 1e6);
        }
    }
    figures.left.sort_by(f64::total_cmp);
}

/// Simulates one cell.
fn run_cell(protocol: Protocol, members: usize, loss: f64, stalls: bool, plan: &Plan, seed: u64) -> Figures {
    let mut figures = Figures::default();
    match protocol {
        Protocol::Foca => {
            let make = |number: usize, _: Time| FocaPeer::new(number, members, seed);
            if !stalls {
                measure_detection(start_fleet(members, seed, make), loss, &mut figures);
            }
            measure_false_positives(
                start_fleet(members, seed ^ 1, make),
                loss,
                plan.seconds,
                stalls,
                &mut figures,
            );
        }
        Protocol::Own | Protocol::OwnWithoutLocalHealth => {
            let make = make_membership(members, seed, protocol == Protocol::Own);
            if !stalls {
                measure_detection(start_fleet(members, seed, &make), loss, &mut figures);
                measure_leave(start_fleet(members, seed ^ 2, &make), &mut figures);
            }
            measure_false_positives(
                start_fleet(members, seed ^ 1, &make),
                loss,
                plan.seconds,
                stalls,
                &mut figures,
            );
        }
    }
    figures
}

/// Combines the figures of several seeds.
fn combine(all: Vec<Figures>) -> Figures {
    let count = all.len() as f64;
    let mean = |of: fn(&Figures) -> f64| all.iter().map(of).sum::<f64>() / count;
    let sorted = |of: fn(&Figures) -> &Vec<f64>| {
        let mut values: Vec<f64> = all.iter().flat_map(|f| of(f).iter().copied()).collect();
        values.sort_by(f64::total_cmp);
        values
    };
    let errors: Vec<f64> = all.iter().filter_map(|f| f.size_error).collect();
    Figures {
        detected: sorted(|f| &f.detected),
        undetected: all.iter().map(|f| f.undetected).sum(),
        suspected: mean(|f| f.suspected),
        false_deaths: mean(|f| f.false_deaths),
        bytes: mean(|f| f.bytes),
        left: sorted(|f| &f.left),
        size_error: (!errors.is_empty()).then(|| errors.iter().sum::<f64>() / errors.len() as f64),
    }
}

/// Simulates all cells on all cores and returns the table. Calls `on_row` with each row as it completes.
pub fn table(plan: &Plan, on_row: impl Fn(&str) + Sync) -> String {
    let mut cells = Vec::new();
    for members in &plan.members {
        for protocol in [Protocol::Own, Protocol::OwnWithoutLocalHealth, Protocol::Foca] {
            // Each foca instance stores all members, which exceeds one machine's memory at thousands of instances.
            if protocol == Protocol::Foca && *members > 1_000 {
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
            let figures = combine(
                seeds.iter().map(|seed| run_cell(*protocol, *members, *loss, *stalls, plan, *seed)).collect(),
            );
            let row = format_row(*protocol, *members, *loss, *stalls, &figures);
            on_row(&row);
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
         view. Seeds {:?} (the first alone past 500 members), {} s of mistakes each, after {JOIN_S} s to find together; {KILLS} \
         kills. `stalls`: a twentieth of the members stand still for 3 of each 15 s; their own accusations are not counted as \
         mistakes.",
        plan.seeds, plan.seconds
    );
    text
}

fn format_row(protocol: Protocol, members: usize, loss: f64, stalls: bool, f: &Figures) -> String {
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
    let suspected = if protocol == Protocol::Foca { "-".to_owned() } else { format!("{:.2}", f.suspected) };
    let off = f.size_error.map_or("-".to_owned(), |off| format!("{:.1}%", off * 100.0));
    format!(
        "| {members} | {} | {links} | {} | {} | {suspected} | {:.2} | {:.0} | {} | {off} |\n",
        protocol.name(),
        times(&f.detected, true),
        f.undetected,
        f.false_deaths,
        f.bytes,
        times(&f.left, false)
    )
}
