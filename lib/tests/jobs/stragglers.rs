//! Throttled runs that move to workers where they run at full speed.

use std::time::Duration;

use hickorylink_lib::jobs::model::{Image, Step, StepOptions};

use crate::world::{FakeWorker, World, step, task};

const TARGET_MS: u64 = 150;

/// The pattern: the load of a serving task rises after opportunistic tasks have been placed beside it, and stays
/// high. Guards against jobs that wait for one throttled task while other workers have room.
#[test]
fn throttled_runs_move_to_a_free_worker() {
    struct Case {
        name: &'static str,
        checkpoints: bool,
        /// The tail latency of the serving task once the load has risen, in milliseconds.
        tail: u64,
        /// Whether another worker is up.
        other: bool,
        moves: bool,
    }
    let cases = [
        Case { name: "throttled", checkpoints: true, tail: 145, other: true, moves: true },
        Case { name: "no other worker", checkpoints: true, tail: 145, other: false, moves: false },
        Case { name: "enough headroom", checkpoints: true, tail: 60, other: true, moves: false },
        Case {
            name: "throttled, no checkpoints",
            checkpoints: false,
            tail: 145,
            other: true,
            moves: false,
        },
        Case {
            name: "paused, no checkpoints",
            checkpoints: false,
            tail: 900,
            other: true,
            moves: true,
        },
    ];
    for case in cases {
        let mut world = World::new();
        let (mut first, mut second) = (FakeWorker::new("w1"), FakeWorker::new("w2"));
        world.heartbeat(&mut first);
        let long_running = StepOptions { long_running: true, ..StepOptions::default() };
        let serving = Step {
            image: Some(Image::from("desk")),
            target_latency: Some(TARGET_MS),
            options: long_running,
            ..step(1)
        };
        let opportunistic = Step {
            image: Some(Image::from("harmful")),
            // An overdue job may start at any speed, so it would stay beside the serving task.
            estimate: 60_000,
            options: StepOptions {
                opportunistic: true,
                checkpoints: case.checkpoints,
                ..StepOptions::default()
            },
            ..step(1)
        };
        let serving_task = task(world.submit(1, vec![serving]), 0, 0);
        let moved = task(world.submit(2, vec![opportunistic]), 0, 0);
        let mut beat = |world: &mut World, second: Option<&mut FakeWorker>, tail, used| {
            first.gauges = [(serving_task, tail), (moved, used)].into();
            // A run without progress is stopped for that reason.
            first.percent = first.percent % 90 + 1;
            world.heartbeat(&mut first);
            second.map(|second| world.heartbeat(second));
            world.advance(Duration::from_millis(100));
            first.running.contains_key(&moved)
        };
        for at in 0..60 {
            let (tail, used) = if at % 2 == 0 { (75, 1000) } else { (50, 0) };
            beat(&mut world, None, tail, used);
        }
        assert!(beat(&mut world, None, 50, 0), "{}: it runs on w1", case.name);
        let mut stays = true;
        for _ in 0..40 {
            let other = case.other.then_some(&mut second);
            stays &= beat(&mut world, other, case.tail, 1000);
        }
        assert_eq!(!stays, case.moves, "{}", case.name);
        assert_eq!(
            second.started.iter().any(|(task, _)| *task == moved),
            case.moves,
            "{}: runs on w2",
            case.name
        );
    }
}

/// Guards against ordinary runs without progress that a new leader leaves where they are.
#[test]
fn a_new_leader_stops_stalled_runs() {
    let mut world = World::new();
    let mut worker = FakeWorker::new("w1");
    world.heartbeat(&mut worker);
    let stalled = task(world.submit(1, vec![step(1)]), 0, 0);
    world.heartbeat(&mut worker);
    assert!(worker.running.contains_key(&stalled), "it runs");
    world.restart();
    for _ in 0..40 {
        world.heartbeat(&mut worker);
        world.advance(Duration::from_millis(100));
    }
    assert!(worker.stopped.contains(&stalled), "it is stopped, to start again");
}
