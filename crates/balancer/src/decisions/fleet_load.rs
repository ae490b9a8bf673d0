//! How loaded the fleet is, by this balancer's own answers and by what its peers tell.

use super::tuning::*;
use crate::api::*;
use crate::records::*;

/// A blind balancer lets all in while an answer is expected to take this share of its aim, and next to none
/// when it would take the other.
const EASY: f64 = 0.38;
const JAMMED: f64 = 0.65;
/// Both are at least these multiples of what answers usually take: where work fills its aim, that is no jam.
/// A jam that lasts must not pass for usual: past this share of the aim nothing is.
const USUAL_MOST: f64 = 0.5;
const EASY_USUAL: f64 = 1.2;
const JAMMED_USUAL: f64 = 1.7;
/// What it believes of the fleet's present state fades over this many milliseconds, over twice as many if it
/// asks often (`OFTEN` a second) and can renew it; what a held request costs over the other.
const STATE_MS: f64 = 250.0;
const COST_MS: f64 = 2000.0;
const OFTEN: f64 = 5.0;
/// Signs that count as much as knowing nothing, and the most that one sign says, as a share of the aim.
const SIGNS: f64 = 1.0;
const SIGN_MOST: f64 = 1.2;
/// Others are believed up to `MEASURED` times what was measured here by so many signs; by fewer, up to more.
const OWN_ENOUGH: f64 = 2.0;
/// What servers are seen to hold is believed up to this multiple of the answer times measured of late.
const MEASURED: f64 = 2.5;

impl Balancer {
    /// The part of its work that a blind balancer lets in, by the answer time that it expects: what servers
    /// were seen to hold of late, times what a held request has cost. A constant error of the reports cancels
    /// out, and where there are none the answer times are left. Few and old signs weigh little against the
    /// usual.
    pub(super) fn open(&self, now: Time) -> f64 {
        let usual = median(self.class_pace.iter().copied()).unwrap_or(0.0).min(USUAL_MOST);
        let (signs, seen) = self.seen(now);
        let expected = (seen + SIGNS * usual) / (signs + SIGNS);
        let (easy, jammed) = (EASY.max(EASY_USUAL * usual), JAMMED.max(JAMMED_USUAL * usual));
        ((jammed - expected) / (jammed - easy)).clamp(LEVEL_LEAST, 1.0)
    }

    /// The signs of late and the answer times they speak for: its own, or the whole fleet's where its own are
    /// fewer; they are among those. Peers' words must not outweigh several own answers.
    pub(super) fn seen(&self, now: Time) -> (f64, f64) {
        let (signs, (at, fleet)) = (self.signs.now(now), self.fleet);
        let sure = fleet.weight * (-now.since(at).ms() / STATE_MS).exp();
        if sure > signs {
            let own =
                self.measured.now(now) / signs.max(1e-3) * (OWN_ENOUGH / signs.max(1e-3)).clamp(1.0, 3.0);
            let own = if signs > 0.0 { own } else { f64::MAX };
            return (sure, sure * fleet.load.min(MEASURED * fleet.latency.min(own)));
        }
        (signs, (self.holding.now(now) * self.cost(now)).min(MEASURED * self.measured.now(now)))
    }

    /// Takes in how long an answer took, as a share of its aim, and what its server holds.
    pub(super) fn sign(&mut self, now: Time, zone: ZoneId, used: f64, told: Option<f64>) {
        let signs = self.signs.now(now);
        let holds =
            told.map_or(if signs > 0.0 { self.holding.now(now) / signs } else { 1.0 }, |told| told + 1.0);
        let life = STATE_MS * (1.0 + (self.rate() / OFTEN).min(1.0));
        self.took.add(now, COST_MS, used);
        self.held_then.add(now, COST_MS, holds);
        self.signs.add(now, life, 1.0);
        self.measured.add(now, life, used);
        let holds = holds.min(SIGN_MOST / self.cost(now).max(1e-9));
        self.holding.add(now, life, holds);
        self.tell_sign(Signal { zone, latency: used, load: holds * self.cost(now) });
    }

    /// What a held request has cost of late, as a share of the aim.
    pub(super) fn cost(&self, now: Time) -> f64 {
        self.took.now(now) / self.held_then.now(now).max(1e-9)
    }
}
