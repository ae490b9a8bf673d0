//! What is played.

use crate::random::Dist;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A deployment, its load and its troubles. Times are seconds of virtual time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// How long requests come.
    pub seconds: f64,
    /// Requests that come before this are not counted.
    #[serde(default)]
    pub warm_up: f64,
    /// Instances.
    pub instances: usize,
    /// Zones; instances and servers stand in them in turn, unless a group of servers names one.
    #[serde(default = "one")]
    pub zones: usize,
    /// Classes of requests.
    pub classes: Vec<ClassSpec>,
    /// Groups of servers.
    pub servers: Vec<Servers>,
    /// The network.
    #[serde(default)]
    pub network: Network,
    /// When requests come.
    pub arrivals: Arrivals,
    /// What clients do when they are turned away, or tire.
    #[serde(default)]
    pub habits: Habits,
    /// Tenants; their shares follow Zipf's law with this exponent.
    #[serde(default)]
    pub tenants: usize,
    /// Zipf's exponent; 0 for equal shares.
    #[serde(default)]
    pub zipf: f64,
    /// Attempts that a request may have.
    #[serde(default = "three")]
    pub attempts: u32,
    /// What servers tell of their load.
    #[serde(default)]
    pub reports: Reports,
    /// What is wrong with that.
    #[serde(default)]
    pub report_faults: ReportFaults,
    /// Instances may tell each other what they have found of a server, a few bytes at a time.
    #[serde(default)]
    pub peers: bool,
    /// Instances share what they see of the whole fleet's state, by the digest of membership; needs `peers`.
    #[serde(default)]
    pub digest: bool,
    /// How long a change of the list is on its way to an instance: each waits for its own part of this.
    #[serde(default)]
    pub list_delay: f64,
    /// What goes wrong.
    #[serde(default)]
    pub troubles: Vec<Trouble>,
}

fn one() -> usize {
    1
}

fn three() -> u32 {
    3
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// Its share of the requests, against the others'.
    #[serde(default = "whole")]
    pub share: f64,
    /// `idempotent`, `deduplicated`, `deduplicated_by_zone` or `at_most_once`.
    pub effect: Effect,
    /// For how long servers drop repeats.
    #[serde(default)]
    pub window: f64,
    /// The wanted time.
    pub aim: f64,
    /// How long a client waits.
    pub deadline: f64,
    /// The work of one on a server of speed 1.
    pub service: Dist,
}

fn whole() -> f64 {
    1.0
}

/// What a repeat does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Nothing.
    Idempotent,
    /// Servers drop repeats, wherever they come.
    Deduplicated,
    /// Servers drop repeats within their zone.
    DeduplicatedByZone,
    /// Its effect a second time.
    AtMostOnce,
}

/// Servers of one kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    /// How many.
    pub count: usize,
    /// Their zone; in turn without.
    #[serde(default)]
    pub zone: Option<usize>,
    /// Requests in work at a time, each.
    #[serde(default = "one")]
    pub cores: usize,
    /// Requests that may wait; one more is turned away unseen. No bound without.
    #[serde(default)]
    pub queue: Option<usize>,
    /// How fast they work.
    #[serde(default = "whole")]
    pub speed: f64,
    /// They start at this time; from the begin on without.
    #[serde(default)]
    pub starts: Option<f64>,
}

/// The network. A connection takes a round trip to open.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One way within a zone.
    pub within: f64,
    /// One way between zones.
    pub between: f64,
    /// Each way takes up to this share longer.
    pub jitter: f64,
    /// A connection that is not open by then has failed.
    pub connect_timeout: f64,
    /// An idle connection is closed after this.
    pub keepalive: f64,
    /// The share of words between instances that is lost.
    pub lost: f64,
}

impl Default for Network {
    fn default() -> Self {
        Network { within: 0.0, between: 0.0, jitter: 0.0, connect_timeout: 0.5, keepalive: 10.0, lost: 0.0 }
    }
}

/// What clients do when they are turned away, or tire. A want is what a client came for; each of its tries is a request
/// of its own with the want's key, and all of them together have the class's deadline.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Habits {
    /// Further tries of a want. After a refusal always; after a failure only where a repeat is harmless: of an idempotent
    /// class, or of one whose repeats all servers drop, within its window.
    pub retries: u32,
    /// The pause before the first further try; it doubles, and each is up to half as much longer by chance.
    pub pause: f64,
    /// The share of clients that heed the time to come back that a refusal names.
    pub heed: f64,
    /// The share of wants whose client leaves before its deadline.
    pub leave: f64,
    /// How long such a client stays.
    pub patience: Dist,
}

impl Default for Habits {
    fn default() -> Self {
        Habits { retries: 0, pause: 0.1, heed: 1.0, leave: 0.0, patience: Dist::Exponential { mean: 0.2 } }
    }
}

/// When requests come, over all instances together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind", deny_unknown_fields)]
pub enum Arrivals {
    /// At random, at a constant rate.
    Poisson {
        /// Requests a second.
        rate: f64,
    },
    /// At random; the rate is multiplied for a while, again and again.
    Bursts {
        /// Requests a second outside a burst.
        rate: f64,
        /// How long a burst lasts.
        on: f64,
        /// How long none does.
        off: f64,
        /// The multiple.
        factor: f64,
    },
    /// As recorded: at these seconds, each for the next instance in turn.
    Trace {
        /// The times, ascending.
        times: Vec<f64>,
    },
    /// At random; the rate swings with the day.
    Day {
        /// Requests a second on average.
        rate: f64,
        /// The swing, as a share of the rate.
        swing: f64,
        /// The day's length.
        period: f64,
    },
}

impl Arrivals {
    /// The rate at a time, and the highest there is.
    pub(crate) fn rate(&self, at: f64) -> (f64, f64) {
        match *self {
            Arrivals::Poisson { rate } => (rate, rate),
            Arrivals::Bursts { rate, on, off, factor } => {
                let burst = at % (on + off) >= off;
                (if burst { rate * factor } else { rate }, rate * factor.max(1.0))
            }
            Arrivals::Trace { ref times } => {
                let rate = times.last().map_or(0.0, |last| times.len() as f64 / last.max(1e-6));
                (rate, rate)
            }
            Arrivals::Day { rate, swing, period } => {
                let turn = (at / period * std::f64::consts::TAU).sin();
                (rate * (1.0 + swing * turn), rate * (1.0 + swing))
            }
        }
    }
}

/// What servers tell of their load with each answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reports {
    /// Nothing.
    #[default]
    None,
    /// The requests that they hold.
    InFlight,
}

/// What is wrong with reports.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ReportFaults {
    /// A server tells what it held up to this long ago.
    pub delay: f64,
    /// The share of answers without a report.
    pub missing: f64,
    /// The share of reports that say that it holds nothing.
    pub wrong: f64,
}

/// Something that goes wrong, or is put right.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// When.
    pub at: f64,
    /// What.
    pub what: What,
}

impl Trouble {
    /// Refuses a time that is none, and instances, places and faults of links that are not there.
    ///
    /// # Errors
    ///
    /// The first thing that is wrong.
    pub fn check(&self, instances: usize, servers: usize) -> Result<(), ScenarioError> {
        let wrong = |what: String| Err(ScenarioError(what));
        if !(self.at.is_finite() && self.at >= 0.0) {
            return wrong("a trouble's time is finite and not below zero".into());
        }
        match &self.what {
            What::Kill { instances: named }
            | What::Term { instances: named }
            | What::Restart { instances: named }
            | What::Stop { instances: named, .. } => {
                match named.iter().find(|number| **number >= instances) {
                    Some(number) => wrong(format!("no instance {number}; there are {instances}")),
                    None => Ok(()),
                }
            }
            What::Link { from, to, link } => {
                if !link.check() {
                    return wrong(
                        "a link's shares are from 0 to 1, its times to 600 s, its rate not below 0".into(),
                    );
                }
                for place in from.iter().chain(to) {
                    let there = match *place {
                        Place::Instance(Some(number)) => number < instances,
                        Place::Server(Some(number)) => number < servers,
                        Place::Instance(None) | Place::Server(None) | Place::Discovery => true,
                    };
                    if !there {
                        return wrong(format!("no place {}", String::from(*place)));
                    }
                }
                Ok(())
            }
            _ => Ok(()),
        }
    }
}

/// What goes wrong. Servers are named by their numbers, group after group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind", deny_unknown_fields)]
pub enum What {
    /// Servers work this many times slower.
    Slow {
        /// The servers.
        servers: Vec<usize>,
        /// The factor; 1 puts it right.
        factor: f64,
    },
    /// Servers read and say nothing, or speak again.
    Mute {
        /// The servers.
        servers: Vec<usize>,
        /// They do from now on.
        on: bool,
    },
    /// Servers crash: all connections end, what was in work has run for nobody. The list says so after its delay.
    Crash {
        /// The servers.
        servers: Vec<usize>,
    },
    /// Crashed or drained servers start again, cold.
    Start {
        /// The servers.
        servers: Vec<usize>,
    },
    /// Servers drain: the list says so, they take what still comes for the grace, then turn it away.
    Drain {
        /// The servers.
        servers: Vec<usize>,
    },
    /// Nothing passes from one zone to another; both ways need two.
    Cut {
        /// From this zone ...
        from: usize,
        /// ... to this.
        to: usize,
        /// It does from now on; false puts it right.
        on: bool,
    },
    /// One tenant asks this many times as much.
    Flood {
        /// The tenant.
        tenant: usize,
        /// The factor; 1 puts it right.
        factor: f64,
    },
    /// Instances' processes are killed: what they held is lost with them.
    Kill {
        /// The instances.
        instances: Vec<usize>,
    },
    /// Instances' processes are told to end, and end when all that they took is answered.
    Term {
        /// The instances.
        instances: Vec<usize>,
    },
    /// Instances start again from nothing, under their names.
    Restart {
        /// The instances; one that runs is killed first.
        instances: Vec<usize>,
    },
    /// Instances' processes stand still, or go on.
    Stop {
        /// The instances.
        instances: Vec<usize>,
        /// They do from now on.
        on: bool,
    },
    /// Links from some places to others, one way; both ways need two.
    Link {
        /// From these ...
        from: Vec<Place>,
        /// ... to these.
        to: Vec<Place>,
        /// What they do from now on; a link without anything is well again.
        #[serde(default)]
        link: LinkFault,
    },
}

/// An end of a link: `i3` an instance, `s2` a server, `i*` and `s*` all of them, `discovery`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum Place {
    /// An instance; all of them without a number.
    Instance(Option<usize>),
    /// A server; all of them without a number.
    Server(Option<usize>),
    /// Discovery.
    Discovery,
}

impl TryFrom<String> for Place {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let number = |rest: &str| match rest {
            "*" => Ok(None),
            rest => rest.parse().map(Some).map_err(|_| ()),
        };
        let read = match text.split_at_checked(1) {
            _ if text == "discovery" => Ok(Place::Discovery),
            Some(("i", rest)) => number(rest).map(Place::Instance),
            Some(("s", rest)) => number(rest).map(Place::Server),
            _ => Err(()),
        };
        read.map_err(|()| format!("{text:?} is no place; i3, s2, i*, s* or discovery was expected"))
    }
}

impl From<Place> for String {
    fn from(place: Place) -> Self {
        let number = |n: Option<usize>| n.map_or("*".to_owned(), |n| n.to_string());
        match place {
            Place::Instance(n) => format!("i{}", number(n)),
            Place::Server(n) => format!("s{}", number(n)),
            Place::Discovery => "discovery".into(),
        }
    }
}

/// What is wrong with a link. Times are seconds, shares from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkFault {
    /// Nothing passes.
    pub cut: bool,
    /// The share of datagrams that is lost; on TCP, what would be lost comes a fifth of a second later.
    pub loss: f64,
    /// How much longer everything takes.
    pub delay: f64,
    /// By how much that varies; datagrams overtake each other by it.
    pub jitter: f64,
    /// Bytes a second; 0 sets no bound.
    pub rate: f64,
    /// The share of datagrams that comes twice.
    pub doubled: f64,
    /// The share of datagrams that is held back by half a second, behind those that follow.
    pub reordered: f64,
    /// The share of datagrams of which a byte is spoilt.
    pub spoilt: f64,
    /// Connections that are open fall silent for good; new ones are well.
    pub half_open: bool,
    /// Connections that are open are reset; new ones are well.
    pub reset: bool,
}

impl LinkFault {
    fn check(&self) -> bool {
        let share = |value: f64| (0.0..=1.0).contains(&value);
        let time = |value: f64| (0.0..=600.0).contains(&value);
        [self.loss, self.doubled, self.reordered, self.spoilt].into_iter().all(share)
            && [self.delay, self.jitter].into_iter().all(time)
            && self.rate.is_finite()
            && self.rate >= 0.0
    }
}

/// A scenario that can't be played, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScenarioError(pub String);

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ScenarioError {}

/// More than this is a mistake, and is refused before memory is.
const COUNT_MOST: usize = 100_000;

impl Scenario {
    /// How many servers there are.
    pub fn server_count(&self) -> usize {
        self.servers.iter().map(|group| group.count).sum()
    }

    /// Refuses what cannot be played.
    ///
    /// # Errors
    ///
    /// The first thing that is wrong.
    pub fn check(&self) -> Result<(), ScenarioError> {
        let wrong = |what: String| Err(ScenarioError(what));
        let time = |value: f64| value.is_finite() && value >= 0.0;
        if !time(self.seconds) || !time(self.warm_up) || !time(self.list_delay) || self.seconds > 1e6 {
            return wrong("seconds, warm_up and list_delay are times of zero to a million seconds".into());
        }
        if self.classes.is_empty() || self.zones == 0 || self.attempts == 0 {
            return wrong("a scenario needs a class, a zone and an attempt".into());
        }
        if self.digest && !self.peers {
            return wrong("digest needs peers: it travels as their words do".into());
        }
        let servers = self.server_count();
        if self.instances == 0 || self.instances > COUNT_MOST || servers > COUNT_MOST {
            return wrong(format!(
                "{} instances and {servers} servers; 1 and 0 to {COUNT_MOST}",
                self.instances
            ));
        }
        for class in &self.classes {
            class.service.check().map_err(|why| ScenarioError(format!("{}: {why}", class.name)))?;
            let whole = class.aim > 0.0 && class.deadline > 0.0 && time(class.aim) && time(class.deadline);
            if !(whole && time(class.window) && time(class.share) && class.share > 0.0) {
                return wrong(format!("{}: aim, deadline and share are above zero", class.name));
            }
        }
        for group in &self.servers {
            let zone = group.zone.is_none_or(|zone| zone < self.zones);
            if group.cores == 0 || !(group.speed > 0.0 && group.speed.is_finite()) || !zone {
                return wrong("servers need a core, a speed above zero and a zone that is there".into());
            }
        }
        let net = &self.network;
        if ![net.within, net.between, net.jitter, net.connect_timeout, net.keepalive].into_iter().all(time) {
            return wrong("the network's times are finite and not below zero".into());
        }
        let (now, most) = self.arrivals.rate(0.0);
        let faults = &self.report_faults;
        let share = |value: f64| (0.0..=1.0).contains(&value);
        if !time(faults.delay) || !share(faults.missing) || !share(faults.wrong) {
            return wrong("report_faults are a time and two shares from 0 to 1".into());
        }
        let positive = match &self.arrivals {
            Arrivals::Trace { times } => {
                if !times.iter().all(|at| time(*at)) || times.windows(2).any(|pair| pair[0] > pair[1]) {
                    return wrong("a trace's times are finite and ascending".into());
                }
                true
            }
            Arrivals::Bursts { on, off, .. } => time(*on) && time(*off) && on + off > 0.0,
            Arrivals::Day { swing, period, .. } => share(*swing) && *period > 0.0,
            Arrivals::Poisson { .. } => true,
        };
        if !time(now) || !time(most) || !positive {
            return wrong("rates are finite and not below zero, periods above".into());
        }
        let habits = &self.habits;
        habits.patience.check().map_err(|why| ScenarioError(format!("habits.patience: {why}")))?;
        if !time(habits.pause) || !share(habits.heed) || !share(habits.leave) || habits.retries > 100 {
            return wrong("habits are at most 100 retries, a pause, and two shares from 0 to 1".into());
        }
        for trouble in &self.troubles {
            trouble.check(self.instances, servers)?;
            let named = match &trouble.what {
                What::Slow { servers: named, factor } if *factor > 0.0 && factor.is_finite() => {
                    named.as_slice()
                }
                What::Slow { .. } => return wrong("a server can't be slower by nothing".into()),
                What::Mute { servers: named, .. }
                | What::Crash { servers: named }
                | What::Start { servers: named }
                | What::Drain { servers: named } => named,
                What::Cut { from, to, .. } if *from < self.zones && *to < self.zones => &[],
                What::Cut { from, to, .. } => return wrong(format!("no zones {from} and {to}")),
                What::Flood { tenant, factor } if *tenant < self.tenants && time(*factor) => &[],
                What::Flood { tenant, .. } => return wrong(format!("no tenant {tenant}")),
                What::Kill { .. } | What::Term { .. } | What::Restart { .. } => &[],
                What::Stop { .. } | What::Link { .. } => &[],
            };
            if let Some(server) = named.iter().find(|server| **server >= servers) {
                return wrong(format!("no server {server}; there are {servers}"));
            }
        }
        Ok(())
    }
}
