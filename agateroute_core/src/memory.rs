//! Whether a set of generations of unknown length fits an engine's memory.
//!
//! A generation that still runs after `t` more steps holds its prompt, its tokens and `t` more. The
//! memory in use at `t` is a sum over generations that may have ended by then; its mean plus a
//! number of deviations has to stay under the capacity at every horizon. See `docs/DESIGN.md`,
//! "Memory admission".

use crate::estimate::Curve;

/// The horizons that are looked at, in tokens from now.
const HORIZONS: [f32; 10] = [0.0, 16.0, 64.0, 128.0, 256.0, 512.0, 1024.0, 2048.0, 4096.0, 8192.0];

/// A generation as memory admission sees it.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// The prompt that is not shared with others, in tokens.
    pub prompt: f32,
    /// The tokens generated.
    pub generated: f32,
    /// The most tokens that the caller wants, or infinity.
    pub max_tokens: f32,
    /// How long generations of its class run.
    pub curve: &'a Curve,
}

/// The highest mean plus `deviations` standard deviations over all horizons, in tokens, and never
/// more than all generations together can hold there.
pub fn peak<'a>(demands: impl Iterator<Item = Demand<'a>>, deviations: f32) -> f32 {
    let mut sums = [Sum::default(); HORIZONS.len()];
    for demand in demands {
        add_demand(&demand, &mut sums);
    }
    let bounds = sums.iter().map(|s| (s.mean + deviations * s.variance.sqrt()).min(s.bound));
    bounds.fold(0.0, f32::max)
}

/// What generations hold together at one horizon.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    mean: f32,
    variance: f32,
    bound: f32,
}

fn add_demand(demand: &Demand<'_>, sums: &mut [Sum]) {
    for (i, more) in HORIZONS.iter().enumerate() {
        if demand.generated + more > demand.max_tokens {
            break;
        }
        let alive = if *more == 0.0 { 1.0 } else { demand.curve.survives(demand.generated, *more) };
        let held = demand.prompt + demand.generated + more;
        sums[i].mean += held * alive;
        sums[i].variance += held * held * alive * (1.0 - alive);
        sums[i].bound += held;
    }
}
