//! Rules of a soak for planned stops: an instance that got SIGTERM answers what it accepted.

use std::time::{Duration, Instant};

use http::StatusCode;

use crate::checker::{Checker, Part, Sent};

/// Time from SIGTERM after which a server that is still at work excuses a cut: all but the last sixth of the grace time.
const LATE_WORK_TIME: Duration = Duration::from_millis(6_667);
/// Time from SIGTERM until which a request may be sent for that excuse.
pub const EARLY_REQUEST_TIME: Duration = Duration::from_millis(3_000);
/// Time by which an answer may end before its caller's deadline and count as ended by it: the time that the program
/// needs to send a final answer, with room for a busy machine.
const DEADLINE_MARGIN: Duration = Duration::from_millis(200);

/// Time within which a process hears of a signal.
const SIGNAL_TIME: Duration = Duration::from_millis(200);

/// Numbers of requests sent to instances after their SIGTERM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StopCounts {
    /// Requests sent while the instance was stopping.
    pub sent: u64,
    /// Those with an answer on a connection that had served a request before.
    pub kept: u64,
    /// Those of `kept` that were sent over [`EARLY_REQUEST_TIME`] after the signal.
    pub kept_late: u64,
    /// Streams that a stopping instance answered whole.
    pub streams: u64,
    /// Requests that a stopping instance answered whole, streams among them.
    pub whole: u64,
    /// Requests that a stopping instance refused as not run.
    pub refused: u64,
    /// Those of `refused` that were sent again, to another instance.
    pub retried: u64,
    /// Those of `retried` that were answered whole then.
    pub retry_whole: u64,
}

impl Checker {
    /// Records when the instance of a slot got SIGTERM, at the latest.
    pub fn record_stop(&mut self, slot: usize, at: Instant) {
        self.stops.push((slot, at, None));
    }

    /// Records that the process of a slot has ended.
    pub fn record_stop_end(&mut self, slot: usize) {
        let running = self.stops.iter_mut().filter(|(s, _, end)| *s == slot && end.is_none());
        running.for_each(|(_, _, end)| *end = Some(Instant::now()));
    }

    /// Returns the time since SIGTERM of the instance of a slot, if it is stopping.
    pub fn stopping_for(&self, slot: usize) -> Option<Duration> {
        let stop = self.stops.iter().find(|(s, _, end)| *s == slot && end.is_none());
        stop.map(|(_, at, _)| at.elapsed())
    }

    /// Returns the SIGTERM of the process that a request reached at a time, if it had got one by then.
    pub(crate) fn stop_before(&self, slot: usize, sent: Instant, time: Instant) -> Option<Instant> {
        let reached = |(s, at, end): &&(usize, Instant, Option<Instant>)| {
            *s == slot && *at <= time && end.is_none_or(|e| e >= sent)
        };
        self.stops.iter().find(reached).map(|(_, at, _)| *at)
    }

    /// Counts a request to a stopping instance that got an answer. `kept` says whether its connection had served a
    /// request before.
    pub fn count_stopping(&mut self, id: &str, kept: bool) {
        let Some(sent) = self.find(id).map(|at| &self.sent[at]) else { return };
        let now = Instant::now();
        let Some(stop) = self.stop_before(sent.slot, sent.at, now).filter(|s| *s <= sent.at) else {
            return;
        };
        let (late, whole) = (sent.at > stop + EARLY_REQUEST_TIME, sent.cut.is_none());
        let (served, refused) = (sent.served, sent.refused);
        let counts = &mut self.stop_counts;
        counts.kept += u64::from(kept);
        counts.kept_late += u64::from(kept && late);
        counts.streams += u64::from(whole && sent.kind.is_stream() && !sent.refused);
        counts.whole += u64::from(served);
        counts.refused += u64::from(refused);
    }

    /// Returns a request that a stopping instance refused as not run.
    pub fn refused_at_stop(&self, id: &str) -> Option<Sent> {
        let sent = &self.sent[self.find(id)?];
        let stop = self.stop_before(sent.slot, sent.at, Instant::now())?;
        (sent.refused && stop <= sent.at).then(|| sent.clone())
    }

    /// Counts a request that was refused by a stopping instance and was sent again.
    pub fn count_retry(&mut self, id: &str) {
        let whole = self.find(id).is_some_and(|at| self.sent[at].served);
        self.stop_counts.retried += 1;
        self.stop_counts.retry_whole += u64::from(whole);
    }

    /// Checks the failures that promise nothing, once all runs are known. What a process accepts after SIGTERM is due before
    /// its end, so the stop is no reason for one.
    pub fn check_failures(&mut self) {
        let lost: Vec<String> =
            self.sent.iter().filter_map(|s| self.unexcused_failure(s)).collect();
        lost.iter().for_each(|detail| self.fail("nothing lost", detail));
    }

    /// Describes the failure of a request that was sent after SIGTERM, unless it did not run, its server broke off, or its time
    /// was up.
    fn unexcused_failure(&self, sent: &Sent) -> Option<String> {
        let (end, status) = sent.failed?;
        // The time of an attempt that another one may follow is so short that a busy machine exceeds it.
        if self.skip_timing
            && status == StatusCode::BAD_GATEWAY.as_u16()
            && !sent.kind.is_non_repeatable()
        {
            return None;
        }
        let read = sent.ended_at();
        let stop = self.stop_before(sent.slot, read, end).filter(|stop| *stop <= read)?;
        // The process may hear of the signal later, on a busy machine much later.
        let unaware = if self.skip_timing { EARLY_REQUEST_TIME } else { SIGNAL_TIME };
        let late_work = end >= stop + LATE_WORK_TIME && read <= stop + unaware;
        if late_work || self.has_excuse(sent, end) {
            return None;
        }
        let since = |time: Instant| time.saturating_duration_since(stop).as_millis();
        Some(format!(
            "{} ({:?}, {} ms) on instance {} ran at {:?}, status {status}; after SIGTERM, sent {} ms, failed {} ms",
            sent.id,
            sent.kind,
            sent.deadline.as_millis(),
            sent.slot,
            sent.servers,
            since(read),
            since(end)
        ))
    }

    /// Whether a request did not run, a server of it broke off before the end, or its time was up.
    fn has_excuse(&self, sent: &Sent, end: Instant) -> bool {
        let parts = |s: &String| [Part::Server(s.to_owned()), Part::Turned(s.to_owned())];
        let sound = |s: &String| parts(s).iter().all(|p| self.free_between(p, sent.at, end));
        let in_time = end < sent.at + sent.deadline - DEADLINE_MARGIN;
        sent.servers.is_empty() || !sent.servers.iter().all(sound) || !in_time
    }

    /// Checks the answers that broke off, once all runs are known. A planned stop must not cut them.
    pub fn check_cuts(&mut self) {
        let details: Vec<String> = self.sent.iter().filter_map(|s| self.unexcused_cut(s)).collect();
        details.iter().for_each(|detail| self.fail("nothing cut", detail));
    }

    /// Describes the cut of an answer, unless the request did not run, its server broke off, or its time was up.
    fn unexcused_cut(&self, sent: &Sent) -> Option<String> {
        let (cut, detail) = sent.cut.as_ref()?;
        if self.has_excuse(sent, *cut) {
            return None;
        }
        let after = (*cut - sent.at).as_millis();
        let stop = self.stop_before(sent.slot, sent.at, *cut);
        // A process that hears of the signal accepts what is due before its end. A busy machine slows down the signal and what
        // was accepted.
        if let Some(stop) = stop
            && *cut >= stop + LATE_WORK_TIME
            && (self.skip_timing || sent.ended_at() <= stop + SIGNAL_TIME)
        {
            return None;
        }
        let since = |time: Instant| stop.map(|s| time.saturating_duration_since(s).as_millis());
        Some(format!(
            "{} ({:?}, {} events) on instance {} at {:?} after {after} ms: {detail}; after SIGTERM, sent {:?} ms, cut {:?} ms",
            sent.id,
            sent.kind,
            sent.events,
            sent.slot,
            sent.servers,
            since(sent.at),
            since(*cut)
        ))
    }
}
