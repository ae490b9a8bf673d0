//! Checks of the platform's settings and of the routes under them.

use super::error::ConfigError;
use super::platform_file::PlatformFile;
use bellcroft_balancer::Settings;
use bellcroft_platform_settings::Names;
use bellcroft_routes::{Platform, RoutesConfig};

/// With fewer descriptors the reserved ones leave too few for clients and servers.
const MIN_SOCKETS: usize = 80;

/// What routes are checked against.
pub(super) fn platform<'a>(settings: &'a Settings, names: &'a Names) -> Platform<'a> {
    Platform {
        settings,
        classes: &names.classes,
        tenants: &names.tenants,
        connect_timeout: names.connect_timeout,
    }
}

/// Checks the settings, the classes' names and the limits.
pub(super) fn check_platform_file(
    file: &PlatformFile,
    settings: &Settings,
    names: &Names,
    errors: &mut Vec<ConfigError>,
) {
    if let Err(source) = settings.validate() {
        errors.push(ConfigError::Settings { location: file.location("settings"), source });
    }
    for (key, reason) in bellcroft_platform_settings::validation_errors(&file.contents.settings) {
        // A missing key has no line of its own.
        let name = key.rsplit('.').next().unwrap_or(key);
        let location = file.location(if file.mentions(name) { name } else { "settings" });
        errors.push(ConfigError::Setting { location, reason });
    }
    if let Some(index) = names.classes.iter().position(String::is_empty) {
        errors.push(ConfigError::UnnamedClass { location: file.location("classes"), index });
    }
    if let Some(sockets) = file.contents.limits.sockets.filter(|sockets| *sockets < MIN_SOCKETS) {
        let location = file.location("sockets");
        errors.push(ConfigError::TooFewSockets { location, sockets, minimum: MIN_SOCKETS });
    }
}

/// Checks the routes against the platform's settings.
pub(super) fn check_routes(
    operator_path: &str,
    routes: &RoutesConfig,
    platform: &Platform,
    errors: &mut Vec<ConfigError>,
) {
    let refusals = bellcroft_routes::check(routes, platform);
    errors.extend(
        refusals.into_iter().map(|refusal| ConfigError::Route { file: operator_path.to_owned(), refusal }),
    );
}
