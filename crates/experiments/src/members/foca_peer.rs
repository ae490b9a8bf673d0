//! SWIM of the `foca` crate as a peer of the simulated fleet: the baseline for this project's protocol.

use bellcroft_balancer::{Micros, Time};
use bellcroft_membership::{Change, Id, Output, State};
use bellcroft_simulation::fleet::{address, Peer};
use foca::{Config, Foca, Identity, Notification, PostcardCodec, Runtime, Timer};
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// A member's number, and how often the member has renewed its identity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Node(u32, u16);

impl Identity for Node {
    type Addr = u32;

    fn renew(&self) -> Option<Self> {
        Some(Node(self.0, self.1.wrapping_add(1)))
    }

    fn addr(&self) -> u32 {
        self.0
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.1 > adversary.1
    }
}

/// Actions that the library requests.
#[derive(Default)]
struct Actions {
    send: Vec<(Node, Vec<u8>)>,
    timers: Vec<(Duration, Timer<Node>)>,
    changes: Vec<(u32, State)>,
}

impl Runtime<Node> for &mut Actions {
    fn notify(&mut self, notification: Notification<'_, Node>) {
        match notification {
            Notification::MemberUp(node) => self.changes.push((node.0, State::Alive)),
            Notification::MemberDown(node) => self.changes.push((node.0, State::Dead)),
            _ => {}
        }
    }

    fn send_to(&mut self, to: Node, data: &[u8]) {
        self.send.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Node>, after: Duration) {
        self.timers.push((after, event));
    }
}

/// A member that runs foca's SWIM with this project's probe period and maximum datagram size, and foca's own formulas for
/// the other settings.
pub struct FocaPeer {
    own: u32,
    core: Foca<Node, PostcardCodec, ChaCha8Rng, foca::NoCustomBroadcast>,
    timers: BTreeSet<(Time, u64)>,
    /// Timer events by the identifier in `timers`.
    timer_events: std::collections::HashMap<u64, Timer<Node>>,
    last_timer_id: u64,
    members: usize,
    started: bool,
}

impl FocaPeer {
    pub fn new(number: usize, members: usize, seed: u64) -> Self {
        let size = NonZeroU32::new(members as u32).unwrap_or(NonZeroU32::MIN);
        let lan = Config::new_lan(size);
        let config = Config {
            probe_period: Duration::from_millis(500),
            probe_rtt: Duration::from_millis(200),
            // The library's formula, scaled to half its default probe period.
            suspect_to_down_after: lan.suspect_to_down_after / 2,
            max_packet_size: NonZeroUsize::new(256).unwrap_or(NonZeroUsize::MIN),
            max_transmissions: NonZeroU8::new(20).unwrap_or(NonZeroU8::MIN),
            ..lan
        };
        let rng = ChaCha8Rng::seed_from_u64(seed ^ number as u64);
        FocaPeer {
            own: number as u32,
            core: Foca::new(Node(number as u32, 0), config, rng, PostcardCodec),
            timers: BTreeSet::new(),
            timer_events: std::collections::HashMap::new(),
            last_timer_id: 0,
            members,
            started: false,
        }
    }

    fn execute(&mut self, now: Time, actions: Actions, out: &mut Vec<Output>) {
        for (to, bytes) in actions.send {
            // The library's identities are member numbers, which map to addresses of the simulated network.
            out.push(Output::Send(address(to.0 as usize), bytes));
        }
        for (after, timer) in actions.timers {
            let at = now + Micros(after.as_micros() as u64);
            self.last_timer_id += 1;
            self.timers.insert((at, self.last_timer_id));
            self.timer_events.insert(self.last_timer_id, timer);
        }
        for (number, to) in actions.changes {
            let (id, by) = (Id(number), Id(self.own));
            out.push(Output::Change(Change::Member {
                id,
                from: State::Absent,
                to,
                reported_by: by,
                restarted: false,
            }));
        }
    }
}

impl Peer for FocaPeer {
    fn next(&self) -> Time {
        if self.started {
            self.timers.first().map_or(Time(u64::MAX), |(at, _)| *at)
        } else {
            Time(0)
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        let mut actions = Actions::default();
        if !std::mem::replace(&mut self.started, true) {
            // Announces itself to three other members, spread over the member numbers.
            for step in 1..=3 {
                let other = (self.own as usize + step * self.members / 4).max(step) % self.members;
                if other as u32 != self.own {
                    let _ = self.core.announce(Node(other as u32, 0), &mut actions);
                }
            }
        }
        while let Some(first) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.remove(&first);
            if let Some(timer) = self.timer_events.remove(&first.1) {
                // An error concerns this event alone, such as a failed probe or an outdated timer.
                let _ = self.core.handle_timer(timer, &mut actions);
            }
        }
        self.execute(now, actions, out);
    }

    fn receive(&mut self, now: Time, _: SocketAddr, bytes: &[u8], out: &mut Vec<Output>) {
        let mut actions = Actions::default();
        let _ = self.core.handle_data(bytes, &mut actions);
        self.execute(now, actions, out);
    }

    fn holds(&self, number: usize) -> Option<State> {
        let known = self.core.iter_members().any(|m| m.id().0 as usize == number);
        Some(if known { State::Alive } else { State::Dead })
    }
}
