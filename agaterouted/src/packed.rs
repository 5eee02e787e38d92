//! Compressed lists of servers between instances, in the zlib format.

use std::io::{self, Read, Write};

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;

/// The size in bytes up to which a list is sent as text: most fetches return a few changes.
pub const MIN_PACKED_BYTES: usize = 4 * 1024;
/// The largest list that is unpacked, in bytes. A list of 3,000 servers has 1.2 MB; without a bound a peer could fill the memory of
/// this instance with a reply of a few kilobytes.
pub const MAX_UNPACKED_BYTES: usize = 16 * 1024 * 1024;

/// Returns the compressed text, `None` if it is sent as text.
pub fn pack(text: &str) -> Option<Vec<u8>> {
    if !(MIN_PACKED_BYTES + 1..=MAX_UNPACKED_BYTES).contains(&text.len()) {
        return None;
    }
    // A reader packs the changes for each of its clients, so the fast level is used.
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(text.as_bytes()).ok()?;
    encoder.finish().ok()
}

/// Returns the text that was compressed. Fails if it is longer than [`MAX_UNPACKED_BYTES`], incomplete or not UTF-8.
pub fn unpack(packed: &[u8]) -> io::Result<String> {
    let mut text = String::new();
    let limit = MAX_UNPACKED_BYTES as u64 + 1;
    ZlibDecoder::new(packed).take(limit).read_to_string(&mut text)?;
    if text.len() > MAX_UNPACKED_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "the unpacked list is too long"));
    }
    Ok(text)
}
