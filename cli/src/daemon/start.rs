//! Starts each duty of an instance in a thread of its own.

use std::sync::Arc;

use crossbeam_channel::Receiver;
use hickorylink_lib::{
    consensus::log::Write,
    directory::Directory,
    instance::{
        components::{RouterComponent, SchedulerComponent},
        port::{DispatchCommand, LogEvent},
    },
    replicated_log::{ReplicatedLog, port::Event as ReplicatedLogEvent},
    settings::Settings,
};
use slog::{Logger, error};
use snafu::ResultExt as _;
use tokio::{
    runtime::{Builder, Runtime},
    sync::{mpsc, watch},
};

use crate::{
    clock::Clock,
    daemon::{DaemonError, Fault, StartSnafu},
    duty::{
        self, counts::Input as CountsInput, peers::Input as PeersInput,
        router::Input as RouterInput, scheduler::Input as SchedulerInput, spawn, storage::LogStore,
    },
    frame::PeerKey,
    frontend::Frontend,
    metrics::Metrics,
    outboxes::{FrontEvent, Outboxes, Rings},
    ring::RingStats,
    storage::{Folder, counts::CountsFile},
};

/// What the duties of an instance share at their start.
pub(super) struct Starter<'s> {
    pub(super) settings: &'s Settings,
    pub(super) rings: &'s Rings,
    pub(super) clock: Clock,
    pub(super) log: &'s Logger,
    pub(super) fault: mpsc::Sender<Fault>,
}

/// What the directory's duty signals while the instance shuts down.
pub(super) struct Left {
    /// The router has no requests in flight any more.
    pub(super) drained: mpsc::Sender<()>,
    /// The consensus group doesn't need this instance's vote any more.
    pub(super) handed_over: mpsc::Sender<()>,
}

/// An asynchronous runtime for a single thread.
pub(super) fn runtime() -> Result<Runtime, DaemonError> {
    Builder::new_current_thread().enable_all().build().context(StartSnafu)
}

impl Starter<'_> {
    fn outboxes(&self, own_stats: &Arc<RingStats>) -> Outboxes {
        Outboxes::new(self.rings, own_stats)
    }

    pub(super) fn log_events(
        &self,
        receiver: Receiver<LogEvent>,
        metrics: &Arc<Metrics>,
    ) -> Result<(), DaemonError> {
        let (metrics, log) = (metrics.clone(), self.log.clone());
        thread("notes", move || duty::log_events::log_events(&receiver, &metrics, &log))
    }

    pub(super) fn storage(
        &self,
        receiver: Receiver<Write>,
        store: LogStore<Folder>,
    ) -> Result<(), DaemonError> {
        let outboxes = self.outboxes(self.rings.storage.stats());
        let (fault, clock, log) = (self.fault.clone(), self.clock, self.log.clone());
        thread("storage", move || {
            if duty::storage::storage(&receiver, outboxes, store, clock, &log) {
                drop(fault.blocking_send(Fault::Disk));
            }
        })
    }

    pub(super) fn replicated_log(
        &self,
        receiver: Receiver<ReplicatedLogEvent>,
        replicated_log: ReplicatedLog,
    ) -> Result<(), DaemonError> {
        let (outboxes, clock) = (self.outboxes(self.rings.replicated_log.stats()), self.clock);
        thread("council", move || {
            duty::replicated_log::replicated_log(&receiver, clock, outboxes, replicated_log)
        })
    }

    pub(super) fn router(
        &self,
        receiver: Receiver<RouterInput>,
        router: RouterComponent,
    ) -> Result<(), DaemonError> {
        let (outboxes, clock) = (self.outboxes(self.rings.router.stats()), self.clock);
        thread("router", move || duty::router::router(&receiver, clock, outboxes, router))
    }

    pub(super) fn counts(
        &self,
        receiver: Receiver<CountsInput>,
        file: CountsFile<Folder>,
        saved: mpsc::Sender<()>,
    ) -> Result<(), DaemonError> {
        let (clock, router, log) = (self.clock, self.rings.router.clone(), self.log.clone());
        let setup = duty::counts::Setup { file, clock, router, saved, log };
        thread("counts", move || duty::counts::counts(&receiver, setup))
    }

    pub(super) fn scheduler(
        &self,
        receiver: Receiver<SchedulerInput>,
        scheduler: SchedulerComponent,
    ) -> Result<(), DaemonError> {
        let (outboxes, clock) = (self.outboxes(self.rings.scheduler.stats()), self.clock);
        thread("scheduler", move || {
            duty::scheduler::scheduler(&receiver, clock, outboxes, scheduler)
        })
    }

    pub(super) fn peers(
        &self,
        receiver: mpsc::Receiver<PeersInput>,
        directory: Directory,
        left: Left,
        metrics: &Arc<Metrics>,
    ) -> Result<(), DaemonError> {
        let (outboxes, rings) = (self.outboxes(self.rings.peers.stats()), self.rings.clone());
        let (fault, log, runtime) = (self.fault.clone(), self.log.clone(), runtime()?);
        let setup = duty::peers::Setup {
            listen: self.settings.peer_listen,
            key: PeerKey::new(&self.settings.peer_key),
            clock: self.clock,
            log: log.clone(),
            metrics: metrics.clone(),
            drained: left.drained,
            handed_over: left.handed_over,
        };
        thread("peers", move || {
            let served =
                runtime.block_on(duty::peers::peers(receiver, rings, outboxes, directory, setup));
            if let Err(problem) = served {
                error!(log, "can't listen for other instances"; "error" => %problem);
                drop(fault.blocking_send(Fault::Listen));
            }
        })
    }

    pub(super) fn dispatch(
        &self,
        receiver: mpsc::Receiver<DispatchCommand>,
    ) -> Result<(), DaemonError> {
        let (outboxes, rings) = (self.outboxes(self.rings.dispatch.stats()), self.rings.clone());
        let (log, runtime) = (self.log.clone(), runtime()?);
        thread("dispatch", move || {
            runtime.block_on(duty::dispatch::dispatch(receiver, rings, outboxes, log));
        })
    }

    pub(super) fn front(
        &self,
        receiver: mpsc::Receiver<FrontEvent>,
        front: Arc<Frontend>,
        stop: watch::Receiver<bool>,
    ) -> Result<(), DaemonError> {
        let (listen, drain) = (self.settings.listen, self.settings.limits.drain);
        let (fault, log, runtime) = (self.fault.clone(), self.log.clone(), runtime()?);
        thread("front", move || {
            runtime.block_on(duty::frontend::frontend(receiver, front, listen, drain, stop, log));
            drop(fault.blocking_send(Fault::Listen));
        })
    }
}

/// Starts the thread of a duty, which runs until the process ends.
fn thread(name: &str, duty: impl FnOnce() + Send + 'static) -> Result<(), DaemonError> {
    spawn(name, duty).map(drop).context(StartSnafu)
}
