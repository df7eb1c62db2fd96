//! The order of tasks, and the choice of workers for them.

use std::{collections::BTreeMap, time::Duration};

use hickorylink_lib::{
    ids::{Rack, TaskId},
    resources::Resources,
    scheduler::port::Event,
    worker::{AttemptState, Sample},
};

use crate::harness::{
    Harness, announcement_of, attempt, burst, harness_with, plan, policy, report, resources,
    status, task,
};

#[test]
fn replicas_are_spread_over_racks() {
    let mut harness = Harness::new();
    for at in 0..48 {
        let mut announcement = announcement_of(&format!("w{at}"), resources(16, 64));
        announcement.rack = Rack::from(format!("r{}", at / 8).as_str());
        harness.announce(announcement).expect("a lease");
    }
    for id in 1..=12 {
        let mut open = task(id, "ann", resources(2, 2));
        open.spec.service = Some("folddesk".into());
        harness.open_task(open);
    }
    let mut racks: BTreeMap<u64, u32> = BTreeMap::new();
    for (_, worker) in harness.record_starts() {
        let at: u64 = worker.as_str()[1..].parse().expect("workers are numbered");
        *racks.entry(at / 8).or_default() += 1;
    }
    assert_eq!(racks.values().copied().collect::<Vec<_>>(), [2; 6], "12 replicas over 6 racks");
}

#[test]
fn batch_work_is_packed() {
    let mut harness = Harness::new();
    for at in 0..8 {
        harness.announce(announcement_of(&format!("w{at}"), resources(16, 64))).expect("a lease");
    }
    for id in 1..=16 {
        harness.open_task(task(id, "ann", resources(2, 8)));
    }
    let mut used: BTreeMap<String, u32> = BTreeMap::new();
    for (_, worker) in harness.record_starts() {
        *used.entry(worker.to_string()).or_default() += 1;
    }
    assert_eq!(used.len(), 2, "16 tasks of an eighth of a worker fill two: {used:?}");
}

#[test]
fn observed_usage_guides_the_choice() {
    struct Case {
        name: &'static str,
        used: Resources,
        /// Whether both further tasks go to the worker that is already in use.
        packed: bool,
    }
    let cases = [
        Case { name: "as declared", used: resources(4, 4), packed: true },
        Case { name: "far more than declared", used: resources(14, 4), packed: false },
        Case { name: "far less than declared", used: resources(1, 1), packed: true },
    ];
    for case in cases {
        let mut harness = Harness::new();
        harness.announce(announcement_of("w1", resources(16, 64))).expect("a lease");
        harness.open_task(task(1, "ann", resources(4, 4)));
        let first = harness.record_starts();
        assert_eq!(first.len(), 1);
        for _ in 0..30 {
            let mut announcement = announcement_of("w1", resources(16, 64));
            announcement.tasks = vec![report(attempt(1, 1), AttemptState::Running)];
            announcement.samples = vec![Sample {
                attempt: attempt(1, 1),
                age: Duration::from_secs(1),
                used: case.used,
                latency: None,
                beside: Vec::new(),
            }];
            harness.announce(announcement).expect("a lease");
        }
        harness.announce(announcement_of("w2", resources(16, 64))).expect("a lease");
        harness.open_task(task(2, "ann", resources(4, 4)));
        harness.open_task(task(3, "ann", resources(4, 4)));
        let places: Vec<_> =
            harness.record_starts().into_iter().map(|(_, worker)| worker).collect();
        assert_eq!(places.len(), 2, "{}", case.name);
        assert_eq!(places.iter().all(|place| place.as_str() == "w1"), case.packed, "{}", case.name);
        let worker =
            harness.scheduler.explain_worker(harness.now, &"w1".into()).expect("it is known");
        assert!(worker.capacity.fits(&worker.committed), "{}: allocated as declared", case.name);
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
        let mut terms = plan(burst(resources(100, 100)));
        terms.urgent = case.allowed;
        let mut harness = Harness::without_leadership();
        harness.policy(&policy(&[("ann", terms)]));
        harness.set_leadership(Some(1));
        for id in 1..=8 {
            harness.open_task(task(id, "ann", resources(1, 1)));
        }
        let mut open = task(9, "ann", resources(1, 1));
        open.spec.urgent = true;
        harness.open_task(open);
        harness.announce(announcement_of("w1", resources(1, 1))).expect("a lease");
        assert_eq!(harness.record_starts()[0].0.task, TaskId(case.first), "{}", case.name);
    }
}

#[test]
fn a_large_task_is_not_starved_by_small_ones() {
    let mut harness = Harness::new();
    harness.announce(announcement_of("w1", resources(4, 4))).expect("a lease");
    for id in 100..104 {
        harness.open_task(task(id, "ann", resources(1, 1)));
    }
    let mut running = harness.record_starts();
    // Bob's task needs the whole worker, while ann keeps submitting small ones.
    harness.open_task(task(1, "bob", resources(4, 4)));
    for second in 0..60 {
        harness.open_task(task(200 + second, "ann", resources(1, 1)));
        harness.advance(Duration::from_secs(1));
        running.extend(harness.record_starts());
        if running.iter().any(|(attempt, _)| attempt.task == TaskId(1)) {
            assert!(second >= 20, "no worker is reserved at first");
            return;
        }
        // One attempt ends each second, so that the worker never becomes empty by itself.
        let ended = (!running.is_empty()).then(|| running.remove(0).0);
        let mut announcement = announcement_of("w1", resources(4, 4));
        let running = running.iter().map(|(attempt, _)| report(*attempt, AttemptState::Running));
        announcement.tasks = running.collect();
        let output = Vec::new().into();
        announcement
            .tasks
            .extend(ended.map(|ended| report(ended, AttemptState::Completed { output })));
        harness.announce(announcement).expect("a lease");
        if let Some(attempt) = ended {
            harness.event(Event::EndRecorded { attempt });
        }
    }
    panic!("task 1 never started: {:?}", status(&harness, 1));
}

#[test]
fn small_tasks_are_backfilled_behind_one_that_does_not_fit() {
    let mut harness = harness_with(&[("ann", plan(burst(resources(100, 100))))], resources(4, 4));
    harness.open_task(task(1, "ann", resources(2, 2)));
    harness.open_task(task(2, "ann", resources(4, 4)));
    harness.open_task(task(3, "ann", resources(1, 1)));
    let started: Vec<_> = harness.record_starts().iter().map(|(attempt, _)| attempt.task).collect();
    harness.advance(Duration::from_millis(600));
    let later: Vec<_> = harness.record_starts().iter().map(|(attempt, _)| attempt.task).collect();
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
            name: "the fuller of two workers",
            failures: 0,
            want: "is on w1 as attempt 1 (recording, burst), cheapest of 2 at 750, room 750",
        },
        Case { name: "delayed", failures: 1, want: "waits: it failed or was refused" },
    ];
    for case in cases {
        let mut harness = Harness::new();
        harness.announce(announcement_of("w1", resources(8, 8))).expect("a lease");
        harness.announce(announcement_of("w2", resources(16, 64))).expect("a lease");
        let mut open = task(1, "ann", resources(2, 2));
        open.failures = case.failures;
        harness.open_task(open);
        let explanation =
            harness.scheduler.explain_task(harness.now, TaskId(1)).expect("it is known");
        let text = explanation.to_string();
        assert!(text.contains(case.want), "{}: {text}", case.name);
    }
}
