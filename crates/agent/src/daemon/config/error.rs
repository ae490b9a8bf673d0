//! What can be wrong with a configuration.

use crate::discovery::codec::ListError;
use bellcroft_balancer::SettingsError;
use bellcroft_operator_config::FileError;
use bellcroft_routes::Diagnostic;
use std::fmt;
use std::io;
use std::path::PathBuf;

/// Everything that is wrong with a configuration, in the order of the checks; never empty.
#[derive(Debug)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(f, "{separator}{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigErrors {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        self.0.first().map(|first| first as &(dyn std::error::Error + 'static))
    }
}

impl From<ConfigError> for ConfigErrors {
    fn from(error: ConfigError) -> Self {
        ConfigErrors(vec![error])
    }
}

impl From<Vec<FileError>> for ConfigErrors {
    fn from(faults: Vec<FileError>) -> Self {
        ConfigErrors(faults.into_iter().map(ConfigError::OperatorFile).collect())
    }
}

/// One thing that is wrong with a configuration. `location` is a file, with a line where there is one.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The operator's file is faulty.
    #[error(transparent)]
    OperatorFile(FileError),
    /// No source names the platform's file.
    #[error("PROXY_CONFIG is not set")]
    NoPlatformFile,
    /// The platform's file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The platform's file is no JSON of the expected form.
    #[error("{}:{}: no configuration: {source}", path.display(), source.line())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// No source gives an address.
    #[error("{variable} is not set")]
    NoAddress {
        /// The environment variable for it.
        variable: &'static str,
    },
    /// A text is no address.
    #[error("{variable} ({key}) is {text:?}; an address was expected")]
    NotAnAddress {
        /// The environment variable for it.
        variable: &'static str,
        /// Its key in the platform's file.
        key: &'static str,
        /// What stands there.
        text: String,
    },
    /// No balancer can work with the settings.
    #[error("{location}: settings: {source}")]
    Settings {
        /// Where the settings stand.
        location: String,
        /// What is wrong.
        source: SettingsError,
    },
    /// A value of the settings is out of its range.
    #[error("{location}: settings: {reason}")]
    Setting {
        /// Where the value stands.
        location: String,
        /// What is wrong.
        reason: String,
    },
    /// A class has an empty name.
    #[error("{location}: settings give class {index} no name")]
    UnnamedClass {
        /// Where the classes stand.
        location: String,
        /// Its index, from 0.
        index: usize,
    },
    /// Too few descriptors are allowed.
    #[error("{location}: limits.sockets is {sockets}; below {minimum} there is no room to serve")]
    TooFewSockets {
        /// Where the limit stands.
        location: String,
        /// The limit.
        sockets: usize,
        /// The lowest that works.
        minimum: usize,
    },
    /// The endpoint list in the platform's file is malformed.
    #[error("{location}: known is no server list: {reason}")]
    Endpoints {
        /// Where the list stands.
        location: String,
        /// What is wrong.
        reason: ListError,
    },
    /// The membership section does not work out with the platform's file.
    #[error("{file}: membership: {source}")]
    Membership {
        /// The operator's file.
        file: String,
        /// What is wrong.
        source: MembershipError,
    },
    /// A route breaks a rule under the platform's settings.
    #[error("{file}:{refusal}")]
    Route {
        /// The operator's file.
        file: String,
        /// The route's line and what is wrong with it.
        refusal: Diagnostic,
    },
}

/// What can be wrong with the configuration of membership.
#[derive(Debug, thiserror::Error)]
pub enum MembershipError {
    /// The platform's list has an entry that is no address.
    #[error("the platform's peers hold what is no address")]
    PeerAddress,
    /// No source gives the address to listen on.
    #[error("listen is missing, and the platform gives no peer_listen")]
    NoListen,
    /// No source gives the member number.
    #[error("number is missing, and neither listen nor the platform's slotNo tells it")]
    NoNumber,
    /// The number is beyond the list of members.
    #[error("number is {number}, and there are members 0 to {last}")]
    NumberOutOfRange {
        /// The member number.
        number: u32,
        /// The last one of the list.
        last: usize,
    },
    /// The platform counts more instances; each would use more than its part of shared limits.
    #[error("instances is {instances}, and the platform's settings count {expected}")]
    TooFewInstances {
        /// By the operator's file.
        instances: u32,
        /// By the platform's settings.
        expected: u32,
    },
    /// There are others and no address of any.
    #[error("of {instances} instances none is named: neither peers nor seeds, nor the platform's")]
    NoPeers {
        /// How many there are.
        instances: u32,
    },
}
