//! Whole councils under random schedules of faults.

use hickorylink_lib::{
    consensus::{Consensus, port::Event},
    ids::InstanceId,
    time::Time,
};
use quickcheck::{Gen, QuickCheck};
use rand::{Rng, seq::IndexedRandom};

use crate::world::{Happening, Network, World};

/// Which faults a schedule holds, each as a weight.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    network: Network,
    crash: u32,
    lose_disk: u32,
    cut: u32,
    freeze: u32,
}

const LOSSY: Network = Network { lost: 10, repeated: 10, slowest: 30_000 };
const KIND: Network = Network { lost: 0, repeated: 0, slowest: 2_000 };

/// When a council has surely elected its first leader.
const STARTED: Time = Time::from_millis(2_000);

const PROPOSALS: u32 = 60;
const READS: u32 = 20;

/// Runs a schedule and gives the council at its end.
fn run(faults: Faults, voters: u64, learners: u64, seed: u64) -> World {
    let mut world = World::new(voters, learners, seed);
    world.network = faults.network;
    for _ in 0..300 {
        let pause = world.rng.random_range(1..=60);
        world.run_for(pause);
        act(&mut world, faults);
        offer_standbys(&mut world);
        if world.promises.verdict().is_err() {
            return world;
        }
    }
    world.settle();
    world
}

/// Every leader knows who stands by; new instances ask again and again to follow.
fn offer_standbys(world: &mut World) {
    let Some(leader) = world.leader() else { return };
    let Some(status) = world.machine(leader).map(Consensus::status) else { return };
    let instances: Vec<_> =
        world.running().into_iter().filter(|id| !world.bootstrap.learners.contains(id)).collect();
    for instance in &instances {
        if !status.members.contains(*instance) {
            world.feed(leader, Event::AddLearner { instance: *instance });
        }
    }
    world.feed(leader, Event::Standbys { instances });
}

fn pick(world: &mut World) -> Option<InstanceId> {
    let leader = world.leader();
    let ids = world.running();
    match leader {
        Some(leader) if world.rng.random_range(0..100) < 60 => Some(leader),
        Some(_) | None => ids.choose(&mut world.rng).copied(),
    }
}

fn act(world: &mut World, faults: Faults) {
    let Some(at) = pick(world) else { return };
    let Faults { crash, lose_disk, cut, freeze, .. } = faults;
    let mut roll = world.rng.random_range(0..PROPOSALS + READS + crash + lose_disk + cut + freeze);
    let mut falls = |weight: u32| {
        let falls = roll < weight;
        roll = roll.wrapping_sub(weight);
        falls
    };
    if falls(PROPOSALS) {
        for _ in 0..world.rng.random_range(1..=6) {
            world.propose(at);
        }
    } else if falls(READS) {
        world.read(at);
    } else if falls(crash) {
        world.crash(at);
        let delay = world.rng.random_range(1_000..1_500_000);
        world.at(delay, Happening::Restart { at });
    } else if falls(lose_disk) {
        if world.is_whole() {
            world.lose_disk(at);
        }
    } else if falls(cut) {
        let ids = world.ids();
        let amount = world.rng.random_range(1..ids.len());
        let side: Vec<_> = ids.choose_multiple(&mut world.rng, amount).copied().collect();
        world.cut(&side);
        let delay = world.rng.random_range(1_000..1_500_000);
        world.at(delay, Happening::Heal);
    } else {
        world.freeze(at);
        let delay = world.rng.random_range(1_000..1_500_000);
        world.at(delay, Happening::Thaw { at });
    }
}

#[test]
fn no_acknowledged_entry_is_lost_or_applied_twice() {
    struct Case {
        name: &'static str,
        faults: Faults,
        voters: u64,
        learners: u64,
        seeds: std::ops::Range<u64>,
    }
    let calm = Faults { network: KIND, ..Faults::default() };
    let lossy = Faults { network: LOSSY, ..calm };
    let cases = [
        Case { name: "calm", faults: calm, voters: 3, learners: 2, seeds: 0..3 },
        Case {
            name: "alone",
            faults: Faults { crash: 5, ..calm },
            voters: 1,
            learners: 1,
            seeds: 0..3,
        },
        Case { name: "lossy", faults: lossy, voters: 3, learners: 1, seeds: 0..8 },
        Case {
            name: "crashes",
            faults: Faults { crash: 8, ..lossy },
            voters: 3,
            learners: 1,
            seeds: 0..12,
        },
        Case {
            name: "cuts",
            faults: Faults { cut: 8, ..lossy },
            voters: 5,
            learners: 1,
            seeds: 0..8,
        },
        Case {
            name: "frozen",
            faults: Faults { freeze: 8, ..calm },
            voters: 3,
            learners: 1,
            seeds: 0..12,
        },
        Case {
            name: "lost disks",
            faults: Faults { lose_disk: 8, ..calm },
            voters: 3,
            learners: 1,
            seeds: 0..12,
        },
        Case {
            name: "everything",
            faults: Faults { crash: 4, lose_disk: 4, cut: 4, freeze: 4, network: LOSSY },
            voters: 3,
            learners: 1,
            seeds: 0..24,
        },
    ];
    for case in cases {
        let (mut acked, mut reads, mut elections, mut restores) = (0, 0, 0, 0);
        for seed in case.seeds.clone() {
            let world = run(case.faults, case.voters, case.learners, seed);
            if let Err(violation) = world.promises.verdict() {
                panic!("{}, seed {seed}: {violation}", case.name);
            }
            acked += world.promises.acked();
            reads += world.promises.reads;
            elections += world.promises.elections;
            restores += world.promises.restores;
        }
        assert!(acked > 0 && reads > 0, "{}: the schedules do something", case.name);
        println!(
            "{}: {} seeds, {acked} acknowledged, {reads} reads, {elections} elections, {restores} restores",
            case.name,
            case.seeds.count(),
        );
    }
}

#[test]
fn a_second_loss_right_after_a_repair_leaves_the_state_whole() {
    for seed in 0..12 {
        let mut world = World::new(3, 1, seed);
        world.network = KIND;
        let mut losses = 0;
        for _ in 0..1_500 {
            world.run_for(10);
            offer_standbys(&mut world);
            let Some(leader) = world.leader() else { continue };
            world.propose(leader);
            let voters = world.machine(leader).map(|m| m.status().members.voters);
            let lost = voters.and_then(|voters| voters.choose(&mut world.rng).copied());
            if let Some(lost) = lost.filter(|_| world.is_whole() && world.now > STARTED) {
                world.lose_disk(lost);
                losses += 1;
            }
        }
        world.settle();
        let verdict = world.promises.verdict();
        assert_eq!(verdict, Ok(()), "seed {seed}, {losses} losses");
        assert!(losses >= 3, "seed {seed}: only {losses} voters were lost");
        println!("seed {seed}: {losses} disks lost, {} acknowledged", world.promises.acked());
    }
}

/// A council under faults with these weights, of which only the remainder by 8 counts.
fn holds(seed: u64, crash: u8, lose_disk: u8, cut: u8, freeze: u8) -> Result<(), String> {
    let weight = |byte: u8| u32::from(byte % 8);
    let faults = Faults {
        network: LOSSY,
        crash: weight(crash),
        lose_disk: weight(lose_disk),
        cut: weight(cut),
        freeze: weight(freeze),
    };
    run(faults, 3 + 2 * (seed % 2), seed % 3, seed).promises.verdict()
}

#[test]
fn promises_hold_under_any_mix_of_faults() {
    type Property = fn(u64, u8, u8, u8, u8) -> Result<(), String>;
    let generator = Gen::from_size_and_seed(100, 7);
    QuickCheck::new().tests(40).rng(generator).quickcheck(holds as Property);
}

#[test]
fn promises_hold_under_mixes_that_broke_them() {
    struct Case {
        name: &'static str,
        seed: u64,
        /// Weights of crashes, lost disks, cuts and frozen processes.
        weights: [u8; 4],
    }
    let cases = [
        Case {
            name: "heartbeats hide a gap behind the leader's log",
            seed: 126_122_352_131_690_668,
            weights: [218, 0, 105, 218],
        },
        Case {
            name: "the same with lost disks",
            seed: 1_234_364_262_701_723_159,
            weights: [218, 57, 106, 218],
        },
    ];
    for Case { name, seed, weights: [crash, lose_disk, cut, freeze] } in cases {
        assert_eq!(holds(seed, crash, lose_disk, cut, freeze), Ok(()), "{name}");
    }
}
