//! Properties of the interference policy over random histories.

use std::{collections::BTreeMap, time::Duration};

use hickorylink_lib::{
    ids::WorkerName,
    interference::{
        Interference,
        control::State,
        port::{Action, Neighbour, Role},
    },
    policy::Objective::{Latency, Throughput},
    time::Time,
    worker::Sample,
};
use quickcheck::{Gen, QuickCheck, TestResult, Testable};
use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;

use crate::simulation::{OBJECTIVE_S, SIZE, Simulation, attempt, batch, sample, service, worker};

const SEED: u64 = 0x1de4;
const RUNS: u64 = 60;
const KINDS: [&str; 3] = ["noisy", "quiet", "other"];

fn check(property: impl Testable) {
    println!("quickcheck seed {SEED:#x}");
    QuickCheck::new().rng(Gen::from_size_and_seed(64, SEED)).tests(RUNS).quickcheck(property);
}

/// A history of placements on two workers, and the samples taken during it.
struct History {
    policy: Interference,
    /// Samples with their workers, in the order in which they were taken; not delivered yet.
    reports: Vec<(WorkerName, Sample)>,
    /// When all samples are delivered.
    arrival: Time,
    /// The kind of each task.
    kinds: BTreeMap<u64, &'static str>,
}

fn history(seed: u64) -> History {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut policy = Interference::default();
    let mut now = Time::from_millis(1_000_000);
    policy.placed(now, &worker(1), &service(1, Latency));
    policy.placed(now, &worker(2), &service(2, Latency));
    let mut beside: BTreeMap<u64, Vec<u64>> = BTreeMap::from([(1, vec![]), (2, vec![])]);
    let (mut taken, mut kinds) = (Vec::new(), BTreeMap::new());
    for number in 0..30 {
        let on = rng.random_range(1..=2);
        let present = beside.get_mut(&on).expect("both workers are known");
        match present.pop() {
            Some(task) if rng.random_bool(0.5) => policy.left(now, &worker(on), attempt(task)),
            kept => {
                present.extend(kept);
                let kind = KINDS[rng.random_range(0..KINDS.len())];
                policy.placed(now, &worker(on), &batch(100 + number, kind, 3, Latency));
                present.push(100 + number);
                kinds.insert(100 + number, kind);
            }
        }
        now = now + Duration::from_secs(1);
        for (on, present) in &beside {
            let latency = rng.random_range(0.005..0.04);
            taken.push((now, worker(*on), sample(*on, Duration::ZERO, latency, present)));
        }
    }
    let arrival = now + Duration::from_secs(1);
    let late = |(at, on, mut sample): (Time, WorkerName, Sample)| {
        sample.age = arrival.since(at);
        (on, sample)
    };
    History { policy, reports: taken.into_iter().map(late).collect(), arrival, kinds }
}

/// Delivers the samples; returns the exact bits of the estimates of all kinds.
fn learned(history: &mut History) -> Vec<(u64, u64, u32)> {
    let arrival = history.arrival;
    for (on, sample) in &history.reports {
        history.policy.sampled(arrival, on, sample);
    }
    history.policy.decide(arrival, &mut Vec::new());
    let (service, customer) = ("folddesk".into(), "dermaga".into());
    let kinds = KINDS.into_iter();
    let harms = kinds.map(|kind| history.policy.harm(arrival, &service, &customer, &kind.into()));
    harms.map(|harm| (harm.mean.to_bits(), harm.deviation.to_bits(), harm.samples)).collect()
}

#[test]
fn order_of_late_samples_does_not_matter() {
    fn property(seed: u64) -> bool {
        let (mut in_order, mut shuffled) = (history(seed), history(seed));
        shuffled.reports.shuffle(&mut ChaCha8Rng::seed_from_u64(!seed));
        let twice: Vec<_> = shuffled.reports.iter().take(10).cloned().collect();
        shuffled.reports.extend(twice);
        learned(&mut in_order) == learned(&mut shuffled)
    }
    check(property as fn(u64) -> bool);
}

#[test]
fn samples_are_attributed_to_the_tasks_that_ran() {
    // The sample count of each kind is the number of samples taken while it ran, although all
    // samples arrive after the last change.
    fn property(seed: u64) -> bool {
        let mut history = history(seed);
        let mut want = [0; KINDS.len()];
        for (_, sample) in &history.reports {
            let seen: Vec<_> =
                sample.beside.iter().map(|beside| history.kinds[&beside.task.0]).collect();
            for (count, kind) in want.iter_mut().zip(KINDS) {
                *count += u32::from(seen.contains(&kind));
            }
        }
        let got: Vec<_> = learned(&mut history).iter().map(|(.., samples)| *samples).collect();
        history.policy.counters().counted == history.reports.len() as u64 && got == want
    }
    check(property as fn(u64) -> bool);
}

/// A simulation with many placements, changing load and late samples.
fn busy_sim(seed: u64, lag: u64, evictions: u32) -> Simulation {
    let mut sim = Simulation::new(seed, &[("noisy", 1.2), ("quiet", 0.02), ("other", 0.4)]);
    sim.lag = Duration::from_secs(lag);
    for on in 1..=3 {
        sim.place(on, service(on, if on == 3 { Throughput } else { Latency }));
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for number in 0..40 {
        sim.run(10);
        let kind = KINDS[rng.random_range(0..KINDS.len())];
        let objective = if rng.random_bool(0.5) { Latency } else { Throughput };
        let on = rng.random_range(1..=3);
        sim.place(on, batch(100 + number, kind, evictions, objective));
        if rng.random_bool(0.4) {
            sim.end(100 + rng.random_range(0..=number));
        }
        sim.alone = OBJECTIVE_S * rng.random_range(0.2..0.9);
    }
    sim
}

#[test]
fn a_task_without_evictions_left_is_never_moved() {
    fn property(seed: u64, lag: u8) -> bool {
        let sim = busy_sim(seed, u64::from(lag % 10), 0);
        sim.moved().is_empty()
    }
    check(property as fn(u64, u8) -> bool);
    let moved: usize = (0..20).map(|seed| busy_sim(seed, 2, 3).moved().len()).sum();
    assert!(moved > 0, "with evictions left the same histories lead to moves");
}

#[test]
fn at_most_one_task_is_acted_on_per_worker_and_interval() {
    fn property(seed: u64, lag: u8) -> bool {
        let sim = busy_sim(seed, u64::from(lag % 10), 2);
        let mut acted = BTreeMap::new();
        for (at, action) in &sim.actions {
            let on = match action {
                Action::Throttle { worker, .. } | Action::Move { worker, .. } => worker,
            };
            *acted.entry((*at, on.clone())).or_insert(0) += 1;
        }
        acted.values().all(|count| *count == 1)
    }
    check(property as fn(u64, u8) -> bool);
}

#[test]
fn all_throttles_are_lifted_one_task_per_interval() {
    fn property(seed: u64, lag: u8) -> bool {
        let mut sim = degraded_sim(seed, lag);
        sim.run(60);
        for task in 10..14 {
            sim.place(1, batch(task, "noisy", 0, Latency));
        }
        sim.run(60);
        sim.end(1);
        let before = sim.actions.len();
        sim.run(10);
        let lifted = &sim.actions[before..];
        let one_at_a_time = lifted.windows(2).all(|pair| pair[0].0 < pair[1].0);
        one_at_a_time && (10..14).all(|task| sim.permille(task) == Some(1_000))
    }
    check(property as fn(u64, u8) -> bool);
}

#[test]
fn throttle_is_lifted_when_the_service_recovers() {
    fn property(seed: u64, lag: u8) -> TestResult {
        let mut sim = degraded_sim(seed, lag);
        sim.run(90);
        if sim.permille(2).is_none_or(|permille| permille == 1_000) {
            return TestResult::error("the noisy task was never throttled");
        }
        sim.alone = 0.1 * OBJECTIVE_S;
        let reported = 2 * u64::from(lag % 10) + 10;
        sim.run(reported);
        TestResult::from_bool(sim.permille(2) == Some(1_000))
    }
    check(property as fn(u64, u8) -> TestResult);
}

#[test]
fn throttle_is_lifted_when_the_service_leaves() {
    fn property(seed: u64, lag: u8) -> bool {
        let mut sim = degraded_sim(seed, lag);
        sim.run(90);
        sim.end(1);
        sim.run(5);
        sim.permille(2) == Some(1_000)
    }
    check(property as fn(u64, u8) -> bool);
}

/// A simulation in which task 2 degrades a service, and a throttle on it helps.
fn degraded_sim(seed: u64, lag: u8) -> Simulation {
    let mut sim = Simulation::new(seed, &[("noisy", 1.2)]);
    sim.lag = Duration::from_secs(u64::from(lag % 10));
    sim.alone = 0.45 * OBJECTIVE_S;
    sim.place(1, service(1, Latency));
    sim.run(60);
    sim.place(1, batch(2, "noisy", 3, Latency));
    sim
}

#[test]
fn no_flapping_under_steady_load() {
    // Ten minutes of constant load: each reversal doubles the next hold.
    fn property(seed: u64, lag: u8) -> TestResult {
        let mut sim = degraded_sim(seed, lag);
        sim.run(600);
        match sim.reversals(2) {
            0..=10 => TestResult::passed(),
            reversals => TestResult::error(format!("{reversals} reversals: {:?}", sim.actions)),
        }
    }
    check(property as fn(u64, u8) -> TestResult);
}

#[test]
fn a_few_samples_cause_no_action() {
    fn property(seed: u64, lag: u8) -> bool {
        let mut sim = degraded_sim(seed, lag);
        sim.run(10);
        sim.actions.is_empty()
    }
    check(property as fn(u64, u8) -> bool);
}

#[test]
fn estimates_follow_a_change_of_a_kind() {
    // A kind without effect starts to slow the service.
    fn property(seed: u64) -> TestResult {
        let mut sim = Simulation::new(seed, &[("turns", 0.02)]);
        sim.place(1, service(1, Latency));
        sim.run(60);
        for round in 0..6_u64 {
            sim.harms.insert("turns", if round < 3 { 0.02 } else { 1.0 });
            sim.place(1, batch(100 + round, "turns", 0, Latency));
            sim.run(60);
            sim.end(100 + round);
            sim.run(30);
        }
        let harm = sim.policy.harm(sim.now, &"folddesk".into(), &"dermaga".into(), &"turns".into());
        match harm.mean {
            0.5..=1.5 => TestResult::passed(),
            _ => TestResult::error(format!("{harm:?}")),
        }
    }
    check(property as fn(u64) -> TestResult);
}

#[test]
fn a_wave_of_noisy_tasks_is_contained() {
    // Once the kind is known, a wave of its tasks is contained within 40 s.
    fn property(seed: u64, lag: u8) -> TestResult {
        let mut sim = degraded_sim(seed, lag);
        sim.run(120);
        sim.end(2);
        sim.run(60);
        for task in 10..14 {
            sim.place(1, batch(task, "noisy", 3, Latency));
        }
        sim.run(40);
        // A tentative step up may briefly degrade the service, so the mean over 20 s is checked.
        let mut ratio = 0.0;
        for _ in 0..20 {
            sim.tick();
            ratio += sim.latency(1) / OBJECTIVE_S / 20.0;
        }
        if ratio < 1.0 { TestResult::passed() } else { TestResult::error(format!("{ratio}")) }
    }
    check(property as fn(u64, u8) -> TestResult);
}

#[test]
fn memory_is_bounded() {
    struct Case {
        name: &'static str,
        services: u64,
        kinds: u64,
        /// Whether all tasks stay on their workers, rather than leaving one after another.
        stay: bool,
    }
    let cases = [
        Case { name: "within the bounds", services: 100, kinds: 300, stay: true },
        Case { name: "too many kinds, one after another", services: 10, kinds: 5_000, stay: false },
        Case { name: "too many kinds at once", services: 10, kinds: 5_000, stay: true },
        Case { name: "too many services at once", services: 2_000, kinds: 10, stay: true },
    ];
    for case in cases {
        let mut policy = Interference::default();
        let mut now = Time::from_millis(1_000_000);
        for number in 0..case.services {
            let mut replica = service(number, Latency);
            replica.role = Role::Service {
                service: format!("s-{number}").as_str().into(),
                latency: Duration::from_secs_f64(OBJECTIVE_S),
            };
            policy.placed(now, &worker(number % 50), &replica);
        }
        for number in 0..case.kinds {
            let task = 1_000_000 + number;
            let on = worker(number % 50);
            policy.placed(now, &on, &batch(task, &format!("k-{number}"), 1, Latency));
            for replica in 0..4 {
                let taken = sample(replica, Duration::ZERO, 0.01, &[task]);
                policy.sampled(now, &on, &taken);
            }
            if !case.stay {
                policy.left(now, &on, attempt(task));
                now = now + Duration::from_secs(1);
            }
            policy.decide(now, &mut Vec::new());
        }
        let footprint = policy.footprint();
        assert!(footprint.services <= 512, "{}: {footprint:?}", case.name);
        assert!(footprint.kinds <= 2_048, "{}: {footprint:?}", case.name);
        assert!(footprint.pairs <= 512 * 2_048, "{}: {footprint:?}", case.name);
        let placements = (case.services + if case.stay { case.kinds } else { 64 * 50 }) as usize;
        assert!(footprint.placements <= placements, "{}: {footprint:?}", case.name);
    }
}

#[test]
fn excess_samples_are_counted_and_dropped() {
    let mut policy = Interference::default();
    let now = Time::from_millis(1_000_000);
    policy.placed(now, &worker(1), &service(1, Latency));
    for number in 0..1_000 {
        let age = Duration::from_millis(number);
        policy.sampled(now + Duration::from_secs(1), &worker(1), &sample(1, age, 0.01, &[]));
    }
    policy.decide(now + Duration::from_secs(1), &mut Vec::new());
    let counters = policy.counters();
    assert_eq!(counters.overflow + counters.counted + counters.duplicate, 1_000, "{counters:?}");
    assert!(counters.overflow > 0, "{counters:?}");
}

#[test]
fn an_overdue_stop_may_be_requested_again() {
    let mut policy = Interference::default();
    let mut now = Time::from_millis(1_000_000);
    let noisy = Neighbour { size: SIZE, ..batch(2, "noisy", 2, Latency) };
    policy.placed(now, &worker(1), &service(1, Latency));
    let mut moves = Vec::new();
    for second in 0..300_u64 {
        now = now + Duration::from_secs(1);
        if second == 40 {
            policy.placed(now, &worker(1), &noisy);
        }
        let there = second >= 40;
        let latency = if there { 0.08 } else { 0.013 } * (1.0 + 0.001 * (second % 7) as f64);
        let beside: &[u64] = if there { &[2] } else { &[] };
        policy.sampled(now, &worker(1), &sample(1, Duration::ZERO, latency, beside));
        let mut actions = Vec::new();
        policy.decide(now, &mut actions);
        let moved = |action: &Action| matches!(action, Action::Move { .. });
        moves.extend(actions.iter().filter(|action| moved(action)).map(|_| now));
        if moves.len() == 1 && *moves.last().expect("there is one") == now {
            assert_eq!(policy.state(&worker(1), attempt(2)), Some(State::Moving));
        }
    }
    assert_eq!(moves.len(), 2, "requested twice, as two evictions allow: {moves:?}");
    assert!(moves[1].since(moves[0]) >= Duration::from_secs(60), "{moves:?}");
}
