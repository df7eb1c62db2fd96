//! The tries on one worker, now and a short time ago, and the decisions about them.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    ids::TaskAttempt,
    interference::{
        control::{Facts, Outcome, State, Verdict},
        limits::{
            BETTER_PART, BLAMED_HARM, CERTAIN_HARM, HORIZON, MAX_ENDED, MAX_PENDING, MOVE_SIGMA,
            THROTTLE_SIGMA, harm_weight,
        },
        model::{Exposure, Model, Observation},
        port::Counters,
        stay::{Batch, Pending, Replica, Stay},
    },
    time::Time,
};

/// A slowdown, as its logarithm, that nobody notices.
const NEGLIGIBLE_HARM: f64 = 0.01;

/// The tries on one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Residents {
    /// Those that are there, in the order of their tries.
    stays: Vec<Stay>,
    /// Those that left a short time ago, in the order in which they left.
    ended: VecDeque<Stay>,
    pending: Vec<Pending>,
}

/// How many moves are under way, and how many may be.
#[derive(Clone, Debug)]
pub(crate) struct Moves {
    /// Moves under way.
    pub(crate) running: usize,
    /// Moves that may be under way at once.
    pub(crate) limit: usize,
    /// Workers that are known.
    pub(crate) places: usize,
    /// The least rise of latency that is expected elsewhere, for kinds that may be moved.
    pub(crate) least: BTreeMap<u32, f64>,
}

/// What learning from a worker's samples needs besides the worker.
pub(crate) struct Lesson<'l> {
    /// The estimates.
    pub(crate) model: &'l mut Model,
    /// Where dropped samples are counted.
    pub(crate) counters: &'l mut Counters,
    /// Room to collect exposures in.
    pub(crate) beside: &'l mut Vec<Exposure>,
}

impl Residents {
    /// The try's stay, if it is there.
    pub(crate) fn find(&self, attempt: TaskAttempt) -> Option<&Stay> {
        self.position(attempt).ok().map(|at| &self.stays[at])
    }

    fn position(&self, attempt: TaskAttempt) -> Result<usize, usize> {
        self.stays.binary_search_by_key(&attempt, |stay| stay.attempt)
    }

    /// Begins a stay, unless the try is there already.
    pub(crate) fn begin(&mut self, stay: Stay) {
        if let Err(at) = self.position(stay.attempt) {
            self.stays.insert(at, stay);
        }
    }

    /// Ends the try's stay; gives it if it was there.
    pub(crate) fn end(&mut self, now: Time, attempt: TaskAttempt) -> Option<&Stay> {
        let at = self.position(attempt).ok()?;
        let mut stay = self.stays.remove(at);
        stay.until = Some(now);
        self.ended.push_back(stay);
        self.ended.back()
    }

    /// Takes out a stay that ended too long ago, or that is one too many to remember.
    pub(crate) fn expire(&mut self, now: Time) -> Option<Stay> {
        let oldest = self.ended.front()?;
        let over = oldest.until.is_some_and(|until| now.since(until) > HORIZON);
        if over || self.ended.len() > MAX_ENDED { self.ended.pop_front() } else { None }
    }

    /// Keeps a sample for the next decision; false if there are too many.
    pub(crate) fn push(&mut self, pending: Pending) -> bool {
        let fits = self.pending.len() < MAX_PENDING;
        if fits {
            self.pending.push(pending);
        }
        fits
    }

    /// How many tries are remembered.
    pub(crate) fn len(&self) -> usize {
        self.stays.len() + self.ended.len()
    }

    /// Whether nothing is known of the worker any more.
    pub(crate) fn is_empty(&self) -> bool {
        self.stays.is_empty() && self.ended.is_empty() && self.pending.is_empty()
    }

    /// Whether a decision has nothing to look at.
    pub(crate) fn is_idle(&self) -> bool {
        let calm = |batch: &Batch| batch.control.state() == State::Calm;
        self.pending.is_empty() && self.batches().all(|(_, batch)| calm(batch))
    }

    /// Learns from the samples that wait, in the order of their times.
    pub(crate) fn learn(&mut self, now: Time, lesson: &mut Lesson<'_>) {
        let mut pending = std::mem::take(&mut self.pending);
        pending.sort_unstable();
        for sample in pending.drain(..) {
            self.learn_from(now, &sample, lesson);
        }
        self.pending = pending;
        self.refresh(lesson.model);
    }

    fn learn_from(&mut self, now: Time, sample: &Pending, lesson: &mut Lesson<'_>) {
        if now.since(sample.taken) > HORIZON {
            lesson.counters.old += 1;
            return;
        }
        let Some(latency) = sample.latency else {
            self.learn_use(sample, lesson.counters);
            return;
        };
        lesson.beside.clear();
        if !self.exposures(sample, lesson.beside) {
            lesson.counters.unknown += 1;
            return;
        }
        let Some(replica) = self.replica_at(sample) else {
            lesson.counters.unknown += 1;
            return;
        };
        if !replica.admit(sample) {
            lesson.counters.duplicate += 1;
            return;
        }
        let latency = latency.as_secs_f64().ln();
        let load = replica.load(sample.millicores);
        let mut harm = 0.0;
        if let Some(service) = replica.service {
            let beside = lesson.beside.as_slice();
            lesson.model.learn(&Observation {
                service,
                taken: sample.taken,
                latency,
                load,
                beside,
            });
            harm = lesson.model.harm_of(service, beside);
        }
        replica.observe(sample.taken, latency, harm);
        lesson.counters.counted += 1;
    }

    fn learn_use(&mut self, sample: &Pending, counters: &mut Counters) {
        match self.position(sample.attempt) {
            Ok(at) => {
                if let Some(batch) = self.stays[at].batch_mut() {
                    batch.observe(sample.taken, sample.millicores);
                }
            }
            Err(_) => {
                let gone = self.stay_at(sample.attempt, sample.taken).is_none();
                counters.unknown += u64::from(gone);
            }
        }
    }

    /// Collects what the worker saw beside the replica, each kind once; false if it names a try
    /// that wasn't known to be there.
    ///
    /// The worker's word says who ran, since a placed try may not have started; the stays say
    /// what it was and how far it was throttled.
    fn exposures(&self, sample: &Pending, beside: &mut Vec<Exposure>) -> bool {
        for attempt in &sample.beside {
            let Some(stay) = self.stay_at(*attempt, sample.taken) else { return false };
            let Some(batch) = stay.batch() else { continue };
            let Some(kind) = batch.kind else { continue };
            let amount = batch.amount_at(sample.taken) as f32;
            match beside.iter_mut().find(|known| known.kind == kind) {
                Some(known) => known.amount += amount,
                None => beside.push(Exposure { kind, amount }),
            }
        }
        true
    }

    fn stay_at(&self, attempt: TaskAttempt, time: Time) -> Option<&Stay> {
        let ended = || self.ended.iter().find(|stay| stay.attempt == attempt);
        self.find(attempt).or_else(ended).filter(|stay| stay.covers(time))
    }

    fn replica_at(&mut self, sample: &Pending) -> Option<&mut Replica> {
        let stay = match self.position(sample.attempt) {
            Ok(at) => Some(&mut self.stays[at]),
            Err(_) => self.ended.iter_mut().find(|stay| stay.attempt == sample.attempt),
        };
        stay.filter(|stay| stay.covers(sample.taken))?.replica_mut()
    }

    /// Recounts what the neighbours account for in each replica's latency.
    pub(crate) fn refresh(&mut self, model: &Model) {
        for at in 0..self.stays.len() {
            let Some(service) = self.stays[at].replica().and_then(|replica| replica.service) else {
                continue;
            };
            let harm = self.batches().map(|(_, batch)| present_harm(model, service, batch)).sum();
            if let Some(replica) = self.stays[at].replica_mut() {
                replica.harm = harm;
            }
        }
    }

    /// Decides what to do with the batch tasks; acts on one at most.
    pub(crate) fn decide(
        &mut self,
        now: Time,
        model: &Model,
        moves: &mut Moves,
    ) -> Option<(TaskAttempt, Outcome)> {
        let hurt = self.replicas().any(|replica| is_hurt(replica, now));
        let blamed = if hurt { self.blamed(now, model) } else { None };
        let mut done = None;
        let others = (0..self.stays.len()).filter(|at| Some(*at) != blamed);
        for at in blamed.into_iter().chain(others) {
            let verdict = match (Some(at) == blamed, hurt) {
                (true, _) => Verdict::Blamed,
                (false, true) => Verdict::Steady,
                (false, false) => Verdict::Cleared,
            };
            let outcome = self.step(now, at, verdict, model, moves, done.is_none());
            if outcome != Outcome::Nothing {
                done = Some((self.stays[at].attempt, outcome));
            }
        }
        if done.is_some() {
            self.refresh(model);
        }
        done
    }

    /// The batch task with the highest harm that is likely, to all hurt replicas together.
    fn blamed(&self, now: Time, model: &Model) -> Option<usize> {
        let hurt: Vec<u32> = self
            .replicas()
            .filter(|replica| is_hurt(replica, now))
            .filter_map(|replica| replica.service)
            .collect();
        let mut worst = None;
        for (at, batch) in self.batches() {
            let Some(kind) = batch.kind else { continue };
            if batch.control.state() == State::Moving {
                continue;
            }
            let likely = |service: &u32| model.harm(now, *service, kind).at_least(THROTTLE_SIGMA);
            let harm = hurt.iter().map(likely).sum::<f64>() * batch.amount();
            let least = worst.map_or(BLAMED_HARM, |(_, most)| most);
            if harm > least {
                worst = Some((at, harm));
            }
        }
        worst.map(|(at, _)| at)
    }

    fn step(
        &mut self,
        now: Time,
        at: usize,
        verdict: Verdict,
        model: &Model,
        moves: &mut Moves,
        budgeted: bool,
    ) -> Outcome {
        let Some(batch) = self.stays[at].batch() else { return Outcome::Nothing };
        if batch.control.state() == State::Calm && verdict != Verdict::Blamed {
            return Outcome::Nothing;
        }
        let mut facts = self.facts(now, batch, model, moves);
        facts.budgeted = budgeted;
        let Some(batch) = self.stays[at].batch_mut() else { return Outcome::Nothing };
        let was_moving = batch.control.state() == State::Moving;
        let outcome = batch.control.step(now, verdict, &facts);
        let outcome = match outcome {
            Outcome::Throttle(permille) => Outcome::Throttle(batch.throttle(now, permille)),
            Outcome::Nothing | Outcome::Move => outcome,
        };
        match (was_moving, batch.control.state() == State::Moving) {
            (false, true) => {
                moves.running += 1;
                batch.evictions = batch.evictions.saturating_sub(1);
            }
            (true, false) => moves.running = moves.running.saturating_sub(1),
            (false, false) | (true, true) => {}
        }
        outcome
    }

    fn facts(&self, now: Time, batch: &Batch, model: &Model, moves: &Moves) -> Facts {
        let marked = batch.control.marked();
        let mut hurt = self.replicas().filter(|replica| is_hurt(replica, now));
        let certain = |replica: &Replica| {
            let pair = replica.service.zip(batch.kind);
            pair.is_some_and(|(service, kind)| {
                model.harm(now, service, kind).at_least(MOVE_SIGMA) >= CERTAIN_HARM
            })
        };
        Facts {
            settled: hurt.any(|replica| replica.seen_after(marked)),
            budgeted: true,
            harmless: self.replicas().all(|replica| bears_raise(replica, now, batch, model)),
            certain: self.replicas().any(|replica| is_hurt(replica, now) && certain(replica)),
            better: self.has_better(now, batch, model, moves),
            movable: batch.evictions > 0 && moves.running < moves.limit,
        }
    }

    /// Whether a batch task is expected to do far less harm elsewhere; true if no other worker is
    /// known.
    fn has_better(&self, now: Time, batch: &Batch, model: &Model, moves: &Moves) -> bool {
        let Some(kind) = batch.kind else { return false };
        let Some(least) = moves.least.get(&kind) else { return false };
        moves.places < 2 || *least < BETTER_PART * self.rise(now, model, kind, batch.amount())
    }

    /// The rise of service latency that a task of a kind would cause, weighed by objective, as a
    /// sum of fractions of the good latencies; `present` is how much of it is there already.
    pub(crate) fn rise(&self, now: Time, model: &Model, kind: u32, present: f64) -> f64 {
        let rises = self.replicas().filter_map(|replica| {
            let harm = model.mean(replica.service?, kind);
            let without = replica.expected(now) * (-harm * present).exp();
            Some(harm_weight(replica.objective) * without * harm.exp_m1())
        });
        rises.sum()
    }

    /// The kinds of the batch tasks at their floor.
    pub(crate) fn floored(&self) -> impl Iterator<Item = u32> {
        let floored = |batch: &&Batch| batch.control.state() == State::Floor;
        self.stays.iter().filter_map(Stay::batch).filter(floored).filter_map(|batch| batch.kind)
    }

    /// The replicas that are there.
    pub(crate) fn replicas(&self) -> impl Iterator<Item = &Replica> {
        self.stays.iter().filter_map(Stay::replica)
    }

    /// The batch tasks that are there, each with its place among the stays.
    pub(crate) fn batches(&self) -> impl Iterator<Item = (usize, &Batch)> {
        self.stays.iter().enumerate().filter_map(|(at, stay)| Some((at, stay.batch()?)))
    }
}

fn is_hurt(replica: &Replica, now: Time) -> bool {
    replica.ratio(now).is_some_and(|ratio| replica.is_hurt(ratio))
}

/// What a batch task accounts for at its present throttle.
pub(crate) fn present_harm(model: &Model, service: u32, batch: &Batch) -> f64 {
    batch.kind.map_or(0.0, |kind| model.mean(service, kind) * batch.amount())
}

/// Whether a replica keeps its slack when the batch task's throttle is raised by a step.
fn bears_raise(replica: &Replica, now: Time, batch: &Batch, model: &Model) -> bool {
    let Some(ratio) = replica.ratio(now) else { return !replica.is_awaited(now) };
    let pair = replica.service.zip(batch.kind);
    let harm = pair.map_or(0.0, |(service, kind)| model.mean(service, kind)) * batch.raise();
    let spared = harm < NEGLIGIBLE_HARM && !replica.is_hurt(ratio);
    spared || replica.has_slack(ratio + harm)
}
