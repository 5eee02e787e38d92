//! Errors of the platform's services.

use std::time::Duration;

/// An error with the step and the peer at which it arose.
#[derive(Clone, Debug, derive_more::Display, derive_more::Error)]
#[display("{step} at {peer}: {cause}")]
pub struct PlatformError {
    /// What was being done.
    pub step: &'static str,
    /// The address of the service.
    pub peer: String,
    /// What went wrong.
    pub cause: Cause,
}

/// What went wrong.
#[derive(Clone, Debug, derive_more::Display, PartialEq, Eq)]
pub enum Cause {
    /// The connection could not be made, so nothing was sent.
    #[display("not connected: {_0}")]
    Connect(String),
    /// The answer did not come in time. The request may have taken effect.
    #[display("no answer within {} ms", _0.as_millis())]
    Timeout(Duration),
    /// The connection broke. The request may have taken effect.
    #[display("connection lost: {_0}")]
    Lost(String),
    /// The service limits the rate.
    #[display("rate limited")]
    Throttled,
    /// The history that was asked for is no longer kept.
    #[display("history gone")]
    Gone,
    /// The service answered with an error.
    #[display("status {_0}: {_1}")]
    Status(u16, String),
    /// The answer could not be understood.
    #[display("answer not understood: {_0}")]
    Decode(String),
}

impl PlatformError {
    /// An error at a step.
    pub fn new(step: &'static str, peer: impl Into<String>, cause: Cause) -> PlatformError {
        PlatformError { step, peer: peer.into(), cause }
    }

    /// Whether the request surely had no effect.
    pub fn had_no_effect(&self) -> bool {
        matches!(self.cause, Cause::Connect(_) | Cause::Throttled)
    }
}
