//! The sender against a simulated receiver, which decodes bodies with code of its own.

use bellcroft_telemetry::*;
use std::time::Duration;
use testbed::Store;

const MS: Duration = Duration::from_millis(1);
const CREATED: i64 = 1_700_000_000_000;

/// Stores a request at a strict receiver, and returns the number of samples that it accepts.
fn receive(store: &mut Store, post: &Post) -> u64 {
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
        help: "Response times.",
        kind: Kind::Histogram,
        labels: &["class"],
        max_series: 100,
        bounds: vec![0.25, 1.5],
    };
    registry.histogram(&family, &["read"]).observe(0.3);
    (registry, counter)
}

/// A sender with a simulated clock, and its actions so far.
struct Harness {
    sender: Sender,
    now: Duration,
    posts: Vec<Post>,
    logs: Vec<String>,
    finished: bool,
}

impl Harness {
    fn new(policy: Policy) -> Self {
        let sender = Sender::new(policy, 3, CREATED);
        Harness { sender, now: Duration::ZERO, posts: Vec::new(), logs: Vec::new(), finished: false }
    }

    fn handle(&mut self, event: Event) {
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

    fn sample(&mut self, registry: &Registry) {
        let at = CREATED + self.now.as_millis() as i64;
        self.handle(Event::Samples(samples(registry), at));
    }

    fn respond(&mut self, status: u16, written: Option<u64>) {
        self.handle(Event::Response { status, retry_after: None, written });
    }

    fn advance(&mut self, duration: Duration) {
        self.now += duration;
        self.handle(Event::Tick);
    }
}

fn v1() -> Policy {
    Policy { version: Version::V1, ..Policy::default() }
}

#[test]
fn both_versions_deliver_the_same_series() {
    let (registry, counter) = registry();
    let mut series = Vec::new();
    for version in [Version::V1, Version::V2] {
        let mut harness = Harness::new(Policy { version, ..Policy::default() });
        let mut receiver = Store::default();
        counter.inc();
        harness.sample(&registry);
        let post = harness.posts.pop().expect("a request");
        assert_eq!(post.version, version);
        let accepted = receive(&mut receiver, &post);
        assert_eq!(accepted as usize, registry.len());
        harness.respond(200, Some(accepted));
        assert_eq!(harness.sender.counts().sent, accepted);
        assert_eq!(receiver.wrong, Vec::<String>::new());
        if version == Version::V2 {
            assert!(!receiver.created.is_empty() && receiver.created.iter().all(|at| *at == CREATED));
        }
        series.push(receiver.series.into_keys().collect::<Vec<_>>());
    }
    assert_eq!(series[0], series[1]);
    assert!(
        series[0].iter().any(|labels| labels.values().any(|v| v == "log\"\n")),
        "quotes and newlines must be preserved"
    );
}

/// Encodes one series with one sample by hand, as the specification defines it.
#[test]
fn hand_encoded_body_round_trips() {
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
    let read = wire::v1::WriteRequest::decode(body.as_slice()).expect("a valid message");
    assert_eq!(read.timeseries[0].samples[0], wire::v1::Sample { value: 1.0, timestamp: 1000 });
    assert_eq!(read.encode_to_vec(), body);
}

#[test]
fn recovered_receiver_gets_all_samples_in_order() {
    let (registry, counter) = registry();
    let mut harness = Harness::new(v1());
    let mut receiver = Store::default();
    let mut random = fastrand::Rng::with_seed(5);
    let (mut sampled, mut failed_at) = (0, Vec::new());
    for second in 0..180_u64 {
        counter.inc();
        if second % 5 == 0 {
            harness.sample(&registry);
            sampled += registry.len() as u64;
        }
        // The receiver fails for a minute, with each kind of failure that is retried.
        let is_failing = (30..90).contains(&second);
        for _ in 0..10 {
            harness.advance(MS * 100);
            while let Some(post) = harness.posts.pop() {
                if is_failing {
                    failed_at.push(harness.now);
                    match random.u8(0..4) {
                        0 => harness.respond(500, None),
                        1 => harness.respond(503, None),
                        2 => harness.handle(Event::Failed("reset".into())),
                        _ => harness.respond(429, None),
                    }
                } else {
                    receive(&mut receiver, &post);
                    harness.respond(204, None);
                }
            }
        }
    }
    assert_eq!(receiver.wrong, Vec::<String>::new());
    let counts = harness.sender.counts();
    assert_eq!((counts.sent, counts.dropped_full), (sampled, 0));
    assert!(counts.retried > 0 && harness.sender.queued_bytes() == 0);
    assert!(failed_at.len() < 30, "{} requests in a minute of failures", failed_at.len());
    // The receiver has every value of the counter, which grows by 5 from sample to sample.
    let own = receiver
        .series
        .iter()
        .find(|(labels, _)| labels.values().any(|v| v == "served"))
        .expect("the series is stored")
        .1;
    let values: Vec<f64> = own.iter().map(|(_, value)| *value).collect();
    assert_eq!(values.len(), 36);
    assert!(values.windows(2).all(|pair| pair[1] - pair[0] == 5.0), "{values:?}");
}

#[test]
fn queue_is_bounded_while_receiver_is_down_and_drops_are_counted() {
    let (registry, _) = registry();
    let policy = Policy { queue_bytes: 20_000, ..v1() };
    let mut harness = Harness::new(policy);
    let mut sampled = 0;
    for _ in 0..1000 {
        harness.sample(&registry);
        sampled += registry.len() as u64;
        assert!(harness.sender.queued_bytes() <= 20_000);
        harness.advance(MS * 500);
        if harness.posts.pop().is_some() {
            harness.handle(Event::Failed("refused".into()));
        }
    }
    assert!(
        harness.sender.oldest(harness.now) < Duration::from_secs(60),
        "the oldest samples must be dropped first"
    );
    harness.handle(Event::Stop(CREATED + 1_000_000));
    harness.advance(Duration::from_secs(3));
    assert!(harness.finished);
    let counts = harness.sender.counts();
    // The stop adds a stale marker for each series.
    assert_eq!(counts.sent, 0);
    assert_eq!(counts.dropped_full + counts.dropped_at_shutdown, sampled + registry.len() as u64);
    assert_eq!(harness.logs.len(), 1, "must be logged once: {:?}", harness.logs);
}

#[test]
fn other_errors_are_final_logged_once_and_counted() {
    let (registry, _) = registry();
    for status in [400, 401, 404, 409, 413, 307, 100] {
        let mut harness = Harness::new(v1());
        for n in 1..=3 {
            harness.sample(&registry);
            assert_eq!(harness.posts.drain(..).count(), 1);
            harness.respond(status, None);
            assert_eq!(harness.sender.counts().dropped_refused, n * registry.len() as u64, "{status}");
            harness.advance(Duration::from_secs(1));
        }
        assert_eq!((harness.logs.len(), harness.sender.counts().retried), (1, 0), "{status}");
    }
}

#[test]
fn retry_after_is_respected_up_to_limit() {
    let (registry, _) = registry();
    for (requested, expected) in [(7, 7), (100_000, 300)] {
        let mut harness = Harness::new(v1());
        harness.sample(&registry);
        harness.posts.clear();
        let retry_after = Some(Duration::from_secs(requested));
        harness.handle(Event::Response { status: 429, retry_after, written: None });
        harness.advance(Duration::from_secs(expected) - MS);
        assert!(harness.posts.is_empty(), "sent before the delay has passed");
        harness.advance(MS);
        assert_eq!(harness.posts.len(), 1);
    }
}

#[test]
fn receiver_of_1_0_is_detected_and_remembered() {
    let (registry, _) = registry();
    // Detected by its status, or by a response that does not say what was written.
    for status in [415, 200] {
        let mut harness = Harness::new(Policy::default());
        harness.sample(&registry);
        assert_eq!(harness.posts.pop().map(|p| p.version), Some(Version::V2));
        harness.respond(status, None);
        let resent = harness.posts.pop().expect("an immediate request in the other version");
        assert_eq!(resent.version, Version::V1);
        assert_eq!(harness.sender.counts().sent, 0);
        assert_eq!(
            receive(&mut Store::default(), &resent) as usize,
            registry.len(),
            "the same samples must be sent again"
        );
        harness.respond(200, None);
        harness.advance(Duration::from_secs(1));
        harness.sample(&registry);
        assert_eq!(
            harness.posts.pop().map(|p| p.version),
            Some(Version::V1),
            "the version must be remembered"
        );
        // In version 1.0 a 415 is handled like any other refusal.
        harness.respond(415, None);
        assert_eq!(harness.sender.counts().dropped_refused, registry.len() as u64);
    }
}

#[test]
fn unwritten_samples_are_counted_and_logged_once() {
    let (registry, _) = registry();
    let mut harness = Harness::new(Policy::default());
    let all = registry.len() as u64;
    for _ in 0..3 {
        harness.sample(&registry);
        harness.posts.clear();
        harness.respond(200, Some(all - 2));
        harness.advance(Duration::from_secs(1));
    }
    let counts = harness.sender.counts();
    assert_eq!((counts.sent, counts.unwritten, harness.logs.len()), (3 * all, 6, 1));
}

#[test]
fn stop_ends_every_series_and_limits_flush() {
    let (registry, _) = registry();
    let mut harness = Harness::new(v1());
    let mut receiver = Store::default();
    harness.sample(&registry);
    harness.advance(MS * 10);
    harness.handle(Event::Stop(CREATED + 10));
    assert!(!harness.finished);
    for _ in 0..2 {
        let post = harness.posts.pop().expect("the samples, then the stale markers");
        receive(&mut receiver, &post);
        harness.respond(200, None);
    }
    assert!(harness.finished);
    assert_eq!(receiver.wrong, Vec::<String>::new());
    for (labels, own) in &receiver.series {
        assert_eq!(own.last().map(|(_, value)| value.to_bits()), Some(STALE_MARKER_BITS), "{labels:?}");
    }
    // Samples after the stop are ignored.
    harness.sample(&registry);
    assert!(harness.posts.is_empty());
    // The receiver does not respond, so the flush times out.
    let mut harness = Harness::new(v1());
    harness.sample(&registry);
    harness.handle(Event::Stop(CREATED + 10));
    harness.advance(Policy::default().flush_timeout - MS);
    assert!(!harness.finished);
    harness.advance(MS);
    assert!(harness.finished);
    assert_eq!(harness.sender.counts().dropped_at_shutdown, 2 * registry.len() as u64);
}

#[test]
fn only_one_request_is_in_flight() {
    let (registry, _) = registry();
    let mut harness = Harness::new(v1());
    for _ in 0..5 {
        harness.sample(&registry);
        harness.advance(Duration::from_secs(60));
    }
    assert_eq!(harness.posts.len(), 1);
}

#[test]
fn removed_series_gets_one_stale_marker_and_may_return() {
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
    let mut harness = Harness::new(v1());
    let mut receiver = Store::default();
    for round in 0..4 {
        match round {
            1 => registry.remove(&family, &["s1"]),
            3 => registry.counter(&family, &["s1"]).inc(),
            _ => {}
        }
        harness.sample(&registry);
        receive(&mut receiver, &harness.posts.pop().expect("a request"));
        harness.respond(200, None);
        harness.advance(Duration::from_secs(1));
    }
    let own = receiver
        .series
        .iter()
        .find(|(labels, _)| labels.values().any(|v| v == "s1"))
        .expect("the series is stored")
        .1;
    let bits: Vec<u64> = own.iter().map(|(_, value)| value.to_bits()).collect();
    assert_eq!(bits, [1.0_f64.to_bits(), STALE_MARKER_BITS, 1.0_f64.to_bits()]);
    assert_eq!(receiver.wrong, Vec::<String>::new());
}

#[test]
fn new_receiver_gets_queue_at_once_in_configured_version() {
    let (registry, _) = registry();
    let mut harness = Harness::new(Policy::default());
    harness.sample(&registry);
    harness.respond(415, None);
    harness.posts.clear();
    harness.handle(Event::Failed("reset".into()));
    harness.advance(MS * 10);
    harness.sample(&registry);
    assert!(harness.posts.is_empty(), "sent before the delay has passed");
    harness.handle(Event::PolicyChanged { policy: Policy::default(), receiver_changed: true });
    let mut receiver = Store::default();
    for _ in 0..2 {
        let post = harness.posts.pop().expect("an immediate request");
        assert_eq!(
            post.version,
            Version::V2,
            "the version of the old receiver must not apply to the new one"
        );
        let written = receive(&mut receiver, &post);
        harness.respond(200, Some(written));
    }
    assert_eq!((harness.sender.counts().sent, harness.sender.queued_bytes()), (2 * registry.len() as u64, 0));
    assert_eq!(receiver.wrong, Vec::<String>::new());
    // A new policy for the same receiver does not shorten the delay.
    harness.sample(&registry);
    harness.posts.clear();
    harness.handle(Event::Failed("reset".into()));
    harness.handle(Event::PolicyChanged {
        policy: Policy { queue_bytes: 1 << 20, ..Policy::default() },
        receiver_changed: false,
    });
    assert!(harness.posts.is_empty());
}

#[test]
fn batch_larger_than_queue_limit_is_sent() {
    let (registry, _) = registry();
    let mut harness = Harness::new(Policy { queue_bytes: 10, ..v1() });
    harness.sample(&registry);
    assert_eq!(harness.posts.len(), 1);
    harness.handle(Event::Failed("reset".into()));
    for _ in 0..5 {
        harness.sample(&registry);
    }
    harness.advance(Duration::from_secs(1));
    assert_eq!(harness.posts.len(), 2);
    harness.respond(200, None);
    let counts = harness.sender.counts();
    assert_eq!((counts.sent, counts.dropped_full), (registry.len() as u64, 5 * registry.len() as u64));
}
