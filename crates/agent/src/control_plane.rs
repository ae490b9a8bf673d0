//! The control part of an agent, without its request path: membership, discovery's client, telemetry's sender and the
//! configuration that they go by.
//!
//! The daemon constructs one beside its listeners. The scale run constructs many in one process, as the control part of
//! hollow agents; both run the same code. Nothing here reaches into the request path.

use crate::daemon::config::{Config, ConfigSources};
use crate::driver::Driver;
use crate::peers::{Decisions, Peers};
use crate::telemetry;
use bellcroft_agent_core::reconfigure;
use bellcroft_telemetry::{Instance, Owner, Remote};
use std::cell::{Ref, RefCell};
use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::JoinHandle;
use tracing::{info, warn};

/// Connections to servers that a control plane without a request path may hold: those of its probes.
const PROBE_CONNECTIONS: usize = 8;

/// Where an instance finds what it goes by.
#[derive(Debug, Clone, Default)]
pub(crate) struct StartOptions {
    /// Its files.
    pub sources: ConfigSources,
    /// Its state directory, before the operator's file.
    pub state: Option<PathBuf>,
}

/// A variable of the environment.
pub(crate) fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// The control part of one agent. It runs within a [`LocalSet`](tokio::task::LocalSet) from [`ControlPlane::open`] on
/// until [`ControlPlane::stop`].
pub struct ControlPlane {
    config: RefCell<Config>,
    start: StartOptions,
    driver: Rc<Driver>,
    registry: Option<Rc<Instance>>,
    remote: RefCell<Option<Remote>>,
    driving: RefCell<Option<JoinHandle<()>>>,
}

impl ControlPlane {
    /// Reads an agent's files and starts its control part alone, telemetry's sender included.
    ///
    /// # Errors
    ///
    /// The files are wrong, or an address cannot be listened on.
    pub async fn open(operator: &Path, config: &Path) -> Result<Rc<Self>, String> {
        let sources = ConfigSources { operator: Some(operator.to_owned()), config: Some(config.to_owned()) };
        let config = Config::load(&sources, variable).map_err(|wrong| wrong.join("; "))?;
        let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let start = StartOptions { sources, state: None };
        let plane = Self::start(config, start, PROBE_CONNECTIONS, started.as_millis() as u64).await?;
        let refreshed = Rc::downgrade(&plane);
        plane.send_telemetry(move || {
            if let Some(plane) = refreshed.upgrade() {
                plane.refresh_gauges();
            }
        });
        Ok(plane)
    }

    /// Starts the decisions, discovery's client and membership. Telemetry's sender waits for
    /// [`ControlPlane::send_telemetry`].
    pub(crate) async fn start(
        config: Config,
        start: StartOptions,
        server_connections: usize,
        started_ms: u64,
    ) -> Result<Rc<Self>, String> {
        let registry = telemetry::start(&config, started_ms);
        let driver = Driver::start(config.clone(), server_connections, registry.clone());
        let driver = driver.map_err(|e| e.to_string())?;
        if let Some(peering) = config.peering.clone() {
            let (listen, name) = (peering.0, &config.name);
            let decisions = Rc::downgrade(&driver) as Weak<dyn Decisions>;
            let peers = Peers::start(peering, (name, config.seed), driver.clock, decisions).await;
            let peers = peers.map_err(|e| format!("cannot listen on {listen} (membership): {e}"))?;
            let heard = peers.address().map_or(listen, |address| address);
            info!("{name}: peers are heard on {heard}");
            driver.set_peers(peers);
        }
        let driving = tokio::task::spawn_local(driver.clone().run());
        Ok(Rc::new(ControlPlane {
            config: RefCell::new(config),
            start,
            driver,
            registry,
            remote: RefCell::default(),
            driving: RefCell::new(Some(driving)),
        }))
    }

    /// The decisions, which the request path shares.
    pub(crate) fn driver(&self) -> &Rc<Driver> {
        &self.driver
    }

    /// What it goes by at present.
    pub(crate) fn config(&self) -> Ref<'_, Config> {
        self.config.borrow()
    }

    /// The task that wakes the decisions: while it runs they can decide. Given once; [`ControlPlane::stop`] ends it
    /// otherwise.
    pub(crate) fn take_driving(&self) -> Option<JoinHandle<()>> {
        self.driving.borrow_mut().take()
    }

    /// Begins to send what is counted, if the operator's file says where to. `refresh` sets the gauges before each sample.
    pub(crate) fn send_telemetry(&self, refresh: impl Fn() + 'static) {
        let config = self.config();
        let Some((remote, instance)) = telemetry::remote_write(&config).zip(self.registry.clone()) else {
            return;
        };
        let (clock, name) = (self.driver.clock, config.name.clone());
        let owner = Owner {
            instance,
            now: Box::new(move || clock.now()),
            refresh: Box::new(refresh),
            log: Box::new(move |text| warn!(target: "bellcroft::telemetry", "{name}: {text}")),
            seed: config.seed,
        };
        *self.remote.borrow_mut() = Some(Remote::start(remote, owner));
    }

    /// Sets the gauges that membership keeps.
    pub(crate) fn refresh_gauges(&self) {
        if let Some((registry, peers)) = self.registry.as_ref().zip(self.driver.peers()) {
            telemetry::sample_peers(&registry.registry, &peers, self.driver.stalls());
        }
    }

    /// Reads the files again and takes all that is new in them, or nothing. Without an operator's file it is the
    /// platform's reload, which is about discovery alone.
    ///
    /// # Errors
    ///
    /// What is wrong with them; all stays as it was then.
    pub fn reload(&self) -> Result<(), String> {
        // By the environment alone: there `PROXY_DISCOVERY` is the start's address and does not mask the file's.
        let platform = self.start.sources.operator.is_none() && self.start.sources.config.is_none();
        let var = |name: &str| variable(name).filter(|_| !platform || name != "PROXY_DISCOVERY");
        let mut newer = Config::load(&self.start.sources, var).map_err(|wrong| wrong.join("; "))?;
        let lacks = reconfigure::missing_keys(&self.config().raw, &newer.raw);
        if !lacks.is_empty() {
            return Err(format!("it lacks {}, which the present one has", lacks.join(", ")));
        }
        newer.daemon.state = self.start.state.clone().or(newer.daemon.state);
        let fixed = self.config().needs_restart(&newer);
        if !fixed.is_empty() {
            return Err(format!("{} differs, which only a restart can take", fixed.join(", ")));
        }
        let discovery = newer.discovery;
        self.driver.reconfigure(&newer).map_err(|e| e.to_string())?;
        self.driver.set_routes(&newer);
        if let Some(registry) = &self.registry {
            telemetry::publish_budgets(registry, &newer);
        }
        if let Some((remote, config)) = self.remote.borrow().as_ref().zip(telemetry::remote_write(&newer)) {
            remote.change(config);
        }
        if let Some((peers, (_, config))) = self.driver.peers().zip(newer.peering.as_ref()) {
            peers.set_expected_size(config.instances);
        }
        let moved = self.config.replace(newer).discovery != discovery;
        if moved || platform {
            self.driver.set_discovery_address(discovery);
        }
        Ok(())
    }

    /// Says good-bye to the other instances.
    pub(crate) fn leave(&self) {
        if let Some(peers) = self.driver.peers() {
            peers.leave();
        }
    }

    /// Sends the last counts and ends telemetry's sender.
    pub(crate) async fn stop_telemetry(&self) {
        let remote = self.remote.borrow_mut().take();
        let Some(remote) = remote else { return };
        let counts = remote.stop().await;
        if counts.dropped_at_end > 0 {
            let name = &self.config().name;
            warn!(target: "bellcroft::telemetry", "{name}: remote write: {} samples were left at the end", counts.dropped_at_end);
        }
    }

    /// Says good-bye, sends the last counts and ends. Sockets close with the [`LocalSet`](tokio::task::LocalSet).
    pub async fn stop(&self) {
        self.leave();
        // The kernel has what was said; a moment more for nobody.
        tokio::time::sleep(Duration::ZERO).await;
        self.stop_telemetry().await;
        if let Some(driving) = self.take_driving() {
            driving.abort();
        }
    }
}
