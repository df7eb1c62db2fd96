//! The limits on the size of responses to heartbeats.

use std::time::Duration;

use hickorylink_lib::{
    jobs::{
        controller::{Answer, Event},
        delivery::DeliveryWindow,
        model::{Step, StepOptions},
        response::HeartbeatResponse,
        response_size::{ResponseLimits, ResponseSizes},
        send_budget::SendBudget,
    },
    resources::Resources,
    time::Time,
};

use crate::world::{FakeWorker, RESPONSES, World, step};

/// The size of an escaped byte in these tests.
const ESCAPED_BYTES: u8 = 6;

fn sizes() -> ResponseSizes {
    let mut text = [1; 256];
    text[1] = ESCAPED_BYTES;
    ResponseSizes { text, ..RESPONSES.sizes }
}

/// The size of a response by these sizes.
fn size(response: &HeartbeatResponse) -> usize {
    let sizes = sizes();
    let starts = response.starts.iter().map(|start| sizes.start(start));
    sizes.envelope
        + starts.sum::<usize>()
        + response.stops.len() * sizes.stop
        + response.paces.len() * sizes.pace
}

/// A step of many tasks that fit a worker.
fn wide(count: u32) -> Step {
    let needs = Resources { millicores: 1, memory_mib: 1, accelerators: 0 };
    Step { needs, ..step(count) }
}

/// Guards against a response with more starts than a worker accepts, which no worker ever received.
#[test]
fn starts_beyond_the_largest_response_follow_in_order() {
    struct Case {
        name: &'static str,
        text: String,
        max_bytes: usize,
        want: &'static [usize],
    }
    let plain = "x".repeat(150);
    let cases = [
        Case { name: "all fit", text: plain.clone(), max_bytes: 1700, want: &[8] },
        Case { name: "one doesn't fit", text: plain.clone(), max_bytes: 1699, want: &[7, 1] },
        Case { name: "three at a time", text: plain.clone(), max_bytes: 700, want: &[3, 3, 2] },
        Case { name: "escaped bytes", text: "\u{1}".repeat(25), max_bytes: 700, want: &[3, 3, 2] },
        Case { name: "one at a time", text: plain, max_bytes: 301, want: &[1; 8] },
    ];
    for case in cases {
        let limits = ResponseLimits { max_bytes: case.max_bytes, sizes: sizes(), ..RESPONSES };
        let mut world = World::with_responses(limits);
        let mut worker = FakeWorker::new("w1");
        world.submit_text(7, &case.text, vec![wide(8)]);
        let mut starts = Vec::new();
        while worker.started.len() < 8 {
            let response = world.heartbeat(&mut worker).expect("a response");
            assert!(size(&response) <= case.max_bytes, "{}: {}", case.name, size(&response));
            assert!(response.lease.is_some(), "{}: the other runs keep their leases", case.name);
            starts.push(response.starts.len());
        }
        assert_eq!(starts, case.want, "{}", case.name);
        let indexes: Vec<u32> = worker.started.iter().map(|(task, _)| task.index).collect();
        assert_eq!(indexes, (0..8).collect::<Vec<_>>(), "{}", case.name);
    }
}

/// Guards against starts that overtake those decided on before, once a heartbeat came in between.
#[test]
fn starts_keep_the_order_of_the_decisions() {
    let limits = ResponseLimits { max_bytes: 400, ..RESPONSES };
    let mut world = World::with_responses(limits);
    let mut worker = FakeWorker::new("w1");
    // The job with less work goes first, although the other one has the lower number.
    let large = world.submit_text(2, &"x".repeat(100), vec![wide(4)]);
    let small = world.submit_text(9, &"x".repeat(100), vec![wide(3)]);
    while worker.started.len() < 7 {
        world.heartbeat(&mut worker).expect("a response");
    }
    let jobs: Vec<_> = worker.started.iter().map(|(task, _)| task.job).collect();
    assert_eq!(jobs, [small, small, small, large, large, large, large]);
}

/// Guards against a response that can't be delivered, sent again and again, while the leases of all
/// runs on the worker expire.
#[test]
fn responses_that_dont_arrive_become_smaller() {
    struct Case {
        name: &'static str,
        accepted: usize,
        dropped: usize,
    }
    let cases = [
        Case { name: "all arrive", accepted: 4 << 20, dropped: 0 },
        Case { name: "a slow connection", accepted: 200 << 10, dropped: 3 },
        Case { name: "the slowest connection", accepted: 66 << 10, dropped: 4 },
    ];
    for case in cases {
        let limits = ResponseLimits { max_bytes: 1 << 20, ..RESPONSES };
        let mut world = World::with_responses(limits);
        let mut worker = FakeWorker::new("w1");
        world.submit_text(7, &"x".repeat(4000), vec![wide(250)]);
        let mut dropped = 0;
        let mut since = 0;
        while worker.started.len() < 250 {
            let report = Box::new(worker.report());
            let ticket = world.send(|ticket| Event::Heartbeat { ticket, report });
            let response = world.response(ticket).expect("a response");
            if size(&response) > case.accepted {
                since += 1;
                dropped += usize::from(worker.started.is_empty());
            } else {
                since = 0;
                worker.apply(&response);
            }
            assert!(since <= 4, "{}: the worker gets its lease", case.name);
        }
        assert_eq!(dropped, case.dropped, "{}", case.name);
    }
}

/// Guards against starts for many workers that fill the leader's connection, so that no response
/// arrives in time.
#[test]
fn starts_for_many_workers_are_spread_over_time() {
    const RATE: u64 = 100_000;
    let limits = ResponseLimits { bytes_per_second: RATE, ..RESPONSES };
    let mut world = World::with_responses(limits);
    let mut workers = ["w1", "w2", "w3"].map(FakeWorker::new);
    let tickets = workers.each_mut().map(|worker| {
        let report = Box::new(worker.report());
        world.send(|ticket| Event::Heartbeat { ticket, report })
    });
    let begun = world.now;
    world.submit_text(7, &"x".repeat(950), vec![Step { spread: Some(20), ..wide(60) }]);
    let mut open = tickets.map(Some);
    let mut sent = 0;
    let mut started = [0; 3];
    while started.iter().sum::<usize>() < 60 {
        for ((worker, ticket), count) in workers.iter_mut().zip(&mut open).zip(&mut started) {
            if let Some(Answer::Heartbeat(response)) = ticket.and_then(|at| world.answers.get(&at))
            {
                worker.apply(response);
                sent += size(response) - RESPONSES.sizes.envelope;
                *count += response.starts.len();
                let report = Box::new(worker.report());
                *ticket = Some(world.send(|ticket| Event::Heartbeat { ticket, report }));
            }
        }
        let millis = u64::try_from(world.now.since(begun).as_millis()).expect("it fits");
        let allowed = RATE * (millis + 100) / 1000 + 1000;
        assert!(sent as u64 <= allowed, "{sent} bytes after {millis} ms");
        let (least, most) = (started.iter().min(), started.iter().max());
        if millis > 400 {
            assert!(least > Some(&0), "{least:?} and {most:?}: each worker gets its share");
        }
        assert!(millis < 2000, "{started:?}");
        world.advance(Duration::from_millis(20));
    }
}

/// Guards against a gang of which only the members in the first response start.
#[test]
fn a_gang_that_exceeds_a_response_starts_as_a_whole() {
    let limits = ResponseLimits { max_bytes: 700, ..RESPONSES };
    let mut world = World::with_responses(limits);
    let mut worker = FakeWorker::new("w1");
    let options = StepOptions { gang: true, ..StepOptions::default() };
    world.submit_text(7, &"x".repeat(150), vec![Step { options, ..wide(8) }]);
    let begun = world.now;
    while worker.running.len() < 8 {
        world.heartbeat(&mut worker).expect("a response");
        assert!(world.now.since(begun) < Duration::from_secs(1), "before the members give up");
    }
    let runs: Vec<u32> = worker.running.values().map(|run| run.0).collect();
    assert_eq!(runs, [1; 8]);
}

#[test]
fn a_budget_is_refilled_up_to_its_burst() {
    struct Case {
        name: &'static str,
        /// Bytes that are sent, and the time in milliseconds before.
        sent: &'static [(u64, usize)],
        spent: bool,
    }
    let cases = [
        Case { name: "full", sent: &[], spent: false },
        Case { name: "the burst", sent: &[(0, 100)], spent: true },
        Case { name: "less than the burst", sent: &[(0, 99)], spent: false },
        Case { name: "a debt that isn't paid off", sent: &[(0, 300), (200, 0)], spent: true },
        Case { name: "a debt that is paid off", sent: &[(0, 300), (201, 0)], spent: false },
        Case { name: "no more than the burst", sent: &[(60_000, 100)], spent: true },
        Case { name: "many short refills", sent: &[(0, 100), (1, 0), (1, 0)], spent: false },
    ];
    for case in cases {
        let mut now = Time::from_millis(1);
        let mut budget = SendBudget::new(1000, now);
        for (wait, bytes) in case.sent {
            now = now + Duration::from_millis(*wait);
            budget.refill(now);
            budget.spend(*bytes);
        }
        assert_eq!(budget.is_spent(), case.spent, "{}", case.name);
    }
}

#[test]
fn a_window_follows_what_arrives() {
    const MAX: usize = 1 << 20;
    struct Case {
        name: &'static str,
        outcomes: &'static [bool],
        want: usize,
    }
    let cases = [
        Case { name: "new", outcomes: &[], want: MAX },
        Case { name: "arrived", outcomes: &[true, true], want: MAX },
        Case { name: "lost", outcomes: &[false], want: MAX / 2 },
        Case { name: "lost twice", outcomes: &[false, false], want: MAX / 4 },
        Case { name: "lost and arrived", outcomes: &[false, false, true], want: MAX / 2 },
        Case { name: "lost often", outcomes: &[false; 20], want: 64 << 10 },
        Case { name: "recovered", outcomes: &[false, true, true, true], want: MAX },
    ];
    for case in cases {
        let mut window = DeliveryWindow::default();
        for arrived in case.outcomes {
            window.record_sent();
            window.record_outcome(*arrived, MAX);
            // Heartbeats without starts in the response before say nothing.
            window.record_outcome(false, MAX);
        }
        assert_eq!(window.bytes(MAX), case.want, "{}", case.name);
    }
}
