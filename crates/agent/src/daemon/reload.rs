//! Reload of the configuration files: everything new takes effect, or nothing.

use super::instance::Instance;
use super::status::Phase;
use crate::control_plane::ReloadError;
use bellcroft_telemetry::families;
use tracing::{info, warn};

/// Reloads of an instance, counted since its start.
#[derive(Debug)]
pub(super) struct ReloadHistory {
    /// 1 at the start, one more with each accepted reload.
    generation: u64,
    rejected: u64,
    /// Why the last reload was rejected; none if it was accepted.
    last_rejection: Option<String>,
}

impl ReloadHistory {
    pub(super) fn new() -> Self {
        ReloadHistory { generation: 1, rejected: 0, last_rejection: None }
    }

    pub(super) fn generation(&self) -> u64 {
        self.generation
    }

    pub(super) fn accepted(&self) -> u64 {
        self.generation - 1
    }

    pub(super) fn rejected(&self) -> u64 {
        self.rejected
    }

    pub(super) fn last_rejection(&self) -> Option<&str> {
        self.last_rejection.as_deref()
    }

    fn record(&mut self, result: &Result<(), ReloadError>) {
        match result {
            Ok(()) => {
                self.generation += 1;
                self.last_rejection = None;
            }
            Err(error) => {
                self.rejected += 1;
                self.last_rejection = Some(error.to_string());
            }
        }
    }
}

impl Instance {
    /// Reads the files again and applies all changes or none. Without an operator's file this is the platform's
    /// reload, which changes discovery alone.
    ///
    /// # Errors
    ///
    /// The files are faulty, or they change what only a restart can.
    pub(super) fn reload(&self) -> Result<(), ReloadError> {
        self.notify.reloading();
        let result = self.apply_files();
        self.reloads.borrow_mut().record(&result);
        let instance = self.name();
        match &result {
            Ok(()) => {
                let discovery = self.control.config().discovery;
                info!(%instance, %discovery, "configuration reloaded");
            }
            Err(error) => {
                warn!(%instance, %error, "configuration reload rejected, keeping the current one");
                if let Some(telemetry) = &self.driver.telemetry {
                    telemetry.registry.counter(&families::RELOADS_REFUSED, &[]).inc();
                }
            }
        }
        if self.phase() == Phase::Ready {
            self.notify.ready("reloaded");
        }
        self.write_status();
        result
    }

    fn apply_files(&self) -> Result<(), ReloadError> {
        self.control.reload()?;
        self.server.request_counters.add_classes(&self.control.config().names.classes);
        Ok(())
    }
}
