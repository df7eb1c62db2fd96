//! What the options of steps come to.

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
fn steps_wait_for_those_before_them() {
    let mut world = World::new();
    let mut worker = FakeWorker::new("w1");
    let second = Step { after: vec![0], ..step(1) };
    let job = world.submit(7, vec![step(2), second]);
    world.beat(&mut worker);
    assert_eq!(worker.running.len(), 2);
    worker.end(task(job, 0, 0), Ending::Done);
    world.beat(&mut worker);
    assert!(!worker.running.contains_key(&task(job, 1, 0)), "one task of the first step runs");
    worker.end(task(job, 0, 1), Ending::Done);
    world.beat(&mut worker);
    assert!(worker.running.contains_key(&task(job, 1, 0)));
    assert_eq!(world.phase(7), JobPhase::Active);
    worker.end(task(job, 1, 0), Ending::Done);
    world.beat(&mut worker);
    assert_eq!(world.phase(7), JobPhase::Completed);
}

#[test]
fn a_task_fails_its_job_after_its_attempts() {
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
                world.beat(&mut worker);
            }
            let run = u32::try_from(at).expect("few") + 1;
            assert_eq!(worker.started, [(task(job, 0, 0), Run(run))], "{}", case.name);
            worker.end_all(*ending);
            worker.leaving = Some(0);
            world.beat(&mut worker);
        }
        assert_eq!(world.phase(7), case.want, "{}", case.name);
    }
}

#[test]
fn options_choose_the_workers() {
    struct Case {
        name: &'static str,
        step: Step,
        on_first: usize,
        on_second: usize,
    }
    let cases = [
        Case { name: "as many as fit", step: step(6), on_first: 4, on_second: 2 },
        Case {
            name: "a label",
            step: Step { label: Some("b".into()), ..step(2) },
            on_first: 0,
            on_second: 2,
        },
        Case {
            name: "spread",
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
        world.beat(&mut first);
        world.beat(&mut second);
        assert_eq!(first.running.len(), case.on_first, "{}", case.name);
        assert_eq!(second.running.len(), case.on_second, "{}", case.name);
    }
}

#[test]
fn a_gang_starts_whole_and_is_done_by_one_end() {
    let mut world = World::new();
    let (mut first, mut second) = (FakeWorker::new("w1"), FakeWorker::new("w2"));
    let gang = StepOptions { gang: true, ..StepOptions::default() };
    let job = world.submit(7, vec![Step { options: gang, ..step(6) }]);
    world.beat(&mut first);
    assert_eq!(first.running.len(), 0, "the others have no place yet");
    world.beat(&mut second);
    world.beat(&mut first);
    world.beat(&mut second);
    assert_eq!(first.running.len() + second.running.len(), 6);
    let runs = first.running.values().chain(second.running.values());
    assert!(runs.into_iter().all(|run| *run == Run(1)), "all carry the same number");
    let any = *first.running.keys().next().expect("a member");
    assert_eq!(any.job, job);
    first.end(any, Ending::Done);
    world.beat(&mut first);
    assert_eq!(world.phase(7), JobPhase::Completed);
}

#[test]
fn a_long_running_task_starts_again_however_it_ends() {
    let mut world = World::new();
    let mut worker = FakeWorker::new("w1");
    let lasting = StepOptions { long_running: true, ..StepOptions::default() };
    let job = world.submit(7, vec![Step { options: lasting, ..step(1) }]);
    world.beat(&mut worker);
    for ending in [Ending::Failed; 6] {
        worker.end(task(job, 0, 0), ending);
        while worker.running.is_empty() {
            world.beat(&mut worker);
        }
    }
    assert_eq!(worker.started.last(), Some(&(task(job, 0, 0), Run(7))));
    assert_eq!(world.phase(7), JobPhase::Active);
}

#[test]
fn the_least_work_goes_first_among_what_can_be_in_time() {
    struct Case {
        name: &'static str,
        wait: Duration,
    }
    let cases = [
        Case { name: "both in time", wait: Duration::ZERO },
        // The large job is late by then, and the small one isn't.
        Case { name: "the large one late", wait: Duration::from_secs(4) },
    ];
    for case in cases {
        let mut world = World::new();
        let large = world.submit(1, vec![step(8)]);
        world.pass(case.wait);
        let small = world.submit(2, vec![step(2)]);
        let mut worker = FakeWorker::new("w1");
        world.beat(&mut worker);
        let count = |job| worker.running.keys().filter(|task| task.job == job).count();
        assert_eq!((count(small), count(large)), (2, 2), "{}", case.name);
    }
    // What is late waits for what isn't, however little work it is.
    let mut world = World::new();
    let late = world.submit(1, vec![step(1)]);
    world.pass(Duration::from_secs(4));
    let timely = world.submit(2, vec![step(4)]);
    let mut worker = FakeWorker::new("w1");
    world.beat(&mut worker);
    let first = worker.running.keys().all(|task| task.job == timely);
    assert!(first && !worker.running.keys().any(|task| task.job == late));
}

#[test]
fn tasks_that_serve_gather_by_image_on_workers_that_are_heard_lately() {
    let mut world = World::new();
    let mut workers = ["w1", "w2", "w3"].map(FakeWorker::new);
    for worker in &mut workers {
        world.beat(worker);
    }
    let options = StepOptions { long_running: true, ..StepOptions::default() };
    let serving = |image: &str| Step {
        image: Some(image.into()),
        target_latency: Some(100),
        options,
        ..step(2)
    };
    // Nobody waits for an answer when the jobs come, and the third worker is silent by then.
    world.pass(Duration::from_millis(1200));
    world.beat(&mut workers[0]);
    world.beat(&mut workers[1]);
    world.submit(1, vec![serving("one")]);
    world.submit(2, vec![serving("two")]);
    world.beat(&mut workers[0]);
    world.beat(&mut workers[1]);
    let images = workers.map(|worker| {
        let jobs: std::collections::BTreeSet<_> =
            worker.running.keys().map(|task| task.job.0).collect();
        (jobs, worker.running.len())
    });
    assert_eq!(images, [([1].into(), 2), ([2].into(), 2), ([].into(), 0)]);
}

#[test]
fn many_steps_that_fit_nowhere_hide_none_that_fits() {
    let mut world = World::new();
    let mut worker = FakeWorker::new("w1");
    world.beat(&mut worker);
    let large = Resources { memory_mib: 5000, ..step(1).needs };
    for id in 1..=300 {
        world.submit(id, vec![Step { needs: large, estimate: 1, ..step(1) }]);
    }
    let job = world.submit(301, vec![step(1)]);
    world.beat(&mut worker);
    assert!(worker.running.contains_key(&task(job, 0, 0)));
}
