//! What a gateway tells its callers when controllers don't answer.

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

fn standing(leads: bool, leader: Option<SocketAddr>) -> LinkMessage {
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

/// What happens to a call after it was made.
#[derive(Clone, Copy)]
enum Step {
    Pass(u64),
    Found,
    Found2,
    Disconnected,
    Answer(fn(u64) -> LinkMessage),
}

#[test]
fn not_run_is_said_only_when_it_is_true() {
    use Step::{Answer, Disconnected, Found, Found2, Pass};
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
            after: &[Pass(500)],
            want: Reply::NotRun,
        },
        Case {
            name: "the leader answers",
            call: submit,
            before: &[Found],
            after: &[Answer(|number| LinkMessage::Answer { number, reply: Reply::Accepted })],
            want: Reply::Accepted,
        },
        Case {
            name: "the leader is silent",
            call: submit,
            before: &[Found],
            after: &[Pass(3000)],
            want: Reply::Unknown,
        },
        Case {
            name: "a read has no effect",
            call: show,
            before: &[Found],
            after: &[Pass(3000)],
            want: Reply::NotRun,
        },
        Case {
            name: "the connection ends",
            call: submit,
            before: &[Found],
            after: &[Disconnected, Pass(3000)],
            want: Reply::Unknown,
        },
        Case {
            name: "the leader has stepped down before it took the call",
            call: submit,
            before: &[Found],
            after: &[Answer(|number| LinkMessage::Redirect { number, leader: None }), Pass(500)],
            want: Reply::NotRun,
        },
        Case {
            name: "the leader lost its term with the call under way",
            call: submit,
            before: &[Found],
            after: &[
                Answer(|number| LinkMessage::Answer { number, reply: Reply::Unknown }),
                Pass(3000),
            ],
            want: Reply::Unknown,
        },
        Case {
            name: "the next leader knows",
            call: submit,
            before: &[Found],
            after: &[
                Disconnected,
                Pass(100),
                Found2,
                Answer(|number| LinkMessage::Answer { number, reply: Reply::Accepted }),
            ],
            want: Reply::Accepted,
        },
    ];
    for case in cases {
        let mut world = World::new();
        for step in case.before {
            world.step(*step);
        }
        world.handle(Event::Call {
            ticket: 1,
            call: (case.call)(),
            timeout: Duration::from_secs(3),
        });
        for step in case.after {
            world.step(*step);
        }
        assert_eq!(world.replies, [(1, case.want)], "{}", case.name);
    }
}

#[test]
fn callers_are_sent_here_only_while_a_leader_is_known() {
    let mut world = World::new();
    world.step(Step::Found);
    assert_eq!(world.ready, Some(true));
    world.step(Step::Pass(1500));
    assert_eq!(world.ready, Some(false), "the leader is silent");
}

struct World {
    gateway: Gateway,
    now: Time,
    replies: Vec<(u64, Reply)>,
    asked: Option<u64>,
    ready: Option<bool>,
}

impl World {
    fn new() -> Self {
        let now = Time::from_millis(1);
        let gateway = Gateway::new(vec![address("10.0.0.1:7000")], now);
        Self { gateway, now, replies: Vec::new(), asked: None, ready: None }
    }

    fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.gateway.handle(self.now, event, &mut out);
        for effect in out {
            match effect {
                Effect::Reply { ticket, reply } => self.replies.push((ticket, reply)),
                Effect::Send { message: LinkMessage::Forward { number, .. }, .. } => {
                    self.asked = Some(number);
                }
                Effect::Ready(ready) => self.ready = Some(ready),
                Effect::Send { .. } | Effect::Close(_) | Effect::LogEvent(_) => {}
            }
        }
    }

    fn step(&mut self, step: Step) {
        let from = address("10.0.0.1:7000");
        match step {
            Step::Pass(millis) => {
                let end = self.now + Duration::from_millis(millis);
                while self.now < end {
                    self.now = self.now + Duration::from_millis(10);
                    self.handle(Event::Timer);
                }
            }
            Step::Found => self.handle(Event::Received { from, message: standing(true, None) }),
            Step::Found2 => {
                let from = address("10.0.0.2:7000");
                self.handle(Event::Received { from, message: standing(true, None) });
            }
            Step::Disconnected => self.handle(Event::Disconnected(from)),
            Step::Answer(message) => {
                let message = message(self.asked.expect("the call was passed on"));
                self.handle(Event::Received { from, message });
            }
        }
    }
}
