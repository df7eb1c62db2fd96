//! Placement: which workers may run a task, and which of them is best.

use crate::{
    ids::ServiceName,
    jobs::{
        fleet::{Fleet, Worker},
        model::{Image, Step, StepKey, WorkerNumber},
        pace::Interference,
        pool::Pool,
        waiting::Demand,
    },
    resources::Resources,
};

/// The cost of placing an opportunistic task next to serving tasks that tolerate no more
/// interference, in millicores. A task that could run at a part of full speed costs proportionally
/// less. For a serving task, this is the cost of each unit of [`Interference::exposure`].
const HARM_COST_MILLICORES: f64 = 20_000.0;

/// The cost for a serving task of a worker without another serving task of its image, in
/// millicores. Fewer images on a worker leave more opportunistic tasks that don't interfere with
/// any of them.
const FIRST_IMAGE_COST_MILLICORES: u64 = 8000;

/// The cost for a serving task of each other image that serves on the worker, in millicores.
const OTHER_IMAGE_COST_MILLICORES: u64 = 4000;

/// The load of a worker is divided by this for a serving task, so that images weigh more than load.
const SERVING_LOAD_DIVISOR: u64 = 8;

/// A request to place one task.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The service whose workers may run the task.
    pub service: &'a ServiceName,
    /// The step of the task.
    pub step: &'a Step,
    /// The key of the step.
    pub key: StepKey,
    /// Workers on which the task has failed or was refused.
    pub avoid: &'a [WorkerNumber],
    /// The learned interference between images.
    pub interference: &'a Interference,
    /// The minimum speed at which an opportunistic task may be placed. Long-running tasks that may run at
    /// any speed may also run on workers that are avoided, if no other has room.
    pub speed: SpeedRequirement,
    /// Whether the task may have crashed a worker, so that it should endanger few other runs.
    pub probation: bool,
}

/// The minimum speed at which an opportunistic task may be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpeedRequirement {
    /// Full speed. A task that would be throttled right after its start only takes the place of one
    /// that can run at full speed.
    FullSpeed,
    /// Any speed. This keeps a job from starving if its image interferes with the other tasks on
    /// every worker.
    Any,
}

/// A cache of requests that found no worker. Until capacity is freed, a request for the same or
/// more resources finds none either and skips the search over all workers.
#[derive(Debug, Default)]
pub struct Unplaceable {
    known: Vec<UnplaceableKind>,
}

#[derive(Debug)]
struct UnplaceableKind {
    service: ServiceName,
    opportunistic: bool,
    /// The image of an opportunistic task, which decides what it interferes with.
    image: Option<Image>,
    needs: Resources,
    /// Whether workers were considered that would receive the start only later.
    patient: bool,
}

impl Unplaceable {
    /// Adds a request, unless an option of its own step may be the reason that it found no worker.
    pub fn add(&mut self, request: &Request<'_>) {
        let step = request.step;
        // The members of a gang that were placed before this one give their room back.
        let own_reason =
            step.label.is_some() || step.spread.is_some() || step.options.gang || request.probation;
        if own_reason || !Self::is_comparable(request) {
            return;
        }
        self.known.push(UnplaceableKind {
            service: request.service.clone(),
            opportunistic: step.options.opportunistic,
            image: step.image.clone().filter(|_| step.options.opportunistic),
            needs: step.needs,
            patient: Demand::new(step).patient,
        });
    }

    /// Whether the request is known to find no worker.
    pub fn covers(&self, request: &Request<'_>) -> bool {
        let step = request.step;
        let opportunistic = step.options.opportunistic;
        Self::is_comparable(request)
            && self.known.iter().any(|known| {
                known.service == *request.service
                    && known.opportunistic == opportunistic
                    && (!opportunistic || known.image == step.image)
                    && (known.patient || !Demand::new(step).patient)
                    && step.needs.fits(&known.needs)
            })
    }

    /// Whether the request may be compared with others: it requires full speed.
    fn is_comparable(request: &Request<'_>) -> bool {
        request.speed == SpeedRequirement::FullSpeed
    }
}

/// The worker of a pool with the lowest cost for a task; `None` if none may run it. Adds the number
/// of workers that were evaluated to `evaluated`.
pub fn choose_worker(
    fleet: &Fleet,
    pool: &Pool,
    request: &Request<'_>,
    evaluated: &mut usize,
) -> Option<WorkerNumber> {
    let costs = pool.fitting(Demand::new(request.step)).filter_map(|number| {
        *evaluated += 1;
        let worker = fleet.workers.get(&number)?;
        let risk = if request.probation { risk(worker) } else { (false, false, 0) };
        Some((risk, cost(worker, request)? + avoid_cost(number, request), number))
    });
    costs.min().map(|(_, _, number)| number)
}

/// The number of heartbeats after which a worker counts as established.
const ESTABLISHED_HEARTBEATS: u64 = 20;

/// What speaks against a worker for a suspect, the gravest first: it has unsettled runs, which a crash
/// would make suspects; it has just come up, and if it goes down by itself the suspect is blamed; the
/// number of runs that a crash would take along.
fn risk(worker: &Worker) -> (bool, bool, usize) {
    (!worker.is_settled(), worker.sequence < ESTABLISHED_HEARTBEATS, worker.runs.len())
}

/// The cost of a worker on which the task has failed before. Exceeds all other costs.
const AVOIDED_COST: u64 = 1 << 40;

/// The cost of a worker on another rack than the task's data.
const REMOTE_RACK_COST: u64 = 1 << 30;

fn avoid_cost(number: WorkerNumber, request: &Request<'_>) -> u64 {
    if request.avoid.contains(&number) { AVOIDED_COST } else { 0 }
}

/// Whether the service, the labels and the spread allow the task on a worker.
pub fn may_run(worker: &Worker, request: &Request<'_>) -> bool {
    let Some(profile) = &worker.profile else { return false };
    let step = request.step;
    profile.service == *request.service
        && step.label.as_ref().is_none_or(|label| profile.labels.contains(label))
        && step.spread.is_none_or(|max| worker.count(&request.key) < max)
}

/// The cost of placing the task on a worker; `None` if it may not run there.
fn cost(worker: &Worker, request: &Request<'_>) -> Option<u64> {
    let step = request.step;
    let profile = worker.profile.as_ref()?;
    if !may_run(worker, request) {
        return None;
    }
    let far = step.rack.as_ref().is_some_and(|rack| !profile.labels.contains(rack));
    let remote = if far { REMOTE_RACK_COST } else { 0 };
    let unused = worker.unused();
    let load = profile.capacity.millicores.saturating_sub(unused);
    if step.options.opportunistic {
        let demand = step.needs.millicores;
        let pace = request.interference.achievable_pace(worker, step.image.as_ref(), demand);
        if request.speed == SpeedRequirement::FullSpeed && pace < 1.0 {
            return None;
        }
        return Some(remote + load + ((1.0 - pace) * HARM_COST_MILLICORES) as u64);
    }
    if step.serves() {
        return Some(remote + load / SERVING_LOAD_DIVISOR + image_cost(worker, request));
    }
    Some(remote + load)
}

/// The cost for a serving task of sharing the worker with tasks of other images.
fn image_cost(worker: &Worker, request: &Request<'_>) -> u64 {
    let image = request.step.image.as_ref();
    let (same, others) = request.interference.serving_images(worker, image);
    let first = if same { 0 } else { FIRST_IMAGE_COST_MILLICORES };
    let exposure = request.interference.exposure(worker, image) * HARM_COST_MILLICORES;
    first + others as u64 * OTHER_IMAGE_COST_MILLICORES + exposure as u64
}
