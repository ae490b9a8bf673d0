//! The task that samples an instance and sends the samples to its receiver.
//!
//! It shares a thread with the requests and does not block it: each step gathers all series or encodes one body.

use crate::connection::{Connection, Url};
use crate::instance::Instance;
use crate::sender::{self, Action, Counts, Event, Policy, Sender};
use crate::timeline::Timeline;
use bellcroft_balancer::Time;
use std::future::pending;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// Interval of the checks for overdue responses, independent of the interval of samples.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Configuration of remote write.
#[derive(Clone, PartialEq)]
pub struct Config {
    /// URL of the receiver.
    pub url: Url,
    /// Bearer token.
    pub token: Option<String>,
    /// Interval of samples.
    pub interval: Duration,
    /// Limit of one exchange with the receiver.
    pub timeout: Duration,
    /// Settings of the queue and of retries.
    pub policy: Policy,
    /// Labels that are added to every series.
    pub labels: Vec<(String, String)>,
}

impl std::fmt::Debug for Config {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // The token must not appear in logs.
        f.debug_struct("Config")
            .field("url", &self.url)
            .field("interval", &self.interval)
            .finish_non_exhaustive()
    }
}

enum Command {
    Change(Box<Config>),
    Stop(oneshot::Sender<Counts>),
}

/// A running task. Dropping it ends the task and discards its queue.
pub struct Remote {
    commands: mpsc::UnboundedSender<Command>,
}

/// What the task needs from its caller.
pub struct Environment {
    /// The series to sample.
    pub instance: Rc<Instance>,
    /// The balancer's clock.
    pub now: Box<dyn Fn() -> Time>,
    /// Called before each sample, to set gauges that are not updated by events.
    pub refresh: Box<dyn Fn()>,
    /// Writes a message to the log.
    pub log: Box<dyn Fn(&str)>,
    /// Seed of the random delays.
    pub seed: u64,
}

impl Remote {
    /// Starts the task on the current [`tokio::task::LocalSet`].
    pub fn start(config: Config, environment: Environment) -> Self {
        let (commands, receiver) = mpsc::unbounded_channel();
        tokio::task::spawn_local(run(config, environment, receiver));
        Remote { commands }
    }

    /// Replaces the configuration. Samples in the queue keep their labels.
    pub fn change(&self, config: Config) {
        // Fails only if the task has ended.
        let _ = self.commands.send(Command::Change(Box::new(config)));
    }

    /// Takes a last sample, marks the series as ended, and flushes the queue within the policy's timeout. Returns the final
    /// counts.
    pub async fn stop(self) -> Counts {
        let (reply_to, reply) = oneshot::channel();
        let _ = self.commands.send(Command::Stop(reply_to));
        reply.await.unwrap_or_default()
    }
}

fn wall_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as i64)
}

type Exchange = Pin<Box<dyn std::future::Future<Output = (Connection, Event)>>>;

/// The state of the task.
struct Task {
    config: Config,
    environment: Environment,
    sender: Sender,
    timeline: Timeline,
    origin: Instant,
    /// The idle connection; none before the first exchange and during one.
    connection: Option<Connection>,
    exchange: Option<Exchange>,
    is_finished: bool,
}

impl Task {
    fn now(&self) -> sender::Time {
        self.origin.elapsed()
    }

    /// Passes an event to the sender and executes its actions.
    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.sender.handle(self.now(), event, &mut actions);
        for action in actions {
            match action {
                Action::Log(text) => (self.environment.log)(&text),
                Action::Finished => self.is_finished = true,
                Action::Post(post) => {
                    let connection = self.connection.take().unwrap_or_else(|| self.new_connection());
                    self.exchange = Some(Box::pin(exchange(connection, post)));
                }
            }
        }
    }

    fn new_connection(&self) -> Connection {
        Connection::new(self.config.url.clone(), self.config.token.clone(), self.config.timeout)
    }

    fn sample(&mut self) {
        let (sender, now) = (&self.sender, self.now());
        let steps = self.timeline.steps();
        self.environment.instance.set_remote_write(
            &sender.counts(),
            sender.queued_bytes(),
            sender.oldest(now),
            steps,
        );
        (self.environment.refresh)();
        let samples = self.environment.instance.gather((self.environment.now)());
        let at = self.timeline.next_timestamp(wall_ms(), now);
        self.handle(Event::Samples(samples, at));
    }

    fn change(&mut self, config: Config) {
        let receiver_changed = config.url != self.config.url;
        if receiver_changed || config.token != self.config.token || config.timeout != self.config.timeout {
            // A current exchange with the same receiver may finish; its connection is closed afterwards.
            self.connection = None;
            if receiver_changed {
                self.exchange = None;
            }
        }
        self.environment.instance.registry.set_external_labels(&config.labels);
        let policy = config.policy.clone();
        self.config = config;
        self.handle(Event::PolicyChanged { policy, receiver_changed });
    }
}

async fn exchange(mut connection: Connection, post: sender::Post) -> (Connection, Event) {
    let event = match connection.post(post).await {
        Ok(response) => Event::Response {
            status: response.status,
            retry_after: response.retry_after,
            written: response.written,
        },
        Err(why) => Event::Failed(why),
    };
    (connection, event)
}

async fn run(config: Config, environment: Environment, mut commands: mpsc::UnboundedReceiver<Command>) {
    let origin = Instant::now();
    let timeline = Timeline::new(wall_ms(), Duration::ZERO);
    let sender = Sender::new(config.policy.clone(), environment.seed, wall_ms());
    let mut next_sample = origin;
    let mut next_overdue_check = origin;
    let mut stopping = None;
    let mut task = Task {
        config,
        environment,
        sender,
        timeline,
        origin,
        connection: None,
        exchange: None,
        is_finished: false,
    };
    // The second sample comes after a random part of the interval, so that a receiver does not get the samples of all
    // instances of a fleet at the same time.
    let mut phase = fastrand::Rng::with_seed(task.environment.seed);
    while !task.is_finished {
        let now = Instant::now();
        if now >= next_overdue_check {
            task.environment.instance.check_overdue((task.environment.now)());
            next_overdue_check = now + OVERDUE_CHECK_INTERVAL;
        }
        if stopping.is_none() && now >= next_sample {
            task.sample();
            let interval = task.config.interval;
            next_sample = if next_sample == origin {
                now + interval.mul_f64(0.5 + 0.5 * phase.f64())
            } else {
                // Samples that were missed while the process was paused are not taken later.
                (next_sample + interval).max(now)
            };
        }
        let sender_wake = task.sender.next_wake().map(|at| origin + at);
        let sample = stopping.is_none().then_some(next_sample.min(next_overdue_check));
        let wake = sender_wake.into_iter().chain(sample).min();
        // Biased, so that a new configuration does not discard a response that has already arrived.
        tokio::select! {
            biased;
            (connection, event) = async { match &mut task.exchange { Some(e) => e.await, None => pending().await } } => {
                task.exchange = None;
                let is_outdated = connection.differs(&task.config);
                task.connection = (!is_outdated).then_some(connection);
                task.handle(event);
            }
            command = commands.recv() => match command {
                Some(Command::Change(config)) => {
                    task.change(*config);
                    next_sample = next_sample.min(Instant::now() + task.config.interval);
                }
                Some(Command::Stop(reply_to)) => {
                    task.sample();
                    stopping = Some(reply_to);
                    let at = task.timeline.next_timestamp(wall_ms(), task.now());
                    task.handle(Event::Stop(at));
                }
                // The handle was dropped without a stop: the process exits.
                None => return,
            },
            () = async { match wake { Some(at) => tokio::time::sleep_until(at).await, None => pending().await } } => {
                task.handle(Event::Tick);
            }
        }
    }
    if let Some(reply_to) = stopping {
        let _ = reply_to.send(task.sender.counts());
    }
}

impl Connection {
    /// Whether the connection was made for another receiver, token or timeout.
    fn differs(&self, config: &Config) -> bool {
        !self.matches(&config.url, config.token.as_deref(), config.timeout)
    }
}
