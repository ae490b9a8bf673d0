//! The sockets of a [`WatchSchedule`]: makes the calls that it asks for and tells it how they end.

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

/// How a call ended, with its connection where that may serve the next.
struct CallEnd {
    id: CallId,
    answer: Result<EndpointList, CallError>,
    connection: Option<Connection>,
}

/// A watch that is kept up until it fails, or for ever where it restarts by itself.
pub(crate) struct Watch {
    address: SocketAddr,
    sink: Rc<dyn EndpointSink>,
    schedule: WatchSchedule,
    epoch: Instant,
    tasks: HashMap<CallId, AbortOnDrop>,
    /// The connection of the last answer.
    spare: Option<Connection>,
    report: UnboundedSender<CallEnd>,
    ends: UnboundedReceiver<CallEnd>,
}

impl Watch {
    /// A watch that asks nobody yet.
    pub(crate) fn new(address: SocketAddr, sink: Rc<dyn EndpointSink>, schedule: WatchSchedule) -> Self {
        let (report, ends) = unbounded_channel();
        let (epoch, tasks) = (Instant::now(), HashMap::new());
        Watch { address, sink, schedule, epoch, tasks, spare: None, report, ends }
    }

    /// Keeps it up; returns when it has failed and the balancer is to say when the next begins.
    pub(crate) async fn run(mut self) {
        let mut steps = Vec::new();
        self.schedule.begin(self.epoch.elapsed(), &mut steps);
        self.carry_out(steps, None);
        while let Some(due) = self.schedule.next_due() {
            let mut steps = Vec::new();
            let answer = tokio::select! {
                Some(end) = self.ends.recv() => self.on_end(end, &mut steps),
                () = sleep_until(self.epoch + due) => {
                    self.schedule.on_timer(self.epoch.elapsed(), &mut steps);
                    None
                }
            };
            self.carry_out(steps, answer);
        }
        self.sink.on_watch_failed();
    }

    fn on_end(&mut self, end: CallEnd, steps: &mut Vec<Step>) -> Option<EndpointList> {
        // What was cancelled while its end was on the way is over.
        self.tasks.remove(&end.id)?;
        let version =
            |list: &EndpointList| ResponseVersion { version: list.version, is_snapshot: list.is_snapshot };
        let (head, list) = match end.answer {
            Ok(list) => (Ok(version(&list)), Some(list)),
            Err(error) => (Err(error), None),
        };
        if list.is_some() {
            self.spare = end.connection;
        }
        self.schedule.on_response(self.epoch.elapsed(), end.id, head, steps);
        list
    }

    /// Does what the schedule says; `answer` is the list of the call that has just ended.
    fn carry_out(&mut self, steps: Vec<Step>, mut answer: Option<EndpointList>) {
        for step in steps {
            match step {
                Step::Call { id, query } => self.call(id, query),
                Step::Cancel(id) => drop(self.tasks.remove(&id)),
                Step::Deliver(_) => {
                    if let Some(list) = answer.take() {
                        self.sink.clone().on_endpoints(list);
                    }
                }
                Step::WatchSilent { version, elapsed } => self.sink.on_silent_watch(version, elapsed),
                Step::CallFailed { watch, error } => self.sink.on_call_failed(watch, &error),
                Step::Idle => {}
            }
        }
    }

    fn call(&mut self, id: CallId, query: Query) {
        self.sink.on_discovery_call();
        let (address, report, mut connection) = (self.address, self.report.clone(), self.spare.take());
        let task = tokio::task::spawn_local(async move {
            let answer = call(address, &mut connection, &query.path()).await;
            // The watch is over if nobody takes it.
            let _ = report.send(CallEnd { id, answer, connection });
        });
        self.tasks.insert(id, AbortOnDrop(task));
    }
}
