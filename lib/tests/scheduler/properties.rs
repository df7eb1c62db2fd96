//! Properties that hold under random loads and faults, with a network that loses, delays and
//! duplicates messages.

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use crate::{fault::Fault, simulation::Simulation};

/// The seeds of all runs; a seed that failed once is added here.
const SEEDS: &[u64] = &[1, 2, 3, 4];
/// The number of scenarios for each seed.
const SCENARIOS_PER_SEED: u64 = 12;
const WORKERS: usize = 5;
/// How long after the last fault all work must have ended, in seconds. A takeover alone takes 25.
const RECOVERY_SECONDS: u64 = 240;

/// A load with faults.
#[derive(Clone, Debug)]
struct Scenario {
    seed: u64,
    /// The rate of lost messages, in thousandths.
    loss_permille: u32,
    /// The events, each with the seconds since the one before.
    faults: Vec<(u64, Fault)>,
}

impl Arbitrary for Fault {
    fn arbitrary(g: &mut Gen) -> Self {
        let worker = usize::arbitrary(g) % WORKERS;
        let instance = usize::arbitrary(g) % 2;
        let seconds = u64::arbitrary(g) % 40;
        match u8::arbitrary(g) % 12 {
            0 => Self::IsolateInstance { instance, seconds },
            1 | 2 => Self::Partition { worker, instance, seconds },
            3 => Self::Crash { worker, seconds: seconds % 15 },
            4 => Self::Drain { worker },
            5 | 6 => Self::TransferLeadership,
            7 => Self::Cancel { all: bool::arbitrary(g) },
            8 => Self::SubmitReplica,
            9.. => Self::Submit {
                tasks: 1 + u64::arbitrary(g) % 12,
                cores: 1 + u64::arbitrary(g) % 4,
                idempotent: u8::arbitrary(g) % 4 > 0,
                urgent: u8::arbitrary(g) % 4 == 0,
            },
        }
    }
}

impl Arbitrary for Scenario {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut faults: Vec<(u64, Fault)> = Vec::arbitrary(g);
        for (gap, _) in &mut faults {
            *gap %= 10;
        }
        let submit = Fault::Submit { tasks: 12, cores: 1, idempotent: true, urgent: false };
        faults.insert(0, (3, submit));
        Self { seed: u64::arbitrary(g) >> 1, loss_permille: u32::arbitrary(g) % 300, faults }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let scenario = self.clone();
        let shorter = (1..self.faults.len()).map(move |at| {
            let mut scenario = scenario.clone();
            scenario.faults.remove(at);
            scenario
        });
        Box::new(shorter)
    }
}

/// Runs a scenario, then ends all faults and lets the system recover.
fn simulate(scenario: &Scenario) -> Simulation {
    let mut simulation = Simulation::new(scenario.seed, WORKERS);
    simulation.loss_permille = scenario.loss_permille;
    for (gap, fault) in &scenario.faults {
        simulation.run(*gap);
        simulation.fault(fault);
    }
    simulation.run(20);
    simulation.heal();
    simulation.run(RECOVERY_SECONDS);
    simulation
}

/// Faults under which the old holder continues beside the new one: each of them reaches some
/// workers, and only the new one reaches the consensus group.
fn two_holders(seconds: u64) -> Vec<(u64, Fault)> {
    let submit = |tasks| Fault::Submit { tasks, cores: 1, idempotent: true, urgent: false };
    let mut faults = vec![(3, submit(30)), (1, Fault::IsolateInstance { instance: 0, seconds })];
    // The first two workers reach only the older holder, the others only the newer one.
    faults.extend((0..WORKERS).map(|worker| {
        let instance = usize::from(worker < 2);
        (0, Fault::Partition { worker, instance, seconds })
    }));
    faults.extend([(0, Fault::TransferLeadership), (5, submit(5)), (seconds - 10, submit(5))]);
    faults
}

#[test]
fn a_partitioned_old_holder_causes_no_violation() {
    struct Case {
        name: &'static str,
        faults: Vec<(u64, Fault)>,
    }
    let back = |mut faults: Vec<(u64, Fault)>| {
        faults.extend([
            (0, Fault::TransferLeadership),
            (3, Fault::TransferLeadership),
            (1, Fault::TransferLeadership),
        ]);
        faults
    };
    let cases = [
        Case { name: "partition shorter than its renewal cutoff", faults: two_holders(12) },
        Case { name: "partition longer than its renewal cutoff", faults: two_holders(60) },
        Case { name: "it takes the data centre back", faults: back(two_holders(20)) },
        Case {
            name: "it takes the data centre back after a long partition",
            faults: back(two_holders(60)),
        },
    ];
    for case in cases {
        for seed in 0..8 {
            for loss_permille in [0, 100] {
                let simulation =
                    simulate(&Scenario { seed, loss_permille, faults: case.faults.clone() });
                let mut violations = simulation.open_tasks();
                violations.extend(simulation.duplicates());
                violations.extend(simulation.violations);
                assert_eq!(
                    violations, [""; 0],
                    "{}, seed {seed}, loss {loss_permille}/1000",
                    case.name
                );
            }
        }
    }
}

fn test_result(violations: &[String]) -> TestResult {
    match violations.first() {
        None => TestResult::passed(),
        Some(_) => TestResult::error(violations.join("\n")),
    }
}

fn check(property: fn(Scenario) -> TestResult) {
    for seed in SEEDS {
        println!("seed {seed}");
        let rng = Gen::from_size_and_seed(16, *seed);
        QuickCheck::new().rng(rng).tests(SCENARIOS_PER_SEED).quickcheck(property);
    }
}

#[test]
fn committed_never_exceeds_capacity() {
    check(|scenario| {
        let mut violations = simulate(&scenario).violations;
        violations.retain(|violation| {
            violation.contains("than its capacity") || violation.contains("beyond")
        });
        test_result(&violations)
    });
}

#[test]
fn a_task_never_runs_in_two_places() {
    check(|scenario| test_result(&simulate(&scenario).violations));
}

#[test]
fn evicted_work_resumes_exactly_once() {
    check(|scenario| {
        let simulation = simulate(&scenario);
        let mut violations = simulation.duplicates();
        violations.extend(simulation.violations);
        test_result(&violations)
    });
}

#[test]
fn every_accepted_task_ends_or_waits_for_a_reason() {
    check(|scenario| {
        let simulation = simulate(&scenario);
        let mut violations = simulation.untracked_tasks();
        // Without faults, every batch task must have ended.
        violations.extend(simulation.open_tasks());
        violations.extend(simulation.violations);
        test_result(&violations)
    });
}
