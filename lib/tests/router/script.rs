//! Random event scripts for one router, and traces of their execution.

use std::{fmt, time::Duration};

use bytes::Bytes;
use hickorylink_lib::{
    command::ClaimResult,
    ids::RequestId,
    router::port::{AttemptEnd, AttemptId, ClaimAnswer, Effect, Event, Request, Response},
    time::Time,
};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult, Testable};

use crate::harness::{CENTRE, CUSTOMERS, Harness, address, config, request, target};

/// The number of targets in a script.
const TARGETS: u8 = 4;

/// The number of scripts for which a property is checked.
const SCRIPTS: u64 = 400;

/// The maximum length of a script.
const SCRIPT_SIZE: usize = 120;

/// The number of responses after which requests are hedged.
const HEDGE_AFTER: u64 = 3;

/// The maximum timeout of a request, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 4_000;

/// An operation of a script. A `pick` selects one of the pending items, modulo their number; times
/// are in milliseconds.
#[derive(Clone, Debug)]
pub(crate) enum Op {
    Ask { customer: u8, idempotent: bool, timeout: u64 },
    Claim { pick: u8, answer: u8 },
    Record { pick: u8 },
    End { pick: u8, end: u8 },
    Repeat { pick: u8 },
    Progress { pick: u8 },
    CallerGone { pick: u8 },
    Announce { target: u8, leaving: bool },
    Gone { target: u8 },
    Pass { millis: u64 },
    Drain,
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let pick = u8::arbitrary(g);
        let target = pick % TARGETS;
        match u8::arbitrary(g) % 40 {
            0..12 => Self::Ask {
                customer: pick,
                idempotent: bool::arbitrary(g),
                timeout: u64::arbitrary(g) % MAX_TIMEOUT_MS,
            },
            12..17 => Self::Claim { pick, answer: u8::arbitrary(g) },
            17..20 => Self::Record { pick },
            20..29 => Self::End { pick, end: u8::arbitrary(g) },
            29 => Self::Repeat { pick },
            30 => Self::Progress { pick },
            31 => Self::CallerGone { pick },
            32 => Self::Announce { target, leaving: true },
            33 => Self::Announce { target, leaving: false },
            34 => Self::Gone { target },
            35 if pick < 16 => Self::Drain,
            35..39 => Self::Pass { millis: u64::arbitrary(g) % 200 },
            _ => Self::Pass { millis: u64::arbitrary(g) % 5_000 },
        }
    }
}

/// An event delivered to the router or an effect emitted by it.
#[derive(Clone, Debug)]
pub(crate) enum TraceEntry {
    Event(Event),
    Effect(Effect),
}

/// Runs a script and keeps the pending claims, records and attempts.
#[derive(Clone)]
pub(crate) struct Player {
    pub(crate) harness: Harness,
    pub(crate) trace: Vec<(Time, TraceEntry)>,
    pub(crate) asked: Vec<Request>,
    claims: Vec<RequestId>,
    records: Vec<RequestId>,
    attempts: Vec<AttemptId>,
    ended: Vec<AttemptId>,
}

impl Player {
    pub(crate) fn new() -> Self {
        let mut settings = config();
        settings.hedge_after = HEDGE_AFTER;
        Self {
            harness: Harness::with(settings, usize::from(TARGETS) - 1),
            trace: Vec::new(),
            asked: Vec::new(),
            claims: Vec::new(),
            records: Vec::new(),
            attempts: Vec::new(),
            ended: Vec::new(),
        }
    }

    /// Runs a script, then completes all pending operations.
    pub(crate) fn play(ops: &[Op]) -> Self {
        let mut player = Self::new();
        player.play_on(ops);
        player.finish();
        player
    }

    pub(crate) fn play_on(&mut self, ops: &[Op]) {
        for op in ops {
            self.op(op);
        }
    }

    /// Advances the time past all deadlines and completes pending claims and records.
    pub(crate) fn finish(&mut self) {
        for _ in 0..20 {
            self.pass(1_000);
            for request in std::mem::take(&mut self.claims) {
                self.event(Event::ClaimAnswered { request, answer: ClaimAnswer::Claimed });
            }
            for request in std::mem::take(&mut self.records) {
                self.event(Event::Recorded { request });
            }
        }
    }

    pub(crate) fn op(&mut self, op: &Op) {
        match op {
            Op::Ask { customer, idempotent, timeout } => self.ask(*customer, *idempotent, *timeout),
            Op::Claim { pick, answer } => self.claim(*pick, *answer),
            Op::Record { pick } => {
                if let Some(request) = take(&mut self.records, *pick) {
                    self.event(Event::Recorded { request });
                }
            }
            Op::End { pick, end } => {
                if let Some(attempt) = take(&mut self.attempts, *pick) {
                    self.ended.push(attempt);
                    self.event(Event::AttemptEnded { attempt, end: ending(attempt, *end) });
                }
            }
            Op::Repeat { pick } => {
                if let Some(attempt) = peek(&self.ended, *pick) {
                    let body = Bytes::from_static(b"a second answer");
                    let end = AttemptEnd::Answered(Response { status: 200, body });
                    self.event(Event::AttemptEnded { attempt, end });
                }
            }
            Op::Progress { pick } => {
                if let Some(attempt) = peek(&self.attempts, *pick) {
                    self.event(Event::Progress { attempt });
                }
            }
            Op::CallerGone { pick } => {
                if let Some(request) = peek(&self.asked, *pick) {
                    self.event(Event::CallerGone { request: request.request });
                }
            }
            Op::Announce { target: at, leaving } => {
                let mut info = target(&address(usize::from(*at)), CENTRE);
                info.leaving = *leaving;
                self.event(Event::Target(Box::new(info)));
            }
            Op::Gone { target } => {
                self.event(Event::TargetGone { address: address(usize::from(*target)) });
            }
            Op::Pass { millis } => self.pass(*millis),
            Op::Drain => self.event(Event::Drain),
        }
    }

    fn ask(&mut self, customer: u8, idempotent: bool, timeout: u64) {
        let id = self.asked.len() as u64 + 1;
        let deadline = self.harness.now + Duration::from_millis(timeout);
        let customer = &CUSTOMERS[usize::from(customer) % CUSTOMERS.len()];
        let request = request(id, customer.name, idempotent, deadline);
        self.asked.push(request.clone());
        self.event(Event::Request(Box::new(request)));
    }

    fn claim(&mut self, pick: u8, answer: u8) {
        let Some(request) = take(&mut self.claims, pick) else { return };
        let answer = match answer % 8 {
            0 => ClaimAnswer::AlreadyClaimed(None),
            1 => ClaimAnswer::AlreadyClaimed(Some(ClaimResult::Unknown)),
            2 => ClaimAnswer::KeyReused,
            3 => {
                self.claims.push(request);
                ClaimAnswer::Unavailable
            }
            _ => ClaimAnswer::Claimed,
        };
        self.event(Event::ClaimAnswered { request, answer });
    }

    fn pass(&mut self, millis: u64) {
        let end = self.harness.now + Duration::from_millis(millis);
        while let Some(at) = self.harness.router.next_deadline().filter(|at| *at <= end) {
            self.harness.now = self.harness.now.max(at);
            self.event(Event::Timer);
        }
        self.harness.now = end;
    }

    pub(crate) fn event(&mut self, event: Event) {
        self.trace.push((self.harness.now, TraceEntry::Event(event.clone())));
        let seen = self.harness.effects.len();
        self.harness.handle(event);
        let made = self.harness.effects[seen..].to_vec();
        for effect in made {
            self.track(&effect);
            self.trace.push((self.harness.now, TraceEntry::Effect(effect)));
        }
    }

    fn track(&mut self, effect: &Effect) {
        match effect {
            Effect::Claim(claim) => self.claims.push(RequestId(claim.request)),
            Effect::Record { request, .. } => self.records.push(*request),
            Effect::Send { attempt, .. } => self.attempts.push(*attempt),
            Effect::Abandon { .. }
            | Effect::CloseIdle { .. }
            | Effect::Answer { .. }
            | Effect::Drained => {}
        }
    }
}

/// The body of the response to an attempt.
pub(crate) fn body_of(attempt: AttemptId) -> Bytes {
    Bytes::from(format!("answer to {}.{}", attempt.request, attempt.number))
}

fn ending(attempt: AttemptId, end: u8) -> AttemptEnd {
    let reason = "a fault".to_owned();
    match end % 8 {
        0 => AttemptEnd::Refused,
        1 => AttemptEnd::NotSent { reason },
        2 | 3 => AttemptEnd::Lost { reason },
        4 => AttemptEnd::Answered(Response { status: 503, body: body_of(attempt) }),
        _ => AttemptEnd::Answered(Response { status: 200, body: body_of(attempt) }),
    }
}

fn take<T>(list: &mut Vec<T>, pick: u8) -> Option<T> {
    (!list.is_empty()).then(|| list.swap_remove(usize::from(pick) % list.len()))
}

fn peek<T: Clone>(list: &[T], pick: u8) -> Option<T> {
    (!list.is_empty()).then(|| list[usize::from(pick) % list.len()].clone())
}

/// The result of checking a property, with a description of the violation.
pub(crate) type Verdict = Result<(), String>;

struct Property<A> {
    property: fn(Vec<A>) -> Verdict,
}

impl<A: Arbitrary + fmt::Debug> Testable for Property<A> {
    fn result(&self, g: &mut Gen) -> TestResult {
        let mut script = Vec::<A>::arbitrary(g);
        let Err(mut finding) = (self.property)(script.clone()) else { return TestResult::passed() };
        while let Some((smaller, found)) = self.smaller(&script) {
            (script, finding) = (smaller, found);
        }
        TestResult::error(format!("{finding}\nscript: {script:#?}"))
    }
}

impl<A: Arbitrary> Property<A> {
    /// Returns a smaller script that also fails.
    fn smaller(&self, script: &Vec<A>) -> Option<(Vec<A>, String)> {
        script.shrink().find_map(|smaller| {
            let found = (self.property)(smaller.clone()).err()?;
            Some((smaller, found))
        })
    }
}

/// Checks a property over random scripts. The seed is printed on failure.
pub(crate) fn check<A: Arbitrary + fmt::Debug>(seed: u64, property: fn(Vec<A>) -> Verdict) {
    let result = QuickCheck::new()
        .rng(Gen::from_size_and_seed(SCRIPT_SIZE, seed))
        .tests(SCRIPTS)
        .quicktest(Property { property });
    if let Err(failure) = result {
        panic!("seed {seed}: {failure:?}");
    }
}
