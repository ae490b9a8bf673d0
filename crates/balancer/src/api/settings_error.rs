//! The error of invalid settings.

use std::fmt;

/// The reason why settings are invalid.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub enum SettingsError {
    /// There is no request class; at least one is required.
    NoClasses,
    /// A number is negative, infinite or NaN.
    InvalidNumber {
        /// The name of the setting.
        setting: &'static str,
        /// The value of the setting.
        value: f64,
    },
    /// A tenant's fraction is outside 0 to 1.
    InvalidFraction {
        /// The tenant's fraction.
        value: f64,
    },
    /// A duration that must be positive is zero.
    ZeroDuration {
        /// The name of the setting.
        setting: &'static str,
    },
    /// The maximum number of attempts is zero.
    NoAttempts,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::NoClasses => write!(f, "settings name no request class; at least one is needed"),
            SettingsError::InvalidNumber { setting, value } => {
                write!(f, "setting {setting} is {value}; it must be a finite number of at least zero")
            }
            SettingsError::InvalidFraction { value } => {
                write!(f, "a tenant's share (fraction) is {value}; it must be between 0 and 1")
            }
            SettingsError::ZeroDuration { setting } => {
                write!(f, "setting {setting} is zero; it must be longer")
            }
            SettingsError::NoAttempts => {
                write!(f, "settings allow no attempts per request; at least one is required")
            }
        }
    }
}

impl std::error::Error for SettingsError {}
