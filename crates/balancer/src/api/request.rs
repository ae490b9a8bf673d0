//! A client's request, as the balancer sees it.

use super::{ClassId, KeyId, Limits, Micros, RequestId, TenantId};
use std::sync::Arc;

/// A request that a client has submitted.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// The entity that it concerns.
    pub key: Option<KeyId>,
    /// Estimated work, in core time.
    pub cost_hint: Option<Micros>,
    /// The client marks it as a retry of its own.
    pub is_retry: bool,
    /// The remaining time until the client's deadline; while the body is streaming, the upper bound for its arrival.
    pub time_left: Micros,
    /// Its body is forwarded while it arrives: the deadline runs from
    /// [`Event::BodyComplete`](crate::Event::BodyComplete) on.
    pub streaming: bool,
    /// The limits of its route; `None` stands for [`Limits::STANDARD`].
    pub limits: Option<Arc<Limits>>,
    /// A hedged request is sent when an attempt has no response after this time; `None` disables hedging.
    pub hedge_after: Option<Micros>,
}

impl Request {
    /// A client's first attempt, without tenant, key or cost hint.
    pub fn new(id: RequestId, class: ClassId, time_left: Micros) -> Self {
        Request {
            id,
            class,
            tenant: None,
            key: None,
            cost_hint: None,
            is_retry: false,
            time_left,
            streaming: false,
            limits: None,
            hedge_after: None,
        }
    }

    /// The limits of its route, or [`Limits::STANDARD`].
    pub fn limits(&self) -> &Limits {
        static STANDARD: Limits = Limits::STANDARD;
        self.limits.as_deref().unwrap_or(&STANDARD)
    }
}
