//! An instance of the scheduler: its duties, the rings between them, its start and its shutdown.

use std::{convert::Infallible, io, path::Path, sync::Arc, time::Duration};

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
use hickorylink_runtime::reload::watch_addresses;
use slog::{Logger, info, warn};
use snafu::{ResultExt, Snafu};
use tokio::{
    runtime::Runtime,
    signal::unix::{SignalKind, signal},
    sync::{mpsc, watch},
    time::{sleep, timeout},
};

use crate::{
    clock::Clock,
    daemon::start::{Left, Starter, runtime},
    duty::{
        counts::Input as CountsInput, peers::Input as PeersInput, router::Input as RouterInput,
        scheduler::Input as SchedulerInput, storage::LogStore,
    },
    frontend::Frontend,
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

/// The capacity of most rings, in items.
const RING_CAPACITY: usize = 16_384;

/// The capacity of the ring to storage. It is smaller, as storage takes many queued writes at once.
const STORAGE_RING_CAPACITY: usize = 4096;

/// The capacity of the ring to the duty that saves the burn report's counts.
const COUNTS_RING_CAPACITY: usize = 4;

/// The capacity of the ring to the log and the metrics.
const LOG_EVENTS_RING_CAPACITY: usize = 8192;

/// How long the instance still sends heartbeats and votes after its last request, so that the
/// others learn that it is draining before it stops.
const LINGER: Duration = Duration::from_millis(600);

/// How long an instance that shuts down waits for a standby to take over its vote.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);

/// How long an instance that shuts down waits for the burn report's counts to be saved.
const FINAL_SAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// The reason that an instance couldn't start or stopped early.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// The data folder can't be used.
    #[snafu(display("{source}"))]
    Data {
        /// The error of the store.
        source: StoreError,
    },
    /// The newest snapshot can't be read.
    #[snafu(display("the newest snapshot can't be read: {message}"))]
    Snapshot {
        /// The decoding error.
        message: String,
    },
    /// A thread or an asynchronous runtime can't be started.
    #[snafu(display("can't start a thread: {source}"))]
    Start {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The disk failed while the instance was running.
    #[snafu(display("the disk failed; see the log"))]
    Disk,
    /// The instance can't listen on one of its addresses.
    #[snafu(display("can't listen on an address; see the log"))]
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

/// A failure in a duty that stops the instance.
#[derive(Debug)]
enum Fault {
    Disk,
    Listen,
}

/// Runs an instance until a signal tells it to shut down. `reload` reads the settings again, if that is
/// possible.
///
/// # Errors
///
/// [`DaemonError`] if it can't start, or its disk or one of its listeners fails.
pub fn run(settings: Settings, reload: impl Fn() -> Option<Settings>) -> Result<(), DaemonError> {
    let clock = Clock::start();
    // Dropping the log's guard writes the lines that are still buffered.
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
    let front = Frontend::new(settings.clone(), rings.clone(), clock, metrics.clone(), &log_guard);
    let front = Arc::new(front);
    let components =
        Components { replicated_log, directory, router, scheduler, store, counts, front };
    info!(log, "the instance starts"; "id" => me.0, "listen" => %settings.listen);
    let running = start(settings, rings, receivers, components, clock, &metrics, log)?;
    running.run_until_shutdown(reload, log)
}

struct Components {
    replicated_log: ReplicatedLog,
    directory: Directory,
    router: RouterComponent,
    scheduler: SchedulerComponent,
    store: LogStore<Folder>,
    counts: Option<CountsFile<Folder>>,
    front: Arc<Frontend>,
}

struct Running {
    settings: Settings,
    rings: Rings,
    front: Arc<Frontend>,
    /// Stops the front end once it is set to true.
    stop_front: watch::Sender<bool>,
    /// Signalled when the router has no requests in flight any more.
    drained: mpsc::Receiver<()>,
    /// Signalled when the consensus group doesn't need this instance's vote any more.
    handed_over: mpsc::Receiver<()>,
    /// Signalled when the burn report's counts are saved for the last time.
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
    if let Some(truncation) = &opened.truncation {
        warn!(log, "truncated a torn write at the end of the log";
            "file" => &truncation.name, "offset" => truncation.offset, "bytes" => truncation.bytes);
    }
    Ok((opened.identity.instance, LogStore::Disk(opened.store), opened.recovered))
}

/// Restores the burn report's counts that an earlier process saved. Without them the report states
/// how much of each window it covers.
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
    let (handed_sender, handed_over) = mpsc::channel(1);
    let left = Left { drained: drained_sender, handed_over: handed_sender };
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
    starter.peers(receivers.peers, components.directory, left, metrics)?;
    starter.dispatch(receivers.dispatch)?;
    starter.front(receivers.front, components.front.clone(), stop)?;
    let (front, runtime) = (components.front, runtime()?);
    Ok(Running { settings, rings, front, stop_front, drained, handed_over, saved, faults, runtime })
}

impl Running {
    /// Waits for a signal to shut down, drains the requests in flight, and stops the instance.
    fn run_until_shutdown(
        self,
        reload: impl Fn() -> Option<Settings>,
        log: &Logger,
    ) -> Result<(), DaemonError> {
        let Self {
            settings,
            rings,
            front,
            stop_front,
            mut drained,
            mut handed_over,
            mut saved,
            mut faults,
            runtime,
        } = self;
        runtime.block_on(async move {
            let mut term = signal(SignalKind::terminate()).context(StartSnafu)?;
            let mut interrupt = signal(SignalKind::interrupt()).context(StartSnafu)?;
            let read_peers = || reload().map(|settings| settings.peers);
            let send_peers =
                |seeds| rings.peers.push(PeersInput::Event(directory::Event::Seeds(seeds))).is_ok();
            tokio::select! {
                _ = term.recv() => {}
                _ = interrupt.recv() => {}
                ended = watch_addresses(settings.peers, read_peers, send_peers, log) => {
                    let _: Infallible = ended.context(StartSnafu)?;
                }
                fault = faults.recv() => {
                    return match fault {
                        Some(Fault::Disk) => DiskSnafu.fail(),
                        Some(Fault::Listen) | None => ListenSnafu.fail(),
                    };
                }
            }
            info!(log, "the instance shuts down once its requests have ended");
            front.drain();
            drop(rings.peers.push(PeersInput::Event(directory::Event::Draining)));
            drop(rings.replicated_log.push(replicated_log::Event::Draining));
            drop(rings.router.push(router::Event::Drain));
            let grace = settings.limits.drain;
            let drain = timeout(grace, drained.recv());
            let handover = timeout(grace.min(HANDOVER_TIMEOUT), handed_over.recv());
            let (drained, handed_over) = tokio::join!(drain, handover);
            if drained.is_err() {
                warn!(log, "requests were still in progress when the grace period ended");
            }
            if handed_over.is_err() {
                warn!(log, "no standby took over this voter's place in time");
            }
            stop_front.send_replace(true);
            if settings.data.is_some() && rings.counts.push(CountsInput::Shutdown).is_ok() {
                // If the duty wasn't started, `saved` is closed and this returns at once.
                drop(timeout(FINAL_SAVE_TIMEOUT, saved.recv()).await);
            }
            sleep(LINGER).await;
            info!(log, "the instance has shut down");
            Ok(())
        })
    }
}
