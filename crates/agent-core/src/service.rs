//! What an instance may still do for clients while it is taken out of service, put back, or replaced.

use bellcroft_balancer::{Micros, Time};

/// New connections go on coming for a moment after the first no; they are taken, and what they ask is answered. A
/// connection that is still idle this long after the drain began has no use any more.
///
/// The platform wants none that is idle, or that had a request lately, 4 s after the call; each answer since closes its
/// connection, so those that are left are idle since before the call.
const DRAIN_IDLE: Micros = Micros(1_500_000);
/// The same for a process that another one has taken over from: what it still has must be over soon, for it is killed
/// once the longest deadline has passed.
const REPLACED_IDLE: Micros = Micros(450_000);

/// What it is there for at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServingState {
    /// To serve.
    Serving,
    /// To finish, and to come back when it is told to: out of service since then.
    Draining(Time),
    /// To finish and end.
    End {
        /// Since then.
        since: Time,
        /// Another process takes what connects from now on.
        replaced: bool,
    },
}

/// An instance's duty, and what follows from it.
#[derive(Debug, Clone, Copy)]
pub struct Service {
    duty: ServingState,
}

impl Default for Service {
    fn default() -> Self {
        Service { duty: ServingState::Serving }
    }
}

impl Service {
    /// What it is there for.
    pub fn state(&self) -> ServingState {
        self.duty
    }

    /// It is taken out of service; false if it was already, or is ending.
    pub fn drain(&mut self, now: Time) -> bool {
        let may = self.duty == ServingState::Serving;
        if may {
            self.duty = ServingState::Draining(now);
        }
        may
    }

    /// It is put back; false if it is ending, which nothing undoes.
    pub fn resume(&mut self) -> bool {
        let may = !matches!(self.duty, ServingState::End { .. });
        if may {
            self.duty = ServingState::Serving;
        }
        may
    }

    /// It finishes and ends. What was known of a successor at the first word stands.
    pub fn shut_down(&mut self, now: Time, replaced: bool) {
        if !matches!(self.duty, ServingState::End { .. }) {
            self.duty = ServingState::End { since: now, replaced };
        }
    }

    /// Whether it says yes to those who ask if they may send it clients.
    pub fn is_ready(&self) -> bool {
        self.duty == ServingState::Serving
    }

    /// Whether each answer is the last on its connection, and says so.
    pub fn closes_connections(&self) -> bool {
        self.duty != ServingState::Serving
    }

    /// When a connection that has been idle since `idle` is closed for the duty's sake; never while it serves.
    ///
    /// Closing one can cross a request that its client has just sent, and then that client has to send it again. So
    /// where there is time, the client is given some in which to use it once more and to be told by the answer.
    pub fn close_idle_at(&self) -> Option<Time> {
        match self.duty {
            ServingState::Serving => None,
            ServingState::Draining(since) => Some(since + DRAIN_IDLE),
            ServingState::End { since, replaced: true } => Some(since + REPLACED_IDLE),
            // The application ends too; nobody comes back over it.
            ServingState::End { since, replaced: false } => Some(since),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Micros = Micros(1_000_000);

    #[test]
    fn out_of_service_and_back() {
        let mut service = Service::default();
        assert!(service.is_ready() && !service.closes_connections() && service.close_idle_at().is_none());
        assert!(service.drain(Time(5)));
        assert!(!service.drain(Time(9)), "a second word changes nothing, not even the time");
        assert!(!service.is_ready() && service.closes_connections());
        let closed = service.close_idle_at().expect("they are closed");
        assert!(closed > Time(5) + SECOND, "whoever was told yes a moment ago still comes and asks");
        assert!(
            closed < Time(5) + SECOND * 2.0,
            "and what asked then is two seconds old when it is looked at"
        );
        assert!(service.resume());
        assert!(service.is_ready() && service.close_idle_at().is_none());
    }

    #[test]
    fn nothing_undoes_an_end() {
        let mut service = Service::default();
        service.shut_down(Time(7), true);
        assert!(!service.resume() && !service.drain(Time(8)));
        service.shut_down(Time(9), false);
        assert_eq!(service.state(), ServingState::End { since: Time(7), replaced: true });
        assert!(!service.is_ready() && service.closes_connections());
    }

    /// With the platform's shortest patience after SIGTERM: the longest deadline and 0.7 s.
    #[test]
    fn a_process_that_is_replaced_closes_what_is_idle_in_time_to_answer_what_still_comes() {
        let mut service = Service::default();
        service.shut_down(Time(0), true);
        assert!(service.close_idle_at().expect("a time") < Time(0) + SECOND * 0.7);
        let mut alone = Service::default();
        alone.shut_down(Time(0), false);
        assert_eq!(alone.close_idle_at(), Some(Time(0)));
    }
}
