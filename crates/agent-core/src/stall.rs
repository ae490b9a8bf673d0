//! A process that stood still (SIGSTOP, a machine put to sleep) goes on as if nothing had happened; the list of servers
//! that it holds may be minutes old. Its decisions wait for a new one, for a stated time at most.

use bellcroft_balancer::{Micros, Time};

/// Without a beat for this long, the process has stood still. A beat comes twice a second at least.
pub const STALL_THRESHOLD: Micros = Micros(1_000_000);
/// Decisions wait for the list at most this long: discovery may be gone, and requests have their deadlines.
pub const LIST_TIMEOUT: Micros = Micros(250_000);

/// Whether decisions wait for the list.
#[derive(Debug, Clone, Copy)]
pub struct StallDetector {
    last: Time,
    until: Option<Time>,
    count: u64,
}

impl StallDetector {
    /// A process that is awake.
    pub fn new(now: Time) -> Self {
        StallDetector { last: now, until: None, count: 0 }
    }

    /// It is `now`, to be told before anything is decided; true if the process has stood still and the list is to be
    /// asked for anew.
    pub fn heartbeat(&mut self, now: Time) -> bool {
        let slept = now.since(self.last);
        self.last = self.last.max(now);
        let woke = slept >= STALL_THRESHOLD;
        if woke {
            self.until = Some(now + LIST_TIMEOUT);
            self.count += 1;
        }
        woke
    }

    /// A list has come that was asked for since.
    pub fn on_endpoint_list(&mut self) {
        self.until = None;
    }

    /// Until when decisions wait, if they do.
    pub fn waits_until(&self, now: Time) -> Option<Time> {
        self.until.filter(|until| now < *until)
    }

    /// How often it has stood still.
    pub fn stalls(&self) -> u64 {
        self.count
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn decisions_wait_for_the_list_and_not_for_ever() {
        let at = |ms: f64| Time::from_ms(ms);
        let mut waking = StallDetector::new(at(0.0));
        assert!(!waking.heartbeat(at(999.0)) && waking.waits_until(at(999.0)).is_none());
        assert!(waking.heartbeat(at(6_000.0)));
        assert_eq!(waking.waits_until(at(6_249.0)), Some(at(6_250.0)));
        assert_eq!(waking.waits_until(at(6_250.0)), None, "discovery may be gone");
        assert!(!waking.heartbeat(at(6_300.0)));
        assert!(waking.heartbeat(at(8_000.0)));
        waking.on_endpoint_list();
        assert_eq!((waking.waits_until(at(8_001.0)), waking.stalls()), (None, 2));
    }
}
