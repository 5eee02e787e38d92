//! Clients of the platform's services.
//!
//! Each client uses an adapter: a plain struct of functions that encode requests and decode
//! responses. Another wire format needs another value of that struct and no other change.

pub mod calls;
pub mod config;
pub mod error;
pub mod http;
pub mod instances;
pub mod manifest;
pub mod objects;
pub mod table;
pub mod weights;

pub use error::PlatformError;
pub use http::Client;
