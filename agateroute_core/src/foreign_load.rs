//! Detects load on a server that does not come from its controller's permits. Load reports lag behind
//! the controller's own figures, so they are compared with samples of the recent past.

use crate::catalog::Capacity;
use crate::controller::Controller;
use crate::event::LoadReport;
use crate::id::Millis;

/// How long a new controller that has no load report admits only a part of the capacity, in milliseconds.
const WARM_UP_MS: Millis = 1_000;
/// The age after which a load report is ignored, in milliseconds.
const MAX_REPORT_AGE_MS: Millis = 5_000;
/// The number of samples kept to compare with lagging reports.
const MAX_SAMPLES: usize = 64;

value! {
    /// The load under a controller's permits at one time: memory in tokens or calls, and requests.
    pub struct Sample {
        taken_at: Millis,
        used: u64,
        running: u64,
    }
}

impl Controller {
    pub(crate) fn record_sample(&mut self, now: Millis) {
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.remove(0);
        }
        let running = self.running.len() as u64;
        self.samples.push(Sample { taken_at: now, used: self.own_load(), running });
    }

    /// The load under permits of this controller: tokens in memory, or calls in progress.
    pub fn own_load(&self) -> u64 {
        match self.capacity {
            Capacity::Engine { .. } => {
                self.running.iter().map(|r| u64::from(r.prompt) + u64::from(r.tokens)).sum()
            }
            Capacity::Slots { .. } => self.running.len() as u64,
        }
    }

    /// The reported load beyond the work that this controller has permitted, which others must have
    /// started. Both figures lag, so the highest recent load under permits is subtracted.
    pub fn foreign_load(&self, now: Millis) -> u64 {
        let Some(report) = self.fresh_report(now) else { return 0 };
        let permitted = self.recent_max(|s| s.used).max(self.own_load());
        report.used.saturating_sub(permitted)
    }

    /// The number of running requests in the last report beyond those that were permitted recently.
    pub fn foreign_running(&self, now: Millis) -> usize {
        let Some(report) = self.fresh_report(now) else { return 0 };
        let permitted = self.recent_max(|s| s.running).max(self.running.len() as u64);
        u64::from(report.running).saturating_sub(permitted) as usize
    }

    fn fresh_report(&self, now: Millis) -> Option<&LoadReport> {
        let (at, report) = self.report.as_ref()?;
        (now.saturating_sub(*at) <= MAX_REPORT_AGE_MS).then_some(report)
    }

    /// Returns the highest value of `select` over the samples since the last report may have been measured:
    /// twice its age, and at least 1,000 ms, before it was read.
    fn recent_max(&self, select: impl Fn(&Sample) -> u64) -> u64 {
        let Some((at, report)) = &self.report else { return 0 };
        let from = at.saturating_sub(2 * report.age_ms.max(500));
        self.samples.iter().filter(|s| s.taken_at >= from).map(select).max().unwrap_or(0)
    }

    /// Whether only `fallback_percent` of the capacity is used, since peers may have granted
    /// permits that this controller doesn't know and no load report shows them yet.
    pub fn is_cautious(&self, now: Millis) -> bool {
        let starting = self.acting || now.saturating_sub(self.created_at) < WARM_UP_MS;
        starting && self.fresh_report(now).is_none()
    }
}
