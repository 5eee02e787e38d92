//! Hashed identifiers.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The 64-bit hash of a declared name. Messages between instances carry hashes rather than
/// positions, so that instances with different versions of the document refer to the same things.
pub type Id = u64;

/// A time on the local monotonic clock, or a duration, in milliseconds.
pub type Millis = u64;

/// Returns the identifier of a declared name.
pub fn id(name: &str) -> Id {
    xxh3_64(name.as_bytes())
}

/// Combines two identifiers into one; the order matters.
pub fn mix(a: Id, b: Id) -> Id {
    xxh3_64_with_seed(&a.to_le_bytes(), b)
}

/// Returns the XXH3 hash of a byte string, for content without a declared name.
pub fn id_of_bytes(bytes: &[u8]) -> Id {
    xxh3_64(bytes)
}
