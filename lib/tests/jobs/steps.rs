//! Dependencies, failures and options of steps.

use std::time::Duration;

use hickorylink_lib::{
    jobs::{
        lifecycle::JobPhase,
        model::{Run, Step, StepOptions},
        record::Ending,
    },
    resources::Resources,
};

use crate::world::{FakeWorker, World, step, task};

#[test]
fn a_step_waits_for_its_dependencies() {
    let mut world = World::new();
    let mut worker = FakeWorker::new("w1");
    let second = Step { after: vec![0], ..step(1) };
    let job = world.submit(7, vec![step(2), second]);
    world.heartbeat(&mut worker);
    assert_eq!(worker.running.len(), 2);
    worker.end(task(job, 0, 0), Ending::Done);
    world.heartbeat(&mut worker);
    assert!(
        !worker.running.contains_key(&task(job, 1, 0)),
        "a task of the first step is still running"
    );
    worker.end(task(job, 0, 1), Ending::Done);
    world.heartbeat(&mut worker);
    assert!(worker.running.contains_key(&task(job, 1, 0)));
    assert_eq!(world.phase(7), JobPhase::Active);
    worker.end(task(job, 1, 0), Ending::Done);
    world.heartbeat(&mut worker);
    assert_eq!(world.phase(7), JobPhase::Completed);
}

#[test]
fn a_job_fails_after_the_maximum_failures_of_a_task() {
    struct Case {
        name: &'static str,
        endings: &'static [Ending],
        want: JobPhase,
    }
    use Ending::{Done, Failed, LeaseExpired, Refused, Stopped};
    let cases = [
        Case {
            name: "four failures",
            endings: &[Failed, Failed, Failed, Failed],
            want: JobPhase::Failed,
        },
        Case { name: "three failures", endings: &[Failed, Failed, Failed], want: JobPhase::Active },
        Case {
            name: "only failures count",
            endings: &[Failed, LeaseExpired, Stopped, Refused, Failed, Failed, Done],
            want: JobPhase::Completed,
        },
    ];
    for case in cases {
        let mut world = World::new();
        let job = world.submit(7, vec![step(1)]);
        for (at, ending) in case.endings.iter().enumerate() {
            let mut worker = FakeWorker::new(&format!("w{at}"));
            while worker.running.is_empty() {
                world.heartbeat(&mut worker);
            }
            let run = u32::try_from(at).expect("the index fits") + 1;
            assert_eq!(worker.started, [(task(job, 0, 0), Run(run))], "{}", case.name);
            worker.end_all(*ending);
            worker.leaving = Some(0);
            world.heartbeat(&mut worker);
        }
        assert_eq!(world.phase(7), case.want, "{}", case.name);
    }
}

#[test]
fn placement_options_restrict_the_workers() {
    struct Case {
        name: &'static str,
        step: Step,
        on_first: usize,
        on_second: usize,
    }
    let cases = [
        Case { name: "limited by capacity", step: step(6), on_first: 4, on_second: 2 },
        Case {
            name: "required label",
            step: Step { label: Some("b".into()), ..step(2) },
            on_first: 0,
            on_second: 2,
        },
        Case {
            name: "spread limit",
            step: Step { spread: Some(1), ..step(4) },
            on_first: 1,
            on_second: 1,
        },
    ];
    for case in cases {
        let mut world = World::new();
        let (mut first, mut second) = (FakeWorker::new("w1"), FakeWorker::new("w2"));
        second.labels = vec!["b".to_owned(), "r2".to_owned()];
        world.submit(7, vec![case.step]);
        world.heartbeat(&mut first);
        world.heartbeat(&mut second);
        assert_eq!(first.running.len(), case.on_first, "{}", case.name);
        assert_eq!(second.running.len(), case.on_second, "{}", case.name);
    }
}

#[test]
fn a_gang_starts_together_and_is_done_with_its_first_member() {
    let mut world = World::new();
    let (mut first, mut second) = (FakeWorker::new("w1"), FakeWorker::new("w2"));
    let options = StepOptions { gang: true, ..StepOptions::default() };
    let job = world.submit(7, vec![Step { options, ..step(6) }]);
    world.heartbeat(&mut first);
    assert_eq!(first.running.len(), 0, "there is no room for the other members yet");
    world.heartbeat(&mut second);
    world.heartbeat(&mut first);
    world.heartbeat(&mut second);
    assert_eq!(first.running.len() + second.running.len(), 6);
    let runs = first.running.values().chain(second.running.values());
    assert!(runs.into_iter().all(|run| *run == Run(1)), "all members have the same run number");
    let any = *first.running.keys().next().expect("a member on the first worker");
    assert_eq!(any.job, job);
    first.end(any, Ending::Done);
    world.heartbeat(&mut first);
    assert_eq!(world.phase(7), JobPhase::Completed);
}

/// Guards against gangs that stand for ever: a member that was given up before another one reported
/// that they are done was left waiting, and a gang starts only as a whole.
#[test]
fn a_gang_is_done_although_a_member_was_given_up() {
    struct Case {
        name: &'static str,
        options: StepOptions,
        want: JobPhase,
    }
    let gang = StepOptions { gang: true, ..StepOptions::default() };
    let cases = [
        Case { name: "a gang", options: gang, want: JobPhase::Completed },
        Case { name: "no gang", options: StepOptions::default(), want: JobPhase::Active },
    ];
    for case in cases {
        let mut world = World::new();
        let (mut first, mut second) = (FakeWorker::new("w1"), FakeWorker::new("w2"));
        world.heartbeat(&mut first);
        world.heartbeat(&mut second);
        world.submit(7, vec![Step { options: case.options, ..step(6) }]);
        while first.running.len() + second.running.len() < 6 {
            world.heartbeat(&mut first);
            world.heartbeat(&mut second);
        }
        world.heartbeat(&mut first);
        world.heartbeat(&mut second);
        // All members are done, but the second worker crashes before it reports its ends.
        first.end_all(Ending::Done);
        let mut restarted = FakeWorker { leaving: Some(60_000), ..second.restarted() };
        world.heartbeat(&mut restarted);
        first.leaving = Some(60_000);
        world.heartbeat(&mut first);
        assert_eq!(world.phase(7), case.want, "{}", case.name);
    }
}

#[test]
fn a_long_running_task_restarts_after_any_number_of_failures() {
    let mut world = World::new();
    let mut worker = FakeWorker::new("w1");
    let options = StepOptions { long_running: true, ..StepOptions::default() };
    let job = world.submit(7, vec![Step { options, ..step(1) }]);
    world.heartbeat(&mut worker);
    for ending in [Ending::Failed; 6] {
        worker.end(task(job, 0, 0), ending);
        while worker.running.is_empty() {
            world.heartbeat(&mut worker);
        }
    }
    assert_eq!(worker.started.last(), Some(&(task(job, 0, 0), Run(7))));
    assert_eq!(world.phase(7), JobPhase::Active);
}

#[test]
fn jobs_in_time_go_first_and_among_them_the_least_remaining_work() {
    struct Case {
        name: &'static str,
        wait: Duration,
    }
    let cases = [
        Case { name: "both in time", wait: Duration::ZERO },
        // By then, the large job is late and the small one isn't.
        Case { name: "large job late", wait: Duration::from_secs(4) },
    ];
    for case in cases {
        let mut world = World::new();
        let large = world.submit(1, vec![step(8)]);
        world.advance(case.wait);
        let small = world.submit(2, vec![step(2)]);
        let mut worker = FakeWorker::new("w1");
        world.heartbeat(&mut worker);
        let count = |job| worker.running.keys().filter(|task| task.job == job).count();
        assert_eq!((count(small), count(large)), (2, 2), "{}", case.name);
    }
    // A late job waits for a job that is in time, even if it has less work.
    let mut world = World::new();
    let late = world.submit(1, vec![step(1)]);
    world.advance(Duration::from_secs(4));
    let timely = world.submit(2, vec![step(4)]);
    let mut worker = FakeWorker::new("w1");
    world.heartbeat(&mut worker);
    let first = worker.running.keys().all(|task| task.job == timely);
    assert!(first && !worker.running.keys().any(|task| task.job == late));
}

#[test]
fn serving_tasks_are_grouped_by_image_on_live_workers() {
    let mut world = World::new();
    let mut workers = ["w1", "w2", "w3"].map(FakeWorker::new);
    for worker in &mut workers {
        world.heartbeat(worker);
    }
    let options = StepOptions { long_running: true, ..StepOptions::default() };
    let serving = |image: &str| Step {
        image: Some(image.into()),
        target_latency: Some(100),
        options,
        ..step(2)
    };
    // No heartbeat is held when the jobs are submitted, and the third worker has been silent for
    // too long.
    world.advance(Duration::from_millis(1200));
    world.heartbeat(&mut workers[0]);
    world.heartbeat(&mut workers[1]);
    world.submit(1, vec![serving("one")]);
    world.submit(2, vec![serving("two")]);
    world.heartbeat(&mut workers[0]);
    world.heartbeat(&mut workers[1]);
    let images = workers.map(|worker| {
        let jobs: std::collections::BTreeSet<_> =
            worker.running.keys().map(|task| task.job.0).collect();
        (jobs, worker.running.len())
    });
    assert_eq!(images, [([1].into(), 2), ([2].into(), 2), ([].into(), 0)]);
}

#[test]
fn unplaceable_steps_do_not_block_a_placeable_one() {
    let mut world = World::new();
    let mut worker = FakeWorker::new("w1");
    world.heartbeat(&mut worker);
    let large = Resources { memory_mib: 5000, ..step(1).needs };
    for id in 1..=300 {
        world.submit(id, vec![Step { needs: large, estimate: 1, ..step(1) }]);
    }
    let job = world.submit(301, vec![step(1)]);
    world.heartbeat(&mut worker);
    assert!(worker.running.contains_key(&task(job, 0, 0)));
}

#[test]
fn a_gang_without_room_leaves_it_to_others() {
    let mut world = World::new();
    let mut worker = FakeWorker::new("w1");
    let options = StepOptions { gang: true, ..StepOptions::default() };
    world.submit(1, vec![Step { estimate: 1, options, ..step(5) }]);
    let job = world.submit(2, vec![step(4)]);
    world.heartbeat(&mut worker);
    let started: Vec<_> = worker.started.iter().map(|(task, _)| task.job).collect();
    assert_eq!(started, [job; 4]);
}
