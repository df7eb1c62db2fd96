//! The estimates that a leader records, and those that it begins with.

use std::collections::HashMap;

use crate::{
    interference::model::Harm,
    jobs::{
        estimates::{
            BaselineEstimate, EstimateRecord, Estimates, ImagePair, MAX_RECORDED, PairEstimate,
            is_recordable,
        },
        model::Image,
        pace::{
            ASSUMED_LOAD, Average, Interference, MAX_HARMLESS, MIN_SAMPLES, assign_number,
            is_known_harmless,
        },
    },
    time::Time,
};

/// The number of samples of a pair from which on its estimate is recorded. Earlier ones change with each
/// sample.
const MIN_RECORDED_SAMPLES: u32 = 20;

/// The smallest change of a mean that is recorded, as harm per processor. Smaller changes of the harm of a
/// task with up to 3 processors are below `NEGLIGIBLE_HARM`.
const MIN_CHANGE: f64 = 0.03;

/// The same as a fraction of the recorded mean, for large means, whose noise is larger.
const MIN_RELATIVE_CHANGE: f64 = 0.1;

/// The fraction of the recorded variance at which an estimate is recorded again: half of the standard
/// deviation.
const RECORDED_PRECISION: f64 = 0.25;

/// The number of samples of a baseline from which on it is recorded.
const MIN_BASELINE_SAMPLES: u32 = 100;

/// The smallest change of a baseline that is recorded, as a logarithm: a tenth of the latency.
const MIN_BASELINE_CHANGE: f64 = 0.1;

/// The number of pairs that are compared with their recorded estimates in a turn. It bounds the time that
/// this takes to a fraction of a millisecond.
const MAX_COMPARED: usize = 1024;

/// The factor by which the variance of a recorded estimate is increased, since the interference may have
/// changed in the meantime.
const VARIANCE_FACTOR: f64 = 4.0;

/// What is added to that variance. With it, about ten samples beside two processors halve an error.
const ADDED_VARIANCE: f64 = 0.002;

/// The maximum number of samples with which a pair begins that isn't known to be harmless. As many fresh ones
/// are needed before it can be.
const MAX_RESTORED_SAMPLES: u32 = MIN_SAMPLES / 2;

/// The maximum number of samples of a recorded baseline that count, a tenth of those of an average in the
/// long run.
const MAX_BASELINE_SAMPLES: u32 = 200;

/// The maximum number of serving images times opportunistic images with recorded estimates that a leader
/// begins with. The model has 16 bytes for each.
const MAX_RESTORED: usize = 1 << 18;

impl Interference {
    /// Begins with recorded estimates.
    pub fn restore(estimates: &Estimates, now: Time) -> Self {
        let mut interference = Self::default();
        for (pair, recorded) in estimates.pairs() {
            if !interference.has_memory_for(pair) {
                continue;
            }
            let Some(harm) = restored_harm(&recorded) else { continue };
            let serving = assign_number(&mut interference.serving, Some(&pair.serving));
            let kind = assign_number(&mut interference.opportunistic, Some(&pair.opportunistic));
            interference.model.restore(now, serving, kind, &harm);
            interference.model.restore_level(now, serving, ASSUMED_LOAD);
        }
        for (image, recorded) in estimates.baselines() {
            let mean = f64::from(recorded.mean);
            if let Some(number) = interference.serving.get(image).filter(|_| mean.is_finite()) {
                let samples = recorded.samples.min(MAX_BASELINE_SAMPLES);
                interference.averages.insert(*number, Average { mean, samples });
            }
        }
        interference
    }

    /// Whether the model stays within its bound with the images of a further pair.
    fn has_memory_for(&self, pair: &ImagePair) -> bool {
        let serving = usize::from(!self.serving.contains_key(&pair.serving));
        let kinds = usize::from(!self.opportunistic.contains_key(&pair.opportunistic));
        (self.serving.len() + serving) * (self.opportunistic.len() + kinds) <= MAX_RESTORED
    }

    /// The estimates that have changed noticeably since they were recorded. Pairs that weren't compared are
    /// compared in the next call.
    pub fn changed_estimates(&mut self, recorded: &Estimates, now: Time) -> EstimateRecord {
        EstimateRecord {
            pairs: self.changed_pairs(recorded, now),
            baselines: self.changed_baselines(recorded),
        }
    }

    fn changed_pairs(&mut self, recorded: &Estimates, now: Time) -> Vec<(ImagePair, PairEstimate)> {
        let (serving, opportunistic) = (by_number(&self.serving), by_number(&self.opportunistic));
        let mut changed = Vec::new();
        let mut next = self.compared;
        for _ in 0..self.model.pairs().min(MAX_COMPARED) {
            if changed.len() == MAX_RECORDED {
                break;
            }
            let Some((service, kind)) = self.model.pair_from(next) else { break };
            next = (service, kind + 1);
            let (Some(serving), Some(kind_image)) =
                (serving.get(&service), opportunistic.get(&kind))
            else {
                continue;
            };
            let harm = self.model.harm(now, service, kind);
            if harm.samples < MIN_RECORDED_SAMPLES {
                continue;
            }
            let pair = ImagePair {
                serving: Image::clone(serving),
                opportunistic: Image::clone(kind_image),
            };
            if pair.is_recordable() && has_changed(&harm, recorded.pair(&pair)) {
                changed.push((pair, recorded_pair(&harm)));
            }
        }
        self.compared = next;
        changed
    }

    fn changed_baselines(&self, recorded: &Estimates) -> Vec<(Image, BaselineEstimate)> {
        let changed = self.serving.iter().filter_map(|(image, number)| {
            let average = self.averages.get(number)?;
            let before = recorded.baseline(image).map(|before| f64::from(before.mean));
            let changed = match before {
                None => average.samples >= MIN_BASELINE_SAMPLES,
                Some(before) => (average.mean - before).abs() >= MIN_BASELINE_CHANGE,
            };
            let estimate =
                BaselineEstimate { mean: (average.mean as f32).into(), samples: average.samples };
            (changed && is_recordable(image)).then(|| (image.clone(), estimate))
        });
        changed.take(MAX_RECORDED).collect()
    }
}

fn by_number(numbers: &HashMap<Image, u32>) -> HashMap<u32, &Image> {
    numbers.iter().map(|(image, number)| (*number, image)).collect()
}

/// Whether an estimate differs noticeably from the recorded one, or is much more precise. One that isn't
/// recorded differs unless it says as little as none.
fn has_changed(harm: &Harm, recorded: Option<PairEstimate>) -> bool {
    let harmless = is_known_harmless(harm);
    let Some(recorded) = recorded else { return harmless || harm.mean >= MIN_CHANGE };
    let before = harm_of(&recorded);
    let noticeable = MIN_CHANGE.max(before.mean * MIN_RELATIVE_CHANGE);
    let variance = harm.deviation * harm.deviation;
    (harm.mean - before.mean).abs() >= noticeable
        || harmless && !is_known_harmless(&before)
        || variance <= f64::from(recorded.variance) * RECORDED_PRECISION
}

fn recorded_pair(harm: &Harm) -> PairEstimate {
    PairEstimate {
        mean: (harm.mean as f32).into(),
        variance: ((harm.deviation * harm.deviation) as f32).into(),
        samples: harm.samples,
    }
}

fn harm_of(recorded: &PairEstimate) -> Harm {
    Harm {
        mean: recorded.mean.into(),
        deviation: f64::from(recorded.variance).sqrt(),
        samples: recorded.samples,
    }
}

/// The estimate that a new leader begins with; `None` if the recorded one isn't valid. Its variance is
/// increased, so that fresh samples soon outweigh it. A pair that isn't known to be harmless doesn't become
/// so by what was recorded alone, and one that is known to be harmless remains so.
fn restored_harm(recorded: &PairEstimate) -> Option<Harm> {
    let before = harm_of(recorded);
    let variance = f64::from(recorded.variance);
    if !before.mean.is_finite() || before.mean < 0.0 || !variance.is_finite() || variance < 0.0 {
        return None;
    }
    let increased = variance * VARIANCE_FACTOR + ADDED_VARIANCE;
    let (variance, samples) = if is_known_harmless(&before) {
        // Half of what is left to the bound remains for its growth with time.
        let bound = (MAX_HARMLESS - before.mean) * (MAX_HARMLESS - before.mean);
        (increased.min((variance + bound) / 2.0), MIN_SAMPLES)
    } else {
        (increased, before.samples.min(MAX_RESTORED_SAMPLES))
    };
    Some(Harm { mean: before.mean, deviation: variance.sqrt(), samples })
}
