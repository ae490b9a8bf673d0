//! The state of the whole fleet's servers, as all instances together have seen it of late.
//!
//! Push-sum (Kempe, Dobra, Gehrke: "Gossip-based computation of aggregate information", FOCS 2003) over sums that fade. What
//! an instance sees of an answer is one unit of weight at its server's site. In each period an instance hands half of what it
//! holds to a member that it draws, and keeps the other half: weight is moved and never copied, so a word that goes round does
//! not grow by it, and a lost datagram takes weight and value alike and leaves the mean as it was. After a few periods each
//! instance holds a little of what very many have seen.

use crate::member::Id;
use bellcroft_balancer::{FleetState, Micros, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// From one hand-over to the next while answers are slow or requests are refused, and while all is well.
const EVERY_BUSY: Micros = Micros(50_000);
const EVERY_QUIET: Micros = Micros(200_000);
/// Answers that take this share of their aims are slow.
const BUSY: f64 = 0.35;
/// And this share of requests is more than a stray refusal.
const REFUSED: f64 = 0.01;
/// What was seen counts for e^-1 after this.
const LIFE_MS: f64 = 250.0;
/// Sites that are told of at most, the weightiest first.
pub const MAX_SITES: usize = 6;
/// Where less weight than this is held, nothing is told.
const LEAST: f64 = 0.02;
/// As many signs as a digest can count for, however many have seen the same.
const SURE_MOST: f64 = 32.0;
/// An answer took, or its server's load speaks for, this many aims at most.
const AIMS_MOST: f64 = 1.2;
/// A half that is handed over weighs this much of what its receiver holds at most, or one answer.
const HEAVIEST: f64 = 1.0;
/// Hand-overs that one peer may be ahead by, and how many times the turns that chance gives it it may take.
const AHEAD: f64 = 3.0;
const TURNS: f64 = 2.0;
/// Peers whose hand-overs are counted; past it those that said nothing for long go.
const PEERS_MOST: usize = 4096;

/// What is told of one site: sums, each of which may be spread over many instances.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Part {
    /// The site.
    pub site: u8,
    /// Answers, by their weight.
    pub weight: f32,
    /// The squares of the weights that it is made of: `weight`² over it is the number of answers that it counts for.
    pub square: f32,
    /// What they took, as shares of their aims.
    pub latency: f32,
    /// What their servers' load speaks for, likewise.
    pub load: f32,
    /// Requests that came to instances of the site ...
    pub requests: f32,
    /// ... and those that they refused.
    pub rejections: f32,
}

impl Part {
    /// Some of them as bytes.
    pub fn encode(parts: &[Part]) -> Vec<u8> {
        postcard::to_stdvec(parts).unwrap_or_default()
    }

    /// Reads them back; none if they are no such bytes.
    pub fn decode(bytes: &[u8]) -> Option<Vec<Part>> {
        postcard::from_bytes(bytes).ok()
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Sums([f64; 6]);

impl Sums {
    fn scale(&mut self, by: f64) {
        let [weight, square, took, full, asked, refused] = &mut self.0;
        [weight, took, full, asked, refused].into_iter().for_each(|sum| *sum *= by);
        *square *= by * by;
    }

    fn add(&mut self, other: &Sums) {
        self.0.iter_mut().zip(other.0).for_each(|(sum, more)| *sum += more);
    }

    fn state(&self) -> FleetState {
        let [weight, square, took, full, asked, refused] = self.0;
        let share = |sum: f64, of: f64| if of > 0.0 { sum / of } else { 0.0 };
        FleetState {
            weight: share(weight * weight, square).min(SURE_MOST),
            latency: share(took, weight),
            load: share(full, weight),
            // A refusal may come when its request has faded a little.
            shed: share(refused, asked).min(1.0),
        }
    }
}

/// What became of a hand-over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// It counts.
    Complete,
    /// It was heavier than what this instance has to set against it, and counts as much as that.
    Partial,
    /// This peer hands over too often, or what no answers can have shown.
    Rejected,
}

/// One instance's part of the digest.
///
/// A peer that lies has no more weight at one receiver than the receiver has itself, and at each receiver twice the turns that
/// chance gives it among n members. A fifth of all weight fades in a period of 50 ms, so that it holds 2 parts in 2 + n/5 of the
/// digest at most, and moves what is seen by that share of 1.2 aims.
#[derive(Debug, Clone, Default)]
pub struct Digest {
    sites: BTreeMap<u8, Sums>,
    at: Time,
    peers: BTreeMap<Id, (Time, f64)>,
}

impl Digest {
    /// What is left by now of what was held last.
    fn left(&self, now: Time) -> f64 {
        (-now.since(self.at).ms() / LIFE_MS).exp()
    }

    fn fade(&mut self, now: Time) {
        let left = self.left(now);
        self.at = self.at.max(now);
        // All of them alike: what is old counts for fewer answers, whoever has seen it.
        self.sites.values_mut().for_each(|sums| sums.0.iter_mut().for_each(|sum| *sum *= left));
        self.sites.retain(|_, sums| sums.0[0].max(sums.0[4]) > LEAST / 100.0);
    }

    /// An answer of a server of this site took so many of its aim, and what its server held speaks for so many.
    pub fn record_response(&mut self, now: Time, site: u8, took: f64, full: f64) {
        self.fade(now);
        let (took, full) = (took.clamp(0.0, AIMS_MOST), full.clamp(0.0, AIMS_MOST));
        self.sites.entry(site).or_default().add(&Sums([1.0, 1.0, took, full, 0.0, 0.0]));
    }

    /// A request came to this instance of this site.
    pub fn record_request(&mut self, now: Time, site: u8) {
        self.fade(now);
        self.sites.entry(site).or_default().add(&Sums([0.0, 0.0, 0.0, 0.0, 1.0, 0.0]));
    }

    /// One of those was refused.
    pub fn record_rejection(&mut self, now: Time, site: u8) {
        self.fade(now);
        self.sites.entry(site).or_default().add(&Sums([0.0, 0.0, 0.0, 0.0, 0.0, 1.0]));
    }

    /// Whether nothing at all is held.
    pub fn is_empty(&self) -> bool {
        self.sites.is_empty()
    }

    /// Whether there is anything to hand over.
    pub fn has_data(&self, now: Time) -> bool {
        let left = self.left(now);
        self.sites.values().any(|sums| sums.0[0].max(sums.0[4]) * left > LEAST)
    }

    /// Half of what is held, to be handed to one peer; this instance keeps the other half.
    pub fn split_half(&mut self, now: Time) -> Vec<Part> {
        self.fade(now);
        let mut heaviest: Vec<(u8, f64)> =
            self.sites.iter().map(|(site, sums)| (*site, sums.0[0].max(sums.0[4]))).collect();
        heaviest.retain(|(_, weight)| *weight > LEAST);
        heaviest.sort_by(|a, b| b.1.total_cmp(&a.1));
        heaviest.truncate(MAX_SITES);
        let mut parts = Vec::with_capacity(heaviest.len());
        for (site, _) in heaviest {
            let Some(sums) = self.sites.get_mut(&site) else { continue };
            sums.scale(0.5);
            let [weight, square, took, full, asked, refused] = sums.0.map(|sum| sum as f32);
            parts.push(Part {
                site,
                weight,
                square,
                latency: took,
                load: full,
                requests: asked,
                rejections: refused,
            });
        }
        parts
    }

    /// A peer hands over, one of so many members.
    pub fn merge(&mut self, now: Time, from: Id, parts: &[Part], members: usize) -> MergeOutcome {
        if !self.may(now, from, members) || parts.len() > MAX_SITES {
            return MergeOutcome::Rejected;
        }
        let sane = |part: &Part| {
            let Part {
                weight, square, latency: took, load: full, requests: asked, rejections: refused, ..
            } = *part;
            let sums = [weight, square, took, full, asked, refused];
            let most = weight * AIMS_MOST as f32 * 1.001;
            sums.iter().all(|sum| sum.is_finite() && *sum >= 0.0) && took <= most && full <= most
        };
        if !parts.iter().all(sane) {
            return MergeOutcome::Rejected;
        }
        self.fade(now);
        let held = self.sites.values().fold((0.0, 0.0), |(w, a), sums| (w + sums.0[0], a + sums.0[4]));
        let told = parts
            .iter()
            .fold((0.0, 0.0), |(w, a), part| (w + f64::from(part.weight), a + f64::from(part.requests)));
        let cut = |told: f64, held: f64| ((held * HEAVIEST).max(1.0) / told.max(1e-9)).min(1.0);
        let by = cut(told.0, held.0).min(cut(told.1, held.1));
        for part in parts {
            let Part {
                weight, square, latency: took, load: full, requests: asked, rejections: refused, ..
            } = *part;
            // Nothing counts for more answers than can be, nor for less than one.
            let least = f64::from(weight).powi(2) / SURE_MOST;
            let square = f64::from(square).clamp(least, f64::from(weight).max(least));
            let mut more = Sums([weight, 0.0, took, full, asked, refused].map(f64::from));
            more.0[1] = square;
            more.scale(by);
            self.sites.entry(part.site).or_default().add(&more);
        }
        if by < 1.0 {
            MergeOutcome::Partial
        } else {
            MergeOutcome::Complete
        }
    }

    /// Whether a peer may hand over now. Each draws its receivers by chance: one in so many periods is this instance. A half
    /// that is refused to an honest peer takes weight and value alike, as a lost one does.
    fn may(&mut self, now: Time, from: Id, members: usize) -> bool {
        let turn = EVERY_BUSY * (members as f64 / TURNS).max(1.0);
        if self.peers.len() >= PEERS_MOST {
            self.peers.retain(|_, (at, _)| now.since(*at) < turn * AHEAD);
        }
        let (at, left) = self.peers.entry(from).or_insert((now, AHEAD));
        *left = (*left + now.since(*at).ms() / turn.ms()).min(AHEAD);
        *at = now;
        let may = *left >= 1.0;
        *left -= f64::from(u8::from(may));
        may
    }

    /// The state of the whole fleet, as far as it is known here now.
    pub fn fleet(&self, now: Time) -> FleetState {
        let mut all = Sums::default();
        self.sites.values().for_each(|sums| all.add(sums));
        let state = all.state();
        FleetState { weight: state.weight * self.left(now), ..state }
    }

    /// How long to wait for the next hand-over.
    pub fn interval(&self, now: Time) -> Micros {
        let state = self.fleet(now);
        if state.latency.max(state.load) > BUSY || state.shed > REFUSED {
            EVERY_BUSY
        } else {
            EVERY_QUIET
        }
    }

    /// The same by site.
    pub fn sites(&self) -> impl Iterator<Item = (u8, FleetState)> + '_ {
        self.sites.iter().map(|(site, sums)| (*site, sums.state()))
    }
}
