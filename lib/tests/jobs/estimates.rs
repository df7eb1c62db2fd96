//! Recorded estimates of interference across changes of the leader.

use std::{ops::RangeInclusive, time::Duration};

use hickorylink_lib::{
    jobs::{
        call::{Action, Call},
        controller::{Effect, Event, LogEvent, Ticket},
        estimates::{Estimates, MAX_IMAGE_BYTES},
        model::{Image, JobId, JobSpec, Step, StepOptions, TaskKey},
        record::Batch,
    },
    time::Time,
};

use crate::{
    deployment::Deployment,
    world::{FakeWorker, HOST, World, path, step, task},
};

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
    /// Whether a job is submitted with each heartbeat, so that the leader has something else to propose.
    busy: bool,
    /// The number of heartbeats so far.
    sent: u64,
}

impl Pair {
    fn new(service: Step, image: &str) -> Self {
        let (mut world, mut worker) = (World::new(), FakeWorker::new("w1"));
        world.heartbeat(&mut worker);
        let serving = task(world.submit(1, vec![service]), 0, 0);
        let opportunistic = task(world.submit(2, vec![opportunistic(image)]), 0, 0);
        world.heartbeat(&mut worker);
        Self { world, worker, serving, opportunistic, busy: true, sent: 0 }
    }

    /// Sends heartbeats that alternate between an idle opportunistic task and one that uses a
    /// processor and multiplies the tail latency by `factor`.
    fn train(&mut self, heartbeats: u64, factor: f64) {
        for _ in 0..heartbeats {
            self.sent += 1;
            // A run without progress is stopped, which is recorded.
            self.worker.percent = (self.sent % 100) as u8;
            let (used, tail) =
                if self.sent.is_multiple_of(2) { (1000, 50.0 * factor) } else { (0, 50.0) };
            self.worker.gauges = [(self.serving, tail as u64), (self.opportunistic, used)].into();
            self.world.heartbeat(&mut self.worker);
            self.world.advance(HEARTBEAT);
            if self.busy {
                let id = self.world.now.as_nanos();
                self.world.submit(id, vec![Step { label: Some("nowhere".into()), ..step(1) }]);
            }
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
        heartbeats: u64,
        /// Whether a snapshot is taken, after 1,000 entries.
        snapshot: bool,
        want: RangeInclusive<f64>,
    }
    let case = |name, factor, heartbeats, want| {
        let snapshot = heartbeats > 500;
        Case { name, factor, heartbeats, snapshot, want }
    };
    let cases = [
        case("harmful", 2.0, 200, 0.5..=0.8),
        case("mild", 1.3, 200, 0.18..=0.35),
        case("harmless", 1.0, 200, 0.0..=0.06),
        case("harmful, with a snapshot", 2.0, 1200, 0.5..=0.8),
    ];
    for case in cases {
        let mut pair = Pair::new(serving("desk"), "one");
        pair.train(case.heartbeats, case.factor);
        assert_eq!(pair.world.snapshot().is_some(), case.snapshot, "{}", case.name);
        let before = pair.harm("one");
        assert!(case.want.contains(&before), "{}, before: {before}", case.name);
        pair.world.restart();
        let after = pair.harm("one");
        assert!(case.want.contains(&after), "{}, after: {after}", case.name);
        let restored = |effect: &Effect| {
            matches!(effect, Effect::LogEvent(LogEvent::EstimatesRestored { pairs: 1, images: 1 }))
        };
        assert!(pair.world.sent.iter().any(restored), "{}: it is logged", case.name);
    }
}

/// A worker that lists the runs of two jobs to the leader of a deployment, by hand.
fn train(deployment: &mut Deployment, leader: u8) {
    let (service, batch) = (JobId(1), JobId(2));
    let submit = |id: JobId, step: Step| {
        let spec = JobSpec { text: "spec".into(), steps: vec![step], schedule: None };
        let call =
            Call { host: HOST.into(), path: path(id.0).into(), action: Action::Submit(spec) };
        Event::Call { ticket: Ticket::Front(1_000_000 + id.0), call }
    };
    let mut worker = FakeWorker::new("w1");
    for heartbeat in 0..150 {
        let factor = if heartbeat % 2 == 0 { 2.0 } else { 1.0 };
        let (serving_task, opportunistic_task) = (task(service, 0, 0), task(batch, 0, 0));
        worker.gauges = [
            (serving_task, (50.0 * factor) as u64),
            (opportunistic_task, 1000 * u64::from(factor > 1.0)),
        ]
        .into();
        let (ticket, report) = (Ticket::Front(2_000_000 + heartbeat), Box::new(worker.report()));
        deployment.receive(leader, Event::Heartbeat { ticket, report });
        let next = match heartbeat {
            0 => submit(service, serving("desk")),
            1 => submit(batch, opportunistic("one")),
            _ => submit(JobId(heartbeat + 1), step(1)),
        };
        deployment.receive(leader, next);
        deployment.advance(HEARTBEAT);
        let state = &deployment.controller(leader).leader().expect("it leads").state;
        for task in [serving_task, opportunistic_task] {
            if let Some(run) = state.task(&task).map(|task| task.run) {
                worker.running.insert(task, run);
            }
        }
    }
}

/// Guards against estimates that only the controller has which led, and against a replica that misses
/// them because it was restored from a snapshot.
#[test]
fn estimates_survive_the_loss_of_a_leader() {
    let mut deployment = Deployment::new(5, 1);
    let harm = |d: &Deployment, host| {
        let leader = d.controller(host).leader().expect("it leads");
        leader.interference.harm(Some(&"desk".into()), Some(&"one".into()))
    };
    let first = deployment.leader().expect("a leader");
    train(&mut deployment, first);
    let learned = harm(&deployment, first);
    assert!((0.5..=0.8).contains(&learned), "{learned}");
    let recorded = deployment.controller(first).committed().estimates.clone();
    for host in deployment.running() {
        let estimates = &deployment.controller(host).committed().estimates;
        assert_eq!(*estimates, recorded, "host {host}");
    }
    deployment.kill(first);
    deployment.wait("another leader", |d| d.leader().is_some_and(|host| host != first));
    let second = deployment.leader().expect("a leader");
    let restored = harm(&deployment, second);
    assert!((0.5..=0.8).contains(&restored), "{restored}");
}

/// Guards against a log that grows where there is nothing to record.
#[test]
fn estimates_are_recorded_only_beside_other_records_and_serving_images() {
    struct Case {
        name: &'static str,
        service: Step,
        /// Whether jobs are submitted meanwhile.
        busy: bool,
        want: bool,
    }
    let plain = Step { target_latency: None, ..serving("desk") };
    let nameless = Step { image: None, ..serving("desk") };
    let long = "d".repeat(MAX_IMAGE_BYTES + 1);
    let cases = [
        Case { name: "serving", service: serving("desk"), busy: true, want: true },
        Case { name: "idle leader", service: serving("desk"), busy: false, want: false },
        Case { name: "without a target", service: plain, busy: true, want: false },
        Case { name: "without an image", service: nameless, busy: true, want: false },
        Case { name: "a name that is too long", service: serving(&long), busy: true, want: false },
    ];
    for case in cases {
        let mut pair = Pair::new(case.service, "one");
        pair.busy = case.busy;
        pair.train(200, 2.0);
        let state = pair.world.controller.committed();
        assert_eq!(!state.estimates.is_empty(), case.want, "{}", case.name);
        // Without estimates, there is no further byte behind a batch or the state.
        let plain_state = postcard::to_allocvec(state).expect("the state can be encoded");
        assert_eq!(state.encode() != plain_state, case.want, "{}", case.name);
        let extended = pair.world.commands().any(|command| {
            let batch = Batch::decode(command).expect("a batch can be decoded");
            postcard::to_allocvec(&batch).expect("a batch can be encoded") != command
        });
        assert_eq!(extended, case.want, "{}", case.name);
    }
}

/// Guards against a leader that writes each change of an estimate to the log.
#[test]
fn estimates_are_recorded_at_most_once_in_an_interval() {
    let interval = Duration::from_secs(5);
    let mut pair = Pair::new(serving("desk"), "one");
    // Before and after the heartbeat with which estimates were recorded.
    let mut times: Vec<(Time, Time)> = Vec::new();
    let mut recorded = Estimates::default();
    for heartbeat in 0..800 {
        let before = pair.world.now;
        pair.train(1, [1.0, 2.0, 1.1, 1.8, 3.0][heartbeat / 40 % 5]);
        let estimates = &pair.world.controller.committed().estimates;
        if *estimates != recorded {
            times.push((before, pair.world.now));
            recorded = estimates.clone();
        }
    }
    assert!(times.len() > 5, "the estimates change: {times:?}");
    for pair in times.windows(2) {
        let ((earliest, _), (_, latest)) = (pair[0], pair[1]);
        assert!(latest.since(earliest) >= interval, "{times:?}");
    }
}
