//! Predicts the peak memory use of generations of unknown length on an engine.
//!
//! A generation that still runs after `t` more steps holds its prompt, its tokens and `t` more.
//! Others have ended by then, so the memory use at `t` is a random sum. Its mean plus a number of
//! standard deviations has to fit the engine at every horizon. See `docs/DESIGN.md`, "Memory
//! admission".

use crate::estimate::Curve;

/// The horizons at which the use is predicted, in tokens from now.
const HORIZONS: [f32; 10] = [0.0, 16.0, 64.0, 128.0, 256.0, 512.0, 1024.0, 2048.0, 4096.0, 8192.0];

/// The memory demand of one generation.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// The part of the prompt that is not shared with other generations, in tokens.
    pub prompt: f32,
    /// The number of tokens generated so far.
    pub generated: f32,
    /// The caller's limit on output tokens, or infinity.
    pub max_tokens: f32,
    /// The distribution of its total output length.
    pub curve: &'a Curve,
}

/// Returns the predicted peak memory use, in tokens: the highest mean plus `deviations` standard
/// deviations over all horizons. Each is capped by the use if no generation ended early.
pub fn peak<'a>(demands: impl Iterator<Item = Demand<'a>>, deviations: f32) -> f32 {
    let mut sums = [Sum::default(); HORIZONS.len()];
    for demand in demands {
        add_demand(&demand, &mut sums);
    }
    let bounds = sums.iter().map(|s| (s.mean + deviations * s.variance.sqrt()).min(s.bound));
    bounds.fold(0.0, f32::max)
}

/// The summed use at one horizon, in tokens; `bound` assumes that no generation ended early.
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
