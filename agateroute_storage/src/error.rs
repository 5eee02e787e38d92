//! Errors of calls to the platform's services.

use std::time::Duration;

/// An error of a call to a platform service.
#[derive(Clone, Debug, derive_more::Display, derive_more::Error)]
#[display("{step} at {peer}: {cause}")]
pub struct PlatformError {
    /// The operation, such as "table read".
    pub step: &'static str,
    /// The address of the service that was called.
    pub peer: String,
    /// The cause of the error.
    pub cause: Cause,
}

/// The cause of a failed call.
#[derive(Clone, Debug, derive_more::Display, PartialEq, Eq)]
pub enum Cause {
    /// The connection could not be made, so nothing was sent.
    #[display("not connected: {_0}")]
    Connect(String),
    /// The response did not arrive in time. The request may have taken effect.
    #[display("no answer within {} ms", _0.as_millis())]
    Timeout(Duration),
    /// The connection broke. The request may have taken effect.
    #[display("connection lost: {_0}")]
    Lost(String),
    /// The service limits the rate or is overloaded.
    #[display("rate limited")]
    Throttled,
    /// The requested changes are no longer stored, so the whole table must be read again.
    #[display("history gone")]
    Gone,
    /// The service came back from a copy between the request and the response, or the response belongs to the
    /// time before that. What it says may not hold any more.
    #[display("the service was restored meanwhile")]
    Superseded,
    /// The service responded with an error status; the text is the start of the body.
    #[display("status {_0}: {_1}")]
    Status(u16, String),
    /// The response could not be decoded.
    #[display("answer not understood: {_0}")]
    Decode(String),
}

impl PlatformError {
    /// Builds an error of the operation `step` at the address `peer`.
    pub fn new(step: &'static str, peer: impl Into<String>, cause: Cause) -> PlatformError {
        PlatformError { step, peer: peer.into(), cause }
    }

    /// Whether the request certainly had no effect.
    pub fn had_no_effect(&self) -> bool {
        matches!(self.cause, Cause::Connect(_) | Cause::Throttled)
    }
}
