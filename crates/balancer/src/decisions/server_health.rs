//! What is learned of servers: their pace, their limits, and which of them are suspect.

use super::tuning::*;
use crate::api::*;
use crate::records::*;

/// Weight of a new answer in its class's pace; a slower one counts a quarter.
const CLASS_GAIN: f64 = 0.04;
/// A server is slow at this multiple of the fleet's median pace; under it, counts alone shift the load.
const SLOW: f64 = 3.0;
/// Answers needed before a server can be called slow; one costly request is no evidence.
const SLOW_SAMPLES: u32 = 4;
/// Failures in a row, with no success between, that make a server suspect.
const FAILURES: u32 = 3;
/// Failed connects to a zone in a row, to any of its servers, that tell of a cut link and not of a dead
/// server.
const ZONE_FAILURES: u32 = 2;
/// At most this share of the serving fleet is suspect; beyond it the trouble is not the servers'.
const SUSPECT_SHARE: f64 = 0.75;
/// The share of its aim that an answer should take: over it a server's limit shrinks, under it it grows.
const TARGET: f64 = 0.25;
/// What an answer past its aim leaves of a server's limit.
const LATE_CUT: f64 = 0.85;
/// A limit in full use grows by this much in the time that it takes to use it once.
const GROWTH: f64 = 0.1;
/// And shrinks by this much of its overshoot an answer; 0.04 and 0.08 cost more than they save.
const SHRINK: f64 = 0.02;
/// The common level loses this share of itself in a round trip of slow answers (over twice the target), and
/// gains `LEVEL_UP` of its root in one of good ones: a quarter of slow answers holds it, low levels catch up.
const LEVEL_CUT: f64 = 0.6;
const LEVEL_UP: f64 = 0.2;
/// All balancers together try a doubted server, or the way to a zone, once in this time.
const TRIAL_EACH: Micros = Micros(5_000);

impl Balancer {
    pub(super) fn learn(
        &mut self,
        now: Time,
        flight: &Flight,
        outcome: Outcome,
        elapsed: Micros,
        out: &mut Vec<Action>,
    ) {
        let aim = self.settings.classes[flight.class].latency_objective.ms();
        let least = 1.0 / f64::from(self.settings.balancers.max(1));
        let (median, own) = (self.median, self.servers[flight.server].in_flight);
        let used = match outcome {
            Outcome::Success => (elapsed.ms() / aim).min(LATE),
            // Called back is not stopped: the work may still stand in the server's queue.
            Outcome::TimedOut | Outcome::Rejected | Outcome::Cancelled => LATE,
            _ => 0.0,
        };
        let s = &self.servers[flight.server];
        // A blind balancer takes the first full one for chance, and silence behind a cut for no jam.
        let chance = (outcome == Outcome::Rejected && !flight.again)
            || (outcome == Outcome::TimedOut && self.cut_off(s, now));
        let (told, zone) = (s.reported_at.filter(|at| *at == now).map(|_| s.reported), s.listed.zone);
        if used > 0.0 && !flight.counted {
            match (self.blind, chance) {
                (false, _) => self.set_level(used),
                (true, false) => self.sign(now, zone, used, told),
                (true, true) => {}
            }
        }
        let s = &mut self.servers[flight.server];
        if outcome.proves_reachable() {
            s.last_answer = now;
            self.zones.insert(s.listed.zone, Way { answered: now, ..Way::default() });
        }
        match outcome {
            // A full server is no sick one: it is only sent less.
            Outcome::NotSent | Outcome::Cancelled | Outcome::TimedOut | Outcome::Rejected => {}
            Outcome::Success => {
                s.failures = 0;
                if used < 1.0 {
                    s.doubted_until = now;
                }
                lean(&mut self.class_pace[flight.class], used, CLASS_GAIN);
                lean(&mut s.stretch, (used / self.class_pace[flight.class].max(0.001)).min(8.0), CLASS_GAIN);
                s.stretch = s.stretch.max(0.05);
                let current = &mut self.class_now[flight.class];
                *current += PACE_GAIN * (used - *current);
            }
            Outcome::ConnectFailed => {
                s.failures += 1;
                // One that is refused is a server's; one that meets silence may be the way's.
                self.zones.entry(s.listed.zone).or_default().failures += u32::from(elapsed >= HUSH);
            }
            Outcome::ServerError | Outcome::ConnectionReset => s.failures += 1,
        }
        if used > 0.0 {
            let (pace, n) = self.kinds.entry(s.listed.machine_type).or_insert((median, 1.0));
            *n = (*n + 1.0).min(KIND_MOST);
            *pace += (used - *pace) / *n;
            s.pace = if s.samples == 0 { used } else { s.pace + PACE_GAIN * (used - s.pace) };
            s.samples += 1;
            // Slower than the pace forgets, or its lag would drive the limit down too far; an answer past its
            // aim or a full queue is sure evidence and counts at once.
            let over = (s.pace / TARGET - 1.0).min(2.0);
            let factor = if used >= 1.0 { LATE_CUT } else { 1.0 - SHRINK * over.max(0.0) };
            s.limit = (s.limit * factor).max(least);
            if over <= 0.0 && used < 1.0 && f64::from(own) + 1.0 >= (0.7 * s.limit).floor() {
                s.limit = (s.limit + GROWTH / s.limit.max(1.0)).min(LIMIT_MOST);
            }
            // A full server rests in any case, or what it turns away would go round the fleet at once.
            (s.ended, s.took) = (now, elapsed.ms());
            if outcome == Outcome::Rejected {
                s.took = aim;
                s.rest_until = now + Micros::from_ms(aim * self.class_pace[flight.class]);
            }
        }
        let failures = s.way(&self.zones).failures;
        if self.blind && outcome == Outcome::ConnectFailed && failures >= ZONE_FAILURES {
            self.cut(now, zone, out);
        }
        let s = &mut self.servers[flight.server];
        if flight.trial {
            let good = outcome == Outcome::Success && used < SLOW * median.max(0.1);
            if good {
                s.suspicion = None;
                (s.pace, s.samples, s.failures, s.stretch) = (used, 1, 0, 1.0);
            } else if let Some(q) = &mut s.suspicion {
                q.on_trial = false;
                q.pause = (q.pause * 2.0).min(TRIAL_MOST);
                q.next_trial = now + q.pause;
            }
            return;
        }
        let slow = s.samples >= SLOW_SAMPLES && s.pace > SLOW * median && s.pace > TARGET;
        let late = self.blind && used >= 1.0 && outcome != Outcome::Rejected;
        if s.failures >= FAILURES || slow || late || (self.blind && s.failures > 0) {
            self.suspect(now, flight.server, if slow { "slow" } else { "failing" }, out);
        }
    }

    /// Moves the common level by one answer.
    pub(super) fn set_level(&mut self, used: f64) {
        let least = 1.0 / f64::from(self.settings.balancers.max(1));
        let slow = 2.0 * TARGET;
        let step = if used >= slow { -LEVEL_CUT * self.level } else { LEVEL_UP * self.level.sqrt() };
        let round = self.flights.len() + 1;
        self.level = (self.level + step / round as f64).clamp(least, 1.0);
    }

    /// Takes a server out of the draw and out of memory, unless too many are out already.
    pub(super) fn suspect(&mut self, now: Time, server: usize, why: &str, out: &mut Vec<Action>) {
        if self.blind {
            return self.doubt(now, server, out);
        }
        let all = self.serving.len() as f64;
        let suspects = self.serving.iter().filter(|&&i| self.servers[i].suspicion.is_some()).count();
        let s = &mut self.servers[server];
        if s.suspicion.is_some() || (suspects + 1) as f64 > SUSPECT_SHARE * all {
            return;
        }
        s.suspicion = Some(Suspicion { next_trial: now + TRIAL_FIRST, pause: TRIAL_FIRST, on_trial: false });
        self.memory.retain(|&m| m != server);
        let text =
            format!("server {} {why}: pace {:.2} of median {:.2}", s.listed.server.0, s.pace, self.median);
        out.push(Action::Log { text });
    }

    /// A blind balancer meets a server too seldom for trials: those of all balancers together would be a load
    /// of their own. It sends a doubted server a small part of its share for a while and tells some peers,
    /// for each of them would else lose a request of its own to find out.
    pub(super) fn doubt(&mut self, now: Time, server: usize, out: &mut Vec<Action>) {
        let life = self.life(DOUBT_OWN);
        let s = &mut self.servers[server];
        s.doubted_until = now + life;
        self.memory.retain(|&m| m != server);
        let payload = s.listed.server.0.to_be_bytes().to_vec();
        let paid = if self.settings.peers { self.tell_bytes / payload.len() as f64 } else { 0.0 };
        for _ in 0..(paid as u32).min(TELL_MOST).min(self.settings.balancers - 1) {
            self.tell_bytes -= payload.len() as f64;
            let peer = PeerId(self.rng.u32(0..self.settings.balancers));
            out.push(Action::SendHint { to: Some(peer), payload: payload.clone() });
        }
    }

    /// Takes the way to a zone to be cut for a while. What is idle there may be dead: the next attempt, the
    /// trial of the way, needs a connection, and one that does not come up leaves time for another attempt.
    pub(super) fn cut(&mut self, now: Time, zone: ZoneId, out: &mut Vec<Action>) {
        let life = self.life(DOUBT_HEARD);
        self.zones.entry(zone).or_default().cut_until = now + life;
        let servers = &self.servers;
        let there = self.serving.iter().map(|&i| &servers[i].listed).filter(|l| l.zone == zone);
        out.extend(there.map(|l| Action::CloseIdle { server: l.server }));
        self.memory.retain(|&m| servers[m].listed.zone != zone);
    }

    /// How long a doubt lasts: the trials of all balancers together stay bounded, and never come all at once.
    pub(super) fn life(&mut self, least: Micros) -> Micros {
        let fleet = Micros(TRIAL_EACH.0 * u64::from(self.settings.balancers));
        least.max(fleet) * (0.75 + 0.5 * self.rng.f64())
    }
}
