//! The wire form of endpoint lists: reading them, entry by entry.

use serde_json::Value;
use std::net::SocketAddr;

/// A server list or a change of one, as discovery words it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointList {
    /// Its version.
    pub version: u64,
    /// It is the whole list, not only what has changed.
    pub is_snapshot: bool,
    /// Its entries.
    pub endpoints: Vec<EndpointRecord>,
    /// Entries that make no sense: which, and why.
    pub rejected_entries: Vec<String>,
}

/// One server.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointRecord {
    /// Its name, the same at every agent.
    pub name: String,
    /// Where this agent reaches it; an entry of a removed server may lack it.
    pub address: Option<SocketAddr>,
    /// Its zone.
    pub zone: String,
    /// Its kind of machine.
    pub machine_type: String,
    /// Its cell.
    pub dedup_group: u32,
    /// What it says of its health.
    pub health: Health,
    /// Its weight.
    pub weight: f64,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    pub started_unix_ms: f64,
}

/// Whether a server takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It does.
    Up,
    /// It finishes what it has.
    Draining,
    /// It has left.
    Removed,
}

/// Why something is no endpoint list at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListError {
    /// It has no array `hosts`.
    NoHosts,
    /// It has no number `seq`.
    NoVersion,
}

impl std::fmt::Display for ListError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            ListError::NoHosts => "it has no array \"hosts\"",
            ListError::NoVersion => "it has no number \"seq\"",
        })
    }
}

/// The longest name that is told.
const MAX_REPORTED_CHARS: usize = 64;

/// Parses a list. A malformed entry is left out and its reason kept: one bad entry must not cost the others, and a list of bad
/// entries must not look like an empty one.
///
/// # Errors
///
/// The value is not a list, or has no version.
pub fn parse_list(value: &Value) -> Result<EndpointList, ListError> {
    let hosts = value.get("hosts").and_then(Value::as_array).ok_or(ListError::NoHosts)?;
    let seq = value.get("seq").and_then(Value::as_u64).ok_or(ListError::NoVersion)?;
    let (mut good, mut rejected_entries) = (Vec::with_capacity(hosts.len()), Vec::new());
    for (place, host) in hosts.iter().enumerate() {
        match parse_host(host) {
            Ok(host) => good.push(host),
            Err(why) => {
                let name = host.get("host").and_then(Value::as_str).filter(|name| !name.is_empty());
                let name = name.map(|name| name.chars().take(MAX_REPORTED_CHARS).collect::<String>());
                let name = name.map_or_else(|| format!("entry {place}"), |name| format!("{name:?}"));
                rejected_entries.push(format!("{name}: {why}"));
            }
        }
    }
    Ok(EndpointList {
        version: seq,
        is_snapshot: value.get("whole").and_then(Value::as_bool).unwrap_or(false),
        endpoints: good,
        rejected_entries,
    })
}

fn parse_host(value: &Value) -> Result<EndpointRecord, String> {
    let text = |key: &str| value.get(key).and_then(Value::as_str);
    let health = match text("health").ok_or("has no health")? {
        "up" => Health::Up,
        "draining" => Health::Draining,
        "removed" => Health::Removed,
        other => {
            let other: String = other.chars().take(MAX_REPORTED_CHARS).collect();
            return Err(format!("its health is {other:?}; up, draining or removed was expected"));
        }
    };
    let name = text("host").filter(|name| !name.is_empty()).ok_or("has no name")?.to_owned();
    let dial = text("dial").and_then(|d| d.parse().ok());
    if dial.is_none() && health == Health::Up {
        let dial: String = text("dial").unwrap_or_default().chars().take(MAX_REPORTED_CHARS).collect();
        return Err(format!("its dial is {dial:?}; an address such as \"10.0.0.1:80\" was expected"));
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
