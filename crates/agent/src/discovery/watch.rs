//! Runs a [`WatchSchedule`]: sends its calls over sockets and reports their results to it.
//!
//! A watch that is replaced while it waits for an immediate response is superseded: it sends no further call, and ends with that
//! response, its failure or its timeout. Of several watches, a list of an earlier one is dropped once a later one has returned a list.

use super::client::{call, AbortOnDrop, Connection};
use super::codec::EndpointList;
use super::error::CallError;
use super::schedule::{CallId, Query, ResponseVersion, Step, WatchSchedule};
use super::{EndpointSink, ListOrigin};
use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::time::{sleep_until, Instant};

/// The result of a call, with its connection if the next call may reuse it.
struct FinishedCall {
    id: CallId,
    response: Result<EndpointList, CallError>,
    connection: Option<Connection>,
}

/// The state of a watch that its owner sees while the watch runs.
#[derive(Debug, Default)]
pub(crate) struct WatchState {
    awaits_response: Cell<bool>,
    is_superseded: Cell<bool>,
    has_ended: Cell<bool>,
}

impl WatchState {
    /// Whether a call for an immediate response is in flight.
    pub(crate) fn awaits_response(&self) -> bool {
        self.awaits_response.get() && !self.has_ended.get()
    }

    /// Whether the watch has ended and sends no further call.
    pub(crate) fn has_ended(&self) -> bool {
        self.has_ended.get()
    }

    /// Lets the calls in flight be the watch's last.
    pub(crate) fn supersede(&self) {
        self.is_superseded.set(true);
    }
}

/// The number of a watch; a later one has a higher number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WatchNumber(pub(crate) u64);

/// A watch that runs until it fails, or without end where the schedule restarts by itself.
pub(crate) struct Watch {
    number: WatchNumber,
    /// The latest watch that has returned a list.
    latest_source: Rc<Cell<WatchNumber>>,
    state: Rc<WatchState>,
    address: SocketAddr,
    sink: Rc<dyn EndpointSink>,
    schedule: WatchSchedule,
    /// Origin of the schedule's times.
    started_at: Instant,
    tasks: HashMap<CallId, AbortOnDrop>,
    /// Connection of the last successful call, for reuse by the next one.
    reusable_connection: Option<Connection>,
    finished_sender: UnboundedSender<FinishedCall>,
    finished_calls: UnboundedReceiver<FinishedCall>,
}

impl Watch {
    /// A watch that has not sent a call yet.
    pub(crate) fn new(
        number: WatchNumber,
        latest_source: Rc<Cell<WatchNumber>>,
        address: SocketAddr,
        sink: Rc<dyn EndpointSink>,
        schedule: WatchSchedule,
    ) -> Self {
        let (finished_sender, finished_calls) = unbounded_channel();
        Watch {
            number,
            latest_source,
            state: Rc::default(),
            address,
            sink,
            schedule,
            started_at: Instant::now(),
            tasks: HashMap::new(),
            reusable_connection: None,
            finished_sender,
            finished_calls,
        }
    }

    /// The state of the watch, for its owner.
    pub(crate) fn state(&self) -> Rc<WatchState> {
        self.state.clone()
    }

    /// Runs the watch; returns after a failure if the balancer decides when the next watch starts, and after the last call of a
    /// superseded watch.
    pub(crate) async fn run(mut self) {
        let mut steps = Vec::new();
        self.schedule.start(self.started_at.elapsed(), &mut steps);
        self.carry_out(steps, None);
        while let Some(due) = self.schedule.next_due() {
            let mut steps = Vec::new();
            let list = tokio::select! {
                Some(finished) = self.finished_calls.recv() => self.on_finished(finished, &mut steps),
                () = sleep_until(self.started_at + due) => {
                    self.schedule.on_timer(self.started_at.elapsed(), &mut steps);
                    None
                }
            };
            self.carry_out(steps, list);
            if self.state.is_superseded.get() && self.tasks.is_empty() {
                break;
            }
        }
        self.state.has_ended.set(true);
        if !self.state.is_superseded.get() {
            self.sink.on_watch_failed();
        }
    }

    /// Passes the result of a call to the schedule, and returns the list of a successful one.
    fn on_finished(&mut self, finished: FinishedCall, steps: &mut Vec<Step>) -> Option<EndpointList> {
        // A call without a task was cancelled while its result was queued.
        self.tasks.remove(&finished.id)?;
        let version =
            |list: &EndpointList| ResponseVersion { version: list.version, is_snapshot: list.is_snapshot };
        let (result, list) = match finished.response {
            Ok(list) => (Ok(version(&list)), Some(list)),
            Err(error) => (Err(error), None),
        };
        if list.is_some() {
            self.reusable_connection = finished.connection;
        }
        self.schedule.on_result(self.started_at.elapsed(), finished.id, result, steps);
        list
    }

    /// Carries out the schedule's steps; `list` is the list of the call that has just finished.
    fn carry_out(&mut self, steps: Vec<Step>, mut list: Option<EndpointList>) {
        for step in steps {
            match step {
                Step::Call { .. } if self.state.is_superseded.get() => {}
                Step::Call { id, query } => self.call(id, query),
                Step::Cancel(id) => drop(self.tasks.remove(&id)),
                Step::Deliver(_) => {
                    if let Some(list) = list.take() {
                        self.deliver(list);
                    }
                }
                Step::WatchSilent { version, elapsed } => self.sink.on_silent_watch(version, elapsed),
                Step::CallFailed { watch_elapsed, error } => self.sink.on_call_failed(watch_elapsed, &error),
                Step::Idle => {}
            }
        }
        self.state.awaits_response.set(self.schedule.awaits_response());
    }

    /// Delivers a list, unless a later watch has returned one, which may be newer.
    fn deliver(&self, list: EndpointList) {
        if self.number < self.latest_source.get() {
            return;
        }
        self.latest_source.set(self.number);
        let origin =
            if self.state.is_superseded.get() { ListOrigin::SupersededWatch } else { ListOrigin::Watch };
        self.sink.clone().on_endpoints(list, origin);
    }

    fn call(&mut self, id: CallId, query: Query) {
        self.sink.on_discovery_call();
        let (address, finished_sender) = (self.address, self.finished_sender.clone());
        let mut connection = self.reusable_connection.take();
        let task = tokio::task::spawn_local(async move {
            let response = call(address, &mut connection, &query.path()).await;
            // Sending fails only after the watch was dropped; the result is not needed then.
            let _ = finished_sender.send(FinishedCall { id, response, connection });
        });
        self.tasks.insert(id, AbortOnDrop(task));
    }
}
