//! Evacuated data centres: the orders, the starts that aren't made, and the runs that move away.

use std::{collections::BTreeSet, time::Duration};

use hickorylink_lib::{
    jobs::{
        call::{OperatorReply, OperatorRequest},
        controller::{Answer, Effect, Event, LogEvent, evacuate::EvacuationState},
        evacuation::{EvacuationOrder, MAX_EVACUATIONS},
        model::{JobId, Step, StepOptions},
        record::Ending,
        response_size::ResponseLimits,
    },
    resources::Resources,
};

use crate::world::{FakeWorker, LEASE, RESPONSES, World, step};

mod drain;
mod failover;
mod properties;

/// The data centre that the tests evacuate, and another one.
pub(crate) const FIRST: &str = "akl-a";
pub(crate) const SECOND: &str = "akl-b";

pub(crate) fn begin(centre: &str) -> EvacuationOrder {
    EvacuationOrder::Begin { centre: centre.into() }
}

pub(crate) fn cancel(centre: &str) -> EvacuationOrder {
    EvacuationOrder::Cancel { centre: centre.into() }
}

pub(crate) fn order(world: &mut World, order: EvacuationOrder) -> OperatorReply {
    let ticket = world.operator_request(OperatorRequest::Evacuation(order));
    match &world.answers[&ticket] {
        Answer::Operator(reply) => reply.clone(),
        other => panic!("{other:?}"),
    }
}

/// A step of `count` tasks that need one processor and take a minute: a simulated run whose progress stands
/// still for half of its estimate is stopped.
pub(crate) fn long_step(count: u32) -> Step {
    Step { estimate: 60_000, ..step(count) }
}

/// A worker whose runs are at work.
pub(crate) fn worker(name: &str, centre: &str, millicores: u64) -> FakeWorker {
    let capacity = Resources { millicores, memory_mib: 4000, accelerators: 0 };
    FakeWorker { centre: centre.to_owned(), capacity, percent: 100, ..FakeWorker::new(name) }
}

fn evacuated(world: &World) -> Vec<String> {
    let evacuations = &world.controller.committed().evacuations;
    evacuations.iter().map(ToString::to_string).collect()
}

/// Exchanges heartbeats of all workers for a while. Returns the most runs of each job that were away at
/// the same time after they had been stopped.
pub(crate) fn exchange(
    world: &mut World,
    workers: &mut [&mut FakeWorker],
    span: Duration,
) -> usize {
    let end = world.now + span;
    let mut most = 0;
    while world.now < end {
        for at in 0..workers.len() {
            world.heartbeat(workers[at]);
            let running: BTreeSet<_> =
                workers.iter().flat_map(|worker| worker.running.keys().copied()).collect();
            let stopped = workers.iter().flat_map(|worker| &worker.stopped);
            most = most.max(stopped.filter(|task| !running.contains(task)).count());
        }
        world.advance(Duration::from_millis(20));
    }
    most
}

/// Guards against an order that is lost, refused when it is repeated, or accepted for a data centre that
/// isn't there.
#[test]
fn orders_are_answered_and_take_effect() {
    struct Case {
        name: &'static str,
        centres: &'static [&'static str],
        orders: Vec<(EvacuationOrder, OperatorReply)>,
        want: Vec<String>,
    }
    use OperatorReply::{NoCentre, Stored, TooManyCentres};
    let all = |names: &[&str]| names.iter().map(ToString::to_string).collect::<Vec<_>>();
    let long: &'static str = Box::leak("x".repeat(129).into_boxed_str());
    let numbered = |at: usize| format!("c{at:02}");
    let full = (0..MAX_EVACUATIONS).map(|at| (begin(&numbered(at)), Stored));
    let cases = [
        Case {
            name: "evacuated",
            centres: &[FIRST, SECOND],
            orders: vec![(begin(FIRST), Stored)],
            want: all(&[FIRST]),
        },
        Case {
            name: "repeated after acceptance",
            centres: &[FIRST, SECOND],
            orders: vec![(begin(FIRST), Stored), (begin(FIRST), Stored)],
            want: all(&[FIRST]),
        },
        Case {
            name: "taken back",
            centres: &[],
            orders: vec![(begin(FIRST), Stored), (cancel(FIRST), Stored), (cancel(FIRST), Stored)],
            want: all(&[]),
        },
        Case {
            name: "the cancellation comes first",
            centres: &[FIRST],
            orders: vec![(cancel(FIRST), Stored), (begin(FIRST), Stored)],
            want: all(&[FIRST]),
        },
        Case {
            name: "all data centres",
            centres: &[FIRST, SECOND],
            orders: vec![(begin(SECOND), Stored), (begin(FIRST), Stored)],
            want: all(&[FIRST, SECOND]),
        },
        Case {
            name: "not in the settings",
            centres: &[FIRST],
            orders: vec![(begin(SECOND), NoCentre), (cancel(SECOND), NoCentre)],
            want: all(&[]),
        },
        Case {
            name: "any name without the setting",
            centres: &[],
            orders: vec![(begin("Te Awamutu".replace(' ', "-").as_str()), Stored)],
            want: all(&["Te-Awamutu"]),
        },
        Case {
            name: "no valid names",
            centres: &[],
            orders: vec![
                (begin(""), NoCentre),
                (begin("a/b"), NoCentre),
                (begin("a b"), NoCentre),
                (begin(long), NoCentre),
            ],
            want: all(&[]),
        },
        Case {
            name: "too many",
            centres: &[],
            orders: full
                .chain([
                    (begin("one-more"), TooManyCentres),
                    (begin("c07"), Stored),
                    (cancel("one-more"), Stored),
                ])
                .collect(),
            want: (0..MAX_EVACUATIONS).map(numbered).collect(),
        },
    ];
    for case in cases {
        let mut world = World::new();
        world.centres = case.centres.iter().map(|centre| (*centre).into()).collect();
        world.restart();
        for (at, (given, want)) in case.orders.into_iter().enumerate() {
            assert_eq!(order(&mut world, given), want, "{}: order {at}", case.name);
        }
        assert_eq!(evacuated(&world), case.want, "{}", case.name);
        world.restart();
        assert_eq!(evacuated(&world), case.want, "{}, after a restart", case.name);
    }
}

/// Guards against an evacuation that can't be cancelled any more after the data centre was taken out of the
/// settings.
#[test]
fn an_evacuation_outside_the_settings_can_be_cancelled() {
    let mut world = World::new();
    assert_eq!(order(&mut world, begin(FIRST)), OperatorReply::Stored);
    world.centres = vec![SECOND.into()];
    world.restart();
    assert_eq!(order(&mut world, begin(FIRST)), OperatorReply::Stored, "repeated");
    assert_eq!(order(&mut world, cancel(FIRST)), OperatorReply::Stored);
    assert_eq!(evacuated(&world), Vec::<String>::new());
}

/// Guards against starts on evacuated workers, and against a leader that takes their data centre for lost:
/// leases are renewed, ends are acknowledged, and after the cancellation starts are sent in the same turn.
#[test]
fn nothing_starts_in_an_evacuated_data_centre_until_the_cancellation() {
    let mut world = World::new();
    let mut only = worker("w1", FIRST, 4000);
    let job = world.submit(7, vec![long_step(1)]);
    world.heartbeat(&mut only).expect("a response");
    assert_eq!(only.running.len(), 1);
    assert_eq!(order(&mut world, begin(FIRST)), OperatorReply::Stored);
    world.submit(8, vec![long_step(2)]);
    let end = world.now + LEASE * 3;
    while world.now < end {
        let response = world.heartbeat(&mut only).expect("a response");
        assert!(response.lease.is_some(), "its lease is renewed");
        assert_eq!((response.starts.len(), response.stops.len()), (0, 0));
        // A worker that is heard seldom would receive the starts after the cancellation late.
        assert!(response.next_heartbeat < Duration::from_millis(100));
    }
    only.end(crate::world::task(job, 0, 0), Ending::Done);
    world.heartbeat(&mut only).expect("a response");
    assert!(only.ended.is_empty(), "its end is acknowledged");
    assert_eq!(world.phase(7).name(), "completed");

    let report = Box::new(only.report());
    let held = world.send(|ticket| Event::Heartbeat { ticket, report });
    assert!(!world.answers.contains_key(&held), "there is nothing to send");
    assert_eq!(order(&mut world, cancel(FIRST)), OperatorReply::Stored);
    let Some(Answer::Heartbeat(response)) = world.answers.get(&held) else {
        panic!("the starts are sent in the turn of the cancellation");
    };
    assert_eq!(response.starts.len(), 2);
}

/// Guards against starts that were recorded before the order and are sent after it.
#[test]
fn starts_that_were_not_sent_are_withdrawn() {
    struct Case {
        name: &'static str,
        /// Whether starts are sent at such a rate that most of them wait.
        limited: bool,
        /// Whether the response with the starts is lost.
        lost: bool,
        gang: bool,
        restart: bool,
        /// Whether a further heartbeat is held at the order.
        held: bool,
    }
    let base =
        Case { name: "", limited: false, lost: false, gang: false, restart: false, held: false };
    let cases = [
        Case { name: "not sent", limited: true, ..base },
        Case { name: "not sent, the heartbeat is held", limited: true, held: true, ..base },
        Case { name: "to be sent again", limited: true, lost: true, held: true, ..base },
        Case { name: "sent but lost", lost: true, ..base },
        Case { name: "a gang, sent but lost", lost: true, gang: true, ..base },
        Case { name: "lost under another leader", lost: true, restart: true, ..base },
    ];
    for case in cases {
        // Less than two starts in the time for which a heartbeat is held.
        let responses = ResponseLimits { bytes_per_second: 100, ..RESPONSES };
        let mut world = if case.limited { World::with_responses(responses) } else { World::new() };
        let (mut first, mut second) = (worker("w1", FIRST, 4000), worker("w2", SECOND, 0));
        world.heartbeat(&mut first);
        world.heartbeat(&mut second);
        let options = StepOptions { gang: case.gang, ..StepOptions::default() };
        world.submit(7, vec![Step { options, ..long_step(4) }]);
        let report = Box::new(first.report());
        let ticket = world.send(|ticket| Event::Heartbeat { ticket, report });
        let response = world.response(ticket).expect("a response");
        if !case.lost {
            first.apply(&response);
        }
        let recorded = world.controller.committed().jobs[&JobId(7)].is_running(0);
        assert!(recorded, "{}", case.name);
        let sent = first.started.len();
        if case.limited {
            assert!(sent < 4, "{}: {sent} starts were sent", case.name);
        }
        if case.restart {
            world.restart();
        }
        let report = case.held.then(|| Box::new(first.report()));
        let held = report.map(|report| world.send(|ticket| Event::Heartbeat { ticket, report }));
        assert_eq!(order(&mut world, begin(FIRST)), OperatorReply::Stored, "{}", case.name);
        if let Some(response) = held.and_then(|ticket| world.response(ticket)) {
            assert_eq!(response.starts.len(), 0, "{}", case.name);
        }
        second.capacity.millicores = 4000;
        for _ in 0..40 {
            let response = world.heartbeat(&mut first).expect("a response");
            assert_eq!(response.starts.len(), 0, "{}", case.name);
            world.heartbeat(&mut second);
            if second.started.len() >= 4 - sent {
                break;
            }
            world.advance(Duration::from_millis(500));
        }
        assert_eq!(first.started.len(), sent, "{}", case.name);
        assert_eq!(second.started.len(), 4 - sent, "{}: the others start elsewhere", case.name);
    }
}

/// Guards against an evacuation whose progress nobody can see, or that is logged in every round.
#[test]
fn the_progress_is_logged() {
    let mut world = World::new();
    let (mut first, mut second) = (worker("w1", FIRST, 4000), worker("w2", SECOND, 4000));
    world.heartbeat(&mut first);
    world.submit(7, vec![long_step(2)]);
    exchange(&mut world, &mut [&mut first], Duration::from_secs(1));
    order(&mut world, begin(FIRST));
    exchange(&mut world, &mut [&mut first, &mut second], Duration::from_secs(15));
    first.end_all(Ending::Done);
    exchange(&mut world, &mut [&mut first, &mut second], Duration::from_secs(3));
    order(&mut world, cancel(FIRST));
    let lines = world.sent.iter().filter_map(|effect| match effect {
        Effect::LogEvent(LogEvent::Evacuation { centre, state, left }) => {
            assert_eq!(centre.as_str(), FIRST);
            Some((*state, left.workers, left.runs))
        }
        _ => None,
    });
    let want = [
        (EvacuationState::Begun, 1, 2),
        (EvacuationState::Draining, 1, 2),
        (EvacuationState::Complete, 1, 0),
        (EvacuationState::Cancelled, 1, 0),
    ];
    assert_eq!(lines.collect::<Vec<_>>(), want);
}
