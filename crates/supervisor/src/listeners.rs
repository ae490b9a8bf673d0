//! Closes the listening sockets on which no process will accept soon: a connection that stands unread in the accept queue costs its client
//! the request, and a refused one costs nothing.

use crate::actions::Action;
use crate::machine::{Instance, Supervisor};
use crate::states::{InstanceId, Phase, Time};
use std::time::Duration;

/// Maximum time for which connections may wait in the accept queue of a socket that no process reads. A request is owed its answer
/// half a second after its deadline at the latest, and the next process has to start within that too.
const MAX_UNREAD: Duration = Duration::from_millis(400);

impl Supervisor {
    /// Closes an instance's listening socket. The next start opens it again.
    pub(crate) fn close_listener(&mut self, id: InstanceId, actions: &mut Vec<Action>) {
        self.instances[id.0].unread_since = None;
        actions.push(Action::CloseListener(id));
    }

    /// Closes the socket of each instance whose next process will not start within [`MAX_UNREAD`] of the exit of the one before.
    pub(crate) fn close_unread_listeners(&mut self, actions: &mut Vec<Action>) {
        let starts = self.expected_starts();
        for (index, starts_at) in starts.into_iter().enumerate() {
            let instance = &self.instances[index];
            let Some(unread_since) = instance.unread_since else { continue };
            let starts_soon = starts_at.is_some_and(|at| at <= unread_since + MAX_UNREAD);
            if matches!(instance.phase, Phase::Waiting { .. }) && !starts_soon {
                self.close_listener(InstanceId(index), actions);
            }
        }
    }

    /// When the next process of each instance will start if nothing else happens; none for an instance that waits for no start.
    fn expected_starts(&self) -> Vec<Option<Time>> {
        let due = |(index, instance): (usize, &Instance)| Some((instance.start_due()?, index));
        let mut waiting: Vec<_> = self.instances.iter().enumerate().filter_map(due).collect();
        waiting.sort_unstable();
        let mut starts = vec![None; self.instances.len()];
        let mut earliest = self.next_start;
        for (due, index) in waiting {
            let starts_at = due.max(earliest);
            starts[index] = Some(starts_at);
            earliest = starts_at + self.policy.start_every;
        }
        starts
    }
}
