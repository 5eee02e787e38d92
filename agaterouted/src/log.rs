//! Structured logs: one line of key=value pairs for each event.

use std::fmt::Write;
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::time::UNIX_EPOCH;

use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::prelude::*;
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink};
use spdlog::{Record, StringBuf, ThreadPool};

/// The lines that may wait to be written. Further ones are dropped.
const MAX_QUEUED_LINES: NonZeroUsize = NonZeroUsize::new(4_096).unwrap();

/// Writes a record as `time=… level=… event=… key=value …`.
#[derive(Clone)]
struct KeyValueFormatter;

impl Formatter for KeyValueFormatter {
    fn format(
        &self,
        record: &Record<'_>,
        dest: &mut StringBuf,
        _: &mut FormatterContext<'_>,
    ) -> spdlog::Result<()> {
        let since = record.time().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut line = format!("time={}.{:03}", since.as_secs(), since.subsec_millis());
        let _ = write!(line, " level={} event=", record.level().as_str());
        push_value(&mut line, record.payload());
        for (key, value) in record.key_values() {
            let _ = write!(line, " {}=", key.as_str());
            push_value(&mut line, &value.to_string());
        }
        line.push('\n');
        dest.push_str(&line);
        Ok(())
    }
}

/// Appends a value, quoted unless it is one word.
fn push_value(line: &mut String, value: &str) {
    let plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=';
    if !value.is_empty() && value.chars().all(plain) {
        line.push_str(value);
    } else {
        let _ = write!(line, "{value:?}");
    }
}

/// Starts logging to standard output at a level that the settings check has validated. Fails if the library
/// can't start its writer thread.
pub fn start(level: &str) -> spdlog::Result<()> {
    let level = match level {
        "error" => Level::Error,
        "warn" => Level::Warn,
        "debug" => Level::Debug,
        "trace" => Level::Trace,
        _ => Level::Info,
    };
    let stream = StdStreamSink::builder().stdout().formatter(KeyValueFormatter).build()?;
    let threads = ThreadPool::builder().capacity(MAX_QUEUED_LINES).build_arc()?;
    // The reader of standard output may be slow or stuck, and requests must never wait for it.
    let sink = AsyncPoolSink::builder()
        .sink(Arc::new(stream))
        .thread_pool(threads)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build_arc()?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .flush_level_filter(LevelFilter::All)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
