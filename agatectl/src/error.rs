//! Error type of the commands.

use agateroute_config::ConfigError;
use agateroute_storage::PlatformError;

/// Error of a command. Its text is printed to the standard error output.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum CtlError {
    /// A file could not be read or written.
    #[display("{step} {file}: {cause}")]
    #[from(ignore)]
    File {
        /// Operation that failed, `read` or `write`.
        step: &'static str,
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        #[error(source)]
        cause: std::io::Error,
    },
    /// A document or settings file is invalid.
    #[display("{_0}")]
    Config(ConfigError),
    /// A request to the platform failed.
    #[display("{_0}")]
    Platform(PlatformError),
    /// Any other error, as a message.
    #[display("{_0}")]
    #[from(ignore)]
    Other(#[error(not(source))] String),
}

impl CtlError {
    /// Returns an error with a message.
    pub fn other(message: impl Into<String>) -> CtlError {
        CtlError::Other(message.into())
    }
}
