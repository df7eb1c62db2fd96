//! What waits change for the callers of a hot rack and for all others, by a model.

use std::{collections::BTreeMap, time::Duration};

use hickorylink_lib::jobs::{locality::Locality, model::JobId};

use crate::{
    locality_model::{Model, near, on_rack},
    world::World,
};

const TASKS: u32 = 4;

/// How long jobs are submitted.
const SPAN: Duration = Duration::from_secs(30);

/// The jobs of a run: whether their data is on the hot rack, and the time from submission to end.
type Outcome = BTreeMap<JobId, (bool, Duration)>;

/// The outcome of all jobs, and the share of tasks away from their rack in percent.
///
/// Four racks of 16 processors. Half of the data is on the first. `interval` is the time between two jobs of four
/// tasks of about a second on one processor; estimates are off by up to 0.9.
fn run(max_wait: u64, factor: f64, interval: u64) -> (Outcome, usize) {
    let max_wait = Duration::from_millis(max_wait);
    let locality = Locality { remote_factor: factor, max_wait };
    let workers = (0..16).map(|at| on_rack(&format!("w{at}"), &format!("r{}", at / 4), 4));
    let mut model = Model::new(World::with_locality(locality), factor, workers.collect());
    let mut seed = 11_u64;
    let mut random = |below: u64| {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (seed >> 33) % below
    };
    let mut hot = BTreeMap::new();
    let begun = model.world.now;
    let mut id = 0;
    while model.world.now.since(begun) < SPAN {
        id += 1;
        let work = 700 + random(600);
        let estimate = work * (10 + random(181)) / 100;
        let rack = if random(2) == 0 { 0 } else { 1 + random(3) };
        let job = model.submit(id, near(TASKS, &format!("r{rack}"), estimate.max(1)), work);
        hot.insert(job, rack == 0);
        model.run(Duration::from_millis(interval));
    }
    model.run(Duration::from_secs(30));
    let tasks = usize::try_from(TASKS).expect("it is small");
    let outcome = hot.into_iter().map(|(job, hot)| {
        (job, (hot, model.response_time(job, tasks).expect("the job has ended")))
    });
    let far = model.started.iter().filter(|started| !started.near).count();
    (outcome.collect(), far * 100 / model.started.len())
}

/// The mean and the 95th percentile of the jobs with data on the hot rack or elsewhere, in milliseconds.
fn summary(outcome: &Outcome, hot: bool) -> (u128, u128) {
    let own = outcome.values().filter(|(is_hot, _)| *is_hot == hot);
    let mut times: Vec<_> = own.map(|(_, time)| time.as_millis()).collect();
    times.sort_unstable();
    (times.iter().sum::<u128>() / times.len() as u128, times[times.len() * 95 / 100])
}

/// Prints the table of the design note. Guards against waits that send more tasks away from their data, or
/// leave a job without an end.
#[test]
fn the_table_of_a_hot_rack() {
    println!(
        "| factor | interval | wait | far | hot: mean, p95 | others: mean, p95 | faster, slower |"
    );
    for (factor, interval) in [(1.5, 100), (1.5, 75), (3.0, 120), (3.0, 100), (3.0, 80)] {
        let (base, base_far) = run(0, factor, interval);
        for max_wait in [0, 500, 2000, 5000] {
            let (outcome, far) = run(max_wait, factor, interval);
            let (hot, others) = (summary(&outcome, true), summary(&outcome, false));
            let margin = Duration::from_millis(50);
            let faster = outcome.iter().filter(|(job, (_, time))| *time + margin < base[job].1);
            let slower = outcome.iter().filter(|(job, (_, time))| *time > base[job].1 + margin);
            let (faster, slower, all) = (faster.count(), slower.count(), outcome.len());
            println!(
                "| {factor} | {interval} ms | {max_wait} ms | {far} % | {}, {} ms | {}, {} ms | {faster}, {slower} of {all} |",
                hot.0, hot.1, others.0, others.1
            );
            assert!(far <= base_far, "{factor} {interval} {max_wait}: {far} % after {base_far} %");
        }
    }
}
