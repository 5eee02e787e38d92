//! Identifiers of declared names.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The 64-bit hash of a declared name. Names travel between instances in this form, so that
/// instances on different versions of the document agree on what is meant.
pub type Id = u64;

/// Milliseconds of the local monotonic clock.
pub type Millis = u64;

/// The identifier of a declared name.
pub fn id(name: &str) -> Id {
    xxh3_64(name.as_bytes())
}

/// Mixes two identifiers into one.
pub fn mix(a: Id, b: Id) -> Id {
    xxh3_64_with_seed(&a.to_le_bytes(), b)
}

/// The identifier of some bytes.
pub fn id_of_bytes(bytes: &[u8]) -> Id {
    xxh3_64(bytes)
}
