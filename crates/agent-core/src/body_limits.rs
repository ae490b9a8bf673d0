//! Bodies: what is taken whole, what is passed on as it comes, and how long a side that says nothing is waited for.

use bellcroft_balancer::{Micros, Time};

/// A body up to this is taken whole before it goes on, and can be tried again; above it, it is passed on.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// The longest body of either direction.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
/// What any body keeps of its begin, however little memory there is.
const KEPT_LEAST: usize = 4 << 10;
/// The part of the memory that the begins of all bodies may take together.
const KEPT_SHARE: usize = 4;
/// An answer of unknown length that has not come whole this long after its head is passed on: its client may be waiting
/// for what is there.
const GATHER_MOST: Micros = Micros(40_000);

/// What is wrong with a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyTooLarge;

/// How a body is taken in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardingMode {
    /// It is, or may be, short: gather it up to [`MAX_BUFFERED_BODY_BYTES`] and see.
    Buffered,
    /// It is long by its own word.
    Streamed,
}

/// How a body of this length by its own word is taken in.
///
/// # Errors
///
/// It is longer than anything that is carried.
pub fn forwarding_mode(length: Option<u64>) -> Result<ForwardingMode, BodyTooLarge> {
    match length {
        Some(length) if length > MAX_BODY_BYTES => Err(BodyTooLarge),
        Some(length) if length > MAX_BUFFERED_BODY_BYTES as u64 => Ok(ForwardingMode::Streamed),
        Some(_) | None => Ok(ForwardingMode::Buffered),
    }
}

/// The begin of an answer's body, as it comes.
#[derive(Debug, Clone, Copy)]
pub struct BufferingPhase {
    length: Option<u64>,
    head: Time,
    gathered: usize,
}

impl BufferingPhase {
    /// Of an answer whose head came now.
    pub fn new(length: Option<u64>, now: Time) -> Self {
        BufferingPhase { length, head: now, gathered: 0 }
    }

    /// So much more has come; true if it is passed on from here, so that it can be no other attempt's any more.
    ///
    /// A long one begins with its first bytes: its time is that of these. What may still be short is kept back for a
    /// moment, for an answer that turns out spoilt can be asked for again only as long as its client has seen nothing.
    pub fn on_bytes(&mut self, more: usize, now: Time) -> bool {
        self.gathered += more;
        let long =
            self.length.is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES as u64) && self.gathered > 0;
        long || self.gathered > MAX_BUFFERED_BODY_BYTES || self.waited(now)
    }

    /// Until when the rest is waited for.
    pub fn deadline(&self) -> Option<Time> {
        self.length.is_none().then(|| self.head + GATHER_MOST)
    }

    fn waited(&self, now: Time) -> bool {
        self.gathered > 0 && self.deadline().is_some_and(|until| now >= until)
    }
}

/// More of a body must come within this: slow it may be, but not silent.
const GAP_MOST: Micros = Micros(2_000_000);
/// A body may keep its reader waiting for so long in all, and longer by what it brings: this much a second at least. A
/// slow line brings some ten times as much; whoever brings less holds a place to hold it.
const SLOWEST: u64 = 4 << 10;

/// How long a body that is coming is waited for. Only the time counts in which its reader had room for more: what a slow
/// server takes is not its client's fault.
#[derive(Debug, Clone, Copy)]
pub struct ProgressTimeout {
    gap: Micros,
    came: u64,
    waited: Micros,
    since: Option<Time>,
}

impl Default for ProgressTimeout {
    fn default() -> Self {
        ProgressTimeout::new(GAP_MOST)
    }
}

impl ProgressTimeout {
    /// With one who may say nothing for so long.
    pub fn new(gap: Micros) -> Self {
        ProgressTimeout { gap, came: 0, waited: Micros::ZERO, since: None }
    }

    /// There is room for more, and nothing has come.
    pub fn on_wait(&mut self, now: Time) {
        self.since.get_or_insert(now);
    }

    /// So much more has come.
    pub fn on_bytes(&mut self, more: usize, now: Time) {
        self.came += more as u64;
        if let Some(since) = self.since.take() {
            self.waited = Micros(self.waited.0 + now.since(since).0);
        }
    }

    /// When it is over; none while nothing is waited for.
    pub fn deadline(&self) -> Option<Time> {
        let earned = Micros(self.gap.0 + self.came * 1_000_000 / SLOWEST);
        self.since.map(|since| since + earned.saturating_sub(self.waited).min(self.gap))
    }
}

/// A body that is being passed on, counted against the longest there may be.
#[derive(Debug, Clone, Copy, Default)]
pub struct ForwardedBytes(u64);

impl ForwardedBytes {
    /// So much more goes on.
    ///
    /// # Errors
    ///
    /// That makes it longer than anything that is carried, whatever it said of itself.
    pub fn add(&mut self, more: usize) -> Result<(), BodyTooLarge> {
        self.0 += more as u64;
        if self.0 > MAX_BODY_BYTES {
            return Err(BodyTooLarge);
        }
        Ok(())
    }

    /// How much has gone on.
    pub fn total(&self) -> u64 {
        self.0
    }
}

/// The memory that the begins of request bodies take, all together.
#[derive(Debug)]
pub struct BufferPool {
    most: usize,
    taken: usize,
}

impl BufferPool {
    /// Of a process with so much memory.
    pub fn new(memory: usize) -> Self {
        BufferPool { most: memory / KEPT_SHARE, taken: 0 }
    }

    /// How much of its begin the next body may keep. Whoever gets little is passed on sooner and can be tried again less
    /// long; nobody waits for memory.
    pub fn acquire(&mut self) -> usize {
        let granted = if self.taken + MAX_BUFFERED_BODY_BYTES <= self.most {
            MAX_BUFFERED_BODY_BYTES
        } else {
            KEPT_LEAST
        };
        self.taken += granted;
        granted
    }

    /// A body has let go of what it kept.
    pub fn release(&mut self, granted: usize) {
        self.taken = self.taken.saturating_sub(granted);
    }

    /// What is kept at present.
    pub fn in_use(&self) -> usize {
        self.taken
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_body_s_own_word_decides_how_it_is_taken() {
        assert_eq!(forwarding_mode(None), Ok(ForwardingMode::Buffered));
        assert_eq!(forwarding_mode(Some(0)), Ok(ForwardingMode::Buffered));
        assert_eq!(forwarding_mode(Some(MAX_BUFFERED_BODY_BYTES as u64)), Ok(ForwardingMode::Buffered));
        assert_eq!(forwarding_mode(Some(MAX_BUFFERED_BODY_BYTES as u64 + 1)), Ok(ForwardingMode::Streamed));
        assert_eq!(forwarding_mode(Some(MAX_BODY_BYTES)), Ok(ForwardingMode::Streamed));
        assert_eq!(forwarding_mode(Some(MAX_BODY_BYTES + 1)), Err(BodyTooLarge));
        assert_eq!(forwarding_mode(Some(u64::MAX)), Err(BodyTooLarge));
    }

    #[test]
    fn a_long_answer_begins_with_its_first_bytes_and_a_short_one_is_kept_back() {
        let mut long = BufferingPhase::new(Some(MAX_BUFFERED_BODY_BYTES as u64 + 1), Time(0));
        assert!(!long.on_bytes(0, Time(u64::MAX)), "a head alone is nothing to pass on");
        assert!(long.on_bytes(1, Time(1)));
        let mut short = BufferingPhase::new(Some(MAX_BUFFERED_BODY_BYTES as u64), Time(0));
        assert!(
            !short.on_bytes(MAX_BUFFERED_BODY_BYTES, Time(u64::MAX)),
            "however slow it is, it can be asked for again"
        );
    }

    #[test]
    fn one_of_unknown_length_is_kept_back_for_a_moment() {
        let mut begin = BufferingPhase::new(None, Time(0));
        assert!(!begin.on_bytes(1000, GATHER_MOST.before()));
        assert!(begin.on_bytes(0, Time(GATHER_MOST.0)));
        let mut nothing = BufferingPhase::new(None, Time(0));
        assert!(!nothing.on_bytes(0, Time(u64::MAX)), "there is nothing to pass on");
        let mut quick = BufferingPhase::new(None, Time(0));
        assert!(!quick.on_bytes(MAX_BUFFERED_BODY_BYTES, Time(1)));
        assert!(quick.on_bytes(1, Time(1)), "it is long");
    }

    trait Before {
        fn before(self) -> Time;
    }

    impl Before for Micros {
        fn before(self) -> Time {
            Time(self.0 - 1)
        }
    }

    #[test]
    fn what_goes_on_without_end_is_cut_off() {
        let mut passed = ForwardedBytes::default();
        for _ in 0..MAX_BODY_BYTES / 1024 {
            assert_eq!(passed.add(1024), Ok(()));
        }
        assert_eq!(passed.add(1), Err(BodyTooLarge));
    }

    #[test]
    fn a_body_may_be_slow_but_not_silent_and_not_endless() {
        let mut slow = ProgressTimeout::default();
        let mut now = Time(0);
        for _ in 0..1000 {
            slow.on_wait(now);
            now = now + Micros(100_000);
            assert!(slow.deadline().is_some_and(|until| until > now), "64 kB/s are enough");
            slow.on_bytes(6400, now);
            assert_eq!(slow.deadline(), None, "its reader has enough");
            // A server that takes its time is not its client's fault.
            now = now + Micros(5_000_000);
        }
        slow.on_wait(now);
        assert_eq!(slow.deadline(), Some(now + GAP_MOST));
        let mut trickle = ProgressTimeout::default();
        let mut bytes = 0;
        loop {
            trickle.on_wait(now);
            if trickle.deadline().is_none_or(|until| until <= now + Micros(500_000)) {
                break;
            }
            now = now + Micros(500_000);
            trickle.on_bytes(1, now);
            bytes += 1;
        }
        assert!(bytes <= 4, "a byte now and then holds no place");
    }

    /// A side that is given more time at once trickles no longer for it.
    #[test]
    fn a_trickle_ends_whatever_the_gap() {
        let gap = Micros(30_000_000);
        let (mut trickle, mut now, mut bytes) = (ProgressTimeout::new(gap), Time(0), 0);
        loop {
            trickle.on_wait(now);
            let next = now + Micros(1_000_000);
            if trickle.deadline().is_none_or(|until| until <= next) {
                break;
            }
            now = next;
            trickle.on_bytes(1, now);
            bytes += 1;
        }
        assert!((25..=30).contains(&bytes), "{bytes}: silent for the gap in all, not each time");
    }

    /// However many bodies there are, what they keep is bounded by a little each beyond the share.
    #[test]
    fn begins_share_the_memory_that_there_is() {
        let memory = 32 << 20;
        let mut store = BufferPool::new(memory);
        let granted: Vec<usize> = (0..500).map(|_| store.acquire()).collect();
        assert!(store.in_use() <= memory / KEPT_SHARE + 500 * KEPT_LEAST);
        assert_eq!((granted[0], granted[499]), (MAX_BUFFERED_BODY_BYTES, KEPT_LEAST));
        granted.into_iter().for_each(|one| store.release(one));
        assert_eq!((store.in_use(), store.acquire()), (0, MAX_BUFFERED_BODY_BYTES));
    }
}
