//! What the agreement takes in time and bytes, counted in a simulated network.

use std::time::Duration;

use hickorylink_lib::ids::InstanceId;
use rand::Rng;

use crate::world::{Network, Times, World};

/// The times of an instance in service.
const SERVICE: Times = Times {
    heartbeat_interval: Duration::from_millis(100),
    election_timeout: Duration::from_millis(500),
};

/// Half a millisecond to a millisecond one way.
const NEAR: Network = Network { lost: 0, repeated: 0, slowest: 500 };

/// A council in service that has a leader.
fn council(voters: u64, learners: u64, seed: u64) -> (World, InstanceId) {
    let mut world = World::with_times(voters, learners, seed, SERVICE);
    world.network = NEAR;
    world.run_for(5_000);
    let leader = world.leader().expect("a healthy council has a leader");
    (world, leader)
}

/// How long a proposal at the leader takes until the leader applies it, in microseconds.
fn commit_micros(world: &mut World, leader: InstanceId) -> u64 {
    let began = world.now;
    let ticket = world.propose(leader);
    while !world.promises.is_acked(ticket) {
        world.run_until(world.now + Duration::from_micros(100));
        assert!(world.now.since(began) < Duration::from_secs(5), "the proposal is committed");
    }
    u64::try_from(world.now.since(began).as_micros()).expect("a short time")
}

#[test]
fn an_idle_council_sends_little() {
    struct Case {
        voters: u64,
        learners: u64,
        /// The most that the leader may send, in bytes a second.
        limit: u64,
    }
    let cases = [
        Case { voters: 3, learners: 0, limit: 1_000 },
        Case { voters: 5, learners: 0, limit: 2_000 },
        Case { voters: 3, learners: 12, limit: 5_000 },
        Case { voters: 5, learners: 12, limit: 5_000 },
    ];
    for Case { voters, learners, limit } in cases {
        let (mut world, leader) = council(voters, learners, 1);
        for _ in 0..50 {
            commit_micros(&mut world, leader);
        }
        world.run_for(1_000);
        world.sent.clear();
        world.run_for(10_000);
        let leads = world.sent.get(&leader).copied().unwrap_or(0) / 10;
        let follows = world.sent.iter().filter(|(id, _)| **id != leader).map(|(_, sent)| sent);
        let follows = follows.max().copied().unwrap_or(0) / 10;
        println!("{voters} voters, {learners} learners: leader {leads} B/s, others {follows} B/s");
        assert!(leads <= limit, "{voters} voters, {learners} learners: {leads} B/s");
    }
}

#[test]
fn another_leader_commits_within_two_seconds() {
    let mut slowest = 0;
    for seed in 0..40 {
        let (mut world, leader) = council(3, 2, seed);
        let pause = world.rng.random_range(0..1_000);
        world.run_for(pause);
        let began = world.now;
        world.crash(leader);
        let next = loop {
            world.run_for(1);
            if let Some(next) = world.leader() {
                break next;
            }
            let waited = world.now.since(began);
            assert!(waited < Duration::from_secs(2), "seed {seed}: nobody leads");
        };
        commit_micros(&mut world, next);
        let gap = world.now.since(began);
        assert!(gap < Duration::from_secs(2), "seed {seed}: commits again after {gap:?}");
        slowest = slowest.max(gap.as_millis());
    }
    println!("40 seeds: the slowest commits again after {slowest} ms");
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
        let (mut world, leader) = council(3, learners, 1);
        for _ in 0..50 {
            commit_micros(&mut world, leader);
        }
        let mut micros = Vec::new();
        for round in 0..200 {
            if round < joins {
                let instance = world.join();
                world.add_learner(leader, instance);
            }
            micros.push(commit_micros(&mut world, leader));
        }
        micros.sort_unstable();
        let (median, worst) = (micros[100], micros[199]);
        println!("{name}: median {median} us, slowest {worst} us");
        medians.push(median);
    }
    let limit = medians[0] * 5 / 4;
    assert!(medians.iter().all(|median| *median <= limit), "within a quarter: {medians:?}");
}
