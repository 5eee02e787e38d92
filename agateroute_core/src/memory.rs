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
pub struct Load<'a> {
    /// The prompt that is not shared with others, in tokens.
    pub prompt: f32,
    /// The tokens generated.
    pub done: f32,
    /// The most tokens that the caller wants, or infinity.
    pub most: f32,
    /// How long generations of its class run.
    pub curve: &'a Curve,
}

/// The highest mean plus `deviations` standard deviations over all horizons, in tokens.
pub fn peak<'a>(loads: impl Iterator<Item = Load<'a>>, deviations: f32) -> f32 {
    let mut means = [0.0_f32; HORIZONS.len()];
    let mut variances = [0.0_f32; HORIZONS.len()];
    for load in loads {
        add_load(&load, &mut means, &mut variances);
    }
    let sums =
        means.iter().zip(variances).map(|(mean, variance)| mean + deviations * variance.sqrt());
    sums.fold(0.0, f32::max)
}

fn add_load(load: &Load<'_>, means: &mut [f32], variances: &mut [f32]) {
    for (i, more) in HORIZONS.iter().enumerate() {
        if load.done + more > load.most {
            break;
        }
        let alive = if *more == 0.0 { 1.0 } else { load.curve.survives(load.done, *more) };
        let held = load.prompt + load.done + more;
        means[i] += held * alive;
        variances[i] += held * held * alive * (1.0 - alive);
    }
}
