//! Endpoints and updates of the endpoint list.

use super::{DedupGroupId, MachineTypeId, ServerId, Time, ZoneId};

/// The lifecycle state of a server in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Status {
    /// The server accepts requests.
    Serving,
    /// The server completes its requests in flight and must not receive new ones.
    Draining,
    /// The server has been removed from the list.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// The server that the entry describes.
    pub server: ServerId,
    /// The server's zone.
    pub zone: ZoneId,
    /// The server's machine type.
    pub machine_type: MachineTypeId,
    /// The server's dedup group.
    pub dedup_group: DedupGroupId,
    /// The server's lifecycle state.
    pub status: Status,
    /// The server's relative weight; see [`Settings::weights`](crate::Settings::weights).
    pub weight: f64,
    /// The time of the server's last start, if that was recent.
    pub started_at: Option<Time>,
}

impl Endpoint {
    /// A serving endpoint past slow start, in zone 0, of machine type 0 and in dedup group 0.
    pub fn serving(server: ServerId) -> Self {
        Endpoint {
            server,
            zone: ZoneId(0),
            machine_type: MachineTypeId(0),
            dedup_group: DedupGroupId(0),
            status: Status::Serving,
            weight: 1.0,
            started_at: None,
        }
    }
}

/// An update of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointUpdate {
    /// A delta: only the changed entries.
    Delta(Vec<Endpoint>),
    /// A snapshot: the full list. A server that is missing from it has been removed.
    Snapshot(Vec<Endpoint>),
    /// A snapshot that was saved before a restart and may be outdated.
    SavedSnapshot(Vec<Endpoint>),
    /// The fetch or the watch failed; the last known list stays valid.
    Failed,
}
