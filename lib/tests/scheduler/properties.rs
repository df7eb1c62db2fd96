//! Promises that hold over random loads and faults, in a world that loses, delays and doubles
//! messages.

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use crate::{fault::Fault, world::World};

/// The seeds of all runs; a seed that failed once is added here.
const SEEDS: &[u64] = &[1, 2, 3, 4];
/// Worlds for each seed.
const WORLDS: u64 = 12;
const WORKERS: usize = 5;
/// Seconds after the last fault within which all work must end. A takeover alone takes 25.
const CALM: u64 = 240;

/// A load with faults.
#[derive(Clone, Debug)]
struct Scenario {
    seed: u64,
    /// Messages that are lost, in thousandths.
    loss: u32,
    /// What happens, and how many seconds after the one before.
    faults: Vec<(u64, Fault)>,
}

impl Arbitrary for Fault {
    fn arbitrary(g: &mut Gen) -> Self {
        let worker = usize::arbitrary(g) % WORKERS;
        let instance = usize::arbitrary(g) % 2;
        let seconds = u64::arbitrary(g) % 40;
        match u8::arbitrary(g) % 12 {
            0 => Self::Cut { instance, seconds },
            1 | 2 => Self::Part { worker, instance, seconds },
            3 => Self::Kill { worker, seconds: seconds % 15 },
            4 => Self::Leave { worker },
            5 | 6 => Self::Grant,
            7 => Self::Cancel { all: bool::arbitrary(g) },
            8 => Self::Replica,
            9.. => Self::Wave {
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
        let wave = Fault::Wave { tasks: 12, cores: 1, idempotent: true, urgent: false };
        faults.insert(0, (3, wave));
        Self { seed: u64::arbitrary(g) >> 1, loss: u32::arbitrary(g) % 300, faults }
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

/// The world after a scenario, and after everything works again.
fn world_after(scenario: &Scenario) -> World {
    let mut world = World::new(scenario.seed, WORKERS);
    world.loss = scenario.loss;
    for (gap, fault) in &scenario.faults {
        world.run(*gap);
        world.fault(fault);
    }
    world.run(20);
    world.heal();
    world.run(CALM);
    world
}

/// Both holders reach some workers; only the newer one reaches the council.
fn two_holders(seconds: u64) -> Vec<(u64, Fault)> {
    let wave = |tasks| Fault::Wave { tasks, cores: 1, idempotent: true, urgent: false };
    let mut faults = vec![(3, wave(30)), (1, Fault::Cut { instance: 0, seconds })];
    // The first two workers only reach the older holder, the others only the newer one.
    faults.extend((0..WORKERS).map(|worker| {
        let instance = usize::from(worker < 2);
        (0, Fault::Part { worker, instance, seconds })
    }));
    faults.extend([(0, Fault::Grant), (5, wave(5)), (seconds - 10, wave(5))]);
    faults
}

#[test]
fn an_old_holder_that_is_cut_off_does_no_harm() {
    struct Case {
        name: &'static str,
        faults: Vec<(u64, Fault)>,
    }
    let back = |mut faults: Vec<(u64, Fault)>| {
        faults.extend([(0, Fault::Grant), (3, Fault::Grant), (1, Fault::Grant)]);
        faults
    };
    let cases = [
        Case { name: "shorter than its cutoff", faults: two_holders(12) },
        Case { name: "longer than its cutoff", faults: two_holders(60) },
        Case { name: "it takes the data centre back", faults: back(two_holders(20)) },
        Case { name: "the same, after long", faults: back(two_holders(60)) },
    ];
    for case in cases {
        for seed in 0..8 {
            for loss in [0, 100] {
                let world = world_after(&Scenario { seed, loss, faults: case.faults.clone() });
                let mut findings = world.waits();
                findings.extend(world.doubled());
                findings.extend(world.findings);
                assert_eq!(findings, [""; 0], "{}, seed {seed}, loss {loss}", case.name);
            }
        }
    }
}

fn verdict(findings: &[String]) -> TestResult {
    match findings.first() {
        None => TestResult::passed(),
        Some(_) => TestResult::error(findings.join("\n")),
    }
}

fn check(property: fn(Scenario) -> TestResult) {
    for seed in SEEDS {
        println!("seed {seed}");
        let rng = Gen::from_size_and_seed(16, *seed);
        QuickCheck::new().rng(rng).tests(WORLDS).quickcheck(property);
    }
}

#[test]
fn committed_never_exceeds_capacity() {
    check(|scenario| {
        let mut findings = world_after(&scenario).findings;
        findings.retain(|finding| finding.contains("than it has") || finding.contains("beyond"));
        verdict(&findings)
    });
}

#[test]
fn a_task_never_runs_in_two_places() {
    check(|scenario| verdict(&world_after(&scenario).findings));
}

#[test]
fn evicted_work_resumes_exactly_once() {
    check(|scenario| {
        let world = world_after(&scenario);
        let mut findings = world.doubled();
        findings.extend(world.findings);
        verdict(&findings)
    });
}

#[test]
fn every_accepted_task_ends_or_waits_for_a_reason() {
    check(|scenario| {
        let world = world_after(&scenario);
        let mut findings = world.lost();
        // Once everything works, no batch task has a reason left.
        findings.extend(world.waits());
        findings.extend(world.findings);
        verdict(&findings)
    });
}
