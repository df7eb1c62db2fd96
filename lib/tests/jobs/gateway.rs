//! A gateway's replies when controllers don't answer.

use std::{net::SocketAddr, time::Duration};

use hickorylink_lib::{
    jobs::{
        call::{Action, Call, Reply},
        gateway::{Effect, Event, Gateway},
        link::{ControllerStatus, LinkMessage},
        model::JobSpec,
    },
    time::Time,
};

use crate::world::{address, step};

fn status(leads: bool, leader: Option<SocketAddr>) -> LinkMessage {
    let controllers = vec![address("10.0.0.1:7000"), address("10.0.0.2:7000")];
    LinkMessage::Status(ControllerStatus { leads, configured: true, leader, controllers })
}

fn submit() -> Call {
    let spec = JobSpec { text: "".into(), steps: vec![step(1)], schedule: None };
    Call { host: "h".into(), path: "/p".into(), action: Action::Submit(spec) }
}

fn show() -> Call {
    Call { action: Action::Show, ..submit() }
}

/// An event around a call.
#[derive(Clone, Copy)]
enum Step {
    Advance(u64),
    /// The process is suspended for this many milliseconds.
    Suspend(u64),
    LeaderFound,
    SecondLeaderFound,
    Disconnected,
    Answer(fn(u64) -> LinkMessage),
}

#[test]
fn not_run_is_replied_only_if_the_call_had_no_effect() {
    use Step::{Advance, Answer, Disconnected, LeaderFound, SecondLeaderFound};
    struct Case {
        name: &'static str,
        call: fn() -> Call,
        before: &'static [Step],
        after: &'static [Step],
        want: Reply,
    }
    let cases = [
        Case {
            name: "no leader",
            call: submit,
            before: &[],
            after: &[Advance(500)],
            want: Reply::NotRun,
        },
        Case {
            name: "the leader answers",
            call: submit,
            before: &[LeaderFound],
            after: &[Answer(|number| LinkMessage::Answer { number, reply: Reply::Accepted })],
            want: Reply::Accepted,
        },
        Case {
            name: "the leader does not answer",
            call: submit,
            before: &[LeaderFound],
            after: &[Advance(3000)],
            want: Reply::Unknown,
        },
        Case {
            name: "the call is a read",
            call: show,
            before: &[LeaderFound],
            after: &[Advance(3000)],
            want: Reply::NotRun,
        },
        Case {
            name: "the connection is closed",
            call: submit,
            before: &[LeaderFound],
            after: &[Disconnected, Advance(3000)],
            want: Reply::Unknown,
        },
        Case {
            name: "the controller no longer leads when the call arrives",
            call: submit,
            before: &[LeaderFound],
            after: &[Answer(|number| LinkMessage::Redirect { number, leader: None }), Advance(500)],
            want: Reply::NotRun,
        },
        Case {
            name: "the leader steps down before the call is committed",
            call: submit,
            before: &[LeaderFound],
            after: &[
                Answer(|number| LinkMessage::Answer { number, reply: Reply::Unknown }),
                Advance(3000),
            ],
            want: Reply::Unknown,
        },
        // Guards against a refusal by the next leader that hides what the first one may have run.
        Case {
            name: "the next leader refuses what the first one may have run",
            call: submit,
            before: &[LeaderFound],
            after: &[
                Disconnected,
                Advance(100),
                SecondLeaderFound,
                Answer(|number| LinkMessage::Answer { number, reply: Reply::NotRun }),
            ],
            want: Reply::Unknown,
        },
        Case {
            name: "the leader refuses the call",
            call: submit,
            before: &[LeaderFound],
            after: &[Answer(|number| LinkMessage::Answer { number, reply: Reply::NotRun })],
            want: Reply::NotRun,
        },
        Case {
            name: "the next leader answers",
            call: submit,
            before: &[LeaderFound],
            after: &[
                Disconnected,
                Advance(100),
                SecondLeaderFound,
                Answer(|number| LinkMessage::Answer { number, reply: Reply::Accepted }),
            ],
            want: Reply::Accepted,
        },
    ];
    for case in cases {
        let mut harness = Harness::new();
        for step in case.before {
            harness.step(*step);
        }
        harness.call((case.call)());
        for step in case.after {
            harness.step(*step);
        }
        assert_eq!(harness.replies, [(1, case.want)], "{}", case.name);
    }
}

// Guards against an accepted submission whose caller is told "unknown" because the call was given
// only the rest of the short wait for a leader.
#[test]
fn a_call_sent_to_a_leader_found_late_gets_the_time_of_a_sent_call() {
    use Step::{Advance, Answer, LeaderFound, SecondLeaderFound};
    const ACCEPT: Step = Answer(|number| LinkMessage::Answer { number, reply: Reply::Accepted });
    const REDIRECT: Step = Answer(|number| LinkMessage::Redirect { number, leader: None });
    struct Case {
        name: &'static str,
        before: &'static [Step],
        after: &'static [Step],
        want: Reply,
    }
    let cases = [
        Case {
            name: "the first leader takes 300 ms",
            before: &[],
            after: &[Advance(300), LeaderFound, Advance(300), ACCEPT],
            want: Reply::Accepted,
        },
        Case {
            name: "the next leader takes 300 ms",
            before: &[LeaderFound],
            after: &[REDIRECT, Advance(300), SecondLeaderFound, Advance(300), ACCEPT],
            want: Reply::Accepted,
        },
        Case {
            name: "the first leader does not answer in time",
            before: &[],
            after: &[Advance(300), LeaderFound, Advance(1000), LeaderFound, Advance(1200), ACCEPT],
            want: Reply::Unknown,
        },
        Case {
            name: "the first leader no longer leads",
            before: &[],
            after: &[Advance(300), LeaderFound, REDIRECT, Advance(500)],
            want: Reply::NotRun,
        },
    ];
    for case in cases {
        let mut harness = Harness::new();
        case.before.iter().for_each(|step| harness.step(*step));
        harness.call(submit());
        case.after.iter().for_each(|step| harness.step(*step));
        assert_eq!(harness.replies, [(1, case.want)], "{}", case.name);
    }
}

// Guards against calls that run although their callers have given up: the gateway was suspended before it sent
// them, and sent them to the leader that it found afterwards.
#[test]
fn a_call_is_not_sent_after_its_caller_has_given_up() {
    use Step::{Advance, Disconnected, LeaderFound, SecondLeaderFound, Suspend};
    struct Case {
        name: &'static str,
        /// What happens before the call, and between it and the next leader.
        steps: [&'static [Step]; 2],
        want: Option<Reply>,
    }
    let cases = [
        Case {
            name: "suspended before it was sent",
            steps: [&[], &[Suspend(5000)]],
            want: Some(Reply::NotRun),
        },
        Case {
            name: "suspended while no leader was known",
            steps: [&[LeaderFound, Disconnected], &[Advance(50), Suspend(2600)]],
            want: Some(Reply::NotRun),
        },
        Case {
            name: "suspended after it was sent",
            steps: [&[LeaderFound], &[Disconnected, Suspend(5000)]],
            want: Some(Reply::Unknown),
        },
        Case { name: "suspended for a short time", steps: [&[], &[Suspend(1000)]], want: None },
    ];
    for case in cases {
        let mut harness = Harness::new();
        case.steps[0].iter().for_each(|step| harness.step(*step));
        harness.call(submit());
        case.steps[1].iter().for_each(|step| harness.step(*step));
        harness.forwarded = None;
        harness.step(SecondLeaderFound);
        assert_eq!(harness.forwarded.is_some(), case.want.is_none(), "{}", case.name);
        let want: Vec<_> = case.want.into_iter().map(|reply| (1, reply)).collect();
        assert_eq!(harness.replies, want, "{}", case.name);
    }
}

#[test]
fn a_gateway_is_ready_only_while_a_leader_is_known() {
    let mut harness = Harness::new();
    harness.step(Step::LeaderFound);
    assert_eq!(harness.ready, Some(true));
    harness.step(Step::Advance(1500));
    assert_eq!(harness.ready, Some(false), "the leader timed out");
}

struct Harness {
    gateway: Gateway,
    now: Time,
    replies: Vec<(u64, Reply)>,
    forwarded: Option<u64>,
    ready: Option<bool>,
}

impl Harness {
    fn new() -> Self {
        let now = Time::from_millis(1);
        let gateway = Gateway::new(vec![address("10.0.0.1:7000")], now);
        Self { gateway, now, replies: Vec::new(), forwarded: None, ready: None }
    }

    fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.gateway.handle(self.now, event, &mut out);
        for effect in out {
            match effect {
                Effect::Reply { ticket, reply } => self.replies.push((ticket, reply)),
                Effect::Send { message: LinkMessage::Forward { number, .. }, .. } => {
                    self.forwarded = Some(number);
                }
                Effect::Ready(ready) => self.ready = Some(ready),
                Effect::Send { .. } | Effect::Close(_) | Effect::LogEvent(_) => {}
            }
        }
    }

    /// A call whose caller waits for 3 s.
    fn call(&mut self, call: Call) {
        let deadline = self.now + Duration::from_secs(3);
        self.handle(Event::Call { ticket: 1, call, deadline });
    }

    fn step(&mut self, step: Step) {
        let from = address("10.0.0.1:7000");
        match step {
            Step::Advance(millis) => {
                let end = self.now + Duration::from_millis(millis);
                while self.now < end {
                    self.now = self.now + Duration::from_millis(10);
                    self.handle(Event::Timer);
                }
            }
            Step::Suspend(millis) => self.now = self.now + Duration::from_millis(millis),
            Step::LeaderFound => self.handle(Event::Received { from, message: status(true, None) }),
            Step::SecondLeaderFound => {
                let from = address("10.0.0.2:7000");
                self.handle(Event::Received { from, message: status(true, None) });
            }
            Step::Disconnected => self.handle(Event::Disconnected(from)),
            Step::Answer(message) => {
                let message = message(self.forwarded.expect("the call was forwarded"));
                self.handle(Event::Received { from, message });
            }
        }
    }
}

/// What a gateway learns of controllers.
enum Learnt {
    /// The settings name these.
    Seeds(&'static [u8]),
    /// A controller names these; the flag says whether it leads.
    Status(u8, bool, &'static [u8]),
    /// The leader is silent for 2 s.
    LeaderLost,
}

// Guards against gateways that ask only controllers that are gone.
#[test]
fn a_gateway_asks_the_controllers_that_are_there_now() {
    use Learnt::{LeaderLost, Seeds, Status};
    struct Case {
        name: &'static str,
        learnt: &'static [Learnt],
        /// The controllers that it asks for the leader.
        asked: &'static [u8],
    }
    let cases = [
        Case { name: "at the start", learnt: &[], asked: &[1, 2] },
        Case { name: "new seeds", learnt: &[Seeds(&[3, 4])], asked: &[3, 4] },
        Case {
            name: "a follower names others",
            learnt: &[Status(1, false, &[5])],
            asked: &[1, 2, 5],
        },
        Case {
            name: "a leader's list replaces earlier ones",
            learnt: &[
                Status(1, true, &[1, 5]),
                LeaderLost,
                Seeds(&[3]),
                Status(5, true, &[6]),
                LeaderLost,
            ],
            asked: &[3, 5, 6],
        },
    ];
    let peer = |host: &u8| address(&format!("10.0.0.{host}:7000"));
    let peers = |hosts: &[u8]| hosts.iter().map(peer).collect::<Vec<_>>();
    for case in cases {
        let mut now = Time::from_millis(1);
        let (mut gateway, mut out) = (Gateway::new(peers(&[1, 2]), now), Vec::new());
        for learnt in case.learnt {
            let event = match learnt {
                Seeds(seeds) => Event::Seeds(peers(seeds)),
                Status(from, leads, controllers) => {
                    let (configured, controllers) = (true, peers(controllers));
                    let (leads, leader) = (*leads, None);
                    let status = ControllerStatus { leads, configured, leader, controllers };
                    Event::Received { from: peer(from), message: LinkMessage::Status(status) }
                }
                LeaderLost => {
                    now = now + Duration::from_secs(2);
                    Event::Timer
                }
            };
            gateway.handle(now, event, &mut out);
        }
        now = now + Duration::from_secs(1);
        out.clear();
        gateway.handle(now, Event::Timer, &mut out);
        let asked = out.iter().filter_map(|effect| match effect {
            Effect::Send { to, message: LinkMessage::Probe } => Some(*to),
            Effect::Send { .. }
            | Effect::Close(_)
            | Effect::Reply { .. }
            | Effect::Ready(_)
            | Effect::LogEvent(_) => None,
        });
        assert_eq!(asked.collect::<Vec<_>>(), peers(case.asked), "{}", case.name);
    }
}

/// Guards against callers that leave while their calls are pending, so that the bytes of more and more
/// calls are kept.
#[test]
fn the_bytes_of_pending_calls_are_bounded() {
    let now = Time::from_millis(1);
    let seeds = vec![address("10.0.0.1:7000")];
    let size = submit().memory_bytes();
    let mut gateway = Gateway::new(seeds, now).with_max_bytes(3 * size);
    let mut out = Vec::new();
    let timeout = Duration::from_secs(3);
    for ticket in 1..=5 {
        let deadline = now + timeout;
        gateway.handle(now, Event::Call { ticket, call: submit(), deadline }, &mut out);
    }
    assert_eq!((gateway.waiting(), gateway.pending_bytes()), (3, 3 * size));
    let refused = [4, 5].map(|ticket| Effect::Reply { ticket, reply: Reply::NotRun });
    let replies = out.iter().filter(|effect| matches!(effect, Effect::Reply { .. }));
    assert!(replies.eq(&refused), "{out:?}");
    gateway.handle(now + Duration::from_secs(3), Event::Timer, &mut out);
    assert_eq!((gateway.waiting(), gateway.pending_bytes()), (0, 0), "all have timed out");
    let wide = JobSpec { text: "x".repeat(4000).into(), steps: vec![step(1)], schedule: None };
    let call = Call { action: Action::Submit(wide), ..submit() };
    assert!(call.memory_bytes() > 3 * size);
    let (now, deadline) = (now + timeout, now + timeout + timeout);
    gateway.handle(now, Event::Call { ticket: 6, call, deadline }, &mut out);
    assert_eq!(gateway.waiting(), 1, "a single call is always taken");
}
