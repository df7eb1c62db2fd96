//! A whole instance: its duties, the rings between them, and how it starts and leaves.

use std::{io, path::Path, sync::Arc, time::Duration};

use crossbeam_channel as ring;
use hickorylink_lib::{
    consensus::log::{Recovered, Write},
    directory::{Directory, port as directory},
    ids::InstanceId,
    instance::{
        components::{RouterComponent, SchedulerComponent},
        port::{DispatchCommand, LogEvent},
    },
    replicated_log::{ReplicatedLog, port as replicated_log},
    router::port as router,
    settings::Settings,
    time::WallTime,
};
use slog::{Logger, info, warn};
use snafu::{ResultExt, Snafu};
use tokio::{
    runtime::Runtime,
    signal::unix::{SignalKind, signal},
    sync::{mpsc, watch},
};

use crate::{
    clock::Clock,
    daemon::start::{Starter, runtime},
    duty::{
        counts::Input as CountsInput, peers::Input as PeersInput, router::Input as RouterInput,
        scheduler::Input as SchedulerInput, storage::LogStore,
    },
    front::Front,
    log,
    metrics::Metrics,
    outboxes::{FrontEvent, Rings},
    ring::{runtime_ring, thread_ring},
    storage::{
        Folder, Identity, MAX_SEGMENT_BYTES, Store, StoreError,
        counts::{self, CountsError, CountsFile},
    },
};

mod config;
mod start;

/// Room in a duty's ring.
const RING_CAPACITY: usize = 16_384;

/// Room in storage's ring: it takes all it finds at once.
const STORAGE_RING_CAPACITY: usize = 4096;

/// Room for counts to be saved.
const COUNTS_RING_CAPACITY: usize = 4;

/// Room for lines to the log.
const LOG_EVENTS_RING_CAPACITY: usize = 8192;

/// How long the instance goes on beating and voting after its last request, so that others
/// learn that it left.
const LINGER: Duration = Duration::from_millis(600);

/// How long an instance that leaves waits for its counts to be saved.
const FINAL_SAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Why an instance can't run.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// Its data folder can't be used.
    #[snafu(display("{source}"))]
    Data {
        /// What is wrong.
        source: StoreError,
    },
    /// The newest snapshot can't be read.
    #[snafu(display("the newest snapshot can't be read: {message}"))]
    Snapshot {
        /// What is wrong.
        message: String,
    },
    /// A thread or a runtime can't be started.
    #[snafu(display("can't start a duty: {source}"))]
    Start {
        /// What went wrong.
        source: io::Error,
    },
    /// The disk failed while the instance ran.
    #[snafu(display("the disk failed; see the log"))]
    Disk,
    /// An address can't be listened on.
    #[snafu(display("an address can't be listened on; see the log"))]
    Listen,
}

/// The receiving ends of all rings.
struct Receivers {
    replicated_log: ring::Receiver<replicated_log::Event>,
    storage: ring::Receiver<Write>,
    scheduler: ring::Receiver<SchedulerInput>,
    router: ring::Receiver<RouterInput>,
    front: mpsc::Receiver<FrontEvent>,
    peers: mpsc::Receiver<PeersInput>,
    dispatch: mpsc::Receiver<DispatchCommand>,
    counts: ring::Receiver<CountsInput>,
    log_events: ring::Receiver<LogEvent>,
}

/// What stops the instance from outside its components.
#[derive(Debug)]
enum Fault {
    Disk,
    Listen,
}

/// Runs an instance until it is told to leave.
///
/// # Errors
///
/// [`DaemonError`] if it can't start or its disk fails.
pub fn run(settings: Settings) -> Result<(), DaemonError> {
    let clock = Clock::start();
    // Its guard lives as long as the instance, and writes what waits at the end.
    let log_guard = log::start(settings.log, settings.name.as_str(), clock);
    let log = &log_guard.root;
    let (me, store, recovered) = open_store(&settings, clock.wall(), log)?;
    let config = config::config(&settings, me, clock.wall());
    let (rings, receivers) = rings();
    let metrics = Arc::new(Metrics::default());
    let now = clock.now();
    let replicated_log = ReplicatedLog::new(config.replicated_log, recovered, now)
        .map_err(|error| DaemonError::Snapshot { message: error.to_string() })?;
    let directory = Directory::new(config.directory, now);
    let mut router = RouterComponent::new(me, config.router, now, config.seed);
    let counts = restore_counts(&settings, clock, &mut router, log);
    let scheduler =
        SchedulerComponent::new(settings.centre.clone(), config.scheduler, now, config.seed);
    let front = Front::new(settings.clone(), rings.clone(), clock, metrics.clone(), &log_guard);
    let front = Arc::new(front);
    let components =
        Components { replicated_log, directory, router, scheduler, store, counts, front };
    info!(log, "the instance starts"; "id" => me.0, "listen" => %settings.listen);
    let running = start(settings, rings, receivers, components, clock, &metrics, log)?;
    running.run_until_shutdown(log)
}

struct Components {
    replicated_log: ReplicatedLog,
    directory: Directory,
    router: RouterComponent,
    scheduler: SchedulerComponent,
    store: LogStore<Folder>,
    counts: Option<CountsFile<Folder>>,
    front: Arc<Front>,
}

struct Running {
    settings: Settings,
    rings: Rings,
    front: Arc<Front>,
    stop_front: watch::Sender<bool>,
    drained: mpsc::Receiver<()>,
    saved: mpsc::Receiver<()>,
    faults: mpsc::Receiver<Fault>,
    runtime: Runtime,
}

fn open_store(
    settings: &Settings,
    wall: WallTime,
    log: &Logger,
) -> Result<(InstanceId, LogStore<Folder>, Recovered), DaemonError> {
    let fresh = InstanceId(rand::random());
    let Some(folder) = &settings.data else {
        return Ok((fresh, LogStore::Discard, Recovered::default()));
    };
    let fresh = Identity { instance: fresh, created: wall };
    let opened = Store::open(Folder::new(folder), fresh, MAX_SEGMENT_BYTES).context(DataSnafu)?;
    if let Some(cut) = &opened.truncation {
        warn!(log, "a torn end of the log was cut";
            "file" => &cut.name, "offset" => cut.offset, "bytes" => cut.bytes);
    }
    Ok((opened.identity.instance, LogStore::Disk(opened.store), opened.recovered))
}

/// Reads the counts of the burn report that an earlier process kept; without them the report
/// says how much of its windows it covers.
fn restore_counts(
    settings: &Settings,
    clock: Clock,
    component: &mut RouterComponent,
    log: &Logger,
) -> Option<CountsFile<Folder>> {
    let path = Path::new(settings.data.as_ref()?).join(counts::FOLDER);
    let opened = CountsFile::open(Folder::new(path));
    let mut file = opened.map_err(|error| warn_counts(log, &error)).ok()?;
    match file.load() {
        Ok(Some(snapshot)) => {
            let now = clock.now();
            component.router.restore_burn(now, clock.wall_at(now), snapshot);
        }
        Ok(None) => {}
        Err(error) => warn_counts(log, &error),
    }
    Some(file)
}

fn warn_counts(log: &Logger, error: &CountsError) {
    warn!(log, "the burn report starts without earlier counts"; "error" => %error);
}

fn rings() -> (Rings, Receivers) {
    let (replicated_log, replicated_log_receiver) = thread_ring("council", RING_CAPACITY);
    let (storage, storage_receiver) = thread_ring("storage", STORAGE_RING_CAPACITY);
    let (scheduler, scheduler_receiver) = thread_ring("scheduler", RING_CAPACITY);
    let (router, router_receiver) = thread_ring("router", RING_CAPACITY);
    let (front, front_receiver) = runtime_ring("front", RING_CAPACITY);
    let (peers, peers_receiver) = runtime_ring("peers", RING_CAPACITY);
    let (dispatch, dispatch_receiver) = runtime_ring("dispatch", RING_CAPACITY);
    let (counts, counts_receiver) = thread_ring("counts", COUNTS_RING_CAPACITY);
    let (log_events, log_events_receiver) = thread_ring("notes", LOG_EVENTS_RING_CAPACITY);
    let rings = Rings {
        replicated_log,
        storage,
        scheduler,
        router,
        front,
        peers,
        dispatch,
        counts,
        log_events,
    };
    let receivers = Receivers {
        replicated_log: replicated_log_receiver,
        storage: storage_receiver,
        scheduler: scheduler_receiver,
        router: router_receiver,
        front: front_receiver,
        peers: peers_receiver,
        dispatch: dispatch_receiver,
        counts: counts_receiver,
        log_events: log_events_receiver,
    };
    (rings, receivers)
}

fn start(
    settings: Settings,
    rings: Rings,
    receivers: Receivers,
    components: Components,
    clock: Clock,
    metrics: &Arc<Metrics>,
    log: &Logger,
) -> Result<Running, DaemonError> {
    let (fault, faults) = mpsc::channel(4);
    let (drained_sender, drained) = mpsc::channel(1);
    let (saved_sender, saved) = mpsc::channel(1);
    let (stop_front, stop) = watch::channel(false);
    let starter = Starter { settings: &settings, rings: &rings, clock, log, fault };
    starter.log_events(receivers.log_events, metrics)?;
    starter.storage(receivers.storage, components.store)?;
    starter.replicated_log(receivers.replicated_log, components.replicated_log)?;
    starter.router(receivers.router, components.router)?;
    if let Some(file) = components.counts {
        starter.counts(receivers.counts, file, saved_sender)?;
    }
    starter.scheduler(receivers.scheduler, components.scheduler)?;
    starter.peers(receivers.peers, components.directory, drained_sender, metrics)?;
    starter.dispatch(receivers.dispatch)?;
    starter.front(receivers.front, components.front.clone(), stop)?;
    let (front, runtime) = (components.front, runtime()?);
    Ok(Running { settings, rings, front, stop_front, drained, saved, faults, runtime })
}

impl Running {
    /// Waits until the instance is told to leave, and lets it leave.
    fn run_until_shutdown(self, log: &Logger) -> Result<(), DaemonError> {
        let Self {
            settings,
            rings,
            front,
            stop_front,
            mut drained,
            mut saved,
            mut faults,
            runtime,
        } = self;
        runtime.block_on(async move {
            let mut term = signal(SignalKind::terminate()).context(StartSnafu)?;
            let mut interrupt = signal(SignalKind::interrupt()).context(StartSnafu)?;
            tokio::select! {
                _ = term.recv() => {}
                _ = interrupt.recv() => {}
                fault = faults.recv() => {
                    return match fault {
                        Some(Fault::Disk) => DiskSnafu.fail(),
                        Some(Fault::Listen) | None => ListenSnafu.fail(),
                    };
                }
            }
            info!(log, "the instance leaves once its requests have ended");
            front.drain();
            drop(rings.peers.push(PeersInput::Event(directory::Event::Draining)));
            drop(rings.replicated_log.push(replicated_log::Event::Draining));
            drop(rings.router.push(router::Event::Drain));
            let waited = tokio::time::timeout(settings.limits.drain, drained.recv()).await;
            if waited.is_err() {
                warn!(log, "requests were still under way when the time to leave ran out");
            }
            stop_front.send_replace(true);
            if settings.data.is_some() && rings.counts.push(CountsInput::Leave).is_ok() {
                // Nothing comes if the duty couldn't be started; its channel is closed then.
                drop(tokio::time::timeout(FINAL_SAVE_TIMEOUT, saved.recv()).await);
            }
            tokio::time::sleep(LINGER).await;
            info!(log, "the instance has left");
            Ok(())
        })
    }
}
