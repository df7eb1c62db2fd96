//! What the interference policy promises, over many histories.

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

use crate::simulation::{GOOD, SIZE, Simulation, attempt, batch, sample, service, worker};

const SEED: u64 = 0x1de4;
const RUNS: u64 = 60;
const KINDS: [&str; 3] = ["noisy", "quiet", "other"];

fn check(property: impl Testable) {
    println!("quickcheck seed {SEED:#x}");
    QuickCheck::new().rng(Gen::from_size_and_seed(64, SEED)).tests(RUNS).quickcheck(property);
}

/// Two workers whose tasks changed places, and samples that were taken meanwhile.
struct History {
    policy: Interference,
    /// In the order in which they were taken; none was delivered.
    reports: Vec<(WorkerName, Sample)>,
    /// When all are delivered.
    arrival: Time,
    /// The kinds of the tasks.
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

/// Delivers the reports; gives the estimates of all kinds, bit by bit.
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
fn samples_are_attributed_to_the_pairing_they_saw() {
    // Each kind's count of samples is that of the samples taken while it ran, although all
    // arrive after the last change.
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

/// A busy sim: waves of noisy tasks, a shifting load, late reports.
fn busy(seed: u64, lag: u64, evictions: u32) -> Simulation {
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
        sim.alone = GOOD * rng.random_range(0.2..0.9);
    }
    sim
}

#[test]
fn a_task_without_evictions_left_is_never_moved() {
    fn property(seed: u64, lag: u8) -> bool {
        let sim = busy(seed, u64::from(lag % 10), 0);
        sim.moved().is_empty()
    }
    check(property as fn(u64, u8) -> bool);
    let moved: usize = (0..20).map(|seed| busy(seed, 2, 3).moved().len()).sum();
    assert!(moved > 0, "with evictions left the same histories lead to moves");
}

#[test]
fn at_most_one_task_is_acted_on_per_worker_and_interval() {
    fn property(seed: u64, lag: u8) -> bool {
        let sim = busy(seed, u64::from(lag % 10), 2);
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
fn every_throttle_is_given_back_one_task_an_interval() {
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
        let given = &sim.actions[before..];
        let apart = given.windows(2).all(|pair| pair[0].0 < pair[1].0);
        apart && (10..14).all(|task| sim.permille(task) == Some(1_000))
    }
    check(property as fn(u64, u8) -> bool);
}

#[test]
fn throttle_is_given_back_when_the_service_recovers() {
    fn property(seed: u64, lag: u8) -> TestResult {
        let mut sim = degraded_sim(seed, lag);
        sim.run(90);
        if sim.permille(2).is_none_or(|permille| permille == 1_000) {
            return TestResult::error("the noisy task was never throttled");
        }
        sim.alone = 0.1 * GOOD;
        let reported = 2 * u64::from(lag % 10) + 10;
        sim.run(reported);
        TestResult::from_bool(sim.permille(2) == Some(1_000))
    }
    check(property as fn(u64, u8) -> TestResult);
}

#[test]
fn a_throttle_is_given_back_when_the_service_leaves() {
    fn property(seed: u64, lag: u8) -> bool {
        let mut sim = degraded_sim(seed, lag);
        sim.run(90);
        sim.end(1);
        sim.run(5);
        sim.permille(2) == Some(1_000)
    }
    check(property as fn(u64, u8) -> bool);
}

/// A service that is degraded by task 2, whose throttle helps.
fn degraded_sim(seed: u64, lag: u8) -> Simulation {
    let mut sim = Simulation::new(seed, &[("noisy", 1.2)]);
    sim.lag = Duration::from_secs(u64::from(lag % 10));
    sim.alone = 0.45 * GOOD;
    sim.place(1, service(1, Latency));
    sim.run(60);
    sim.place(1, batch(2, "noisy", 3, Latency));
    sim
}

#[test]
fn no_flapping_under_steady_load() {
    // Ten minutes of a load that doesn't change: each reversal doubles the next hold.
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
fn a_shift_of_load_is_learned_anew() {
    // A kind that was quiet turns noisy, and one that was noisy turns quiet.
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
fn a_wave_of_noisy_tasks_is_held_off() {
    // Once the kind is known, a wave of it is held off within 40 s of its arrival.
    fn property(seed: u64, lag: u8) -> TestResult {
        let mut sim = degraded_sim(seed, lag);
        sim.run(120);
        sim.end(2);
        sim.run(60);
        for task in 10..14 {
            sim.place(1, batch(task, "noisy", 3, Latency));
        }
        sim.run(40);
        // A step up that probes may degraded for a moment: the mean of 20 s counts.
        let mut ratio = 0.0;
        for _ in 0..20 {
            sim.tick();
            ratio += sim.latency(1) / GOOD / 20.0;
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
        held: bool,
    }
    let cases = [
        Case { name: "within the bounds", services: 100, kinds: 300, held: true },
        Case {
            name: "too many kinds, one after the other",
            services: 10,
            kinds: 5_000,
            held: false,
        },
        Case { name: "too many kinds at once", services: 10, kinds: 5_000, held: true },
        Case { name: "too many services at once", services: 2_000, kinds: 10, held: true },
    ];
    for case in cases {
        let mut policy = Interference::default();
        let mut now = Time::from_millis(1_000_000);
        for number in 0..case.services {
            let mut replica = service(number, Latency);
            replica.role = Role::Service {
                service: format!("s-{number}").as_str().into(),
                latency: Duration::from_secs_f64(GOOD),
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
            if !case.held {
                policy.left(now, &on, attempt(task));
                now = now + Duration::from_secs(1);
            }
            policy.decide(now, &mut Vec::new());
        }
        let footprint = policy.footprint();
        assert!(footprint.services <= 512, "{}: {footprint:?}", case.name);
        assert!(footprint.kinds <= 2_048, "{}: {footprint:?}", case.name);
        assert!(footprint.pairs <= 512 * 2_048, "{}: {footprint:?}", case.name);
        let placements = (case.services + if case.held { case.kinds } else { 64 * 50 }) as usize;
        assert!(footprint.placements <= placements, "{}: {footprint:?}", case.name);
    }
}

#[test]
fn too_many_samples_at_once_are_counted_and_dropped() {
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
fn a_stop_that_is_overdue_may_be_asked_for_again() {
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
    assert_eq!(moves.len(), 2, "asked for once and once again, as two evictions allow: {moves:?}");
    assert!(moves[1].since(moves[0]) >= Duration::from_secs(60), "{moves:?}");
}
