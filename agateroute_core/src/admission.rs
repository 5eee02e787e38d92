//! Selection of the next request for a backend server, and the check whether it has room for it.

use agateroute_proto::peers::{Ask, Offer, Quote};

use crate::catalog::Capacity;
use crate::controller::{Context, Controller, Running, Waiting};
use crate::cost::{self, Generation, Site};
use crate::estimate::{Class, Curve, Estimator};
use crate::id::{Id, Millis, mix};
use crate::memory::{self, Demand};
use crate::tempo::ModelTempo;

/// The number of ended generations of a kind after which their lengths are used instead of callers' hints.
const MIN_HISTORY_SAMPLES: f32 = 40.0;
/// The multiple of its share of the queue above which an organisation counts as over its share.
const OVER_SHARE_FACTOR: f64 = 2.0;
/// The time of a token at the usual speed until it has been measured, in milliseconds.
const DEFAULT_TOKEN_MS: f32 = 10.0;
/// A generation that has exceeded its expected length is taken to produce this part of it yet.
const OVERRUN_PART: f64 = 0.125;

/// Returns the position in the queue of the request that is served next.
pub fn select_next(controller: &Controller, ctx: &Context<'_>) -> Option<usize> {
    let mut ranks: Vec<u8> = controller.waiting.iter().map(|w| w.ask.rank as u8).collect();
    ranks.sort_unstable();
    ranks.dedup();
    let floor = |rank: u8| ctx.catalog.ranks.get(usize::from(rank)).map_or(0.0, |r| r.floor);
    let rank = controller.counters.next_rank(&ranks, floor)?;
    // Requests that can still meet their target go first, shorter targets before longer ones, then
    // the organisation with the least work done for its share. Where capacity is planned, its request whose
    // caller has the least time left goes first: one that returned does not wait behind later ones.
    let key_of = |waiting: &Waiting| {
        let counter = controller.counters.organisation(rank, waiting.ask.organisation);
        let planned = ctx.plans_capacity(waiting.ask.target);
        let until = if planned { controller.caller_until(waiting) } else { 0 };
        (has_missed(controller, waiting, ctx), waiting.ask.target_ms, counter, until)
    };
    let mut best: Option<(usize, (bool, u32, f64, Millis))> = None;
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

/// Whether a request has missed its target, or misses it even with a permit now, where capacity is planned.
pub fn has_missed(controller: &Controller, waiting: &Waiting, ctx: &Context<'_>) -> bool {
    let planned = ctx.plans_capacity(waiting.ask.target);
    let first_ms = controller.first_event.mean_ms().filter(|_| planned).unwrap_or(0);
    waiting.ask.target_ms > 0 && waiting.target_at <= ctx.now + first_ms
}

/// Whether the unprocessed prompts stay within the limit. A request in the queue can still go to
/// another server or be overtaken by a more urgent one, which is no longer possible on the engine.
fn prefill_fits(controller: &Controller, waiting: &Waiting, ctx: &Context<'_>) -> bool {
    let bound = ctx.catalog.routing().unread_tokens;
    let backlog = controller.prefill_backlog();
    bound == 0 || waiting.ask.moving || backlog == 0 || backlog + waiting.ask.prompt <= bound
}

/// Whether a request can start on the server now.
pub fn has_room(controller: &Controller, waiting: &Waiting, ctx: &Context<'_>) -> bool {
    fits(controller, waiting, ctx) && !held_back(controller, waiting, ctx)
}

/// Whether the prompt of a request would make streams late that run on the server, or its own stream would be late there, and
/// the request can still wait.
fn held_back(controller: &Controller, waiting: &Waiting, ctx: &Context<'_>) -> bool {
    let ask = &waiting.ask;
    let hold_ms = ask.target_left_ms / cost::HOLD_DIVISOR;
    let may_wait = ctx.now < waiting.queued_at + u64::from(hold_ms);
    if ask.gap_ms == 0 || !(may_wait || ask.moving) {
        return false;
    }
    let streams = stream_gaps(controller);
    let site = site(controller, ask.target, &streams, ctx);
    if ask.moving {
        return cost::copy_harms(&site, ask.gap_ms);
    }
    cost::holds_back(&site, &generation(controller, ask, ctx))
}

/// The pauses for which the running streams are on time.
fn stream_gaps(controller: &Controller) -> Vec<u32> {
    controller.running.iter().map(|r| r.gap_ms).filter(|gap_ms| *gap_ms > 0).collect()
}

fn site<'a>(controller: &Controller, model: Id, streams: &'a [u32], ctx: &Context<'_>) -> Site<'a> {
    let unknown = ModelTempo::default();
    let tempo = ctx.speeds.model(model).unwrap_or(&unknown);
    let usual = ctx.speeds.usual(controller.server, ctx.now);
    Site {
        usual: usual.unwrap_or(100),
        peak: tempo.peak(ctx.now),
        slow_share: tempo.slow_share(),
        steps: usual.and_then(|_| tempo.steps()),
        read_ms: tempo.read_ms(),
        unread: controller.prefill_backlog(),
        streams,
        wait_ms: 0.0,
    }
}

fn generation(controller: &Controller, ask: &Ask, ctx: &Context<'_>) -> Generation {
    let class = Class { model: ask.target, kind: ask.kind, organisation: ask.organisation };
    let mean =
        curve(ctx.estimator, class, ask.hint).map_or_else(|| Curve::prior().mean(), Curve::mean);
    let event_tokens = ctx.speeds.model(ask.target).map_or(1, ModelTempo::event_tokens);
    let memory = match controller.capacity {
        Capacity::Engine { memory, .. } => memory,
        Capacity::Slots { .. } => 0,
    };
    let cached = controller.is_cached(ask.prefix);
    let prompt = if ask.moving { 0 } else { ask.prompt };
    Generation {
        prompt,
        kept: controller.kept.expected_tokens(&ask.parts, memory, cached).min(prompt as f32),
        events: mean.min(token_limit(ask.most)) / event_tokens as f32,
        gap_ms: ask.gap_ms,
        target_ms: ask.target_left_ms,
    }
}

/// Answers what a generation would cost at the server.
pub fn offer(controller: &Controller, quote: Quote, ctx: &Context<'_>) -> Offer {
    let (request, server) = (quote.request, quote.server);
    let pressure = controller.pressure();
    let slowness = ctx.speeds.usual(server, ctx.now);
    if controller.closed {
        return Offer { request, server, pressure, slowness, ..Offer::default() };
    }
    let ask = Ask {
        request,
        server,
        organisation: quote.organisation,
        target: quote.target,
        kind: quote.kind,
        rank: quote.rank,
        prompt: quote.prompt,
        most: quote.most,
        hint: quote.hint,
        prefix: quote.parts.iter().fold(0, |hash, part| mix(hash, part.part)),
        gap_ms: quote.gap_ms,
        target_left_ms: quote.target_left_ms,
        parts: quote.parts,
        moving: quote.moving,
        ..Ask::default()
    };
    let generation = generation(controller, &ask, ctx);
    let streams = stream_gaps(controller);
    let site = site(controller, ask.target, &streams, ctx);
    let waiting = Waiting { peer: 0, ask, deadline: 0, target_at: 0, queued_at: ctx.now };
    let held_back = held_back(controller, &waiting, ctx);
    if held_back && waiting.ask.moving {
        return Offer { request, server, pressure, slowness, ..Offer::default() };
    }
    let held_ms = match held_back {
        true => (quote.target_left_ms / cost::HOLD_DIVISOR) as f32,
        false => 0.0,
    };
    let wait_ms = predicted_wait_ms(controller, &waiting, &site, ctx).max(held_ms);
    let cost = cost::cost(&Site { wait_ms, ..site }, &generation);
    let (cost_ms, saved_ms) = (Some(cost.total_ms()), cost.saved_ms as u32);
    Offer { request, server, cost_ms, pressure, slowness, saved_ms }
}

/// How long a request would wait for room: until running generations have freed what it and those before it need, and the
/// prompts are read that have to be.
fn predicted_wait_ms(
    controller: &Controller,
    waiting: &Waiting,
    site: &Site<'_>,
    ctx: &Context<'_>,
) -> f32 {
    if controller.waiting.is_empty() && fits(controller, waiting, ctx) {
        return 0.0;
    }
    let speed = site.usual as f32 / 100.0;
    let reading_ms = match prefill_fits(controller, waiting, ctx) {
        true => 0.0,
        false => site.unread as f32 * site.read_ms * speed,
    };
    let ends = expected_ends(controller, waiting.ask.target, speed, ctx);
    let ahead: u32 = controller.waiting.iter().map(|w| w.ask.prompt).sum();
    let needed = ahead + waiting.ask.prompt;
    let mut freed = 0;
    let mut room_ms = 0.0;
    for (end_ms, held) in ends {
        room_ms = end_ms;
        freed += held;
        if freed >= needed {
            break;
        }
    }
    let pace_ms = controller.pace.map_or(0.0, |p| p.wait_ms(controller.waiting.len() as f64 + 1.0));
    room_ms.max(reading_ms).max(pace_ms as f32)
}

/// When the running generations are expected to end, in milliseconds from now, and what each holds, in tokens.
fn expected_ends(
    controller: &Controller,
    model: Id,
    speed: f32,
    ctx: &Context<'_>,
) -> Vec<(f32, u32)> {
    let tempo = ctx.speeds.model(model);
    let token_ms = tempo.and_then(ModelTempo::token_ms).unwrap_or(DEFAULT_TOKEN_MS) * speed;
    let mut ends: Vec<(f32, u32)> = controller
        .running
        .iter()
        .map(|r| {
            let expected = expected_tokens(ctx.estimator, r.class, r.max_tokens);
            let left = (expected - f64::from(r.tokens)).max(expected * OVERRUN_PART) as f32;
            (left * token_ms, r.prompt + r.tokens)
        })
        .collect();
    ends.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    ends
}

/// When the running generations of an engine are expected to end, in milliseconds from now, sorted. Plain calls have no
/// expected length.
pub fn ends_ms(controller: &Controller, model: Id, ctx: &Context<'_>) -> Vec<f32> {
    if matches!(controller.capacity, Capacity::Slots { .. }) {
        return Vec::new();
    }
    let speed = ctx.speeds.usual(controller.server, ctx.now).unwrap_or(100) as f32 / 100.0;
    let ends = expected_ends(controller, model, speed, ctx);
    ends.into_iter().map(|(end_ms, _)| end_ms).collect()
}

/// Whether a request has room on the server now.
fn fits(controller: &Controller, waiting: &Waiting, ctx: &Context<'_>) -> bool {
    let places = match controller.capacity {
        Capacity::Engine { batch, .. } => batch as usize,
        Capacity::Slots { .. } => controller.limit.allowed(),
    };
    if !controller.has_credit() || !controller.brittle_has_room(places, ctx.now) {
        return false;
    }
    if controller.running.is_empty() {
        return controller.foreign_load(ctx.now) == 0 || !waiting.ask.alone;
    }
    if waiting.ask.alone || controller.running.iter().any(|r| r.alone) {
        return false;
    }
    // A second copy would queue on the server's link while its generation is paused.
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

/// The distribution of output lengths. The caller's hint is used until enough generations of the
/// kind have ended, since the first ones to end are the short ones.
fn curve(estimator: &Estimator, class: Class, hint: u32) -> Option<&Curve> {
    if hint > 0 && estimator.samples(class) < MIN_HISTORY_SAMPLES {
        return Some(Curve::from_hint(hint));
    }
    estimator.curve(class)
}

/// The prompt tokens that are not shared with one of the `before` requests. A common prefix counts
/// once if the engine reports it as cached. All prefixes have the same length.
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

/// The expected number of output tokens.
pub fn expected_tokens(estimator: &Estimator, class: Class, max_tokens: u32) -> f64 {
    let mean = estimator.curve(class).map_or_else(|| Curve::prior().mean(), Curve::mean);
    f64::from(mean.min(token_limit(max_tokens)))
}

/// Estimates how many requests are served up to and including a new one: all of more urgent ranks,
/// and in its own rank as many of each other organisation as its own has in the queue, weighted by
/// share.
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

/// The place in the queue at which a request is served, 1 for the next one, if one leaves every `interval_ms` milliseconds. Where
/// it is in doubt, the lower one is returned, since a request that is denied for a place that it does not have is lost.
///
/// Requests that have missed their target go behind all others. They count only if the request misses its own target before its
/// turn. A rank with a floor waits for no more than the part of the work that the floor leaves to others.
pub fn place(
    controller: &Controller,
    waiting: &Waiting,
    interval_ms: f64,
    ctx: &Context<'_>,
) -> f64 {
    let ask = &waiting.ask;
    let urgent = controller.waiting.iter().filter(|w| w.ask.rank < ask.rank).count() as f64;
    let until = controller.caller_until(waiting);
    let in_rank = |late: bool| {
        let before: Vec<&Waiting> = same_rank(controller, ask.rank)
            .filter(|w| {
                w.ask.target_ms <= ask.target_ms && (late || !has_missed(controller, w, ctx))
            })
            .collect();
        let count = |organisation: Id| {
            before.iter().filter(|w| w.ask.organisation == organisation).count() as f64
        };
        let earlier = before.iter().filter(|w| {
            w.ask.organisation == ask.organisation && controller.caller_until(w) <= until
        });
        let own = earlier.count() as f64 + 1.0;
        let share = ctx.catalog.share(ask.organisation);
        let mut others: Vec<Id> = before.iter().map(|w| w.ask.organisation).collect();
        others.sort_unstable();
        others.dedup();
        others.retain(|o| *o != ask.organisation);
        let served = |o: &Id| count(*o).min(own * ctx.catalog.share(*o) / share);
        own + others.iter().map(served).sum::<f64>()
    };
    let floor = ctx.catalog.ranks.get(ask.rank as usize).map_or(0.0, |r| r.floor);
    let place = |in_rank: f64| match floor > 0.0 {
        true => (urgent + in_rank).min(in_rank / floor),
        false => urgent + in_rank,
    };
    let first = place(in_rank(false));
    let in_time = ask.target_ms == 0 || first * interval_ms <= f64::from(ask.target_left_ms);
    if in_time { first } else { place(in_rank(true)) }
}

/// Whether an organisation has far more requests in the queue of its rank than its share.
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
