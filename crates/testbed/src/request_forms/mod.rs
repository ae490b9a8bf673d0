//! Requests in many forms, sound and unsound, for each effect of a class: a table of forms with the sentence that decides each,
//! and a generator that changes sound requests, for which a reference grammar says whether they still are.
//!
//! Nothing here shares code with the agent, so that a leniency of the agent is not one of its test.

mod generator;
mod reference;
mod table;

pub use generator::{generate, GeneratedRequest};
pub use reference::{judge, Verdict};
pub use table::{forms, forms_with_body, unsound_forms, Form, Template};

/// The effect of a class, as the platform's settings give it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat.
    Safe,
    /// Safe to repeat under its idempotency key.
    Keyed,
    /// Not safe to repeat.
    Unsafe,
}

impl Effect {
    /// Each effect.
    pub const ALL: [Effect; 3] = [Effect::Safe, Effect::Keyed, Effect::Unsafe];

    /// The class of this effect in the settings of the tests.
    pub fn class(self) -> &'static str {
        match self {
            Effect::Safe => "read",
            Effect::Keyed => "save",
            Effect::Unsafe => "pay",
        }
    }

    /// The method of its requests.
    pub fn method(self) -> &'static str {
        match self {
            Effect::Safe => "GET",
            Effect::Keyed | Effect::Unsafe => "POST",
        }
    }
}
