//! The sender against a receiver that the test plays, which reads bodies by a code path of its own.

use bellcroft_telemetry::*;
use std::time::Duration;
use testbed::Store;

const MS: Duration = Duration::from_millis(1);
const CREATED: i64 = 1_700_000_000_000;

/// What a strict receiver makes of a request.
fn take(store: &mut Store, post: &Post) -> u64 {
    store.take(post.version == Version::V2, &post.body).expect("a body") as u64
}

fn samples(registry: &Registry) -> Vec<Sample> {
    registry.gather()
}

fn registry() -> (Registry, Counter) {
    let registry = Registry::new(&[("instance".into(), "desk-1".into())]);
    let family = Family {
        name: "bellcroft_requests_total",
        help: "Requests.",
        kind: Kind::Counter,
        labels: &["class", "outcome"],
        max_series: 100,
        bounds: Vec::new(),
    };
    let counter = registry.counter(&family, &["read", "served"]);
    registry.counter(&family, &["log\"\n", "failed"]).inc();
    let family = Family {
        name: "bellcroft_answer_seconds",
        help: "Answer times.",
        kind: Kind::Histogram,
        labels: &["class"],
        max_series: 100,
        bounds: vec![0.25, 1.5],
    };
    registry.histogram(&family, &["read"]).observe(0.3);
    (registry, counter)
}

/// A sender, the time, and what it wants done.
struct Rig {
    sender: Sender,
    now: Duration,
    posts: Vec<Post>,
    logs: Vec<String>,
    finished: bool,
}

impl Rig {
    fn new(policy: Policy) -> Self {
        let sender = Sender::new(policy, 3, CREATED);
        Rig { sender, now: Duration::ZERO, posts: Vec::new(), logs: Vec::new(), finished: false }
    }

    fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.sender.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Post(post) => self.posts.push(post),
                Action::Log(text) => self.logs.push(text),
                Action::Finished => {
                    assert!(!self.finished, "finished twice");
                    self.finished = true;
                }
            }
        }
    }

    fn samples(&mut self, registry: &Registry) {
        let at = CREATED + self.now.as_millis() as i64;
        self.tell(Event::Samples(samples(registry), at));
    }

    fn answer(&mut self, status: u16, written: Option<u64>) {
        self.tell(Event::Response { status, retry_after: None, written });
    }

    fn wait(&mut self, span: Duration) {
        self.now += span;
        self.tell(Event::Tick);
    }
}

fn v1() -> Policy {
    Policy { version: Version::V1, ..Policy::default() }
}

#[test]
fn both_versions_bring_the_same_series() {
    let (registry, counter) = registry();
    let mut found = Vec::new();
    for version in [Version::V1, Version::V2] {
        let mut rig = Rig::new(Policy { version, ..Policy::default() });
        let mut receiver = Store::default();
        counter.inc();
        rig.samples(&registry);
        let post = rig.posts.pop().expect("a request");
        assert_eq!(post.version, version);
        let taken = take(&mut receiver, &post);
        assert_eq!(taken as usize, registry.len());
        rig.answer(200, Some(taken));
        assert_eq!(rig.sender.counts().sent, taken);
        assert_eq!(receiver.wrong, Vec::<String>::new());
        if version == Version::V2 {
            assert!(!receiver.created.is_empty() && receiver.created.iter().all(|at| *at == CREATED));
        }
        found.push(receiver.series.into_keys().collect::<Vec<_>>());
    }
    assert_eq!(found[0], found[1]);
    assert!(
        found[0].iter().any(|labels| labels.values().any(|v| v == "log\"\n")),
        "quotes and newlines arrive"
    );
}

/// The request of the specification's form, by hand: one series with one sample.
#[test]
fn a_body_written_by_hand_decodes_and_encodes_to_the_same() {
    use prost::Message;
    let label = |name: &str, value: &str| {
        let mut bytes = vec![0x0a, name.len() as u8];
        bytes.extend(name.bytes());
        bytes.extend([0x12, value.len() as u8]);
        bytes.extend(value.bytes());
        bytes
    };
    let mut series = Vec::new();
    for pair in [label("__name__", "up"), label("job", "x")] {
        series.extend([0x0a, pair.len() as u8]);
        series.extend(pair);
    }
    let mut sample = vec![0x09];
    sample.extend(1.0_f64.to_le_bytes());
    sample.extend([0x10, 0xe8, 0x07]);
    series.extend([0x12, sample.len() as u8]);
    series.extend(&sample);
    let mut body = vec![0x0a, series.len() as u8];
    body.extend(&series);
    let read = wire::v1::WriteRequest::decode(body.as_slice()).expect("it decodes");
    assert_eq!(read.timeseries[0].samples[0], wire::v1::Sample { value: 1.0, timestamp: 1000 });
    assert_eq!(read.encode_to_vec(), body);
}

#[test]
fn a_failing_receiver_gets_everything_in_order_once_it_is_back() {
    let (registry, counter) = registry();
    let mut rig = Rig::new(v1());
    let mut receiver = Store::default();
    let mut random = fastrand::Rng::with_seed(5);
    let (mut made, mut pauses) = (0, Vec::new());
    for second in 0..180_u64 {
        counter.inc();
        if second % 5 == 0 {
            rig.samples(&registry);
            made += registry.len() as u64;
        }
        // Down for a minute, in every way that there is.
        let down = (30..90).contains(&second);
        for _ in 0..10 {
            rig.wait(MS * 100);
            while let Some(post) = rig.posts.pop() {
                if down {
                    pauses.push(rig.now);
                    match random.u8(0..4) {
                        0 => rig.answer(500, None),
                        1 => rig.answer(503, None),
                        2 => rig.tell(Event::Failed("reset".into())),
                        _ => rig.answer(429, None),
                    }
                } else {
                    take(&mut receiver, &post);
                    rig.answer(204, None);
                }
            }
        }
    }
    assert_eq!(receiver.wrong, Vec::<String>::new());
    let counts = rig.sender.counts();
    assert_eq!((counts.sent, counts.dropped_full), (made, 0));
    assert!(counts.retried > 0 && rig.sender.queued_bytes() == 0);
    assert!(pauses.len() < 30, "{} requests in a minute of failures", pauses.len());
    // What the receiver holds is the counter's own course: it grows and is whole.
    let own = receiver
        .series
        .iter()
        .find(|(labels, _)| labels.values().any(|v| v == "served"))
        .expect("it is there")
        .1;
    let values: Vec<f64> = own.iter().map(|(_, value)| *value).collect();
    assert_eq!(values.len(), 36);
    assert!(values.windows(2).all(|pair| pair[1] - pair[0] == 5.0), "{values:?}");
}

#[test]
fn a_receiver_that_is_down_for_good_costs_bounded_memory_and_what_is_dropped_is_counted() {
    let (registry, _) = registry();
    let policy = Policy { queue_bytes: 20_000, ..v1() };
    let mut rig = Rig::new(policy);
    let mut made = 0;
    for _ in 0..1000 {
        rig.samples(&registry);
        made += registry.len() as u64;
        assert!(rig.sender.queued_bytes() <= 20_000);
        rig.wait(MS * 500);
        if rig.posts.pop().is_some() {
            rig.tell(Event::Failed("refused".into()));
        }
    }
    assert!(rig.sender.oldest(rig.now) < Duration::from_secs(60), "the oldest go first");
    rig.tell(Event::Stop(CREATED + 1_000_000));
    rig.wait(Duration::from_secs(3));
    assert!(rig.finished);
    let counts = rig.sender.counts();
    // The stop adds one end to each series.
    assert_eq!(counts.sent, 0);
    assert_eq!(counts.dropped_full + counts.dropped_at_shutdown, made + registry.len() as u64);
    assert_eq!(rig.logs.len(), 1, "told once: {:?}", rig.logs);
}

#[test]
fn other_errors_are_final_told_once_and_counted() {
    let (registry, _) = registry();
    for status in [400, 401, 404, 409, 413, 307, 100] {
        let mut rig = Rig::new(v1());
        for n in 1..=3 {
            rig.samples(&registry);
            assert_eq!(rig.posts.drain(..).count(), 1);
            rig.answer(status, None);
            assert_eq!(rig.sender.counts().dropped_refused, n * registry.len() as u64, "{status}");
            rig.wait(Duration::from_secs(1));
        }
        assert_eq!((rig.logs.len(), rig.sender.counts().retried), (1, 0), "{status}");
    }
}

#[test]
fn retry_after_is_heeded_and_bounded() {
    let (registry, _) = registry();
    for (asked, waits) in [(7, 7), (100_000, 300)] {
        let mut rig = Rig::new(v1());
        rig.samples(&registry);
        rig.posts.clear();
        let retry_after = Some(Duration::from_secs(asked));
        rig.tell(Event::Response { status: 429, retry_after, written: None });
        rig.wait(Duration::from_secs(waits) - MS);
        assert!(rig.posts.is_empty(), "too soon");
        rig.wait(MS);
        assert_eq!(rig.posts.len(), 1);
    }
}

#[test]
fn a_receiver_of_1_0_is_found_out_and_remembered() {
    let (registry, _) = registry();
    // By its status, or by an answer that does not say what was written.
    for status in [415, 200] {
        let mut rig = Rig::new(Policy::default());
        rig.samples(&registry);
        assert_eq!(rig.posts.pop().map(|p| p.version), Some(Version::V2));
        rig.answer(status, None);
        let again = rig.posts.pop().expect("at once, in the other form");
        assert_eq!(again.version, Version::V1);
        assert_eq!(rig.sender.counts().sent, 0);
        assert_eq!(take(&mut Store::default(), &again) as usize, registry.len(), "the same samples");
        rig.answer(200, None);
        rig.wait(Duration::from_secs(1));
        rig.samples(&registry);
        assert_eq!(rig.posts.pop().map(|p| p.version), Some(Version::V1), "remembered");
        // To 1.0 a 415 is as any other refusal.
        rig.answer(415, None);
        assert_eq!(rig.sender.counts().dropped_refused, registry.len() as u64);
    }
}

#[test]
fn fewer_samples_written_than_sent_are_counted() {
    let (registry, _) = registry();
    let mut rig = Rig::new(Policy::default());
    let all = registry.len() as u64;
    for _ in 0..3 {
        rig.samples(&registry);
        rig.posts.clear();
        rig.answer(200, Some(all - 2));
        rig.wait(Duration::from_secs(1));
    }
    let counts = rig.sender.counts();
    assert_eq!((counts.sent, counts.unwritten, rig.logs.len()), (3 * all, 6, 1));
}

#[test]
fn a_clean_stop_ends_every_series_and_a_full_queue_is_flushed_for_so_long_only() {
    let (registry, _) = registry();
    let mut rig = Rig::new(v1());
    let mut receiver = Store::default();
    rig.samples(&registry);
    rig.wait(MS * 10);
    rig.tell(Event::Stop(CREATED + 10));
    assert!(!rig.finished);
    for _ in 0..2 {
        let post = rig.posts.pop().expect("the samples, then the ends");
        take(&mut receiver, &post);
        rig.answer(200, None);
    }
    assert!(rig.finished);
    assert_eq!(receiver.wrong, Vec::<String>::new());
    for (labels, own) in &receiver.series {
        assert_eq!(own.last().map(|(_, value)| value.to_bits()), Some(STALE_MARKER_BITS), "{labels:?}");
    }
    // Samples that come after the end are nobody's.
    rig.samples(&registry);
    assert!(rig.posts.is_empty());
    // A receiver that says nothing.
    let mut rig = Rig::new(v1());
    rig.samples(&registry);
    rig.tell(Event::Stop(CREATED + 10));
    rig.wait(Policy::default().flush_timeout - MS);
    assert!(!rig.finished);
    rig.wait(MS);
    assert!(rig.finished);
    assert_eq!(rig.sender.counts().dropped_at_shutdown, 2 * registry.len() as u64);
}

#[test]
fn one_request_is_out_at_a_time() {
    let (registry, _) = registry();
    let mut rig = Rig::new(v1());
    for _ in 0..5 {
        rig.samples(&registry);
        rig.wait(Duration::from_secs(60));
    }
    assert_eq!(rig.posts.len(), 1);
}

#[test]
fn a_series_that_is_no_more_is_ended_once_and_may_come_back() {
    let (registry, _) = registry();
    let family = Family {
        name: "bellcroft_server_attempts_total",
        help: "By server.",
        kind: Kind::Counter,
        labels: &["server"],
        max_series: 10,
        bounds: Vec::new(),
    };
    registry.counter(&family, &["s1"]).inc();
    let mut rig = Rig::new(v1());
    let mut receiver = Store::default();
    for round in 0..4 {
        match round {
            1 => registry.remove(&family, &["s1"]),
            3 => registry.counter(&family, &["s1"]).inc(),
            _ => {}
        }
        rig.samples(&registry);
        take(&mut receiver, &rig.posts.pop().expect("a request"));
        rig.answer(200, None);
        rig.wait(Duration::from_secs(1));
    }
    let own =
        receiver.series.iter().find(|(labels, _)| labels.values().any(|v| v == "s1")).expect("it is there").1;
    let bits: Vec<u64> = own.iter().map(|(_, value)| value.to_bits()).collect();
    assert_eq!(bits, [1.0_f64.to_bits(), STALE_MARKER_BITS, 1.0_f64.to_bits()]);
    assert_eq!(receiver.wrong, Vec::<String>::new());
}

#[test]
fn another_receiver_gets_what_waits_at_once_and_in_its_own_form() {
    let (registry, _) = registry();
    let mut rig = Rig::new(Policy::default());
    rig.samples(&registry);
    rig.answer(415, None);
    rig.posts.clear();
    rig.tell(Event::Failed("reset".into()));
    rig.wait(MS * 10);
    rig.samples(&registry);
    assert!(rig.posts.is_empty(), "it waits for its pause");
    rig.tell(Event::PolicyChanged { policy: Policy::default(), receiver_changed: true });
    let mut receiver = Store::default();
    for _ in 0..2 {
        let post = rig.posts.pop().expect("at once");
        assert_eq!(post.version, Version::V2, "what the old one did not know says nothing of the new one");
        let written = take(&mut receiver, &post);
        rig.answer(200, Some(written));
    }
    assert_eq!((rig.sender.counts().sent, rig.sender.queued_bytes()), (2 * registry.len() as u64, 0));
    assert_eq!(receiver.wrong, Vec::<String>::new());
    // The same receiver under other words keeps its pause.
    rig.samples(&registry);
    rig.posts.clear();
    rig.tell(Event::Failed("reset".into()));
    rig.tell(Event::PolicyChanged {
        policy: Policy { queue_bytes: 1 << 20, ..Policy::default() },
        receiver_changed: false,
    });
    assert!(rig.posts.is_empty());
}

#[test]
fn samples_that_are_larger_than_the_queue_are_sent_all_the_same() {
    let (registry, _) = registry();
    let mut rig = Rig::new(Policy { queue_bytes: 10, ..v1() });
    rig.samples(&registry);
    assert_eq!(rig.posts.len(), 1);
    rig.tell(Event::Failed("reset".into()));
    for _ in 0..5 {
        rig.samples(&registry);
    }
    rig.wait(Duration::from_secs(1));
    assert_eq!(rig.posts.len(), 2);
    rig.answer(200, None);
    let counts = rig.sender.counts();
    assert_eq!((counts.sent, counts.dropped_full), (registry.len() as u64, 5 * registry.len() as u64));
}
