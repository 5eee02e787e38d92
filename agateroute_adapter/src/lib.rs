//! The interface that a platform implements so that agateroute can serve routes on it.
//!
//! Each adapter is a plain struct of functions that encode and decode, without decisions. A value
//! of [`Deployment`] holds one of each. See `docs/PLATFORM.md`.

pub mod caller;
pub mod deployment;
pub mod feed;
pub mod hop_by_hop;
pub mod server;

pub use caller::CallerAdapter;
pub use deployment::{Bounds, Deployment, Listeners};
pub use feed::{Changes, FeedAdapter, RowChange};
pub use server::ServerAdapter;
