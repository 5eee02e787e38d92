//! The declared document, the instance settings, and their validation.
//!
//! The document declares what the deployment serves and the share of each organisation; see
//! `docs/CONFIGURATION.md`. This crate does no I/O.

#[macro_use]
mod section;

pub mod check;
pub mod differences;
pub mod digest;
pub mod document;
pub mod findings;
pub mod limits;
pub mod model;
pub mod organisation;
pub mod rank;
pub mod reference;
pub mod route;
pub mod routing;
pub mod schema;
pub mod server;
pub mod service;
pub mod settings;
pub mod tree;

pub use check::{ConfigError, Problem, parse_document, parse_settings};
pub use document::Document;
pub use settings::Settings;
