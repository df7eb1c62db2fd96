//! How fast filling tasks work beside tasks that serve users.
//!
//! A serving task's response times are explained by its step's level and by the filling images
//! beside it, as learned by [`Pressure`]. Each opportunistic task gets the pace at which the tails beside it
//! stay below their bounds; a tail that is above its bound all the same cuts the paces further,
//! whatever the estimates say.

use std::{collections::HashMap, time::Duration};

use crate::{
    interference::model::{Exposure, Model, Observation},
    jobs::{
        fleet::{FULL_PACE, RunView, Worker},
        model::{Image, JobId, StepKey, TaskKey},
    },
    time::Time,
};

/// The part of its bound that a tail is aimed below.
const AIM: f64 = 0.7;

/// A pair whose task of one processor lengthens tails by less than this, as a logarithm, counts
/// as harmless.
const HARMLESS: f64 = 0.06;

/// A pair seen this often with less harm than this, a standard deviation added, is left alone
/// while a tail is too long for an unknown reason.
const KNOWN: u32 = 40;
const CLEARLY_HARMLESS: f64 = 0.1;

/// A tail that was too long for this time stops all that may cause it, and after this time all
/// that fills beside it: the users' bound is 5.5 s.
const TOO_LONG: Duration = Duration::from_millis(500);
const MUCH_TOO_LONG: Duration = Duration::from_millis(2800);

/// Paces that differ by less aren't told, in percent.
const STEP: u8 = 10;

/// A smaller pace is a stop, in percent.
const LEAST: f64 = 10.0;

/// The load that is assumed of a serving task; workers don't report it.
const LOAD: f64 = 0.5;

/// Thousandths of a processor in a processor.
const CORE: f64 = 1000.0;

/// How a tail comes about, in logarithms.
#[derive(Clone, Copy, Debug)]
struct Tail {
    /// How much filling tasks may lengthen it.
    room: f64,
    /// How much those that are there would at full pace.
    whole: f64,
}

impl Tail {
    /// The share at which all that harms it may work, with `more` that is to come.
    fn share(&self, more: f64) -> f64 {
        let whole = self.whole + more;
        if whole > 0.0 { (self.room / whole).clamp(0.0, 1.0) } else { 1.0 }
    }
}

/// How long the tails of a step would be without the tasks that fill beside them, as a logarithm.
///
/// The load of all tasks of a step swings together, and a tail may triple with it. What a tail
/// differs from its step's level is due to its neighbours.
#[derive(Clone, Copy, Debug)]
struct Level {
    tail: f64,
    at: Time,
}

/// How long a step's level is remembered; its load swings within seconds.
const LEVEL_MEMORY: Duration = Duration::from_millis(300);

impl Level {
    fn follow(&mut self, own: f64, now: Time) {
        let passed = now.since(self.at).as_secs_f64();
        self.tail += (own - self.tail) * passed / (LEVEL_MEMORY.as_secs_f64() + passed);
        self.at = now;
    }
}

/// What is known of how images disturb each other.
#[derive(Debug, Default)]
pub struct Pressure {
    model: Model,
    levels: HashMap<StepKey, Level>,
    serving: HashMap<Image, u32>,
    opportunistic: HashMap<Image, u32>,
}

impl Pressure {
    /// By how much one processor of `opportunistic` lengthens the tail of `serving`, as a logarithm.
    pub fn harm(&self, serving: Option<&Image>, opportunistic: Option<&Image>) -> f64 {
        let serving = serving.and_then(|image| self.serving.get(image));
        let opportunistic = opportunistic.and_then(|image| self.opportunistic.get(image));
        match (serving, opportunistic) {
            (Some(serving), Some(opportunistic)) => self.model.mean(*serving, *opportunistic),
            _ => 0.0,
        }
    }

    /// Whether a pair was seen often enough to say that it does no harm.
    fn is_harmless(
        &self,
        now: Time,
        serving: Option<&Image>,
        opportunistic: Option<&Image>,
    ) -> bool {
        let serving = serving.and_then(|image| self.serving.get(image));
        let opportunistic = opportunistic.and_then(|image| self.opportunistic.get(image));
        let (Some(serving), Some(opportunistic)) = (serving, opportunistic) else { return false };
        let harm = self.model.harm(now, *serving, *opportunistic);
        harm.samples >= KNOWN && harm.mean + harm.deviation < CLEARLY_HARMLESS
    }

    /// The share at which a opportunistic task of `image` with this wish could work on a worker, beside
    /// what fills there already, from 0 to 1.
    pub fn room(&self, worker: &Worker, image: Option<&Image>, wished: u64) -> f64 {
        let serving = worker.runs.values().filter(|view| view.target_latency.is_some());
        let rooms = serving.filter_map(|view| {
            let harm = self.harm(view.image.as_ref(), image);
            (harm > HARMLESS).then(|| self.tail(worker, view).share(harm * wished as f64 / CORE))
        });
        rooms.fold(1.0, f64::min)
    }

    /// By how much what fills on a worker would lengthen the tail of a task of `image`, as a
    /// logarithm.
    pub fn exposure(&self, worker: &Worker, image: Option<&Image>) -> f64 {
        let fills = worker.runs.values().filter(|view| view.fills());
        let harms = fills.map(|view| (self.harm(image, view.image.as_ref()), view.wished));
        harms.filter(|(harm, _)| *harm > HARMLESS).map(|(h, w)| h * w as f64 / CORE).sum()
    }

    /// How a tail comes about.
    fn tail(&self, worker: &Worker, serving: &RunView) -> Tail {
        let image = serving.image.as_ref();
        let (mut present, mut whole) = (0.0, 0.0);
        for view in worker.runs.values().filter(|view| view.fills()) {
            let harm = self.harm(image, view.image.as_ref());
            if harm > HARMLESS {
                present += harm * view.gauge as f64 / CORE;
                whole += harm * view.wished as f64 / CORE;
            }
        }
        let own = (serving.gauge.max(1) as f64).ln() - present;
        let target_latency = serving.target_latency.unwrap_or(u64::MAX) as f64;
        Tail { room: (target_latency * AIM).ln() - own, whole }
    }

    /// Learns from what a worker has just reported.
    pub fn learn(&mut self, worker: &Worker, now: Time) {
        let mut beside: Vec<Exposure> = Vec::new();
        for view in worker.runs.values().filter(|view| view.fills() && view.listed) {
            let Some(image) = &view.image else { continue };
            let kind = number(&mut self.opportunistic, image);
            let amount = view.gauge as f32 / CORE as f32;
            match beside.iter_mut().find(|exposure| exposure.kind == kind) {
                Some(exposure) => exposure.amount += amount,
                None => beside.push(Exposure { kind, amount }),
            }
        }
        for (task, view) in worker.runs.iter().filter(|(_, view)| view.listed && view.gauge > 0) {
            let (Some(_), Some(image)) = (view.target_latency, &view.image) else { continue };
            let service = number(&mut self.serving, image);
            let tail = (view.gauge as f64).ln();
            let own = tail - self.model.total_harm(service, &beside);
            let level = self.levels.entry(task.step_key()).or_insert(Level { tail: own, at: now });
            let latency = tail - level.tail;
            level.follow(own, now);
            let (taken, load, beside) = (now, LOAD, &beside[..]);
            self.model.learn(&Observation { service, taken, latency, load, beside });
        }
    }

    /// Forgets the levels of a job's steps.
    pub fn forget(&mut self, job: JobId) {
        self.levels.retain(|step, _| step.job != job);
    }
}

fn number(numbers: &mut HashMap<Image, u32>, image: &Image) -> u32 {
    let next = u32::try_from(numbers.len()).unwrap_or(u32::MAX);
    match numbers.get(image) {
        Some(number) => *number,
        None => *numbers.entry(image.clone()).or_insert(next),
    }
}

/// How long a task that saves its progress stands still before it is moved elsewhere.
const PAUSE: Duration = Duration::from_millis(900);

/// Stops the filling tasks that have stood still for long and can go on elsewhere.
pub fn move_paused(worker: &mut Worker, now: Time) {
    for view in worker.runs.values_mut() {
        let long = view.paused.is_some_and(|since| now.since(since) > PAUSE);
        view.stopping |= view.listed && view.checkpoints && long;
    }
}

/// Sets the paces on a worker from what it reported last.
pub fn adjust(worker: &mut Worker, pressure: &Pressure, now: Time) {
    for view in worker.runs.values_mut() {
        let Some(target_latency) = view.target_latency else { continue };
        let over = view.listed && view.gauge > target_latency;
        view.over = if over { view.over.or(Some(now)) } else { None };
    }
    if worker.wished == 0 {
        return;
    }
    let paces: Vec<(TaskKey, u8)> = worker
        .runs
        .iter()
        .filter(|(_, view)| view.fills())
        .map(|(task, view)| (*task, pace(worker, view, pressure, now)))
        .collect();
    for (task, pace) in paces {
        if let Some(view) = worker.runs.get_mut(&task)
            && (view.pace.abs_diff(pace) >= STEP || (pace == 0) != (view.pace == 0))
        {
            view.paused = if pace == 0 { view.paused.or(Some(now)) } else { None };
            view.pace = pace;
        }
    }
}

/// The pace of a filling task: the least that a tail beside it allows.
fn pace(worker: &Worker, opportunistic: &RunView, pressure: &Pressure, now: Time) -> u8 {
    let tails = worker.runs.values().filter(|view| view.listed);
    let allowed = tails.filter_map(|view| {
        view.target_latency?;
        Some(allowed(worker, view, opportunistic, pressure, now))
    });
    let least = allowed.fold(f64::from(FULL_PACE), f64::min);
    if least < LEAST { 0 } else { least as u8 }
}

/// The pace of a filling task that one tail allows, in percent.
fn allowed(
    worker: &Worker,
    serving: &RunView,
    opportunistic: &RunView,
    pressure: &Pressure,
    now: Time,
) -> f64 {
    let full = f64::from(FULL_PACE);
    let over = serving.over.map(|since| now.since(since));
    if over.is_some_and(|over| over > MUCH_TOO_LONG) {
        return 0.0;
    }
    let image = serving.image.as_ref();
    let tail = pressure.tail(worker, serving);
    if pressure.harm(image, opportunistic.image.as_ref()) <= HARMLESS {
        // Nothing that is known to harm this tail is there, and yet it is too long.
        let unexplained = over.is_some()
            && tail.whole <= 0.0
            && !pressure.is_harmless(now, image, opportunistic.image.as_ref());
        return if unexplained { f64::from(opportunistic.pace) / 2.0 } else { full };
    }
    if over.is_some_and(|over| over > TOO_LONG) {
        return 0.0;
    }
    let fair = tail.share(0.0) * full;
    // An estimate that says otherwise than the tail is wrong.
    if over.is_some() { fair.min(f64::from(opportunistic.pace) / 2.0) } else { fair }
}
