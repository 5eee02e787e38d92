//! Which waiting request goes next on a backend server, and whether there is room for it.

use agateroute_proto::peers::Ask;

use crate::catalog::Capacity;
use crate::desk::{Desk, Held, Surroundings, Waiting};
use crate::estimate::{Class, Curve, Estimator};
use crate::id::Id;
use crate::memory::{self, Load};

/// The samples of a class from which on it is known better than its callers guess.
const KNOWN_SAMPLES: f32 = 40.0;
/// How far above its even part of the queue an organisation may be before it counts as asking for more
/// than it is owed.
const OVER_SHARE_FACTOR: f64 = 2.0;

/// The position of the waiting request that goes next.
pub fn next(desk: &Desk, around: &Surroundings<'_>) -> Option<usize> {
    let mut ranks: Vec<u8> = desk.waiting.iter().map(|w| w.ask.rank as u8).collect();
    ranks.sort_unstable();
    ranks.dedup();
    let floor = |rank: u8| around.catalog.ranks.get(usize::from(rank)).map_or(0.0, |r| r.floor);
    let rank = desk.counters.next_rank(&ranks, floor)?;
    // What can still meet its target goes before what can not, the shorter target first, and then the
    // organisation that was given least.
    let place = |waiting: &Waiting| {
        let missed = waiting.ask.target_ms > 0 && waiting.target <= around.now;
        let counter = desk.counters.organisation(rank, waiting.ask.organisation);
        (missed, waiting.ask.target_ms, counter)
    };
    let mut best: Option<(usize, (bool, u32, f64))> = None;
    for (i, waiting) in desk.waiting.iter().enumerate() {
        if waiting.ask.rank != u32::from(rank) {
            continue;
        }
        let place = place(waiting);
        if best.is_none_or(|(_, least)| place < least) {
            best = Some((i, place));
        }
    }
    best.map(|(i, _)| i)
}

/// Whether a prompt is read soon enough behind those that were permitted before it. What waits here can
/// still go elsewhere, or behind something more urgent.
fn read_soon(desk: &Desk, waiting: &Waiting, around: &Surroundings<'_>) -> bool {
    let most = around.catalog.routing().unread_tokens;
    let unread = desk.unread();
    most == 0 || waiting.ask.moving || unread == 0 || unread + waiting.ask.prompt <= most
}

/// Whether a request can start now.
pub fn room(desk: &Desk, waiting: &Waiting, around: &Surroundings<'_>) -> bool {
    if desk.running.is_empty() {
        return desk.foreign(around.now) == 0 || !waiting.ask.alone;
    }
    if waiting.ask.alone || desk.running.iter().any(|h| h.alone) {
        return false;
    }
    // Copies to one server would queue on its link, and the generations pause for it.
    if waiting.ask.moving && desk.running.iter().any(|h| h.moving) {
        return false;
    }
    let part = match desk.cautious(around.now) {
        true => f64::from(around.catalog.routing().fallback_percent) / 100.0,
        false => 1.0,
    };
    match desk.capacity {
        Capacity::Engine { memory, batch } => {
            let batch = (f64::from(batch) * part).max(1.0) as usize;
            let running = desk.running.len() + desk.foreign_running(around.now);
            running < batch
                && read_soon(desk, waiting, around)
                && memory_room(desk, waiting, memory as f64 * part, around)
        }
        Capacity::Slots { .. } => {
            let allowed = (desk.limit.allowed() as f64 * part).max(1.0) as usize;
            desk.running.len() + (desk.foreign(around.now) as usize) < allowed
        }
    }
}

fn memory_room(desk: &Desk, waiting: &Waiting, memory: f64, around: &Surroundings<'_>) -> bool {
    let prior = Curve::prior();
    let ask = &waiting.ask;
    let running = desk.running.iter().enumerate().map(|(i, held)| Load {
        prompt: own_prompt(desk, held.prompt, held.prefix, ask, &desk.running[..i]),
        done: held.tokens as f32,
        most: most_tokens(held.most),
        curve: curve(around.estimator, held.class, held.hint).unwrap_or(&prior),
    });
    let class = Class { model: ask.target, kind: ask.kind, organisation: ask.organisation };
    let added = Load {
        prompt: own_prompt(desk, ask.prompt, ask.prefix, ask, &desk.running),
        done: 0.0,
        most: most_tokens(ask.most),
        curve: curve(around.estimator, class, ask.hint).unwrap_or(&prior),
    };
    let peak = memory::peak(running.chain([added]), desk.deviations);
    f64::from(peak) + desk.foreign(around.now) as f64 <= memory
}

/// How long a generation runs. Until enough of its class have ended, the guess of its caller counts: the
/// first that end are the short ones.
fn curve(estimator: &Estimator, class: Class, hint: u32) -> Option<&Curve> {
    if hint > 0 && estimator.samples(class) < KNOWN_SAMPLES {
        return Some(Curve::around(hint));
    }
    estimator.curve(class)
}

/// The tokens of a prompt that are not held by one of `before` already. A prefix counts once when the
/// engine says that it is cached. All prefixes are of the same length.
fn own_prompt(desk: &Desk, prompt: u32, prefix: u64, ask: &Ask, before: &[Held]) -> f32 {
    let shared = desk.shares(prefix) && before.iter().any(|h| h.prefix == prefix);
    let own = if shared { prompt.saturating_sub(ask.shared) } else { prompt };
    own as f32
}

fn most_tokens(most: u32) -> f32 {
    if most == 0 { f32::INFINITY } else { most as f32 }
}

/// The tokens that a generation is expected to produce.
pub fn expected(estimator: &Estimator, class: Class, most: u32) -> f64 {
    let mean = estimator.curve(class).map_or_else(|| Curve::prior().mean(), Curve::mean);
    f64::from(mean.min(most_tokens(most)))
}

/// About how many requests get their permit before an ask that comes now: everything of more
/// urgent ranks, and of its own rank as many for each other organisation as its own organisation has waiting,
/// weighted by what they are owed.
pub fn ahead(desk: &Desk, ask: &Ask, around: &Surroundings<'_>) -> f64 {
    let urgent = desk.waiting.iter().filter(|w| w.ask.rank < ask.rank).count() as f64;
    let own = waiting_of(desk, ask.rank, ask.organisation) + 1.0;
    let share = around.catalog.share(ask.organisation);
    let mut others: Vec<Id> = same_rank(desk, ask.rank).map(|w| w.ask.organisation).collect();
    others.sort_unstable();
    others.dedup();
    others.retain(|m| *m != ask.organisation);
    let before = others.iter().map(|m| {
        let turns = own * around.catalog.share(*m) / share;
        waiting_of(desk, ask.rank, *m).min(turns)
    });
    urgent + own + before.sum::<f64>()
}

/// Whether an organisation has far more waiting than the others for what it is owed.
pub fn over_share(desk: &Desk, ask: &Ask, around: &Surroundings<'_>) -> bool {
    let total = same_rank(desk, ask.rank).count() as f64;
    let mut organisations: Vec<Id> =
        same_rank(desk, ask.rank).map(|w| w.ask.organisation).collect();
    organisations.push(ask.organisation);
    organisations.sort_unstable();
    organisations.dedup();
    if organisations.len() < 2 {
        return false;
    }
    let owed: f64 = organisations.iter().map(|m| around.catalog.share(*m)).sum();
    let even = total * around.catalog.share(ask.organisation) / owed;
    waiting_of(desk, ask.rank, ask.organisation) > OVER_SHARE_FACTOR * even
}

fn same_rank(desk: &Desk, rank: u32) -> impl Iterator<Item = &Waiting> {
    desk.waiting.iter().filter(move |w| w.ask.rank == rank)
}

fn waiting_of(desk: &Desk, rank: u32, organisation: Id) -> f64 {
    same_rank(desk, rank).filter(|w| w.ask.organisation == organisation).count() as f64
}
