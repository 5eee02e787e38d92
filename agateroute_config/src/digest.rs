//! SHA-256 digests of keys and documents, as hexadecimal digits.

use sha2::{Digest, Sha256};

/// Returns the SHA-256 digest of `bytes` as 64 lower-case hexadecimal digits.
pub fn hex_digest(bytes: &[u8]) -> String {
    to_hex(&Sha256::digest(bytes))
}

/// Formats bytes as lower-case hexadecimal digits, two for each byte.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Parses the 64 hexadecimal digits of a SHA-256 digest, or returns `None` for any other text.
pub fn parse_digest(text: &str) -> Option<[u8; 32]> {
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    let mut bytes = [0; 32];
    for (i, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(bytes)
}
