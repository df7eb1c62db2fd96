//! What is reported of tasks that wait, and of starts that their workers haven't listed.

use std::time::Duration;

use hickorylink_lib::{
    ids::Incarnation,
    jobs::{
        call::{Action, Reply},
        controller::{Effect, Event, LogEvent, wait_reports::RestartBacklog},
        model::{JobId, Run, Step, StepOptions},
        record::Ending,
        response_size::ResponseLimits,
    },
    resources::Resources,
};

use crate::{
    avoidance::avoided,
    world::{FakeWorker, RESPONSES, World, path, step, task},
};

fn resources(millicores: u64, memory_mib: u64) -> Resources {
    Resources { millicores, memory_mib, accelerators: 0 }
}

fn long_running(count: u32, needs: Resources) -> Step {
    let options = StepOptions { long_running: true, ..StepOptions::default() };
    Step { needs, options, ..step(count) }
}

/// Submits a job for each step, with the identifiers from 1 on. Their tasks run on a worker that leaves
/// then, and wait.
fn strand(world: &mut World, steps: &[Step]) {
    let capacity = resources(100_000, 100_000);
    let labels = vec!["a".to_owned(), "b".to_owned(), "r1".to_owned()];
    let mut worker = FakeWorker { capacity, labels, ..FakeWorker::new("w1") };
    world.heartbeat(&mut worker);
    for (id, step) in (1..).zip(steps) {
        world.submit(id, vec![step.clone()]);
    }
    let tasks = steps.iter().map(|step| step.count as usize).sum();
    while worker.running.len() < tasks {
        world.heartbeat(&mut worker).expect("a response");
    }
    worker.leaving = Some(0);
    worker.end_all(Ending::Stopped);
    world.heartbeat(&mut worker);
    let (name, incarnation) = (worker.name.as_str().into(), Some(Incarnation(worker.incarnation)));
    world.send(|ticket| Event::Leave { ticket, name, incarnation, ended: Vec::new() });
}

/// Sends a worker's heartbeat. The response to it is lost.
fn heartbeat_unanswered(world: &mut World, worker: &mut FakeWorker) {
    let report = Box::new(worker.report());
    let ticket = world.send(|ticket| Event::Heartbeat { ticket, report });
    world.response(ticket);
}

/// Sends heartbeats of all workers for this time.
fn run(world: &mut World, workers: &mut [FakeWorker], hears: bool, span: Duration) {
    let begun = world.now;
    while world.now.since(begun) < span {
        for worker in &mut *workers {
            if hears {
                world.heartbeat(worker);
            } else {
                heartbeat_unanswered(world, worker);
            }
        }
        world.advance(Duration::from_millis(20));
    }
}

fn log_events(world: &World) -> impl Iterator<Item = &LogEvent> {
    world.sent.iter().filter_map(|effect| match effect {
        Effect::LogEvent(event) => Some(event),
        _ => None,
    })
}

/// Guards against reports that hide all waiting steps but one, and the room on workers that are kept
/// from running their tasks.
#[test]
fn all_waiting_steps_are_reported_with_the_largest_room_by_obstacle() {
    struct Case {
        name: &'static str,
        /// What the tasks of the two steps need, and the label that the second requires.
        needs: [Resources; 2],
        label: Option<&'static str>,
        /// The job of the smallest task.
        smallest: u64,
        /// Each obstacle with the number of workers, the largest room and the worker that has it.
        groups: &'static [(&'static str, u32, u64, &'static str)],
    }
    let cases = [
        Case {
            name: "two sizes",
            needs: [resources(6000, 200), resources(5000, 300)],
            label: None,
            smallest: 2,
            groups: &[("leaving", 2, 8000, "w3"), ("processors", 1, 4000, "w2")],
        },
        Case {
            name: "the same processors",
            needs: [resources(5000, 200), resources(5000, 300)],
            label: None,
            smallest: 1,
            groups: &[("leaving", 2, 8000, "w3"), ("processors", 1, 4000, "w2")],
        },
        Case {
            name: "the smallest may run nowhere",
            needs: [resources(6000, 200), resources(1000, 300)],
            label: Some("b"),
            smallest: 2,
            groups: &[("leaving", 2, 8000, "w3"), ("processors", 1, 4000, "w2")],
        },
        Case {
            name: "none has the memory",
            needs: [resources(2000, 9000), resources(3000, 9000)],
            label: None,
            smallest: 1,
            groups: &[("leaving", 2, 8000, "w3"), ("memory", 1, 4000, "w2")],
        },
    ];
    for case in cases {
        let mut world = World::new();
        let [first, second] = case.needs;
        let label = case.label.map(Into::into);
        let steps = [long_running(2, first), Step { label, ..long_running(3, second) }];
        strand(&mut world, &steps);
        let leaving = Some(60_000);
        let mut workers = [
            FakeWorker::new("w2"),
            FakeWorker { leaving, capacity: resources(8000, 8000), ..FakeWorker::new("w3") },
            FakeWorker { leaving, capacity: resources(2000, 2000), ..FakeWorker::new("w4") },
        ];
        run(&mut world, &mut workers, true, Duration::from_secs(5));
        let report = log_events(&world).find_map(|event| match event {
            LogEvent::Stranded { all_steps, all_tasks, smallest, needs, workers, .. } => {
                Some(((*all_steps, *all_tasks), smallest, *needs, workers))
            }
            _ => None,
        });
        let (counts, smallest, needs, workers) = report.expect(case.name);
        assert_eq!(counts, (2, 5), "{}", case.name);
        assert!(smallest.starts_with(&format!("{:016x}.", case.smallest)), "{}", case.name);
        assert_eq!(needs, if case.smallest == 1 { first } else { second }, "{}", case.name);
        let groups = workers.iter().map(|(what, group)| {
            (*what, group.count, group.room.millicores, group.worker.as_str())
        });
        assert_eq!(groups.collect::<Vec<_>>(), case.groups, "{}", case.name);
        let leader = world.controller.leader().expect("it leads");
        let backlog = leader.restart_backlog();
        assert_eq!(backlog.tasks, 5, "{}", case.name);
        assert!((3000..6000).contains(&backlog.longest.as_millis()), "{}: {backlog:?}", case.name);
        for id in 1..=2 {
            assert_eq!(world.call(&path(id), Action::Cancel), Reply::Cancelled);
        }
        world.advance(Duration::from_secs(2));
        let leader = world.controller.leader().expect("it leads");
        assert_eq!(leader.restart_backlog(), RestartBacklog::default(), "{}", case.name);
    }
}

/// What a report tells of a worker with room: its obstacle, whether it is avoided, its room by its list
/// and by the leader's books in millicores, and whether it hasn't listed a start.
type Vacant = (&'static str, bool, u64, u64, bool);

/// Guards against workers with room that stay empty while tasks wait, without a line that names them.
#[test]
fn workers_with_room_for_a_waiting_task_are_reported() {
    struct Case {
        name: &'static str,
        step: Step,
        workers: fn(&mut World) -> Vec<FakeWorker>,
        /// Whether the workers receive the responses to their heartbeats.
        hears: bool,
        want: Option<Vacant>,
        /// The maximum number of workers in one report.
        most: usize,
    }
    let gang = StepOptions { long_running: true, gang: true, ..StepOptions::default() };
    let small = resources(1000, 100);
    let cases = [
        Case {
            name: "starts that it hasn't listed have taken its room",
            step: long_running(2, resources(4000, 100)),
            workers: |_| vec![FakeWorker::new("w2")],
            hears: false,
            want: Some(("processors", false, 4000, 0, true)),
            most: 1,
        },
        Case {
            name: "it leaves",
            step: long_running(1, small),
            workers: |_| vec![FakeWorker { leaving: Some(60_000), ..FakeWorker::new("w2") }],
            hears: true,
            want: Some(("leaving", false, 4000, 4000, false)),
            most: 1,
        },
        Case {
            name: "it is avoided",
            step: Step { options: gang, ..long_running(2, resources(3000, 100)) },
            workers: |world| vec![avoided(world, "w2")],
            hears: true,
            want: Some(("avoided", true, 4000, 4000, false)),
            most: 1,
        },
        Case {
            name: "many workers",
            step: long_running(1, small),
            workers: |_| {
                let names = (10..22).map(|number| FakeWorker::new(&format!("w{number}")));
                names.map(|worker| FakeWorker { leaving: Some(60_000), ..worker }).collect()
            },
            hears: true,
            want: Some(("leaving", false, 4000, 4000, false)),
            most: 8,
        },
        Case {
            name: "one that stays comes first",
            step: Step { options: gang, ..long_running(2, resources(3000, 100)) },
            workers: |world| {
                let large = FakeWorker { capacity: resources(9000, 9000), ..FakeWorker::new("w3") };
                vec![FakeWorker { leaving: Some(60_000), ..large }, avoided(world, "w2")]
            },
            hears: true,
            want: Some(("avoided", true, 4000, 4000, false)),
            most: 2,
        },
        Case {
            name: "a run of an unknown job has its room",
            step: long_running(1, small),
            workers: |_| {
                let mut worker = FakeWorker::new("w2");
                worker.running.insert(task(JobId(99), 0, 0), Run(1));
                vec![worker]
            },
            hears: false,
            want: None,
            most: 0,
        },
        Case {
            name: "too small",
            step: long_running(1, resources(5000, 100)),
            workers: |_| vec![FakeWorker::new("w2")],
            hears: true,
            want: None,
            most: 0,
        },
        Case {
            name: "without the label of the step",
            step: Step { label: Some("b".into()), ..long_running(1, small) },
            workers: |_| vec![FakeWorker::new("w2")],
            hears: true,
            want: None,
            most: 0,
        },
        Case {
            name: "one of two tasks has taken its room",
            step: long_running(2, resources(4000, 100)),
            workers: |_| vec![FakeWorker::new("w2")],
            hears: true,
            want: None,
            most: 0,
        },
    ];
    for case in cases {
        let mut world = World::new();
        let mut workers = (case.workers)(&mut world);
        strand(&mut world, std::slice::from_ref(&case.step));
        run(&mut world, &mut workers, case.hears, Duration::from_millis(5500));
        let mut reports = vec![Vec::new()];
        for event in log_events(&world) {
            match event {
                LogEvent::Vacant { listed, free, obstacle, avoided, unlisted, oldest, .. } => {
                    let is_old = *unlisted > 0 && *oldest > Duration::from_secs(1);
                    let (listed, free) = (listed.millicores, free.millicores);
                    let vacant = (*obstacle, avoided.is_some(), listed, free, is_old);
                    reports.last_mut().expect("a report").push(vacant);
                }
                // It ends each report.
                LogEvent::Stranded { .. } => reports.push(Vec::new()),
                _ => {}
            }
        }
        assert!(reports.len() >= 3, "{}: tasks wait", case.name);
        assert_eq!(reports[0], [], "{}: only after the second report", case.name);
        assert_eq!(reports[1].first().copied(), case.want, "{}", case.name);
        let most = reports.iter().map(Vec::len).max();
        assert_eq!(most, Some(case.most), "{}: {reports:?}", case.name);
    }
}

/// Guards against starts that were decided on and don't run, of which no line tells, since their tasks
/// don't wait.
#[test]
fn starts_that_a_worker_does_not_list_are_reported() {
    struct Case {
        name: &'static str,
        responses: ResponseLimits,
        tasks: u32,
        act: fn(&mut World, &mut FakeWorker),
        /// The number of starts, whether the oldest was sent, and whether the worker's heartbeat is held.
        want: Option<(usize, bool, bool)>,
    }
    fn listen(world: &mut World, worker: &mut FakeWorker) {
        run(world, std::slice::from_mut(worker), true, Duration::from_secs(3));
    }
    let cases = [
        Case {
            name: "the responses are lost",
            responses: RESPONSES,
            tasks: 2,
            act: |world, worker| {
                run(world, std::slice::from_mut(worker), false, Duration::from_secs(3));
            },
            want: Some((2, true, false)),
        },
        Case {
            name: "the worker is silent",
            responses: RESPONSES,
            tasks: 2,
            act: |world, _| world.advance(Duration::from_secs(3)),
            want: Some((2, false, false)),
        },
        Case {
            name: "the budget for starts is spent",
            responses: ResponseLimits { bytes_per_second: 20, ..RESPONSES },
            tasks: 2,
            act: listen,
            want: Some((1, false, true)),
        },
        Case { name: "they are listed", responses: RESPONSES, tasks: 2, act: listen, want: None },
        Case {
            name: "a new leader hasn't heard the worker yet",
            responses: RESPONSES,
            tasks: 2,
            act: |world, worker| {
                listen(world, worker);
                world.restart();
                world.advance(Duration::from_secs(3));
            },
            want: None,
        },
    ];
    for case in cases {
        let mut world = World::with_responses(case.responses);
        let mut worker = FakeWorker::new("w2");
        world.heartbeat(&mut worker);
        world.submit(1, vec![long_running(case.tasks, resources(1000, 100))]);
        (case.act)(&mut world, &mut worker);
        let reports = log_events(&world).filter_map(|event| match event {
            LogEvent::Unlisted { starts, workers, worker, age, sent, held, .. } => {
                assert_eq!((*workers, worker.as_str()), (1, "w2"), "{}", case.name);
                assert!(*age >= Duration::from_secs(1), "{}: {age:?}", case.name);
                Some((*starts, *sent, *held))
            }
            _ => None,
        });
        let reports: Vec<_> = reports.collect();
        assert!(reports.len() <= 3, "{}: once a second: {reports:?}", case.name);
        assert_eq!(reports.first().copied(), case.want, "{}: {reports:?}", case.name);
    }
}
