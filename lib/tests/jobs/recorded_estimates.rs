//! What is recorded of the learned interference, and how a leader begins with it.

use std::{ops::RangeInclusive, time::Duration};

use hickorylink_lib::{
    jobs::{
        estimates::{
            BaselineEstimate, EstimateRecord, Estimates, ImagePair, MAX_BASELINES, MAX_IMAGE_BYTES,
            MAX_PAIRS, MAX_RECORDED, PairEstimate,
        },
        pace::{Interference, adjust_paces},
        state::State,
    },
    time::Time,
};

use crate::pace::{report, worker};

fn recorded(
    serving: &str,
    opportunistic: &str,
    mean: f32,
    variance: f32,
    samples: u32,
) -> (ImagePair, PairEstimate) {
    let pair = ImagePair { serving: serving.into(), opportunistic: opportunistic.into() };
    (pair, PairEstimate { mean: mean.into(), variance: variance.into(), samples })
}

fn baseline(mean: f32) -> BaselineEstimate {
    BaselineEstimate { mean: mean.into(), samples: 100 }
}

fn table(pairs: impl IntoIterator<Item = (ImagePair, PairEstimate)>) -> Estimates {
    let mut estimates = Estimates::default();
    estimates.apply(&EstimateRecord { pairs: pairs.into_iter().collect(), baselines: Vec::new() });
    estimates
}

/// What a leader learns in 20 s beside these images, each with its factor on the tail latency.
fn learn(interference: &mut Interference, images: &[(String, f64)], start: Time) {
    for step in 0..100 {
        let now = start + Duration::from_millis(step * 200);
        for (image, factor) in images {
            for (used, tail) in [(0, 50.0), (1000, 50.0 * factor)] {
                let (mut worker, serving_task, opportunistic_task) = worker(image);
                report(&mut worker, &serving_task, tail as u64, &opportunistic_task, used);
                interference.learn(&worker, now);
            }
        }
    }
}

/// Guards against records that repeat what is recorded, and against a pair that is never recorded because
/// others always come first.
#[test]
fn only_noticeable_changes_are_recorded() {
    struct Case {
        name: &'static str,
        /// The number of images, and the factors of the first one in periods of 20 s.
        images: usize,
        factors: &'static [f64],
        /// The number of pairs in the record after each period; the first one is applied.
        want: &'static [usize],
    }
    let cases = [
        Case { name: "unchanged", images: 1, factors: &[2.0, 2.0], want: &[1, 0] },
        Case { name: "changed", images: 1, factors: &[2.0, 3.0], want: &[1, 1] },
        Case { name: "harmless", images: 1, factors: &[1.0, 1.0], want: &[1, 0] },
        Case { name: "only one has changed", images: 5, factors: &[2.0, 3.0], want: &[5, 1] },
        Case { name: "more than fit", images: 40, factors: &[2.0, 2.0], want: &[32, 8] },
    ];
    for case in cases {
        let mut interference = Interference::default();
        let mut estimates = Estimates::default();
        let mut images: Vec<_> =
            (0..case.images).map(|image| (format!("image-{image}"), 2.0)).collect();
        let mut now = Time::from_millis(1000);
        for (factor, want) in case.factors.iter().zip(case.want) {
            images[0].1 = *factor;
            learn(&mut interference, &images, now);
            now = now + Duration::from_secs(20);
            let record = interference.changed_estimates(&estimates, now);
            assert_eq!(record.pairs.len(), *want, "{}", case.name);
            estimates.apply(&record);
        }
    }
}

/// Guards against a record of a pair that differs from what is recorded no more.
#[test]
fn a_pair_that_has_changed_back_is_not_recorded() {
    let mut interference = Interference::default();
    let mut estimates = Estimates::default();
    let mut records = Vec::new();
    let mut now = Time::from_millis(1000);
    // The harm is the same before and after it is higher for a while, in which nothing is recorded.
    for (factor, recorded) in [(2.0, true), (2.0, true), (3.0, false), (2.0, false), (2.0, true)] {
        learn(&mut interference, &[("one".to_owned(), factor)], now);
        now = now + Duration::from_secs(20);
        if recorded {
            let record = interference.changed_estimates(&estimates, now);
            estimates.apply(&record);
            records.push(record.pairs.len());
        }
    }
    assert_eq!(records, [1, 0, 0]);
}

/// Guards against recorded estimates that outweigh fresh samples, that throttle a harmless image again, or
/// that make an image harmless of which that wasn't known.
#[test]
fn a_leader_begins_with_recorded_estimates() {
    struct Case {
        name: &'static str,
        /// Mean, variance and samples.
        recorded: (f32, f32, u32),
        /// The harm that the leader begins with, and after 20 s beside an image that does no harm. Fresh
        /// samples outweigh the recorded mean if it is nearer to theirs then.
        want: (f64, RangeInclusive<f64>),
        /// The pace at once beside a serving task far above its target.
        pace: RangeInclusive<u8>,
    }
    let cases = [
        Case {
            name: "harmful",
            recorded: (0.7, 0.001, 5000),
            want: (0.7, 0.0..=0.35),
            pace: 0..=0,
        },
        Case {
            name: "harmless",
            recorded: (0.02, 0.001, 5000),
            want: (0.02, 0.0..=0.05),
            pace: 100..=100,
        },
        Case {
            name: "harmless, few samples",
            recorded: (0.02, 0.001, 39),
            want: (0.02, 0.0..=0.05),
            pace: 50..=50,
        },
        Case {
            name: "not known to be harmless",
            recorded: (0.05, 0.003, 5000),
            want: (0.05, 0.0..=0.05),
            pace: 50..=50,
        },
        Case {
            name: "not a number",
            recorded: (f32::NAN, 0.001, 5000),
            want: (0.0, 0.0..=0.05),
            pace: 50..=50,
        },
        Case {
            name: "infinite variance",
            recorded: (0.7, f32::INFINITY, 5000),
            want: (0.0, 0.0..=0.05),
            pace: 50..=50,
        },
        Case {
            name: "negative",
            recorded: (-0.7, 0.001, 5000),
            want: (0.0, 0.0..=0.05),
            pace: 50..=50,
        },
    ];
    for case in cases {
        let now = Time::from_millis(30_000);
        let (mean, variance, samples) = case.recorded;
        let estimates = table([recorded("desk", "one", mean, variance, samples)]);
        let mut interference = Interference::restore(&estimates, now);
        let harm = |interference: &Interference| {
            interference.harm(Some(&"desk".into()), Some(&"one".into()))
        };
        let before = harm(&interference);
        assert!((before - case.want.0).abs() < 1e-6, "{}: {before}", case.name);
        let (mut worker, serving_task, opportunistic_task) = worker("one");
        report(&mut worker, &serving_task, 400, &opportunistic_task, 1000);
        adjust_paces(&mut worker, &interference, now);
        let pace = worker.runs[&opportunistic_task].pace;
        assert!(case.pace.contains(&pace), "{}: {pace}", case.name);
        learn(&mut interference, &[("one".to_owned(), 1.0)], now);
        let after = harm(&interference);
        assert!(case.want.1.contains(&after), "{}: {after}", case.name);
    }
}

/// Guards against a pair that few fresh samples make harmless, and against a first sample of a serving task
/// beside others at work that counts as its own level.
#[test]
fn fresh_samples_correct_recorded_estimates() {
    struct Case {
        name: &'static str,
        recorded: (f32, f32, u32),
        /// The number of fresh samples.
        samples: usize,
        /// The processors that the opportunistic task uses in turn, in millicores.
        used: [u64; 2],
        /// The factor on the tail latency while it uses any.
        factor: f64,
        want: RangeInclusive<f64>,
        harmless: bool,
    }
    let harmful = (0.7, 0.001, 5000);
    // A mean and a deviation just above what is known to be harmless.
    let unsure = (0.02, 0.0065, 5000);
    let cases = [
        Case {
            name: "the same harm",
            recorded: harmful,
            samples: 100,
            used: [4000, 4000],
            factor: (4.0 * 0.7_f64).exp(),
            want: 0.65..=0.75,
            harmless: false,
        },
        Case {
            name: "few samples",
            recorded: unsure,
            samples: 15,
            used: [0, 4000],
            factor: 1.0,
            want: 0.0..=0.05,
            harmless: false,
        },
        Case {
            name: "enough samples",
            recorded: unsure,
            samples: 200,
            used: [0, 4000],
            factor: 1.0,
            want: 0.0..=0.05,
            harmless: true,
        },
    ];
    for case in cases {
        let (mean, variance, samples) = case.recorded;
        let estimates = table([recorded("desk", "one", mean, variance, samples)]);
        let mut now = Time::from_millis(1000);
        let mut interference = Interference::restore(&estimates, now);
        let (mut worker, serving_task, opportunistic_task) = worker("one");
        for used in case.used.into_iter().cycle().take(case.samples) {
            now = now + Duration::from_millis(50);
            let tail = if used > 0 { (50.0 * case.factor) as u64 } else { 50 };
            report(&mut worker, &serving_task, tail, &opportunistic_task, used);
            interference.learn(&worker, now);
        }
        let harm = interference.harm(Some(&"desk".into()), Some(&"one".into()));
        assert!(case.want.contains(&harm), "{}: {harm}", case.name);
        report(&mut worker, &serving_task, 400, &opportunistic_task, 1000);
        adjust_paces(&mut worker, &interference, now);
        let pace = worker.runs[&opportunistic_task].pace;
        assert_eq!(pace == 100, case.harmless, "{}: {pace}", case.name);
    }
}

/// Guards against a state that grows without bound with the images that were ever used, and against a model
/// that a leader can't hold.
#[test]
fn recorded_estimates_are_bounded() {
    let mut estimates = Estimates::default();
    let name = |kind: &str, at: usize| format!("{kind}-{at:0>240}");
    let record = |from: usize, len: usize| EstimateRecord {
        pairs: (from..from + len)
            .map(|at| recorded(&name("serving", at), &name("batch", at), 0.5, 0.01, 100))
            .collect(),
        baselines: (from..from + len)
            .map(|at| (name("serving", at).as_str().into(), baseline(4.0)))
            .collect(),
    };
    let total = MAX_PAIRS + 4 * MAX_RECORDED;
    for from in (0..total).step_by(MAX_RECORDED) {
        estimates.apply(&record(from, MAX_RECORDED));
        // The first one is recorded again and again.
        estimates.apply(&record(0, 1));
    }
    let find = |at: usize| {
        let (serving, opportunistic) = (name("serving", at), name("batch", at));
        let pair = ImagePair {
            serving: serving.as_str().into(),
            opportunistic: opportunistic.as_str().into(),
        };
        estimates.pair(&pair).is_some()
    };
    assert_eq!(estimates.len(), MAX_PAIRS);
    assert_eq!(estimates.baselines().count(), MAX_BASELINES);
    let kept = [0, 1, 4 * MAX_RECORDED, 4 * MAX_RECORDED + 1, total - 1].map(find);
    assert_eq!(kept, [true, false, false, true, true], "the least recently recorded are forgotten");
    let state = State { estimates: estimates.clone(), ..State::default() };
    assert!(state.encode().len() < 3 << 20, "{}", state.encode().len());

    // A record of another release may be too large.
    let mut other = Estimates::default();
    other.apply(&record(0, 2 * MAX_RECORDED));
    assert_eq!((other.len(), other.baselines().count()), (MAX_RECORDED, MAX_RECORDED));
    let long = "x".repeat(MAX_IMAGE_BYTES + 1);
    other.apply(&EstimateRecord {
        pairs: vec![recorded(&long, "a", 0.5, 0.01, 9), recorded("a", &long, 0.5, 0.01, 9)],
        baselines: vec![(long.as_str().into(), baseline(4.0))],
    });
    assert_eq!((other.len(), other.baselines().count()), (MAX_RECORDED, MAX_RECORDED));

    // As many serving images as opportunistic ones: the model has memory for each combination.
    let interference = Interference::restore(&estimates, Time::from_millis(1000));
    let known = |at: usize| {
        let (serving, opportunistic) = (name("serving", at), name("batch", at));
        let images = (serving.as_str().into(), opportunistic.as_str().into());
        interference.harm(Some(&images.0), Some(&images.1)) > 0.0
    };
    assert!(known(0) && known(total - 1), "the most recently recorded are restored");
    assert!((0..total).filter(|at| known(*at)).count() <= 512);
}
