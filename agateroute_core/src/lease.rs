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
        pub order_ms: Millis,
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
        seen: Option<LeaseRow>,
        since: Millis,
        read: bool,
        flight: Option<(LeaseRow, Millis)>,
        held: Option<(u64, Millis)>,
        taken: Millis,
        looked: Millis,
        renewed: Millis,
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
            seen: None,
            since: 0,
            read: false,
            flight: None,
            held: None,
            taken: 0,
            looked: 0,
            renewed: 0,
        }
    }

    /// The fencing number to act with, if this instance may act at this moment.
    pub fn acting(&self, now: Millis) -> Option<u64> {
        let (fencing, until) = self.held?;
        (now < until).then_some(fencing)
    }

    /// Whether this instance may act on servers that ignore fencing numbers: orders of a former holder
    /// can no longer arrive there.
    pub fn acting_alone(&self, now: Millis) -> Option<u64> {
        self.acting(now).filter(|_| now >= self.taken + self.times.order_ms)
    }

    /// Says what is to be done now.
    pub fn tick(&mut self, now: Millis) -> Option<LeaseEffect> {
        if self.flight.is_some() {
            return None;
        }
        if let Some((fencing, until)) = self.held {
            if now >= until {
                self.held = None;
            } else if now >= self.renewed + self.times.renew_ms {
                let renewal = self.seen.as_ref().map_or(0, |s| s.renewal) + 1;
                return Some(self.write(now, fencing, renewal));
            } else {
                return None;
            }
        }
        if !self.read || now >= self.looked + self.times.renew_ms {
            self.looked = now;
            let open = match &self.seen {
                _ if !self.read => false,
                None => true,
                Some(row) => row.free || now >= self.since + self.times.lease_ms,
            };
            if !open {
                return Some(LeaseEffect::Read);
            }
            let fencing = self.seen.as_ref().map_or(0, |s| s.fencing) + 1;
            return Some(self.write(now, fencing, 0));
        }
        None
    }

    fn write(&mut self, now: Millis, fencing: u64, renewal: u64) -> LeaseEffect {
        let row = LeaseRow { fencing, renewal, holder: self.me.clone(), free: false };
        self.flight = Some((row.clone(), now));
        LeaseEffect::Write { row, expected: self.seen.clone() }
    }

    /// Takes the row that was read.
    pub fn was_read(&mut self, now: Millis, row: Option<LeaseRow>) {
        if !self.read || row != self.seen {
            self.since = now;
        }
        self.read = true;
        self.seen = row;
    }

    /// Takes the end of a write. Without a known outcome the row is read again: a write that took
    /// effect shows there.
    pub fn was_written(&mut self, now: Millis, done: Option<bool>) {
        let Some((row, sent)) = self.flight.take() else { return };
        if done == Some(true) {
            let first = self.held.is_none_or(|(fencing, _)| fencing != row.fencing);
            if first {
                self.taken = now;
            }
            let until = sent + self.times.lease_ms - self.times.margin_ms;
            self.held = Some((row.fencing, until));
            self.renewed = sent;
            self.seen = Some(row);
            self.since = now;
        } else {
            self.read = false;
            if done == Some(false) {
                self.held = None;
            }
        }
    }

    /// Gives the lease back, so that a successor need not wait.
    pub fn give_back(&mut self, now: Millis) -> Option<LeaseEffect> {
        let fencing = self.acting(now)?;
        let seen = self.seen.clone()?;
        self.held = None;
        let row =
            LeaseRow { fencing, renewal: seen.renewal + 1, holder: self.me.clone(), free: true };
        Some(LeaseEffect::Write { row, expected: Some(seen) })
    }
}
