//! Estimates of output lengths.
//!
//! Each class (model, kind, organisation) has a decaying histogram of lengths. A class with few
//! samples is blended with its parents: the kind for all organisations, then the model, then a
//! prior. See `docs/DESIGN.md`, "Unknown lengths".

use std::sync::LazyLock;

use crate::Table;
use crate::id::Id;

/// The number of buckets for each doubling of the length.
const BUCKETS_PER_OCTAVE: f32 = 4.0;
/// The number of buckets; they cover lengths up to 65,536 tokens.
pub const BUCKETS: usize = 64;
/// The weight of the parent class in the blend, in samples.
const PARENT_SAMPLES: f32 = 16.0;
/// The number of samples above which a histogram is halved, so that it adapts to changes.
const HALVE_SAMPLES: f32 = 512.0;
/// The maximum number of classes; organisations beyond it use the class of their kind.
const MAX_CLASSES: usize = 8_192;
/// The number of new samples after which the cached curve is recomputed.
const REFRESH_SAMPLES: u32 = 8;
/// The median of the prior, in octaves: 256 tokens.
const PRIOR_MEDIAN_OCTAVES: f32 = 8.0;
/// The standard deviation of the prior, in octaves.
const PRIOR_DEVIATION_OCTAVES: f32 = 2.0;
/// The standard deviation of lengths around a caller's hint, in octaves.
const HINT_DEVIATION_OCTAVES: f32 = 1.5;

value! {
    /// The key that generations are grouped by.
    pub struct Class {
        /// The model.
        pub model: Id,
        /// The request kind, or 0 for all kinds.
        pub kind: Id,
        /// The organisation, or 0 for all organisations.
        pub organisation: Id,
    }
}

/// The survival function of output lengths, sampled at the lower bound of each bucket.
#[derive(Clone, Debug, PartialEq)]
pub struct Curve {
    survival: [f32; BUCKETS + 1],
}

#[derive(Clone, Debug, PartialEq)]
struct Histogram {
    counts: [f32; BUCKETS],
    total: f32,
    since_refresh: u32,
    curve: Curve,
}

/// Histograms of output lengths for all classes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Estimator {
    classes: Table<Class, Histogram>,
}

fn bucket_position(length: f32) -> f32 {
    (length.max(1.0).log2() * BUCKETS_PER_OCTAVE).min(BUCKETS as f32 - 0.001)
}

impl Curve {
    /// The distribution assumed without samples: log-normal with a median of 256 tokens.
    pub fn prior() -> Curve {
        let mut counts = [0.0; BUCKETS];
        for (i, count) in counts.iter_mut().enumerate() {
            let octave = (i as f32 + 0.5) / BUCKETS_PER_OCTAVE;
            let z = (octave - PRIOR_MEDIAN_OCTAVES) / PRIOR_DEVIATION_OCTAVES;
            *count = (-0.5 * z * z).exp();
        }
        Curve::from_counts(&counts)
    }

    /// A log-normal curve whose median is the caller's hint, wide because hints are often far off.
    pub fn from_hint(hint: u32) -> &'static Curve {
        static CURVES: LazyLock<Vec<Curve>> = LazyLock::new(|| {
            (0..BUCKETS).map(|i| Curve::log_normal((i as f32 + 0.5) / BUCKETS_PER_OCTAVE)).collect()
        });
        &CURVES[bucket_position(hint as f32) as usize]
    }

    fn log_normal(median: f32) -> Curve {
        let mut counts = [0.0; BUCKETS];
        for (i, count) in counts.iter_mut().enumerate() {
            let octave = (i as f32 + 0.5) / BUCKETS_PER_OCTAVE;
            let z = (octave - median) / HINT_DEVIATION_OCTAVES;
            *count = (-0.5 * z * z).exp();
        }
        Curve::from_counts(&counts)
    }

    fn from_counts(counts: &[f32; BUCKETS]) -> Curve {
        let total: f32 = counts.iter().sum();
        let mut survival = [0.0; BUCKETS + 1];
        for i in (0..BUCKETS).rev() {
            survival[i] = survival[i + 1] + counts[i] / total;
        }
        Curve { survival }
    }

    /// The probability that a length is at least `length`.
    pub fn at_least(&self, length: f32) -> f32 {
        if length <= 1.0 {
            return 1.0;
        }
        let position = bucket_position(length);
        let bucket = position as usize;
        let part = position - bucket as f32;
        self.survival[bucket] * (1.0 - part) + self.survival[bucket + 1] * part
    }

    /// The probability that a generation with `generated` tokens produces at least `more` further
    /// ones. Beyond all observed lengths, it has an even chance to double its length.
    pub fn survives(&self, generated: f32, more: f32) -> f32 {
        let now = self.at_least(generated);
        if now < 1e-4 {
            return (generated / (generated + more)).clamp(0.0, 1.0);
        }
        (self.at_least(generated + more) / now).clamp(0.0, 1.0)
    }

    /// The expected length, in tokens.
    pub fn mean(&self) -> f32 {
        let mut mean = 0.0;
        for i in 0..BUCKETS {
            let middle = ((i as f32 + 0.5) / BUCKETS_PER_OCTAVE).exp2();
            mean += middle * (self.survival[i] - self.survival[i + 1]);
        }
        mean
    }
}

impl Histogram {
    fn new(parent: &Curve) -> Histogram {
        Histogram { counts: [0.0; BUCKETS], total: 0.0, since_refresh: 0, curve: parent.clone() }
    }

    fn add(&mut self, length: u32, parent: &Curve) {
        self.counts[bucket_position(length as f32) as usize] += 1.0;
        self.total += 1.0;
        self.since_refresh += 1;
        if self.total > HALVE_SAMPLES {
            self.counts.iter_mut().for_each(|c| *c *= 0.5);
            self.total *= 0.5;
        }
        if self.since_refresh >= REFRESH_SAMPLES || self.total <= PARENT_SAMPLES {
            self.refresh(parent);
        }
    }

    fn refresh(&mut self, parent: &Curve) {
        let mut mixed = self.counts;
        for (i, count) in mixed.iter_mut().enumerate() {
            *count += PARENT_SAMPLES * (parent.survival[i] - parent.survival[i + 1]);
        }
        self.curve = Curve::from_counts(&mixed);
        self.since_refresh = 0;
    }
}

impl Estimator {
    /// Adds the length of a generation that ended by itself to its class and the parents of that.
    pub fn learn(&mut self, class: Class, length: u32) {
        let model_class = Class { kind: 0, organisation: 0, ..class };
        let kind_class = Class { organisation: 0, ..class };
        let mut parent = Curve::prior();
        for level in [model_class, kind_class, class] {
            if !self.classes.contains(&level) && self.classes.len() >= MAX_CLASSES {
                return;
            }
            let histogram = self.classes.entry(level, || Histogram::new(&parent));
            histogram.add(length, &parent);
            parent = histogram.curve.clone();
        }
    }

    /// The curve of a class, or of its nearest parent with samples.
    pub fn curve(&self, class: Class) -> Option<&Curve> {
        let kind_class = Class { organisation: 0, ..class };
        let model_class = Class { kind: 0, organisation: 0, ..class };
        [class, kind_class, model_class].iter().find_map(|c| self.classes.get(c)).map(|h| &h.curve)
    }

    /// The number of samples of the class's kind over all organisations, after decay.
    pub fn samples(&self, class: Class) -> f32 {
        self.classes.get(&Class { organisation: 0, ..class }).map_or(0.0, |h| h.total)
    }

    /// The number of classes with a histogram, parents included.
    pub fn classes(&self) -> usize {
        self.classes.len()
    }
}
