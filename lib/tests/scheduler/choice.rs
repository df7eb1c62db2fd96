//! Which task goes first, in which tier, and where to.

use std::{collections::BTreeMap, time::Duration};

use hickorylink_lib::{
    ids::{CustomerName, Rack, TaskId},
    policy::{Allowance, Plan, Tier},
    resources::Resources,
    scheduler::{
        explain::Standing,
        port::{Effect, Event},
        queue::WaitReason,
    },
    task::OpenTask,
    worker::{AttemptState, Sample, WorkerCommand},
};

use crate::desk::{Desk, announcement, attempt, burst, plan, policy, report, room, task};

/// A desk with plans and one worker, "w1".
fn desk_with(plans: &[(&str, Plan)], capacity: Resources) -> Desk {
    let mut desk = Desk::idle();
    desk.policy(&policy(plans));
    desk.hold(Some(1));
    desk.announce(announcement("w1", capacity)).expect("a lease");
    desk
}

fn standing(desk: &Desk, id: u64) -> Option<Standing> {
    desk.scheduler.explain_task(desk.now, TaskId(id)).map(|task| task.standing)
}

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
