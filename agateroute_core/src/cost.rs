//! The cost of one generation at one server, in milliseconds.
//!
//! The cost is the time until the first event, the expected lateness of the generation itself and of the streams that run
//! beside it, and a part of the time that its events take. A pause above the target makes a whole stream late, which costs
//! as much as a first event that misses its target. See `docs/design/server-speed.md`.

use crate::tempo::Steps;

/// A predicted pause counts as too long with certainty from this part of the target on. The times are learned and off by some
/// percent, and a pause that is too long by 1 ms makes the stream late.
pub const CERTAIN_PAUSE: f32 = 0.98;
/// A predicted pause below this part of the target counts as harmless.
pub const HARMLESS_PAUSE: f32 = 0.80;
/// A first event that is expected within this part of its target is in time: requests that come meanwhile are read before it or
/// beside it.
pub const SAFE_FIRST: f32 = 0.4;
/// A first event that is expected after this part of its target is late with certainty.
pub const LATE_FIRST: f32 = 0.9;
/// The chance of a too long pause from which an owner holds a permit back.
pub const HOLD_CHANCE: f32 = 0.5;
/// The part of the remaining target for which a permit may be held back. In a crowd a first event takes 60 percent of its target
/// without any wait, and the cost steers requests away already.
pub const HOLD_DIVISOR: u32 = 12;
/// The part of the remaining target for which the cheapest server may be waited for before a dearer one is asked as well. With
/// a third, 5 percent of the long generations missed the target for their first event, and no fewer streams had a late pause.
pub const PATIENCE_DIVISOR: u64 = 6;
/// How long a server stays slow when it gets slow, in milliseconds.
pub const SLOW_MS: f32 = 600.0;
/// The mean time between prompts that are read beside a stream, in milliseconds. With the rule of admission they are rare on
/// servers where they harm.
pub const PROMPT_INTERVAL_MS: f32 = 4_000.0;
/// The weight of the time that the events of a generation take, beside the time until its first event: it holds memory that
/// others wait for, and is lost if its server or instance goes meanwhile.
pub const DECODE_WEIGHT: f32 = 0.3;
/// The least cost of a late stream, in milliseconds; for resumed and moved streams nothing is left of the target.
pub const MIN_LATE_MS: u32 = 1_000;
/// The cost of a move into another availability zone, in milliseconds: the copy takes twice as long.
pub const CROSS_ZONE_MS: u32 = 600;

/// What the owner of a server knows of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Site<'a> {
    /// How long work usually takes there, in percent.
    pub usual: u32,
    /// The ratio of the slowest moments to the usual speed.
    pub peak: f32,
    /// The part of the time at which the server is slow.
    pub slow_share: f32,
    /// The times of one event at the usual speed, if they are known.
    pub steps: Option<Steps>,
    /// The time to read a token at the usual speed, in milliseconds.
    pub read_ms: f32,
    /// The prompt tokens that are not read yet.
    pub unread: u32,
    /// The pauses for which each running stream is on time, in milliseconds.
    pub streams: &'a [u32],
    /// How long a new request would wait for its permit, in milliseconds.
    pub wait_ms: f32,
}

/// A generation that needs a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Generation {
    /// The length of the prompt, in tokens; 0 if its memory is copied.
    pub prompt: u32,
    /// The expected number of these tokens that the server still holds.
    pub kept: f32,
    /// The expected number of events.
    pub events: f32,
    /// The longest pause for which it is on time, in milliseconds; 0 if there is none.
    pub gap_ms: u32,
    /// What is left of the target for its first event, in milliseconds.
    pub target_ms: u32,
}

/// The cost of a generation by its causes, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Until its permit.
    pub wait_ms: f32,
    /// Until its prompt is read.
    pub reading_ms: f32,
    /// The part of the reading time that a kept prefix saves; already subtracted.
    pub saved_ms: f32,
    /// The expected lateness of its own events.
    pub own_late_ms: f32,
    /// The expected lateness of the streams that run beside it.
    pub others_late_ms: f32,
    /// The weighted time of its events.
    pub decode_ms: f32,
}

impl Cost {
    /// The sum of all parts.
    pub fn total_ms(&self) -> u32 {
        let total = self.wait_ms
            + self.reading_ms
            + self.own_late_ms
            + self.others_late_ms
            + self.decode_ms;
        total.clamp(0.0, u32::MAX as f32) as u32
    }
}

/// The chance that a pause is longer than the target.
fn too_long(pause_ms: f32, gap_ms: u32) -> f32 {
    if gap_ms == 0 {
        return 0.0;
    }
    let part = pause_ms / gap_ms as f32;
    ((part - HARMLESS_PAUSE) / (CERTAIN_PAUSE - HARMLESS_PAUSE)).clamp(0.0, 1.0)
}

/// The chance that a server is slow at some moment of a time.
fn slow_within(site: &Site<'_>, ms: f32) -> f32 {
    1.0 - (1.0 - site.slow_share).powf(ms / SLOW_MS)
}

/// The chances that a prompt makes a stream beside it late: at the usual speed, and in a slow moment. What makes the stream
/// late without the prompt is not counted.
fn harm(site: &Site<'_>, gap_ms: u32) -> (f32, f32) {
    let Some(steps) = site.steps else { return (0.0, 0.0) };
    let at = |step_ms: f32, factor: f32| step_ms * factor * site.usual as f32 / 100.0;
    let added = |factor: f32| {
        let busy = too_long(at(steps.busy_ms, factor), gap_ms);
        (busy - too_long(at(steps.quiet_ms, factor), gap_ms)).max(0.0)
    };
    (added(1.0), added(site.peak))
}

/// The chance that the events of a generation have a pause that is too long.
fn own_lateness(site: &Site<'_>, generation: &Generation) -> f32 {
    let Some(steps) = site.steps else { return 0.0 };
    let event_ms = steps.quiet_ms * site.usual as f32 / 100.0;
    let life_ms = (generation.events - 1.0).max(0.0) * event_ms;
    if life_ms == 0.0 {
        return 0.0;
    }
    let usual = too_long(event_ms, generation.gap_ms);
    let slow = too_long(event_ms * site.peak, generation.gap_ms) * slow_within(site, life_ms);
    let (busy, busy_and_slow) = harm(site, generation.gap_ms);
    let prompts = life_ms / PROMPT_INTERVAL_MS;
    let read_beside = 1.0 - (-prompts).exp();
    let both = 1.0 - (1.0 - site.slow_share).powf(prompts);
    usual.max(slow).max(busy * read_beside).max(busy_and_slow * both)
}

/// The chance that the first event misses its target, if it takes this time at the usual speed.
fn first_lateness(site: &Site<'_>, generation: &Generation, first_ms: f32) -> f32 {
    if generation.target_ms == 0 {
        return 0.0;
    }
    let expected_ms = first_ms * (1.0 + site.slow_share * (site.peak - 1.0));
    let part = expected_ms / generation.target_ms as f32;
    ((part - SAFE_FIRST) / (LATE_FIRST - SAFE_FIRST)).clamp(0.0, 1.0)
}

/// The cost of a generation at a server.
pub fn cost(site: &Site<'_>, generation: &Generation) -> Cost {
    let speed = site.usual as f32 / 100.0;
    let late_ms = generation.target_ms.max(MIN_LATE_MS) as f32;
    let own = (generation.prompt as f32 - generation.kept).max(0.0);
    let own_ms = own * site.read_ms * speed;
    let ahead_ms =
        if generation.prompt == 0 { 0.0 } else { site.unread as f32 * site.read_ms * speed };
    let saved_ms = (generation.prompt as f32 - own) * site.read_ms * speed;
    let others = match generation.prompt {
        0 => 0.0,
        _ => site.streams.iter().map(|gap_ms| beside(site, *gap_ms, own_ms)).sum(),
    };
    let quiet_ms = site.steps.map_or(0.0, |s| s.quiet_ms);
    let first = first_lateness(site, generation, site.wait_ms + ahead_ms + own_ms);
    let own_late = own_lateness(site, generation).max(first);
    Cost {
        wait_ms: site.wait_ms,
        reading_ms: ahead_ms + own_ms,
        saved_ms,
        own_late_ms: own_late * late_ms,
        others_late_ms: others * late_ms,
        decode_ms: generation.events * quiet_ms * speed * DECODE_WEIGHT,
    }
}

/// The chance that a prompt which is read for this time makes a stream late.
fn beside(site: &Site<'_>, gap_ms: u32, reading_ms: f32) -> f32 {
    let (usual, slow) = harm(site, gap_ms);
    usual.max(slow * slow_within(site, SLOW_MS + reading_ms))
}

/// Whether an owner holds a permit back while the request can still wait: its prompt would make streams late that run on
/// the server, or most of its own events would be late.
pub fn holds_back(site: &Site<'_>, generation: &Generation) -> bool {
    let harms = |gap_ms: &u32| {
        let (usual, slow) = harm(site, *gap_ms);
        usual.max(slow) >= HOLD_CHANCE
    };
    let event_ms = site.steps.map_or(0.0, |s| s.quiet_ms) * site.usual as f32 / 100.0;
    let own = generation.events > 1.0 && too_long(event_ms, generation.gap_ms) >= HOLD_CHANCE;
    own || generation.prompt > 0 && site.streams.iter().any(harms)
}

/// Whether a server is no destination of a copy: one more stream in its batch, which the copy occupies from its start, lengthens
/// events that are as long as a stream there, or the moved one, allows already.
pub fn copy_harms(site: &Site<'_>, gap_ms: u32) -> bool {
    let event_ms = site.steps.map_or(0.0, |s| s.quiet_ms) * site.usual as f32 / 100.0;
    let is_late = |gap_ms: &u32| too_long(event_ms, *gap_ms) >= HOLD_CHANCE;
    is_late(&gap_ms) || site.streams.iter().any(is_late)
}
