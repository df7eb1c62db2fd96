//! Tiers of quotas, and the preemption of lower tiers.

use std::{collections::BTreeMap, time::Duration};

use hickorylink_lib::{
    ids::{CustomerName, TaskId},
    policy::{Allowance, Tier},
    scheduler::{
        explain::TaskStatus,
        port::{Effect, Event},
        queue::WaitReason,
    },
    task::OpenTask,
    worker::{AttemptState, WorkerCommand},
};

use crate::harness::{
    Harness, announcement_of, attempt, harness_with, plan, report, resources, status, task,
};

fn tier(harness: &Harness, id: u64) -> Option<Tier> {
    match status(harness, id) {
        Some(TaskStatus::Placed { tier, .. }) => Some(tier),
        Some(TaskStatus::Waiting(_) | TaskStatus::Ending(_)) | None => None,
    }
}

fn tiers(guaranteed: u64, burst: u64, best_effort: u64) -> Allowance {
    Allowance {
        guaranteed: resources(guaranteed, guaranteed),
        burst: resources(burst, burst),
        best_effort: resources(best_effort, best_effort),
    }
}

#[test]
fn work_is_charged_to_the_highest_tier_that_it_fits() {
    struct Case {
        name: &'static str,
        sizes: &'static [u64],
        share: Option<Allowance>,
        want: &'static [Option<Tier>],
    }
    let cases = [
        Case {
            name: "within the guaranteed quota",
            sizes: &[2],
            share: None,
            want: &[Some(Tier::Guaranteed)],
        },
        Case {
            name: "each tier in turn",
            sizes: &[4, 4, 4, 4],
            share: None,
            want: &[Some(Tier::Guaranteed), Some(Tier::Burst), Some(Tier::BestEffort), None],
        },
        Case {
            name: "a small one still fits the guaranteed quota",
            sizes: &[3, 2, 1],
            share: None,
            want: &[Some(Tier::Guaranteed), Some(Tier::Burst), Some(Tier::Guaranteed)],
        },
        Case {
            name: "a share that this data centre holds",
            sizes: &[2, 2],
            share: Some(tiers(2, 0, 0)),
            want: &[Some(Tier::Guaranteed), None],
        },
    ];
    for case in cases {
        let mut harness = harness_with(&[("ann", plan(tiers(4, 4, 4)))], resources(64, 64));
        if let Some(share) = case.share {
            harness.event(Event::Shares(BTreeMap::from([(CustomerName::from("ann"), share)])));
        }
        for (at, size) in case.sizes.iter().enumerate() {
            harness.open_task(task(at as u64 + 1, "ann", resources(*size, *size)));
        }
        let got: Vec<_> = (1..=case.sizes.len() as u64).map(|id| tier(&harness, id)).collect();
        assert_eq!(got, case.want, "{}", case.name);
    }
}

#[test]
fn higher_tiers_preempt_lower_ones() {
    struct Case {
        name: &'static str,
        /// How often the task of the lower tier may be evicted.
        budget: u32,
        victim: Allowance,
        other: Allowance,
        change: fn(&mut OpenTask),
        non_idempotent: bool,
        evicted: bool,
    }
    let urgent: fn(&mut OpenTask) = |open| open.spec.urgent = true;
    let usual: fn(&mut OpenTask) = |_| {};
    let cases = [
        Case {
            name: "guaranteed over best effort",
            budget: 3,
            victim: tiers(0, 0, 4),
            other: tiers(4, 0, 0),
            change: usual,
            non_idempotent: false,
            evicted: true,
        },
        Case {
            name: "guaranteed over burst, beyond the budget: the capacity was borrowed",
            budget: 0,
            victim: tiers(0, 4, 0),
            other: tiers(4, 0, 0),
            change: usual,
            non_idempotent: false,
            evicted: true,
        },
        Case {
            name: "urgent burst over best effort",
            budget: 3,
            victim: tiers(0, 0, 4),
            other: tiers(0, 4, 0),
            change: urgent,
            non_idempotent: false,
            evicted: true,
        },
        Case {
            name: "urgent burst over best effort, beyond the budget",
            budget: 0,
            victim: tiers(0, 0, 4),
            other: tiers(0, 4, 0),
            change: urgent,
            non_idempotent: false,
            evicted: false,
        },
        Case {
            name: "burst that isn't urgent",
            budget: 3,
            victim: tiers(0, 0, 4),
            other: tiers(0, 4, 0),
            change: usual,
            non_idempotent: false,
            evicted: false,
        },
        Case {
            name: "the same tier",
            budget: 3,
            victim: tiers(4, 0, 0),
            other: tiers(4, 0, 0),
            change: urgent,
            non_idempotent: false,
            evicted: false,
        },
        Case {
            name: "a task that is not idempotent stays",
            budget: 3,
            victim: tiers(0, 0, 4),
            other: tiers(4, 0, 0),
            change: urgent,
            non_idempotent: true,
            evicted: false,
        },
    ];
    for case in cases {
        let mut lower = plan(case.victim);
        lower.task_evictions = case.budget;
        let mut harness =
            harness_with(&[("ann", lower), ("bob", plan(case.other))], resources(4, 4));
        let mut open = task(1, "ann", resources(4, 4));
        open.spec.idempotent = !case.non_idempotent;
        harness.open_task(open);
        assert_eq!(harness.record_starts().len(), 1, "{}", case.name);
        harness.take_effects();
        let mut open = task(2, "bob", resources(2, 2));
        (case.change)(&mut open);
        harness.open_task(open);
        let stopped = harness.take_commands().iter().any(|(_, sent)| {
            matches!(sent, WorkerCommand::Stop { attempt, .. } if attempt.task == TaskId(1))
        });
        assert_eq!(stopped, case.evicted, "{}", case.name);
        let want = match case.evicted {
            true => WaitReason::Clearing { worker: "w1".into() },
            false => WaitReason::Room,
        };
        assert_eq!(status(&harness, 2), Some(TaskStatus::Waiting(want)), "{}", case.name);
        if case.evicted {
            // The capacity that is being freed is reserved.
            harness.open_task(task(3, "bob", resources(1, 1)));
            let mut announcement = announcement_of("w1", resources(4, 4));
            announcement.tasks =
                vec![report(attempt(1, 1), AttemptState::Stopped { checkpoint: None })];
            harness.announce(announcement).expect("a lease");
            let first = harness.proposed_starts().first().map(|(attempt, _)| *attempt);
            assert_eq!(first, Some(attempt(2, 1)), "{}", case.name);
        }
    }
}

#[test]
fn hourly_evictions_are_bounded() {
    let mut lower = plan(tiers(0, 0, 100));
    lower.hourly_evictions = 2;
    let plans = [("ann", lower), ("bob", plan(tiers(0, 100, 0)))];
    let mut harness = harness_with(&plans, resources(8, 8));
    for id in 1..=8 {
        harness.open_task(task(id, "ann", resources(1, 1)));
    }
    assert_eq!(harness.record_starts().len(), 8);
    harness.take_effects();
    for id in 11..=14 {
        let mut open = task(id, "bob", resources(1, 1));
        open.spec.urgent = true;
        harness.open_task(open);
        let stops: Vec<_> = harness.take_commands();
        let mut announcement = announcement_of("w1", resources(8, 8));
        announcement.tasks = stops
            .iter()
            .filter_map(|(_, sent)| match sent {
                WorkerCommand::Stop { attempt, .. } => {
                    Some(report(*attempt, AttemptState::Stopped { checkpoint: None }))
                }
                WorkerCommand::Start(_)
                | WorkerCommand::Throttle { .. }
                | WorkerCommand::Checkpoint { .. } => None,
            })
            .collect();
        harness.announce(announcement).expect("a lease");
    }
    let placed = (11..=14).filter(|id| tier(&harness, *id).is_some()).count();
    assert_eq!(placed, 2, "the third eviction within the hour isn't in the budget");
}

#[test]
fn a_preempted_task_is_counted_against_its_customers_budget() {
    let mut harness = harness_with(
        &[("ann", plan(tiers(0, 0, 4))), ("bob", plan(tiers(4, 0, 0)))],
        resources(4, 4),
    );
    harness.open_task(task(1, "ann", resources(4, 4)));
    harness.record_starts();
    harness.open_task(task(2, "bob", resources(4, 4)));
    let mut announcement = announcement_of("w1", resources(4, 4));
    announcement.tasks = vec![report(attempt(1, 1), AttemptState::Stopped { checkpoint: None })];
    harness.take_effects();
    harness.announce(announcement).expect("a lease");
    let yielded = harness
        .take_effects()
        .into_iter()
        .find(|effect| matches!(effect, Effect::RecordYield { .. }));
    let cause = format!("{yielded:?}");
    assert!(cause.contains("Evicted(Preemption)"), "{cause}");
}

#[test]
fn work_moves_to_a_higher_tier_that_has_capacity_again() {
    let mut harness = harness_with(&[("ann", plan(tiers(4, 4, 4)))], resources(64, 64));
    for id in 1..=3 {
        harness.open_task(task(id, "ann", resources(4, 4)));
    }
    harness.record_starts();
    assert_eq!(tier(&harness, 3), Some(Tier::BestEffort));
    harness.event(Event::EndRecorded { attempt: attempt(1, 1) });
    let tiers: Vec<_> = [2, 3].iter().map(|id| tier(&harness, *id)).collect();
    // The burst task moves to the guarantee, and the best-effort task to the burst quota that this
    // frees.
    assert_eq!(tiers, [Some(Tier::Guaranteed), Some(Tier::Burst)]);
}

#[test]
fn urgent_work_starts_within_a_second() {
    let plans = [("ann", plan(tiers(0, 0, 4))), ("bob", plan(tiers(0, 4, 0)))];
    let mut harness = harness_with(&plans, resources(4, 4));
    harness.open_task(task(1, "ann", resources(4, 4)));
    harness.record_starts();
    harness.take_effects();
    let mut open = task(2, "bob", resources(4, 4));
    open.spec.urgent = true;
    harness.open_task(open);
    let commands = harness.take_commands();
    let [(_, WorkerCommand::Stop { grace, .. })] = &commands[..] else {
        panic!("the task of the lower tier is stopped at once: {commands:?}");
    };
    // The rest of the second is left for the network and the consensus group.
    assert!(*grace <= Duration::from_millis(500), "{grace:?}");
    harness.advance(*grace);
    let mut announcement = announcement_of("w1", resources(4, 4));
    announcement.tasks = vec![report(attempt(1, 1), AttemptState::Stopped { checkpoint: None })];
    harness.announce(announcement).expect("a lease");
    assert_eq!(
        harness.record_starts(),
        [(attempt(2, 1), "w1".into())],
        "at once with the worker's report"
    );
    let start = harness.take_commands();
    assert!(matches!(&start[..], [(_, WorkerCommand::Start(_))]), "{start:?}");
}
