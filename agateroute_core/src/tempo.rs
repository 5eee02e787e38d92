//! What is known of the speed of backend servers: how long work usually takes on each, how much slower it gets for
//! moments, and how long the steps of a model take at the usual speed.
//!
//! Servers report a figure with each answer: how long work takes there at the moment, in percent of the usual time of its
//! kind. See `docs/design/server-speed.md`.

use crate::Table;
use crate::id::{Id, Millis};

/// The number of figures kept for each server. At one answer a second they cover the life of a short-lived engine.
const MAX_FIGURES: usize = 16;
/// The quantile of these figures that is the usual one. A momentary slowdown only raises figures, so a low quantile is not
/// shifted by it, and it is right from the second answer on.
const USUAL_QUANTILE: f32 = 0.25;
/// The number of own figures above which the value that another instance reports is not used.
const MIN_FIGURES: usize = 4;
/// How long a value that another instance reported is used, in milliseconds.
const TOLD_TTL_MS: Millis = 60_000;
/// How long the greatest momentary slowdown of a model is remembered, in milliseconds.
const PEAK_TTL_MS: Millis = 60_000;
/// The greatest ratio of a momentary to the usual figure that is believed.
const MAX_PEAK: f32 = 4.0;
/// A figure counts as a slow moment above this ratio to the usual one.
const SLOW_RATIO: f32 = 1.5;
/// The weight of the newest figure in the share of slow moments, and the bounds of that share.
const SHARE_WEIGHT: f32 = 0.02;
const MIN_SHARE: f32 = 0.05;
const MAX_SHARE: f32 = 0.5;
/// The share of slow moments assumed at first.
const INITIAL_SHARE: f32 = 0.15;
/// The number of samples kept for each time of a step.
const MAX_SAMPLES: usize = 64;
/// The quantile of samples that is taken for the time of a step: network and slow moments only lengthen them.
const STEP_QUANTILE: f32 = 0.25;
/// The greatest ratio of a step with a prompt being read to one without.
const MAX_BUSY_RATIO: f32 = 4.0;
/// A pause that is shorter than this multiple of an event is not taken for one beside a prompt without knowing it.
const MIN_BUSY_RATIO: f32 = 1.5;
/// The time to read a token of a prompt at the usual speed, until it has been measured, in milliseconds.
const DEFAULT_READ_MS: f32 = 1.0 / 14.0;
/// The bounds of that time.
const MIN_READ_MS: f32 = 0.01;
const MAX_READ_MS: f32 = 1.0;
/// The maximum number of models and servers that are tracked.
const MAX_MODELS: usize = 1_024;
const MAX_SERVERS: usize = 16_384;

record! {
    /// The figures of one server.
    #[derive(Default)]
    pub struct Tempo {
        figures: Vec<u32>,
        heard_at: Millis,
        told: Option<(u32, Millis)>,
    }

    /// The last samples of a time.
    #[derive(Default)]
    struct Samples {
        values: Vec<f32>,
        next: usize,
    }

    /// What is known of the servers of one model together.
    pub struct ModelTempo {
        peak: Option<(f32, Millis)>,
        slow_share: f32,
        quiet: Samples,
        busy: Samples,
        read: Samples,
        event_tokens: u32,
    }

    /// What this instance knows of the speed of all servers.
    #[derive(Default)]
    pub struct Speeds {
        servers: Table<Id, Tempo>,
        models: Table<Id, ModelTempo>,
        /// The servers that sent an invalid figure.
        invalid: Vec<Id>,
    }
}

/// The times of one event at the usual speed, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Steps {
    /// While no prompt is being read on the server.
    pub quiet_ms: f32,
    /// While a prompt is being read beside the stream.
    pub busy_ms: f32,
}

/// The index of a quantile in sorted samples.
fn rank(samples: usize, quantile: f32) -> usize {
    ((samples as f32 * quantile).ceil() as usize).saturating_sub(1)
}

impl Tempo {
    /// Adds the figure of an answer.
    pub fn observe(&mut self, figure: u32, now: Millis) {
        if self.figures.len() >= MAX_FIGURES {
            self.figures.remove(0);
        }
        self.figures.push(figure);
        self.heard_at = now;
    }

    /// Records the usual figure according to another instance.
    pub fn told(&mut self, usual: u32, now: Millis) {
        self.told = Some((usual, now));
    }

    /// How long work usually takes on the server, in percent; `None` if that is not known.
    pub fn usual(&self, now: Millis) -> Option<u32> {
        let told = self.told.filter(|(_, at)| at + TOLD_TTL_MS > now).map(|t| t.0);
        let own = self.own_usual();
        if self.figures.len() >= MIN_FIGURES { own } else { told.or(own) }
    }

    fn own_usual(&self) -> Option<u32> {
        let mut sorted = self.figures.clone();
        sorted.sort_unstable();
        sorted.get(rank(sorted.len(), USUAL_QUANTILE)).copied()
    }

    /// The time since something was last heard of the server's speed.
    pub fn age_ms(&self, now: Millis) -> Millis {
        now.saturating_sub(self.told.map_or(0, |t| t.1).max(self.heard_at))
    }
}

impl Samples {
    fn add(&mut self, value: f32) {
        if self.values.len() < MAX_SAMPLES {
            self.values.push(value);
        } else {
            self.values[self.next] = value;
            self.next = (self.next + 1) % MAX_SAMPLES;
        }
    }

    fn quantile(&self, quantile: f32) -> Option<f32> {
        let mut sorted = self.values.clone();
        sorted.sort_unstable_by(f32::total_cmp);
        sorted.get(rank(sorted.len(), quantile)).copied()
    }
}

impl Default for ModelTempo {
    fn default() -> ModelTempo {
        ModelTempo {
            peak: None,
            slow_share: INITIAL_SHARE,
            quiet: Samples::default(),
            busy: Samples::default(),
            read: Samples::default(),
            event_tokens: 0,
        }
    }
}

impl ModelTempo {
    /// Adds a figure of a server whose usual one is known.
    pub fn observe(&mut self, figure: u32, usual: u32, now: Millis) {
        let ratio = (figure as f32 / usual.max(1) as f32).clamp(1.0, MAX_PEAK);
        let slow = if ratio > SLOW_RATIO { 1.0 } else { 0.0 };
        self.slow_share += SHARE_WEIGHT * (slow - self.slow_share);
        if self.peak.is_none_or(|(peak, at)| ratio >= peak || at + PEAK_TTL_MS <= now) {
            self.peak = Some((ratio, now));
        }
    }

    /// The ratio of the slowest moments to the usual speed; 1 until one was seen.
    pub fn peak(&self, now: Millis) -> f32 {
        self.peak.filter(|(_, at)| at + PEAK_TTL_MS > now).map_or(1.0, |p| p.0)
    }

    /// The part of the time at which servers are slow.
    pub fn slow_share(&self) -> f32 {
        self.slow_share.clamp(MIN_SHARE, MAX_SHARE)
    }

    /// Adds the first report of a stream: its tokens, and the time that the prompt tokens before them took.
    pub fn record_first(&mut self, tokens: u32, read: Option<(f32, u32)>, usual: Option<u32>) {
        if tokens > 0 && (self.event_tokens == 0 || tokens < self.event_tokens) {
            self.event_tokens = tokens;
        }
        if let (Some((took_ms, ahead)), Some(usual)) = (read, usual)
            && ahead > 0
        {
            self.read.add(took_ms / ahead as f32 * 100.0 / usual.max(1) as f32);
        }
    }

    /// Adds the time between two reports of a stream on a server with a known usual figure.
    pub fn record_interval(&mut self, tokens: u32, took_ms: f32, usual: u32) {
        if self.event_tokens > 0 && tokens >= self.event_tokens {
            let events = tokens as f32 / self.event_tokens as f32;
            self.quiet.add(took_ms / events * 100.0 / usual.max(1) as f32);
        }
    }

    /// Adds the longest pause of a stream beside which a prompt was read.
    pub fn record_pause(&mut self, gap_ms: u32, usual: u32) {
        self.busy.add(gap_ms as f32 * 100.0 / usual.max(1) as f32);
    }

    /// Adds the longest pause of a stream beside which a prompt may have been read. Pauses that are hardly longer than an event
    /// without one are left out. Those of slow moments are longer than the quantile that is used.
    pub fn record_unexplained_pause(&mut self, gap_ms: u32, usual: u32) {
        let pause_ms = gap_ms as f32 * 100.0 / usual.max(1) as f32;
        let quiet_ms = self.quiet.quantile(STEP_QUANTILE);
        if quiet_ms.is_some_and(|quiet_ms| pause_ms >= quiet_ms * MIN_BUSY_RATIO) {
            self.busy.add(pause_ms);
        }
    }

    /// The times of one event; `None` until both have been measured.
    pub fn steps(&self) -> Option<Steps> {
        let quiet_ms = self.quiet.quantile(STEP_QUANTILE)?;
        let busy_ms = self.busy.quantile(STEP_QUANTILE)?;
        Some(Steps { quiet_ms, busy_ms: busy_ms.clamp(quiet_ms, quiet_ms * MAX_BUSY_RATIO) })
    }

    /// The time of a token at the usual speed, in milliseconds.
    pub fn token_ms(&self) -> Option<f32> {
        Some(self.quiet.quantile(STEP_QUANTILE)? / self.event_tokens() as f32)
    }

    /// The time to read a token of a prompt at the usual speed, in milliseconds.
    pub fn read_ms(&self) -> f32 {
        self.read.quantile(0.5).unwrap_or(DEFAULT_READ_MS).clamp(MIN_READ_MS, MAX_READ_MS)
    }

    /// The number of tokens in an event.
    pub fn event_tokens(&self) -> u32 {
        self.event_tokens.max(1)
    }
}

impl Speeds {
    /// Adds the figure of an answer of a server.
    pub fn observe(&mut self, model: Id, server: Id, figure: u32, now: Millis) {
        if self.servers.len() >= MAX_SERVERS && !self.servers.contains(&server) {
            return;
        }
        let tempo = self.servers.entry(server, Tempo::default);
        tempo.observe(figure, now);
        if let Some(usual) = tempo.usual(now)
            && let Some(model) = self.model_mut(model)
        {
            model.observe(figure, usual, now);
        }
    }

    /// Records the usual figure of a server according to its owner.
    pub fn told(&mut self, server: Id, usual: u32, now: Millis) {
        if usual > 0 && (self.servers.len() < MAX_SERVERS || self.servers.contains(&server)) {
            self.servers.entry(server, Tempo::default).told(usual, now);
        }
    }

    /// How long work usually takes on a server, in percent; `None` if that is not known.
    pub fn usual(&self, server: Id, now: Millis) -> Option<u32> {
        self.servers.get(&server)?.usual(now)
    }

    /// The time since something was last heard of a server's speed.
    pub fn age_ms(&self, server: Id, now: Millis) -> Option<Millis> {
        Some(self.servers.get(&server)?.age_ms(now))
    }

    /// What is known of a model.
    pub fn model(&self, model: Id) -> Option<&ModelTempo> {
        self.models.get(&model)
    }

    /// What is known of a model, to add to it; `None` if too many are tracked.
    pub fn model_mut(&mut self, model: Id) -> Option<&mut ModelTempo> {
        if self.models.len() >= MAX_MODELS && !self.models.contains(&model) {
            return None;
        }
        Some(self.models.entry(model, ModelTempo::default))
    }

    /// Whether nothing is known of any server.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Whether a server has sent an invalid figure before.
    pub fn sent_invalid(&self, server: Id) -> bool {
        self.invalid.binary_search(&server).is_ok()
    }

    /// Records that a server sent an invalid figure.
    pub fn mark_invalid(&mut self, server: Id) {
        if let Err(at) = self.invalid.binary_search(&server) {
            self.invalid.insert(at, server);
        }
    }

    /// Forgets a server, which has started again.
    pub fn forget(&mut self, server: Id) {
        self.servers.remove(&server);
    }

    /// Drops what is known of servers that are no longer declared.
    pub fn retain(&mut self, declared: impl Fn(Id) -> bool) {
        self.servers.retain(|server, _| declared(*server));
        self.invalid.retain(|server| declared(*server));
    }
}
