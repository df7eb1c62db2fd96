//! Leases: a task never starts again while its previous run may still be executing.

use std::{collections::BTreeSet, time::Duration};

use hickorylink_lib::{
    ids::Incarnation,
    jobs::{
        controller::{Answer, Event},
        lifecycle::JobPhase,
        model::{Run, Step, StepOptions},
        record::Ending,
        report::Report,
    },
    time::Time,
};

use crate::world::{FakeWorker, LEASE, MARGIN, World, step, task};

#[test]
fn a_task_of_a_silent_worker_restarts_after_its_lease() {
    struct Case {
        name: &'static str,
        silence: Duration,
        restarts: bool,
    }
    let cases = [
        Case {
            name: "within the lease",
            // The last heartbeat of the other worker may be held for 700 ms.
            silence: LEASE - Duration::from_secs(1),
            restarts: false,
        },
        Case {
            name: "after the lease and its margin",
            silence: LEASE + MARGIN + Duration::from_millis(1000),
            restarts: true,
        },
    ];
    for case in cases {
        let mut world = World::new();
        let (mut first, mut second) = (FakeWorker::new("w1"), FakeWorker::new("w2"));
        let job = world.submit(7, vec![step(1)]);
        world.heartbeat(&mut first).expect("a response");
        assert_eq!(first.started, [(task(job, 0, 0), Run(1))], "{}", case.name);
        let end = world.now + case.silence;
        while world.now < end {
            world.heartbeat(&mut second);
        }
        let restarted = second.started.first() == Some(&(task(job, 0, 0), Run(2)));
        assert_eq!(restarted, case.restarts, "{}", case.name);
    }
}

/// Guards against tasks that run again although they are done: their worker needs longer than its lease to
/// find the new leader.
#[test]
fn a_new_leader_waits_out_the_leases_of_silent_workers() {
    struct Case {
        name: &'static str,
        silence: Duration,
        long_running: bool,
        restarts: bool,
    }
    let after = LEASE + MARGIN + Duration::from_secs(1);
    let case = |name, silence, restarts| Case { name, silence, long_running: false, restarts };
    let cases = [
        case("within the lease", LEASE - Duration::from_secs(1), false),
        case("after the lease and its margin", after, false),
        case("as long as a worker may search", LEASE + Duration::from_secs(3), false),
        case("longer than a worker may search", after + Duration::from_secs(4), true),
        Case {
            name: "long-running, within the lease",
            silence: LEASE - Duration::from_secs(1),
            long_running: true,
            restarts: false,
        },
        Case { name: "long-running, after it", silence: after, long_running: true, restarts: true },
    ];
    for case in cases {
        let mut world = World::new();
        let (mut first, mut second) = (FakeWorker::new("w1"), FakeWorker::new("w2"));
        let options = StepOptions { long_running: case.long_running, ..StepOptions::default() };
        let job = world.submit(7, vec![Step { options, ..step(1) }]);
        world.heartbeat(&mut first).expect("a response");
        world.restart();
        let end = world.now + case.silence;
        while world.now < end {
            world.heartbeat(&mut second);
        }
        let restarted = second.started.first() == Some(&(task(job, 0, 0), Run(2)));
        assert_eq!(restarted, case.restarts, "{}", case.name);
        if !case.restarts && !case.long_running {
            first.end(task(job, 0, 0), Ending::Done);
            let response = world.heartbeat(&mut first).expect("a response");
            assert_eq!(response.acknowledged, 1, "{}", case.name);
            assert_eq!(world.phase(7), JobPhase::Completed, "{}", case.name);
        }
    }
}

#[test]
fn a_restarted_worker_loses_its_runs() {
    let mut world = World::new();
    let mut worker = FakeWorker::new("w1");
    let job = world.submit(7, vec![step(1)]);
    world.heartbeat(&mut worker).expect("a response");
    let mut restarted = worker.restarted();
    world.heartbeat(&mut restarted).expect("a response");
    assert_eq!(restarted.started, [(task(job, 0, 0), Run(2))]);
    // A late heartbeat of the previous incarnation is ignored.
    let late = Box::new(worker.report());
    let ticket = world.send(|ticket| Event::Heartbeat { ticket, report: late });
    assert!(world.response(ticket).is_none());
}

/// Guards against tasks that wait for a lease on a worker that is gone: a heartbeat that was held up by
/// a partition makes it look alive.
#[test]
fn a_late_heartbeat_of_a_worker_that_is_gone_attracts_no_starts() {
    struct Case {
        name: &'static str,
        /// Whether the worker's heartbeats tell its clock.
        clock: bool,
        lose: fn(&mut World, &mut FakeWorker),
        /// The number of the two jobs that start elsewhere within 2 s.
        want: usize,
    }
    let replaced = |world: &mut World, worker: &mut FakeWorker| {
        let mut heir = FakeWorker { incarnation: worker.incarnation + 1, ..FakeWorker::new("w3") };
        heir.labels.clear();
        let address = worker.report().address;
        let report = Box::new(Report { address, ..heir.report() });
        world.send(|ticket| Event::Heartbeat { ticket, report });
    };
    let expired = |world: &mut World, _: &mut FakeWorker| {
        world.advance(LEASE + MARGIN + Duration::from_secs(1));
    };
    let silent = |world: &mut World, _: &mut FakeWorker| {
        world.advance(LEASE - Duration::from_secs(2));
    };
    let takeover = |world: &mut World, _: &mut FakeWorker| {
        world.restart();
        world.advance(LEASE + MARGIN + Duration::from_secs(1));
    };
    let takeover_in_time = |world: &mut World, _: &mut FakeWorker| {
        world.restart();
        world.advance(LEASE + MARGIN - Duration::from_millis(500));
    };
    let reborn = |world: &mut World, worker: &mut FakeWorker| {
        let report = Box::new(worker.restarted().report());
        world.send(|ticket| Event::Heartbeat { ticket, report });
        world.advance(LEASE + MARGIN + Duration::from_secs(1));
    };
    let cases = [
        Case { name: "another leader has taken over", clock: true, lose: takeover, want: 2 },
        Case {
            name: "another leader has taken over, its lease is about to run out",
            clock: true,
            lose: takeover_in_time,
            want: 2,
        },
        Case { name: "another worker has its address", clock: false, lose: replaced, want: 2 },
        Case { name: "its next life is gone, too", clock: true, lose: reborn, want: 2 },
        Case { name: "its next life is gone, too, no clock", clock: false, lose: reborn, want: 2 },
        Case { name: "its lease has run out", clock: true, lose: expired, want: 2 },
        Case { name: "its lease has run out, no clock", clock: false, lose: expired, want: 2 },
        Case { name: "its lease is about to run out", clock: true, lose: silent, want: 1 },
    ];
    for case in cases {
        let mut world = World::new();
        let (mut first, mut second) = (FakeWorker::new("w1"), FakeWorker::new("w2"));
        let options = StepOptions { long_running: true, ..StepOptions::default() };
        let lasting = |id| (id, vec![Step { label: Some("r1".into()), options, ..step(1) }]);
        let (id, steps) = lasting(7);
        world.submit(id, steps);
        let start = world.now;
        let clock = |now: Time| case.clock.then(|| now.since(start));
        while first.started.is_empty() {
            first.clock = clock(world.now);
            world.heartbeat(&mut first).expect("a response");
            world.advance(Duration::from_millis(20));
        }
        first.clock = clock(world.now);
        let late = Box::new(first.report());
        (case.lose)(&mut world, &mut first);
        world.send(|ticket| Event::Heartbeat { ticket, report: late });
        let (id, steps) = lasting(8);
        let other = world.submit(id, steps);
        let end = world.now + Duration::from_secs(2);
        while world.now < end {
            world.heartbeat(&mut second);
        }
        let jobs: BTreeSet<_> = second.started.iter().map(|(task, _)| task.job).collect();
        assert_eq!(jobs.len(), case.want, "{}: {jobs:?}", case.name);
        assert!(jobs.contains(&other), "{}", case.name);
    }
}

/// Guards against tasks that wait for two leases: the first heartbeat that a new leader gets from their
/// worker was held up by a partition, and the worker is gone.
#[test]
fn the_first_heartbeat_to_a_new_leader_renews_no_lease() {
    /// The worker sends this number of heartbeats a second before the lease of the time before the new
    /// leader runs out.
    struct Case {
        name: &'static str,
        heartbeats: usize,
        long_running: bool,
        restarts: bool,
    }
    let finite =
        |name, heartbeats, restarts| Case { name, heartbeats, long_running: false, restarts };
    let lasting =
        |name, heartbeats, restarts| Case { name, heartbeats, long_running: true, restarts };
    let cases = [
        // Its run may be done, and it may still search the new leader.
        finite("silent", 0, false),
        finite("held up", 1, false),
        finite("up", 2, false),
        lasting("long-running, silent", 0, true),
        lasting("long-running, held up", 1, true),
        lasting("long-running, up", 2, false),
    ];
    let granted = [None, Some(LEASE)];
    for case in cases {
        let mut world = World::new();
        let (mut first, mut second) = (FakeWorker::new("w1"), FakeWorker::new("w2"));
        let start = world.now;
        let options = StepOptions { long_running: case.long_running, ..StepOptions::default() };
        let job = world.submit(7, vec![Step { options, ..step(1) }]);
        while first.started.is_empty() {
            first.clock = Some(world.now.since(start));
            world.heartbeat(&mut first).expect("a response");
            world.advance(Duration::from_millis(20));
        }
        world.restart();
        world.advance(LEASE - Duration::from_secs(1));
        let mut leases = Vec::new();
        for _ in 0..case.heartbeats {
            first.clock = Some(world.now.since(start));
            leases.push(world.heartbeat(&mut first).expect("a response").lease);
        }
        assert_eq!(leases, granted[..case.heartbeats], "{}", case.name);
        let end = world.now + MARGIN + Duration::from_secs(2);
        while world.now < end {
            world.heartbeat(&mut second);
        }
        let restarted = second.started.first() == Some(&(task(job, 0, 0), Run(2)));
        assert_eq!(restarted, case.restarts, "{}", case.name);
    }
}

/// Guards against tasks that run again although they are done: a heartbeat that was sent before their end
/// reaches a new leader late, and the next one just after it.
#[test]
fn a_heartbeat_that_was_held_up_does_not_end_the_wait_for_its_worker() {
    struct Case {
        name: &'static str,
        /// When the next heartbeat arrives after the one that was held up.
        next: Duration,
    }
    let cases = [
        Case { name: "at once", next: Duration::ZERO },
        Case { name: "after the next check of leases", next: Duration::from_millis(200) },
        Case { name: "seconds later", next: Duration::from_secs(2) },
    ];
    for case in cases {
        let mut world = World::new();
        let (mut first, mut second) = (FakeWorker::new("w1"), FakeWorker::new("w2"));
        let start = world.now;
        let job = world.submit(7, vec![step(1)]);
        while first.started.is_empty() {
            first.clock = Some(world.now.since(start));
            world.heartbeat(&mut first).expect("a response");
            world.advance(Duration::from_millis(20));
        }
        world.restart();
        first.clock = Some(world.now.since(start));
        let held_up = Box::new(first.report());
        first.end(task(job, 0, 0), Ending::Done);
        let arrives = world.now + LEASE + Duration::from_secs(1);
        while world.now < arrives {
            world.heartbeat(&mut second);
        }
        world.send(|ticket| Event::Heartbeat { ticket, report: held_up });
        let next = world.now + case.next;
        while world.now < next {
            world.heartbeat(&mut second);
        }
        first.clock = Some(world.now.since(start));
        world.heartbeat(&mut first);
        assert_eq!(world.phase(7), JobPhase::Completed, "{}", case.name);
        assert_eq!(second.started, [], "{}", case.name);
    }
}

#[test]
fn a_task_that_was_lost_with_its_worker_continues_from_its_checkpoint() {
    struct Case {
        name: &'static str,
        gang: bool,
        lose: fn(&mut World, &FakeWorker),
        want: &'static str,
    }
    let restart = |world: &mut World, worker: &FakeWorker| {
        let mut restarted = worker.restarted();
        restarted.labels.clear();
        world.heartbeat(&mut restarted);
    };
    let cases = [
        Case { name: "restarted", gang: false, lose: restart, want: "half" },
        Case { name: "left", gang: false, lose: leave, want: "half" },
        // The checkpoint of any member is valid for the gang.
        Case { name: "member of a gang", gang: true, lose: restart, want: "half" },
    ];
    for case in cases {
        let mut world = World::new();
        let (mut first, mut second) = (FakeWorker::new("w1"), FakeWorker::new("w2"));
        let options = StepOptions { checkpoints: true, gang: case.gang, ..StepOptions::default() };
        world.submit(7, vec![Step { label: Some("r1".into()), options, ..step(1) }]);
        world.heartbeat(&mut first).expect("a response");
        first.checkpoint = "half".to_owned();
        world.heartbeat(&mut first).expect("a response");
        (case.lose)(&mut world, &first);
        let end = world.now + LEASE + MARGIN + Duration::from_secs(1);
        let mut starts = Vec::new();
        while world.now < end {
            let response = world.heartbeat(&mut second).expect("a response");
            starts.extend(response.starts);
        }
        let checkpoints: Vec<&str> = starts.iter().map(|start| &*start.checkpoint).collect();
        assert_eq!(checkpoints, [case.want], "{}", case.name);
    }
}

#[test]
fn a_start_is_resent_if_its_response_was_lost() {
    let mut world = World::new();
    let mut worker = FakeWorker::new("w1");
    let job = world.submit(7, vec![step(1)]);
    let report = Box::new(worker.report());
    let ticket = world.send(|ticket| Event::Heartbeat { ticket, report });
    assert_eq!(world.response(ticket).expect("a response").starts.len(), 1);
    world.heartbeat(&mut worker).expect("a response");
    assert_eq!(worker.started, [(task(job, 0, 0), Run(1))]);
}

#[test]
fn a_run_missing_from_one_heartbeat_is_kept() {
    let mut world = World::new();
    let mut worker = FakeWorker::new("w1");
    let job = world.submit(7, vec![step(1)]);
    world.heartbeat(&mut worker);
    world.heartbeat(&mut worker);
    // The run has ended, but its end is reported one heartbeat after the run disappeared from the
    // list.
    let mut between = worker.clone();
    between.running.clear();
    world.heartbeat(&mut between);
    worker.sequence = between.sequence;
    worker.end(task(job, 0, 0), Ending::Done);
    world.heartbeat(&mut worker);
    assert_eq!(world.phase(7), JobPhase::Completed);
    assert_eq!(
        worker.started.len() + between.started.len(),
        2,
        "both copies of the worker saw the same single start"
    );
}

#[test]
fn the_end_of_an_expired_run_is_not_acknowledged() {
    let mut world = World::new();
    let (mut first, mut second) = (FakeWorker::new("w1"), FakeWorker::new("w2"));
    let job = world.submit(7, vec![step(1)]);
    world.heartbeat(&mut first).expect("a response");
    let end = world.now + LEASE + MARGIN + Duration::from_secs(1);
    while world.now < end {
        world.heartbeat(&mut second);
    }
    assert_eq!(second.started, [(task(job, 0, 0), Run(2))]);
    first.end(task(job, 0, 0), Ending::Done);
    let response = world.heartbeat(&mut first).expect("a response");
    assert_eq!(response.acknowledged, 0);
    assert_eq!(world.phase(7), JobPhase::Active);
    second.end(task(job, 0, 0), Ending::Done);
    world.heartbeat(&mut second);
    assert_eq!(world.phase(7), JobPhase::Completed);
}

/// Guards against workers none of whose ends are acknowledged any more: a partition outlasted their
/// lease, and one run was done before that.
#[test]
fn the_end_of_an_expired_run_is_acknowledged_once_its_task_is_done() {
    let mut world = World::new();
    let (mut first, mut second) = (FakeWorker::new("w1"), FakeWorker::new("w2"));
    let job = world.submit(7, vec![step(1)]);
    world.heartbeat(&mut first).expect("a response");
    first.end(task(job, 0, 0), Ending::Done);
    let end = world.now + LEASE + MARGIN + Duration::from_secs(1);
    while world.now < end {
        world.heartbeat(&mut second);
    }
    let response = world.heartbeat(&mut first).expect("a response");
    assert_eq!(response.acknowledged, 0, "the task runs again");
    second.end(task(job, 0, 0), Ending::Done);
    world.heartbeat(&mut second);
    let other = world.submit(8, vec![Step { spread: Some(1), ..step(2) }]);
    while !first.running.keys().any(|task| task.job == other) {
        world.heartbeat(&mut first).expect("a response");
    }
    let run = first.running.keys().next().copied().expect("a run of the other job");
    first.end(run, Ending::Done);
    let response = world.heartbeat(&mut first).expect("a response");
    assert_eq!(response.acknowledged, 2);
}

/// When the leader changes while workers whose lease has run out return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Moment {
    /// Before their runs are given up.
    Silent,
    /// After that, before they are heard again.
    GivenUp,
    /// After they have listed the ends of these runs.
    Returned,
    /// After the tasks of these runs are done elsewhere.
    Settled,
}

/// Guards against returned workers none of whose ends are acknowledged any more after a change of
/// the leader.
#[test]
fn a_later_leader_acknowledges_the_ends_of_returned_workers() {
    struct Case {
        name: &'static str,
        changes: &'static [Moment],
    }
    use Moment::{GivenUp, Returned, Settled, Silent};
    let cases = [
        Case { name: "no change", changes: &[] },
        Case { name: "silent", changes: &[Silent] },
        Case { name: "given up", changes: &[GivenUp] },
        Case { name: "returned", changes: &[Returned] },
        Case { name: "settled", changes: &[Settled] },
        Case { name: "given up and returned", changes: &[GivenUp, Returned] },
        Case { name: "returned and settled", changes: &[Returned, Settled] },
        Case { name: "each", changes: &[Silent, GivenUp, Returned, Settled] },
    ];
    for case in cases {
        let mut world = World::new();
        let mut cut = [FakeWorker::new("w1"), FakeWorker::new("w2")];
        let mut others = [FakeWorker::new("w3"), FakeWorker::new("w4")];
        let change = |world: &mut World, at| {
            if case.changes.contains(&at) {
                world.restart();
            }
        };
        world.submit(7, vec![Step { spread: Some(1), ..step(2) }]);
        for worker in &mut cut {
            world.heartbeat(worker).expect("a response");
            assert_eq!(worker.running.len(), 1, "{}", case.name);
            worker.end_all(Ending::Done);
        }
        change(&mut world, Silent);
        let search = Duration::from_secs(if case.changes.contains(&Silent) { 4 } else { 0 });
        let end = world.now + LEASE + MARGIN + search + Duration::from_secs(1);
        while world.now < end {
            others.iter_mut().for_each(|worker| drop(world.heartbeat(worker)));
        }
        change(&mut world, GivenUp);
        for worker in &mut cut {
            let response = world.heartbeat(worker).expect("a response");
            assert_eq!(response.acknowledged, 0, "{}: the task runs again", case.name);
        }
        change(&mut world, Returned);
        for worker in &mut others {
            worker.end_all(Ending::Done);
            world.heartbeat(worker).expect("a response");
        }
        assert_eq!(world.phase(7), JobPhase::Completed, "{}", case.name);
        change(&mut world, Settled);
        for worker in &mut cut {
            let response = world.heartbeat(worker).expect("a response");
            assert_eq!(response.acknowledged, 1, "{}", case.name);
        }
    }
}

/// Regression: a start that waited for a worker's next heartbeat was sent although that heartbeat said
/// that the worker leaves.
#[test]
fn a_leaving_worker_receives_no_starts() {
    struct Case {
        name: &'static str,
        long_running: bool,
        /// Whether the task is placed before the worker leaves.
        placed: bool,
    }
    let cases = [
        Case { name: "leaving", long_running: false, placed: false },
        Case { name: "long-running, leaving", long_running: true, placed: false },
        Case { name: "long-running, placed before", long_running: true, placed: true },
    ];
    for case in cases {
        let mut world = World::new();
        let (mut worker, mut other) = (FakeWorker::new("w1"), FakeWorker::new("w2"));
        if case.placed {
            world.heartbeat(&mut worker).expect("a response");
        }
        worker.leaving = Some(2000);
        let long_running = case.long_running;
        let options = StepOptions { long_running, ..StepOptions::default() };
        world.submit(7, vec![Step { options, ..step(1) }]);
        for _ in 0..3 {
            world.heartbeat(&mut worker);
        }
        assert_eq!(worker.started, [], "{}", case.name);
        world.heartbeat(&mut other).expect("a response");
        assert_eq!(other.started.len(), 1, "{}: elsewhere", case.name);
    }
}

#[test]
fn ends_in_a_leave_message_are_recorded() {
    let mut world = World::new();
    let mut worker = FakeWorker::new("w1");
    let job = world.submit(7, vec![step(1)]);
    world.heartbeat(&mut worker);
    world.heartbeat(&mut worker);
    worker.end(task(job, 0, 0), Ending::Done);
    let (name, incarnation) = (worker.name.as_str().into(), Some(Incarnation(worker.incarnation)));
    let ended = worker.ended.clone();
    world.send(|ticket| Event::Leave { ticket, name, incarnation, ended });
    assert_eq!(world.phase(7), JobPhase::Completed);
}

#[test]
fn ends_in_a_heartbeat_that_a_leave_message_overtakes_are_recorded() {
    struct Case {
        name: &'static str,
        delay: Duration,
    }
    let cases = [
        Case { name: "in the same turn", delay: Duration::ZERO },
        Case { name: "a turn later", delay: Duration::from_millis(20) },
        Case { name: "late", delay: Duration::from_millis(300) },
    ];
    for case in cases {
        let mut world = World::new();
        let (mut first, mut second) = (FakeWorker::new("w1"), FakeWorker::new("w2"));
        let job = world.submit(7, vec![step(1)]);
        world.heartbeat(&mut first).expect("a response");
        first.leaving = Some(2000);
        world.heartbeat(&mut first).expect("a response");
        first.end(task(job, 0, 0), Ending::Done);
        let overtaken = Box::new(first.report());
        leave(&mut world, &first);
        let report = Box::new(second.report());
        let held = world.send(|ticket| Event::Heartbeat { ticket, report });
        world.advance(case.delay);
        let last = world.send(|ticket| Event::Heartbeat { ticket, report: overtaken });
        let response = world.response(last).expect("a response");
        assert_eq!(response.acknowledged, 1, "{}", case.name);
        if let Some(response) = world.response(held) {
            second.apply(&response);
        }
        world.advance(Duration::from_secs(1));
        world.heartbeat(&mut second);
        assert_eq!(second.started, [], "{}", case.name);
        assert_eq!(world.phase(7), JobPhase::Completed, "{}", case.name);
    }
}

/// Guards against a second run of a task that is done: the last heartbeat of a worker that left arrives
/// seconds after its leave message.
#[test]
fn the_last_heartbeat_of_a_worker_that_left_counts_until_its_lease_runs_out() {
    /// What is heard of the worker's machine after the leave message.
    enum Next {
        Nothing,
        SameName,
        SameAddress,
    }
    use Next::{Nothing, SameAddress, SameName};
    struct Case {
        name: &'static str,
        /// How long after the leave message the last heartbeat arrives, in milliseconds; `None` if it
        /// doesn't.
        delay: Option<u64>,
        next: Next,
        restarts: bool,
    }
    let cases = [
        Case { name: "0.1 s", delay: Some(100), next: Nothing, restarts: false },
        Case { name: "0.6 s", delay: Some(600), next: Nothing, restarts: false },
        Case { name: "2 s", delay: Some(2000), next: Nothing, restarts: false },
        Case { name: "2 s, name reused", delay: Some(2000), next: SameName, restarts: false },
        Case { name: "2 s, address reused", delay: Some(2000), next: SameAddress, restarts: false },
        Case { name: "5 s", delay: Some(5000), next: Nothing, restarts: false },
        Case { name: "never", delay: None, next: Nothing, restarts: true },
        Case { name: "after the lease", delay: Some(5800), next: Nothing, restarts: true },
    ];
    let mut failed = Vec::new();
    for (case, has_clock) in cases.iter().flat_map(|case| [(case, false), (case, true)]) {
        let mut world = World::new();
        let (mut first, mut second) = (FakeWorker::new("w1"), FakeWorker::new("w2"));
        let job = world.submit(7, vec![Step { label: Some("r1".into()), ..step(1) }]);
        let start = world.now;
        let clock = |now: Time| has_clock.then(|| now.since(start));
        while first.started.is_empty() {
            first.clock = clock(world.now);
            world.heartbeat(&mut first).expect("a response");
        }
        (first.leaving, first.clock) = (Some(2000), clock(world.now));
        world.heartbeat(&mut first).expect("a response");
        first.end(task(job, 0, 0), Ending::Done);
        first.clock = clock(world.now);
        let mut last = Some(Box::new(first.report()));
        let left = world.now;
        leave(&mut world, &first);
        let heir = match case.next {
            Nothing => None,
            SameName => Some(first.restarted()),
            SameAddress => Some(first.replaced("w3")),
        };
        if let Some(mut heir) = heir {
            heir.labels.clear();
            let report = Box::new(heir.report());
            world.send(|ticket| Event::Heartbeat { ticket, report });
        }
        let mut acknowledged = 0;
        let mut held = None;
        while world.now < left + LEASE + MARGIN + Duration::from_secs(1) {
            let due = case.delay.map(|delay| left + Duration::from_millis(delay));
            if due.is_some_and(|due| world.now >= due)
                && let Some(report) = last.take()
            {
                let ticket = world.send(|ticket| Event::Heartbeat { ticket, report });
                acknowledged = world.response(ticket).map_or(0, |response| response.acknowledged);
            }
            if let Some(ticket) = held
                && let Some(Answer::Heartbeat(response)) = world.answers.get(&ticket)
            {
                second.apply(response);
                held = None;
            }
            held.get_or_insert_with(|| {
                let report = Box::new(second.report());
                world.send(|ticket| Event::Heartbeat { ticket, report })
            });
            world.advance(Duration::from_millis(20));
        }
        let (restarted, phase) = (!second.started.is_empty(), world.phase(7));
        let completed = phase == JobPhase::Completed;
        if restarted != case.restarts || completed == case.restarts {
            failed.push(format!("{}, clock {has_clock}: {phase}, {:?}", case.name, second.started));
        }
        if case.restarts && acknowledged > 0 {
            failed.push(format!("{}, clock {has_clock}: a discarded end counts", case.name));
        }
    }
    assert_eq!(failed, [""; 0]);
}

#[test]
fn runs_of_a_worker_that_left_restart_elsewhere() {
    struct Case {
        name: &'static str,
        long_running: bool,
        after: Duration,
        restarts: bool,
    }
    let second = Duration::from_secs(1);
    let cases = [
        // It can't be done, so nothing that is on its way can matter.
        Case { name: "long-running", long_running: true, after: second, restarts: true },
        Case {
            name: "within the lease",
            long_running: false,
            after: LEASE - second,
            restarts: false,
        },
        Case {
            name: "after the lease and its margin",
            long_running: false,
            after: LEASE + MARGIN + second,
            restarts: true,
        },
    ];
    for case in cases {
        let mut world = World::new();
        let (mut first, mut second) = (FakeWorker::new("w1"), FakeWorker::new("w2"));
        let options = StepOptions { long_running: case.long_running, ..StepOptions::default() };
        let job = world.submit(7, vec![Step { options, ..step(1) }]);
        world.heartbeat(&mut first).expect("a response");
        leave(&mut world, &first);
        let end = world.now + case.after;
        while world.now < end {
            world.heartbeat(&mut second);
        }
        let want = [(task(job, 0, 0), Run(2))];
        let want = if case.restarts { &want[..] } else { &[] };
        assert_eq!(second.started, want, "{}", case.name);
    }
}

/// Guards against a second run of a task beside the first one: a leave message that names no incarnation
/// was held up, and its worker has started again.
#[test]
fn a_leave_message_without_an_incarnation_counts_only_of_a_worker_that_is_leaving() {
    struct Case {
        name: &'static str,
        leaving: Option<u64>,
        restarts: bool,
    }
    let cases = [
        Case { name: "up", leaving: None, restarts: false },
        Case { name: "leaving", leaving: Some(2000), restarts: true },
    ];
    for case in cases {
        let mut world = World::new();
        let (mut first, mut second) = (FakeWorker::new("w1"), FakeWorker::new("w2"));
        let options = StepOptions { long_running: true, ..StepOptions::default() };
        let job = world.submit(7, vec![Step { options, ..step(1) }]);
        world.heartbeat(&mut first).expect("a response");
        first.leaving = case.leaving;
        world.heartbeat(&mut first).expect("a response");
        let name = first.name.as_str().into();
        world.send(|ticket| Event::Leave { ticket, name, incarnation: None, ended: Vec::new() });
        let end = world.now + Duration::from_secs(1);
        while world.now < end {
            world.heartbeat(&mut second);
        }
        let restarted = second.started.first() == Some(&(task(job, 0, 0), Run(2)));
        assert_eq!(restarted, case.restarts, "{}", case.name);
    }
}

/// Sends the message of a worker that leaves, which lists no ends.
fn leave(world: &mut World, worker: &FakeWorker) {
    let (name, incarnation) = (worker.name.as_str().into(), Some(Incarnation(worker.incarnation)));
    world.send(|ticket| Event::Leave { ticket, name, incarnation, ended: Vec::new() });
}

#[test]
fn heartbeats_of_a_leaving_worker_are_not_held() {
    let mut world = World::new();
    let mut worker = FakeWorker::new("w1");
    world.submit(7, vec![step(1)]);
    world.heartbeat(&mut worker);
    worker.leaving = Some(2000);
    let before = world.now;
    world.heartbeat(&mut worker).expect("a response");
    assert_eq!(world.now, before, "the heartbeat is answered at once");
}
