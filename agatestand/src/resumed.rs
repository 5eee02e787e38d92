//! Streams that callers of a soak resume: at which version each event was written, and how many went on.

use agateroute_standin::server::VERSION_COMMENT;

use crate::instance::Answer;

/// Smallest number of resumed streams from which their share is judged.
const MIN_RESUMED: u64 = 12;

/// What a caller has of a stream whose connection broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received {
    /// Request id of the attempt that brought the first event.
    pub first: String,
    /// Number of events.
    pub events: u64,
    /// Software version of the server that wrote them.
    pub version: String,
    /// Number of events of the whole stream.
    pub length: u64,
}

/// Numbers of streams that callers asked for, and of those that began or went on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamCounts {
    /// New streams at instances that nothing was done to.
    pub new: (u64, u64),
    /// Resumed streams at such instances, while two servers of their version served.
    pub resumed: (u64, u64),
    /// Resumed streams, whatever was done.
    pub all_resumed: (u64, u64),
}

impl StreamCounts {
    /// Counts a stream.
    pub fn count(&mut self, resumed: bool, goes_on: bool) {
        let counts = if resumed { &mut self.resumed } else { &mut self.new };
        counts.0 += 1;
        counts.1 += u64::from(goes_on);
    }

    /// Whether resumed streams went on less than half as often as new ones began.
    pub fn too_few_resumed(&self) -> bool {
        let (new, resumed) = (self.new, self.resumed);
        resumed.0 >= MIN_RESUMED && resumed.1 * new.0 * 2 < new.1 * resumed.0
    }
}

/// Returns the software versions of the servers that wrote the events of an answer, without repetitions in a row.
pub fn versions(answer: &Answer) -> Vec<String> {
    let text = String::from_utf8_lossy(&answer.body);
    let named = text.lines().filter_map(|line| line.strip_prefix(VERSION_COMMENT));
    let mut versions: Vec<String> = named.map(str::to_owned).collect();
    versions.dedup();
    versions
}
