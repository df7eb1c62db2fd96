//! The drain: which runs leave an evacuated data centre, when, and how many at a time.

use std::{collections::BTreeSet, time::Duration};

use hickorylink_lib::jobs::{
    call::OperatorReply,
    controller::{Effect, Event, LogEvent},
    model::{Step, StepOptions, TaskKey},
};

use crate::{
    data_centres::{FIRST, SECOND, begin, exchange, long_step, order, worker},
    world::{LEASE, MARGIN, World, step},
};

/// What runs in the evacuated data centre.
struct Drained {
    name: &'static str,
    step: Step,
    /// The processors of the other data centre.
    elsewhere: u64,
    /// Whether that one is evacuated, too.
    both: bool,
    /// The number of runs that leave, and the most that are away at the same time.
    want: (usize, usize),
}

fn lasting(disruptable: u32) -> StepOptions {
    StepOptions { long_running: true, disruptable, ..StepOptions::default() }
}

fn drained() -> Vec<Drained> {
    let finite = StepOptions::default();
    let saved = StepOptions { checkpoints: true, ..finite };
    let filling = StepOptions { opportunistic: true, ..saved };
    let task = |options| Step { options, ..long_step(3) };
    let serving = Step {
        image: Some("web".into()),
        target_latency: Some(100),
        spread: Some(3),
        ..task(lasting(1))
    };
    let base = Drained { name: "", step: task(finite), elsewhere: 4000, both: false, want: (0, 0) };
    let with = |name, options, want| Drained {
        name,
        step: task(options),
        want,
        elsewhere: base.elsewhere,
        both: base.both,
    };
    let gang = StepOptions { gang: true, ..lasting(0) };
    vec![
        with("finite", finite, (0, 0)),
        with(
            "opportunistic without checkpoints",
            StepOptions { checkpoints: false, ..filling },
            (0, 0),
        ),
        with("with checkpoints", saved, (3, 3)),
        with("opportunistic", filling, (3, 3)),
        with("long-running, one may be away", lasting(1), (3, 1)),
        with("long-running, two may be away", lasting(2), (3, 2)),
        with("long-running, none may be away", lasting(0), (0, 0)),
        with("a gang that ends", StepOptions { gang: true, ..saved }, (0, 0)),
        with("a gang that lasts", gang, (3, 3)),
        Drained { name: "serving", step: serving, want: (3, 1), ..with("", finite, (0, 0)) },
        Drained { elsewhere: 0, ..with("checkpoints, no room", saved, (0, 0)) },
        Drained { elsewhere: 0, ..with("long-running, no room", lasting(3), (0, 0)) },
        Drained { elsewhere: 0, ..with("opportunistic, no room", filling, (0, 0)) },
        Drained { elsewhere: 2000, ..with("checkpoints, room for two", saved, (2, 2)) },
        Drained { elsewhere: 2000, ..with("long-running, room for two", lasting(3), (2, 2)) },
        Drained { elsewhere: 2000, ..with("a gang without room for all", gang, (0, 0)) },
        Drained { both: true, ..with("checkpoints, all evacuated", saved, (0, 0)) },
        Drained { both: true, ..with("long-running, all evacuated", lasting(3), (0, 0)) },
        Drained { both: true, ..with("a gang, all evacuated", gang, (0, 0)) },
    ]
}

/// Guards against a drain that stops what can't continue elsewhere, stops more than the steps allow, or
/// leaves what could move.
#[test]
fn runs_move_as_other_workers_have_room() {
    for case in drained() {
        let mut world = World::new();
        let (mut first, mut second) = (worker("w1", FIRST, 4000), worker("w2", SECOND, 0));
        let count = usize::try_from(case.step.count).expect("a few tasks");
        world.submit(7, vec![case.step]);
        exchange(&mut world, &mut [&mut first, &mut second], Duration::from_secs(2));
        assert_eq!(first.running.len(), count, "{}", case.name);
        second.capacity.millicores = case.elsewhere;
        exchange(&mut world, &mut [&mut first, &mut second], Duration::from_secs(2));
        assert_eq!(order(&mut world, begin(FIRST)), OperatorReply::Stored, "{}", case.name);
        if case.both {
            assert_eq!(order(&mut world, begin(SECOND)), OperatorReply::Stored, "{}", case.name);
        }
        let workers = &mut [&mut first, &mut second];
        let most = exchange(&mut world, workers, Duration::from_secs(12));
        assert_eq!((first.stopped.len(), most), case.want, "{}", case.name);
        assert_eq!(second.running.len(), case.want.0, "{}: they run elsewhere", case.name);
        assert_eq!(first.running.len(), count - case.want.0, "{}: the others stay", case.name);
        assert!(second.stopped.is_empty(), "{}", case.name);
    }
}

/// Guards against opportunistic runs that are stopped on a slow worker of an evacuated data centre and can't start
/// again, since no other worker has a place for them.
#[test]
fn only_the_drain_stops_runs_on_a_slow_evacuated_worker() {
    struct Case {
        name: &'static str,
        evacuated: &'static [&'static str],
        /// The maximum number of opportunistic runs on a worker.
        spread: u32,
        want: bool,
    }
    let cases = [
        Case { name: "none", evacuated: &[], spread: 1, want: true },
        Case { name: "no place elsewhere", evacuated: &[FIRST], spread: 1, want: false },
        Case { name: "places elsewhere", evacuated: &[FIRST], spread: 4, want: true },
        Case { name: "all", evacuated: &[FIRST, SECOND], spread: 1, want: false },
    ];
    for case in cases {
        let mut world = World::new();
        let centre = |at| if at < 2 { FIRST } else { SECOND };
        let mut workers: Vec<_> =
            (0..4).map(|at| worker(&format!("w{at}"), centre(at), 4000)).collect();
        let web = |step| Step {
            image: Some("web".into()),
            target_latency: Some(150),
            spread: Some(2),
            options: lasting(0),
            ..step
        };
        let saved = StepOptions { checkpoints: true, ..StepOptions::default() };
        let options = StepOptions { opportunistic: true, ..saved };
        let filling = Step {
            image: Some("fill".into()),
            options,
            spread: Some(case.spread),
            estimate: 600_000,
            ..step(4)
        };
        world.submit(1, vec![web(long_step(8))]);
        world.submit(2, vec![filling]);
        let mut stopped = 0;
        for beat in 0..60 {
            for (at, worker) in workers.iter_mut().enumerate() {
                let tail = if beat > 30 && at == 0 { 400 } else { 60 };
                let gauge = |task: &TaskKey| if task.job.0 == 1 { tail } else { 500 };
                worker.gauges = worker.running.keys().map(|task| (*task, gauge(task))).collect();
                world.heartbeat(worker);
                stopped += std::mem::take(&mut worker.stopped).len();
            }
            if beat == 25 {
                assert_eq!(stopped, 0, "{}: before the worker is slow", case.name);
                for centre in case.evacuated.iter().rev() {
                    assert_eq!(order(&mut world, begin(centre)), OperatorReply::Stored);
                }
            }
        }
        assert_eq!(stopped > 0, case.want, "{}: {stopped} are stopped", case.name);
    }
}

/// Guards against two rounds of the drain that count on the same room, while the first run takes its time to
/// stop or the worker with room isn't ready for it.
#[test]
fn room_is_counted_on_once() {
    struct Case {
        name: &'static str,
        options: StepOptions,
    }
    let saved = StepOptions { checkpoints: true, ..StepOptions::default() };
    let cases = [
        Case { name: "with checkpoints", options: saved },
        Case { name: "opportunistic", options: StepOptions { opportunistic: true, ..saved } },
        Case { name: "long-running", options: lasting(3) },
    ];
    for case in cases {
        let mut world = World::new();
        let (mut a, mut b) = (worker("w1", FIRST, 1000), worker("w2", FIRST, 1000));
        let mut c = worker("w3", SECOND, 0);
        world.submit(7, vec![Step { options: case.options, ..long_step(2) }]);
        exchange(&mut world, &mut [&mut a, &mut b, &mut c], Duration::from_secs(1));
        assert_eq!((a.running.len(), b.running.len()), (1, 1), "{}", case.name);
        c.capacity.millicores = 1000;
        exchange(&mut world, &mut [&mut a, &mut b, &mut c], Duration::from_secs(1));
        assert_eq!(order(&mut world, begin(FIRST)), OperatorReply::Stored, "{}", case.name);
        let mut stops: BTreeSet<TaskKey> = BTreeSet::new();
        // The workers take 3 s to stop a run.
        let end = world.now + Duration::from_secs(3);
        while world.now < end {
            for worker in [&mut a, &mut b, &mut c] {
                let report = Box::new(worker.report());
                let ticket = world.send(|ticket| Event::Heartbeat { ticket, report });
                let response = world.response(ticket).expect("a response");
                stops.extend(response.stops.iter().map(|(task, _)| *task));
            }
        }
        assert_eq!(stops.len(), 1, "{}: {stops:?}", case.name);
        exchange(&mut world, &mut [&mut a, &mut b, &mut c], Duration::from_secs(10));
        let stopped = a.stopped.len() + b.stopped.len();
        assert_eq!((stopped, c.running.len()), (1, 1), "{}", case.name);
    }
}

/// Guards against a stop that a silent worker doesn't receive and that takes the allowance of its step, so
/// that no run of another worker moves.
#[test]
fn a_silent_worker_does_not_hold_up_the_drain() {
    let mut world = World::with_lease(Duration::from_secs(20), MARGIN);
    let (mut silent, mut heard) = (worker("w1", FIRST, 1000), worker("w2", FIRST, 1000));
    let mut other = worker("w3", SECOND, 0);
    world.submit(7, vec![Step { options: lasting(1), ..long_step(2) }]);
    exchange(&mut world, &mut [&mut silent, &mut heard, &mut other], Duration::from_secs(1));
    assert_eq!((silent.running.len(), heard.running.len()), (1, 1));
    exchange(&mut world, &mut [&mut heard, &mut other], Duration::from_secs(2));
    other.capacity.millicores = 4000;
    assert_eq!(order(&mut world, begin(FIRST)), OperatorReply::Stored);
    exchange(&mut world, &mut [&mut heard, &mut other], Duration::from_secs(5));
    assert_eq!((heard.stopped.len(), other.running.len()), (1, 1));
}

/// Guards against an evacuated data centre that is cut off and whose runs aren't given up, or are given up
/// earlier than without the evacuation.
#[test]
fn runs_of_a_partitioned_data_centre_are_given_up_with_their_lease() {
    struct Case {
        name: &'static str,
        evacuated: bool,
        options: StepOptions,
    }
    let cases = [
        Case { name: "not evacuated", evacuated: false, options: lasting(1) },
        Case { name: "long-running", evacuated: true, options: lasting(1) },
        Case { name: "finite", evacuated: true, options: StepOptions::default() },
    ];
    for case in cases {
        let mut world = World::new();
        let (mut first, mut second) = (worker("w1", FIRST, 4000), worker("w2", SECOND, 0));
        world.submit(7, vec![Step { options: case.options, ..long_step(2) }]);
        exchange(&mut world, &mut [&mut first, &mut second], Duration::from_secs(1));
        assert_eq!(first.running.len(), 2, "{}", case.name);
        world.heartbeat(&mut second);
        let cut = world.now;
        world.heartbeat(&mut first);
        if case.evacuated {
            assert_eq!(order(&mut world, begin(FIRST)), OperatorReply::Stored, "{}", case.name);
        }
        world.advance(Duration::from_secs(2));
        second.capacity.millicores = 4000;
        let mut restarted = None;
        while world.now < cut + (LEASE + MARGIN) * 3 {
            world.heartbeat(&mut second);
            if second.started.len() == 2 {
                restarted.get_or_insert(cut.until(world.now));
            }
            assert!(second.stopped.is_empty(), "{}", case.name);
        }
        let restarted = restarted.expect("the runs start elsewhere");
        assert!(restarted >= LEASE + MARGIN, "{}: {restarted:?}", case.name);
        assert!(restarted < LEASE + MARGIN + Duration::from_secs(2), "{}", case.name);
        let lines = world.sent.iter().filter(|effect| {
            matches!(effect, Effect::LogEvent(LogEvent::Worker { state, .. })
                if *state == "lost: its lease has run out")
        });
        assert_eq!(lines.count(), 1, "{}", case.name);
    }
}
