//! Membership alone, in the model: what a member sends in the minutes after all have started, whatever the machine.

use bellcroft_balancer::Micros;
use bellcroft_membership::{Config, Membership};
use bellcroft_simulation::fleet::{address, Link, Net, ORIGIN};
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;

/// Wall clocks begin here, in Unix milliseconds.
const WALL_CLOCK_ORIGIN_MS: u64 = 1_790_000_000_000;
/// Windows after the start that are counted, in seconds.
const WINDOWS: [(u32, u32); 4] = [(20, 40), (60, 80), (120, 140), (300, 320)];
/// Fleets that are played at a time.
const PARALLEL_FLEETS: usize = 4;
/// Bytes that IP and UDP put around each datagram.
const DATAGRAM_HEADERS: u64 = 28;

/// Bytes a second that a member sends, headers included, in each window.
fn sent_by_window(members: usize, loss: f64, seed: u64) -> Vec<f64> {
    let roster: Arc<[SocketAddr]> = (0..members).map(address).collect();
    let mut net = Net::new(members, seed);
    net.link = Box::new(move |_, _| Link { loss, ..Link::default() });
    for number in 0..members {
        let now = net.now();
        let config = Config::new("scale", number as u32, roster.clone());
        let epoch = WALL_CLOCK_ORIGIN_MS + now.since(ORIGIN).0 / 1_000;
        let member_seed = seed.wrapping_mul(1 << 20) ^ number as u64;
        net.start(number, Membership::new(config, now, epoch, member_seed));
    }
    let mut played = 0;
    let mut rates = Vec::new();
    for (from, to) in WINDOWS {
        play(&mut net, from - played);
        let before = wire_bytes(&net);
        play(&mut net, to - from);
        played = to;
        rates.push((wire_bytes(&net) - before) as f64 / f64::from(to - from) / members as f64);
    }
    rates
}

/// Plays fleets of these sizes and losses, each on a thread of its own.
fn play_fleets(cells: &[(usize, f64)], seed: u64) -> Vec<Vec<f64>> {
    std::thread::scope(|scope| {
        let play = |&(members, loss): &(usize, f64)| scope.spawn(move || sent_by_window(members, loss, seed));
        let threads: Vec<_> = cells.iter().map(play).collect();
        threads.into_iter().map(|thread| thread.join().unwrap_or_default()).collect()
    })
}

/// Second by second, so that the record of changes stays small.
fn play(net: &mut Net<Membership>, seconds: u32) {
    for _ in 0..seconds {
        net.play(Micros::from_ms(1_000.0));
        net.seen.clear();
    }
}

fn wire_bytes(net: &Net<Membership>) -> u64 {
    net.sent.1 + DATAGRAM_HEADERS * net.sent.0
}

/// The table of fleets of these sizes, all of whose members start at once.
pub fn model_table(sizes: &[usize], losses: &[f64], seed: u64) -> String {
    let mut table = String::from("| members | loss |");
    WINDOWS.iter().for_each(|(from, to)| _ = write!(table, " B/s, {from} to {to} s after the start |"));
    table.push_str("\n| --- | --- |");
    WINDOWS.iter().for_each(|_| table.push_str(" --- |"));
    table.push('\n');
    let cell = |members: &usize| losses.iter().map(|loss| (*members, *loss)).collect::<Vec<_>>();
    let cells: Vec<(usize, f64)> = sizes.iter().flat_map(cell).collect();
    for some in cells.chunks(PARALLEL_FLEETS) {
        for ((members, loss), rates) in some.iter().zip(play_fleets(some, seed)) {
            let _ = write!(table, "| {members} | {:.0}% |", loss * 100.0);
            rates.iter().for_each(|rate| _ = write!(table, " {rate:.0} |"));
            table.push('\n');
        }
    }
    let _ = writeln!(table, "\nSent by a member, with 28 bytes of headers a datagram; seed {seed}.");
    table
}
