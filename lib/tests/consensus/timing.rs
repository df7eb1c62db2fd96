//! Time and network traffic of consensus, measured in a simulated network.

use std::time::Duration;

use hickorylink_lib::ids::InstanceId;
use rand::Rng;

use crate::simulation::{Network, Simulation, Times};

/// The intervals and timeouts that instances use in production.
const SERVICE_TIMES: Times = Times {
    heartbeat_interval: Duration::from_millis(100),
    election_timeout: Duration::from_millis(500),
};

/// A local network with a one-way delay of 0.5 ms to 1 ms.
const LOCAL: Network = Network { loss_percent: 0, duplicate_percent: 0, max_delay_micros: 500 };

/// A group with production timeouts that has a leader.
fn group(voters: u64, learners: u64, seed: u64) -> (Simulation, InstanceId) {
    let mut sim = Simulation::with_times(voters, learners, seed, SERVICE_TIMES);
    sim.network = LOCAL;
    sim.run_for(5_000);
    let leader = sim.leader().expect("a healthy group has a leader");
    (sim, leader)
}

/// Proposes a command to the leader and returns how long it takes until the leader applies it, in
/// microseconds.
fn commit_micros(sim: &mut Simulation, leader: InstanceId) -> u64 {
    let began = sim.now;
    let ticket = sim.propose(leader);
    while !sim.invariants.is_acked(ticket) {
        sim.run_until(sim.now + Duration::from_micros(100));
        assert!(sim.now.since(began) < Duration::from_secs(5), "the proposal is committed");
    }
    u64::try_from(sim.now.since(began).as_micros()).expect("a short time")
}

#[test]
fn an_idle_group_sends_little() {
    struct Case {
        voters: u64,
        learners: u64,
        /// The maximum traffic that the leader may send, in bytes per second.
        limit: u64,
    }
    let cases = [
        Case { voters: 3, learners: 0, limit: 1_000 },
        Case { voters: 5, learners: 0, limit: 2_000 },
        Case { voters: 3, learners: 12, limit: 5_000 },
        Case { voters: 5, learners: 12, limit: 5_000 },
    ];
    for Case { voters, learners, limit } in cases {
        let (mut sim, leader) = group(voters, learners, 1);
        for _ in 0..50 {
            commit_micros(&mut sim, leader);
        }
        sim.run_for(1_000);
        sim.sent.clear();
        sim.run_for(10_000);
        let leader_rate = sim.sent.get(&leader).copied().unwrap_or(0) / 10;
        let other_bytes = sim.sent.iter().filter(|(id, _)| **id != leader).map(|(_, sent)| sent);
        let other_rate = other_bytes.max().copied().unwrap_or(0) / 10;
        println!(
            "{voters} voters, {learners} learners: leader {leader_rate} B/s, \
             others {other_rate} B/s"
        );
        assert!(leader_rate <= limit, "{voters} voters, {learners} learners: {leader_rate} B/s");
    }
}

#[test]
fn a_new_leader_commits_within_two_seconds() {
    let mut slowest = 0;
    for seed in 0..40 {
        let (mut sim, leader) = group(3, 2, seed);
        let pause = sim.rng.random_range(0..1_000);
        sim.run_for(pause);
        let began = sim.now;
        sim.crash(leader);
        let next = loop {
            sim.run_for(1);
            if let Some(next) = sim.leader() {
                break next;
            }
            let waited = sim.now.since(began);
            assert!(waited < Duration::from_secs(2), "seed {seed}: no leader");
        };
        commit_micros(&mut sim, next);
        let gap = sim.now.since(began);
        assert!(gap < Duration::from_secs(2), "seed {seed}: the next commit took {gap:?}");
        slowest = slowest.max(gap.as_millis());
    }
    println!("40 seeds: the slowest next commit took {slowest} ms");
}

#[test]
fn joins_do_not_delay_commits() {
    struct Case {
        name: &'static str,
        learners: u64,
        joins: usize,
    }
    let cases = [
        Case { name: "3 voters", learners: 0, joins: 0 },
        Case { name: "12 learners", learners: 12, joins: 0 },
        Case { name: "12 learners join", learners: 0, joins: 12 },
    ];
    let mut medians = Vec::new();
    for Case { name, learners, joins } in cases {
        let (mut sim, leader) = group(3, learners, 1);
        for _ in 0..50 {
            commit_micros(&mut sim, leader);
        }
        let mut micros = Vec::new();
        for round in 0..200 {
            if round < joins {
                let instance = sim.join();
                sim.add_learner(leader, instance);
            }
            micros.push(commit_micros(&mut sim, leader));
        }
        micros.sort_unstable();
        let (median, worst) = (micros[100], micros[199]);
        println!("{name}: median {median} us, slowest {worst} us");
        medians.push(median);
    }
    let limit = medians[0] * 5 / 4;
    assert!(medians.iter().all(|median| *median <= limit), "within a quarter: {medians:?}");
}
