//! Identifiers as newtypes over integers.

macro_rules! id {
    ($(#[$doc:meta] $name:ident($inner:ty)),* $(,)?) => {$(
        #[$doc]
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub $inner);
    )*};
}

id! {
    /// A request. Numbered by the caller and never reused within the lifetime of a balancer.
    RequestId(u64),
    /// A server. Numbered by the caller; stable across restarts of the server and equal at every balancer.
    ServerId(u32),
    /// A request class, given by its index in [`Settings::classes`](crate::Settings::classes).
    ClassId(usize),
    /// A tenant, given by its index in [`Settings::tenants`](crate::Settings::tenants).
    TenantId(usize),
    /// An availability zone, as numbered in the endpoint list.
    ZoneId(u32),
    /// A machine type, as numbered in the endpoint list.
    MachineTypeId(u32),
    /// A group of servers that share their deduplication state, as numbered in the endpoint list.
    DedupGroupId(u32),
    /// An affinity key: requests that concern the same entity carry the same key.
    KeyId(u64),
    /// An attempt of a request, counted from 0.
    AttemptNo(u32),
    /// A timer, numbered by the balancer.
    TimerId(u64),
    /// Another balancer of the same service.
    PeerId(u32),
}
