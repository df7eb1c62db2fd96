//! Tasks that wait for room on the rack of their data, although they could start elsewhere.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crate::{
    ids::ServiceName,
    jobs::{
        controller::{LogEvent, leader::Leader, round::Round, stranded::millis},
        fleet::{RunView, Worker},
        locality::{
            Choice, Decision, Locality, Reason,
            forecast::{Forecast, HEARTBEAT_INTERVAL, expected_end},
            racks::RackForm,
            wait_end,
            waits::Waits,
        },
        model::{JobId, Label, Step, StepKey, TaskKey, WorkerNumber},
        placement::{SpeedRequirement, may_run},
        pool::Candidates,
        waiting::{Demand, WaitingStep},
    },
    time::{Time, WallTime},
};

/// How long a forecast is used. A turn of a large service comes every few milliseconds.
const FORECAST_AGE: Duration = Duration::from_millis(50);

/// The maximum number of forecasts that are kept.
const MAX_FORECASTS: usize = 256;

/// The maximum number of tasks for which room on a worker is expected.
const MAX_SLOTS: usize = 1024;

/// The state of all waits for better placements.
#[derive(Debug)]
pub(super) struct Places {
    pub(super) settings: Locality,
    pub(super) waits: Waits,
    forecasts: Vec<KnownForecasts>,
    /// The form of the racks' labels, and when it was found.
    pub(super) racks: Option<(Time, RackForm)>,
    /// When this leader took over.
    since: Time,
    /// The same by the wall clock.
    wall: WallTime,
    /// The steps that became ready under this leader, among those of earlier jobs.
    fresh: BTreeSet<StepKey>,
}

/// The racks that a forecast covers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Racks {
    /// This one.
    One(Label),
    /// All of this form.
    All(RackForm),
}

impl Racks {
    fn rack<'a>(&'a self, labels: &'a [Label]) -> Option<&'a Label> {
        match self {
            Self::One(rack) => labels.iter().find(|label| *label == rack),
            Self::All(form) => form.rack(labels),
        }
    }
}

/// The tasks for which a forecast holds.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ForecastKind {
    service: ServiceName,
    label: Option<Label>,
    demand: Demand,
    /// The step, if the number of its tasks on a worker is limited.
    spread: Option<StepKey>,
    racks: Racks,
}

/// Forecasts by rack.
pub(super) type Forecasts = Arc<BTreeMap<Label, Forecast>>;

#[derive(Debug)]
struct KnownForecasts {
    kind: ForecastKind,
    at: Time,
    forecasts: Forecasts,
}

/// The decision for the tasks of a step that found only workers away from their rack.
#[derive(Clone, Copy, Debug)]
pub(super) struct Deferral {
    /// The number of tasks that are still to be passed over.
    tasks: usize,
    /// The number of the others that have waited before.
    given_up: usize,
    /// Why the others don't wait.
    reason: Option<Reason>,
}

/// What a delay of the tasks of a step means.
#[derive(Clone, Copy, Debug)]
pub(super) struct Delay {
    /// How much longer a task takes away from its rack.
    pub(super) surplus: Duration,
    /// See [`Choice::slack_ms`].
    pub(super) slack_ms: i64,
}

impl Places {
    pub(super) fn new(settings: Locality, now: Time, wall: WallTime) -> Self {
        Self {
            settings,
            waits: Waits::default(),
            forecasts: Vec::new(),
            racks: None,
            since: now,
            wall,
            fresh: BTreeSet::new(),
        }
    }

    /// Forgets a job that has ended.
    pub(super) fn remove_job(&mut self, id: JobId) {
        self.waits.remove_job(id);
        let steps: Vec<_> = self.fresh.range(id.steps()).copied().collect();
        for key in steps {
            self.fresh.remove(&key);
        }
    }

    /// Forgets forecasts after a start of many tasks.
    pub(super) fn clear_forecasts(&mut self) {
        self.forecasts.clear();
    }

    /// When the workers that this leader hasn't heard yet are expected to be heard.
    fn heard_by(&self) -> Time {
        self.since + HEARTBEAT_INTERVAL
    }
}

impl Leader {
    /// The number of tasks that wait for a better placement.
    pub fn near_waits(&self) -> usize {
        self.places.waits.tasks()
    }

    /// The end of the wait of a step with tasks that wait for a better placement.
    pub fn near_wait_end(&self, key: &StepKey) -> Option<Time> {
        let wait = self.places.waits.get(key).filter(|wait| wait.tasks > 0);
        wait.map(|wait| wait.until)
    }

    /// Notes that a step has become ready, so that no earlier leader can have begun its wait.
    pub(super) fn note_ready(&mut self, key: StepKey) {
        let known = self.waiting.get(&key).is_some() || !self.unqueued.is_empty();
        if self.places.settings.is_on() && !known {
            self.places.fresh.insert(key);
        }
    }

    /// Considers all workers again for the steps whose waits have ended.
    pub(super) fn expire_near_waits(&mut self, now: Time) {
        for key in self.places.waits.expire(now) {
            self.waiting.retry(&key);
        }
    }

    /// Ends the wait of a step whose tasks have all started.
    pub(super) fn end_near_wait(&mut self, now: Time, key: &StepKey) {
        self.places.fresh.remove(key);
        let Some(wait) = self.places.waits.remove(key).filter(|wait| wait.waited) else { return };
        self.log_events.push(LogEvent::NearWaitEnded {
            step: key.to_string(),
            rack: wait.rack.to_string(),
            near: wait.near,
            far: wait.far,
            reason: wait.reason.map(Reason::name),
            waited_ms: millis(now.since(wait.began)),
        });
    }

    /// Whether a task that could start on the worker `number` waits for room on its rack. `left` is the number
    /// of tasks of the step from this one on. The decision for all of them is made for the first that finds
    /// no room on the rack.
    pub(super) fn waits_near(
        &mut self,
        now: Time,
        waiting: &WaitingStep,
        step: &Step,
        (task, speed, number, left): (TaskKey, SpeedRequirement, WorkerNumber, usize),
        (deferral, round): (&mut Option<Deferral>, &mut Round),
    ) -> bool {
        if !self.places.settings.is_on() || step.options.long_running {
            return false;
        }
        let Some(rack) = &step.rack else { return false };
        if self.is_on(number, rack) {
            self.places.waits.record_near(&waiting.key, now);
            return false;
        }
        // These find few workers, which may be others than those of the forecast.
        let special = self.failed_on.contains_key(&task) || self.is_suspect(&task);
        let any_pace = step.options.opportunistic && speed == SpeedRequirement::Any;
        if special || any_pace {
            return false;
        }
        let decided = match deferral {
            Some(decided) => decided,
            None => deferral.insert(self.defer(now, &waiting.key, step, (number, left), round)),
        };
        if decided.tasks > 0 {
            decided.tasks -= 1;
            return true;
        }
        if let Some(reason) = decided.reason.filter(|_| decided.given_up > 0) {
            decided.given_up -= 1;
            self.places.waits.record_far(&waiting.key, now, reason);
        }
        false
    }

    /// Whether the worker is on the rack.
    pub(super) fn is_on(&self, number: WorkerNumber, rack: &Label) -> bool {
        let worker = self.fleet.workers.get(&number);
        let profile = worker.and_then(|worker| worker.profile.as_ref());
        profile.is_some_and(|profile| profile.labels.contains(rack))
    }

    /// Decides how many of `left` tasks of a step wait for its rack.
    fn defer(
        &mut self,
        now: Time,
        key: &StepKey,
        step: &Step,
        (number, left): (WorkerNumber, usize),
        round: &mut Round,
    ) -> Deferral {
        let none = Deferral { tasks: 0, given_up: 0, reason: None };
        let (Some(rack), Some(delay)) = (&step.rack, self.delay(key, step)) else {
            return none;
        };
        let until = self.begin_wait(now, key, step, rack);
        let forecasts = self.forecasts(now, key, Racks::One(rack.clone()), round);
        let forecast = forecasts.get(rack);
        // The workers of the rack may be among those that a new leader hasn't heard yet.
        let heard_by = Some(self.places.heard_by()).filter(|at| forecast.is_none() && now < *at);
        let ahead =
            self.places.waits.ahead(key, rack, forecast.map_or(0, |known| known.later.len()));
        let expected =
            |task: usize| forecast.map_or(heard_by, |forecast| forecast.after(ahead + task));
        let mut choice = Choice {
            now,
            until,
            expected: expected(0),
            right: self.places.waits.share(rack, now),
            surplus: delay.surplus,
            slack_ms: delay.slack_ms,
            queued: self.others_wait(key),
        };
        let (first, right) = (choice.expected, choice.right);
        let mut deferral = none;
        while deferral.tasks < left {
            choice.expected = expected(deferral.tasks);
            match choice.decide() {
                Decision::Wait(_) => deferral.tasks += 1,
                Decision::Take(reason) => {
                    deferral.reason = Some(reason);
                    break;
                }
            }
        }
        let worker = self.fleet.workers.get(&number);
        let alternative = worker.map_or(String::new(), |worker| worker.name.to_string());
        let expected = first.map_or(Duration::MAX, |first| now.until(first));
        deferral.given_up =
            self.set_waiting(now, key, deferral.tasks, (expected, right, alternative));
        deferral
    }

    /// Sets the number of a step's tasks that wait, and logs the begin of the wait. Returns the number of tasks
    /// that waited before and don't wait any more.
    pub(super) fn set_waiting(
        &mut self,
        now: Time,
        key: &StepKey,
        tasks: usize,
        (expected, right, alternative): (Duration, f64, String),
    ) -> usize {
        let (first, given_up) = self.places.waits.set_tasks(key, tasks);
        let Some(wait) = self.places.waits.get(key).filter(|_| first) else { return given_up };
        self.log_events.push(LogEvent::NearWait {
            step: key.to_string(),
            tasks,
            rack: wait.rack.to_string(),
            expected_ms: millis(expected),
            until_ms: millis(now.until(wait.until)),
            right_percent: (right * 100.0) as u32,
            alternative,
        });
        given_up
    }

    /// Whether other steps wait that don't wait for a better placement.
    pub(super) fn others_wait(&self, key: &StepKey) -> bool {
        let waits = &self.places.waits;
        let own = usize::from(waits.get(key).is_none_or(|wait| wait.tasks == 0));
        self.waiting.len() > waits.waiting_steps() + own
    }

    /// What a delay of the tasks of a step means.
    pub(super) fn delay(&mut self, key: &StepKey, step: &Step) -> Option<Delay> {
        let outlook = self.outlook(key)?;
        let job = self.state.jobs.get(&key.job)?;
        let begin = job.spec.due(key.occurrence).unwrap_or(job.accepted);
        let due = begin.0.saturating_add(outlook.objective);
        let end = self.wall.0.saturating_add(outlook.remaining.critical_path);
        let late = i64::try_from(end.saturating_sub(due)).unwrap_or(i64::MAX);
        let early = i64::try_from(due.saturating_sub(end)).unwrap_or(i64::MAX);
        let surplus = self.places.settings.surplus(Duration::from_millis(step.estimate));
        Some(Delay { surplus, slack_ms: early - late })
    }

    /// Begins the wait of a step, unless it has one already, and returns its end.
    pub(super) fn begin_wait(
        &mut self,
        now: Time,
        key: &StepKey,
        step: &Step,
        rack: &Label,
    ) -> Time {
        if let Some(wait) = self.places.waits.get(key) {
            return wait.until;
        }
        let job = self.state.jobs.get(&key.job);
        let begin = job.map(|job| job.spec.due(key.occurrence).unwrap_or(job.accepted));
        let earlier = begin.filter(|begin| *begin < self.places.wall);
        let carried = earlier.filter(|_| !self.places.fresh.contains(key));
        let age = |begin: WallTime| Duration::from_millis(self.wall.0.saturating_sub(begin.0));
        let longest = self.places.settings.longest_wait(Duration::from_millis(step.estimate));
        let until = wait_end(now, longest, carried.map(age));
        self.places.waits.begin(*key, rack, now, until)
    }

    /// When room for tasks of a step is expected on racks with live workers that may run them.
    pub(super) fn forecasts(
        &mut self,
        now: Time,
        key: &StepKey,
        racks: Racks,
        round: &mut Round,
    ) -> Forecasts {
        let Some(request) = self.request(key) else { return Forecasts::default() };
        let step = request.step;
        let kind = ForecastKind {
            service: request.service.clone(),
            label: step.label.clone(),
            demand: Demand::new(step),
            spread: step.spread.map(|_| *key),
            racks,
        };
        let is_recent = |known: &KnownForecasts| now.since(known.at) < FORECAST_AGE;
        let mut known = self.places.forecasts.iter();
        if let Some(known) = known.find(|known| known.kind == kind && is_recent(known)) {
            return known.forecasts.clone();
        }
        let mut forecasts: BTreeMap<Label, Forecast> = BTreeMap::new();
        let mut looked_at = 0;
        for (_, worker) in self.fleet.present() {
            looked_at += 1;
            let live = Candidates::Live.include(worker, now) && worker.probation.is_none();
            let Some(profile) = worker.profile.as_ref().filter(|_| live) else { continue };
            let Some(rack) = kind.racks.rack(&profile.labels) else { continue };
            if !may_run(worker, &request) {
                continue;
            }
            looked_at += worker.runs.len();
            let spread = step.spread.map(|max| max.saturating_sub(worker.count(key)) as usize);
            let max = spread.unwrap_or(MAX_SLOTS).min(MAX_SLOTS);
            let end = |task: &TaskKey, view: &RunView| self.run_end(now, worker, task, view);
            let forecast = forecasts.entry(rack.clone()).or_default();
            forecast.add(worker, now, (&kind.demand, max), end);
        }
        forecasts.values_mut().for_each(Forecast::finish);
        round.add_tasks(looked_at);
        let forecasts = Arc::new(forecasts);
        let cache = &mut self.places.forecasts;
        cache.retain(|known| now.since(known.at) < FORECAST_AGE);
        if cache.len() < MAX_FORECASTS {
            cache.push(KnownForecasts { kind, at: now, forecasts: forecasts.clone() });
        }
        forecasts
    }

    /// When a run is expected to end; `None` if it lasts.
    fn run_end(&self, now: Time, worker: &Worker, task: &TaskKey, view: &RunView) -> Option<Time> {
        let rack = self.state.step(&task.step_key()).and_then(|step| step.rack.as_ref());
        let profile = worker.profile.as_ref();
        let far =
            rack.is_some_and(|rack| profile.is_some_and(|profile| !profile.labels.contains(rack)));
        let factor = if far { self.places.settings.remote_factor } else { 1.0 };
        expected_end(view, now, factor)
    }
}
