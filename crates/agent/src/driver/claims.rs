//! The ids of requests that must not be executed again, here or by another process of an upgrade.

use super::requests::{IncomingRequest, PendingRequest};
use super::{Driver, State};
use crate::claim_log::ClaimLog;
use bellcroft_agent_core::guard::AttemptHistory;
use bellcroft_agent_core::request_claims::{ClaimEvent, Claimant, RequestClaims, RequestIdHash};
use bellcroft_balancer::{Outcome, RequestId, RetrySafety, Time};
use bellcroft_platform_settings::fnv1a;
use std::collections::HashMap;
use std::io;
use std::os::fd::OwnedFd;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};

/// Stands for a process of an earlier version, which has no claimant of its own.
const EARLIER_VERSION: Claimant = Claimant(0);

/// The result of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Claim {
    /// The request has its id until it is released.
    Granted,
    /// The id belongs to a request that may have been executed, or may be yet.
    Taken,
    /// The other processes cannot be told of the claim.
    Unavailable,
}

/// The claims that this process knows, and the log that it shares with the other processes of an upgrade.
#[derive(Debug)]
pub(super) struct Claims {
    known: RequestClaims,
    own: Claimant,
    /// None while this process has been the only one.
    log: Option<ClaimLog>,
    /// Processes of an earlier version, which do not share the log.
    subscribers: Vec<UnboundedSender<RequestIdHash>>,
    /// Requests that have ended, and of which an attempt may still turn out not to have been executed.
    undecided: HashMap<RequestId, UndecidedRequest>,
}

/// A request that has ended while attempts of it were in flight.
#[derive(Debug)]
struct UndecidedRequest {
    id: RequestIdHash,
    history: AttemptHistory,
    attempts_in_flight: usize,
}

impl Claims {
    pub(super) fn new() -> Self {
        Claims {
            known: RequestClaims::default(),
            own: Claimant(fastrand::u64(1..)),
            log: None,
            subscribers: Vec::new(),
            undecided: HashMap::new(),
        }
    }

    /// Claims an id for a request of this process.
    fn claim(&mut self, now: Time, id: RequestIdHash) -> Claim {
        self.try_claim(now, id).unwrap_or(Claim::Unavailable)
    }

    fn try_claim(&mut self, now: Time, id: RequestIdHash) -> io::Result<Claim> {
        self.read_log(now)?;
        if self.known.claimant(id).is_some() {
            return Ok(Claim::Taken);
        }
        self.record(now, ClaimEvent::Claimed(id, self.own))?;
        if self.known.claimant(id) == Some(self.own) {
            return Ok(Claim::Granted);
        }
        // Another process was faster. Its claim holds, and this one must not outlive it.
        self.release(now, id);
        Ok(Claim::Taken)
    }

    /// Releases an id under which nothing can have been executed.
    fn release(&mut self, now: Time, id: RequestIdHash) {
        // If the other processes cannot be told, they refuse the id for longer than they need to.
        let _ = self.record(now, ClaimEvent::Released(id, self.own));
    }

    fn record(&mut self, now: Time, event: ClaimEvent) -> io::Result<()> {
        match &mut self.log {
            Some(log) => log.append(&[event])?,
            None => self.known.apply(now, event),
        }
        self.read_log(now)
    }

    fn read_log(&mut self, now: Time) -> io::Result<()> {
        let known = &mut self.known;
        self.log.as_mut().map_or(Ok(()), |log| log.read_new(now, |event| known.apply(now, event)))
    }

    /// The log for another process; from now on this process uses it too.
    fn share(&mut self, now: Time) -> io::Result<OwnedFd> {
        if let Some(log) = &self.log {
            return log.share();
        }
        let mut log = ClaimLog::create(now)?;
        let known: Vec<ClaimEvent> = self.known.iter().map(|(id, by)| ClaimEvent::Claimed(id, by)).collect();
        log.append(&known)?;
        let shared = log.share()?;
        self.log = Some(log);
        Ok(shared)
    }

    /// Called when an attempt of a request has ended that had ended before.
    fn on_late_outcome(&mut self, now: Time, request: RequestId, attempt: u32, outcome: Outcome) {
        let Some(undecided) = self.undecided.get_mut(&request) else { return };
        undecided.history.on_outcome(attempt, outcome);
        undecided.attempts_in_flight = undecided.attempts_in_flight.saturating_sub(1);
        if undecided.attempts_in_flight > 0 {
            return;
        }
        if let Some(UndecidedRequest { id, history, .. }) = self.undecided.remove(&request) {
            if !history.may_have_run() {
                self.release(now, id);
            }
        }
    }
}

impl Driver {
    /// The log of claims, to be shared with another process.
    ///
    /// # Errors
    ///
    /// The kernel has no memory or no descriptor for it.
    pub fn share_claims(&self) -> io::Result<OwnedFd> {
        self.claims.borrow_mut().share(self.clock.now())
    }

    /// Uses the log of claims that another process shares, before this one accepts requests.
    pub fn join_claims(&self, log: OwnedFd) {
        self.claims.borrow_mut().log = Some(ClaimLog::join(log, self.clock.now()));
    }

    /// The claimed ids, and all whose first attempt is sent from now on, for a process that does not share the log.
    pub fn subscribe_claims(&self) -> UnboundedReceiver<RequestIdHash> {
        let (sender, receiver) = unbounded_channel();
        let mut claims = self.claims.borrow_mut();
        for (id, _) in claims.known.iter() {
            // The receiver is there.
            let _ = sender.send(id);
        }
        claims.subscribers.push(sender);
        receiver
    }

    /// Records that a process that does not share the log may have executed the request with this id.
    pub fn on_executed_elsewhere(&self, id: RequestIdHash) {
        let claimed = ClaimEvent::Claimed(id, EARLIER_VERSION);
        // If the log cannot be written, this process still knows the id.
        let mut claims = self.claims.borrow_mut();
        let _ = claims.record(self.clock.now(), claimed);
        claims.known.apply(self.clock.now(), claimed);
    }

    /// Claims the id of a request that cannot be executed any number of times; none for another one.
    pub(super) fn claim_id(&self, request: &IncomingRequest, retry_safety: RetrySafety) -> Option<Claim> {
        let needs_claim = retry_safety != RetrySafety::Idempotent;
        needs_claim.then(|| self.claims.borrow_mut().claim(self.clock.now(), hash(&request.request_id)))
    }

    /// Called when the first attempt of a request is sent that cannot be executed any number of times.
    pub(super) fn on_first_attempt(&self, request_id: &str) {
        let id = hash(request_id);
        // A process that has exited no longer receives.
        self.claims.borrow_mut().subscribers.retain(|subscriber| subscriber.send(id).is_ok());
    }

    /// Called when a request is no longer pending. Its id is released if it cannot have been executed, now or once its last attempt
    /// has ended.
    pub(super) fn on_ended(&self, state: &State, request: RequestId, pending: &PendingRequest) {
        if !pending.holds_claim {
            return;
        }
        let id = hash(&pending.request.request_id);
        let mut claims = self.claims.borrow_mut();
        if !pending.history.may_have_run() {
            claims.release(self.clock.now(), id);
            return;
        }
        let attempts_in_flight = state.attempts.count(request, pending.attempts);
        if attempts_in_flight > 0 {
            let undecided = UndecidedRequest { id, history: pending.history.clone(), attempts_in_flight };
            claims.undecided.insert(request, undecided);
        }
    }

    /// Called when an attempt has ended whose request is no longer pending.
    pub(super) fn on_late_outcome(&self, request: RequestId, attempt: u32, outcome: Outcome) {
        self.claims.borrow_mut().on_late_outcome(self.clock.now(), request, attempt, outcome);
    }
}

fn hash(request_id: &str) -> RequestIdHash {
    RequestIdHash(fnv1a(request_id))
}
