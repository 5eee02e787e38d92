//! Splits a stream of server-sent events at event boundaries.
//!
//! Only complete events are forwarded, so that a stream that breaks within an event can be resumed
//! after the last complete one. The bytes themselves are not changed.

use bytes::{Bytes, BytesMut};

/// The longest event that is buffered, in bytes. A server in trouble may send one without end.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// The prefix of the line that holds the id of an event.
const ID_FIELD: &[u8] = b"id:";

/// Splits off complete events and buffers an incomplete one until the rest of it arrives.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    events: u64,
    /// The number of events that are more than comments.
    with_content: u64,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Adds bytes of the stream and returns the events that are complete now.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        let searched = self.partial.len().saturating_sub(2);
        self.partial.extend_from_slice(bytes);
        let mut end = 0;
        let mut at = searched;
        while let Some(next) = event_end(&self.partial, at) {
            let event = &self.partial[end..next];
            if let Some(id) = event_id(event) {
                self.last_id = Some(id);
            }
            self.events += 1;
            self.with_content += u64::from(has_content(event));
            (end, at) = (next, next);
        }
        self.partial.split_to(end).freeze()
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn take_partial(&mut self) -> Bytes {
        std::mem::take(&mut self.partial).freeze()
    }

    /// Whether the bytes after the last complete event are part of another one. A stream that ends there has been
    /// broken off. Line breaks and whole comments are no event.
    pub fn ends_inside_event(&self) -> bool {
        let is_blank = |line: &[u8]| line.trim_ascii().is_empty();
        let mut lines = self.partial[..].split(|b| *b == b'\n');
        let unended = lines.next_back().unwrap_or_default();
        !is_blank(unended) || lines.any(|line| !is_blank(line) && !line.starts_with(b":"))
    }

    /// Whether the incomplete event is longer than any that is buffered.
    pub fn is_too_long(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Returns the number of complete events so far that are more than comments. Only these show that a stream
    /// makes progress.
    pub fn events_with_content(&self) -> u64 {
        self.with_content
    }

    /// Returns the number of complete events so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns the id of the last complete event that has a numeric one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

/// Returns the position after the first empty line from `from` on, which ends an event. Each line may end with a
/// line feed alone or with a carriage return before it.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let rest = &bytes[from..];
    rest.iter().enumerate().filter(|(_, b)| **b == b'\n').find_map(|(at, _)| {
        let after = &rest[at + 1..];
        let empty_line = [&b"\n"[..], b"\r\n"].into_iter().find(|l| after.starts_with(l))?;
        Some(from + at + 1 + empty_line.len())
    })
}

/// Whether an event has a line that is not a comment, which begins with a colon.
fn has_content(event: &[u8]) -> bool {
    event.split(|b| *b == b'\n').any(|line| !matches!(line.first(), None | Some(b':' | b'\r')))
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|b| *b == b'\n').find_map(|line| line.strip_prefix(ID_FIELD))?;
    std::str::from_utf8(line.trim_ascii()).ok()?.parse().ok()
}
