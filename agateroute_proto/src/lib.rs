//! The messages between agateroute instances.
//!
//! `peers.rs` is generated from `proto/peers.proto` and committed. `tests/generated.rs` checks that
//! it is up to date, and regenerates it with `AGATEROUTE_REGENERATE=1`.

/// The generated messages and service of `peers.proto`.
#[allow(missing_docs, unused_qualifications, clippy::all)]
#[rustfmt::skip]
pub mod peers;
