//! The platform's file: JSON, read once.

use super::error::ConfigError;
use bellcroft_platform_settings::Params;
use serde::Deserialize;
use std::path::{Path, PathBuf};

/// The platform's file and its bytes.
pub(super) struct PlatformFile {
    pub(super) path: PathBuf,
    pub(super) bytes: Vec<u8>,
    pub(super) contents: Contents,
}

/// The keys that an agent uses; others are skipped.
#[derive(Deserialize)]
pub(super) struct Contents {
    #[serde(default)]
    pub(super) name: Option<String>,
    #[serde(default)]
    pub(super) listen: Option<String>,
    #[serde(default)]
    pub(super) discovery: Option<String>,
    #[serde(default)]
    pub(super) console: Option<String>,
    #[serde(default)]
    pub(super) seed: Option<String>,
    #[serde(default)]
    pub(super) peer_listen: Option<String>,
    #[serde(default)]
    pub(super) peers: Vec<String>,
    #[serde(default)]
    pub(super) limits: Limits,
    /// The endpoint list as the agent last had it.
    #[serde(default)]
    pub(super) known: serde_json::Value,
    pub(super) settings: Params,
}

/// The resources that the process may use.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(super) struct Limits {
    pub(super) sockets: Option<usize>,
    pub(super) memory_mb: Option<f64>,
}

impl PlatformFile {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// It cannot be read, or is no JSON of this form.
    pub(super) fn read(path: &Path) -> Result<Self, ConfigError> {
        let bytes = std::fs::read(path)
            .map_err(|source| ConfigError::Unreadable { path: path.to_owned(), source })?;
        let contents = serde_json::from_slice(&bytes)
            .map_err(|source| ConfigError::Malformed { path: path.to_owned(), source })?;
        Ok(PlatformFile { path: path.to_owned(), bytes, contents })
    }

    /// The file with the line in which a key's name first stands; the file alone if the name does not occur.
    pub(super) fn location(&self, key: &str) -> String {
        let text = String::from_utf8_lossy(&self.bytes);
        match text.find(&format!("\"{key}\"")) {
            Some(offset) => {
                format!("{}:{}", self.path.display(), 1 + text[..offset].matches('\n').count())
            }
            None => self.path.display().to_string(),
        }
    }

    /// Whether a key's name occurs in the file.
    pub(super) fn mentions(&self, key: &str) -> bool {
        String::from_utf8_lossy(&self.bytes).contains(&format!("\"{key}\""))
    }

    /// The file's JSON without the endpoint list.
    pub(super) fn without_endpoints(&self) -> serde_json::Value {
        let mut value = serde_json::from_slice::<serde_json::Value>(&self.bytes).unwrap_or_default();
        if let Some(object) = value.as_object_mut() {
            object.remove("known");
        }
        value
    }
}
