//! Which waiting request goes next on a backend server, and whether there is room for it.

use agateroute_proto::peers::Ask;

use crate::catalog::Capacity;
use crate::controller::{Context, Controller, Running, Waiting};
use crate::estimate::{Class, Curve, Estimator};
use crate::id::Id;
use crate::memory::{self, Demand};

/// The samples of a class from which on it is known better than its callers guess.
const MIN_HISTORY_SAMPLES: f32 = 40.0;
/// How far above its even part of the queue an organisation may be before it counts as asking for more
/// than it is owed.
const OVER_SHARE_FACTOR: f64 = 2.0;

/// The position of the waiting request that goes next.
pub fn select_next(controller: &Controller, ctx: &Context<'_>) -> Option<usize> {
    let mut ranks: Vec<u8> = controller.waiting.iter().map(|w| w.ask.rank as u8).collect();
    ranks.sort_unstable();
    ranks.dedup();
    let floor = |rank: u8| ctx.catalog.ranks.get(usize::from(rank)).map_or(0.0, |r| r.floor);
    let rank = controller.counters.next_rank(&ranks, floor)?;
    // What can still meet its target goes before what can not, the shorter target first, and then the
    // organisation that was given least.
    let key_of = |waiting: &Waiting| {
        let missed = waiting.ask.target_ms > 0 && waiting.target_at <= ctx.now;
        let counter = controller.counters.organisation(rank, waiting.ask.organisation);
        (missed, waiting.ask.target_ms, counter)
    };
    let mut best: Option<(usize, (bool, u32, f64))> = None;
    for (i, waiting) in controller.waiting.iter().enumerate() {
        if waiting.ask.rank != u32::from(rank) {
            continue;
        }
        let key = key_of(waiting);
        if best.is_none_or(|(_, lowest)| key < lowest) {
            best = Some((i, key));
        }
    }
    best.map(|(i, _)| i)
}

/// Whether a prompt is read soon enough behind those that were permitted before it. What waits here can
/// still go elsewhere, or behind something more urgent.
fn prefill_fits(controller: &Controller, waiting: &Waiting, ctx: &Context<'_>) -> bool {
    let bound = ctx.catalog.routing().unread_tokens;
    let backlog = controller.prefill_backlog();
    bound == 0 || waiting.ask.moving || backlog == 0 || backlog + waiting.ask.prompt <= bound
}

/// Whether a request can start now.
pub fn has_room(controller: &Controller, waiting: &Waiting, ctx: &Context<'_>) -> bool {
    if controller.running.is_empty() {
        return controller.foreign_load(ctx.now) == 0 || !waiting.ask.alone;
    }
    if waiting.ask.alone || controller.running.iter().any(|r| r.alone) {
        return false;
    }
    // Copies to one server would queue on its link, and the generations pause for it.
    if waiting.ask.moving && controller.running.iter().any(|r| r.moving) {
        return false;
    }
    let fraction = match controller.is_cautious(ctx.now) {
        true => f64::from(ctx.catalog.routing().fallback_percent) / 100.0,
        false => 1.0,
    };
    match controller.capacity {
        Capacity::Engine { memory, batch } => {
            let batch = (f64::from(batch) * fraction).max(1.0) as usize;
            let running = controller.running.len() + controller.foreign_running(ctx.now);
            running < batch
                && prefill_fits(controller, waiting, ctx)
                && memory_fits(controller, waiting, memory as f64 * fraction, ctx)
        }
        Capacity::Slots { .. } => {
            let allowed = (controller.limit.allowed() as f64 * fraction).max(1.0) as usize;
            controller.running.len() + (controller.foreign_load(ctx.now) as usize) < allowed
        }
    }
}

fn memory_fits(controller: &Controller, waiting: &Waiting, memory: f64, ctx: &Context<'_>) -> bool {
    let prior = Curve::prior();
    let ask = &waiting.ask;
    let running = controller.running.iter().enumerate().map(|(i, r)| Demand {
        prompt: unshared_prompt(controller, r.prompt, r.prefix, ask, &controller.running[..i]),
        generated: r.tokens as f32,
        max_tokens: token_limit(r.max_tokens),
        curve: curve(ctx.estimator, r.class, r.hint).unwrap_or(&prior),
    });
    let class = Class { model: ask.target, kind: ask.kind, organisation: ask.organisation };
    let added = Demand {
        prompt: unshared_prompt(controller, ask.prompt, ask.prefix, ask, &controller.running),
        generated: 0.0,
        max_tokens: token_limit(ask.most),
        curve: curve(ctx.estimator, class, ask.hint).unwrap_or(&prior),
    };
    let peak = memory::peak(running.chain([added]), controller.deviations);
    f64::from(peak) + controller.foreign_load(ctx.now) as f64 <= memory
}

/// How long a generation runs. Until enough of its class have ended, the guess of its caller counts: the
/// first that end are the short ones.
fn curve(estimator: &Estimator, class: Class, hint: u32) -> Option<&Curve> {
    if hint > 0 && estimator.samples(class) < MIN_HISTORY_SAMPLES {
        return Some(Curve::from_hint(hint));
    }
    estimator.curve(class)
}

/// The tokens of a prompt that are not held by one of `before` already. A prefix counts once when the
/// engine says that it is cached. All prefixes are of the same length.
fn unshared_prompt(
    controller: &Controller,
    prompt: u32,
    prefix: u64,
    ask: &Ask,
    before: &[Running],
) -> f32 {
    let shared = controller.is_cached(prefix) && before.iter().any(|r| r.prefix == prefix);
    let unshared = if shared { prompt.saturating_sub(ask.shared) } else { prompt };
    unshared as f32
}

fn token_limit(max_tokens: u32) -> f32 {
    if max_tokens == 0 { f32::INFINITY } else { max_tokens as f32 }
}

/// The tokens that a generation is expected to produce.
pub fn expected_tokens(estimator: &Estimator, class: Class, max_tokens: u32) -> f64 {
    let mean = estimator.curve(class).map_or_else(|| Curve::prior().mean(), Curve::mean);
    f64::from(mean.min(token_limit(max_tokens)))
}

/// About how many requests get their permit before an ask that comes now: everything of more
/// urgent ranks, and of its own rank as many for each other organisation as its own organisation has waiting,
/// weighted by what they are owed.
pub fn requests_ahead(controller: &Controller, ask: &Ask, ctx: &Context<'_>) -> f64 {
    let urgent = controller.waiting.iter().filter(|w| w.ask.rank < ask.rank).count() as f64;
    let own = waiting_count(controller, ask.rank, ask.organisation) + 1.0;
    let share = ctx.catalog.share(ask.organisation);
    let mut others: Vec<Id> = same_rank(controller, ask.rank).map(|w| w.ask.organisation).collect();
    others.sort_unstable();
    others.dedup();
    others.retain(|o| *o != ask.organisation);
    let before = others.iter().map(|o| {
        let served = own * ctx.catalog.share(*o) / share;
        waiting_count(controller, ask.rank, *o).min(served)
    });
    urgent + own + before.sum::<f64>()
}

/// Whether an organisation has far more waiting than the others for what it is owed.
pub fn over_share(controller: &Controller, ask: &Ask, ctx: &Context<'_>) -> bool {
    let total = same_rank(controller, ask.rank).count() as f64;
    let mut organisations: Vec<Id> =
        same_rank(controller, ask.rank).map(|w| w.ask.organisation).collect();
    organisations.push(ask.organisation);
    organisations.sort_unstable();
    organisations.dedup();
    if organisations.len() < 2 {
        return false;
    }
    let total_share: f64 = organisations.iter().map(|o| ctx.catalog.share(*o)).sum();
    let fair_part = total * ctx.catalog.share(ask.organisation) / total_share;
    waiting_count(controller, ask.rank, ask.organisation) > OVER_SHARE_FACTOR * fair_part
}

fn same_rank(controller: &Controller, rank: u32) -> impl Iterator<Item = &Waiting> {
    controller.waiting.iter().filter(move |w| w.ask.rank == rank)
}

fn waiting_count(controller: &Controller, rank: u32, organisation: Id) -> f64 {
    same_rank(controller, rank).filter(|w| w.ask.organisation == organisation).count() as f64
}
