//! Where a task goes: which workers may run it, and which of them is best.

use std::time::Duration;

use crate::{
    ids::ServiceName,
    jobs::{
        fleet::{Fleet, Worker},
        model::{Image, Step, StepKey, WorkerNumber},
        pace::Pressure,
    },
    resources::Resources,
    time::Time,
};

/// The part of its wish that a filling task must find unused, in percent.
const FILL_SHARE: u64 = 80;

/// What it costs to fill beside tasks that would bear no more, in thousandths of a processor.
const HARM_COST: f64 = 20_000.0;

/// What it costs a task that serves users to be the first of its image on a worker, and for each
/// other image there, in thousandths of a processor: the fewer images share a worker, the more
/// filling tasks do no harm there.
const FIRST_OF_IMAGE: u64 = 8000;
const OTHER_IMAGE: u64 = 4000;

/// How much less than images the load counts for a task that serves users, as a divisor.
const SERVING_LOAD: u64 = 8;

/// A task that looks for a place.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The service whose workers may run it.
    pub service: &'a ServiceName,
    /// Its step.
    pub step: &'a Step,
    /// The step's place in its job.
    pub key: StepKey,
    /// Workers on which it has failed.
    pub avoid: &'a [WorkerNumber],
    /// How images disturb each other.
    pub pressure: &'a Pressure,
    /// How good the place must be.
    pub terms: Terms,
}

/// How good a place a filling task takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Terms {
    /// One where it can work at its full speed: a task that is slowed down as soon as it has
    /// started only takes the place of one that isn't.
    FullSpeed,
    /// The best that there is, so that no job starves whose image harms its neighbours everywhere.
    Any,
}

/// Which workers are looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// Those whose heartbeat waits for an answer: a start leaves at once.
    Open,
    /// All that were heard lately: a start leaves with the next heartbeat.
    Live,
}

/// How long a worker may be silent and count as live: the longest time between two heartbeats,
/// held for 0.7 s and asked for again after 0.9 s, and a little for the way.
const LIVE: Duration = Duration::from_millis(1800);

/// Requests that found no place: until something ends, whatever asks for as much finds none
/// either, and needn't look at all workers.
#[derive(Debug, Default)]
pub struct Refusals {
    known: Vec<Refusal>,
    looks: u32,
}

#[derive(Debug)]
struct Refusal {
    service: ServiceName,
    opportunistic: bool,
    image: Option<Image>,
    needs: Resources,
}

impl Refusals {
    /// Remembers a request, unless it was refused for an option of its own step.
    pub fn add(&mut self, request: &Request<'_>) {
        self.count();
        let step = request.step;
        if step.label.is_some() || step.spread.is_some() || !Self::compares(request) {
            return;
        }
        self.known.push(Refusal {
            service: request.service.clone(),
            opportunistic: step.options.opportunistic,
            image: step.image.clone(),
            needs: step.needs,
        });
    }

    /// Counts a request that looked at all workers in vain.
    pub fn count(&mut self) {
        self.looks += 1;
    }

    /// How many requests looked at all workers in vain.
    pub fn looks(&self) -> u32 {
        self.looks
    }

    /// Whether a request can't find a place either.
    pub fn covers(&self, request: &Request<'_>) -> bool {
        let step = request.step;
        Self::compares(request)
            && self.known.iter().any(|refusal| {
                refusal.service == *request.service
                    && refusal.opportunistic == step.options.opportunistic
                    && refusal.image == step.image
                    && step.needs.fits(&refusal.needs)
            })
    }

    /// Whether requests of this kind look at the same workers on the same terms.
    fn compares(request: &Request<'_>) -> bool {
        request.terms == Terms::FullSpeed && !request.step.options.long_running
    }
}

/// The best worker for a task.
pub fn choose(
    fleet: &Fleet,
    now: Time,
    reach: Reach,
    request: &Request<'_>,
) -> Option<WorkerNumber> {
    let near = |worker: &Worker| match reach {
        Reach::Open => worker.open.is_some(),
        Reach::Live => worker.open.is_some() || now.since(worker.heard) < LIVE,
    };
    let candidates = fleet.workers.iter().filter(|(_, worker)| near(worker));
    let costs = candidates.filter_map(|(number, worker)| {
        Some((cost(worker, now, request)? + avoided(*number, request), *number))
    });
    costs.min().map(|(_, number)| number)
}

/// What a second failure on the same worker is worth avoiding.
const AVOIDED: u64 = 1 << 40;

/// What work on another rack than the data's costs.
const REMOTE: u64 = 1 << 30;

fn avoided(number: WorkerNumber, request: &Request<'_>) -> u64 {
    if request.avoid.contains(&number) { AVOIDED } else { 0 }
}

/// What a place costs; nothing if the task may not run there.
fn cost(worker: &Worker, now: Time, request: &Request<'_>) -> Option<u64> {
    let step = request.step;
    let profile = worker.profile.as_ref()?;
    if profile.service != *request.service || !worker.is_usable(now) {
        return None;
    }
    if step.label.as_ref().is_some_and(|label| !profile.labels.contains(label)) {
        return None;
    }
    if step.spread.is_some_and(|most| worker.count(&request.key) >= most) {
        return None;
    }
    let free = worker.free();
    if !free.fits(&step.reserved()) {
        return None;
    }
    let far = step.rack.as_ref().is_some_and(|rack| !profile.labels.contains(rack));
    let remote = if far { REMOTE } else { 0 };
    let unused = worker.unused();
    let load = profile.capacity.millicores.saturating_sub(unused);
    if step.options.opportunistic {
        let wish = step.needs.millicores;
        if unused * 100 < wish * FILL_SHARE {
            return None;
        }
        let room = request.pressure.room(worker, step.image.as_ref(), wish);
        if request.terms == Terms::FullSpeed && room < 1.0 {
            return None;
        }
        return Some(remote + load + ((1.0 - room) * HARM_COST) as u64);
    }
    if step.serves() {
        return Some(remote + load / SERVING_LOAD + images(worker, request));
    }
    Some(remote + load)
}

/// What a place costs a task that serves users, by the images that it would share it with.
fn images(worker: &Worker, request: &Request<'_>) -> u64 {
    let image = request.step.image.as_ref();
    let serving = worker.runs.values().filter(|view| view.target_latency.is_some());
    let mut others: Vec<_> = serving.map(|view| view.image.as_ref()).collect();
    others.sort_unstable();
    others.dedup();
    let first = if others.contains(&image) { 0 } else { FIRST_OF_IMAGE };
    let others = others.iter().filter(|other| **other != image).count() as u64;
    let exposure = request.pressure.exposure(worker, image) * HARM_COST;
    first + others * OTHER_IMAGE + exposure as u64
}
