//! The task that samples an instance and keeps its receiver supplied. It shares a thread with the requests and waits
//! for nobody on their way: what it does at a time is one walk of the series and one body.

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

/// Overdue answers are looked for this often, whatever the interval of samples.
const LOOK: Duration = Duration::from_secs(1);

/// What an operator says of remote write.
#[derive(Clone, PartialEq)]
pub struct Config {
    /// The receiver.
    pub url: Url,
    /// Sent as a bearer token.
    pub token: Option<String>,
    /// From a sample to the next.
    pub interval: Duration,
    /// One exchange with the receiver.
    pub timeout: Duration,
    /// The queue and its tries.
    pub policy: Policy,
    /// Labels of every series.
    pub labels: Vec<(String, String)>,
}

impl std::fmt::Debug for Config {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Without the token.
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

/// A running task; dropping it ends it with what it holds.
pub struct Remote {
    commands: mpsc::UnboundedSender<Command>,
}

/// What the task needs of its environment.
pub struct Environment {
    /// What is sampled.
    pub instance: Rc<Instance>,
    /// The decisions' clock.
    pub now: Box<dyn Fn() -> Time>,
    /// Called before each sample, for gauges that their owners keep.
    pub refresh: Box<dyn Fn()>,
    /// The log.
    pub log: Box<dyn Fn(&str)>,
    /// Seed of pauses.
    pub seed: u64,
}

impl Remote {
    /// Starts the task on the present [`tokio::task::LocalSet`].
    pub fn start(config: Config, environment: Environment) -> Self {
        let (commands, receiver) = mpsc::unbounded_channel();
        tokio::task::spawn_local(run(config, environment, receiver));
        Remote { commands }
    }

    /// Goes by another configuration from now on. Samples that wait keep the labels that they were made with.
    pub fn change(&self, config: Config) {
        // A task that has ended has no use for it.
        let _ = self.commands.send(Command::Change(Box::new(config)));
    }

    /// Takes a last sample, ends the series, and flushes for as long as the policy gives; tells what became of all.
    pub async fn stop(self) -> Counts {
        let (tell, told) = oneshot::channel();
        let _ = self.commands.send(Command::Stop(tell));
        told.await.unwrap_or_default()
    }
}

fn wall_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as i64)
}

type Exchange = Pin<Box<dyn std::future::Future<Output = (Connection, Event)>>>;

struct Shell {
    config: Config,
    environment: Environment,
    sender: Sender,
    timeline: Timeline,
    origin: Instant,
    /// Idle, or lent to the exchange that is out.
    connection: Option<Connection>,
    exchange: Option<Exchange>,
    finished: bool,
}

impl Shell {
    fn now(&self) -> sender::Time {
        self.origin.elapsed()
    }

    fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.sender.handle(self.now(), event, &mut actions);
        for action in actions {
            match action {
                Action::Log(text) => (self.environment.log)(&text),
                Action::Finished => self.finished = true,
                Action::Post(post) => {
                    let connection = self.connection.take().unwrap_or_else(|| self.fresh());
                    self.exchange = Some(Box::pin(exchange(connection, post)));
                }
            }
        }
    }

    fn fresh(&self) -> Connection {
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
        let at = self.timeline.stamp(wall_ms(), now);
        self.tell(Event::Samples(samples, at));
    }

    fn change(&mut self, config: Config) {
        let receiver_changed = config.url != self.config.url;
        if receiver_changed || config.token != self.config.token || config.timeout != self.config.timeout {
            // An exchange that is out with the same receiver ends by itself, and its connection with it.
            self.connection = None;
            if receiver_changed {
                self.exchange = None;
            }
        }
        self.environment.instance.registry.relabel(&config.labels);
        let policy = config.policy.clone();
        self.config = config;
        self.tell(Event::PolicyChanged { policy, receiver_changed });
    }
}

async fn exchange(mut connection: Connection, post: sender::Post) -> (Connection, Event) {
    let event = match connection.post(post).await {
        Ok(answer) => Event::Response {
            status: answer.status,
            retry_after: answer.retry_after,
            written: answer.written,
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
    let mut next_look = origin;
    let mut stopping = None;
    let mut shell = Shell {
        config,
        environment,
        sender,
        timeline,
        origin,
        connection: None,
        exchange: None,
        finished: false,
    };
    // Each instance of a fleet samples at its own phase, or a receiver would have all of them at once.
    let mut phase = fastrand::Rng::with_seed(shell.environment.seed);
    while !shell.finished {
        let now = Instant::now();
        if now >= next_look {
            shell.environment.instance.check_overdue((shell.environment.now)());
            next_look = now + LOOK;
        }
        if stopping.is_none() && now >= next_sample {
            shell.sample();
            let interval = shell.config.interval;
            next_sample = if next_sample == origin {
                now + interval.mul_f64(0.5 + 0.5 * phase.f64())
            } else {
                // After a pause of the whole process the missed ones are not made up for.
                (next_sample + interval).max(now)
            };
        }
        let retry = shell.sender.next_wake().map(|at| origin + at);
        let sample = stopping.is_none().then_some(next_sample.min(next_look));
        let wake = retry.into_iter().chain(sample).min();
        // A configuration that comes now may not throw away a request that has just been answered.
        tokio::select! {
            biased;
            (connection, event) = async { match &mut shell.exchange { Some(e) => e.await, None => pending().await } } => {
                shell.exchange = None;
                let stale = connection.differs(&shell.config);
                shell.connection = (!stale).then_some(connection);
                shell.tell(event);
            }
            command = commands.recv() => match command {
                Some(Command::Change(config)) => {
                    shell.change(*config);
                    next_sample = next_sample.min(Instant::now() + shell.config.interval);
                }
                Some(Command::Stop(tell)) => {
                    shell.sample();
                    stopping = Some(tell);
                    let at = shell.timeline.stamp(wall_ms(), shell.now());
                    shell.tell(Event::Stop(at));
                }
                // Its environment has gone without a word, and the process with it.
                None => return,
            },
            () = async { match wake { Some(at) => tokio::time::sleep_until(at).await, None => pending().await } } => {
                shell.tell(Event::Tick);
            }
        }
    }
    if let Some(tell) = stopping {
        let _ = tell.send(shell.sender.counts());
    }
}

impl Connection {
    /// It was made for another receiver, token or time-out than these.
    fn differs(&self, config: &Config) -> bool {
        !self.is_for(&config.url, config.token.as_deref(), config.timeout)
    }
}
