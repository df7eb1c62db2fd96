//! Limits that are shared by instances without communication.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use hickorylink_lib::{
    ids::{DataCentre, InstanceId},
    router::{
        Config, Router,
        port::{Effect, Event, Peer},
        shares::{View, rotation},
    },
    time::Time,
};
use quickcheck::{Arbitrary, Gen};

use crate::{
    harness::{SEED, address, answered, peers, policy, request, target},
    invariants::ensure,
    script::{Verdict, check},
};

const CENTRES: [&str; 3] = ["akl-a", "akl-b", "hlz-c"];

/// The maximum numbers of instances and targets.
const MAX_INSTANCES: u64 = 7;
const MAX_TARGETS: u8 = 4;

const SETTLE: Duration = Duration::from_secs(3);

/// The maximum delay until an instance learns of a change, and the maximum duration of a request.
/// Their sum is less than the settle time.
const MAX_DELAY_MS: u64 = 1_400;
const MAX_RUN_MS: u64 = 1_400;

/// A change in the simulation. `Die` and `Gone` end an instance and withdraw a target.
#[derive(Clone, Debug)]
enum Change {
    Join { instance: u64 },
    Die { instance: u64 },
    Announce { target: u8, centre: u8, leaving: bool },
    Gone { target: u8 },
    Ask { instance: u64, count: u8 },
    Pass { millis: u64 },
}

impl Arbitrary for Change {
    fn arbitrary(g: &mut Gen) -> Self {
        let instance = u64::arbitrary(g) % MAX_INSTANCES + 1;
        let target = u8::arbitrary(g) % MAX_TARGETS;
        match u8::arbitrary(g) % 20 {
            0..3 => Self::Join { instance },
            3 => Self::Die { instance },
            4..7 => Self::Announce { target, centre: target % 3, leaving: false },
            7 => Self::Announce { target, centre: target % 3, leaving: true },
            8 => Self::Gone { target },
            9..15 => Self::Ask { instance, count: u8::arbitrary(g) % 40 },
            15..18 => Self::Pass { millis: u64::arbitrary(g) % 1_000 },
            _ => Self::Pass { millis: u64::arbitrary(g) % 8_000 },
        }
    }
}

/// A message to an instance.
#[derive(Clone, Debug)]
enum Message {
    Instances(Vec<Peer>),
    Other(Box<Event>),
}

/// A simulation of several instances that learn of changes at different times.
struct Sim {
    now: Time,
    instances: BTreeMap<u64, Router>,
    targets: BTreeMap<String, hickorylink_lib::router::port::Target>,
    messages: BTreeMap<(Time, u64), (u64, Message)>,
    /// When the newest message to an instance arrives. Messages to one instance keep their order.
    newest: BTreeMap<u64, Time>,
    /// The number of running attempts by target.
    running: BTreeMap<String, i64>,
    /// The ends of attempts by time, each with the instance that sent the attempt and its target.
    runs: BTreeMap<(Time, u64), (u64, String, Event)>,
    /// Orders messages and attempts that are due at the same time, and numbers the requests.
    serial: u64,
    rng: u64,
}

impl Sim {
    fn new() -> Self {
        Self {
            now: Time::from_millis(1_000),
            instances: BTreeMap::new(),
            targets: BTreeMap::new(),
            messages: BTreeMap::new(),
            newest: BTreeMap::new(),
            running: BTreeMap::new(),
            runs: BTreeMap::new(),
            serial: 0,
            rng: SEED,
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.rng = self.rng.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.rng >> 33) % below
    }

    fn centre(instance: u64) -> &'static str {
        CENTRES[instance as usize % CENTRES.len()]
    }

    fn live(&self) -> Vec<Peer> {
        let list: Vec<_> = self.instances.keys().map(|id| (*id, Self::centre(*id))).collect();
        peers(&list)
    }

    /// Sends a message to every live instance, each with its own delay.
    fn broadcast(&mut self, message: &Message, immediate: Option<u64>) {
        for instance in self.instances.keys().copied().collect::<Vec<_>>() {
            let delay = match immediate == Some(instance) {
                true => Duration::ZERO,
                false => Duration::from_millis(self.draw(MAX_DELAY_MS)),
            };
            let newest = self.newest.entry(instance).or_default();
            *newest = (*newest).max(self.now + delay);
            self.serial += 1;
            self.messages.insert((*newest, self.serial), (instance, message.clone()));
        }
    }

    fn change(&mut self, change: &Change) {
        match change {
            Change::Join { instance } => self.join(*instance),
            Change::Die { instance } => {
                if self.instances.remove(instance).is_some() {
                    self.messages.retain(|_, (to, _)| to != instance);
                    self.newest.remove(instance);
                    self.broadcast(&Message::Instances(self.live()), None);
                }
            }
            Change::Announce { target: at, centre, leaving } => {
                let mut info = target(&address(usize::from(*at)), CENTRES[usize::from(*centre)]);
                info.leaving = *leaving;
                self.targets.insert(info.address.clone(), info.clone());
                self.broadcast(&Message::Other(Box::new(Event::Target(Box::new(info)))), None);
            }
            Change::Gone { target } => {
                let address = address(usize::from(*target));
                if self.targets.remove(&address).is_some() {
                    self.broadcast(&Message::Other(Box::new(Event::TargetGone { address })), None);
                }
            }
            Change::Ask { instance, count } => {
                for _ in 0..*count {
                    self.serial += 1;
                    let deadline = self.now + Duration::from_secs(60);
                    let asked = request(self.serial, "store", true, deadline);
                    self.handle(*instance, Event::Request(Box::new(asked)));
                }
            }
            Change::Pass { millis } => self.pass(Duration::from_millis(*millis)),
        }
    }

    fn join(&mut self, instance: u64) {
        if self.instances.contains_key(&instance) {
            return;
        }
        let mut config = Config::new(InstanceId(instance), Self::centre(instance).into());
        config.settle_time = SETTLE;
        self.instances.insert(instance, Router::new(config, self.now, instance));
        self.handle(instance, Event::Policy(policy()));
        for info in self.targets.values().cloned().collect::<Vec<_>>() {
            self.handle(instance, Event::Target(Box::new(info)));
        }
        self.broadcast(&Message::Instances(self.live()), Some(instance));
    }

    fn handle(&mut self, instance: u64, event: Event) {
        let Some(router) = self.instances.get_mut(&instance) else { return };
        let mut effects = Vec::new();
        router.handle(self.now, event, &mut effects);
        for effect in effects {
            if let Effect::Send { attempt, target, .. } = effect {
                *self.running.entry(target.clone()).or_default() += 1;
                let end = self.now + Duration::from_millis(self.draw(MAX_RUN_MS));
                let event = Event::AttemptEnded { attempt, end: answered(attempt.request.0) };
                self.serial += 1;
                self.runs.insert((end, self.serial), (instance, target, event));
            }
        }
    }

    /// The time of the next message, end of an attempt or timer.
    fn next(&self) -> Option<Time> {
        let messages = self.messages.keys().next().map(|(at, _)| *at);
        let runs = self.runs.keys().next().map(|(at, _)| *at);
        let timers = self.instances.values().filter_map(Router::next_deadline);
        timers.chain(messages).chain(runs).min()
    }

    fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(at) = self.next().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.run_due();
        }
        self.now = end;
    }

    /// Delivers all ends of attempts, messages and timers that are due.
    fn run_due(&mut self) {
        let now = self.now;
        while let Some(entry) = self.runs.first_entry().filter(|entry| entry.key().0 <= now) {
            let (instance, target, event) = entry.remove();
            self.running.entry(target).and_modify(|count| *count -= 1);
            self.handle(instance, event);
        }
        while let Some(entry) = self.messages.first_entry().filter(|entry| entry.key().0 <= now) {
            match entry.remove() {
                (instance, Message::Instances(peers)) => {
                    self.handle(instance, Event::Instances(peers));
                }
                (instance, Message::Other(event)) => self.handle(instance, *event),
            }
        }
        for instance in self.instances.keys().copied().collect::<Vec<_>>() {
            self.handle(instance, Event::Timer);
        }
    }

    /// Checks that neither the shares nor the running attempts exceed a target's limits.
    fn verify(&self) -> Verdict {
        let limits = target("", "");
        let slots = limits.slots;
        let mut assigned: BTreeMap<String, (u32, u32)> = BTreeMap::new();
        for router in self.instances.values() {
            for target in router.status().targets {
                let connections = router.connections(&target.address);
                let sum = assigned.entry(target.address).or_default();
                sum.0 += target.share;
                sum.1 += connections;
            }
        }
        for (address, (shares, connections)) in assigned {
            let fits = shares <= slots && connections <= limits.connections;
            let found =
                || format!("{address}: {shares} slots, {connections} connections are assigned");
            ensure(fits, found)?;
        }
        for (address, count) in &self.running {
            let fits = *count <= i64::from(slots);
            ensure(fits, || format!("{address}: {count} requests running"))?;
        }
        Ok(())
    }
}

#[test]
fn slots_are_never_exceeded_over_all_instances() {
    check(21, |changes: Vec<Change>| {
        let mut sim = Sim::new();
        for change in &changes {
            sim.change(change);
            sim.verify()?;
        }
        Ok(())
    });
}

#[test]
fn all_slots_are_assigned_once_the_views_agree() {
    check(22, |changes: Vec<Change>| {
        let mut sim = Sim::new();
        for change in &changes {
            sim.change(change);
        }
        if sim.instances.is_empty() {
            return Ok(());
        }
        sim.pass(SETTLE * 3);
        for (address, info) in &sim.targets {
            let routers = sim.instances.values().map(Router::status);
            let shares = routers.flat_map(|status| status.targets);
            let assigned: u32 = shares.filter(|t| t.address == *address).map(|t| t.share).sum();
            ensure(assigned == info.slots, || format!("{address}: {assigned} slots are assigned"))?;
        }
        Ok(())
    });
}

#[test]
fn shares_prefer_local_instances() {
    struct Case {
        name: &'static str,
        peers: &'static [(u64, &'static str)],
        centres: &'static [&'static str],
        total: u32,
        want: &'static [u32],
    }
    let cases = [
        Case {
            name: "a single instance gets all slots",
            peers: &[(1, "a")],
            centres: &["a"],
            total: 8,
            want: &[8],
        },
        Case {
            name: "an instance in another data centre with targets gets none",
            peers: &[(1, "a"), (2, "a"), (3, "b")],
            centres: &["a", "b"],
            total: 8,
            want: &[4, 4, 0],
        },
        Case {
            name: "an instance in a data centre without targets gets a share",
            peers: &[(1, "a"), (2, "b")],
            centres: &["a"],
            total: 8,
            want: &[4, 4],
        },
        Case {
            name: "the remainder goes to the target's data centre first",
            peers: &[(1, "b"), (2, "a"), (3, "c")],
            centres: &["a"],
            total: 7,
            want: &[2, 3, 2],
        },
        Case {
            name: "without a local instance, all instances get a share",
            peers: &[(1, "b"), (2, "b"), (3, "c"), (4, "c")],
            centres: &["a", "b", "c"],
            total: 8,
            want: &[2, 2, 2, 2],
        },
        Case { name: "no instances", peers: &[], centres: &["a"], total: 8, want: &[] },
    ];
    for case in cases {
        let view = View {
            peers: peers(case.peers),
            centres: case.centres.iter().map(|name| DataCentre::from(*name)).collect(),
        };
        let share = |id: &(u64, &str)| {
            view.share(InstanceId(id.0), &"a".into(), rotation("10.0.0.1:80"), case.total)
        };
        let shares: Vec<_> = case.peers.iter().map(share).collect();
        assert_eq!(shares, case.want, "{}", case.name);
    }
}

#[test]
fn remainders_are_spread_over_the_instances() {
    let list: Vec<_> = (1..=3).map(|id| (id, "a")).collect();
    let view = View { peers: peers(&list), centres: BTreeSet::from(["a".into()]) };
    let total = |id: u64| -> u32 {
        let share = |at| view.share(InstanceId(id), &"a".into(), rotation(&address(at)), 8);
        (0..48).map(share).sum()
    };
    let totals: Vec<_> = (1..=3).map(total).collect();
    assert_eq!(totals.iter().sum::<u32>(), 48 * 8);
    assert!(totals.iter().all(|total| (118..=138).contains(total)), "{totals:?}");
}
