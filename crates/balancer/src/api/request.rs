//! The properties of a client's request that the balancer uses.

use super::{ClassId, KeyId, Limits, Micros, RequestId, TenantId};
use std::sync::Arc;

/// A request that a client has submitted.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// The request's id.
    pub id: RequestId,
    /// The request's class.
    pub class: ClassId,
    /// The request's tenant, if it has one.
    pub tenant: Option<TenantId>,
    /// The request's affinity key, if it has one.
    pub key: Option<KeyId>,
    /// The client's estimate of the request's work, in core time.
    pub cost_hint: Option<Micros>,
    /// True if the client has marked the request as a retry.
    pub is_retry: bool,
    /// The remaining time until the client's deadline; for a streaming request, the maximum time until its body is complete.
    pub time_left: Micros,
    /// True if the request's body is forwarded while it arrives; the deadline then starts with
    /// [`Event::BodyComplete`](crate::Event::BodyComplete).
    pub streaming: bool,
    /// The limits of the request's route; `None` stands for [`Limits::STANDARD`].
    pub limits: Option<Arc<Limits>>,
    /// The time without a response after which a hedged request is sent; `None` disables hedging.
    pub hedge_after: Option<Micros>,
}

impl Request {
    /// A request that is not a retry, without tenant, key and cost hint.
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

    /// The limits of the request's route, or [`Limits::STANDARD`].
    pub fn limits(&self) -> &Limits {
        static STANDARD: Limits = Limits::STANDARD;
        self.limits.as_deref().unwrap_or(&STANDARD)
    }
}
