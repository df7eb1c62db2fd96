//! Cancellations that come before the submissions of their jobs.

use std::time::Duration;

use hickorylink_lib::jobs::{
    call::{Action, Call, Reply},
    controller::{Answer, Event, Ticket},
    model::JobSpec,
};

use crate::world::{FakeWorker, HOST, World, path, step};

/// How long a cancellation is remembered, in seconds.
const RETENTION_S: u64 = 120;

/// The limit on early cancellations.
const MAX_CANCELS: u64 = 65_536;

fn submission() -> Action {
    Action::Submit(JobSpec { text: "spec".into(), steps: vec![step(1)], schedule: None })
}

fn wait(world: &mut World, seconds: u64) {
    world.advance(Duration::from_secs(seconds));
}

/// Makes the controller recover from a snapshot, which holds all that came before.
fn restore(world: &mut World) {
    for id in 1000.. {
        if world.snapshot().is_some() {
            break;
        }
        world.call(&path(id), submission());
        world.call(&path(id), Action::Cancel);
    }
    world.restart();
}

/// Guards against a job that runs although its cancellation was acknowledged: its submission was still on its
/// way, and nothing was known of the cancellation when it arrived.
#[test]
fn a_job_that_is_cancelled_before_it_is_submitted_does_not_run() {
    struct Case {
        name: &'static str,
        /// What happens between the cancellation and the submission.
        between: fn(&mut World),
        runs: bool,
    }
    let cases = [
        Case { name: "at once", between: |_| {}, runs: false },
        Case { name: "later", between: |world| wait(world, RETENTION_S - 5), runs: false },
        Case { name: "a new leader", between: World::restart, runs: false },
        Case {
            name: "a new leader, long after",
            between: |world| {
                wait(world, RETENTION_S - 5);
                world.restart();
                wait(world, RETENTION_S - 10);
            },
            runs: false,
        },
        Case { name: "a new leader with a snapshot", between: restore, runs: false },
        Case {
            name: "long after the first of two cancellations",
            between: |world| {
                wait(world, RETENTION_S - 10);
                assert_eq!(world.call(&path(7), Action::Cancel), Reply::NoJob);
                wait(world, 20);
            },
            runs: false,
        },
        Case {
            name: "a submission that was refused",
            between: |world| {
                world.call(&path(7), submission());
                wait(world, 1);
            },
            runs: false,
        },
        Case {
            name: "after the retention time",
            between: |world| wait(world, RETENTION_S + 10),
            runs: true,
        },
    ];
    for case in cases {
        let mut world = World::new();
        assert_eq!(world.call(&path(7), Action::Cancel), Reply::NoJob, "{}", case.name);
        (case.between)(&mut world);
        let reply = world.call(&path(7), submission());
        assert_eq!(reply == Reply::Accepted, case.runs, "{}: {reply:?}", case.name);
        let shown = world.call(&path(7), Action::Show);
        assert_eq!(shown == Reply::NoJob, !case.runs, "{}: {shown:?}", case.name);
        let mut worker = FakeWorker::new("w1");
        world.heartbeat(&mut worker).expect("a response");
        assert_eq!(!worker.started.is_empty(), case.runs, "{}", case.name);
    }
}

/// Guards against a refusal that invites retries, which have the same answer.
#[test]
fn the_submission_of_a_cancelled_job_is_refused_for_good() {
    let mut world = World::new();
    world.call(&path(7), Action::Cancel);
    for attempt in 0..3 {
        assert_eq!(world.call(&path(7), submission()), Reply::Withdrawn, "attempt {attempt}");
    }
}

/// Guards against cancellations of arbitrary identifiers that push out those of others, or that take memory
/// without bound.
#[test]
fn cancellations_beyond_the_limit_are_refused_and_earlier_ones_kept() {
    let mut world = World::new();
    assert_eq!(world.call(&path(7), Action::Cancel), Reply::NoJob);
    world.call(&path(8), submission());
    let cancel = |id: u64| {
        let call = Call { host: HOST.into(), path: path(id).into(), action: Action::Cancel };
        Event::Call { ticket: Ticket::Front(1_000_000 + id), call }
    };
    world.handle((10_000..10_000 + MAX_CANCELS - 1).map(cancel).collect());
    let accepted = |answer: &Answer| matches!(answer, Answer::Reply(Reply::NoJob));
    let filled = world.answers.range(1_000_000..).filter(|(_, answer)| accepted(answer)).count();
    assert_eq!(u64::try_from(filled), Ok(MAX_CANCELS - 1));

    struct Case {
        name: &'static str,
        id: u64,
        action: Action,
        want: Reply,
    }
    let cases = [
        Case { name: "one too many", id: 9, action: Action::Cancel, want: Reply::NotRun },
        Case { name: "again", id: 7, action: Action::Cancel, want: Reply::NoJob },
        Case { name: "a known job", id: 8, action: Action::Cancel, want: Reply::Cancelled },
        Case { name: "the first", id: 7, action: submission(), want: Reply::Withdrawn },
        Case { name: "one not cancelled", id: 9, action: submission(), want: Reply::Accepted },
    ];
    for case in cases {
        assert_eq!(world.call(&path(case.id), case.action), case.want, "{}", case.name);
    }
    wait(&mut world, RETENTION_S + 10);
    assert_eq!(world.call(&path(10), Action::Cancel), Reply::NoJob, "there is room again");
}
