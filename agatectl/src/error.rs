//! Errors of the tool.

use agateroute_config::ConfigError;
use agateroute_storage::PlatformError;

/// Why a command failed.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum CtlError {
    /// A file could not be read or written.
    #[display("{step} {file}: {cause}")]
    #[from(ignore)]
    File {
        /// What was being done.
        step: &'static str,
        /// The file.
        file: String,
        /// What went wrong.
        #[error(source)]
        cause: std::io::Error,
    },
    /// A document or settings file has problems.
    #[display("{_0}")]
    Config(ConfigError),
    /// The platform failed.
    #[display("{_0}")]
    Platform(PlatformError),
    /// Something else, in words.
    #[display("{_0}")]
    #[from(ignore)]
    Other(#[error(not(source))] String),
}

impl CtlError {
    /// An error in words.
    pub fn other(message: impl Into<String>) -> CtlError {
        CtlError::Other(message.into())
    }
}
