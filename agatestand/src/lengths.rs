//! Output lengths of generations: a seeded heavy-tailed distribution.

use std::hash::{DefaultHasher, Hash, Hasher};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};

/// Maximum output length, in tokens.
const MAX_TOKENS: f64 = 32_768.0;

/// Log-normal distribution of output lengths.
#[derive(Clone, Debug)]
pub struct Lengths {
    distribution: LogNormal<f64>,
    seed: u64,
}

impl Lengths {
    /// Creates a distribution with a median in tokens and a standard deviation of the logarithm.
    pub fn new(median: f64, deviation: f64, seed: u64) -> Lengths {
        let mean = median.max(1.0).ln();
        let fallback = || LogNormal::new(mean, 1.0).ok();
        let distribution = LogNormal::new(mean, deviation.abs()).ok().or_else(fallback);
        Lengths {
            distribution: distribution.unwrap_or_else(|| unreachable!("the deviation is finite")),
            seed,
        }
    }

    /// Returns the output length for a prompt, in tokens. The same prompt always gets the same length,
    /// so that policies can be compared on the same work.
    pub fn sample(&self, prompt: &str) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, prompt).hash(&mut hasher);
        let mut rng = ChaCha8Rng::seed_from_u64(hasher.finish());
        self.distribution.sample(&mut rng).clamp(1.0, MAX_TOKENS).round() as u64
    }
}
