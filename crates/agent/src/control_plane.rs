//! An agent's control plane: membership, discovery's client, telemetry's sender and their configuration.
//!
//! The daemon has one beside its request path. The scale run has many in one process, as agents without a request path;
//! both run the same code. Nothing here depends on the request path.

use crate::daemon::config::{Config, ConfigErrors, ConfigSources};
use crate::driver::Driver;
use crate::peers::{PeerEventHandler, Peers, PeersConfig};
use crate::telemetry;
use bellcroft_agent_core::reconfigure;
use bellcroft_balancer::SettingsError;
use bellcroft_telemetry::{Environment, Instance, Remote};
use std::cell::{Ref, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::JoinHandle;
use tracing::{info, warn};

/// Connections to servers of a control plane without a request path: those of its health checks.
const PROBE_CONNECTIONS: usize = 8;

/// The options of a start.
#[derive(Debug, Clone, Default)]
pub(crate) struct StartOptions {
    /// Where the files are named.
    pub sources: ConfigSources,
    /// The state directory; takes precedence over the operator's file.
    pub state: Option<PathBuf>,
}

/// A variable of the environment.
pub(crate) fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Why a control plane could not start.
#[derive(Debug, thiserror::Error)]
pub enum ControlPlaneError {
    /// The files are faulty.
    #[error(transparent)]
    Config(#[from] ConfigErrors),
    /// No balancer can work with the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Membership's address cannot be listened on.
    #[error("cannot listen on {address} (membership): {source}")]
    MembershipListen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
}

/// Why a reload was rejected.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// The files are faulty.
    #[error(transparent)]
    Config(#[from] ConfigErrors),
    /// The platform's file lacks keys that the one in force has.
    #[error("it lacks {}, which the present one has", .0.join(", "))]
    MissingKeys(Vec<String>),
    /// The files change what only a restart can.
    #[error("{} differs, which only a restart can take", .0.join(", "))]
    NeedsRestart(Vec<&'static str>),
    /// No balancer can work with the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// The control plane of one agent. It runs within a [`LocalSet`](tokio::task::LocalSet) from [`ControlPlane::open`] on
/// until [`ControlPlane::stop`].
pub struct ControlPlane {
    config: RefCell<Config>,
    start: StartOptions,
    driver: Rc<Driver>,
    registry: Option<Rc<Instance>>,
    remote: RefCell<Option<Remote>>,
    driver_task: RefCell<Option<JoinHandle<()>>>,
}

impl ControlPlane {
    /// Reads an agent's files and starts its control plane alone, telemetry's sender included.
    ///
    /// # Errors
    ///
    /// The files are faulty, or membership's address cannot be listened on.
    pub async fn open(operator: &Path, config: &Path) -> Result<Rc<Self>, ControlPlaneError> {
        let sources = ConfigSources { operator: Some(operator.to_owned()), config: Some(config.to_owned()) };
        let config = Config::load(&sources, variable)?;
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

    /// Starts the driver, discovery's client and membership. Telemetry's sender waits for
    /// [`ControlPlane::send_telemetry`].
    pub(crate) async fn start(
        config: Config,
        start: StartOptions,
        server_connections: usize,
        started_ms: u64,
    ) -> Result<Rc<Self>, ControlPlaneError> {
        let registry = telemetry::start(&config, started_ms);
        let driver = Driver::start(config.clone(), server_connections, registry.clone())?;
        if let Some((listen, membership)) = config.peering.clone() {
            let handler = Rc::downgrade(&driver) as Weak<dyn PeerEventHandler>;
            let instance = config.name.clone();
            let peers_config = PeersConfig { instance, listen, membership, seed: config.seed };
            let peers = Peers::start(peers_config, driver.clock, handler).await;
            let peers =
                peers.map_err(|source| ControlPlaneError::MembershipListen { address: listen, source })?;
            let address = peers.address().unwrap_or(listen);
            info!(instance = %config.name, %address, "membership listening");
            driver.set_peers(peers);
        }
        let driver_task = tokio::task::spawn_local(driver.clone().run());
        Ok(Rc::new(ControlPlane {
            config: RefCell::new(config),
            start,
            driver,
            registry,
            remote: RefCell::default(),
            driver_task: RefCell::new(Some(driver_task)),
        }))
    }

    /// The driver, which the request path shares.
    pub(crate) fn driver(&self) -> &Rc<Driver> {
        &self.driver
    }

    /// The configuration in force.
    pub(crate) fn config(&self) -> Ref<'_, Config> {
        self.config.borrow()
    }

    /// The task of the driver's timers, without which no request would time out. None after the first call; if it is
    /// not taken, [`ControlPlane::stop`] ends it.
    pub(crate) fn take_driver_task(&self) -> Option<JoinHandle<()>> {
        self.driver_task.borrow_mut().take()
    }

    /// Starts telemetry's sender if the operator's file names a receiver. `refresh` sets the gauges before each sample.
    pub(crate) fn send_telemetry(&self, refresh: impl Fn() + 'static) {
        let config = self.config();
        let Some((remote, instance)) = telemetry::remote_write(&config).zip(self.registry.clone()) else {
            return;
        };
        let (clock, name) = (self.driver.clock, config.name.clone());
        let environment = Environment {
            instance,
            now: Box::new(move || clock.now()),
            refresh: Box::new(refresh),
            log: Box::new(move |text| warn!(target: "bellcroft::telemetry", instance = %name, "{text}")),
            seed: config.seed,
        };
        *self.remote.borrow_mut() = Some(Remote::start(remote, environment));
    }

    /// Sets membership's gauges.
    pub(crate) fn refresh_gauges(&self) {
        if let Some((registry, peers)) = self.registry.as_ref().zip(self.driver.peers()) {
            telemetry::sample_peers(&registry.registry, &peers, self.driver.stalls());
        }
    }

    /// Reads the files again and applies all changes or none. Without an operator's file this is the platform's
    /// reload, which changes discovery alone.
    ///
    /// # Errors
    ///
    /// The files are faulty, or they change what only a restart can; the present configuration stays in force.
    pub fn reload(&self) -> Result<(), ReloadError> {
        // In the platform's reload, `PROXY_DISCOVERY` is the address of the start and must not hide the file's.
        let platform = self.start.sources.operator.is_none() && self.start.sources.config.is_none();
        let var = |name: &str| variable(name).filter(|_| !platform || name != "PROXY_DISCOVERY");
        let mut newer = Config::load(&self.start.sources, var)?;
        let missing = reconfigure::missing_keys(&self.config().raw, &newer.raw);
        if !missing.is_empty() {
            return Err(ReloadError::MissingKeys(missing));
        }
        newer.daemon.state = self.start.state.clone().or(newer.daemon.state);
        let needs_restart = self.config().needs_restart(&newer);
        if !needs_restart.is_empty() {
            return Err(ReloadError::NeedsRestart(needs_restart));
        }
        let discovery = newer.discovery;
        self.driver.reconfigure(&newer)?;
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
        let discovery_moved = self.config.replace(newer).discovery != discovery;
        if discovery_moved || platform {
            self.driver.set_discovery_address(discovery);
        }
        Ok(())
    }

    /// Announces to the other instances that this one leaves.
    pub(crate) fn leave(&self) {
        if let Some(peers) = self.driver.peers() {
            peers.leave();
        }
    }

    /// Sends the last samples and ends telemetry's sender.
    pub(crate) async fn stop_telemetry(&self) {
        let remote = self.remote.borrow_mut().take();
        let Some(remote) = remote else { return };
        let counts = remote.stop().await;
        if counts.dropped_at_shutdown > 0 {
            let samples = counts.dropped_at_shutdown;
            let instance = &self.config().name;
            warn!(target: "bellcroft::telemetry", %instance, samples, "remote write: samples dropped at shutdown");
        }
    }

    /// Leaves the cluster, sends the last samples and ends the driver. Sockets close with the [`LocalSet`](tokio::task::LocalSet).
    pub async fn stop(&self) {
        self.leave();
        // The datagrams are in the kernel; the other tasks run once more.
        tokio::time::sleep(Duration::ZERO).await;
        self.stop_telemetry().await;
        if let Some(driver_task) = self.take_driver_task() {
            driver_task.abort();
        }
    }
}
