//! Decodes endpoint lists from JSON. Each entry is decoded on its own, so that a malformed one is rejected alone.

use serde_json::Value;
use std::net::SocketAddr;

/// A response of discovery: a snapshot of the endpoint list or a delta.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointList {
    /// The version of the list, with the delta applied.
    pub version: u64,
    /// Whether this is the complete list rather than a delta.
    pub is_snapshot: bool,
    /// The valid entries.
    pub endpoints: Vec<EndpointRecord>,
    /// Descriptions of the malformed entries, each with the reason for its rejection.
    pub rejected_entries: Vec<String>,
}

/// The entry of one server.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointRecord {
    /// The server's name, the same for every agent.
    pub name: String,
    /// The address at which this agent connects to the server. Always set for [`Health::Up`].
    pub address: Option<SocketAddr>,
    /// The name of the server's zone.
    pub zone: String,
    /// The name of the server's machine type.
    pub machine_type: String,
    /// The number of the server's dedup group.
    pub dedup_group: u32,
    /// The server's listed health.
    pub health: Health,
    /// The server's weight.
    pub weight: f64,
    /// Time of the server's last start in Unix milliseconds; 0 if the start was long ago.
    pub started_unix_ms: f64,
}

/// Whether a server accepts requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// The server accepts requests.
    Up,
    /// The server finishes the requests that it has, and must get no new ones.
    Draining,
    /// The server no longer exists.
    Removed,
}

/// Why a JSON value is not an endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListError {
    /// The array `hosts` is missing.
    NoHosts,
    /// The number `seq` is missing.
    NoVersion,
}

impl std::fmt::Display for ListError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            ListError::NoHosts => "missing array \"hosts\"",
            ListError::NoVersion => "missing number \"seq\"",
        })
    }
}

/// The number of characters of a received text that an error message quotes.
const MAX_REPORTED_CHARS: usize = 64;

/// Decodes a list. Malformed entries are reported in [`EndpointList::rejected_entries`]: one of them must not
/// invalidate the others, and a list of nothing but malformed entries must not look like an empty one.
///
/// # Errors
///
/// The value has no array of entries or no version.
pub fn parse_list(value: &Value) -> Result<EndpointList, ListError> {
    let hosts = value.get("hosts").and_then(Value::as_array).ok_or(ListError::NoHosts)?;
    let seq = value.get("seq").and_then(Value::as_u64).ok_or(ListError::NoVersion)?;
    let (mut endpoints, mut rejected_entries) = (Vec::with_capacity(hosts.len()), Vec::new());
    for (index, host) in hosts.iter().enumerate() {
        match parse_host(host) {
            Ok(endpoint) => endpoints.push(endpoint),
            Err(reason) => {
                let name = host.get("host").and_then(Value::as_str).filter(|name| !name.is_empty());
                let name = name.map(|name| name.chars().take(MAX_REPORTED_CHARS).collect::<String>());
                let name = name.map_or_else(|| format!("entry {index}"), |name| format!("{name:?}"));
                rejected_entries.push(format!("{name}: {reason}"));
            }
        }
    }
    Ok(EndpointList {
        version: seq,
        is_snapshot: value.get("whole").and_then(Value::as_bool).unwrap_or(false),
        endpoints,
        rejected_entries,
    })
}

fn parse_host(value: &Value) -> Result<EndpointRecord, String> {
    let text = |key: &str| value.get(key).and_then(Value::as_str);
    let health = match text("health").ok_or("health is missing")? {
        "up" => Health::Up,
        "draining" => Health::Draining,
        "removed" => Health::Removed,
        other => {
            let other: String = other.chars().take(MAX_REPORTED_CHARS).collect();
            return Err(format!("health is {other:?}; up, draining or removed was expected"));
        }
    };
    let name = text("host").filter(|name| !name.is_empty()).ok_or("host name is missing")?.to_owned();
    let dial = text("dial").and_then(|d| d.parse().ok());
    if dial.is_none() && health == Health::Up {
        let dial: String = text("dial").unwrap_or_default().chars().take(MAX_REPORTED_CHARS).collect();
        return Err(format!("dial is {dial:?}; an address such as \"10.0.0.1:80\" was expected"));
    }
    Ok(EndpointRecord {
        name,
        address: dial,
        zone: text("site").unwrap_or_default().to_owned(),
        machine_type: text("class").unwrap_or_default().to_owned(),
        dedup_group: value
            .get("block")
            .and_then(Value::as_u64)
            .and_then(|b| u32::try_from(b).ok())
            .unwrap_or(0),
        health,
        weight: value.get("share").and_then(Value::as_f64).unwrap_or(1.0),
        started_unix_ms: value.get("born_ms").and_then(Value::as_f64).unwrap_or(0.0),
    })
}
