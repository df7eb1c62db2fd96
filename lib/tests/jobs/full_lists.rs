//! Workers whose list of ended runs is full: what it lacks isn't lost.

use std::time::Duration;

use hickorylink_lib::{
    jobs::{lifecycle::JobPhase, model::Run, record::Ending},
    resources::Resources,
};

use crate::world::{FakeWorker, LEASE, World, step, task};

/// The number of ends that the workers of these tests list at a time.
const MAX_LISTED: usize = 4;

/// The number of tasks that end together.
const TASKS: u32 = 18;

/// The heartbeats that it takes to list all ends, and one for their acknowledgement.
const HEARTBEATS: usize = TASKS as usize / MAX_LISTED + 2;

fn worker(name: &str) -> FakeWorker {
    let capacity = Resources { millicores: 64_000, memory_mib: 64_000, accelerators: 0 };
    FakeWorker { capacity, max_listed: MAX_LISTED, ..FakeWorker::new(name) }
}

/// Guards against tasks that start again because their ends didn't fit the worker's list, and against
/// workers none of whose later ends are heard.
#[test]
fn runs_whose_ends_are_not_listed_yet_are_kept() {
    struct Case {
        name: &'static str,
        /// Whether the worker lists the runs before they end.
        listed: bool,
        /// For how long it is silent before it lists the ends.
        silence: Duration,
        /// Whether the leader changes after the first list.
        change: bool,
        /// Whether the worker leaves when the runs have ended.
        leaves: bool,
    }
    let case =
        |name| Case { name, listed: true, silence: Duration::ZERO, change: false, leaves: false };
    let cases = [
        case("all end at once"),
        Case { listed: false, ..case("never listed") },
        Case { silence: LEASE - Duration::from_secs(1), ..case("cut off within the lease") },
        Case { change: true, ..case("a change of the leader") },
        Case { listed: false, change: true, ..case("never listed, a change of the leader") },
        Case { leaves: true, ..case("leaving") },
    ];
    for case in cases {
        let mut world = World::new();
        let (mut busy, mut other) = (worker("w1"), worker("w2"));
        let job = world.submit(7, vec![step(TASKS)]);
        world.heartbeat(&mut busy).expect("a response");
        assert_eq!(busy.running.len(), 18, "{}", case.name);
        if case.listed {
            world.heartbeat(&mut busy).expect("a response");
        }
        busy.end_all(Ending::Done);
        busy.leaving = case.leaves.then_some(2000);
        world.advance(case.silence);
        let mut delays = Vec::new();
        for round in 0..HEARTBEATS {
            let sent = world.now;
            let full = busy.ended.len() >= MAX_LISTED;
            let response = world.heartbeat(&mut busy).expect("a response");
            if full {
                delays.push(sent.until(world.now) + response.next_heartbeat);
            }
            world.heartbeat(&mut other);
            if case.change && round == 0 {
                world.restart();
            }
        }
        assert!(busy.ended.is_empty(), "{}: {} ends are left", case.name, busy.ended.len());
        assert_eq!(world.phase(7), JobPhase::Completed, "{}", case.name);
        let slow = delays.iter().any(|delay| *delay > Duration::from_millis(50));
        assert!(!slow, "{}: after full lists: {delays:?}", case.name);
        let want: Vec<_> = (0..TASKS).map(|index| (task(job, 0, index), Run(1))).collect();
        assert_eq!(busy.started, want, "{}", case.name);
        assert_eq!(other.started, [], "{}", case.name);
    }
}
