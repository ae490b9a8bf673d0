//! The control plane of an agent: membership, the discovery client, the telemetry sender and their configuration.
//!
//! The daemon runs one control plane beside its request path. The scale run has many in one process, which are agents
//! without a request path. Both run the same code, so nothing here depends on the request path.

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

/// Maximum number of connections to servers for a control plane without a request path, which sends only health checks.
const HEALTH_CHECK_CONNECTIONS: usize = 8;

/// Options of an instance at its start.
#[derive(Debug, Clone, Default)]
pub(crate) struct StartOptions {
    /// Paths of the configuration files, where given.
    pub sources: ConfigSources,
    /// State directory; takes precedence over the one in the operator's file.
    pub state: Option<PathBuf>,
    /// Whether the process replaces another one that holds the state directory, and has the addresses of membership and of the
    /// console until it exits.
    pub is_successor: bool,
}

/// The value of an environment variable; none if it is unset or not UTF-8.
pub(crate) fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// An error that keeps a control plane from starting.
#[derive(Debug, thiserror::Error)]
pub enum ControlPlaneError {
    /// The configuration files are invalid.
    #[error(transparent)]
    Config(#[from] ConfigErrors),
    /// The balancer does not accept the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The socket of membership cannot be bound.
    #[error("cannot listen on {address} (membership): {source}")]
    MembershipListen {
        /// Address that membership is configured to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// The reason why a reload was rejected.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// The configuration files are invalid.
    #[error(transparent)]
    Config(#[from] ConfigErrors),
    /// The platform's file lacks keys that are present in the configuration in force.
    #[error("it lacks {}, which the present one has", .0.join(", "))]
    MissingKeys(Vec<String>),
    /// The files change settings that take effect only at a restart.
    #[error("{} differs, which only a restart can take", .0.join(", "))]
    NeedsRestart(Vec<&'static str>),
    /// The balancer does not accept the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// The control plane of one agent. It runs within a [`LocalSet`](tokio::task::LocalSet) from [`ControlPlane::open`] on
/// until [`ControlPlane::stop`].
pub struct ControlPlane {
    /// Configuration in force.
    config: RefCell<Config>,
    /// Options of the start, from which a reload reads the files again.
    start_options: StartOptions,
    driver: Rc<Driver>,
    /// Series of the agent; none without remote write.
    metrics: Option<Rc<Instance>>,
    /// The telemetry sender while it runs.
    remote: RefCell<Option<Remote>>,
    /// Task that runs the driver, until it is taken.
    driver_task: RefCell<Option<JoinHandle<()>>>,
}

impl ControlPlane {
    /// Reads an agent's files and starts its control plane, including the telemetry sender, without a request path.
    ///
    /// # Errors
    ///
    /// Fails if the files are invalid or the socket of membership cannot be bound.
    pub async fn open(operator: &Path, config: &Path) -> Result<Rc<Self>, ControlPlaneError> {
        let sources = ConfigSources { operator: Some(operator.to_owned()), config: Some(config.to_owned()) };
        let config = Config::load(&sources, variable)?;
        let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let start_options = StartOptions { sources, ..StartOptions::default() };
        let plane =
            Self::start(config, start_options, HEALTH_CHECK_CONNECTIONS, started.as_millis() as u64).await?;
        let weak_plane = Rc::downgrade(&plane);
        plane.send_telemetry(move || {
            if let Some(plane) = weak_plane.upgrade() {
                plane.refresh_gauges();
            }
        });
        Ok(plane)
    }

    /// Starts the driver, the discovery client and membership. The telemetry sender is started by
    /// [`ControlPlane::send_telemetry`].
    pub(crate) async fn start(
        config: Config,
        start_options: StartOptions,
        server_connections: usize,
        started_ms: u64,
    ) -> Result<Rc<Self>, ControlPlaneError> {
        let metrics = telemetry::start(&config, started_ms);
        let driver = Driver::start(config.clone(), server_connections, metrics.clone())?;
        let driver_task = tokio::task::spawn_local(driver.clone().run());
        let plane = Rc::new(ControlPlane {
            config: RefCell::new(config),
            start_options,
            driver,
            metrics,
            remote: RefCell::default(),
            driver_task: RefCell::new(Some(driver_task)),
        });
        if !plane.start_options.is_successor {
            plane.start_peering().await?;
        }
        Ok(plane)
    }

    /// Starts membership if it is configured. A successor, which has its predecessor's place in the cluster, calls this once the
    /// predecessor has exited.
    ///
    /// # Errors
    ///
    /// The socket of membership cannot be bound.
    pub(crate) async fn start_peering(&self) -> Result<(), ControlPlaneError> {
        let config = self.config().clone();
        let Some((listen, membership)) = config.peering else { return Ok(()) };
        let handler = Rc::downgrade(&self.driver) as Weak<dyn PeerEventHandler>;
        let peers_config =
            PeersConfig { instance: config.name.clone(), listen, membership, seed: config.seed };
        let peers = Peers::start(peers_config, self.driver.clock, handler).await;
        let peers =
            peers.map_err(|source| ControlPlaneError::MembershipListen { address: listen, source })?;
        let address = peers.address().unwrap_or(listen);
        info!(instance = %config.name, %address, "membership listening");
        self.driver.set_peers(peers);
        Ok(())
    }

    /// The driver, which is shared with the request path.
    pub(crate) fn driver(&self) -> &Rc<Driver> {
        &self.driver
    }

    /// The configuration in force.
    pub(crate) fn config(&self) -> Ref<'_, Config> {
        self.config.borrow()
    }

    /// Takes the task that runs the driver's timers, without which no request would time out. None after the first
    /// call; a task that was not taken is aborted by [`ControlPlane::stop`].
    pub(crate) fn take_driver_task(&self) -> Option<JoinHandle<()>> {
        self.driver_task.borrow_mut().take()
    }

    /// Starts the telemetry sender if the operator's file configures remote write. `refresh` is called
    /// before each sample to set the gauges.
    pub(crate) fn send_telemetry(&self, refresh: impl Fn() + 'static) {
        let config = self.config();
        let Some((remote, instance)) = telemetry::remote_write(&config).zip(self.metrics.clone()) else {
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

    /// Updates the metrics of membership.
    pub(crate) fn refresh_gauges(&self) {
        if let Some((metrics, peers)) = self.metrics.as_ref().zip(self.driver.peers()) {
            telemetry::sample_peers(&metrics.registry, &peers, self.driver.stalls());
        }
    }

    /// Reads the files again and applies all changes or none. If the start options name no files, this is the
    /// platform's reload: discovery's address is the file's, not that of `PROXY_DISCOVERY`, and its watch restarts
    /// even at an unchanged address.
    ///
    /// # Errors
    ///
    /// Fails if the files are invalid or change settings that take effect only at a restart. The current configuration
    /// then stays in force.
    pub fn reload(&self) -> Result<(), ReloadError> {
        // `PROXY_DISCOVERY` still holds the address from the start, so in the platform's reload it must not override the
        // address in the file.
        let is_platform_reload =
            self.start_options.sources.operator.is_none() && self.start_options.sources.config.is_none();
        let var = |name: &str| variable(name).filter(|_| !is_platform_reload || name != "PROXY_DISCOVERY");
        let mut new_config = Config::load(&self.start_options.sources, var)?;
        let missing = reconfigure::missing_keys(&self.config().raw, &new_config.raw);
        if !missing.is_empty() {
            return Err(ReloadError::MissingKeys(missing));
        }
        new_config.daemon.state = self.start_options.state.clone().or(new_config.daemon.state);
        let needs_restart = self.config().needs_restart(&new_config);
        if !needs_restart.is_empty() {
            return Err(ReloadError::NeedsRestart(needs_restart));
        }
        let discovery = new_config.discovery;
        self.driver.reconfigure(&new_config)?;
        self.driver.set_routes(&new_config);
        if let Some(metrics) = &self.metrics {
            telemetry::publish_budgets(metrics, &new_config);
        }
        if let Some((remote, config)) =
            self.remote.borrow().as_ref().zip(telemetry::remote_write(&new_config))
        {
            remote.change(config);
        }
        if let Some((peers, (_, config))) = self.driver.peers().zip(new_config.peering.as_ref()) {
            peers.set_expected_size(config.instances);
        }
        let discovery_changed = self.config.replace(new_config).discovery != discovery;
        if discovery_changed || is_platform_reload {
            self.driver.set_discovery_address(discovery);
        }
        Ok(())
    }

    /// Announces to the other members that this instance leaves the cluster.
    pub(crate) fn leave(&self) {
        if let Some(peers) = self.driver.peers() {
            peers.leave();
        }
    }

    /// Sends the last samples and stops the telemetry sender.
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

    /// Leaves the cluster, sends the last samples and stops the driver. The sockets are closed when the
    /// [`LocalSet`](tokio::task::LocalSet) is dropped.
    pub async fn stop(&self) {
        self.leave();
        // The datagrams of the announcement have been passed to the kernel; the other tasks get to run once more.
        tokio::time::sleep(Duration::ZERO).await;
        self.stop_telemetry().await;
        if let Some(driver_task) = self.take_driver_task() {
            driver_task.abort();
        }
    }
}
