//! Tiers of quotas, and work that gets the room of weaker work.

use std::{collections::BTreeMap, time::Duration};

use hickorylink_lib::{
    ids::{CustomerName, TaskId},
    policy::{Allowance, Tier},
    scheduler::{
        explain::Standing,
        port::{Effect, Event},
        queue::WaitReason,
    },
    task::OpenTask,
    worker::{AttemptState, WorkerCommand},
};

use crate::desk::{Desk, announcement, attempt, desk_with, plan, report, room, standing, task};

fn tier(desk: &Desk, id: u64) -> Option<Tier> {
    match standing(desk, id) {
        Some(Standing::Placed { tier, .. }) => Some(tier),
        Some(Standing::Waiting(_) | Standing::Ending(_)) | None => None,
    }
}

fn tiers(guaranteed: u64, burst: u64, best_effort: u64) -> Allowance {
    Allowance {
        guaranteed: room(guaranteed, guaranteed),
        burst: room(burst, burst),
        best_effort: room(best_effort, best_effort),
    }
}

#[test]
fn work_is_charged_to_the_firmest_tier_with_room() {
    struct Case {
        name: &'static str,
        sizes: &'static [u64],
        share: Option<Allowance>,
        want: &'static [Option<Tier>],
    }
    let cases = [
        Case {
            name: "within the guarantee",
            sizes: &[2],
            share: None,
            want: &[Some(Tier::Guaranteed)],
        },
        Case {
            name: "one after the other",
            sizes: &[4, 4, 4, 4],
            share: None,
            want: &[Some(Tier::Guaranteed), Some(Tier::Burst), Some(Tier::BestEffort), None],
        },
        Case {
            name: "a small one still fits the guarantee",
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
        let mut desk = desk_with(&[("ann", plan(tiers(4, 4, 4)))], room(64, 64));
        if let Some(share) = case.share {
            desk.event(Event::Shares(BTreeMap::from([(CustomerName::from("ann"), share)])));
        }
        for (at, size) in case.sizes.iter().enumerate() {
            desk.open(task(at as u64 + 1, "ann", room(*size, *size)));
        }
        let got: Vec<_> = (1..=case.sizes.len() as u64).map(|id| tier(&desk, id)).collect();
        assert_eq!(got, case.want, "{}", case.name);
    }
}

#[test]
fn firmer_work_gets_the_room_of_weaker_work() {
    struct Case {
        name: &'static str,
        /// How often the weaker task may be evicted.
        budget: u32,
        victim: Allowance,
        other: Allowance,
        change: fn(&mut OpenTask),
        once: bool,
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
            once: false,
            evicted: true,
        },
        Case {
            name: "guaranteed over burst, beyond the budget: the room was borrowed",
            budget: 0,
            victim: tiers(0, 4, 0),
            other: tiers(4, 0, 0),
            change: usual,
            once: false,
            evicted: true,
        },
        Case {
            name: "urgent burst over best effort",
            budget: 3,
            victim: tiers(0, 0, 4),
            other: tiers(0, 4, 0),
            change: urgent,
            once: false,
            evicted: true,
        },
        Case {
            name: "urgent burst over best effort, beyond the budget",
            budget: 0,
            victim: tiers(0, 0, 4),
            other: tiers(0, 4, 0),
            change: urgent,
            once: false,
            evicted: false,
        },
        Case {
            name: "burst that isn't urgent",
            budget: 3,
            victim: tiers(0, 0, 4),
            other: tiers(0, 4, 0),
            change: usual,
            once: false,
            evicted: false,
        },
        Case {
            name: "the same tier",
            budget: 3,
            victim: tiers(4, 0, 0),
            other: tiers(4, 0, 0),
            change: urgent,
            once: false,
            evicted: false,
        },
        Case {
            name: "what may not run twice stays",
            budget: 3,
            victim: tiers(0, 0, 4),
            other: tiers(4, 0, 0),
            change: urgent,
            once: true,
            evicted: false,
        },
    ];
    for case in cases {
        let mut weak = plan(case.victim);
        weak.task_evictions = case.budget;
        let mut desk = desk_with(&[("ann", weak), ("bob", plan(case.other))], room(4, 4));
        let mut open = task(1, "ann", room(4, 4));
        open.spec.idempotent = !case.once;
        desk.open(open);
        assert_eq!(desk.starts().len(), 1, "{}", case.name);
        desk.rest();
        let mut open = task(2, "bob", room(2, 2));
        (case.change)(&mut open);
        desk.open(open);
        let stopped = desk.commands().iter().any(|(_, sent)| {
            matches!(sent, WorkerCommand::Stop { attempt, .. } if attempt.task == TaskId(1))
        });
        assert_eq!(stopped, case.evicted, "{}", case.name);
        let want = match case.evicted {
            true => WaitReason::Clearing { worker: "w1".into() },
            false => WaitReason::Room,
        };
        assert_eq!(standing(&desk, 2), Some(Standing::Waiting(want)), "{}", case.name);
        if case.evicted {
            // Nobody else gets the room that is being cleared.
            desk.open(task(3, "bob", room(1, 1)));
            let mut said = announcement("w1", room(4, 4));
            said.tasks = vec![report(attempt(1, 1), AttemptState::Stopped { checkpoint: None })];
            desk.announce(said).expect("a lease");
            let first = desk.asked_starts().first().map(|(attempt, _)| *attempt);
            assert_eq!(first, Some(attempt(2, 1)), "{}", case.name);
        }
    }
}

#[test]
fn hourly_evictions_are_bounded() {
    let mut weak = plan(tiers(0, 0, 100));
    weak.hourly_evictions = 2;
    let plans = [("ann", weak), ("bob", plan(tiers(0, 100, 0)))];
    let mut desk = desk_with(&plans, room(8, 8));
    for id in 1..=8 {
        desk.open(task(id, "ann", room(1, 1)));
    }
    assert_eq!(desk.starts().len(), 8);
    desk.rest();
    for id in 11..=14 {
        let mut open = task(id, "bob", room(1, 1));
        open.spec.urgent = true;
        desk.open(open);
        let stops: Vec<_> = desk.commands();
        let mut said = announcement("w1", room(8, 8));
        said.tasks = stops
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
        desk.announce(said).expect("a lease");
    }
    let placed = (11..=14).filter(|id| tier(&desk, *id).is_some()).count();
    assert_eq!(placed, 2, "the third eviction within the hour isn't in the budget");
}

#[test]
fn a_preempted_task_is_counted_against_its_customers_budget() {
    let mut desk =
        desk_with(&[("ann", plan(tiers(0, 0, 4))), ("bob", plan(tiers(4, 0, 0)))], room(4, 4));
    desk.open(task(1, "ann", room(4, 4)));
    desk.starts();
    desk.open(task(2, "bob", room(4, 4)));
    let mut said = announcement("w1", room(4, 4));
    said.tasks = vec![report(attempt(1, 1), AttemptState::Stopped { checkpoint: None })];
    desk.rest();
    desk.announce(said).expect("a lease");
    let yielded =
        desk.rest().into_iter().find(|effect| matches!(effect, Effect::RecordYield { .. }));
    let cause = format!("{yielded:?}");
    assert!(cause.contains("Evicted(Preemption)"), "{cause}");
}

#[test]
fn work_moves_to_a_firmer_tier_that_has_room_again() {
    let mut desk = desk_with(&[("ann", plan(tiers(4, 4, 4)))], room(64, 64));
    for id in 1..=3 {
        desk.open(task(id, "ann", room(4, 4)));
    }
    desk.starts();
    assert_eq!(tier(&desk, 3), Some(Tier::BestEffort));
    desk.event(Event::EndRecorded { attempt: attempt(1, 1) });
    let tiers: Vec<_> = [2, 3].iter().map(|id| tier(&desk, *id)).collect();
    // The burst task takes the guarantee, and the best-effort task what that leaves.
    assert_eq!(tiers, [Some(Tier::Guaranteed), Some(Tier::Burst)]);
}

#[test]
fn urgent_work_starts_within_a_second() {
    let plans = [("ann", plan(tiers(0, 0, 4))), ("bob", plan(tiers(0, 4, 0)))];
    let mut desk = desk_with(&plans, room(4, 4));
    desk.open(task(1, "ann", room(4, 4)));
    desk.starts();
    desk.rest();
    let mut open = task(2, "bob", room(4, 4));
    open.spec.urgent = true;
    desk.open(open);
    let commands = desk.commands();
    let [(_, WorkerCommand::Stop { grace, .. })] = &commands[..] else {
        panic!("the weaker task is stopped at once: {commands:?}");
    };
    // What is left of the second is for the network and the council.
    assert!(*grace <= Duration::from_millis(500), "{grace:?}");
    desk.pass(*grace);
    let mut said = announcement("w1", room(4, 4));
    said.tasks = vec![report(attempt(1, 1), AttemptState::Stopped { checkpoint: None })];
    desk.announce(said).expect("a lease");
    assert_eq!(desk.starts(), [(attempt(2, 1), "w1".into())], "at once with the worker's report");
    let start = desk.commands();
    assert!(matches!(&start[..], [(_, WorkerCommand::Start(_))]), "{start:?}");
}
