//! The placements on one worker, current and recent, and the decisions about them.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    ids::TaskAttempt,
    interference::{
        control::{GuardInputs, Outcome, State, Verdict},
        limits::{
            BETTER_RATIO, MAX_ENDED, MAX_PENDING, MIN_BLAMED_HARM, MIN_MOVE_HARM, MOVE_SIGMA,
            RETENTION, THROTTLE_SIGMA, harm_weight,
        },
        model::{Exposure, Model, Observation},
        placement::{Batch, PendingSample, Placement, Replica},
        port::Counters,
    },
    time::Time,
};

/// The logarithm of a slowdown that is too small to matter.
const NEGLIGIBLE_HARM: f64 = 0.01;

/// The placements on one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Colocation {
    /// Current placements, sorted by attempt.
    placements: Vec<Placement>,
    /// Recently ended placements, in the order in which they ended.
    ended: VecDeque<Placement>,
    pending: Vec<PendingSample>,
}

/// The moves in progress and what further moves depend on.
#[derive(Clone, Debug)]
pub(crate) struct Moves {
    /// The number of moves in progress.
    pub(crate) running: usize,
    /// The maximum number of concurrent moves.
    pub(crate) limit: usize,
    /// The number of known workers.
    pub(crate) workers: usize,
    /// The minimum expected increase of latency over the scanned workers, for each kind with a task
    /// at its throttle floor.
    pub(crate) min_rises: BTreeMap<u32, f64>,
}

/// The shared state used to process a worker's samples.
pub(crate) struct LearnContext<'l> {
    /// The estimates.
    pub(crate) model: &'l mut Model,
    /// Where dropped samples are counted.
    pub(crate) counters: &'l mut Counters,
    /// A reusable buffer for exposures.
    pub(crate) exposures: &'l mut Vec<Exposure>,
}

impl Colocation {
    /// The current placement of an attempt.
    pub(crate) fn find(&self, attempt: TaskAttempt) -> Option<&Placement> {
        self.position(attempt).ok().map(|at| &self.placements[at])
    }

    fn position(&self, attempt: TaskAttempt) -> Result<usize, usize> {
        self.placements.binary_search_by_key(&attempt, |placement| placement.attempt)
    }

    /// Adds a placement unless the attempt is already there.
    pub(crate) fn begin(&mut self, placement: Placement) {
        if let Err(at) = self.position(placement.attempt) {
            self.placements.insert(at, placement);
        }
    }

    /// Ends the placement of an attempt, and returns it if it was there.
    pub(crate) fn end(&mut self, now: Time, attempt: TaskAttempt) -> Option<&Placement> {
        let at = self.position(attempt).ok()?;
        let mut placement = self.placements.remove(at);
        placement.until = Some(now);
        self.ended.push_back(placement);
        self.ended.back()
    }

    /// Removes an ended placement that is older than [`RETENTION`] or exceeds [`MAX_ENDED`].
    pub(crate) fn expire(&mut self, now: Time) -> Option<Placement> {
        let oldest = self.ended.front()?;
        let over = oldest.until.is_some_and(|until| now.since(until) > RETENTION);
        if over || self.ended.len() > MAX_ENDED { self.ended.pop_front() } else { None }
    }

    /// Buffers a sample for the next decision; returns false if the buffer is full.
    pub(crate) fn push(&mut self, pending: PendingSample) -> bool {
        let fits = self.pending.len() < MAX_PENDING;
        if fits {
            self.pending.push(pending);
        }
        fits
    }

    /// The number of current and ended placements.
    pub(crate) fn len(&self) -> usize {
        self.placements.len() + self.ended.len()
    }

    /// Whether there are no placements and no buffered samples.
    pub(crate) fn is_empty(&self) -> bool {
        self.placements.is_empty() && self.ended.is_empty() && self.pending.is_empty()
    }

    /// Whether there are no buffered samples and every batch task is calm.
    pub(crate) fn is_idle(&self) -> bool {
        let calm = |batch: &Batch| batch.control.state() == State::Calm;
        self.pending.is_empty() && self.batches().all(|(_, batch)| calm(batch))
    }

    /// Processes the buffered samples in the order in which they were taken.
    pub(crate) fn learn(&mut self, now: Time, context: &mut LearnContext<'_>) {
        let mut pending = std::mem::take(&mut self.pending);
        pending.sort_unstable();
        for sample in pending.drain(..) {
            self.process(now, &sample, context);
        }
        self.pending = pending;
        self.refresh(context.model);
    }

    fn process(&mut self, now: Time, sample: &PendingSample, context: &mut LearnContext<'_>) {
        if now.since(sample.taken) > RETENTION {
            context.counters.old += 1;
            return;
        }
        let Some(latency) = sample.latency else {
            self.learn_usage(sample, context.counters);
            return;
        };
        context.exposures.clear();
        if !self.exposures(sample, context.exposures) {
            context.counters.unknown += 1;
            return;
        }
        let Some(replica) = self.replica_at(sample) else {
            context.counters.unknown += 1;
            return;
        };
        if !replica.admit(sample) {
            context.counters.duplicate += 1;
            return;
        }
        let latency = latency.as_secs_f64().ln();
        let load = replica.load(sample.millicores);
        let mut harm = 0.0;
        if let Some(service) = replica.service {
            let beside = context.exposures.as_slice();
            context.model.learn(&Observation {
                service,
                taken: sample.taken,
                latency,
                load,
                beside,
            });
            harm = context.model.total_harm(service, beside);
        }
        replica.observe(sample.taken, latency, harm);
        context.counters.counted += 1;
    }

    fn learn_usage(&mut self, sample: &PendingSample, counters: &mut Counters) {
        match self.position(sample.attempt) {
            Ok(at) => {
                if let Some(batch) = self.placements[at].batch_mut() {
                    batch.observe(sample.taken, sample.millicores);
                }
            }
            Err(_) => {
                let gone = self.placement_at(sample.attempt, sample.taken).is_none();
                counters.unknown += u64::from(gone);
            }
        }
    }

    /// Collects the batch tasks that ran beside the replica, summed by kind. Returns false if the
    /// sample names an attempt that wasn't known to be on the worker.
    ///
    /// The sample tells which attempts ran, since a placed attempt may not have started yet; the
    /// placements tell their kinds and throttles.
    fn exposures(&self, sample: &PendingSample, beside: &mut Vec<Exposure>) -> bool {
        for attempt in &sample.beside {
            let Some(placement) = self.placement_at(*attempt, sample.taken) else { return false };
            let Some(batch) = placement.batch() else { continue };
            let Some(kind) = batch.kind else { continue };
            let amount = batch.amount_at(sample.taken) as f32;
            match beside.iter_mut().find(|known| known.kind == kind) {
                Some(known) => known.amount += amount,
                None => beside.push(Exposure { kind, amount }),
            }
        }
        true
    }

    fn placement_at(&self, attempt: TaskAttempt, time: Time) -> Option<&Placement> {
        let ended = || self.ended.iter().find(|placement| placement.attempt == attempt);
        self.find(attempt).or_else(ended).filter(|placement| placement.covers(time))
    }

    fn replica_at(&mut self, sample: &PendingSample) -> Option<&mut Replica> {
        let placement = match self.position(sample.attempt) {
            Ok(at) => Some(&mut self.placements[at]),
            Err(_) => self.ended.iter_mut().find(|placement| placement.attempt == sample.attempt),
        };
        placement.filter(|placement| placement.covers(sample.taken))?.replica_mut()
    }

    /// Recomputes the harm of the neighbours to each replica.
    pub(crate) fn refresh(&mut self, model: &Model) {
        for at in 0..self.placements.len() {
            let Some(service) = self.placements[at].replica().and_then(|replica| replica.service)
            else {
                continue;
            };
            let harm = self.batches().map(|(_, batch)| present_harm(model, service, batch)).sum();
            if let Some(replica) = self.placements[at].replica_mut() {
                replica.harm = harm;
            }
        }
    }

    /// Steps the state machines of the batch tasks; acts on at most one task.
    pub(crate) fn decide(
        &mut self,
        now: Time,
        model: &Model,
        moves: &mut Moves,
    ) -> Option<(TaskAttempt, Outcome)> {
        let degraded = self.replicas().any(|replica| is_degraded(replica, now));
        let blamed = if degraded { self.blamed(now, model) } else { None };
        let mut done = None;
        let others = (0..self.placements.len()).filter(|at| Some(*at) != blamed);
        for at in blamed.into_iter().chain(others) {
            let verdict = match (Some(at) == blamed, degraded) {
                (true, _) => Verdict::Blamed,
                (false, true) => Verdict::NotBlamed,
                (false, false) => Verdict::Cleared,
            };
            let outcome = self.step(now, at, verdict, model, moves, done.is_none());
            if outcome != Outcome::Nothing {
                done = Some((self.placements[at].attempt, outcome));
            }
        }
        if done.is_some() {
            self.refresh(model);
        }
        done
    }

    /// The batch task with the highest lower confidence bound of its harm to all degraded replicas
    /// together.
    fn blamed(&self, now: Time, model: &Model) -> Option<usize> {
        let degraded: Vec<u32> = self
            .replicas()
            .filter(|replica| is_degraded(replica, now))
            .filter_map(|replica| replica.service)
            .collect();
        let mut worst = None;
        for (at, batch) in self.batches() {
            let Some(kind) = batch.kind else { continue };
            if batch.control.state() == State::Moving {
                continue;
            }
            let likely = |service: &u32| model.harm(now, *service, kind).at_least(THROTTLE_SIGMA);
            let harm = degraded.iter().map(likely).sum::<f64>() * batch.amount();
            let threshold = worst.map_or(MIN_BLAMED_HARM, |(_, harm)| harm);
            if harm > threshold {
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
        may_act: bool,
    ) -> Outcome {
        let Some(batch) = self.placements[at].batch() else { return Outcome::Nothing };
        if batch.control.state() == State::Calm && verdict != Verdict::Blamed {
            return Outcome::Nothing;
        }
        let mut inputs = self.guard_inputs(now, batch, model, moves);
        inputs.may_act = may_act;
        let Some(batch) = self.placements[at].batch_mut() else { return Outcome::Nothing };
        let was_moving = batch.control.state() == State::Moving;
        let outcome = batch.control.step(now, verdict, &inputs);
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

    fn guard_inputs(&self, now: Time, batch: &Batch, model: &Model, moves: &Moves) -> GuardInputs {
        let marked = batch.control.marked();
        let mut degraded = self.replicas().filter(|replica| is_degraded(replica, now));
        let confident = |replica: &Replica| {
            let pair = replica.service.zip(batch.kind);
            pair.is_some_and(|(service, kind)| {
                model.harm(now, service, kind).at_least(MOVE_SIGMA) >= MIN_MOVE_HARM
            })
        };
        GuardInputs {
            fresh_sample: degraded.any(|replica| replica.sampled_after(marked)),
            may_act: true,
            safe_raise: self.replicas().all(|replica| tolerates_raise(replica, now, batch, model)),
            confident: self
                .replicas()
                .any(|replica| is_degraded(replica, now) && confident(replica)),
            better_elsewhere: self.is_better_elsewhere(now, batch, model, moves),
            movable: batch.evictions > 0 && moves.running < moves.limit,
        }
    }

    /// Whether a batch task is expected to do far less harm on another worker; true if no other
    /// worker is known.
    fn is_better_elsewhere(&self, now: Time, batch: &Batch, model: &Model, moves: &Moves) -> bool {
        let Some(kind) = batch.kind else { return false };
        let Some(min_rise) = moves.min_rises.get(&kind) else { return false };
        moves.workers < 2 || *min_rise < BETTER_RATIO * self.rise(now, model, kind, batch.amount())
    }

    /// The increase of service latency caused by a task of a kind, as a sum of fractions of the
    /// latency objectives weighted by the plans' objectives. `present` is the amount of the kind
    /// whose effect the current latencies already include.
    pub(crate) fn rise(&self, now: Time, model: &Model, kind: u32, present: f64) -> f64 {
        let rises = self.replicas().filter_map(|replica| {
            let harm = model.mean(replica.service?, kind);
            let without = replica.expected(now) * (-harm * present).exp();
            Some(harm_weight(replica.objective) * without * harm.exp_m1())
        });
        rises.sum()
    }

    /// The kinds of the batch tasks that are throttled to their floor.
    pub(crate) fn kinds_at_floor(&self) -> impl Iterator<Item = u32> {
        let at_floor = |batch: &&Batch| batch.control.state() == State::Floor;
        self.placements
            .iter()
            .filter_map(Placement::batch)
            .filter(at_floor)
            .filter_map(|batch| batch.kind)
    }

    /// The current replicas.
    pub(crate) fn replicas(&self) -> impl Iterator<Item = &Replica> {
        self.placements.iter().filter_map(Placement::replica)
    }

    /// The current batch tasks, each with its index in `placements`.
    pub(crate) fn batches(&self) -> impl Iterator<Item = (usize, &Batch)> {
        self.placements
            .iter()
            .enumerate()
            .filter_map(|(at, placement)| Some((at, placement.batch()?)))
    }
}

fn is_degraded(replica: &Replica, now: Time) -> bool {
    replica.ratio(now).is_some_and(|ratio| replica.is_degraded(ratio))
}

/// The harm of a batch task to a service at its current throttle.
pub(crate) fn present_harm(model: &Model, service: u32, batch: &Batch) -> f64 {
    batch.kind.map_or(0.0, |kind| model.mean(service, kind) * batch.amount())
}

/// Whether a replica keeps its slack if the batch task's throttle is raised by a step.
fn tolerates_raise(replica: &Replica, now: Time, batch: &Batch, model: &Model) -> bool {
    let Some(ratio) = replica.ratio(now) else { return !replica.awaits_sample(now) };
    let pair = replica.service.zip(batch.kind);
    let harm = pair.map_or(0.0, |(service, kind)| model.mean(service, kind)) * batch.raise();
    let negligible = harm < NEGLIGIBLE_HARM && !replica.is_degraded(ratio);
    negligible || replica.has_slack(ratio + harm)
}
