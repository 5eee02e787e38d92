//! A lease on a row of the table service, with a fencing number.
//!
//! Time is only ever measured on the local monotonic clock: a contender takes the lease over after it
//! has seen the same row for the whole time of the lease, and a holder stops acting a margin before
//! the time is over since it *sent* the write that renewed it. So steps of wall clocks do no harm. The
//! fencing number grows with each holder and travels with each order. See `docs/DESIGN.md`, "Leases".

use serde::{Deserialize, Serialize};

use crate::id::Millis;

record! {
    /// The times of a lease.
    pub struct LeaseTimes {
        /// How long a row that does not change is respected, in milliseconds.
        pub lease_ms: Millis,
        /// How much earlier the holder stops acting, in milliseconds.
        pub margin_ms: Millis,
        /// How often the holder renews it, in milliseconds.
        pub renew_ms: Millis,
        /// The longest time that an order of a former holder may still be on its way, in milliseconds.
        pub order_timeout_ms: Millis,
    }

    /// The row of a lease.
    #[derive(Deserialize, Serialize)]
    pub struct LeaseRow {
        /// The fencing number.
        pub fencing: u64,
        /// Counts the renewals of one holder.
        pub renewal: u64,
        /// The instance and its start number.
        pub holder: String,
        /// Whether the holder has given the lease back.
        pub free: bool,
    }

    /// What a lease asks for.
    pub enum LeaseEffect {
        /// Read the row.
        Read,
        /// Write the row if it is still the one that was read last, or absent if none was.
        Write {
            /// The new row.
            row: LeaseRow,
            /// The row that has to stand there.
            expected: Option<LeaseRow>,
        },
    }

    /// A lease as one instance sees it.
    pub struct Lease {
        me: String,
        times: LeaseTimes,
        last_row: Option<LeaseRow>,
        unchanged_since: Millis,
        row_known: bool,
        in_flight: Option<(LeaseRow, Millis)>,
        held_until: Option<(u64, Millis)>,
        acquired_at: Millis,
        polled_at: Millis,
        renewed_at: Millis,
    }
}

impl LeaseRow {
    /// The tag that conditions compare.
    pub fn tag(&self) -> String {
        format!("{}.{}", self.fencing, self.renewal)
    }
}

impl Lease {
    /// A lease that nothing is known of yet.
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

    /// The fencing number to act with, if this instance may act at this moment.
    pub fn fencing_token(&self, now: Millis) -> Option<u64> {
        let (fencing, until) = self.held_until?;
        (now < until).then_some(fencing)
    }

    /// Whether this instance may act on servers that ignore fencing numbers: orders of a former holder
    /// can no longer arrive there.
    pub fn exclusive_token(&self, now: Millis) -> Option<u64> {
        self.fencing_token(now).filter(|_| now >= self.acquired_at + self.times.order_timeout_ms)
    }

    /// Says what is to be done now.
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
            let open = match &self.last_row {
                _ if !self.row_known => false,
                None => true,
                Some(row) => row.free || now >= self.unchanged_since + self.times.lease_ms,
            };
            if !open {
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

    /// Takes the row that was read.
    pub fn handle_read(&mut self, now: Millis, row: Option<LeaseRow>) {
        if !self.row_known || row != self.last_row {
            self.unchanged_since = now;
        }
        self.row_known = true;
        self.last_row = row;
    }

    /// Takes the end of a write. Without a known outcome the row is read again: a write that took
    /// effect shows there.
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

    /// Gives the lease back, so that a successor need not wait.
    pub fn release(&mut self, now: Millis) -> Option<LeaseEffect> {
        let fencing = self.fencing_token(now)?;
        let last_row = self.last_row.clone()?;
        self.held_until = None;
        let row = LeaseRow {
            fencing,
            renewal: last_row.renewal + 1,
            holder: self.me.clone(),
            free: true,
        };
        Some(LeaseEffect::Write { row, expected: Some(last_row) })
    }
}
