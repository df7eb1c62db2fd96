//! The tries that hold a slot: how they end, go silent and are given up.

use crate::{
    ids::RequestId,
    router::{
        Router,
        port::{Effect, NotRun, RequestOutcome, TryEnd, TryId},
        request::RequestEvent,
        steps::Signal,
        target::TargetEvent,
        timers::Alarm,
    },
    time::Time,
};

/// Statuses from this one on are the target's own failures.
const SERVER_ERROR: u16 = 500;

/// One try that holds a slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct Try {
    pub(super) target: usize,
    sent: Time,
    /// When something last came on its connection.
    pub(super) heard: Time,
    fresh: bool,
    /// Silent spans so far.
    pub(super) silences: u32,
    /// When it is next looked at for silence.
    pub(super) check: Time,
    /// When it gives its slot back, if it was abandoned.
    abandoned: Option<Time>,
}

impl Try {
    pub(super) fn new(now: Time, target: usize, fresh: bool, check: Time) -> Self {
        Self { target, sent: now, heard: now, fresh, silences: 0, check, abandoned: None }
    }
}

impl Try {
    /// Whether it is to be looked at for silence now.
    pub(super) fn is_due(&self, now: Time) -> bool {
        self.abandoned.is_none() && self.check <= now
    }

    /// Whether a timer for silence at `at` is its own.
    fn awaits(&self, at: Time) -> bool {
        self.abandoned.is_none() && self.check == at
    }
}

impl Router {
    /// Drops timers for silence whose tries are over.
    pub(super) fn prune_timers(&mut self) {
        let tries = &self.tries;
        self.timers.prune(|at, attempt| tries.get(&attempt).is_some_and(|t| t.awaits(at)));
    }

    /// A try ended; late and repeated ends are counted and dropped.
    pub(super) fn try_ended(
        &mut self,
        now: Time,
        attempt: TryId,
        end: TryEnd,
        effects: &mut Vec<Effect>,
    ) {
        let Some(ended) = self.tries.remove(&attempt) else {
            self.counters.late += 1;
            return;
        };
        let service = self.fleet.target(ended.target).service;
        if let Some(at) = ended.abandoned {
            self.counters.late += 1;
            self.timers.cancel(at, Alarm::Linger(attempt));
        } else {
            self.learn(now, (attempt, ended), &end);
            self.close(attempt);
            let signal = self.signal_of(attempt.request, end);
            self.step(now, attempt.request, signal, effects);
        }
        self.fleet.free_slot(ended.target);
        self.pump(now, service, effects);
    }

    /// Learns about the target from a try that ended by itself.
    fn learn(&mut self, now: Time, (attempt, ended): (TryId, Try), end: &TryEnd) {
        let standing = self.requests.get(&attempt.request).is_some_and(|entry| entry.standing);
        let failed = match end {
            TryEnd::Answered(response) => {
                let target = self.fleet.target_mut(ended.target);
                target.heard = now;
                target.fresh &= !ended.fresh;
                if !standing {
                    let took = now.since(ended.sent);
                    target.average.observe(now, took);
                    let service = target.service;
                    self.fleet.services[service].quantiles.observe(now, took);
                }
                response.status >= SERVER_ERROR
            }
            TryEnd::Refused | TryEnd::NotSent { .. } | TryEnd::Lost { .. } => true,
        };
        let event = match failed {
            true => TargetEvent::Failed,
            false => TargetEvent::Succeeded,
        };
        self.fleet.step(now, ended.target, event, &self.config, &mut self.timers);
    }

    fn signal_of(&mut self, id: RequestId, end: TryEnd) -> Signal {
        let (event, trouble) = match end {
            TryEnd::Answered(response) => {
                return Signal::with(RequestEvent::Answered, RequestOutcome::Ran(response));
            }
            TryEnd::Refused => (RequestEvent::Refused, None),
            TryEnd::NotSent { reason } => (RequestEvent::Refused, Some(reason)),
            TryEnd::Lost { reason } => (RequestEvent::Lost, Some(reason)),
        };
        if let (Some(entry), Some(_)) = (self.requests.get_mut(&id), &trouble) {
            entry.trouble = trouble;
        }
        Signal::because(event, NotRun::TargetsUnavailable)
    }

    /// Takes a try off the open ones of its request.
    fn close(&mut self, attempt: TryId) {
        if let Some(entry) = self.requests.get_mut(&attempt.request) {
            entry.open.remove(attempt.number);
        }
    }

    /// Gives up all open tries of a request; their slots stay taken for a while, since the
    /// targets may still work on them.
    pub(super) fn abandon(&mut self, now: Time, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(entry) = self.requests.get_mut(&id) else { return };
        for number in std::mem::take(&mut entry.open).iter() {
            self.abandon_try(now, TryId { request: id, number }, effects);
        }
    }

    /// A try's connection went silent: it ends as lost, and its slot stays taken for a while.
    pub(super) fn lose_silent(&mut self, now: Time, attempt: TryId, effects: &mut Vec<Effect>) {
        let Some(silent) = self.tries.get(&attempt).copied() else { return };
        let end = TryEnd::Lost { reason: "its connection went silent".to_owned() };
        self.abandon_try(now, attempt, effects);
        self.learn(now, (attempt, silent), &end);
        self.close(attempt);
        let signal = self.signal_of(attempt.request, end);
        self.step(now, attempt.request, signal, effects);
    }

    fn abandon_try(&mut self, now: Time, attempt: TryId, effects: &mut Vec<Effect>) {
        let Some(given_up) = self.tries.get_mut(&attempt) else { return };
        let until = now + self.config.linger;
        given_up.abandoned = Some(until);
        self.timers.set(until, Alarm::Linger(attempt));
        effects.push(Effect::Abandon { attempt });
    }

    /// An abandoned try gives its slot back.
    pub(super) fn lingered(&mut self, now: Time, attempt: TryId, effects: &mut Vec<Effect>) {
        let Some(over) = self.tries.remove(&attempt) else { return };
        let service = self.fleet.target(over.target).service;
        self.fleet.free_slot(over.target);
        self.pump(now, service, effects);
    }

    /// Something came on the connection of a try.
    pub(super) fn progress(&mut self, now: Time, attempt: TryId) {
        let Some(flying) = self.tries.get_mut(&attempt).filter(|t| t.abandoned.is_none()) else {
            self.counters.late += 1;
            return;
        };
        self.fleet.target_mut(flying.target).heard = now;
        flying.heard = now;
        flying.silences = 0;
    }
}
