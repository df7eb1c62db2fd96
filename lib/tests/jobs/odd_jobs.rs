//! Jobs and configurations with values that no customer or operator means.

use std::time::Duration;

use hickorylink_lib::{
    jobs::{
        call::{Action, OperatorRequest, Reply},
        lifecycle::JobPhase,
        model::{JobSpec, Schedule, Step, StepOptions},
        record::Ending,
    },
    resources::Resources,
    time::WallTime,
};

use crate::world::{FakeWorker, World, job_config, path, step};

/// Enough heartbeats of a worker of four processors for a job of one task.
const HEARTBEATS: u32 = 20;

/// Does what the world gives to a worker, and checks that a usual job is completed.
fn assert_usual_jobs_run(world: &mut World, name: &str) {
    const JOB: u64 = 1 << 20;
    let mut worker = FakeWorker::new("w1");
    world.submit(JOB, vec![step(1)]);
    for _ in 0..HEARTBEATS {
        world.heartbeat(&mut worker);
        worker.end_all(Ending::Done);
    }
    world.heartbeat(&mut worker);
    assert_eq!(world.phase(JOB), JobPhase::Completed, "{name}");
}

/// Regression: sums and products of such values overflowed.
#[test]
fn odd_jobs_are_refused_or_leave_the_leader_at_work() {
    struct Case {
        name: &'static str,
        steps: Vec<Step>,
        schedule: Option<Schedule>,
        refused: bool,
    }
    let needs = |millicores, memory_mib, accelerators| {
        vec![Step { needs: Resources { millicores, memory_mib, accelerators }, ..step(2) }]
    };
    let opportunistic = StepOptions { opportunistic: true, ..StepOptions::default() };
    let endless = Step { estimate: u64::MAX, ..step(3) };
    let schedule = |first, every, times| Some(Schedule { first: WallTime(first), every, times });
    let once = |steps| (steps, None);
    let cases = [
        ("processors without end", once(needs(u64::MAX, 1, 0)), true),
        ("memory without end", once(needs(1, u64::MAX, 0)), true),
        ("accelerators without end", once(needs(1, 1, u32::MAX)), true),
        (
            "idle processors without end",
            once(vec![Step {
                needs: Resources { millicores: u64::MAX, memory_mib: 1, accelerators: 0 },
                options: opportunistic,
                ..step(2)
            }]),
            true,
        ),
        ("a step with 2^32 tasks", once(vec![step(u32::MAX)]), true),
        ("steps with too many tasks together", once(vec![step(100_000); 50]), true),
        ("more steps than numbers for them", once(vec![step(1); 70_000]), true),
        ("a step after itself", once(vec![Step { after: vec![0], ..step(1) }]), true),
        (
            "a step after one that isn't there",
            once(vec![step(1), Step { after: vec![0, u16::MAX], ..step(1) }]),
            true,
        ),
        (
            "estimates without end",
            once(vec![endless.clone(), Step { after: vec![0], ..endless }]),
            false,
        ),
        ("no time between occurrences", (vec![step(1)], schedule(0, 0, 2)), true),
        ("occurrences without end", (vec![step(1)], schedule(u64::MAX, u64::MAX, 5)), false),
    ];
    let cases =
        cases.map(|(name, (steps, schedule), refused)| Case { name, steps, schedule, refused });
    for case in cases {
        let mut world = World::new();
        let spec = JobSpec { text: "spec".into(), steps: case.steps, schedule: case.schedule };
        let reply = world.call(&path(7), Action::Submit(spec));
        assert_eq!(matches!(reply, Reply::Invalid(_)), case.refused, "{}: {reply:?}", case.name);
        assert_usual_jobs_run(&mut world, case.name);
    }
}

/// Regression: all occurrences that were due were queued in one turn, which a leader didn't survive
/// with the most that a job may have; neither did the next one.
#[test]
fn occurrences_that_are_due_are_queued_a_few_at_a_time() {
    const MAX_QUEUED: usize = 300;
    const OCCURRENCES: u32 = 20_000;
    let mut world = World::new();
    let schedule = Some(Schedule { first: WallTime(0), every: 1, times: OCCURRENCES });
    let spec = JobSpec { text: "spec".into(), steps: vec![step(1)], schedule };
    assert_eq!(world.call(&path(7), Action::Submit(spec)), Reply::Accepted);
    let queued =
        |world: &World| world.controller.leader().map_or(0, |leader| leader.waiting_steps());
    assert!((1..=MAX_QUEUED).contains(&queued(&world)), "{} are queued", queued(&world));
    world.restart();
    assert!((1..=MAX_QUEUED).contains(&queued(&world)), "{} after a restart", queued(&world));
    // The next ones follow when some are done.
    let mut worker = FakeWorker::new("w1");
    for _ in 0..2 * MAX_QUEUED {
        world.heartbeat(&mut worker);
        worker.end_all(Ending::Done);
        world.advance(Duration::from_millis(20));
    }
    assert!(worker.started.len() > MAX_QUEUED, "{} have started", worker.started.len());
    assert!((1..=MAX_QUEUED).contains(&queued(&world)), "{} at the end", queued(&world));
}

/// Regression: the objective of a job overflowed.
#[test]
fn an_odd_configuration_leaves_the_leader_at_work() {
    struct Case {
        name: &'static str,
        slack: u64,
        target_latency: u64,
        max_attempts: u32,
    }
    let cases = [
        Case { name: "slack without end", slack: u64::MAX, target_latency: 1, max_attempts: 1 },
        Case { name: "a target without end", slack: 1, target_latency: u64::MAX, max_attempts: 1 },
        Case { name: "attempts without end", slack: 1, target_latency: 1, max_attempts: u32::MAX },
        Case { name: "nothing", slack: 0, target_latency: 0, max_attempts: 0 },
    ];
    for case in cases {
        let mut world = World::new();
        let mut config = job_config(2);
        let queue = &mut config.queues[0];
        (queue.slack, queue.target_latency) = (case.slack, case.target_latency);
        queue.max_attempts = case.max_attempts;
        world.operator_request(OperatorRequest::Configure(Box::new(config)));
        assert_usual_jobs_run(&mut world, case.name);
    }
}
