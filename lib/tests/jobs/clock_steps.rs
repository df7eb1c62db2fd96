//! Steps of the leader's wall clock, which change no duration.

use std::time::Duration;

use hickorylink_lib::jobs::{
    call::OperatorRequest,
    controller::{Effect, LogEvent},
    model::{Step, StepOptions},
    record::Ending,
};

use crate::{
    avoidance::avoided,
    world::{FakeWorker, World, job_config, step},
};

/// What the wall clock does while a step waits.
struct ClockStep {
    name: &'static str,
    /// How far it is set forward, or back if negative, in milliseconds.
    millis: i64,
    /// Whether the configuration changes as well, after which all steps are queued again.
    configured: bool,
}

const CLOCK_STEPS: [ClockStep; 6] = [
    ClockStep { name: "stays", millis: 0, configured: false },
    ClockStep { name: "back", millis: -60_000, configured: false },
    ClockStep { name: "forward", millis: 60_000, configured: false },
    ClockStep { name: "stays, other configuration", millis: 0, configured: true },
    ClockStep { name: "back, other configuration", millis: -60_000, configured: true },
    ClockStep { name: "forward, other configuration", millis: 60_000, configured: true },
];

impl ClockStep {
    fn apply(&self, world: &mut World) {
        world.step_clock(self.millis);
        if self.configured {
            world.operator_request(OperatorRequest::Configure(Box::new(job_config(2))));
        }
    }
}

fn long_running() -> Step {
    Step { options: StepOptions { long_running: true, ..StepOptions::default() }, ..step(1) }
}

/// Guards against long-running tasks that wait longer for a place, or less long, after a step of the
/// leader's wall clock.
#[test]
fn a_step_of_the_wall_clock_does_not_change_how_long_a_task_waits_for_a_place() {
    let mut failures = Vec::new();
    for case in CLOCK_STEPS {
        let mut world = World::new();
        let mut worker = avoided(&mut world, "w1");
        world.submit(7, vec![long_running()]);
        let begun = world.now;
        let mut stepped = false;
        let mut waited = None;
        while world.now.since(begun) < Duration::from_secs(4) && waited.is_none() {
            if !stepped && world.now.since(begun) >= Duration::from_secs(1) {
                stepped = true;
                case.apply(&mut world);
            }
            world.heartbeat(&mut worker);
            waited = (!worker.running.is_empty()).then(|| world.now.since(begun));
        }
        let want = Duration::from_secs(2)..Duration::from_secs(3);
        if !waited.is_some_and(|waited| want.contains(&waited)) {
            failures.push((case.name, waited));
        }
    }
    assert!(failures.is_empty(), "not within 2 to 3 s: {failures:?}");
}

/// Guards against reports of waiting tasks that come too late or too early, or with a wrong duration,
/// after a step of the leader's wall clock.
#[test]
fn a_step_of_the_wall_clock_does_not_change_the_reported_duration_of_a_wait() {
    let mut failures = Vec::new();
    for case in CLOCK_STEPS {
        let mut world = World::new();
        let mut worker = FakeWorker::new("w1");
        world.submit(7, vec![long_running()]);
        while worker.running.is_empty() {
            world.heartbeat(&mut worker);
        }
        worker.leaving = Some(60_000);
        worker.end_all(Ending::Stopped);
        world.heartbeat(&mut worker);
        let begun = world.now;
        world.advance(Duration::from_secs(1));
        case.apply(&mut world);
        while world.now.since(begun) < Duration::from_secs(5) {
            world.heartbeat(&mut worker);
            world.advance(Duration::from_millis(20));
        }
        let reports = world.sent.iter().filter_map(|effect| match effect {
            Effect::LogEvent(LogEvent::Stranded { waited_ms, .. }) => Some(*waited_ms),
            _ => None,
        });
        let reports: Vec<_> = reports.collect();
        let first = reports.first();
        let last = reports.last();
        if !first.is_some_and(|waited_ms| (3000..=4200).contains(waited_ms))
            || !last.is_some_and(|waited_ms| (4200..=5200).contains(waited_ms))
        {
            failures.push((case.name, reports));
        }
    }
    assert!(failures.is_empty(), "not after 3 to 4.2 s and again after that: {failures:?}");
}
