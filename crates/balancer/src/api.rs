//! The interface of [`crate::Balancer`]: time, identities, settings, events and actions.

use std::fmt;
use std::ops::{Add, Mul, Sub};
use std::sync::Arc;

/// A moment on the caller's clock, in microseconds since any epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub u64);

/// A length of time in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Micros(pub u64);

impl Time {
    /// The moment `ms` milliseconds after the epoch; below zero or not a number counts as the epoch.
    pub fn from_ms(ms: f64) -> Self {
        Time(Micros::from_ms(ms).0)
    }
    /// Milliseconds since the epoch.
    pub fn ms(self) -> f64 {
        self.0 as f64 / 1e3
    }
    /// The time that has passed since `earlier`, zero if it lies ahead.
    pub fn since(self, earlier: Time) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}

impl Micros {
    /// No time at all.
    pub const ZERO: Micros = Micros(0);
    /// `ms` milliseconds; below zero or not a number counts as none.
    pub fn from_ms(ms: f64) -> Self {
        Micros((ms * 1e3).round() as u64)
    }
    /// The length in milliseconds.
    pub fn ms(self) -> f64 {
        self.0 as f64 / 1e3
    }
    /// This length less `other`, never below zero.
    pub fn saturating_sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}

impl Add<Micros> for Time {
    type Output = Time;
    fn add(self, span: Micros) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Micros> for Time {
    type Output = Time;
    fn sub(self, span: Micros) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Mul<f64> for Micros {
    type Output = Micros;
    fn mul(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor).round() as u64)
    }
}

macro_rules! id {
    ($(#[$doc:meta] $name:ident($inner:ty)),* $(,)?) => {$(
        #[$doc]
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub $inner);
    )*};
}

id! {
    /// A request, named by the caller; never used twice in a balancer's life.
    RequestId(u64),
    /// A server, named by the caller; the same while the machine is, and the same at every balancer.
    ServerId(u32),
    /// A request class: its place in [`Settings::classes`].
    ClassId(usize),
    /// A tenant: its place in [`Settings::tenants`].
    TenantId(usize),
    /// A zone, as the server list numbers them.
    ZoneId(u32),
    /// A kind of machine, as the server list numbers them.
    MachineTypeId(u32),
    /// A cell (a group of servers that remember each other's requests), as the server list numbers them.
    DedupGroupId(u32),
    /// The thing that a request concerns; requests for the same thing carry the same key.
    KeyId(u64),
    /// An attempt of a request: 0 for its first send, 1 for its second and so on.
    AttemptNo(u32),
    /// Names a timer; chosen by the balancer.
    TimerId(u64),
    /// Another balancer of the same service.
    PeerId(u32),
}

/// What repeating a request would do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum RetrySafety {
    /// Safe to repeat.
    #[default]
    Idempotent,
    /// Carries a key by which the servers of `group` drop a repeat for `window` from the first send on.
    Deduplicated {
        /// Which servers drop repeats.
        scope: DedupScope,
        /// For how long they do.
        window: Micros,
    },
    /// Must not run twice.
    AtMostOnce,
}

/// The servers that share a memory of what has already run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DedupScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Group,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// What a repeat would do.
    pub retry_safety: RetrySafety,
    /// An answer within this is worth all of `priority_weight`.
    pub latency_objective: Micros,
    /// The aim grows by this multiple of the request's own work, up to the deadline.
    pub objective_stretch: f64,
    /// How long a client waits in all, over all its tries.
    pub deadline: Micros,
    /// What a request answered within its aim is worth.
    pub priority_weight: f64,
    /// The share of the worth that an answer between aim and deadline keeps.
    pub late_weight: f64,
    /// The answer is a stream, announced by [`Event::FirstByte`].
    pub stream: bool,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            retry_safety: RetrySafety::Idempotent,
            latency_objective: Micros::from_ms(500.0),
            objective_stretch: 0.0,
            deadline: Micros::from_ms(1000.0),
            priority_weight: 1.0,
            late_weight: 0.0,
            stream: false,
        }
    }
}

/// A tenant with a share of the service.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Tenant {
    /// Its fraction of the service.
    pub fraction: f64,
    /// Requests a second, over all balancers, that lie within its share.
    pub allowance_per_s: f64,
}

/// What a server's report can say, in the order that [`Settings::report_fields`] gives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LoadReportField {
    /// Requests it holds.
    InFlight,
    /// Requests that wait in it.
    Queue,
    /// The busy share of its cores.
    Utilisation,
    /// Its recent service time in milliseconds, waiting left out.
    ServiceTime,
    /// Requests it answers a second.
    Rate,
    /// Errors a second.
    Errors,
    /// Something that the balancer has no use for.
    Other,
}

/// A watch that has failed is begun again this long after it began at the latest, or after [`MIN_WATCH_RETRY_DELAY`] if
/// that is later, with jitter and the interval of the balancer's timer: two tries fit in the 6 s after which what
/// discovery has counts as told once it can be reached again. A service that turns calls away is given room.
pub const MAX_WATCH_RETRY_DELAY: Micros = Micros(3_750_000);

/// The pause after the first failure, doubled after each further one, and the least one after a call that hung, jitter
/// included.
pub const MIN_WATCH_RETRY_DELAY: Micros = Micros(600_000);

/// How the balancer hears of changes to the server list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Discovery {
    /// They come by themselves.
    #[default]
    Pushed,
    /// Only after [`Action::Watch`] or [`Action::FetchEndpoints`].
    OnRequest,
}

/// Where load reports come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum LoadReportSource {
    /// There are none.
    #[default]
    None,
    /// In outcomes and in probe results.
    Answers,
    /// In probe results only.
    Probes,
}

/// The meaning of [`Endpoint::weight`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Weights {
    /// They say nothing.
    #[default]
    None,
    /// The size of the machine, exactly or roughly.
    Size,
    /// The size divided by the load of a while ago.
    Live,
}

/// How the service weighs its results; the parts need not sum to one.
#[derive(Debug, Clone, PartialEq)]
pub struct Objective {
    /// All requests together.
    pub whole: f64,
    /// The worst stretch of time.
    pub worst_window: f64,
    /// The class that is served worst.
    pub worst_class: f64,
    /// The tenant that is served worst within its share.
    pub worst_tenant: f64,
}

impl Default for Objective {
    fn default() -> Self {
        Objective { whole: 1.0, worst_window: 0.0, worst_class: 0.0, worst_tenant: 0.0 }
    }
}

/// What things cost, as a share of the result for one of each per request.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Costs {
    /// An attempt that leaves the balancer's zone.
    pub cross_zone: f64,
    /// A probe.
    pub probe: f64,
    /// A fresh connection.
    pub handshake: f64,
    /// An open connection, per hundred servers' worth.
    pub connection: f64,
    /// Work that served no answer.
    pub waste: f64,
    /// A request that ends unserved after its aim.
    pub late_fail: f64,
}

/// All that a balancer is told at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Number of balancers of this service, this one included.
    pub balancers: u32,
    /// The zone that this balancer is in.
    pub zone: ZoneId,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// What a request over its tenant's share is still worth, as a fraction.
    pub over_quota_weight: f64,
    /// Worth counts by work and not by request.
    pub weight_by_work: bool,
    /// How the results are weighed.
    pub objective: Objective,
    /// What things cost.
    pub costs: Costs,
    /// How the server list is heard.
    pub discovery: Discovery,
    /// Without a subscription the list must be asked for at least this often.
    pub poll_interval: Micros,
    /// Where load reports come from.
    pub report_source: LoadReportSource,
    /// What a load report holds, in order.
    pub report_fields: Vec<LoadReportField>,
    /// What the list's weights mean.
    pub weights: Weights,
    /// A server that met a key lately serves it for less work.
    pub key_affinity: bool,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// A request may have two attempts out at once.
    pub hedging: bool,
    /// [`Action::Cancel`] is allowed.
    pub cancel: bool,
    /// [`Action::HealthCheck`] is allowed.
    pub health_checks: bool,
    /// [`Action::SendHint`] is allowed.
    pub peers: bool,
    /// Clients are passed the advice in [`Action::Shed`].
    pub retry_after: bool,
    /// The longest advice that a client heeds.
    pub max_retry_after: Micros,
    /// Nothing new may go to a draining or gone server this long after the balancer was told.
    pub drain_grace_period: Micros,
    /// A server starts at this share of its capacity or more.
    pub initial_capacity: f64,
    /// And is warm after this.
    pub slow_start_window: Micros,
    /// Sent more than this multiple of what it can do ...
    pub overload_factor: f64,
    /// ... for this long, a cold server falls over.
    pub fall_after: Micros,
    /// How often at most events come.
    pub event_interval: Micros,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            balancers: 1,
            zone: ZoneId(0),
            classes: vec![Class::default()],
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            weight_by_work: false,
            objective: Objective::default(),
            costs: Costs::default(),
            discovery: Discovery::Pushed,
            poll_interval: Micros::from_ms(10_000.0),
            report_source: LoadReportSource::None,
            report_fields: Vec::new(),
            weights: Weights::None,
            key_affinity: false,
            max_attempts: 3,
            hedging: false,
            cancel: true,
            health_checks: false,
            peers: false,
            retry_after: false,
            max_retry_after: Micros::from_ms(1000.0),
            drain_grace_period: Micros::from_ms(1000.0),
            initial_capacity: 0.1,
            slow_start_window: Micros::from_ms(20_000.0),
            overload_factor: 2.0,
            fall_after: Micros::from_ms(1000.0),
            event_interval: Micros::from_ms(1.0),
        }
    }
}

impl Settings {
    /// Refuses settings that no balancer can work with; [`crate::Balancer::new`] calls it.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.max_attempts == 0 {
            return Err(SettingsError::NoAttempts);
        }
        for class in &self.classes {
            if class.latency_objective == Micros::ZERO {
                return Err(SettingsError::ZeroDuration { setting: "aim" });
            }
            if class.deadline == Micros::ZERO {
                return Err(SettingsError::ZeroDuration { setting: "deadline" });
            }
            if matches!(class.retry_safety, RetrySafety::Deduplicated { window: Micros::ZERO, .. }) {
                return Err(SettingsError::ZeroDuration { setting: "dedup window" });
            }
        }
        // A share may be the sum of others.
        let share = |value: f64| (0.0..=1.0 + 1e-6).contains(&value);
        if let Some(tenant) = self.tenants.iter().find(|tenant| !share(tenant.fraction)) {
            return Err(SettingsError::BadShare { value: tenant.fraction });
        }
        let numbers = [("cold_share", self.initial_capacity), ("overload_factor", self.overload_factor)];
        let numbers = numbers.into_iter().chain(self.classes.iter().map(|c| ("worth", c.priority_weight)));
        for (setting, value) in numbers {
            if !value.is_finite() || value < 0.0 {
                return Err(SettingsError::BadNumber { setting, value });
            }
        }
        Ok(())
    }
}

/// Settings that no balancer can work with.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub enum SettingsError {
    /// There must be at least one class.
    NoClasses,
    /// A number that must be finite and not negative is not.
    BadNumber {
        /// Which setting.
        setting: &'static str,
        /// What it was.
        value: f64,
    },
    /// A tenant's share is not from 0 to 1.
    BadShare {
        /// What it was.
        value: f64,
    },
    /// A span that must be above zero is zero.
    ZeroDuration {
        /// Which setting.
        setting: &'static str,
    },
    /// A request needs at least one attempt.
    NoAttempts,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::NoClasses => write!(f, "settings name no request class; at least one is needed"),
            SettingsError::BadNumber { setting, value } => {
                write!(f, "setting {setting} is {value}; a finite number of zero or more is needed")
            }
            SettingsError::BadShare { value } => {
                write!(f, "a tenant's share (fraction) is {value}; a number from 0 to 1 is needed")
            }
            SettingsError::ZeroDuration { setting } => {
                write!(f, "setting {setting} is zero; it must be longer")
            }
            SettingsError::NoAttempts => {
                write!(f, "settings allow no attempt for a request; at least one is needed")
            }
        }
    }
}

impl std::error::Error for SettingsError {}

/// What the list says of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Status {
    /// It takes requests.
    Serving,
    /// It finishes what it has; send it nothing new.
    Draining,
    /// It has left.
    Gone,
}

/// A line of the server list.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind.
    pub machine_type: MachineTypeId,
    /// Its cell.
    pub dedup_group: DedupGroupId,
    /// Its status.
    pub status: Status,
    /// Its size among the others; see [`Settings::weights`].
    pub weight: f64,
    /// When it last started, if that was lately.
    pub started_at: Option<Time>,
}

impl Endpoint {
    /// A serving server that started long ago, in zone, kind and cell 0.
    pub fn serving(server: ServerId) -> Self {
        Endpoint {
            server,
            zone: ZoneId(0),
            machine_type: MachineTypeId(0),
            dedup_group: DedupGroupId(0),
            status: Status::Serving,
            weight: 1.0,
            started_at: None,
        }
    }
}

/// News of the server list.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointUpdate {
    /// The changed lines only.
    Delta(Vec<Endpoint>),
    /// The whole list: what it leaves out has left.
    Snapshot(Vec<Endpoint>),
    /// The whole list as it was saved before a restart; may be stale.
    SavedSnapshot(Vec<Endpoint>),
    /// A call or the subscription failed; what was known still stands.
    Failed,
}

/// A request that a client has handed over.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Its name.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Whose it is.
    pub tenant: Option<TenantId>,
    /// What it concerns.
    pub key: Option<KeyId>,
    /// A guess at its work, in core time.
    pub cost_hint: Option<Micros>,
    /// The client says that this is a repeat.
    pub is_retry: bool,
    /// How long the client still waits for this try; of one that is still coming, the longest that this may take.
    pub time_left: Micros,
    /// Its body is on its way and is passed on as it comes: its time begins with [`Event::BodyComplete`].
    pub streaming: bool,
    /// What its route allows; without one, [`Limits::STANDARD`].
    pub limits: Option<Arc<Limits>>,
    /// A second copy goes out if there is no answer this long after a send; never without.
    pub hedge_after: Option<Micros>,
}

impl Request {
    /// A first try without tenant, key or hint.
    pub fn new(id: RequestId, class: ClassId, time_left: Micros) -> Self {
        Request {
            id,
            class,
            tenant: None,
            key: None,
            cost_hint: None,
            is_retry: false,
            time_left,
            streaming: false,
            limits: None,
            hedge_after: None,
        }
    }

    /// What its route allows.
    pub fn limits(&self) -> &Limits {
        static STANDARD: Limits = Limits::STANDARD;
        self.limits.as_deref().unwrap_or(&STANDARD)
    }
}

/// The outcomes of an attempt that another one may follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RetryOn {
    /// No connection could be had, or nothing was sent.
    pub connect: bool,
    /// The server turned it away unseen.
    pub rejected: bool,
    /// The connection broke.
    pub reset: bool,
    /// No answer came in time, or the attempt was called back for that.
    pub timeout: bool,
    /// The server answered with an error.
    pub error: bool,
}

impl RetryOn {
    /// Any of them.
    pub const ALL: RetryOn =
        RetryOn { connect: true, rejected: true, reset: true, timeout: true, error: true };
    /// None of them.
    pub const NONE: RetryOn =
        RetryOn { connect: false, rejected: false, reset: false, timeout: false, error: false };

    /// Whether another attempt may follow this outcome.
    pub fn allows(self, outcome: Outcome) -> bool {
        match outcome {
            Outcome::Success => false,
            Outcome::ConnectFailed | Outcome::NotSent => self.connect,
            Outcome::Rejected => self.rejected,
            Outcome::ConnectionReset => self.reset,
            Outcome::TimedOut | Outcome::Cancelled => self.timeout,
            Outcome::ServerError => self.error,
        }
    }

    /// Whether another attempt may follow one that may have run.
    pub fn after_it_may_have_run(self) -> bool {
        self.reset || self.timeout || self.error
    }
}

/// Further attempts that requests earn and save up together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Its name, chosen by the caller: small, and the same for all requests that share the budget. 0 is the one of
    /// requests without a route.
    pub id: u32,
    /// What each request earns of a further attempt.
    pub ratio: f64,
    /// Further attempts that are saved up at most, and at the start.
    pub burst: f64,
    /// Attempts that follow one which never ran are paid for as well.
    pub strict: bool,
}

/// What requests may occupy together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConcurrencyLimit {
    /// Its name, chosen by the caller as that of a [`RetryBudget`].
    pub id: u32,
    /// Attempts that may be out at a time.
    pub max_in_flight: u32,
    /// Requests that may be held back at a time.
    pub max_queued: u32,
}

/// What a route allows its requests, within what the settings allow. Time-outs of [`Micros`]'s greatest value are none.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// The request has its final answer after this, if its client does not leave it less.
    pub timeout: Micros,
    /// An attempt times out after this.
    pub attempt_timeout: Micros,
    /// A request that has been held back for this long is given up.
    pub queue_timeout: Micros,
    /// Attempts in all.
    pub max_attempts: u32,
    /// What another attempt may follow.
    pub retry_on: RetryOn,
    /// Further attempts stay in the zone of the first.
    pub same_zone: bool,
    /// What pays for further attempts, second copies among them: every one of these.
    pub budgets: Vec<RetryBudget>,
    /// What pays for second copies besides.
    pub hedge_budgets: Vec<RetryBudget>,
    /// What is occupied.
    pub concurrency_limits: Vec<ConcurrencyLimit>,
}

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Served.
    Success,
    /// The server answered with an error; the request may have run.
    ServerError,
    /// The server turned it away unseen.
    Rejected,
    /// No answer in time; it may have run or still run.
    TimedOut,
    /// No connection could be had in time; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    ConnectionReset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent: the request was over, or its attempts or time were used up.
    NotSent,
}

impl Outcome {
    /// True if this outcome is the server's word, or its connection's end: it can be reached.
    pub(crate) fn was_said(self) -> bool {
        matches!(self, Outcome::Success | Outcome::Rejected | Outcome::ServerError | Outcome::ConnectionReset)
    }

    /// True if this outcome proves that the request did not run.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A server's load report: values as [`Settings::report_fields`] orders them.
pub type Report = [f64];

/// What the balancer is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A request has come in.
    Request(Request),
    /// The last byte of a request that was still coming has come, and its time begins.
    BodyComplete {
        /// The request.
        request: RequestId,
        /// How long the client waits from now on.
        time_left: Micros,
    },
    /// A part of a request has gone out that nobody has any more: no other attempt can be made of it.
    AttemptsExhausted {
        /// The request.
        request: RequestId,
    },
    /// A stream has begun; the request is bound to this attempt.
    FirstByte {
        /// The request.
        request: RequestId,
        /// The attempt that it is bound to.
        attempt: AttemptNo,
    },
    /// An attempt is over.
    Outcome {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// How it ended.
        outcome: Outcome,
        /// The time since it was sent.
        elapsed: Micros,
        /// The server's report, if one came.
        report: Option<Vec<f64>>,
        /// The request has its final answer; without this one is still owed.
        closed: bool,
    },
    /// The client has gone; nothing is owed any more.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer is due.
    Timer(TimerId),
    /// The answer to a probe.
    HealthChecked {
        /// The server.
        server: ServerId,
        /// How the probe ended.
        outcome: Outcome,
        /// The time since it was sent.
        elapsed: Micros,
        /// The server's report, if one came.
        report: Option<Vec<f64>>,
    },
    /// News of the server list.
    Endpoints(EndpointUpdate),
    /// Another balancer's message. Its host adds [`UNCONFIRMED_HINT`] to one that nobody else has confirmed.
    PeerMessage {
        /// Who sent it.
        from: PeerId,
        /// What it holds.
        payload: Vec<u8>,
    },
    /// What the whole fleet has seen of its servers of late, this balancer among all.
    Fleet(FleetState),
}

/// The last byte of a message on a server that one balancer alone has sent: it may be that one's link.
pub const UNCONFIRMED_HINT: u8 = 1;

/// What a balancer has seen of an answer, to be shared with the others where they are looked for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Signal {
    /// The server's zone.
    pub zone: ZoneId,
    /// How long it took, as a share of its aim.
    pub latency: f64,
    /// What its server's load speaks for, likewise.
    pub load: f64,
}

/// The state of the whole fleet's servers, as all balancers together see it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct FleetState {
    /// Answers that it rests on, by how much they still count; 0 where nothing is known.
    pub weight: f64,
    /// What answers take of late, as a share of their aims.
    pub latency: f64,
    /// What the servers' load speaks for, likewise.
    pub load: f64,
    /// The share of requests that are refused.
    pub shed: f64,
}

/// What the balancer wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt; attempts of a request are numbered in the order of their sends.
    Send {
        /// The request.
        request: RequestId,
        /// Its number among the request's attempts, under which its outcome is told. Each has one, also one that can't
        /// be made as the request has just ended ([`Outcome::NotSent`] then): what is counted as in flight would stay.
        attempt: AttemptNo,
        /// Where to.
        server: ServerId,
        /// When the attempt times out.
        timeout_at: Time,
        /// Its first byte may go out until then; after it nothing of the attempt may be written. A connection may come
        /// up long after the decision, when servers no longer drop a repeat, or the server has been told to drain; its
        /// outcome is [`Outcome::NotSent`] then. One that is not up by then has failed
        /// ([`Outcome::ConnectFailed`]): there may still be time for another attempt.
        write_by: Time,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Final answer: refused, and harmless to try again.
    Shed {
        /// The request.
        request: RequestId,
        /// When a new try makes sense, if that is known.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed, with no promise about its effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Wake the balancer at this time; timers are not unset.
    SetTimer {
        /// When.
        at: Time,
        /// The name that [`Event::Timer`] brings back.
        timer: TimerId,
    },
    /// Send a health probe.
    HealthCheck {
        /// Where to.
        server: ServerId,
    },
    /// Close this balancer's idle connections to a server.
    CloseIdle {
        /// The server.
        server: ServerId,
    },
    /// Send a message to one other balancer, or to all.
    SendHint {
        /// Whom; `None` for all.
        to: Option<PeerId>,
        /// What.
        payload: Vec<u8>,
    },
    /// Open or close the subscription to the server list.
    Watch {
        /// Open it.
        active: bool,
    },
    /// Ask for the whole server list once.
    FetchEndpoints,
    /// Something that people on call may want to read.
    Log {
        /// The text.
        text: String,
    },
}

impl Default for Limits {
    fn default() -> Self {
        Limits::STANDARD
    }
}
