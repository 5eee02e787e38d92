//! The declared document, the instance settings, and their checks.
//!
//! The document says what the deployment serves and what each organisation is owed; see
//! `docs/CONFIGURATION.md`. Nothing here does I/O.

#[macro_use]
mod section;

pub mod check;
pub mod digest;
pub mod document;
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
