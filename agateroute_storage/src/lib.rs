//! Clients of the platform's services.
//!
//! Each service is met through an adapter: a plain struct of functions that encode requests and
//! decode answers. Another wire format is another value of that struct; nothing else changes.

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
