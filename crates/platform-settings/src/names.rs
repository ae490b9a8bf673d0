//! Names and connection limits, which the balancer does not need.

use crate::params::Params;
use bellcroft_balancer::*;

/// The connect timeout where the settings give none, in milliseconds.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;
/// The keepalive where the settings give none, in milliseconds.
const DEFAULT_KEEPALIVE_MS: f64 = 15_000.0;

/// The settings that an agent needs in addition to the balancer's.
#[derive(Debug, Clone, PartialEq)]
pub struct Names {
    /// The request classes, by [`ClassId`].
    pub classes: Vec<String>,
    /// The tenants, by [`TenantId`].
    pub tenants: Vec<String>,
    /// The zones, by [`ZoneId`].
    pub zones: Vec<String>,
    /// The machine types, by [`MachineTypeId`].
    pub machine_types: Vec<String>,
    /// The fields of a load report, in the order of [`Settings::report_fields`].
    pub report_fields: Vec<String>,
    /// The timeout for establishing a connection.
    pub connect_timeout: Micros,
    /// Servers close connections that have been idle for this long.
    pub keepalive: Micros,
}

/// Extracts the names and the limits of connections.
pub fn names(params: &Params) -> Names {
    let duration = |ms: Option<f64>, default_ms: f64| Micros::from_ms(ms.unwrap_or(default_ms));
    Names {
        classes: params.classes.iter().map(|class| class.name.clone()).collect(),
        tenants: params.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
        zones: params.zones.clone(),
        machine_types: params.machine_types.clone(),
        report_fields: params.load_reports.fields.clone(),
        connect_timeout: duration(params.limits.connect_timeout_ms, DEFAULT_CONNECT_TIMEOUT_MS),
        keepalive: duration(params.limits.keepalive_ms, DEFAULT_KEEPALIVE_MS),
    }
}
