//! Runs a [`WatchSchedule`]: sends its calls over sockets and reports their results to it.

use super::client::{call, AbortOnDrop, Connection};
use super::codec::EndpointList;
use super::error::CallError;
use super::schedule::{CallId, Query, ResponseVersion, Step, WatchSchedule};
use super::EndpointSink;
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

/// A watch that runs until it fails, or without end where the schedule restarts by itself.
pub(crate) struct Watch {
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
    pub(crate) fn new(address: SocketAddr, sink: Rc<dyn EndpointSink>, schedule: WatchSchedule) -> Self {
        let (finished_sender, finished_calls) = unbounded_channel();
        Watch {
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

    /// Runs the watch; returns after a failure if the balancer decides when the next watch starts.
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
        }
        self.sink.on_watch_failed();
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
                Step::Call { id, query } => self.call(id, query),
                Step::Cancel(id) => drop(self.tasks.remove(&id)),
                Step::Deliver(_) => {
                    if let Some(list) = list.take() {
                        self.sink.clone().on_endpoints(list);
                    }
                }
                Step::WatchSilent { version, elapsed } => self.sink.on_silent_watch(version, elapsed),
                Step::CallFailed { watch_elapsed, error } => self.sink.on_call_failed(watch_elapsed, &error),
                Step::Idle => {}
            }
        }
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
