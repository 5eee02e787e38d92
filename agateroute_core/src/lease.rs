//! A lease on a row of the table service, with a fencing token.
//!
//! Time is only measured on the local monotonic clock, so steps of the wall clock have no effect: a
//! contender takes the lease over after it has seen the same row for the whole lease time, and a holder
//! stops acting a margin before the lease time has passed since it *sent* the renewing write. The
//! fencing token grows with each holder and is part of each order. See `docs/DESIGN.md`, "Leases".

use serde::{Deserialize, Serialize};

use crate::id::Millis;

record! {
    /// The time limits of a lease.
    pub struct LeaseTimes {
        /// How long contenders respect an unchanged row, in milliseconds.
        pub lease_ms: Millis,
        /// How long before the end of the lease the holder stops acting, in milliseconds.
        pub margin_ms: Millis,
        /// The interval of renewals, and of reads by contenders, in milliseconds.
        pub renew_ms: Millis,
        /// How long an order of a former holder may still be in transit, in milliseconds.
        pub order_timeout_ms: Millis,
    }

    /// The content of the lease's row.
    #[derive(Deserialize, Serialize)]
    pub struct LeaseRow {
        /// The fencing token, which grows with each holder.
        pub fencing: u64,
        /// The number of renewals by the current holder.
        pub renewal: u64,
        /// The name and start time of the holding instance.
        pub holder: String,
        /// Whether the holder has released the lease.
        pub free: bool,
    }

    /// An access to the table service that the lease needs.
    pub enum LeaseEffect {
        /// Read the row and pass it to `handle_read`.
        Read,
        /// Write the row conditionally and pass the result to `handle_write`.
        Write {
            /// The new content.
            row: LeaseRow,
            /// The content that the row must still have; the row must not exist if there is none.
            expected: Option<LeaseRow>,
        },
    }

    /// The state of a lease on one instance, the holder or a contender.
    pub struct Lease {
        me: String,
        times: LeaseTimes,
        last_row: Option<LeaseRow>,
        unchanged_since: Millis,
        row_known: bool,
        /// The row in the write without a result, and when the write was sent.
        in_flight: Option<(LeaseRow, Millis)>,
        /// The fencing token of this instance, and when it has to stop acting.
        held_until: Option<(u64, Millis)>,
        acquired_at: Millis,
        polled_at: Millis,
        renewed_at: Millis,
    }
}

impl LeaseRow {
    /// Returns the version of the row that conditional writes compare.
    pub fn tag(&self) -> String {
        format!("{}.{}", self.fencing, self.renewal)
    }
}

impl Lease {
    /// Creates a contender that has not read the row yet. `me` names the instance and its start time.
    pub fn new(me: impl Into<String>, times: LeaseTimes) -> Lease {
        Lease {
            me: me.into(),
            times,
            last_row: None,
            unchanged_since: 0,
            row_known: false,
            in_flight: None,
            held_until: None,
            acquired_at: 0,
            polled_at: 0,
            renewed_at: 0,
        }
    }

    /// Returns the fencing token if this instance holds the lease and may act now.
    pub fn fencing_token(&self, now: Millis) -> Option<u64> {
        let (fencing, until) = self.held_until?;
        (now < until).then_some(fencing)
    }

    /// Returns the fencing token if orders of a former holder can no longer arrive. Required before
    /// acting on servers that ignore fencing tokens.
    pub fn exclusive_token(&self, now: Millis) -> Option<u64> {
        self.fencing_token(now).filter(|_| now >= self.acquired_at + self.times.order_timeout_ms)
    }

    /// Returns the next access to the table service, if one is due.
    pub fn tick(&mut self, now: Millis) -> Option<LeaseEffect> {
        if self.in_flight.is_some() {
            return None;
        }
        if let Some((fencing, until)) = self.held_until {
            if now >= until {
                self.held_until = None;
            } else if now >= self.renewed_at + self.times.renew_ms {
                let renewal = self.last_row.as_ref().map_or(0, |s| s.renewal) + 1;
                return Some(self.write(now, fencing, renewal));
            } else {
                return None;
            }
        }
        if !self.row_known || now >= self.polled_at + self.times.renew_ms {
            self.polled_at = now;
            let available = match &self.last_row {
                _ if !self.row_known => false,
                None => true,
                Some(row) => row.free || now >= self.unchanged_since + self.times.lease_ms,
            };
            if !available {
                return Some(LeaseEffect::Read);
            }
            let fencing = self.last_row.as_ref().map_or(0, |s| s.fencing) + 1;
            return Some(self.write(now, fencing, 0));
        }
        None
    }

    fn write(&mut self, now: Millis, fencing: u64, renewal: u64) -> LeaseEffect {
        let row = LeaseRow { fencing, renewal, holder: self.me.clone(), free: false };
        self.in_flight = Some((row.clone(), now));
        LeaseEffect::Write { row, expected: self.last_row.clone() }
    }

    /// Handles the result of a read.
    pub fn handle_read(&mut self, now: Millis, row: Option<LeaseRow>) {
        if !self.row_known || row != self.last_row {
            self.unchanged_since = now;
        }
        self.row_known = true;
        self.last_row = row;
    }

    /// Handles the result of a write. `done` is whether its condition held, or none if that is unknown.
    /// Unless it held, the row is read again, which shows whether the write took effect.
    pub fn handle_write(&mut self, now: Millis, done: Option<bool>) {
        let Some((row, sent)) = self.in_flight.take() else { return };
        if done == Some(true) {
            let first = self.held_until.is_none_or(|(fencing, _)| fencing != row.fencing);
            if first {
                self.acquired_at = now;
            }
            let until = sent + self.times.lease_ms - self.times.margin_ms;
            self.held_until = Some((row.fencing, until));
            self.renewed_at = sent;
            self.last_row = Some(row);
            self.unchanged_since = now;
        } else {
            self.row_known = false;
            if done == Some(false) {
                self.held_until = None;
            }
        }
    }

    /// Releases the lease, so that the successor need not wait until it expires.
    pub fn release(&mut self, now: Millis) -> Option<LeaseEffect> {
        let fencing = self.fencing_token(now)?;
        let last = self.last_row.clone()?;
        self.held_until = None;
        let row =
            LeaseRow { fencing, renewal: last.renewal + 1, holder: self.me.clone(), free: true };
        Some(LeaseEffect::Write { row, expected: Some(last) })
    }
}
