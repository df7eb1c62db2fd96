//! Simulated groups under random schedules of faults.

use hickorylink_lib::{
    consensus::{Consensus, port::Event},
    ids::InstanceId,
    time::Time,
};
use quickcheck::{Gen, QuickCheck};
use rand::{Rng, seq::IndexedRandom};

use crate::simulation::{Network, SimEvent, Simulation};

/// The faults of a schedule, each with a weight.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    network: Network,
    crash: u32,
    lose_disk: u32,
    partition: u32,
    pause: u32,
}

const LOSSY: Network =
    Network { loss_percent: 10, duplicate_percent: 10, max_delay_micros: 30_000 };
const RELIABLE: Network =
    Network { loss_percent: 0, duplicate_percent: 0, max_delay_micros: 2_000 };

/// A time by which a group has elected its first leader.
const STARTED: Time = Time::from_millis(2_000);

/// The weights of proposals and reads, relative to those of the faults.
const PROPOSAL_WEIGHT: u32 = 60;
const READ_WEIGHT: u32 = 20;

/// Runs a schedule and returns the simulation at its end.
fn run(faults: Faults, voters: u64, learners: u64, seed: u64) -> Simulation {
    let mut sim = Simulation::new(voters, learners, seed);
    sim.network = faults.network;
    for _ in 0..300 {
        let millis = sim.rng.random_range(1..=60);
        sim.run_for(millis);
        run_random_operation(&mut sim, faults);
        send_standbys(&mut sim);
        if sim.invariants.result().is_err() {
            return sim;
        }
    }
    sim.recover_and_check();
    sim
}

/// Sends the standbys to the leader, and adds new instances as learners.
fn send_standbys(sim: &mut Simulation) {
    let Some(leader) = sim.leader() else { return };
    let Some(status) = sim.machine(leader).map(Consensus::status) else { return };
    let instances: Vec<_> =
        sim.running().into_iter().filter(|id| !sim.bootstrap.learners.contains(id)).collect();
    for instance in &instances {
        if !status.members.contains(*instance) {
            sim.feed(leader, Event::AddLearner { instance: *instance });
        }
    }
    sim.feed(leader, Event::Standbys { instances });
}

fn pick_member(sim: &mut Simulation) -> Option<InstanceId> {
    let leader = sim.leader();
    let ids = sim.running();
    match leader {
        Some(leader) if sim.rng.random_range(0..100) < 60 => Some(leader),
        Some(_) | None => ids.choose(&mut sim.rng).copied(),
    }
}

fn run_random_operation(sim: &mut Simulation, faults: Faults) {
    let Some(at) = pick_member(sim) else { return };
    let Faults { crash, lose_disk, partition, pause, .. } = faults;
    let mut roll = sim
        .rng
        .random_range(0..PROPOSAL_WEIGHT + READ_WEIGHT + crash + lose_disk + partition + pause);
    let mut selected = |weight: u32| {
        let selected = roll < weight;
        roll = roll.wrapping_sub(weight);
        selected
    };
    if selected(PROPOSAL_WEIGHT) {
        for _ in 0..sim.rng.random_range(1..=6) {
            sim.propose(at);
        }
    } else if selected(READ_WEIGHT) {
        sim.read(at);
    } else if selected(crash) {
        sim.crash(at);
        let delay = sim.rng.random_range(1_000..1_500_000);
        sim.schedule(delay, SimEvent::Restart { at });
    } else if selected(lose_disk) {
        if sim.has_all_disks() {
            sim.lose_disk(at);
        }
    } else if selected(partition) {
        let ids = sim.ids();
        let amount = sim.rng.random_range(1..ids.len());
        let side: Vec<_> = ids.choose_multiple(&mut sim.rng, amount).copied().collect();
        sim.partition(&side);
        let delay = sim.rng.random_range(1_000..1_500_000);
        sim.schedule(delay, SimEvent::Heal);
    } else {
        sim.pause(at);
        let delay = sim.rng.random_range(1_000..1_500_000);
        sim.schedule(delay, SimEvent::Resume { at });
    }
}

/// A group with its faults, and the seeds of its schedules.
struct Case {
    name: &'static str,
    faults: Faults,
    voters: u64,
    learners: u64,
    seeds: std::ops::Range<u64>,
}

fn cases() -> [Case; 9] {
    let no_faults = Faults { network: RELIABLE, ..Faults::default() };
    let lossy = Faults { network: LOSSY, ..no_faults };
    [
        Case { name: "no faults", faults: no_faults, voters: 3, learners: 2, seeds: 0..3 },
        Case {
            name: "one voter",
            faults: Faults { crash: 5, ..no_faults },
            voters: 1,
            learners: 1,
            seeds: 0..3,
        },
        Case { name: "message loss", faults: lossy, voters: 3, learners: 1, seeds: 0..8 },
        Case {
            name: "crashes",
            faults: Faults { crash: 8, ..lossy },
            voters: 3,
            learners: 1,
            seeds: 0..12,
        },
        Case {
            name: "partitions",
            faults: Faults { partition: 8, ..lossy },
            voters: 5,
            learners: 1,
            seeds: 0..8,
        },
        Case {
            name: "paused processes",
            faults: Faults { pause: 8, ..no_faults },
            voters: 3,
            learners: 1,
            seeds: 0..12,
        },
        Case {
            name: "paused processes, an answer to a round of an earlier term",
            faults: Faults { pause: 8, ..no_faults },
            voters: 3,
            learners: 1,
            seeds: 155..156,
        },
        Case {
            name: "lost disks",
            faults: Faults { lose_disk: 8, ..no_faults },
            voters: 3,
            learners: 1,
            seeds: 0..12,
        },
        Case {
            name: "all faults",
            faults: Faults { crash: 4, lose_disk: 4, partition: 4, pause: 4, network: LOSSY },
            voters: 3,
            learners: 1,
            seeds: 0..24,
        },
    ]
}

/// Runs the schedules of a case, checks the invariants and prints statistics.
fn check(case: &Case, seeds: std::ops::Range<u64>) {
    let (mut acked, mut reads, mut elections, mut restores) = (0, 0, 0, 0);
    for seed in seeds.clone() {
        let sim = run(case.faults, case.voters, case.learners, seed);
        if let Err(violation) = sim.invariants.result() {
            panic!("{}, seed {seed}: {violation}", case.name);
        }
        acked += sim.invariants.acked();
        reads += sim.invariants.reads;
        elections += sim.invariants.elections;
        restores += sim.invariants.restores;
    }
    assert!(acked > 0 && reads > 0, "{}: the schedules commit and read", case.name);
    println!(
        "{}: {} seeds, {acked} acknowledged, {reads} reads, {elections} elections, \
         {restores} restores",
        case.name,
        seeds.count(),
    );
}

#[test]
fn no_acknowledged_entry_is_lost_or_applied_twice() {
    for case in cases() {
        check(&case, case.seeds.clone());
    }
}

#[test]
#[ignore = "takes a minute in a release build; run with --release --include-ignored"]
fn no_acknowledged_entry_is_lost_over_many_seeds() {
    for case in cases() {
        check(&case, 0..600);
    }
}

#[test]
fn repeated_loss_of_disks_loses_no_acknowledged_entry() {
    for seed in 0..12 {
        let mut sim = Simulation::new(3, 1, seed);
        sim.network = RELIABLE;
        let mut losses = 0;
        for _ in 0..1_500 {
            sim.run_for(10);
            send_standbys(&mut sim);
            let Some(leader) = sim.leader() else { continue };
            sim.propose(leader);
            let voters = sim.machine(leader).map(|m| m.status().members.voters);
            let lost = voters.and_then(|voters| voters.choose(&mut sim.rng).copied());
            if let Some(lost) = lost.filter(|_| sim.has_all_disks() && sim.now > STARTED) {
                sim.lose_disk(lost);
                losses += 1;
            }
        }
        sim.recover_and_check();
        let result = sim.invariants.result();
        assert_eq!(result, Ok(()), "seed {seed}, {losses} losses");
        assert!(losses >= 3, "seed {seed}: only {losses} voters were lost");
        println!("seed {seed}: {losses} disks lost, {} acknowledged", sim.invariants.acked());
    }
}

/// Runs a schedule with the given fault weights, each taken modulo 8.
fn run_mix(seed: u64, crash: u8, lose_disk: u8, partition: u8, pause: u8) -> Result<(), String> {
    let weight = |byte: u8| u32::from(byte % 8);
    let faults = Faults {
        network: LOSSY,
        crash: weight(crash),
        lose_disk: weight(lose_disk),
        partition: weight(partition),
        pause: weight(pause),
    };
    run(faults, 3 + 2 * (seed % 2), seed % 3, seed).invariants.result()
}

#[test]
fn invariants_hold_under_random_mixes_of_faults() {
    type Property = fn(u64, u8, u8, u8, u8) -> Result<(), String>;
    let generator = Gen::from_size_and_seed(100, 7);
    QuickCheck::new().tests(40).rng(generator).quickcheck(run_mix as Property);
}

#[test]
fn invariants_hold_under_mixes_that_once_violated_them() {
    struct Case {
        name: &'static str,
        seed: u64,
        /// The weights of crashes, lost disks, partitions and paused processes.
        weights: [u8; 4],
    }
    let cases = [
        Case {
            name: "heartbeats hide a lost append",
            seed: 126_122_352_131_690_668,
            weights: [218, 0, 105, 218],
        },
        Case {
            name: "heartbeats hide a lost append, with lost disks",
            seed: 1_234_364_262_701_723_159,
            weights: [218, 57, 106, 218],
        },
    ];
    for Case { name, seed, weights: [crash, lose_disk, partition, pause] } in cases {
        assert_eq!(run_mix(seed, crash, lose_disk, partition, pause), Ok(()), "{name}");
    }
}
