//! Every decision of the balancer; its interface (settings, events, actions) is in `src/api.rs`.
//!
//! In the order of a request's life: `arrive` takes it in, `place` decides whether and where it goes
//! (`candidates` -> `lightest` -> `remember`), `lawful` says what may still be done with it,
//! `outcome` learns from the answer and decides what follows, `end` gives the one final answer. `tick` looks
//! after silent servers, held requests and the list.

use crate::api::*;
use crate::records::*;
use std::collections::BTreeMap;

/// Remembered servers (m) and fresh draws (d) of each pick; the paper asks for d >= m.
const REMEMBERED: usize = 1;
const DRAWS: usize = 3;
/// Weight of a new answer in a server's pace: about the last eight answers count.
const PACE_GAIN: f64 = 0.12;
/// An answer counts as this many aims at most: late is late, and one costly request must not weigh like ten.
const LATE: f64 = 1.0;
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
/// An attempt is overdue at this multiple of the pace of its class, and not before this share of its aim; of
/// the whole aim if it is alone on its server, where it may well be a costly request and no hang.
const OVERDUE: f64 = 4.0;
const OVERDUE_LEAST: f64 = 0.6;
const OVERDUE_ALONE: f64 = 1.0;
/// A connection must be up within this share of the wanted time that is left, or the attempt is made
/// elsewhere; it may always take `CONNECT_LEAST`. One that failed after `HUSH` was no refusal but silence.
const CONNECT_SHARE: f64 = 0.25;
const CONNECT_LEAST: Span = Span(50_000);
const HUSH: Span = Span(20_000);
/// Attempts in a zone that are overdue, with no word from any server there since they were sent, that tell of
/// a cut.
const ZONE_SILENT: usize = 3;
/// At most this share of the serving fleet is suspect; beyond it the trouble is not the servers'.
const SUSPECT_SHARE: f64 = 0.75;
/// A fleet with no warm server gets at most this part of what pushes it over when busy: bursts double that.
const COLD_SAFE: f64 = 0.5;
/// As many balancers may each have one request out at a cold server: rule four leaves that much to chance.
const FEW_BALANCERS: u32 = 5;
/// First and longest pause between two trials of a suspect server.
const TRIAL_FIRST: Span = Span(250_000);
const TRIAL_MOST: Span = Span(4_000_000);
/// The share of its aim that an answer should take: over it a server's limit shrinks, under it it grows.
const TARGET: f64 = 0.25;
/// A server in another zone weighs this much more for each 1% of a request that crossing is priced at; never
/// as much as one request more at zero, so that the price alone does not fill a zone.
const AWAY: f64 = 0.25;
const AWAY_MOST: f64 = 1.8;
/// A key's last server weighs this much where keys run warm: it wins unless it holds clearly more.
const WARM: f64 = 0.7;
/// Keys remembered; past that all are forgotten, which costs each of them one cold run.
const KEYS_MOST: usize = 10_000;
/// Loads that differ by less than this (as a logarithm) are alike: a quarter is well within chance.
const ALIKE: f64 = 0.25;
/// What an answer past its aim leaves of a server's limit.
const LATE_CUT: f64 = 0.85;
/// A limit in full use grows by this much in the time that it takes to use it once.
const GROWTH: f64 = 0.1;
/// And shrinks by this much of its overshoot an answer; 0.04 and 0.08 cost more than they save.
const SHRINK: f64 = 0.02;
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
/// The common level loses this share of itself in a round trip of slow answers (over twice the target), and
/// gains `LEVEL_UP` of its root in one of good ones: a quarter of slow answers holds it, low levels catch up.
const LEVEL_CUT: f64 = 0.6;
const LEVEL_UP: f64 = 0.2;
/// A blind balancer always lets this share in, or it would never see a jam end.
const LEVEL_LEAST: f64 = 0.02;
/// Signs that count as much as knowing nothing, and the most that one sign says, as a share of the aim.
const SIGNS: f64 = 1.0;
const SIGN_MOST: f64 = 1.2;
/// Others are believed up to `MEASURED` times what was measured here by so many signs; by fewer, up to more.
const OWN_ENOUGH: f64 = 2.0;
/// What servers are seen to hold is believed up to this multiple of the answer times measured of late.
const MEASURED: f64 = 2.5;
/// Own requests in flight that a server is first thought to bear, and the most it is ever given.
const LIMIT_FIRST: f64 = 2.0;
const LIMIT_MOST: f64 = 1000.0;
/// Each request earns this much of a further attempt, saved up to the burst.
const RETRY_EARN: f64 = 0.1;
const RETRY_BURST: f64 = 10.0;
/// Second copies go out only at this level or more of the common one.
const COPY_LEVEL: f64 = 0.9;
/// How often the balancer looks around when it holds requests, and when it does not.
const TICK_BUSY: Span = Span(10_000);
const TICK_IDLE: Span = Span(50_000);
/// Votes that a class's usual wait can gather; a new habit of the clients is believed after as many.
const VOTES_MOST: u32 = 50;
/// A held request must have this multiple of its class's present answer time left, or this share of its aim.
const WAIT_MARGIN: f64 = 2.0;
const WAIT_MOST: f64 = 0.7;
/// Traffic is counted over about this many milliseconds.
const COUNT_MS: f64 = 3000.0;
/// A tenant is over its share at this multiple of its fraction; usage wobbles without anyone flooding.
const SHARE_SLACK: f64 = 1.4;
/// A refused client is told to come back after this share of the aim: with time left for an answer in it.
const COME_BACK: f64 = 0.25;
/// Longest local queue, in requests.
const HELD_MOST: usize = 500;

/// An open connection to each server, per hundred balancers, and a new one for each request cost this much
/// each where the site names no price; and an idle one lasts about so many seconds.
const UNPRICED: f64 = 0.03;
const IDLE_S: f64 = 10.0;
/// The news of a report fades over about this many milliseconds.
const NEWS_MS: f64 = 8000.0;
/// The part of its share that a doubted server is still sent, and for how long after own evidence or hearsay.
const DOUBTED: f64 = 0.05;
const DOUBT_OWN: Span = Span(8_000_000);
const DOUBT_HEARD: Span = Span(5_000_000);
/// What one peer alone has said is believed for less.
const DOUBT_LONE: Span = Span(2_000_000);
/// A good answer of a server stands against hearsay for so long.
const VOUCHED: Span = Span(1_000_000);
/// All balancers together try a doubted server, or the way to a zone, once in this time.
const TRIAL_EACH: Span = Span(5_000);
/// Peers told of a doubted server, and the bytes that each request earns for that, saved up to a limit.
const TELL_MOST: u32 = 64;
const TELL_EARN: f64 = 25.0;
const TELL_SAVED: f64 = 512.0;
/// Answers that the pace of a kind of machine remembers at most, those that it counts for beside a server's
/// own, and those that a server's own count for at most.
const KIND_MOST: f64 = 12.0;
const KIND_WORTH: f64 = 1.5;
const OWN_MOST: f64 = 8.0;
/// A blind balancer's own answers of a server fade against the kind's over about this many milliseconds.
const PACE_MS: f64 = 30_000.0;
/// Candidates are asked for their load where all probes of a pick cost this much at most, and for this share
/// of the aim.
const ASK_PRICE: f64 = 0.01;
const ASK_WAIT: f64 = 0.05;

/// How an attempt ended, after how long, and the report that came with it.
type Ended = (Outcome, Span, Option<Vec<f64>>);

/// An attempt, and the place of its server.
type Away = ((RequestId, u32), usize);

const TICK: TimerId = TimerId(0);
const ASKED: TimerId = TimerId(1);
const COPY: TimerId = TimerId(2);

impl Limits {
    /// What the rules and the settings allow, with the budget of further attempts that all requests share.
    pub const STANDARD: Limits = Limits {
        timeout: Span(u64::MAX),
        attempt_timeout: Span(u64::MAX),
        queue_timeout: Span(u64::MAX),
        attempts: u32::MAX,
        retry_on: RetryOn::ALL,
        same_zone: false,
        budgets: Vec::new(),
        copies: Vec::new(),
        bounds: Vec::new(),
    };
}

/// What pays where a route names no budget of its own.
const COMMON: Budget = Budget { id: 0, ratio: RETRY_EARN, burst: RETRY_BURST, strict: false };

fn budgets(limits: &Limits) -> &[Budget] {
    if limits.budgets.is_empty() {
        &[COMMON]
    } else {
        &limits.budgets
    }
}

impl Balancer {
    /// A balancer for these settings; equal seeds and events give equal actions.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let mut blank = Balancer::blank(settings, seed);
        (blank.tell_bytes, blank.ask_pause) = (TELL_SAVED, MIN_WATCH_RETRY_DELAY);
        Ok(blank)
    }

    /// To be called once, before the first event.
    pub fn start(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.settings.discovery == Discovery::OnRequest {
            out.push(Action::Follow { active: true });
        }
        self.set_tick(now, TICK_IDLE, out);
    }

    /// Takes in what has happened by `now` and appends what is to be done about it.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Request(request) => self.arrive(now, request, out),
            Event::Whole { request, time_left } => self.whole(now, request, time_left),
            Event::Spent { request } => {
                self.live.entry(request).and_modify(|live| live.spent = true);
            }
            Event::FirstByte { request, attempt } => {
                if let Some(live) = self.live.get_mut(&request) {
                    live.bound = (attempt.0 as usize) < live.attempts.len();
                }
            }
            Event::Outcome { request, attempt, outcome, elapsed, report, closed } => {
                self.outcome(now, (request, attempt.0), (outcome, elapsed, report), closed, out);
            }
            Event::ClientGone { request } => {
                self.live.remove(&request);
            }
            Event::Timer(TICK) => self.tick(now, out),
            Event::Timer(ASKED) => self.choose_asked(now, out),
            Event::Timer(COPY) => self.send_copies(now, out),
            Event::Timer(_) => {}
            Event::PeerMessage { payload, .. } => self.hear(now, &payload),
            Event::Fleet(state) => self.fleet = (now, state),
            Event::Probed { server, outcome, report, .. } => {
                let Some(&s) = self.index.get(&server) else { return };
                match report {
                    Some(report) => self.read_report(now, s, &report),
                    None if outcome != Outcome::Success => self.suspect(now, s, "silent to probes", out),
                    None => {}
                }
                self.choose_asked(now, out);
            }
            Event::List(update) => self.list(now, update, out),
        }
    }

    // ---- a request comes in -------------------------------------------------------------------------

    fn arrive(&mut self, now: Time, request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        let Some(class) = self.settings.classes.get(request.class.0) else {
            out.push(Action::Refuse { request: id, retry_after: None });
            return;
        };
        if self.live.contains_key(&id) {
            return;
        }
        // First tries of a class wait alike; another wait is what earlier tries have left of the deadline.
        let period = self.settings.period;
        let (usual, votes) = &mut self.usual_wait[request.class.0];
        let near = request.time_left.less(*usual) <= period && usual.less(request.time_left) <= period;
        let alike = near || *votes == 0 || request.coming;
        match *votes {
            _ if request.coming => {}
            0 => (*usual, *votes) = (request.time_left, 1),
            _ if alike => *votes = (*votes + 1).min(VOTES_MOST),
            _ => *votes -= 1,
        }
        let spent = if alike { Span::ZERO } else { class.deadline.less(request.time_left) };
        let deadline = now + request.time_left.min(request.limits().timeout);
        let wanted = if request.coming { request.time_left } else { class.aim.less(spent) };
        let wanted_by = (now + wanted).min(deadline);
        self.count(now, &request);
        let over_share = self.over_share(&request);
        let (attempts, held_since, bound, spent) = (Vec::new(), None, false, false);
        let live = Live { request, deadline, wanted_by, attempts, bound, spent, over_share, held_since };
        let hopeless = self.hopeless(now, &live);
        let class = live.request.class.0;
        self.earn(live.request.limits());
        self.live.insert(id, live);
        self.tell_bytes = (self.tell_bytes + TELL_EARN).min(TELL_SAVED);
        if hopeless || !self.admits(now, class) || self.marooned(now) {
            self.end(now, id, out);
        } else if !self.place(now, id, out) {
            self.hold(now, id, out);
        }
    }

    /// A request that was passed on as it came is whole: only now does its server have it, and its time run.
    fn whole(&mut self, now: Time, id: RequestId, time_left: Span) {
        let Some(live) = self.live.get_mut(&id).filter(|live| live.request.coming) else { return };
        live.request.coming = false;
        live.deadline = now + time_left.min(live.request.limits().timeout);
        live.wanted_by = (now + self.settings.classes[live.request.class.0].aim).min(live.deadline);
        for (_, flight) in self.flights.range_mut((id, 0)..=(id, u32::MAX)).filter(|(_, f)| f.coming) {
            (flight.coming, flight.sent) = (false, now);
            self.servers[flight.server].in_flight += 1;
        }
    }

    /// A request earns its part of a further attempt. Many balancers that each save up a burst would all
    /// spend it in the same jam.
    fn earn(&mut self, limits: &Limits) {
        for budget in budgets(limits).iter().chain(&limits.copies) {
            let burst = if self.blind { budget.burst.min(1.0) } else { budget.burst };
            let saved = (self.saved(budget) + budget.ratio).min(burst);
            self.save(budget, saved);
        }
    }

    fn saved(&self, budget: &Budget) -> f64 {
        self.saved.get(budget.id as usize).copied().flatten().unwrap_or(budget.burst)
    }

    fn save(&mut self, budget: &Budget, saved: f64) {
        let place = budget.id as usize;
        self.saved.resize(self.saved.len().max(place + 1), None);
        self.saved[place] = Some(saved);
    }

    /// Whether the budgets bear a further attempt. One that follows an attempt which never ran is `free`, but
    /// where a route says otherwise.
    fn affords(&self, limits: &Limits, free: bool) -> bool {
        budgets(limits).iter().all(|b| (free && !b.strict) || self.saved(b) >= 1.0)
    }

    fn pay(&mut self, limits: &Limits, free: bool) {
        for budget in budgets(limits).iter().filter(|b| !free || b.strict) {
            self.save(budget, self.saved(budget) - 1.0);
        }
    }

    /// Where a balancer meets a server once in many seconds, limits per server bind nothing: in a jam of the
    /// fleet it lets in only a part of its requests, by chance, first of the classes that are refused last.
    fn admits(&mut self, now: Time, class: usize) -> bool {
        let open = if self.blind { self.open(now) } else { 1.0 }.min(self.bearable);
        if open >= 1.0 {
            return true;
        }
        let work = |c: usize| self.asked[c] * self.usual(c);
        let spared: f64 = (0..self.asked.len()).filter(|&c| self.spared[c]).map(work).sum();
        let spared = spared / (0..self.asked.len()).map(work).sum::<f64>().max(1e-9);
        let part =
            if self.spared[class] { open / spared } else { (open - spared) / (1.0 - spared).max(1e-9) };
        self.rng.f64() < part.max(LEVEL_LEAST)
    }

    /// Whether no way leads to any server, and it is not yet time to try again.
    fn marooned(&mut self, now: Time) -> bool {
        let open = |i: &usize| !self.cut_off(&self.servers[*i], now);
        if !self.blind || self.zones.values().all(|way| way.cut_until <= now) || self.serving.iter().any(open)
        {
            return false;
        }
        let early = now < self.try_at;
        self.try_at = if early { self.try_at } else { now + TRIAL_FIRST };
        early
    }

    /// The part of its work that a blind balancer lets in, by the answer time that it expects: what servers
    /// were seen to hold of late, times what a held request has cost. A constant error of the reports cancels
    /// out, and where there are none the answer times are left. Few and old signs weigh little against the
    /// usual.
    fn open(&self, now: Time) -> f64 {
        let usual = median(self.class_pace.iter().copied()).unwrap_or(0.0).min(USUAL_MOST);
        let (signs, seen) = self.seen(now);
        let expected = (seen + SIGNS * usual) / (signs + SIGNS);
        let (easy, jammed) = (EASY.max(EASY_USUAL * usual), JAMMED.max(JAMMED_USUAL * usual));
        ((jammed - expected) / (jammed - easy)).clamp(LEVEL_LEAST, 1.0)
    }

    /// The signs of late and the answer times they speak for: its own, or the whole fleet's where its own are
    /// fewer; they are among those. Peers' words must not outweigh several own answers.
    fn seen(&self, now: Time) -> (f64, f64) {
        let (signs, (at, fleet)) = (self.signs.now(now), self.fleet);
        let sure = fleet.sure * (-now.since(at).ms() / STATE_MS).exp();
        if sure > signs {
            let own =
                self.measured.now(now) / signs.max(1e-3) * (OWN_ENOUGH / signs.max(1e-3)).clamp(1.0, 3.0);
            let own = if signs > 0.0 { own } else { f64::MAX };
            return (sure, sure * fleet.full.min(MEASURED * fleet.took.min(own)));
        }
        (signs, (self.holding.now(now) * self.cost(now)).min(MEASURED * self.measured.now(now)))
    }

    /// Takes in how long an answer took, as a share of its aim, and what its server holds.
    fn sign(&mut self, now: Time, zone: ZoneId, used: f64, told: Option<f64>) {
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
        self.tell_sign(Sign { zone, took: used, full: holds * self.cost(now) });
    }

    /// What a held request has cost of late, as a share of the aim.
    fn cost(&self, now: Time) -> f64 {
        self.took.now(now) / self.held_then.now(now).max(1e-9)
    }

    /// Requests that come to this balancer a second.
    fn rate(&self) -> f64 {
        self.asked.iter().sum::<f64>() * 1e3 / COUNT_MS
    }

    /// Keeps the traffic of the last seconds by class and by tenant.
    fn count(&mut self, now: Time, request: &Request) {
        let keep = (-now.since(self.counted_at).ms() / COUNT_MS).exp();
        self.counted_at = now;
        self.asked.iter_mut().chain(&mut self.tenant_asked).for_each(|n| *n *= keep);
        self.asked[request.class.0] += 1.0;
        if let Some(n) = request.tenant.and_then(|t| self.tenant_asked.get_mut(t.0)) {
            *n += 1.0;
        }
    }

    /// Of a tenant that takes more than its fraction of this balancer's traffic, the excess is over share.
    /// No balancer sees the whole; its own traffic is the sample that it has.
    fn over_share(&mut self, request: &Request) -> bool {
        let Some(tenant) = request.tenant.filter(|t| t.0 < self.settings.tenants.len()) else { return false };
        let all: f64 = self.tenant_asked.iter().sum();
        let fair = SHARE_SLACK * self.settings.tenants[tenant.0].fraction * all;
        self.settings.over_share_worth < 1.0 && self.rng.f64() * self.tenant_asked[tenant.0] > fair.max(1.0)
    }

    /// Classes to be refused last. Refusing a set of classes costs their worth and, once, the part of the
    /// goal that hangs on the worst class; the set that frees most work for its cost gives way.
    fn rank_classes(&mut self) {
        let classes = &self.settings.classes;
        let work = |c: usize| self.asked[c] * self.usual(c);
        let worth =
            |c: usize| classes[c].worth * if self.settings.worth_by_work { work(c) } else { self.asked[c] };
        let mut order: Vec<usize> = (0..classes.len()).filter(|&c| work(c) > 0.0).collect();
        order.sort_by(|&a, &b| (worth(a) / work(a)).total_cmp(&(worth(b) / work(b))));
        let total: f64 = order.iter().map(|&c| worth(c)).sum();
        let goal = &self.settings.goal;
        let (mut lost, mut freed, mut least, mut giving) = (goal.worst_class * total, 0.0, f64::INFINITY, 0);
        for (i, &c) in order.iter().enumerate() {
            lost += (goal.whole + goal.worst_window) * worth(c);
            freed += work(c);
            if lost / freed < least {
                (least, giving) = (lost / freed, i + 1);
            }
        }
        self.spared = vec![false; classes.len()];
        order[giving..].iter().for_each(|&c| self.spared[c] = true);
    }

    /// Sent now, it would not be answered while that is worth something.
    fn hopeless(&self, now: Time, live: &Live) -> bool {
        let c = &self.settings.classes[live.request.class.0];
        let soon = c.aim * (0.7 * self.class_pace[live.request.class.0]);
        now + soon >= if c.late_worth > 0.0 { live.deadline } else { live.wanted_by }
    }

    /// Keeps a request for later, or ends it if that is hopeless.
    fn hold(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(live) = self.live.get(&id) else { return };
        let shares = |other: &RequestId, bound: &Bound| {
            self.live.get(other).is_some_and(|o| o.request.limits().bounds.iter().any(|b| b.id == bound.id))
        };
        let full = |b: &Bound| self.held.iter().filter(|other| shares(other, b)).count() >= b.held as usize;
        if self.held.len() >= HELD_MOST || live.request.limits().bounds.iter().any(full) {
            self.end(now, id, out);
            return;
        }
        self.held.insert(0, id);
        self.live.entry(id).and_modify(|live| live.held_since = live.held_since.or(Some(now)));
        // A tick that is due is never put off: requests held at each tick would starve it and lose requests.
        if self.tick_at > now + TICK_BUSY {
            self.set_tick(now, TICK_BUSY, out);
        }
    }

    /// What the rules still allow; the whole of "no effect happens twice" is here.
    fn lawful(&self, live: &Live, now: Time) -> Lawful {
        let class = &self.settings.classes[live.request.class.0];
        let out = live.attempts.iter().any(|a| a.fate == Fate::Out);
        let first = live.attempts.iter().find(|a| a.fate != Fate::NeverRan);
        let limits = live.request.limits();
        let full = live.attempts.len() >= self.settings.max_attempts.min(limits.attempts) as usize;
        let shut = full
            || live.bound
            || live.spent
            || now >= live.deadline
            || (out && (live.request.coming || !self.settings.second_copies));
        let send = match (first, class.effect) {
            _ if shut => Reach::Nowhere,
            (None, _) | (_, Effect::Idempotent) => Reach::Anywhere,
            (Some(_), Effect::AtMostOnce) => Reach::Nowhere,
            (Some(first), Effect::Deduplicated { window, .. }) if now > first.sent + window => Reach::Nowhere,
            (Some(first), Effect::Deduplicated { group, .. }) => match group {
                Group::All => Reach::Anywhere,
                Group::Zone => Reach::Zone(first.zone),
                Group::Cell => Reach::Cell(first.cell),
            },
        };
        let send = match (send, live.attempts.first().filter(|_| limits.same_zone)) {
            (Reach::Anywhere, Some(first)) => Reach::Zone(first.zone),
            _ => send,
        };
        let refuse = match (first, class.effect) {
            (None, _) | (_, Effect::Idempotent) => true,
            (Some(_), Effect::AtMostOnce) => false,
            (Some(_), Effect::Deduplicated { group, .. }) => group == Group::All,
        };
        Lawful { send, refuse: refuse && !live.bound }
    }

    // ---- the pick -----------------------------------------------------------------------------------

    /// Sends a request to the lightest candidate, if any server is open to it; false if none is.
    fn place(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(live) = self.live.get(&id) else { return true };
        let pick = self.pick_for(now, live);
        let room = |b: &Bound| self.occupied.get(b.id as usize).is_none_or(|n| *n < b.in_flight);
        if pick.reach == Reach::Nowhere || !live.request.limits().bounds.iter().all(room) {
            return false;
        }
        let candidates = self.candidates(now, &pick);
        if self.asks() && !candidates.is_empty() {
            self.ask(now, id, candidates, out);
            return true;
        }
        self.choose(now, &pick, &candidates, out)
    }

    fn pick_for(&self, now: Time, live: &Live) -> Pick {
        let class = live.request.class.0;
        let key = live.request.key.filter(|_| self.settings.warm_keys);
        Pick {
            id: live.request.id,
            class,
            reach: self.lawful(live, now).send,
            work: self.work(live),
            heavy: (self.work(live) / self.usual(class)).clamp(1.0, 9.0).sqrt(),
            safe: self.settings.classes[class].effect == Effect::Idempotent,
            key,
            warm: key.and_then(|k| self.warm_keys.get(&k)).copied(),
            tried: live.attempts.iter().map(|a| a.server).collect(),
            copy: live.attempts.iter().any(|a| a.fate == Fate::Out),
            fresh: live.held_since.is_none() && live.attempts.is_empty(),
        }
    }

    /// Sends to the lightest candidate and remembers it; false if there is none.
    fn choose(&mut self, now: Time, pick: &Pick, candidates: &[usize], out: &mut Vec<Action>) -> bool {
        let Some(server) = self.lightest(now, candidates, pick) else { return false };
        self.remember(server, pick.key);
        self.send(now, pick, server, out);
        true
    }

    /// Whether the candidates are asked for their load first: where own counts say little, reports come with
    /// probes only, say what a server holds, and those of one pick cost next to nothing.
    fn asks(&self) -> bool {
        let s = &self.settings;
        let telling = s.report_fields.iter().any(|f| matches!(f, ReportField::InFlight | ReportField::Queue));
        let price = s.prices.probe * (DRAWS + REMEMBERED) as f64;
        s.probes && s.report_source == ReportSource::Probes && telling && price <= ASK_PRICE && self.blind
    }

    /// Probes the candidates; the pick waits until all have answered, for a small part of the aim at most.
    fn ask(&mut self, now: Time, id: RequestId, mut candidates: Vec<usize>, out: &mut Vec<Action>) {
        candidates.sort_unstable();
        candidates.dedup();
        let live = &self.live[&id];
        let until = (now + self.settings.classes[live.request.class.0].aim * ASK_WAIT).min(live.deadline);
        for &c in &candidates {
            out.push(Action::Probe { server: self.servers[c].listed.server });
        }
        out.push(Action::SetTimer { at: until, timer: ASKED });
        self.asking.push(Asking { id, candidates, since: now, until });
    }

    /// Sends the requests whose candidates have told their load, or have been waited for long enough.
    fn choose_asked(&mut self, now: Time, out: &mut Vec<Action>) {
        let servers = &self.servers;
        let told = |a: &Asking, c: usize| servers[c].reported_at.is_some_and(|at| at >= a.since);
        let done = |a: &Asking| now >= a.until || a.candidates.iter().all(|&c| told(a, c));
        let (done, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.asking).into_iter().partition(done);
        self.asking = waiting;
        for mut a in done {
            let Some(live) = self.live.get(&a.id) else { continue };
            let pick = self.pick_for(now, live);
            let heard = |c: &usize| self.servers[*c].reported_at.is_some_and(|at| at >= a.since);
            let some = a.candidates.iter().any(heard);
            a.candidates.retain(|c| (!some || heard(c)) && self.ready(now, *c, &pick));
            if !self.choose(now, &pick, &a.candidates, out) {
                self.hold(now, a.id, out);
            }
        }
    }

    /// Whether a server may be sent this request now.
    fn ready(&self, now: Time, i: usize, ask: &Pick) -> bool {
        let s = &self.servers[i];
        let lawful = match ask.reach {
            Reach::Nowhere => false,
            Reach::Anywhere => true,
            Reach::Zone(zone) => s.listed.zone == zone,
            Reach::Cell(cell) => s.listed.cell == cell,
        };
        lawful
            && s.listed.status == Status::Serving
            && self.has_room(now, s, ask.work)
            && (ask.tried.is_empty() || self.warm > 0 || self.settings.balancers <= FEW_BALANCERS)
            && (self.blind || s.suspicion.as_ref().is_none_or(|q| due(q, now, ask.safe)))
    }

    /// Room by the learned limit; where that says nothing, only a server that was full is given a rest. A
    /// cold server has room for its share of what warm ones were sent lately, so that the sum of all
    /// balancers cannot push it over while the warm ones are held back.
    fn has_room(&self, now: Time, s: &Server, work: f64) -> bool {
        if self.blind {
            return now >= s.rest_until;
        }
        // Many balancers with one request each are a crowd too: below one, the limit is kept by rests, judged
        // by the limit as it is now; else one late answer at a low level would rest a server for a minute.
        let limit = s.limit * self.level;
        let rested = now.since(s.ended).ms() >= s.took * (1.0 / limit - 1.0).max(0.0) && now >= s.rest_until;
        let warmth = self.warmth(s, now);
        let share = warmth * self.warm_sent.now(now);
        let cold = warmth < 1.0 && self.warm > 0 && s.cold_sent.now(now) + work > share;
        rested && !cold && f64::from(s.in_flight) + 1.0 <= (limit * warmth).max(1.0)
    }

    /// Fresh uniform draws from the servers that are ready for the request, and the remembered ones that are.
    /// Draws are by rejection, four tries each, so that a pick costs the same in a large fleet; only if all
    /// fail is each server looked at, and those that were tried before come last.
    fn candidates(&mut self, now: Time, ask: &Pick) -> Vec<usize> {
        let mut found: Vec<usize> = Vec::with_capacity(DRAWS + REMEMBERED + 1);
        for _ in 0..4 * DRAWS {
            if found.len() >= DRAWS || self.serving.is_empty() {
                break;
            }
            let i = self.serving[self.rng.usize(0..self.serving.len())];
            if !ask.tried.contains(&i) && self.ready(now, i, ask) && self.passes(now, i, ask.fresh) {
                found.push(i);
            }
        }
        for m in self.memory.clone().into_iter().chain(ask.warm) {
            if !ask.tried.contains(&m) && self.ready(now, m, ask) && self.passes(now, m, ask.fresh) {
                found.push(m);
            }
        }
        if found.is_empty() {
            let ready = |i: &usize| self.ready(now, *i, ask);
            let open = self.serving.iter().copied().filter(ready);
            let (again, fresh): (Vec<_>, Vec<_>) = open.partition(|i| ask.tried.contains(i));
            let mut open = if fresh.is_empty() && !ask.copy { again } else { fresh };
            let warm = |i: &usize| self.warmth(&self.servers[*i], now) >= 1.0;
            // Cold servers only on the first look, and only if there is nothing else.
            if self.blind && (!ask.fresh || open.iter().any(warm)) {
                open.retain(warm);
            }
            found.extend((0..DRAWS.min(open.len())).map(|_| open[self.rng.usize(0..open.len())]));
        }
        found
    }

    /// A cold server, empty and remembered by all, would be pushed over by the sum of all balancers. Each
    /// lets it be a candidate only as often as the part of its capacity that it surely has, so that all
    /// together send it that part of a warm server's share, and no talk among them is needed. Where being
    /// empty wins the pick, a candidate counts for as many as it wins over. Only a request's first look has a
    /// `ticket`: one that is held back, or turned away elsewhere, would pass in the end.
    fn passes(&mut self, now: Time, i: usize, ticket: bool) -> bool {
        if !self.blind {
            return true;
        }
        let (warmth, cut) = (self.warmth(&self.servers[i], now), self.cut_off(&self.servers[i], now));
        let wins = if warmth < 1.0 && (self.asks() || self.open(now) < 1.0) { DRAWS + REMEMBERED } else { 1 };
        !cut && (warmth >= 1.0 || (ticket && self.rng.f64() * (wins as f64) < warmth))
    }

    /// The candidate with the least own load: requests in flight, scaled by what the machine costs (how slow
    /// it has shown itself, a priced crossing, a warm key). Ties fall by its report; a coin is last.
    ///
    /// A blind balancer compares the plain counts, and the coin is weighed by what each candidate can bear.
    /// As the last choice is among the candidates, the choices of all together settle in proportion to that.
    fn lightest(&mut self, now: Time, candidates: &[usize], pick: &Pick) -> Option<usize> {
        let away = (1.0 + 100.0 * AWAY * self.settings.prices.cross_zone).clamp(1.0, AWAY_MOST);
        let (blind, asks) = (self.blind, self.asks());
        let mut best = None;
        for &c in candidates {
            let coin = self.rng.f64();
            let s = &self.servers[c];
            let report = s.reported + f64::from(s.sent_since);
            let key = if blind {
                let told = if asks { report.round() as i64 } else { 0 };
                (i64::from(s.in_flight), told, (-(1.0 - coin).ln() / self.bears(s, now)).to_bits())
            } else {
                let far = if s.listed.zone == self.settings.zone { 1.0 } else { away };
                let known = if pick.warm == Some(c) { WARM } else { 1.0 };
                // A suspect drawn for its trial goes first: by its own record it would never be tried.
                let count = if s.suspicion.is_some() { 0.0 } else { f64::from(s.in_flight) + 1.0 };
                let load = (count * far * (s.stretch * known).powf(0.5 * pick.heavy)).ln();
                ((load / ALIKE).round() as i64, report.round() as i64, coin.to_bits())
            };
            if best.is_none_or(|(least, _)| key < least) {
                best = Some((key, c));
            }
        }
        best.map(|(_, c)| c)
    }

    /// What a server can bear next to others: its listed size over what waits there by its report. A report's
    /// news fades, and what is not known is as crowded as the rest.
    /// The pace counts in its cube: by the plain one slow machines time out while fast ones idle.
    fn bears(&self, s: &Server, now: Time) -> f64 {
        let size = if self.settings.weights == Weights::Size { s.listed.weight } else { 1.0 };
        let size = if size.is_finite() && size > 0.0 { size } else { 1.0 };
        let news = s.reported_at.map_or(0.0, |at| (-now.since(at).ms() / NEWS_MS).exp());
        let waiting = news * (s.reported + f64::from(s.sent_since)) + (1.0 - news) * self.crowd;
        let doubt = if self.cut_off(s, now) || now < s.doubted_until { DOUBTED } else { 1.0 };
        let kind = self.kinds.get(&s.listed.kind).map_or(self.median, |k| k.0);
        let own = f64::from(s.samples).min(OWN_MOST) * (-now.since(s.ended).ms() / PACE_MS).exp();
        let pace = (kind * KIND_WORTH + s.pace * own) / (KIND_WORTH + own);
        doubt * size / (1.0 + waiting) / pace.max(0.01).powi(3)
    }

    fn remember(&mut self, server: usize, key: Option<KeyId>) {
        if let Some(key) = key {
            if self.warm_keys.len() >= KEYS_MOST {
                self.warm_keys.clear();
            }
            self.warm_keys.insert(key, server);
        }
        self.memory.retain(|&m| m != server);
        self.memory.insert(0, server);
        self.memory.truncate(REMEMBERED);
    }

    fn send(&mut self, now: Time, pick: &Pick, server: usize, out: &mut Vec<Action>) {
        let (id, class) = (pick.id, pick.class);
        let cold = self.warmth(&self.servers[server], now) < 1.0;
        let Some(live) = self.live.get_mut(&id) else { return };
        let s = &mut self.servers[server];
        let attempt = live.attempts.len() as u32;
        let limits = live.request.limits();
        let timeout_at = live.deadline.min(now + limits.attempt_timeout);
        let patience = (live.wanted_by.since(now) * CONNECT_SHARE).max(CONNECT_LEAST);
        let mut write_by = timeout_at.min(now + self.settings.drain_grace.min(patience));
        let first = live.attempts.iter().find(|a| a.fate != Fate::NeverRan);
        if let (Some(first), Effect::Deduplicated { window, .. }) =
            (first, self.settings.classes[class].effect)
        {
            write_by = write_by.min(first.sent + window);
        }
        for bound in &limits.bounds {
            let place = bound.id as usize;
            self.occupied.resize(self.occupied.len().max(place + 1), 0);
            self.occupied[place] += 1;
        }
        if let (false, Some(after)) = (pick.copy, live.request.second_copy_after) {
            self.copies.insert((now + after, id));
            out.push(Action::SetTimer { at: now + after, timer: COPY });
        }
        live.held_since = None;
        let limits = live.request.limits.clone();
        let (zone, cell) = (s.listed.zone, s.listed.cell);
        live.attempts.push(Attempt { server, zone, cell, sent: now, fate: Fate::Out });
        let coming = live.request.coming;
        s.in_flight += u32::from(!coming);
        s.sent_since += 1;
        let share = pick.work / self.warm.max(1) as f64;
        let (sent, work) = if cold { (&mut s.cold_sent, pick.work) } else { (&mut self.warm_sent, share) };
        sent.add(now, 0.5 * self.settings.fall_after.ms(), work);
        let trial = s.suspicion.is_some();
        s.suspicion.iter_mut().for_each(|q| q.on_trial = true);
        let again = attempt > 0;
        let flight = Flight { server, class, sent: now, trial, again, counted: false, coming, limits };
        self.flights.insert((id, attempt), flight);
        let (attempt, server) = (AttemptNo(attempt), s.listed.server);
        out.push(Action::Send { request: id, attempt, server, timeout_at, write_by });
    }

    /// Sends the second copies that are due. They are the first to stop when capacity is short: while
    /// requests are held back or answers come slowly, a copy is one more in the queue.
    fn send_copies(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some(&(at, id)) = self.copies.first().filter(|(at, _)| *at <= now) {
            self.copies.remove(&(at, id));
            let Some(live) = self.live.get(&id) else { continue };
            let limits = live.request.limits.clone().unwrap_or_default();
            let alone = live.attempts.iter().filter(|a| a.fate == Fate::Out).count() == 1;
            let short = !self.held.is_empty() || self.level.min(self.open(now)) < COPY_LEVEL;
            let paid = self.affords(&limits, false) && limits.copies.iter().all(|b| self.saved(b) >= 1.0);
            if alone && !short && paid && !self.hopeless(now, live) && self.place(now, id, out) {
                self.pay(&limits, false);
                limits.copies.iter().for_each(|b| self.save(b, self.saved(b) - 1.0));
            }
        }
    }

    // ---- cold servers -------------------------------------------------------------------------------

    /// The share of its capacity that a server surely has.
    fn warmth(&self, s: &Server, now: Time) -> f64 {
        let Some(started) = s.listed.started else { return 1.0 };
        let (age, warm) = (now.since(started).ms(), self.settings.warm_after.ms());
        if age >= warm {
            return 1.0;
        }
        let cold = self.settings.cold_share.min(1.0);
        cold + (1.0 - cold) * age / warm
    }

    /// Counts the warm servers, and what the fleet bears. Where most are cold, what all balancers ask for may
    /// be more than the cold ones bear together, however it is shared out.
    fn weigh_cold(&mut self, now: Time) {
        let warmths = self.serving.iter().map(|&i| self.warmth(&self.servers[i], now));
        let (warm, all) = warmths.fold((0, 0.0), |(warm, all), w| (warm + usize::from(w >= 1.0), all + w));
        self.warm = warm;
        let part = if self.serving.is_empty() { 1.0 } else { all / self.serving.len() as f64 };
        let all_cold = warm == 0 && all > 0.0 && self.settings.balancers > FEW_BALANCERS;
        let factor = self.settings.overload_factor * if all_cold { COLD_SAFE } else { 1.0 };
        self.bearable = if self.blind || all_cold { part * factor } else { 1.0 };
    }

    /// The usual answer time of a class in milliseconds.
    fn usual(&self, class: usize) -> f64 {
        (self.class_pace[class] * self.settings.classes[class].aim.ms()).max(0.001)
    }

    /// A guess at a request's work: the hint, else the usual answer time of its class.
    fn work(&self, live: &Live) -> f64 {
        live.request.cost_hint.map_or_else(|| self.usual(live.request.class.0), Span::ms)
    }

    // ---- what follows an outcome --------------------------------------------------------------------

    fn outcome(
        &mut self,
        now: Time,
        key: (RequestId, u32),
        ended: Ended,
        closed: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.remove(&key) else { return };
        self.servers[flight.server].in_flight -= u32::from(!flight.coming);
        for bound in flight.limits.iter().flat_map(|limits| &limits.bounds) {
            self.occupied[bound.id as usize] -= 1;
        }
        let (outcome, elapsed, report) = ended;
        if let Some(report) = report {
            self.read_report(now, flight.server, &report);
        }
        self.learn(now, &flight, outcome, elapsed, out);
        self.let_go(flight.server, out);
        let id = key.0;
        if closed {
            // What is still out for it works for nobody.
            let attempts = self.live.remove(&id).map(|live| live.attempts).unwrap_or_default();
            let others = (0..).zip(&attempts).filter(|(n, a)| *n != key.1 && a.fate == Fate::Out);
            let called = others.filter(|_| self.settings.cancel);
            out.extend(called.map(|(n, _)| Action::Cancel { request: id, attempt: AttemptNo(n) }));
        } else if let Some(live) = self.live.get_mut(&id) {
            let fate = if outcome.never_ran() { Fate::NeverRan } else { Fate::MayHaveRun };
            live.attempts[key.1 as usize].fate = fate;
            self.follow_up(now, id, outcome, out);
        }
        self.pump(now, out);
    }

    /// Fresh draws range over the whole fleet, so kept connections would grow to balancers times servers and
    /// fill the servers' tables. A blind balancer comes by too seldom to be worth a place in each: it keeps
    /// only the connections of the remembered server.
    fn let_go(&self, server: usize, out: &mut Vec<Action>) {
        let s = &self.servers[server];
        if s.in_flight == 0 && self.blind && !self.memory.contains(&server) && !self.worth_keeping() {
            out.push(Action::CloseIdle { server: s.listed.server });
        }
    }

    /// Whether a connection to each server costs less than the new ones that it spares.
    fn worth_keeping(&self) -> bool {
        let (open, fresh) = (self.settings.prices.connection, self.settings.prices.handshake);
        let (open, fresh) = if open + fresh > 0.0 { (open, fresh) } else { (UNPRICED, UNPRICED) };
        let visits = self.rate() * IDLE_S / self.serving.len().max(1) as f64;
        let reused = 1.0 - (-visits).exp();
        open * f64::from(self.settings.balancers) / 100.0 < fresh * reused
    }

    /// The request still owes its answer after an attempt has failed.
    fn follow_up(&mut self, now: Time, id: RequestId, outcome: Outcome, out: &mut Vec<Action>) {
        let live = &self.live[&id];
        if live.attempts.iter().any(|a| a.fate == Fate::Out) {
            return;
        }
        let (limits, free) = (live.request.limits(), outcome.never_ran());
        let again = limits.retry_on.allows(outcome) && self.affords(limits, free);
        if again && self.lawful(live, now).send != Reach::Nowhere && !self.hopeless(now, live) {
            let limits = live.request.limits.clone().unwrap_or_default();
            self.pay(&limits, free);
            if !self.place(now, id, out) {
                self.hold(now, id, out);
            }
        } else {
            self.end(now, id, out);
        }
    }

    /// The final answer from here: a refusal if that is true to the client, else a failure.
    fn end(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(live) = self.live.remove(&id) else { return };
        if self.lawful(&live, now).refuse {
            let aim = self.settings.classes[live.request.class.0].aim;
            let advice = (aim * COME_BACK).min(self.settings.max_retry_after);
            let retry_after = self.settings.retry_after.then_some(advice);
            out.push(Action::Refuse { request: id, retry_after });
        } else {
            out.push(Action::Fail { request: id });
        }
    }

    /// Sends what is held and can go, newest first, and ends what can no longer be answered in time: first
    /// come first served would let every request wait until it is nearly too late, and then be late.
    fn pump(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.held.is_empty() {
            return;
        }
        let mut held = std::mem::take(&mut self.held);
        held.sort_by_cached_key(|id| {
            self.live.get(id).map(|l| (l.over_share, !self.spared[l.request.class.0]))
        });
        held.retain(|&id| {
            let Some(live) = self.live.get(&id) else { return false };
            let class = live.request.class.0;
            let margin = (WAIT_MARGIN * self.class_now[class]).min(WAIT_MOST);
            let waited = live.held_since.map_or(Span::ZERO, |at| now.since(at));
            let patience = live.request.limits().queue_timeout;
            if waited >= patience
                || self.hopeless(now, live)
                || now + self.settings.classes[class].aim * margin >= live.wanted_by
            {
                self.end(now, id, out);
                return false;
            }
            !self.place(now, id, out)
        });
        self.held = held;
    }

    // ---- what is learned of servers -----------------------------------------------------------------

    fn learn(&mut self, now: Time, flight: &Flight, outcome: Outcome, elapsed: Span, out: &mut Vec<Action>) {
        let aim = self.settings.classes[flight.class].aim.ms();
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
        if outcome.was_said() {
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
            let (pace, n) = self.kinds.entry(s.listed.kind).or_insert((median, 1.0));
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
                s.rest_until = now + Span::from_ms(aim * self.class_pace[flight.class]);
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
    fn set_level(&mut self, used: f64) {
        let least = 1.0 / f64::from(self.settings.balancers.max(1));
        let slow = 2.0 * TARGET;
        let step = if used >= slow { -LEVEL_CUT * self.level } else { LEVEL_UP * self.level.sqrt() };
        let round = self.flights.len() + 1;
        self.level = (self.level + step / round as f64).clamp(least, 1.0);
    }

    /// Takes a server out of the draw and out of memory, unless too many are out already.
    fn suspect(&mut self, now: Time, server: usize, why: &str, out: &mut Vec<Action>) {
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
    fn doubt(&mut self, now: Time, server: usize, out: &mut Vec<Action>) {
        let life = self.life(DOUBT_OWN);
        let s = &mut self.servers[server];
        s.doubted_until = now + life;
        self.memory.retain(|&m| m != server);
        let payload = s.listed.server.0.to_be_bytes().to_vec();
        let paid = if self.settings.peers { self.tell_bytes / payload.len() as f64 } else { 0.0 };
        for _ in 0..(paid as u32).min(TELL_MOST).min(self.settings.balancers - 1) {
            self.tell_bytes -= payload.len() as f64;
            let peer = PeerId(self.rng.u32(0..self.settings.balancers));
            out.push(Action::Tell { to: Some(peer), payload: payload.clone() });
        }
    }

    /// Takes the way to a zone to be cut for a while. What is idle there may be dead: the next attempt, the
    /// trial of the way, needs a connection, and one that does not come up leaves time for another attempt.
    fn cut(&mut self, now: Time, zone: ZoneId, out: &mut Vec<Action>) {
        let life = self.life(DOUBT_HEARD);
        self.zones.entry(zone).or_default().cut_until = now + life;
        let servers = &self.servers;
        let there = self.serving.iter().map(|&i| &servers[i].listed).filter(|l| l.zone == zone);
        out.extend(there.map(|l| Action::CloseIdle { server: l.server }));
        self.memory.retain(|&m| servers[m].listed.zone != zone);
    }

    /// How long a doubt lasts: the trials of all balancers together stay bounded, and never come all at once.
    fn life(&mut self, least: Span) -> Span {
        let fleet = Span(TRIAL_EACH.0 * u64::from(self.settings.balancers));
        least.max(fleet) * (0.75 + 0.5 * self.rng.f64())
    }

    /// Hearsay makes a known server doubted for a short while and nothing else: old, lost or false news is
    /// harmless. Own evidence wins: one that has just answered well here is not doubted for it.
    fn hear(&mut self, now: Time, payload: &[u8]) {
        let Some((id, rest)) = payload.split_first_chunk() else { return };
        let (id, life) = match rest {
            [] => (u32::from_be_bytes(*id), DOUBT_HEARD),
            [LONE] => (u32::from_be_bytes(*id), DOUBT_LONE),
            _ => return,
        };
        if let Some(&s) = self.index.get(&ServerId(id)) {
            let s = &mut self.servers[s];
            // That a good answer ends a doubt is all that moves this into the past.
            if s.doubted_until <= now && now.since(s.doubted_until) < VOUCHED && s.samples > 0 {
                return;
            }
            s.doubted_until = s.doubted_until.max(now + life);
            self.memory.retain(|&m| self.servers[m].doubted_until <= now);
        }
    }

    fn read_report(&mut self, now: Time, server: usize, report: &Report) {
        let place = |field| self.settings.report_fields.iter().position(|f| *f == field);
        let told = place(ReportField::InFlight).or_else(|| place(ReportField::Queue));
        // What no server can hold is no news: a negative load must not make it look empty.
        if let Some(&value) = told.and_then(|i| report.get(i)).filter(|v| (0.0..1e4).contains(*v)) {
            let s = &mut self.servers[server];
            (s.reported, s.reported_at, s.sent_since) = (value, Some(now), 0);
            self.crowd += PACE_GAIN * (s.reported - self.crowd);
        }
    }

    // ---- the list and the clock ---------------------------------------------------------------------

    fn list(&mut self, now: Time, update: ListUpdate, out: &mut Vec<Action>) {
        let (lines, complete) = match update {
            ListUpdate::Failed => {
                let jitter = 0.5 + 0.5 * self.rng.f64();
                let left = MAX_WATCH_RETRY_DELAY.less(TICK_IDLE).less(now.since(self.asked_at));
                self.ask_at = Some(now + self.ask_pause.min(left.max(MIN_WATCH_RETRY_DELAY)) * jitter);
                self.ask_pause = (self.ask_pause * 2.0).min(self.settings.ask_within * 0.5);
                return;
            }
            ListUpdate::Changes(lines) => (lines, false),
            ListUpdate::Complete(lines) | ListUpdate::Saved(lines) => (lines, true),
        };
        self.ask_pause = MIN_WATCH_RETRY_DELAY;
        if complete {
            for s in &mut self.servers {
                s.listed.status = Status::Gone;
            }
        }
        for line in lines {
            let server = line.server;
            match self.index.get(&server) {
                Some(&i) => {
                    let s = &mut self.servers[i];
                    if line.started.is_some() && line.started != s.listed.started {
                        // A new process: what was learned of the old one says nothing, and it is cold.
                        let (in_flight, last_answer) = (s.in_flight, s.last_answer);
                        *s = Server { in_flight, last_answer, ..Server::new(line, LIMIT_FIRST, now) };
                    } else {
                        s.listed = line;
                    }
                }
                None => self.admit(Server::new(line, LIMIT_FIRST, now)),
            }
        }
        self.forget(now);
        let servers = &self.servers;
        self.serving = (0..servers.len()).filter(|&i| servers[i].listed.status == Status::Serving).collect();
        self.memory.retain(|&m| servers[m].listed.status == Status::Serving);
        self.most = self.most.max(self.serving.len());
        self.blind = self.settings.balancers as usize > self.most;
        self.weigh_cold(now);
        self.pump(now, out);
    }

    fn set_tick(&mut self, now: Time, after: Span, out: &mut Vec<Action>) {
        self.tick_at = now + after;
        out.push(Action::SetTimer { at: self.tick_at, timer: TICK });
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        if now < self.tick_at {
            return;
        }
        if self.ask_at.is_some_and(|at| now >= at) {
            (self.ask_at, self.asked_at) = (None, now);
            out.push(Action::Follow { active: true });
        }
        let judged = |s: &&Server| s.listed.status == Status::Serving && s.samples > 0;
        let paces = self.servers.iter().filter(judged).map(|s| s.pace);
        self.median = median(paces).unwrap_or(self.median).max(0.01);
        self.weigh_cold(now);
        self.rank_classes();
        self.find_silent(now, out);
        self.pump(now, out);
        self.set_tick(now, if self.held.is_empty() { TICK_IDLE } else { TICK_BUSY }, out);
    }

    /// Attempts out to zones that have just turned out to be cut: several are overdue there, and none of the
    /// zone's servers has said anything since the first of them was sent.
    fn find_cut(&mut self, now: Time, out: &mut Vec<Action>) -> Vec<Away> {
        let mut waiting: BTreeMap<ZoneId, Vec<Away>> = BTreeMap::new();
        for (&key, f) in self.flights.iter().filter(|(_, f)| !f.coming) {
            let s = &self.servers[f.server];
            let usual = self.settings.classes[f.class].aim * (2.0 * self.class_pace[f.class]);
            if !s.way(&self.zones).heard_since(f.sent) && now.since(f.sent) > usual.max(HUSH) {
                waiting.entry(s.listed.zone).or_default().push((key, f.server));
            }
        }
        waiting.retain(|_, out| out.len() >= ZONE_SILENT);
        waiting.keys().for_each(|zone| self.cut(now, *zone, out));
        waiting.into_values().flatten().collect()
    }

    /// A server is silent if an attempt there is overdue and nothing has come back since it was sent. What
    /// may be repeated and can still be answered in time is called back from it and sent elsewhere.
    fn find_silent(&mut self, now: Time, out: &mut Vec<Action>) {
        let overdue = |(&key, flight): (&(RequestId, u32), &Flight)| {
            let (server, aim) = (&self.servers[flight.server], self.settings.classes[flight.class].aim);
            let least = if server.in_flight > 1 { OVERDUE_LEAST } else { OVERDUE_ALONE };
            let work = self.live.get(&key.0).map_or(0.0, |live| self.work(live));
            let pace = self.class_pace[flight.class].max(self.median).max(work / aim.ms());
            let wait = aim * ((OVERDUE * pace).max(least));
            let quiet = server.last_answer < flight.sent && !flight.coming;
            (quiet && now.since(flight.sent) > wait).then_some((key, flight.server))
        };
        let mut silent: Vec<_> = self.flights.iter().filter_map(overdue).collect();
        if self.blind {
            silent.extend(self.find_cut(now, out));
            silent.sort_unstable();
            silent.dedup();
        }
        // An answer that is late is known to be late before it comes; waiting for it lets a jam grow.
        let (classes, blind) = (&self.settings.classes, self.blind);
        // Silence of a whole zone is a cut and no jam.
        let (servers, zones) = (&self.servers, &self.zones);
        let late = |f: &&mut Flight| {
            let due = blind && !f.counted && !f.coming && now.since(f.sent) > classes[f.class].aim;
            due && servers[f.server].way(zones).heard_since(f.sent)
        };
        let mut zones_late = Vec::new();
        for flight in self.flights.values_mut().filter(late) {
            flight.counted = true;
            zones_late.push(servers[flight.server].listed.zone);
        }
        zones_late.into_iter().for_each(|zone| self.sign(now, zone, LATE, None));
        for &((id, attempt), server) in &silent {
            self.suspect(now, server, "silent", out);
            if blind {
                out.push(Action::CloseIdle { server: self.servers[server].listed.server });
            }
            let Some(live) = self.live.get(&id) else { continue };
            let repeatable = self.settings.classes[live.request.class.0].effect != Effect::AtMostOnce;
            let last = attempt as usize + 1 == live.attempts.len();
            let limits = live.request.limits();
            let spare = live.attempts.len() < self.settings.max_attempts.min(limits.attempts) as usize
                && limits.retry_on.timeout
                && self.affords(limits, false);
            if repeatable && self.settings.cancel && last && spare && !self.hopeless(now, live) {
                out.push(Action::Cancel { request: id, attempt: AttemptNo(attempt) });
            }
        }
    }
}

/// Whether a request may try the server. Safe ones first; any will do once none has come for two pauses,
/// or a site without a safe class would never take a server back.
fn due(q: &Suspicion, now: Time, safe: bool) -> bool {
    let at = if safe { q.next_trial } else { q.next_trial + q.pause * 2.0 };
    !q.on_trial && now >= at
}
