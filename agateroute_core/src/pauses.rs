//! The pauses of a stream as its caller sees them, and why the stream is late.
//!
//! Events are measured twice: when they arrive from the backend server and when they are handed to the caller's connection. A
//! pause before the arrival is made by the server, by a move to another one, or by this instance if it did not run
//! meanwhile; one after the arrival by this instance or by a caller that does not read. See `docs/design/late-streams.md`.

use crate::id::Millis;

value! {
    /// Why a stream missed its targets.
    pub enum LateCause {
        /// The first event came too late.
        FirstEvent,
        /// The backend server paused too long.
        Server,
        /// The stream went on at another backend server after too long a pause.
        Move,
        /// This instance did not run, or did not send what had arrived.
        Instance,
        /// The caller did not read what this instance had for it.
        Caller,
    }

    /// The targets of a stream, in milliseconds.
    pub struct PauseTargets {
        /// From the arrival of the request to the first event.
        pub first_ms: Millis,
        /// From one event to the next.
        pub gap_ms: Millis,
        /// One in this many pauses may be above its target; 0 if none may.
        pub tolerance: u64,
    }
}

impl LateCause {
    /// The value in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            LateCause::FirstEvent => "first_event",
            LateCause::Server => "server",
            LateCause::Move => "move",
            LateCause::Instance => "instance",
            LateCause::Caller => "caller",
        }
    }
}

record! {
    /// The pauses of one stream. Times are in milliseconds on one clock.
    pub struct Pauses {
        targets: PauseTargets,
        /// When the request arrived.
        began_at: Millis,
        arrived_at: Millis,
        /// When events were last handed to the caller; `None` before the first.
        sent_at: Option<Millis>,
        first_ms: Option<Millis>,
        gaps: u64,
        long_gaps: u64,
        /// The longest pause before an arrival that the server made.
        server_ms: Millis,
        longest_ms: Millis,
        cause: Option<LateCause>,
        moved: bool,
    }
}

impl Pauses {
    /// Begins to measure a stream whose request arrived at `now`.
    pub fn new(targets: PauseTargets, now: Millis) -> Pauses {
        Pauses {
            targets,
            began_at: now,
            arrived_at: now,
            sent_at: None,
            first_ms: None,
            gaps: 0,
            long_gaps: 0,
            server_ms: 0,
            longest_ms: 0,
            cause: None,
            moved: false,
        }
    }

    /// Records that the stream goes on at another server.
    pub fn record_move(&mut self) {
        self.moved = self.sent_at.is_some();
    }

    /// Records that events arrived from the server and were handed to the caller. `stalled_ms` is the longest time for which
    /// this instance did not run since the last events. Returns the pause that the caller saw; `None` for the first events.
    pub fn record(
        &mut self,
        arrived_at: Millis,
        sent_at: Millis,
        stalled_ms: Millis,
    ) -> Option<Millis> {
        let since_arrival = arrived_at.saturating_sub(self.arrived_at);
        let moved = std::mem::take(&mut self.moved);
        let last = self.sent_at.replace(sent_at);
        self.arrived_at = arrived_at;
        let Some(last) = last else {
            let first_ms = sent_at.saturating_sub(self.began_at);
            self.first_ms = Some(first_ms);
            if first_ms > self.targets.first_ms {
                self.cause = Some(LateCause::FirstEvent);
            }
            return None;
        };
        let gap_ms = sent_at.saturating_sub(last);
        self.gaps += 1;
        self.longest_ms = self.longest_ms.max(gap_ms);
        if !moved && stalled_ms < since_arrival {
            self.server_ms = self.server_ms.max(since_arrival - stalled_ms);
        }
        if gap_ms > self.targets.gap_ms {
            self.long_gaps += 1;
            let excess_ms = gap_ms - self.targets.gap_ms;
            let cause = match since_arrival > self.targets.gap_ms {
                _ if stalled_ms >= excess_ms => LateCause::Instance,
                true if moved => LateCause::Move,
                true => LateCause::Server,
                false => LateCause::Caller,
            };
            self.cause = self.cause.or(Some(cause));
        }
        Some(gap_ms)
    }

    /// The time from the arrival of the request to the first event, in milliseconds.
    pub fn first_ms(&self) -> Option<Millis> {
        self.first_ms
    }

    /// The longest pause that the caller saw, in milliseconds.
    pub fn longest_ms(&self) -> Millis {
        self.longest_ms
    }

    /// The longest pause that a server made, in milliseconds.
    pub fn server_ms(&self) -> Millis {
        self.server_ms
    }

    /// Why the stream is late: what came first. `None` if it is on time.
    pub fn late_cause(&self) -> Option<LateCause> {
        let first = self.first_ms.is_some_and(|ms| ms > self.targets.first_ms);
        let gaps = match self.targets.tolerance {
            0 => self.long_gaps > 0,
            tolerance => self.long_gaps.saturating_mul(tolerance) > self.gaps,
        };
        self.cause.filter(|_| first || gaps)
    }
}
