//! Random scripts of events for one router, and what was seen while they were played.

use std::{fmt, time::Duration};

use bytes::Bytes;
use hickorylink_lib::{
    command::ClaimResult,
    ids::RequestId,
    router::port::{ClaimAnswer, Effect, Event, Request, Response, TryEnd, TryId},
    time::Time,
};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult, Testable};

use crate::world::{BUYERS, CENTRE, World, address, config, request, target};

/// Targets in a script.
const TARGETS: u8 = 4;

/// Scripts that a property is checked with.
const SCRIPTS: u64 = 400;

/// The longest script.
const SCRIPT_SIZE: usize = 120;

/// Answers after which requests in a script are hedged.
const EAGER: u64 = 3;

/// The longest patience of a caller, in milliseconds.
const PATIENCE: u64 = 4_000;

#[derive(Clone, Debug)]
pub(crate) enum Op {
    Ask { buyer: u8, idempotent: bool, patience: u64 },
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
                buyer: pick,
                idempotent: bool::arbitrary(g),
                patience: u64::arbitrary(g) % PATIENCE,
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

/// An event that the router was given, or an effect that it asked for.
#[derive(Clone, Debug)]
pub(crate) enum Seen {
    Event(Event),
    Effect(Effect),
}

/// Plays a script and keeps what is outstanding outside the router.
#[derive(Clone)]
pub(crate) struct Player {
    pub(crate) world: World,
    pub(crate) trace: Vec<(Time, Seen)>,
    pub(crate) asked: Vec<Request>,
    claims: Vec<RequestId>,
    records: Vec<RequestId>,
    tries: Vec<TryId>,
    ended: Vec<TryId>,
}

impl Player {
    pub(crate) fn new() -> Self {
        let mut eager = config();
        eager.hedge_after = EAGER;
        Self {
            world: World::with(eager, usize::from(TARGETS) - 1),
            trace: Vec::new(),
            asked: Vec::new(),
            claims: Vec::new(),
            records: Vec::new(),
            tries: Vec::new(),
            ended: Vec::new(),
        }
    }

    /// Plays the whole script, then answers what is outstanding until nothing is left.
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

    /// Lets every deadline pass while the council answers.
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
            Op::Ask { buyer, idempotent, patience } => self.ask(*buyer, *idempotent, *patience),
            Op::Claim { pick, answer } => self.claim(*pick, *answer),
            Op::Record { pick } => {
                if let Some(request) = take(&mut self.records, *pick) {
                    self.event(Event::Recorded { request });
                }
            }
            Op::End { pick, end } => {
                if let Some(attempt) = take(&mut self.tries, *pick) {
                    self.ended.push(attempt);
                    self.event(Event::TryEnded { attempt, end: ending(attempt, *end) });
                }
            }
            Op::Repeat { pick } => {
                if let Some(attempt) = peek(&self.ended, *pick) {
                    let body = Bytes::from_static(b"a second answer");
                    let end = TryEnd::Answered(Response { status: 200, body });
                    self.event(Event::TryEnded { attempt, end });
                }
            }
            Op::Progress { pick } => {
                if let Some(attempt) = peek(&self.tries, *pick) {
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

    fn ask(&mut self, buyer: u8, idempotent: bool, patience: u64) {
        let id = self.asked.len() as u64 + 1;
        let deadline = self.world.now + Duration::from_millis(patience);
        let buyer = &BUYERS[usize::from(buyer) % BUYERS.len()];
        let request = request(id, buyer.name, idempotent, deadline);
        self.asked.push(request.clone());
        self.event(Event::Request(Box::new(request)));
    }

    fn claim(&mut self, pick: u8, answer: u8) {
        let Some(request) = take(&mut self.claims, pick) else { return };
        let answer = match answer % 8 {
            0 => ClaimAnswer::Earlier(None),
            1 => ClaimAnswer::Earlier(Some(ClaimResult::Unknown)),
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
        let end = self.world.now + Duration::from_millis(millis);
        while let Some(at) = self.world.router.next_deadline().filter(|at| *at <= end) {
            self.world.now = self.world.now.max(at);
            self.event(Event::Timer);
        }
        self.world.now = end;
    }

    pub(crate) fn event(&mut self, event: Event) {
        self.trace.push((self.world.now, Seen::Event(event.clone())));
        let seen = self.world.effects.len();
        self.world.handle(event);
        let made = self.world.effects[seen..].to_vec();
        for effect in made {
            self.note(&effect);
            self.trace.push((self.world.now, Seen::Effect(effect)));
        }
    }

    fn note(&mut self, effect: &Effect) {
        match effect {
            Effect::Claim(claim) => self.claims.push(RequestId(claim.request)),
            Effect::Record { request, .. } => self.records.push(*request),
            Effect::Send { attempt, .. } => self.tries.push(*attempt),
            Effect::Abandon { .. }
            | Effect::CloseIdle { .. }
            | Effect::Answer { .. }
            | Effect::Drained => {}
        }
    }
}

/// The body of the answer to a try.
pub(crate) fn body_of(attempt: TryId) -> Bytes {
    Bytes::from(format!("answer to {}.{}", attempt.request, attempt.number))
}

fn ending(attempt: TryId, end: u8) -> TryEnd {
    let reason = "a fault".to_owned();
    match end % 8 {
        0 => TryEnd::Refused,
        1 => TryEnd::NotSent { reason },
        2 | 3 => TryEnd::Lost { reason },
        4 => TryEnd::Answered(Response { status: 503, body: body_of(attempt) }),
        _ => TryEnd::Answered(Response { status: 200, body: body_of(attempt) }),
    }
}

fn take<T>(list: &mut Vec<T>, pick: u8) -> Option<T> {
    (!list.is_empty()).then(|| list.swap_remove(usize::from(pick) % list.len()))
}

fn peek<T: Clone>(list: &[T], pick: u8) -> Option<T> {
    (!list.is_empty()).then(|| list[usize::from(pick) % list.len()].clone())
}

/// What a property found wrong, if anything.
pub(crate) type Verdict = Result<(), String>;

struct Property<A> {
    judge: fn(Vec<A>) -> Verdict,
}

impl<A: Arbitrary + fmt::Debug> Testable for Property<A> {
    fn result(&self, g: &mut Gen) -> TestResult {
        let mut script = Vec::<A>::arbitrary(g);
        let Err(mut finding) = (self.judge)(script.clone()) else { return TestResult::passed() };
        while let Some((smaller, found)) = self.smaller(&script) {
            (script, finding) = (smaller, found);
        }
        TestResult::error(format!("{finding}\nscript: {script:#?}"))
    }
}

impl<A: Arbitrary> Property<A> {
    /// A smaller script that fails too.
    fn smaller(&self, script: &Vec<A>) -> Option<(Vec<A>, String)> {
        script.shrink().find_map(|smaller| {
            let found = (self.judge)(smaller.clone()).err()?;
            Some((smaller, found))
        })
    }
}

/// Checks a property over random scripts; the seed is fixed and printed with a failure.
pub(crate) fn check<A: Arbitrary + fmt::Debug>(seed: u64, judge: fn(Vec<A>) -> Verdict) {
    let result = QuickCheck::new()
        .rng(Gen::from_size_and_seed(SCRIPT_SIZE, seed))
        .tests(SCRIPTS)
        .quicktest(Property { judge });
    if let Err(failure) = result {
        panic!("seed {seed}: {failure:?}");
    }
}
