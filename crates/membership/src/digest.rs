//! The digest: decaying averages of the latency, load and shed requests that all instances observe, by site.
//!
//! Push-sum (Kempe, Dobra, Gehrke: "Gossip-based computation of aggregate information", FOCS 2003) over decaying sums.
//! An observed response is one unit of weight at its server's site. In each period an instance sends half of its sums
//! to a member drawn at random and keeps the other half. Weight is moved and never copied, so repeated exchanges do not
//! amplify an observation; a lost datagram removes the same share of weight and value, and the mean does not change.
//! After a few periods the sums of each instance contain observations of very many instances.

use crate::member::Id;
use crate::wire::serialize;
use bellcroft_balancer::{FleetState, Micros, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Time between exchanges while the fleet is busy: responses are slow or requests are shed.
const BUSY_EXCHANGE_INTERVAL: Micros = Micros(50_000);
/// Time between exchanges while the fleet is not busy.
const QUIET_EXCHANGE_INTERVAL: Micros = Micros(200_000);
/// Latency, as a share of the latency objective, above which responses are slow.
const BUSY_LATENCY: f64 = 0.35;
/// Share of shed requests above which the fleet is busy; a few single shed requests stay below it.
const BUSY_SHED_RATIO: f64 = 0.01;
/// Time in which sums decay by 1/e.
const DECAY_MS: f64 = 250.0;
/// Maximum number of sites in an exchange, the heaviest first. The limit bounds the length of the
/// datagram.
pub const MAX_SITES: usize = 6;
/// Minimum weight of a site that is sent in an exchange.
const MIN_EXCHANGED_WEIGHT: f64 = 0.02;
/// Minimum weight of a site that is kept.
const MIN_KEPT_WEIGHT: f64 = MIN_EXCHANGED_WEIGHT / 100.0;
/// Maximum effective number of responses of a digest: the average over more of them is not more reliable.
const MAX_EFFECTIVE_RESPONSES: f64 = 32.0;
/// Maximum latency and load of one response, as shares of the latency objective. The limit bounds the effect of single
/// outliers and of false parts.
const MAX_OBJECTIVE_SHARE: f64 = 1.2;
/// Tolerance for `f32` rounding when a part's sums are checked against [`MAX_OBJECTIVE_SHARE`].
const ROUNDING_TOLERANCE: f32 = 1.001;
/// Maximum weight that is merged from a received half, as a share of the receiver's own weight. A weight of one response
/// is always merged.
const MAX_MERGED_WEIGHT_SHARE: f64 = 1.0;
/// Lower bound of a received weight that is used as a divisor; avoids a division by zero for parts without weight.
const MIN_RECEIVED_WEIGHT: f64 = 1e-9;
/// Maximum number of exchanges that a peer may save up.
const MAX_SAVED_EXCHANGES: f64 = 3.0;
/// Maximum rate of a peer's exchanges, as a multiple of the mean rate at which random draws select this instance.
const MAX_EXCHANGE_RATE: f64 = 2.0;
/// Maximum number of peers whose exchanges are counted; beyond it, peers without a recent exchange are discarded.
const MAX_PEERS: usize = 4096;

/// The sums of one site in an exchange; each sum may contain observations of many instances.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct DigestPart {
    /// Number of the site.
    pub site: u8,
    /// Sum of the weights of all responses.
    pub weight: f32,
    /// Sum of the squared weights of all responses: `weight`² / `square` is the effective number of responses.
    pub square: f32,
    /// Weighted sum of latencies, as shares of the latency objective.
    pub latency: f32,
    /// Weighted sum of the latencies that the servers' load predicts, as shares of the latency objective.
    pub load: f32,
    /// Weighted number of requests that instances of the site received.
    pub requests: f32,
    /// Weighted number of requests that instances of the site shed.
    pub rejections: f32,
}

impl DigestPart {
    /// Encodes parts for a datagram.
    pub fn encode(parts: &[DigestPart]) -> Vec<u8> {
        serialize(&parts)
    }

    /// Decodes parts; none if the bytes are malformed.
    pub fn decode(bytes: &[u8]) -> Option<Vec<DigestPart>> {
        postcard::from_bytes(bytes).ok()
    }

    /// Whether these sums can result from valid observations.
    fn is_valid(&self) -> bool {
        let max = self.weight * MAX_OBJECTIVE_SHARE as f32 * ROUNDING_TOLERANCE;
        let sums = [self.weight, self.square, self.latency, self.load, self.requests, self.rejections];
        sums.iter().all(|sum| sum.is_finite() && *sum >= 0.0) && self.latency <= max && self.load <= max
    }
}

/// The decaying sums of one site; the fields are those of [`DigestPart`].
#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    weight: f64,
    square: f64,
    latency: f64,
    load: f64,
    requests: f64,
    rejections: f64,
}

impl Sums {
    /// Scales these sums, for a split or a limited merge: each single weight is scaled, so its square is scaled twice.
    fn scale(&mut self, factor: f64) {
        for sum in
            [&mut self.weight, &mut self.latency, &mut self.load, &mut self.requests, &mut self.rejections]
        {
            *sum *= factor;
        }
        self.square *= factor * factor;
    }

    /// Scales all sums by the same factor, the squares too, so that an old observation counts for fewer responses,
    /// whichever instance made it.
    fn decay(&mut self, factor: f64) {
        self.weight *= factor;
        self.square *= factor;
        self.latency *= factor;
        self.load *= factor;
        self.requests *= factor;
        self.rejections *= factor;
    }

    fn add(&mut self, other: &Sums) {
        self.weight += other.weight;
        self.square += other.square;
        self.latency += other.latency;
        self.load += other.load;
        self.requests += other.requests;
        self.rejections += other.rejections;
    }

    /// The larger of the weight of responses and the number of requests.
    fn max_weight(&self) -> f64 {
        self.weight.max(self.requests)
    }

    fn state(&self) -> FleetState {
        let ratio = |sum: f64, total: f64| if total > 0.0 { sum / total } else { 0.0 };
        FleetState {
            weight: ratio(self.weight * self.weight, self.square).min(MAX_EFFECTIVE_RESPONSES),
            latency: ratio(self.latency, self.weight),
            load: ratio(self.load, self.weight),
            // The ratio is above 1 if a shed request is recorded after its received request has decayed a little.
            shed: ratio(self.rejections, self.requests).min(1.0),
        }
    }

    fn to_part(self, site: u8) -> DigestPart {
        DigestPart {
            site,
            weight: self.weight as f32,
            square: self.square as f32,
            latency: self.latency as f32,
            load: self.load as f32,
            requests: self.requests as f32,
            rejections: self.rejections as f32,
        }
    }

    /// The sums of a received part. `square` is bounded so that it counts for at least one response and at most
    /// [`MAX_EFFECTIVE_RESPONSES`].
    fn from_part(part: &DigestPart) -> Self {
        let weight = f64::from(part.weight);
        let min_square = weight.powi(2) / MAX_EFFECTIVE_RESPONSES;
        Sums {
            weight,
            square: f64::from(part.square).clamp(min_square, weight.max(min_square)),
            latency: part.latency.into(),
            load: part.load.into(),
            requests: part.requests.into(),
            rejections: part.rejections.into(),
        }
    }
}

/// A token bucket: the number of exchanges that a peer may still make.
#[derive(Debug, Clone, Copy)]
struct ExchangeAllowance {
    updated: Time,
    exchanges: f64,
}

/// The outcome of merging a received half.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The complete half was merged.
    Complete,
    /// The half had more weight than the receiver's own sums, and only a share of it was merged.
    Partial,
    /// The peer exchanges too often, or the half is malformed or contains impossible sums.
    Rejected,
}

/// One instance's part of the digest.
///
/// A peer that sends false sums has no more weight at a receiver than the receiver itself, and its rate of exchanges is
/// at most twice the rate of random draws among n members. A fifth of all weight decays in a period of 50 ms, so the
/// peer contributes at most 2 parts in 2 + n/5 of the digest, and shifts the averages by that share of 1.2 latency
/// objectives.
#[derive(Debug, Clone, Default)]
pub struct Digest {
    sites: BTreeMap<u8, Sums>,
    /// Time up to which the sums have decayed.
    decayed_at: Time,
    allowances: BTreeMap<Id, ExchangeAllowance>,
}

impl Digest {
    /// The share of the sums that remains after the decay up to now.
    fn decay_factor(&self, now: Time) -> f64 {
        (-now.since(self.decayed_at).ms() / DECAY_MS).exp()
    }

    fn decay(&mut self, now: Time) {
        let factor = self.decay_factor(now);
        self.decayed_at = self.decayed_at.max(now);
        self.sites.values_mut().for_each(|sums| sums.decay(factor));
        self.sites.retain(|_, sums| sums.max_weight() > MIN_KEPT_WEIGHT);
    }

    fn record(&mut self, now: Time, site: u8, observed: Sums) {
        self.decay(now);
        self.sites.entry(site).or_default().add(&observed);
    }

    /// Records a response of a server of this site: its latency, and the latency that the server's load predicts, both
    /// as shares of the latency objective.
    pub fn record_response(&mut self, now: Time, site: u8, latency: f64, load: f64) {
        let latency = latency.clamp(0.0, MAX_OBJECTIVE_SHARE);
        let load = load.clamp(0.0, MAX_OBJECTIVE_SHARE);
        self.record(now, site, Sums { weight: 1.0, square: 1.0, latency, load, ..Sums::default() });
    }

    /// Records a request that this instance, at this site, received.
    pub fn record_request(&mut self, now: Time, site: u8) {
        self.record(now, site, Sums { requests: 1.0, ..Sums::default() });
    }

    /// Records that this instance, at this site, shed one of its recorded requests.
    pub fn record_rejection(&mut self, now: Time, site: u8) {
        self.record(now, site, Sums { rejections: 1.0, ..Sums::default() });
    }

    /// Whether there are no sums of any site.
    pub fn is_empty(&self) -> bool {
        self.sites.is_empty()
    }

    /// Whether any site has enough weight for an exchange.
    pub fn has_data(&self, now: Time) -> bool {
        let factor = self.decay_factor(now);
        self.sites.values().any(|sums| sums.max_weight() * factor > MIN_EXCHANGED_WEIGHT)
    }

    /// Removes and returns half of the sums of the heaviest sites, to be sent to one peer.
    pub fn split_half(&mut self, now: Time) -> Vec<DigestPart> {
        self.decay(now);
        let mut heaviest: Vec<(u8, f64)> =
            self.sites.iter().map(|(site, sums)| (*site, sums.max_weight())).collect();
        heaviest.retain(|(_, weight)| *weight > MIN_EXCHANGED_WEIGHT);
        heaviest.sort_by(|a, b| b.1.total_cmp(&a.1));
        heaviest.truncate(MAX_SITES);
        let mut parts = Vec::with_capacity(heaviest.len());
        for (site, _) in heaviest {
            let Some(sums) = self.sites.get_mut(&site) else { continue };
            sums.scale(0.5);
            parts.push(sums.to_part(site));
        }
        parts
    }

    /// Merges a half that a peer sent; `members` is the fleet's size, which limits the peer's rate.
    pub fn merge(&mut self, now: Time, from: Id, parts: &[DigestPart], members: usize) -> MergeOutcome {
        if !self.try_consume_exchange(now, from, members) || parts.len() > MAX_SITES {
            return MergeOutcome::Rejected;
        }
        if !parts.iter().all(DigestPart::is_valid) {
            return MergeOutcome::Rejected;
        }
        self.decay(now);
        let share = self.merged_share(parts);
        for part in parts {
            let mut merged = Sums::from_part(part);
            merged.scale(share);
            self.sites.entry(part.site).or_default().add(&merged);
        }
        if share < 1.0 {
            MergeOutcome::Partial
        } else {
            MergeOutcome::Complete
        }
    }

    /// The share of received parts that is merged, so that they add no more weight than this instance's own sums have.
    fn merged_share(&self, parts: &[DigestPart]) -> f64 {
        let (mut own, mut received) = (Sums::default(), Sums::default());
        self.sites.values().for_each(|sums| own.add(sums));
        for part in parts {
            received.weight += f64::from(part.weight);
            received.requests += f64::from(part.requests);
        }
        let share = |received: f64, own: f64| {
            ((own * MAX_MERGED_WEIGHT_SHARE).max(1.0) / received.max(MIN_RECEIVED_WEIGHT)).min(1.0)
        };
        share(received.weight, own.weight).min(share(received.requests, own.requests))
    }

    /// Consumes one exchange of a peer's allowance; false if none is left. A random draw selects this instance once in
    /// `members` periods on average. If the exchange of a correct peer is rejected, the same share of weight and value
    /// is lost, as with a lost datagram.
    fn try_consume_exchange(&mut self, now: Time, from: Id, members: usize) -> bool {
        let interval = BUSY_EXCHANGE_INTERVAL * (members as f64 / MAX_EXCHANGE_RATE).max(1.0);
        if self.allowances.len() >= MAX_PEERS {
            let full_after = interval * MAX_SAVED_EXCHANGES;
            self.allowances.retain(|_, allowance| now.since(allowance.updated) < full_after);
        }
        let full = ExchangeAllowance { updated: now, exchanges: MAX_SAVED_EXCHANGES };
        let allowance = self.allowances.entry(from).or_insert(full);
        let earned = now.since(allowance.updated).ms() / interval.ms();
        allowance.exchanges = (allowance.exchanges + earned).min(MAX_SAVED_EXCHANGES);
        allowance.updated = now;
        let allowed = allowance.exchanges >= 1.0;
        allowance.exchanges -= f64::from(u8::from(allowed));
        allowed
    }

    /// The average state of all sites, as known to this instance.
    pub fn fleet(&self, now: Time) -> FleetState {
        let mut total = Sums::default();
        self.sites.values().for_each(|sums| total.add(sums));
        let state = total.state();
        FleetState { weight: state.weight * self.decay_factor(now), ..state }
    }

    /// The time until the next exchange.
    pub fn interval(&self, now: Time) -> Micros {
        let state = self.fleet(now);
        if state.latency.max(state.load) > BUSY_LATENCY || state.shed > BUSY_SHED_RATIO {
            BUSY_EXCHANGE_INTERVAL
        } else {
            QUIET_EXCHANGE_INTERVAL
        }
    }

    /// The state of each site, without the decay since the last record or exchange.
    pub fn sites(&self) -> impl Iterator<Item = (u8, FleetState)> + '_ {
        self.sites.iter().map(|(site, sums)| (*site, sums.state()))
    }
}
