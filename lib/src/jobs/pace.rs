//! Pacing of opportunistic tasks that share a worker with serving tasks.
//!
//! [`Interference`] explains the tail latency of a serving task by the baseline of its step and by
//! the opportunistic images on the same worker. Each opportunistic task gets the highest pace at
//! which the tail latencies on its worker stay below their targets. If a tail latency exceeds its
//! target nevertheless, the pace is reduced further, whatever the estimates say.
//!
//! The baseline also tells the load of a step's tasks, and with it how many of their reserved
//! processors they use. Opportunistic tasks get what is left: once all processors of a worker are in
//! use, the tail latencies of all its tasks multiply, whatever their images are.

use std::{collections::HashMap, time::Duration};

use crate::{
    interference::model::{Exposure, Harm, Model, Observation},
    jobs::{
        fleet::{FULL_PACE_PERCENT, RunView, Worker},
        model::{Image, JobId, StepKey, TaskKey},
        neighbours::{Neighbours, TailBudget, add_exposure},
    },
    time::Time,
};

mod recording;

/// The fraction of the target latency to aim for.
const TARGET_FRACTION: f64 = 0.7;

/// The harm by one task at full pace, as a logarithmic increase of the tail latency, up to which its
/// image counts as harmless to a serving image. A limit on the harm per processor would let large
/// tasks disturb all others.
const NEGLIGIBLE_HARM: f64 = 0.11;

/// The number of samples from which on a pair of images can be known to be harmless. The
/// opportunistic image of such a pair isn't throttled while the tail latency of the serving one is
/// above its target for an unknown reason.
const MIN_SAMPLES: u32 = 40;

/// The mean harm plus one standard deviation below which such a pair is harmless, in the unit of
/// logarithmic increase per processor.
const MAX_HARMLESS: f64 = 0.1;

/// A tail latency above its target for longer than this stops the opportunistic tasks on the worker
/// that are known to interfere with it.
const STOP_CAUSES_AFTER: Duration = Duration::from_millis(500);

/// A tail latency above its target for longer than this stops all opportunistic tasks on the
/// worker. Users tolerate at most 5.5 s.
const STOP_ALL_AFTER: Duration = Duration::from_millis(2800);

/// Pace changes smaller than this aren't made, except to and from 0, in percent.
const MIN_CHANGE_PERCENT: u8 = 10;

/// The lowest pace above 0, in percent. A lower one is rounded down to 0.
const MIN_PACE_PERCENT: f64 = 10.0;

/// The pace below which a run counts as throttled, in percent: it takes more than twice as long.
const THROTTLED_PERCENT: u8 = 50;

/// The load assumed for a serving task whose baseline is average or not known. Workers don't report
/// it.
const ASSUMED_LOAD: f64 = 0.5;

/// The smallest weight of a sample in the average of an image's baselines.
const MIN_AVERAGE_WEIGHT: f64 = 0.0005;

/// The excess of a tail latency over its step's baseline, as a logarithm, from which on a task counts
/// as slow: twice the latency.
const SLOW_EXCESS: f64 = std::f64::consts::LN_2;

/// The number of serving tasks that it takes to call a worker slow.
const MIN_SLOW_TASKS: u32 = 2;

/// The age from which on a baseline is updated on workers without idle processors, too.
const MAX_BASELINE_AGE: Duration = Duration::from_secs(1);

/// Millicores per processor.
const MILLICORES_PER_CORE: f64 = 1000.0;

/// The tail latency of a step's tasks without opportunistic tasks next to them, as a logarithm.
///
/// The load of all tasks of a step varies together, and their tail latency can triple with it. The
/// difference between a task's tail latency and its step's baseline is attributed to its
/// neighbours.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    tail: f64,
    at: Time,
}

/// The time constant of the baseline's moving average; the load of a step varies within seconds.
const BASELINE_MEMORY: Duration = Duration::from_millis(300);

impl Baseline {
    fn update(&mut self, own: f64, now: Time) {
        let passed = now.since(self.at).as_secs_f64();
        self.tail += (own - self.tail) * passed / (BASELINE_MEMORY.as_secs_f64() + passed);
        self.at = now;
    }
}

/// The average baseline of an image, as a logarithm.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    mean: f64,
    samples: u32,
}

impl Average {
    fn update(&mut self, tail: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = f64::from(self.samples).recip().max(MIN_AVERAGE_WEIGHT);
        self.mean += (tail - self.mean) * weight;
    }
}

/// The learned interference between images.
#[derive(Debug, Default)]
pub struct Interference {
    model: Model,
    baselines: HashMap<StepKey, Baseline>,
    /// The average baselines, by the numbers of serving images.
    averages: HashMap<u32, Average>,
    serving: HashMap<Image, u32>,
    opportunistic: HashMap<Image, u32>,
    /// The number of the serving image and of the opportunistic one from which on pairs are compared
    /// with their recorded estimates next.
    compared: (u32, u32),
    /// The average number of processors that a task requests, by the numbers of opportunistic images.
    sizes: HashMap<u32, Average>,
}

impl Interference {
    /// The logarithmic increase of the tail latency of `serving` per processor of `opportunistic`.
    pub fn harm(&self, serving: Option<&Image>, opportunistic: Option<&Image>) -> f64 {
        let serving = serving.and_then(|image| self.serving.get(image));
        let opportunistic = opportunistic.and_then(|image| self.opportunistic.get(image));
        match (serving, opportunistic) {
            (Some(serving), Some(opportunistic)) => self.model.mean(*serving, *opportunistic),
            _ => 0.0,
        }
    }

    /// The logarithmic increase of the tail latency of `serving` by an opportunistic task at full pace.
    fn task_harm(&self, serving: Option<&Image>, task: &RunView) -> f64 {
        self.harm(serving, task.image.as_ref()) * f64::from(processors(task.demand))
    }

    /// Whether there are enough samples of a pair to be confident that it is harmless.
    fn is_harmless(
        &self,
        now: Time,
        serving: Option<&Image>,
        opportunistic: Option<&Image>,
    ) -> bool {
        let serving = serving.and_then(|image| self.serving.get(image));
        let opportunistic = opportunistic.and_then(|image| self.opportunistic.get(image));
        let (Some(serving), Some(opportunistic)) = (serving, opportunistic) else { return false };
        is_known_harmless(&self.model.harm(now, *serving, *opportunistic))
    }

    /// The pace, from 0 to 1, that a further opportunistic task of `image` with this demand could
    /// have on a worker.
    pub fn achievable_pace(&self, worker: &Worker, image: Option<&Image>, demand: u64) -> f64 {
        let kind = number_of(&self.opportunistic, image);
        let paces = worker.neighbours.serving.iter().filter_map(|serving| {
            let harm = self.model.mean(serving.number, kind) * f64::from(processors(demand));
            (harm > NEGLIGIBLE_HARM).then(|| serving.budget.pace(harm))
        });
        paces.fold(1.0, f64::min)
    }

    /// The logarithmic increase of the tail latency that the opportunistic tasks on a worker at
    /// full pace would cause for a task of `image`.
    pub fn exposure(&self, worker: &Worker, image: Option<&Image>) -> f64 {
        self.relevant_harm(number_of(&self.serving, image), &worker.neighbours.demands)
    }

    /// Whether tasks of `image` serve on a worker, and the number of other images that do.
    pub fn serving_images(&self, worker: &Worker, image: Option<&Image>) -> (bool, usize) {
        let number = number_of(&self.serving, image);
        let images = &worker.neighbours.serving;
        let same = images.iter().any(|serving| serving.number == number);
        (same, images.len() - usize::from(same))
    }

    /// Updates the summary of the runs on a worker.
    pub fn summarize(&mut self, worker: &mut Worker) {
        let mut neighbours = Neighbours::default();
        let mut used: Vec<Exposure> = Vec::new();
        for view in worker.runs.values().filter(|view| view.is_opportunistic()) {
            let kind = assign_number(&mut self.opportunistic, view.image.as_ref());
            neighbours.add_demand(kind, processors(view.demand));
            self.sizes.entry(kind).or_default().update(f64::from(processors(view.demand)));
            add_exposure(&mut used, kind, processors(view.gauge));
        }
        let mut serving_used = 0.0;
        for (task, view) in worker.runs.iter().filter(|(_, view)| view.target_latency.is_some()) {
            let number = assign_number(&mut self.serving, view.image.as_ref());
            serving_used += view.reserved.millicores as f64 * self.load(&task.step_key(), number);
            let budget = self.tail_budget(view, number, &used, &neighbours.demands);
            neighbours.add_serving(number, budget);
        }
        worker.neighbours = neighbours;
        worker.serving_used = serving_used as u64;
    }

    /// The load of a serving step's tasks: the fraction of their processors that they use.
    ///
    /// The tail latency of a queue is inversely proportional to the fraction that is idle.
    fn load(&self, step: &StepKey, number: u32) -> f64 {
        let (Some(baseline), Some(average)) =
            (self.baselines.get(step), self.averages.get(&number))
        else {
            return ASSUMED_LOAD;
        };
        let idle = (average.mean - baseline.tail).exp() * (1.0 - ASSUMED_LOAD);
        (1.0 - idle).clamp(0.0, 1.0)
    }

    /// How much interference a serving task tolerates, given the processors that opportunistic
    /// tasks on its worker use and request.
    fn tail_budget(
        &self,
        serving: &RunView,
        number: u32,
        used: &[Exposure],
        demands: &[Exposure],
    ) -> TailBudget {
        let own = (serving.gauge.max(1) as f64).ln() - self.relevant_harm(number, used);
        let target_latency = serving.target_latency.unwrap_or(u64::MAX) as f64;
        let headroom = (target_latency * TARGET_FRACTION).ln() - own;
        TailBudget { headroom, inflation: self.relevant_harm(number, demands) }
    }

    /// The total harm to a serving image by all kinds whose harm isn't negligible.
    fn relevant_harm(&self, serving: u32, exposures: &[Exposure]) -> f64 {
        let harms = exposures.iter().map(|exposure| {
            let harm = self.model.mean(serving, exposure.kind);
            let size = self.sizes.get(&exposure.kind).map_or(1.0, |size| size.mean);
            if harm * size > NEGLIGIBLE_HARM { harm * f64::from(exposure.amount) } else { 0.0 }
        });
        harms.sum()
    }

    /// Learns from a worker's latest heartbeat.
    pub fn learn(&mut self, worker: &Worker, now: Time) {
        let mut beside: Vec<Exposure> = Vec::new();
        for view in worker.runs.values().filter(|view| view.is_opportunistic() && view.listed) {
            let Some(image) = &view.image else { continue };
            let kind = assign_number(&mut self.opportunistic, Some(image));
            add_exposure(&mut beside, kind, processors(view.gauge));
        }
        // Tail latencies on a worker without idle processors say nothing about images.
        let saturated = !beside.is_empty() && worker.is_saturated();
        for (task, view) in worker.runs.iter().filter(|(_, view)| view.listed && view.gauge > 0) {
            let (Some(_), Some(image)) = (view.target_latency, &view.image) else { continue };
            let service = assign_number(&mut self.serving, Some(image));
            let tail = (view.gauge as f64).ln();
            let own = tail - self.model.total_harm(service, &beside);
            let baseline =
                self.baselines.entry(task.step_key()).or_insert(Baseline { tail: own, at: now });
            let latency = tail - baseline.tail;
            if !saturated || now.since(baseline.at) > MAX_BASELINE_AGE {
                baseline.update(own, now);
                self.averages.entry(service).or_default().update(baseline.tail);
            }
            if saturated {
                continue;
            }
            let (taken, load, beside) = (now, ASSUMED_LOAD, &beside[..]);
            self.model.learn(&Observation { service, taken, latency, load, beside });
        }
    }

    /// Whether the serving tasks on a worker are slower than other tasks of their steps, for a reason
    /// that lies in the worker: its processors suffice, and the opportunistic tasks on it don't
    /// explain it.
    pub fn is_slow(&self, worker: &Worker, now: Time) -> bool {
        if worker.is_saturated() {
            return false;
        }
        let active = worker.runs.values().filter(|view| view.is_opportunistic() && view.gauge > 0);
        let mut used: Vec<Exposure> = Vec::new();
        for view in active.clone() {
            let kind = number_of(&self.opportunistic, view.image.as_ref());
            add_exposure(&mut used, kind, processors(view.gauge));
        }
        let (mut slow, mut known) = (0, 0);
        for (task, view) in worker.runs.iter().filter(|(_, view)| view.listed && view.gauge > 0) {
            let Some(baseline) = self.baselines.get(&task.step_key()) else { continue };
            let image = view.image.as_ref();
            let is_known = |other: &RunView| {
                self.task_harm(image, other) > NEGLIGIBLE_HARM
                    || self.is_harmless(now, image, other.image.as_ref())
            };
            if view.target_latency.is_none() || !active.clone().all(is_known) {
                continue;
            }
            let harm = self.relevant_harm(number_of(&self.serving, image), &used);
            known += 1;
            slow += u32::from((view.gauge as f64).ln() - harm - baseline.tail > SLOW_EXCESS);
        }
        known >= MIN_SLOW_TASKS && slow * 2 > known
    }

    /// Drops the baselines of a job's steps.
    pub fn forget(&mut self, job: JobId) {
        self.baselines.retain(|step, _| step.job != job);
    }
}

/// Whether an estimate is precise enough to be confident that the pair is harmless.
fn is_known_harmless(harm: &Harm) -> bool {
    harm.samples >= MIN_SAMPLES && harm.mean + harm.deviation < MAX_HARMLESS
}

/// The number of a task without an image, or of an image without one.
const NO_NUMBER: u32 = u32::MAX;

fn number_of(numbers: &HashMap<Image, u32>, image: Option<&Image>) -> u32 {
    image.and_then(|image| numbers.get(image)).copied().unwrap_or(NO_NUMBER)
}

fn assign_number(numbers: &mut HashMap<Image, u32>, image: Option<&Image>) -> u32 {
    let Some(image) = image else { return NO_NUMBER };
    let next = u32::try_from(numbers.len()).unwrap_or(NO_NUMBER);
    match numbers.get(image) {
        Some(number) => *number,
        None => *numbers.entry(image.clone()).or_insert(next),
    }
}

fn processors(millicores: u64) -> f32 {
    millicores as f32 / MILLICORES_PER_CORE as f32
}

/// How long a task that saves checkpoints may be paused before it is stopped, to continue on
/// another worker.
const MAX_PAUSE: Duration = Duration::from_millis(900);

/// Stops opportunistic tasks that were paused for too long and can continue on another worker.
pub fn stop_paused(worker: &mut Worker, now: Time) {
    for view in worker.runs.values_mut() {
        let long = view.paused_since.is_some_and(|since| now.since(since) > MAX_PAUSE);
        view.stopping |= view.listed && view.checkpoints && long;
    }
}

/// Updates the paces on a worker from its latest heartbeat.
pub fn adjust_paces(worker: &mut Worker, interference: &Interference, now: Time) {
    for view in worker.runs.values_mut() {
        let Some(target_latency) = view.target_latency else { continue };
        let over = view.listed && view.gauge > target_latency;
        view.over_since = if over { view.over_since.or(Some(now)) } else { None };
    }
    if worker.demand == 0 {
        return;
    }
    let serving = worker.runs.values().filter(|view| view.listed && view.target_latency.is_some());
    let serving: Vec<_> =
        serving.map(|view| ServingTask::new(worker, view, interference)).collect();
    let affordable = worker.affordable_pace() * f64::from(FULL_PACE_PERCENT);
    let opportunistic = worker.runs.iter().filter(|(_, view)| view.is_opportunistic());
    let paces: Vec<(TaskKey, u8)> = opportunistic
        .map(|(task, view)| {
            let pace = opportunistic_pace(&serving, view, interference, now);
            (*task, rounded_pace(pace.min(affordable)))
        })
        .collect();
    for (task, pace) in paces {
        if let Some(view) = worker.runs.get_mut(&task)
            && (view.pace.abs_diff(pace) >= MIN_CHANGE_PERCENT || (pace == 0) != (view.pace == 0))
        {
            view.paused_since = if pace == 0 { view.paused_since.or(Some(now)) } else { None };
            let throttled = pace < THROTTLED_PERCENT;
            view.throttled_since =
                if throttled { view.throttled_since.or(Some(now)) } else { None };
            view.pace = pace;
        }
    }
}

/// A serving task beside opportunistic ones.
struct ServingTask<'a> {
    view: &'a RunView,
    tail: TailBudget,
}

impl<'a> ServingTask<'a> {
    fn new(worker: &'a Worker, view: &'a RunView, interference: &Interference) -> Self {
        let (mut used, mut demands) = (Vec::new(), Vec::new());
        for view in worker.runs.values().filter(|view| view.is_opportunistic()) {
            let kind = number_of(&interference.opportunistic, view.image.as_ref());
            add_exposure(&mut used, kind, processors(view.gauge));
            add_exposure(&mut demands, kind, processors(view.demand));
        }
        let number = number_of(&interference.serving, view.image.as_ref());
        Self { view, tail: interference.tail_budget(view, number, &used, &demands) }
    }
}

/// The pace of an opportunistic task: the lowest that the serving tasks on the worker allow, in
/// percent.
fn opportunistic_pace(
    serving: &[ServingTask<'_>],
    opportunistic: &RunView,
    interference: &Interference,
    now: Time,
) -> f64 {
    let allowed = serving.iter().map(|task| allowed_pace(task, opportunistic, interference, now));
    allowed.fold(f64::from(FULL_PACE_PERCENT), f64::min)
}

fn rounded_pace(pace: f64) -> u8 {
    if pace < MIN_PACE_PERCENT { 0 } else { pace as u8 }
}

/// The pace of an opportunistic task that one serving task allows, in percent.
fn allowed_pace(
    serving: &ServingTask<'_>,
    opportunistic: &RunView,
    interference: &Interference,
    now: Time,
) -> f64 {
    let ServingTask { view: serving, tail } = serving;
    let full = f64::from(FULL_PACE_PERCENT);
    let over = serving.over_since.map(|since| now.since(since));
    if over.is_some_and(|over| over > STOP_ALL_AFTER) {
        return 0.0;
    }
    let image = serving.image.as_ref();
    if interference.task_harm(image, opportunistic) <= NEGLIGIBLE_HARM {
        // The latency is above its target although no task is present that is known to interfere.
        let unexplained = over.is_some()
            && tail.inflation <= 0.0
            && !interference.is_harmless(now, image, opportunistic.image.as_ref());
        return if unexplained { f64::from(opportunistic.pace) / 2.0 } else { full };
    }
    if over.is_some_and(|over| over > STOP_CAUSES_AFTER) {
        return 0.0;
    }
    let estimated = tail.pace(0.0) * full;
    // If the latency is above its target, the estimate was too optimistic.
    if over.is_some() { estimated.min(f64::from(opportunistic.pace) / 2.0) } else { estimated }
}
