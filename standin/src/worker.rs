//! A simulated worker: announces itself to the instances, executes commands, and runs batch tasks
//! while its lease is valid.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use hickorylink_lib::{
    ids::{Attempt, DataCentre, Epoch, Fence, Incarnation, Rack, TaskAttempt, TaskId, WorkerName},
    resources::Resources,
    task::Checkpoint,
    worker::{
        Announcement, AttemptState, CommandBatch, LeaseAnswer, TargetReport, TaskReport,
        WorkerCommand,
    },
};
use poem::{
    EndpointExt, Route, Server, handler,
    http::StatusCode,
    listener::{Acceptor, Listener, TcpListener},
    middleware::AddData,
    post,
    web::{Data, Json},
};
use tokio::{sync::Notify, task::JoinHandle, time::timeout};

use crate::{
    history::{Event, History},
    net,
    relay::Relay,
    worker::run::Running,
};

pub mod run;
pub mod target;

/// The limit on sending an announcement and receiving the response.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(800);

/// The delay before the next announcement after one that failed or was redirected.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The properties of a simulated worker.
#[derive(Clone, Debug)]
pub struct WorkerSpec {
    /// The name under which it announces itself.
    pub name: WorkerName,
    /// The data centre in which it runs.
    pub centre: DataCentre,
    /// The rack within the data centre.
    pub rack: Rack,
    /// Its total resources.
    pub capacity: Resources,
    /// Concurrent requests that each of its targets processes.
    pub slots: u32,
    /// Connections that each of its targets accepts, as announced.
    pub connections: u32,
    /// The processing time of a request that sets no `delay_ms`.
    pub service_time: Duration,
    /// Whether every batch task on it fails.
    pub always_fails: bool,
}

/// How a simulated worker reaches the system.
#[derive(Clone, Debug)]
pub struct AnnounceConfig {
    /// The instances to which it announces itself until it knows the holder.
    pub instances: Vec<SocketAddr>,
    /// The shared key that authenticates workers.
    pub key: String,
}

/// A simulated worker that runs on the current runtime until it is dropped.
#[derive(Debug)]
pub struct Worker {
    /// Its state, which tests inspect.
    pub shared: Arc<Shared>,
    /// Receives commands, sends announcements and watches the lease, in this order.
    tasks: Vec<JoinHandle<()>>,
}

/// The state shared by the asynchronous tasks of a simulated worker.
#[derive(Debug)]
pub struct Shared {
    /// The worker's properties.
    pub spec: WorkerSpec,
    /// The address on which it receives commands.
    pub address: SocketAddr,
    /// The history to which it adds its events.
    pub history: History,
    /// The origin of its clock.
    started: Instant,
    wake: Notify,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    incarnation: Incarnation,
    epoch: Epoch,
    fence: Fence,
    /// When the lease expires; `None` before the first lease.
    lease: Option<Instant>,
    leaving: bool,
    /// Running attempts, and ended ones whose report isn't acknowledged yet.
    attempts: BTreeMap<TaskAttempt, AttemptEntry>,
    /// The newest attempt of each task that was started or stopped in this incarnation.
    newest: BTreeMap<TaskId, Attempt>,
    /// The instance that holds the leadership of the data centre, if known.
    holder: Option<SocketAddr>,
    /// The number of announcements so far; selects the instances in turn while no holder is known.
    next: usize,
}

/// An attempt that runs, or that ended without an acknowledgement.
#[derive(Debug)]
struct AttemptEntry {
    state: AttemptState,
    running: Option<Running>,
    /// The proxy in front of its target, if it is a replica.
    relay: Option<Relay>,
    checkpoint: Option<Checkpoint>,
}

impl Worker {
    /// Starts a worker on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(
        spec: WorkerSpec,
        config: AnnounceConfig,
        history: History,
    ) -> std::io::Result<Self> {
        let acceptor = TcpListener::bind("127.0.0.1:0").into_acceptor().await?;
        let bound = acceptor.local_addr();
        let address = bound.iter().find_map(|at| at.as_socket_addr().copied());
        let address = address.ok_or(std::io::ErrorKind::AddrNotAvailable)?;
        let state = State {
            incarnation: Incarnation(net::unix_millis()),
            epoch: Epoch(0),
            fence: Fence(0),
            lease: None,
            leaving: false,
            attempts: BTreeMap::new(),
            newest: BTreeMap::new(),
            holder: None,
            next: 0,
        };
        let shared = Arc::new(Shared {
            spec,
            address,
            history,
            started: Instant::now(),
            wake: Notify::new(),
            state: Mutex::new(state),
        });
        let app =
            Route::new().at("/v1/commands", post(commands)).with(AddData::new(shared.clone()));
        let serve = tokio::spawn(async move {
            drop(Server::new_with_acceptor(acceptor).run(app).await);
        });
        let announce = tokio::spawn(announce(shared.clone(), config));
        let watch = tokio::spawn(watch_lease(shared.clone()));
        Ok(Self { shared, tasks: vec![serve, announce, watch] })
    }

    /// Announces that the worker is leaving.
    pub fn leave(&self) {
        self.shared.lock().leaving = true;
        self.shared.wake.notify_one();
    }

    /// Ends the worker as a power failure would: everything on it stops, and nothing is reported.
    pub fn crash(self) {
        for task in &self.tasks {
            task.abort();
        }
        self.shared.stop_all();
    }

    /// Blackholes the open connections to its targets.
    pub fn blackhole_connections(&self) {
        let state = self.shared.lock();
        state
            .attempts
            .values()
            .filter_map(|entry| entry.relay.as_ref())
            .for_each(Relay::blackhole_connections);
    }

    /// Stops its announcements, as a network partition does, so that its lease expires. Commands
    /// still reach it.
    pub fn partition(&self) {
        self.tasks[1].abort();
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The running attempts.
    pub fn running(&self) -> Vec<TaskAttempt> {
        let state = self.lock();
        state
            .attempts
            .iter()
            .filter(|(_, entry)| entry.running.is_some())
            .map(|(attempt, _)| *attempt)
            .collect()
    }

    /// The addresses of its targets, as announced.
    pub fn targets(&self) -> Vec<SocketAddr> {
        let state = self.lock();
        let relays = state.attempts.values().filter_map(|entry| entry.relay.as_ref());
        relays.map(|relay| relay.address).collect()
    }

    fn stop_all(&self) {
        let running: Vec<_> = self.running();
        for attempt in running {
            self.end(attempt, AttemptState::Stopped { checkpoint: None });
        }
    }

    /// Ends an attempt with this state; does nothing if it is not running.
    pub(crate) fn end(&self, attempt: TaskAttempt, state: AttemptState) {
        let mut locked = self.lock();
        let Some(entry) = locked.attempts.get_mut(&attempt) else { return };
        let Some(running) = entry.running.take() else { return };
        running.stop();
        entry.relay = None;
        entry.state = match state {
            AttemptState::Stopped { checkpoint: None } => {
                AttemptState::Stopped { checkpoint: entry.checkpoint.clone() }
            }
            state => state,
        };
        drop(locked);
        self.history.record(&self.spec.name, Event::Stopped(attempt));
        self.wake.notify_one();
    }

    /// Stores the newest complete checkpoint of a running attempt.
    pub(crate) fn store_checkpoint(&self, attempt: TaskAttempt, checkpoint: Checkpoint) {
        if let Some(entry) = self.lock().attempts.get_mut(&attempt)
            && entry.running.is_some()
        {
            entry.checkpoint = Some(checkpoint);
        }
    }

    fn announcement(&self) -> Announcement {
        let state = self.lock();
        let tasks = state
            .attempts
            .iter()
            .map(|(attempt, entry)| TaskReport { attempt: *attempt, state: entry.state.clone() });
        let targets = state.attempts.iter().filter_map(|(attempt, entry)| {
            Some(TargetReport {
                service: entry.running.as_ref()?.service()?.clone(),
                attempt: *attempt,
                address: entry.relay.as_ref()?.address.to_string(),
                slots: self.spec.slots,
                connections: self.spec.connections,
            })
        });
        Announcement {
            worker: self.spec.name.clone(),
            incarnation: state.incarnation,
            clock: Some(self.started.elapsed()),
            centre: self.spec.centre.clone(),
            rack: self.spec.rack.clone(),
            address: self.address.to_string(),
            capacity: self.spec.capacity,
            leaving: state.leaving,
            epoch: state.epoch,
            tasks: tasks.collect(),
            targets: targets.collect(),
            samples: Vec::new(),
        }
    }

    /// Applies the response to an announcement; a lease in it counts from `sent`.
    fn handle_lease(&self, sent: Instant, response: &LeaseAnswer) {
        let mut state = self.lock();
        state.holder = response.holder.as_ref().and_then(|text| text.parse().ok());
        if !state.admit_epoch(response.epoch, response.fence) {
            return;
        }
        if let Some(lease) = response.lease {
            state.lease = Some(sent + lease);
        }
        for attempt in &response.acknowledged {
            if state.attempts.get(attempt).is_some_and(|entry| entry.running.is_none()) {
                state.attempts.remove(attempt);
            }
        }
    }
}

impl State {
    /// Whether an attempt may start; records it, so that a concurrent duplicate is refused.
    ///
    /// Requires that neither the attempt nor a newer one of its task was started or stopped in this
    /// incarnation, and that the lease is valid if the attempt needs one. A start without a valid
    /// lease is ignored: the holder sends it again.
    fn admit_start(&mut self, attempt: TaskAttempt, needs_lease: bool) -> bool {
        let expired = self.lease.is_none_or(|lease| lease <= Instant::now());
        let seen = self.newest.get(&attempt.task).is_some_and(|newest| *newest >= attempt.attempt);
        if seen || (needs_lease && expired) {
            return false;
        }
        self.newest.insert(attempt.task, attempt.attempt);
        true
    }

    /// Whether a message with this epoch and fence is current; keeps the newest seen.
    fn admit_epoch(&mut self, epoch: Epoch, fence: Fence) -> bool {
        let newest = (self.epoch, self.fence).max((epoch, fence));
        (self.epoch, self.fence) = newest;
        newest == (epoch, fence)
    }
}

async fn announce(shared: Arc<Shared>, config: AnnounceConfig) {
    loop {
        let wait = announce_once(&shared, &config).await.unwrap_or(RETRY_DELAY);
        drop(timeout(wait, shared.wake.notified()).await);
    }
}

/// Announces the worker to the holder, or to the next instance if none is known. Returns the delay
/// until the next announcement, or `None` if this one failed.
async fn announce_once(shared: &Shared, config: &AnnounceConfig) -> Option<Duration> {
    let to = {
        let mut state = shared.lock();
        let next = state.next;
        state.next = next.wrapping_add(1);
        state
            .holder
            .or_else(|| config.instances.get(next % config.instances.len().max(1)).copied())?
    };
    let (sent, announcement) = (Instant::now(), shared.announcement());
    let bearer = config.bearer();
    let headers = [("authorization", bearer.as_str())];
    let call = net::post(to, "/v1/workers/announce", &headers, &announcement);
    let response = match timeout(ANNOUNCE_TIMEOUT, call).await {
        Ok(Ok(response)) if response.status == 200 => {
            serde_json::from_slice::<LeaseAnswer>(&response.body).ok()
        }
        Ok(_) | Err(_) => None,
    };
    let Some(response) = response else {
        shared.lock().holder = None;
        return None;
    };
    shared.handle_lease(sent, &response);
    let redirected = response.lease.is_none();
    Some(if redirected { RETRY_DELAY } else { response.interval })
}

impl AnnounceConfig {
    fn bearer(&self) -> String {
        format!("Bearer {}", self.key)
    }
}

/// Stops all batch tasks when the lease expires; replicas of services keep running.
async fn watch_lease(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(Duration::from_millis(20)).await;
        let stopped: Vec<TaskAttempt> = {
            let state = shared.lock();
            let expired = state.lease.is_some_and(|lease| lease <= Instant::now());
            let batch = |entry: &AttemptEntry| {
                entry.running.as_ref().is_some_and(|running| running.service().is_none())
            };
            state
                .attempts
                .iter()
                .filter(|(_, entry)| expired && batch(entry))
                .map(|(attempt, _)| *attempt)
                .collect()
        };
        for attempt in stopped {
            shared.end(attempt, AttemptState::Stopped { checkpoint: None });
        }
    }
}

#[handler]
async fn commands(Json(batch): Json<CommandBatch>, Data(shared): Data<&Arc<Shared>>) -> StatusCode {
    if !shared.lock().admit_epoch(batch.epoch, batch.fence) {
        return StatusCode::CONFLICT;
    }
    for command in batch.commands {
        execute(shared, command).await;
    }
    shared.wake.notify_one();
    StatusCode::OK
}

async fn execute(shared: &Arc<Shared>, command: WorkerCommand) {
    match command {
        WorkerCommand::Start(start) => run::start(shared, *start).await,
        WorkerCommand::Throttle { attempt, permille } => {
            if let Some(running) =
                shared.lock().attempts.get(&attempt).and_then(|entry| entry.running.as_ref())
            {
                running.throttle(permille);
            }
        }
        // Simulated batch tasks write checkpoints continuously.
        WorkerCommand::Checkpoint { .. } => {}
        WorkerCommand::Stop { attempt, .. } => {
            let known = shared.lock().attempts.contains_key(&attempt);
            if known {
                shared.end(attempt, AttemptState::Stopped { checkpoint: None });
            } else {
                // Records the stop, so that a start that arrives later is ignored.
                run::insert(
                    shared,
                    attempt,
                    AttemptState::Stopped { checkpoint: None },
                    None,
                    None,
                );
            }
        }
    }
}
