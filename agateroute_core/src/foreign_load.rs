//! What a desk makes of load reports that lag behind its own account.

use crate::catalog::Capacity;
use crate::controller::Controller;
use crate::event::Report;
use crate::id::Millis;

/// How long a desk that has no load report admits cautiously, in milliseconds.
const WARM_UP_MS: Millis = 1_000;
/// The age after which a load report no longer counts, in milliseconds.
const MAX_REPORT_AGE_MS: Millis = 5_000;
/// The most samples of the desk's own account that are kept to compare with lagging reports.
const MAX_SAMPLES: usize = 64;

value! {
    /// The desk's own account at a moment, to compare with lagging reports.
    pub struct Sample {
        at: Millis,
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
        self.samples.push(Sample { at: now, used: self.own_load(), running });
    }

    /// What runs under permits of this desk: tokens in memory, or calls in progress.
    pub fn own_load(&self) -> u64 {
        match self.capacity {
            Capacity::Engine { .. } => {
                self.running.iter().map(|r| u64::from(r.prompt) + u64::from(r.tokens)).sum()
            }
            Capacity::Slots { .. } => self.running.len() as u64,
        }
    }

    /// What the server reports beyond everything that this desk has permitted lately: work that
    /// others started there. Both figures lag, so only a clear excess counts.
    pub fn foreign_load(&self, now: Millis) -> u64 {
        let Some(report) = self.fresh_report(now) else { return 0 };
        let permitted = self.recent_max(|s| s.used).max(self.own_load());
        report.used.saturating_sub(permitted)
    }

    /// The requests that the server reports beyond those that this desk has permitted lately.
    pub fn foreign_running(&self, now: Millis) -> usize {
        let Some(report) = self.fresh_report(now) else { return 0 };
        let permitted = self.recent_max(|s| s.running).max(self.running.len() as u64);
        u64::from(report.running).saturating_sub(permitted) as usize
    }

    fn fresh_report(&self, now: Millis) -> Option<&Report> {
        let (at, report) = self.report.as_ref()?;
        (now.saturating_sub(*at) <= MAX_REPORT_AGE_MS).then_some(report)
    }

    /// The highest of the desk's own figures in the time that the last report may speak of.
    fn recent_max(&self, select: impl Fn(&Sample) -> u64) -> u64 {
        let Some((at, report)) = &self.report else { return 0 };
        let from = at.saturating_sub(2 * report.age_ms.max(500));
        self.samples.iter().filter(|s| s.at >= from).map(select).max().unwrap_or(0)
    }

    /// Whether the desk admits only the share that is safe without a full view.
    pub fn is_cautious(&self, now: Millis) -> bool {
        let starting = self.acting || now.saturating_sub(self.created_at) < WARM_UP_MS;
        starting && self.fresh_report(now).is_none()
    }
}
