//! The recorded estimates of how much opportunistic images slow down serving images.

use std::time::Duration;

use hickorylink_lib::jobs::model::{Image, Step, StepOptions, TaskKey};

use crate::world::{FakeWorker, World, step, task};

/// The target latency of the serving tasks, in milliseconds.
pub(crate) const TARGET_MS: u64 = 150;

/// The time between two heartbeats of a worker in these tests.
const HEARTBEAT: Duration = Duration::from_millis(100);

pub(crate) fn serving(image: &str) -> Step {
    let options = StepOptions { long_running: true, ..StepOptions::default() };
    Step { image: Some(Image::from(image)), target_latency: Some(TARGET_MS), options, ..step(1) }
}

fn opportunistic(image: &str) -> Step {
    let options = StepOptions { opportunistic: true, checkpoints: true, ..StepOptions::default() };
    Step { image: Some(Image::from(image)), options, ..step(1) }
}

/// A leader with a worker on which a serving task runs beside an opportunistic one.
struct Pair {
    world: World,
    worker: FakeWorker,
    serving: TaskKey,
    opportunistic: TaskKey,
}

impl Pair {
    fn new(service: Step, image: &str) -> Self {
        let (mut world, mut worker) = (World::new(), FakeWorker::new("w1"));
        world.heartbeat(&mut worker);
        let serving = task(world.submit(1, vec![service]), 0, 0);
        let opportunistic = task(world.submit(2, vec![opportunistic(image)]), 0, 0);
        world.heartbeat(&mut worker);
        Self { world, worker, serving, opportunistic }
    }

    /// Sends heartbeats that alternate between an idle opportunistic task and one that uses a
    /// processor and multiplies the tail latency by `factor`. A job is submitted with each, so that
    /// the leader has something else to propose.
    fn train(&mut self, heartbeats: u64, factor: f64) {
        for heartbeat in 0..heartbeats {
            let (used, tail) = if heartbeat % 2 == 0 { (1000, 50.0 * factor) } else { (0, 50.0) };
            self.worker.gauges = [(self.serving, tail as u64), (self.opportunistic, used)].into();
            self.world.heartbeat(&mut self.worker);
            self.world.advance(HEARTBEAT);
            let id = self.world.now.as_nanos();
            self.world.submit(id, vec![Step { label: Some("nowhere".into()), ..step(1) }]);
        }
    }

    fn harm(&self, image: &str) -> f64 {
        let leader = self.world.controller.leader().expect("the controller leads");
        leader.interference.harm(Some(&"desk".into()), Some(&Image::from(image)))
    }
}

/// Guards against a new leader that learns again, at the expense of the serving tasks, what the last one
/// knew.
#[test]
fn estimates_survive_a_leader_change() {
    struct Case {
        name: &'static str,
        factor: f64,
        want: std::ops::RangeInclusive<f64>,
    }
    let cases = [
        Case { name: "harmful", factor: 2.0, want: 0.5..=0.8 },
        Case { name: "mild", factor: 1.3, want: 0.18..=0.35 },
        Case { name: "harmless", factor: 1.0, want: 0.0..=0.06 },
    ];
    for case in cases {
        let mut pair = Pair::new(serving("desk"), "one");
        pair.train(200, case.factor);
        let before = pair.harm("one");
        assert!(case.want.contains(&before), "{}, before: {before}", case.name);
        pair.world.restart();
        let after = pair.harm("one");
        assert!(case.want.contains(&after), "{}, after: {after}", case.name);
    }
}
