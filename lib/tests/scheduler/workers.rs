//! Workers that leave, shrink, grow or fail, case by case.

use std::time::Duration;

use hickorylink_lib::{
    resources::Resources,
    scheduler::{charts::Health, port::Event},
    task::OpenTask,
    worker::{AttemptState, WorkerCommand},
};

use crate::desk::{BIG, Desk, announcement, attempt, report, room, running, task, with};

#[test]
fn a_leaving_worker_gets_no_work_and_is_emptied() {
    struct Case {
        name: &'static str,
        idempotent: bool,
        stopped: bool,
    }
    let cases = [
        Case { name: "it can run elsewhere", idempotent: true, stopped: true },
        Case { name: "it may not run twice", idempotent: false, stopped: false },
    ];
    for case in cases {
        let change: fn(&mut OpenTask) = match case.idempotent {
            true => |_| {},
            false => |open| open.spec.idempotent = false,
        };
        let mut desk = running(change);
        let mut said = with(AttemptState::Running);
        said.leaving = true;
        desk.announce(said).expect("a lease, so that its tries can end");
        let stop = matches!(&desk.commands()[..], [(_, WorkerCommand::Stop { .. })]);
        assert_eq!(stop, case.stopped, "{}", case.name);
        desk.open(task(2, "bob", room(1, 1)));
        // An announcement from before it left arrives late.
        desk.announce(with(AttemptState::Running)).expect("a lease");
        assert_eq!(desk.starts(), [], "{}: no new work", case.name);
        desk.announce(announcement("w2", BIG)).expect("a lease");
        assert_eq!(desk.starts(), [(attempt(2, 1), "w2".into())], "{}", case.name);
        // The same boot doesn't come back either after it was silent.
        desk.pass(Duration::from_secs(10));
        desk.rest();
        desk.announce(announcement("w1", BIG)).expect("a lease");
        desk.open(task(3, "bob", room(1, 1)));
        assert_eq!(desk.starts(), [], "{}: no new work after a silence", case.name);
    }
}

#[test]
fn capacity_shrinks_at_once_and_grows_late() {
    struct Case {
        name: &'static str,
        said: Resources,
        /// How long it is said.
        seconds: u64,
        capacity: Resources,
        stops: bool,
    }
    let cases = [
        Case {
            name: "still fits",
            said: room(4, 8),
            seconds: 2,
            capacity: room(4, 8),
            stops: false,
        },
        Case { name: "too small", said: room(1, 8), seconds: 2, capacity: room(1, 8), stops: true },
        Case {
            name: "grown just now",
            said: room(32, 128),
            seconds: 2,
            capacity: BIG,
            stops: false,
        },
        Case {
            name: "grown for long",
            said: room(32, 128),
            seconds: 10,
            capacity: room(32, 128),
            stops: false,
        },
    ];
    for case in cases {
        let mut desk = running(|_| {});
        for _ in 0..case.seconds / 2 {
            let mut said = with(AttemptState::Running);
            said.capacity = case.said;
            desk.announce(said).expect("a lease");
            desk.pass(Duration::from_secs(2));
        }
        let worker = desk.scheduler.explain_worker(desk.now, &"w1".into()).expect("it is known");
        assert_eq!(worker.capacity, case.capacity, "{}", case.name);
        let stops =
            desk.commands().iter().any(|(_, sent)| matches!(sent, WorkerCommand::Stop { .. }));
        assert_eq!(stops, case.stops, "{}", case.name);
    }
}

#[test]
fn a_worker_that_fails_everything_is_set_aside() {
    struct Case {
        name: &'static str,
        /// Whether a try on this worker fails.
        fails: fn(&str) -> bool,
        want: Health,
    }
    let cases = [
        Case { name: "one worker", fails: |worker| worker == "w0", want: Health::Quarantined },
        Case { name: "the job, everywhere", fails: |_| true, want: Health::Fresh },
        Case { name: "nothing", fails: |_| false, want: Health::Healthy },
    ];
    for case in cases {
        let mut desk = fleet_of(6);
        let mut next = 0;
        for _ in 0..20 {
            round(&mut desk, &mut next, 6, case.fails);
        }
        let health = |desk: &Desk| {
            let worker = desk.scheduler.explain_worker(desk.now, &"w0".into());
            worker.expect("it is known").health
        };
        assert_eq!(health(&desk), case.want, "{}", case.name);
        if case.want == Health::Quarantined {
            // It is tried with one task after a while, and taken back once that is done.
            for _ in 0..40 {
                round(&mut desk, &mut next, 12, |_| false);
            }
            assert_eq!(health(&desk), Health::Healthy, "{}", case.name);
        }
    }
}

fn fleet_of(workers: u64) -> Desk {
    let mut desk = Desk::new();
    for at in 0..workers {
        desk.announce(announcement(&format!("w{at}"), room(1, 1))).expect("a lease");
    }
    desk
}

/// Opens tasks, and lets all that are placed end a second later.
fn round(desk: &mut Desk, next: &mut u64, tasks: u64, fails: fn(&str) -> bool) {
    for _ in 0..tasks {
        *next += 1;
        desk.open(task(*next, "ann", room(1, 1)));
    }
    let started = desk.starts();
    desk.pass(Duration::from_secs(1));
    for worker in (0..6).map(|at| format!("w{at}")) {
        let mut said = announcement(&worker, room(1, 1));
        said.tasks = started
            .iter()
            .filter(|(_, place)| place.as_str() == worker)
            .map(|(attempt, _)| match fails(&worker) {
                true => report(*attempt, AttemptState::Failed { reason: "torn".into() }),
                false => report(*attempt, AttemptState::Completed { output: Vec::new().into() }),
            })
            .collect();
        desk.announce(said).expect("a lease");
    }
    let ended: Vec<_> = started.iter().map(|(attempt, _)| *attempt).collect();
    for attempt in ended {
        desk.event(Event::EndRecorded { attempt });
    }
    // What was placed in the meantime stays for the next round.
    desk.commands();
}

#[test]
fn a_worker_that_stays_away_is_forgotten_and_may_come_back() {
    let mut desk = Desk::new();
    let before = desk.announce(announcement("w1", BIG)).expect("a lease");
    desk.pass(Duration::from_secs(3_700));
    assert_eq!(desk.scheduler.explain_worker(desk.now, &"w1".into()), None);
    desk.announce(announcement("w2", BIG)).expect("a lease");
    let after = desk.announce(announcement("w1", BIG)).expect("a lease");
    assert!(after.fence > before.fence, "what was sent before stays void");
    assert_eq!(desk.scheduler.status().capacity, room(32, 128));
}

#[test]
fn an_unreachable_worker_gets_no_work_until_it_is_heard() {
    let mut desk = Desk::new();
    desk.announce(announcement("w1", BIG)).expect("a lease");
    desk.event(Event::Unreachable { worker: "w1".into() });
    desk.open(task(1, "ann", room(1, 1)));
    assert_eq!(desk.starts(), []);
    desk.announce(announcement("w1", BIG)).expect("a lease");
    assert_eq!(desk.starts().len(), 1);
}
