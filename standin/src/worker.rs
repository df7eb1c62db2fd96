//! A stand-in for a worker of the platform: it announces itself, runs tasks under a lease and
//! takes commands.

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

/// How long an announcement may take.
const ANNOUNCE: Duration = Duration::from_millis(800);

/// The wait after an announcement that nobody took.
const RETRY: Duration = Duration::from_millis(200);

/// How a stand-in worker is.
#[derive(Clone, Debug)]
pub struct WorkerSpec {
    /// Its name.
    pub name: WorkerName,
    /// Its data centre.
    pub centre: DataCentre,
    /// Its rack.
    pub rack: Rack,
    /// All it has.
    pub capacity: Resources,
    /// Requests that a target on it works on at a time.
    pub slots: u32,
    /// Connections that a target on it holds.
    pub connections: u32,
    /// How long a request takes if it doesn't say.
    pub service_time: Duration,
    /// Whether it fails whatever it starts.
    pub always_fails: bool,
}

/// Where a stand-in worker announces itself, and how it is known there.
#[derive(Clone, Debug)]
pub struct AnnounceConfig {
    /// Instances.
    pub instances: Vec<SocketAddr>,
    /// The key by which workers are known.
    pub key: String,
}

/// A stand-in worker that runs as tasks of the present runtime.
#[derive(Debug)]
pub struct Worker {
    /// What others know of it and what it does.
    pub shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

/// What the tasks of a stand-in worker share.
#[derive(Debug)]
pub struct Shared {
    /// How it is.
    pub spec: WorkerSpec,
    /// Where it takes commands.
    pub address: SocketAddr,
    /// What really runs.
    pub history: History,
    wake: Notify,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    incarnation: Incarnation,
    epoch: Epoch,
    fence: Fence,
    lease: Option<Instant>,
    leaving: bool,
    /// Tries that run, and ends that weren't acknowledged yet.
    tries: BTreeMap<TaskAttempt, Try>,
    /// The newest try of each task that was started or stopped in this boot.
    newest: BTreeMap<TaskId, Attempt>,
    holder: Option<SocketAddr>,
    next: usize,
}

#[derive(Debug)]
struct Try {
    state: AttemptState,
    running: Option<Running>,
    /// What stands before its target.
    relay: Option<Relay>,
    checkpoint: Option<Checkpoint>,
}

impl Worker {
    /// Starts a worker on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// No port can be had.
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
            incarnation: Incarnation(net::wall_millis()),
            epoch: Epoch(0),
            fence: Fence(0),
            lease: None,
            leaving: false,
            tries: BTreeMap::new(),
            newest: BTreeMap::new(),
            holder: None,
            next: 0,
        };
        let shared = Arc::new(Shared {
            spec,
            address,
            history,
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

    /// Says that the worker is leaving.
    pub fn leave(&self) {
        self.shared.lock().leaving = true;
        self.shared.wake.notify_one();
    }

    /// Ends the worker as a power cut would: everything on it stops at once.
    pub fn crash(self) {
        for task in &self.tasks {
            task.abort();
        }
        self.shared.stop_all();
    }

    /// Whatever stands before its targets loses track of the connections that are open.
    pub fn blackhole_connections(&self) {
        let state = self.shared.lock();
        state
            .tries
            .values()
            .filter_map(|this| this.relay.as_ref())
            .for_each(Relay::blackhole_connections);
    }

    /// Cuts the worker off from every instance; what runs on it goes on until its lease ends.
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

    /// The tries that run now.
    pub fn running(&self) -> Vec<TaskAttempt> {
        let state = self.lock();
        state.tries.iter().filter(|(_, t)| t.running.is_some()).map(|(a, _)| *a).collect()
    }

    /// Where targets on it take requests.
    pub fn targets(&self) -> Vec<SocketAddr> {
        let state = self.lock();
        let relays = state.tries.values().filter_map(|this| this.relay.as_ref());
        relays.map(|relay| relay.address).collect()
    }

    fn stop_all(&self) {
        let running: Vec<_> = self.running();
        for attempt in running {
            self.end(attempt, AttemptState::Stopped { checkpoint: None });
        }
    }

    /// Notes how a try ended, if it still runs.
    pub(crate) fn end(&self, attempt: TaskAttempt, state: AttemptState) {
        let mut locked = self.lock();
        let Some(this) = locked.tries.get_mut(&attempt) else { return };
        let Some(running) = this.running.take() else { return };
        running.stop();
        this.relay = None;
        this.state = match state {
            AttemptState::Stopped { checkpoint: None } => {
                AttemptState::Stopped { checkpoint: this.checkpoint.clone() }
            }
            state => state,
        };
        drop(locked);
        self.history.record(&self.spec.name, Event::Stopped(attempt));
        self.wake.notify_one();
    }

    /// Notes a whole checkpoint of a try that runs.
    pub(crate) fn checkpointed(&self, attempt: TaskAttempt, checkpoint: Checkpoint) {
        if let Some(this) = self.lock().tries.get_mut(&attempt)
            && this.running.is_some()
        {
            this.checkpoint = Some(checkpoint);
        }
    }

    fn announcement(&self) -> Announcement {
        let state = self.lock();
        let tasks = state
            .tries
            .iter()
            .map(|(attempt, this)| TaskReport { attempt: *attempt, state: this.state.clone() });
        let targets = state.tries.iter().filter_map(|(attempt, this)| {
            Some(TargetReport {
                service: this.running.as_ref()?.service()?.clone(),
                attempt: *attempt,
                address: this.relay.as_ref()?.address.to_string(),
                slots: self.spec.slots,
                connections: self.spec.connections,
            })
        });
        Announcement {
            worker: self.spec.name.clone(),
            incarnation: state.incarnation,
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

    /// Takes in a lease that counts from `sent`.
    fn leased(&self, sent: Instant, answer: &LeaseAnswer) {
        let mut state = self.lock();
        state.holder = answer.holder.as_ref().and_then(|text| text.parse().ok());
        if !state.admit(answer.epoch, answer.fence) {
            return;
        }
        if let Some(lease) = answer.lease {
            state.lease = Some(sent + lease);
        }
        for attempt in &answer.acknowledged {
            if state.tries.get(attempt).is_some_and(|this| this.running.is_none()) {
                state.tries.remove(attempt);
            }
        }
    }
}

impl State {
    /// Whether a try may start here; of two commands that come at once, only for the first.
    ///
    /// Neither it nor a newer one was started or stopped in this boot, and the lease holds if it
    /// needs one. A start without a lease is ignored: the holder sends it again.
    fn admit_start(&mut self, attempt: TaskAttempt, needs_lease: bool) -> bool {
        let lapsed = self.lease.is_none_or(|lease| lease <= Instant::now());
        let known = self.newest.get(&attempt.task).is_some_and(|newest| *newest >= attempt.attempt);
        if known || (needs_lease && lapsed) {
            return false;
        }
        self.newest.insert(attempt.task, attempt.attempt);
        true
    }

    /// Whether words under this epoch and fence are obeyed; the newest are remembered.
    fn admit(&mut self, epoch: Epoch, fence: Fence) -> bool {
        let newest = (self.epoch, self.fence).max((epoch, fence));
        (self.epoch, self.fence) = newest;
        newest == (epoch, fence)
    }
}

async fn announce(shared: Arc<Shared>, config: AnnounceConfig) {
    loop {
        let wait = announce_once(&shared, &config).await.unwrap_or(RETRY);
        drop(timeout(wait, shared.wake.notified()).await);
    }
}

/// Announces the worker to the holder, or to the next instance; the wait until the next time.
async fn announce_once(shared: &Shared, config: &AnnounceConfig) -> Option<Duration> {
    let to = {
        let mut state = shared.lock();
        let next = state.next;
        state.next = next.wrapping_add(1);
        state
            .holder
            .or_else(|| config.instances.get(next % config.instances.len().max(1)).copied())?
    };
    let (sent, said) = (Instant::now(), shared.announcement());
    let bearer = config.bearer();
    let headers = [("authorization", bearer.as_str())];
    let call = net::post(to, "/v1/workers/announce", &headers, &said);
    let answer = match timeout(ANNOUNCE, call).await {
        Ok(Ok(answer)) if answer.status == 200 => {
            serde_json::from_slice::<LeaseAnswer>(&answer.body).ok()
        }
        Ok(_) | Err(_) => None,
    };
    let Some(answer) = answer else {
        shared.lock().holder = None;
        return None;
    };
    shared.leased(sent, &answer);
    let redirected = answer.lease.is_none();
    Some(if redirected { RETRY } else { answer.interval })
}

impl AnnounceConfig {
    fn bearer(&self) -> String {
        format!("Bearer {}", self.key)
    }
}

/// Stops every batch task when the lease runs out; replicas of services go on.
async fn watch_lease(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(Duration::from_millis(20)).await;
        let over: Vec<TaskAttempt> = {
            let state = shared.lock();
            let lapsed = state.lease.is_some_and(|lease| lease <= Instant::now());
            let batch = |this: &Try| this.running.as_ref().is_some_and(|r| r.service().is_none());
            state.tries.iter().filter(|(_, t)| lapsed && batch(t)).map(|(a, _)| *a).collect()
        };
        for attempt in over {
            shared.end(attempt, AttemptState::Stopped { checkpoint: None });
        }
    }
}

#[handler]
async fn commands(Json(batch): Json<CommandBatch>, Data(shared): Data<&Arc<Shared>>) -> StatusCode {
    if !shared.lock().admit(batch.epoch, batch.fence) {
        return StatusCode::CONFLICT;
    }
    for command in batch.commands {
        carry_out(shared, command).await;
    }
    shared.wake.notify_one();
    StatusCode::OK
}

async fn carry_out(shared: &Arc<Shared>, command: WorkerCommand) {
    match command {
        WorkerCommand::Start(start) => run::start(shared, *start).await,
        WorkerCommand::Throttle { attempt, permille } => {
            if let Some(running) =
                shared.lock().tries.get(&attempt).and_then(|t| t.running.as_ref())
            {
                running.throttle(permille);
            }
        }
        // The stand-in's batch tasks write checkpoints all the time.
        WorkerCommand::Checkpoint { .. } => {}
        WorkerCommand::Stop { attempt, .. } => {
            let known = shared.lock().tries.contains_key(&attempt);
            if known {
                shared.end(attempt, AttemptState::Stopped { checkpoint: None });
            } else {
                // It is stopped for good: a start that comes later is ignored.
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
