//! Authenticates organisations by their bearer keys.

use agateroute_config::Document;
use agateroute_config::digest::parse_digest;
use sha2::{Digest, Sha256};
use subtle::{ConditionallySelectable, ConstantTimeEq};

/// The sorted SHA-256 digests of all keys, with the index of their organisation in the document.
#[derive(Clone, Debug, Default)]
pub struct KeyRing {
    keys: Vec<([u8; 32], u32)>,
}

/// Stands for the index of the organisation of an unknown key.
const NO_ORGANISATION: u32 = u32::MAX;

impl KeyRing {
    /// Collects the keys of a document. Malformed digests are skipped.
    pub fn new(document: &Document) -> KeyRing {
        let mut keys = Vec::new();
        for (i, organisation) in document.organisations.iter().enumerate() {
            for key in &organisation.keys {
                if let Some(digest) = parse_digest(&key.sha256) {
                    keys.push((digest, i as u32));
                }
            }
        }
        keys.sort_unstable();
        KeyRing { keys }
    }

    /// Returns the index of the organisation that a key belongs to.
    ///
    /// The search uses only the first two bytes of the digest. All digests that share them are compared
    /// in full and in constant time, so that timing reveals nothing useful about a key.
    pub fn find(&self, key: &[u8]) -> Option<usize> {
        let digest: [u8; 32] = Sha256::digest(key).into();
        let from = self.keys.partition_point(|(d, _)| d[..2] < digest[..2]);
        let mut found = NO_ORGANISATION;
        for (candidate, organisation) in
            self.keys[from..].iter().take_while(|(d, _)| d[..2] == digest[..2])
        {
            found.conditional_assign(organisation, candidate.ct_eq(&digest));
        }
        (found != NO_ORGANISATION).then_some(found as usize)
    }
}

/// Extracts the key from the value of an `Authorization` header.
pub fn bearer_key(value: &[u8]) -> Option<&[u8]> {
    let (scheme, key) = value.split_at_checked(7)?;
    let key = key.trim_ascii();
    (scheme.eq_ignore_ascii_case(b"bearer ") && !key.is_empty()).then_some(key)
}
