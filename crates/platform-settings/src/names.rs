//! Names and connection timeouts, which an agent needs in addition to the settings of the balancer.

use crate::params::Params;
use bellcroft_balancer::*;

/// Default of `limits.connectTimeoutMs`.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;
/// Default of `limits.keepaliveMs`.
const DEFAULT_KEEPALIVE_MS: f64 = 15_000.0;

/// The names and connection timeouts of the settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Names {
    /// Names of the request classes, by [`ClassId`].
    pub classes: Vec<String>,
    /// Names of the tenants, by [`TenantId`].
    pub tenants: Vec<String>,
    /// Names of the zones, by [`ZoneId`].
    pub zones: Vec<String>,
    /// Names of the machine types, by [`MachineTypeId`].
    pub machine_types: Vec<String>,
    /// Names of the fields of a load report, in the order of [`Settings::report_fields`].
    pub report_fields: Vec<String>,
    /// Timeout for establishing a connection.
    pub connect_timeout: Micros,
    /// Time after which servers close idle connections.
    pub keepalive: Micros,
}

/// Extracts the names and the connection timeouts.
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
