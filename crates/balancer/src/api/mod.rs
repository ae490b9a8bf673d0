//! The interface of [`crate::Balancer`]: its settings, the events that it handles and the actions that it returns.

mod action;
mod endpoint;
mod event;
mod ids;
mod limits;
mod outcome;
mod request;
mod settings;
mod settings_error;
mod time;

pub use action::Action;
pub use endpoint::{Endpoint, EndpointUpdate, Status};
pub use event::{Event, FleetState, ResponseSample, UNCONFIRMED_HINT};
pub use ids::{
    AttemptNo, ClassId, DedupGroupId, KeyId, MachineTypeId, PeerId, RequestId, ServerId, TenantId, TimerId,
    ZoneId,
};
pub use limits::{ConcurrencyLimit, Limits, RetryBudget, RetryOn};
pub use outcome::{Outcome, Report};
pub use request::Request;
pub use settings::{
    Class, Costs, DedupScope, Discovery, LoadReportField, LoadReportSource, Objective, RetrySafety, Settings,
    Tenant, Weights, MAX_WATCH_RETRY_DELAY, MIN_WATCH_RETRY_DELAY,
};
pub use settings_error::SettingsError;
pub use time::{Micros, Time};
