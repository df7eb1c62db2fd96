//! Random replacements, losses and seed lists: what is known of the instances afterwards.

use std::{collections::BTreeSet, time::Duration};

use hickorylink_lib::{directory::port::Event as DirectoryEvent, instance::port::Event};

use crate::{
    cluster::{Cluster, Faults, address},
    membership::{REPAIR_TIME, accepts_edits, leave},
    ready,
};

/// The seeds of a run; a seed that has failed once is kept.
const SEEDS: std::ops::Range<u64> = 0..6;

/// The seeds of a long run.
const MANY_SEEDS: std::ops::Range<u64> = 0..300;

/// The number of disturbances in a run, and the longest time between two.
const DISTURBANCES: usize = 30;
const MAX_PAUSE_MS: usize = 20_000;

/// The wanted number of voters, and the most instances that run.
const VOTERS: usize = 3;
const MAX_RUNNING: usize = 9;

/// What happens to an instance.
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    /// A new one starts at a new address.
    Add,
    /// It is lost for good.
    Lose,
    /// It crashes and comes back.
    Crash,
    /// It comes back on an empty disk.
    Wipe,
    /// It leaves for good, as planned.
    Leave,
    /// It is restarted, as planned.
    Restart,
    /// It is cut off from all others.
    Partition,
    /// All instances are given other seeds.
    Reseed,
}

impl Disturbance {
    const ALL: [Self; 8] = [
        Self::Add,
        Self::Lose,
        Self::Crash,
        Self::Wipe,
        Self::Leave,
        Self::Restart,
        Self::Partition,
        Self::Reseed,
    ];
}

// Guards against an instance that the leader never adds because it isn't among its seeds, and
// against voters that are gone for good.
#[test]
fn after_random_replacements_all_that_live_are_members_and_none_that_is_gone_votes() {
    SEEDS.for_each(check_seed);
}

#[test]
#[ignore = "takes minutes; run with --release --include-ignored"]
fn after_random_replacements_of_many_seeds_none_that_is_gone_votes() {
    MANY_SEEDS.for_each(check_seed);
}

fn check_seed(seed: u64) {
    let mut cluster = ready(seed, Faults { message_lost: 0.02, ..Faults::default() }, VOTERS);
    for disk in [true, true, false] {
        cluster.add(disk, &[0], VOTERS);
    }
    cluster.run(Duration::from_secs(5));
    let mut steps = Vec::new();
    for _ in 0..DISTURBANCES {
        let kind = Disturbance::ALL[cluster.random_below(Disturbance::ALL.len())];
        if let Some(at) = disturb(&mut cluster, kind) {
            steps.push((kind, at));
        }
        let pause = cluster.random_below(MAX_PAUSE_MS);
        cluster.run(Duration::from_millis(pause as u64));
    }
    cluster.faults = Faults::default();
    cluster.run(REPAIR_TIME);
    let running = cluster.running();
    let disks: Vec<_> = running.iter().filter(|at| cluster.has_disk(**at)).collect();
    let about = format!(
        "seed {seed}: {steps:?}, running {running:?}, disks {disks:?}, leader {:?}",
        cluster.leader()
    );
    let (live, gone) = cluster.voters();
    assert_eq!((live.len(), gone), (VOTERS, 0), "live and gone voters; {about}");
    assert_eq!(cluster.strangers(), Vec::<usize>::new(), "no members; {about}");
    for at in running.iter().copied() {
        assert_eq!(cluster.known_alive(at), cluster.identities(), "known to {at}; {about}");
    }
    assert!(accepts_edits(&mut cluster, running[0], 9000), "the group goes on; {about}");
}

/// Carries out a disturbance, unless it would take away the quorum of the voters or leave fewer
/// instances with a disk than there are to be voters; returns the instance that it affects.
fn disturb(cluster: &mut Cluster, kind: Disturbance) -> Option<usize> {
    let running = cluster.running();
    let victim = running[cluster.random_below(running.len())];
    let pause = Duration::from_millis(cluster.random_below(2 * MAX_PAUSE_MS) as u64);
    match kind {
        Disturbance::Add => {
            if running.len() >= MAX_RUNNING {
                return None;
            }
            let seeds = random_seeds(cluster, &running);
            let disk = cluster.random_below(4) > 0;
            return Some(cluster.add(disk, &seeds, VOTERS));
        }
        Disturbance::Reseed => {
            for at in running.iter().copied() {
                let seeds = random_seeds(cluster, &running);
                cluster.set_seeds(at, &seeds);
                let seeds = seeds.into_iter().map(address).collect();
                cluster.send_event(at, Event::Directory(DirectoryEvent::Seeds(seeds)));
            }
            return Some(victim);
        }
        Disturbance::Lose
        | Disturbance::Crash
        | Disturbance::Wipe
        | Disturbance::Leave
        | Disturbance::Restart
        | Disturbance::Partition => {}
    }
    let others = running.iter().filter(|at| **at != victim && cluster.has_disk(**at)).count();
    if !cluster.bears_loss_of(victim) || others < VOTERS {
        return None;
    }
    match kind {
        Disturbance::Lose => cluster.kill(victim),
        Disturbance::Leave => drop(leave(cluster, victim)),
        Disturbance::Crash | Disturbance::Wipe | Disturbance::Restart => {
            if matches!(kind, Disturbance::Restart) {
                leave(cluster, victim);
            }
            cluster.kill(victim);
            cluster.run(pause);
            if matches!(kind, Disturbance::Wipe) || !cluster.has_disk(victim) {
                cluster.wipe(victim);
            }
            cluster.restart(victim);
        }
        Disturbance::Partition => {
            cluster.partitioned = Some(victim);
            cluster.run(pause);
            cluster.partitioned = None;
        }
        Disturbance::Add | Disturbance::Reseed => {}
    }
    Some(victim)
}

/// One or two instances, of which at least one runs.
fn random_seeds(cluster: &mut Cluster, running: &[usize]) -> Vec<usize> {
    let live = running[cluster.random_below(running.len())];
    let any = cluster.random_below(running[running.len() - 1] + 1);
    BTreeSet::from([live, any]).into_iter().collect()
}
