//! The directory alone: whom it sends heartbeats, whom it forgets, and when it reports that there is
//! no consensus group.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use hickorylink_lib::{
    directory::{
        Config, Directory,
        port::{Event, Heartbeat, InstanceInfo, PeerMessage, ReplicaStatus},
    },
    ids::InstanceId,
    instance::port::{Effect, Event as InstanceEvent, Output},
    replicated_log::port::Event as ReplicatedLogEvent,
    time::Time,
};

/// The instances that are restarted or replaced on an ordinary day, and the time between two.
const REPLACED_IN_A_DAY: u64 = 1900;
const REPLACE_INTERVAL: Duration = Duration::from_secs(24 * 3600 / REPLACED_IN_A_DAY);

/// The most heartbeats that a directory may send in a second to instances that are gone: with 250
/// bytes each they stay below the 11 KB a second that a node may spend.
const MAX_WASTE: usize = 40;

/// The directory under test and what it sent.
struct World {
    directory: Directory,
    now: Time,
    out: Vec<Output>,
}

fn address(number: u64) -> SocketAddr {
    let [.., high, low] = number.to_be_bytes();
    SocketAddr::from(([10, 1, high, low], 7100))
}

fn info(number: u64) -> InstanceInfo {
    InstanceInfo {
        instance: InstanceId(number),
        name: format!("akl-a-{number}").as_str().into(),
        centre: "akl-a".into(),
        peer: address(number),
        front: address(number),
        disk: false,
        draining: false,
    }
}

impl World {
    /// A directory of instance 0 with these seeds.
    fn new(seeds: &[u64]) -> Self {
        let now = Time::from_millis(1);
        let config = Config {
            me: info(0),
            seeds: seeds.iter().copied().map(address).collect(),
            heartbeat_interval: Duration::from_millis(250),
            dead_after: Duration::from_secs(1),
            confirm_timeout: Duration::from_millis(1800),
            expire_after: Duration::from_millis(1800),
            announce_interval: Duration::from_secs(1),
        };
        Self { directory: Directory::new(config, now), now, out: Vec::new() }
    }

    fn handle(&mut self, event: Event) {
        self.directory.handle(self.now, event, &mut self.out);
    }

    /// A heartbeat of an instance arrives, with the addresses that it lists.
    fn hear(&mut self, info: InstanceInfo, member: bool, listed: &[u64]) {
        let heartbeat = Heartbeat {
            info,
            replica: ReplicaStatus { member, ..ReplicaStatus::default() },
            targets: 0,
            addresses: listed.iter().copied().map(address).collect(),
        };
        self.handle(Event::Heartbeat(Box::new(heartbeat)));
    }

    /// Runs the timers for `span` while the instances of `live` send heartbeats twice a second; returns
    /// the addresses to which heartbeats were sent, one for each heartbeat.
    fn run(&mut self, span: Duration, live: &[u64]) -> Vec<SocketAddr> {
        let end = self.now + span;
        self.out.clear();
        let mut next_heard = self.now;
        while let Some(at) = self.directory.next_deadline().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            if self.now >= next_heard {
                next_heard = self.now + Duration::from_millis(500);
                for number in live {
                    self.hear(info(*number), false, &[]);
                }
            }
            self.handle(Event::Timer);
        }
        self.now = end;
        self.out.iter().filter_map(heartbeat_address).collect()
    }
}

fn heartbeat_address(output: &Output) -> Option<SocketAddr> {
    match output {
        Output::Effect(Effect::Send { to, message: PeerMessage::Heartbeat(_) }) => Some(*to),
        Output::Effect(_) | Output::Event(_) => None,
    }
}

// Guards against instances that are no longer learnt of because addresses of gone ones fill the
// store, and against heartbeats to all that are gone.
#[test]
fn new_instances_are_learnt_after_a_day_of_replacements() {
    struct Case {
        name: &'static str,
        /// Whether a new instance is heard itself, or only listed by instance 1.
        direct: bool,
    }
    let cases = [Case { name: "heard", direct: true }, Case { name: "listed", direct: false }];
    for case in &cases {
        let mut world = World::new(&[1, 2]);
        for number in 100..100 + REPLACED_IN_A_DAY {
            if case.direct {
                world.hear(info(number), false, &[]);
            } else {
                world.hear(info(1), false, &[number]);
            }
            let sent = world.run(Duration::from_secs(1), &[1]);
            let name = case.name;
            assert!(sent.contains(&address(number)), "{name}: {number} is sent a heartbeat");
            assert!(sent.contains(&address(1)), "{name}: the live one is sent heartbeats");
            assert!(sent.contains(&address(2)), "{name}: a silent seed is tried");
            let gone = sent.iter().filter(|to| ![1, 2, number].map(address).contains(to));
            let gone = gone.count();
            assert!(gone <= MAX_WASTE, "{name}: {gone} heartbeats in a second to gone instances");
            world.now = world.now + (REPLACE_INTERVAL - Duration::from_secs(1));
            world.hear(info(1), false, &[]);
        }
        assert_eq!(world.directory.alive().len(), 2, "{}: this one and instance 1", case.name);
    }
}

// Guards against live instances that are dropped for addresses of gone ones.
#[test]
fn live_instances_are_kept_when_many_addresses_are_listed() {
    let mut world = World::new(&[1]);
    let live: Vec<u64> = (1..200).collect();
    world.run(Duration::from_secs(2), &live);
    for number in 1000..2000 {
        world.hear(info(1), false, &[number]);
    }
    let sent: BTreeSet<_> = world.run(Duration::from_secs(1), &live).into_iter().collect();
    for number in live {
        assert!(sent.contains(&address(number)), "{number} is sent a heartbeat");
    }
}

// Guards against halves of a deployment that forget each other while they are cut off.
#[test]
fn silent_seeds_and_members_are_tried_for_as_long_as_they_last() {
    let mut world = World::new(&[1]);
    for number in [2, 3] {
        world.hear(info(number), true, &[]);
    }
    world.handle(Event::Members(vec![InstanceId(0), InstanceId(2)]));
    world.run(Duration::from_secs(2), &[]);
    world.now = world.now + Duration::from_secs(24 * 3600);
    world.run(Duration::from_secs(5), &[]);
    let sent: BTreeSet<_> = world.run(Duration::from_secs(5), &[]).into_iter().collect();
    assert_eq!(sent, [1, 2].map(address).into(), "the seed and the other member");
    world.handle(Event::Members(vec![InstanceId(0)]));
    world.run(Duration::from_secs(5), &[]);
    let sent: BTreeSet<_> = world.run(Duration::from_secs(5), &[]).into_iter().collect();
    assert_eq!(sent, [1].map(address).into(), "the seed");
}

// Guards against an instance that goes on with the seeds of its start only.
#[test]
fn replaced_seeds_are_contacted_and_former_ones_forgotten() {
    let mut world = World::new(&[1]);
    world.run(Duration::from_secs(60), &[]);
    world.handle(Event::Seeds(vec![address(2)]));
    let sent: BTreeSet<_> = world.run(Duration::from_secs(1), &[]).into_iter().collect();
    assert!(sent.contains(&address(2)), "{sent:?}");
    world.now = world.now + Duration::from_secs(2 * 3600);
    world.run(Duration::from_secs(5), &[]);
    let sent: BTreeSet<_> = world.run(Duration::from_secs(5), &[]).into_iter().collect();
    assert_eq!(sent, [2].map(address).into(), "the new seed only");
}

// Guards against a second consensus group that a founder on an empty disk starts beside the first.
#[test]
fn a_group_is_missing_only_if_nobody_who_is_heard_belongs_to_one() {
    struct Case {
        name: &'static str,
        seeds: &'static [u64],
        /// Others that are heard, each with whether it belongs to a group.
        heard: &'static [(u64, bool)],
        /// When they are first heard, in milliseconds after the start.
        from: u64,
        missing: bool,
    }
    let cases = [
        Case { name: "alone", seeds: &[0], heard: &[], from: 0, missing: true },
        Case { name: "new seeds", seeds: &[0, 1], heard: &[(1, false)], from: 0, missing: true },
        Case { name: "a silent seed", seeds: &[0, 1], heard: &[], from: 0, missing: false },
        Case { name: "a member", seeds: &[0, 1], heard: &[(1, true)], from: 0, missing: false },
        Case {
            name: "new seeds, and a member that is no seed",
            seeds: &[0, 1],
            heard: &[(1, false), (2, true)],
            from: 0,
            missing: false,
        },
        Case {
            name: "a member that reconnects after a second",
            seeds: &[0],
            heard: &[(2, true)],
            from: 1000,
            missing: false,
        },
    ];
    for case in &cases {
        let mut world = World::new(case.seeds);
        let start = world.now;
        let mut missing = false;
        for _ in 0..50 {
            if world.now.since(start) >= Duration::from_millis(case.from) {
                for (number, member) in case.heard {
                    world.hear(info(*number), *member, &[]);
                }
            }
            world.run(Duration::from_millis(100), &[]);
            missing |= world.out.iter().any(is_group_missing);
        }
        assert_eq!(missing, case.missing, "{}", case.name);
    }
}

fn is_group_missing(output: &Output) -> bool {
    matches!(output, Output::Event(InstanceEvent::ReplicatedLog(ReplicatedLogEvent::NoGroupFound)))
}
