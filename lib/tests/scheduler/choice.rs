//! Whose turn it is, and which worker a task goes to.

use std::{collections::BTreeMap, time::Duration};

use hickorylink_lib::{
    ids::{Rack, TaskId},
    resources::Resources,
    scheduler::port::Event,
    worker::{AttemptState, Sample},
};

use crate::desk::{
    Desk, announcement, attempt, burst, desk_with, plan, policy, report, room, standing, task,
};

#[test]
fn replicas_are_spread_over_racks() {
    let mut desk = Desk::new();
    for at in 0..48 {
        let mut said = announcement(&format!("w{at}"), room(16, 64));
        said.rack = Rack::from(format!("r{}", at / 8).as_str());
        desk.announce(said).expect("a lease");
    }
    for id in 1..=12 {
        let mut open = task(id, "ann", room(2, 2));
        open.spec.service = Some("folddesk".into());
        desk.open(open);
    }
    let mut racks: BTreeMap<u64, u32> = BTreeMap::new();
    for (_, worker) in desk.starts() {
        let at: u64 = worker.as_str()[1..].parse().expect("workers are numbered");
        *racks.entry(at / 8).or_default() += 1;
    }
    assert_eq!(racks.values().copied().collect::<Vec<_>>(), [2; 6], "12 replicas over 6 racks");
}

#[test]
fn batch_work_keeps_large_holes() {
    let mut desk = Desk::new();
    for at in 0..8 {
        desk.announce(announcement(&format!("w{at}"), room(16, 64))).expect("a lease");
    }
    for id in 1..=16 {
        desk.open(task(id, "ann", room(2, 8)));
    }
    let mut used: BTreeMap<String, u32> = BTreeMap::new();
    for (_, worker) in desk.starts() {
        *used.entry(worker.to_string()).or_default() += 1;
    }
    assert_eq!(used.len(), 2, "16 tasks of an eighth fill two workers: {used:?}");
}

#[test]
fn what_is_really_used_guides_the_choice() {
    struct Case {
        name: &'static str,
        used: Resources,
        /// Whether another task goes to the worker that is already used.
        packed: bool,
    }
    let cases = [
        Case { name: "as declared", used: room(4, 4), packed: true },
        Case { name: "far more than declared", used: room(14, 4), packed: false },
        Case { name: "far less than declared", used: room(1, 1), packed: true },
    ];
    for case in cases {
        let mut desk = Desk::new();
        desk.announce(announcement("w1", room(16, 64))).expect("a lease");
        desk.open(task(1, "ann", room(4, 4)));
        let first = desk.starts();
        assert_eq!(first.len(), 1);
        for _ in 0..30 {
            let mut said = announcement("w1", room(16, 64));
            said.tasks = vec![report(attempt(1, 1), AttemptState::Running)];
            said.samples = vec![Sample {
                attempt: attempt(1, 1),
                age: Duration::from_secs(1),
                used: case.used,
                latency: None,
                beside: Vec::new(),
            }];
            desk.announce(said).expect("a lease");
        }
        desk.announce(announcement("w2", room(16, 64))).expect("a lease");
        desk.open(task(2, "ann", room(4, 4)));
        desk.open(task(3, "ann", room(4, 4)));
        let places: Vec<_> = desk.starts().into_iter().map(|(_, worker)| worker).collect();
        assert_eq!(places.len(), 2, "{}", case.name);
        assert_eq!(places.iter().all(|place| place.as_str() == "w1"), case.packed, "{}", case.name);
        let worker = desk.scheduler.explain_worker(desk.now, &"w1".into()).expect("it is known");
        assert!(worker.capacity.fits(&worker.committed), "{}: held as declared", case.name);
    }
}

#[test]
fn urgent_work_goes_first() {
    struct Case {
        name: &'static str,
        allowed: bool,
        first: u64,
    }
    let cases = [
        Case { name: "the plan allows urgent tasks", allowed: true, first: 9 },
        Case { name: "the plan doesn't", allowed: false, first: 1 },
    ];
    for case in cases {
        let mut terms = plan(burst(room(100, 100)));
        terms.urgent = case.allowed;
        let mut desk = Desk::idle();
        desk.policy(&policy(&[("ann", terms)]));
        desk.hold(Some(1));
        for id in 1..=8 {
            desk.open(task(id, "ann", room(1, 1)));
        }
        let mut open = task(9, "ann", room(1, 1));
        open.spec.urgent = true;
        desk.open(open);
        desk.announce(announcement("w1", room(1, 1))).expect("a lease");
        assert_eq!(desk.starts()[0].0.task, TaskId(case.first), "{}", case.name);
    }
}

#[test]
fn a_large_task_gets_a_worker_in_the_end() {
    let mut desk = Desk::new();
    desk.announce(announcement("w1", room(4, 4))).expect("a lease");
    for id in 100..104 {
        desk.open(task(id, "ann", room(1, 1)));
    }
    let mut running = desk.starts();
    // Bob's task needs the whole worker, while ann's small ones keep coming.
    desk.open(task(1, "bob", room(4, 4)));
    for second in 0..60 {
        desk.open(task(200 + second, "ann", room(1, 1)));
        desk.pass(Duration::from_secs(1));
        running.extend(desk.starts());
        if running.iter().any(|(attempt, _)| attempt.task == TaskId(1)) {
            assert!(second >= 20, "nothing is kept free at the beginning");
            return;
        }
        // One try ends each second, so that the worker is never empty by itself.
        let ended = (!running.is_empty()).then(|| running.remove(0).0);
        let mut said = announcement("w1", room(4, 4));
        let running = running.iter().map(|(attempt, _)| report(*attempt, AttemptState::Running));
        said.tasks = running.collect();
        let output = Vec::new().into();
        said.tasks.extend(ended.map(|ended| report(ended, AttemptState::Completed { output })));
        desk.announce(said).expect("a lease");
        if let Some(attempt) = ended {
            desk.event(Event::EndRecorded { attempt });
        }
    }
    panic!("task 1 never started: {:?}", standing(&desk, 1));
}

#[test]
fn small_tasks_pass_one_that_finds_no_room() {
    let mut desk = desk_with(&[("ann", plan(burst(room(100, 100))))], room(4, 4));
    desk.open(task(1, "ann", room(2, 2)));
    desk.open(task(2, "ann", room(4, 4)));
    desk.open(task(3, "ann", room(1, 1)));
    let started: Vec<_> = desk.starts().iter().map(|(attempt, _)| attempt.task).collect();
    desk.pass(Duration::from_millis(600));
    let later: Vec<_> = desk.starts().iter().map(|(attempt, _)| attempt.task).collect();
    assert_eq!((started, later), (vec![TaskId(1)], vec![TaskId(3)]));
}

#[test]
fn an_explanation_says_why_a_worker_was_chosen() {
    struct Case {
        name: &'static str,
        failures: u32,
        want: &'static str,
    }
    let cases = [
        Case {
            name: "the fuller of two",
            failures: 0,
            want: "is on w1 as try 1 (recording, burst), cheapest of 2 at 750, room 750",
        },
        Case { name: "it waits", failures: 1, want: "waits: it failed or was refused" },
    ];
    for case in cases {
        let mut desk = Desk::new();
        desk.announce(announcement("w1", room(8, 8))).expect("a lease");
        desk.announce(announcement("w2", room(16, 64))).expect("a lease");
        let mut open = task(1, "ann", room(2, 2));
        open.failures = case.failures;
        desk.open(open);
        let explanation = desk.scheduler.explain_task(desk.now, TaskId(1)).expect("it is known");
        let text = explanation.to_string();
        assert!(text.contains(case.want), "{}: {text}", case.name);
    }
}
