//! The duties of an instance, each started as a thread of its own.

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
        self, counts::Save, peers::Post, router::Job as RouterJob, scheduler::Job, spawn,
        storage::Keep,
    },
    frame::PeerKey,
    front::Desk,
    mail::{FrontNews, Mail, Rings},
    metrics::Metrics,
    ring::RingStats,
    storage::{Folder, counts::CountsFile},
};

/// What every duty of an instance is started with.
pub(super) struct Starter<'s> {
    pub(super) settings: &'s Settings,
    pub(super) rings: &'s Rings,
    pub(super) clock: Clock,
    pub(super) log: &'s Logger,
    pub(super) fault: mpsc::Sender<Fault>,
}

/// A runtime for the thread that asks for it.
pub(super) fn runtime() -> Result<Runtime, DaemonError> {
    Builder::new_current_thread().enable_all().build().context(StartSnafu)
}

impl Starter<'_> {
    fn mail(&self, own: &Arc<RingStats>) -> Mail {
        Mail::new(self.rings, own)
    }

    pub(super) fn notes(
        &self,
        end: Receiver<LogEvent>,
        metrics: &Arc<Metrics>,
    ) -> Result<(), DaemonError> {
        let (metrics, log) = (metrics.clone(), self.log.clone());
        thread("notes", move || duty::notes::notes(&end, &metrics, &log))
    }

    pub(super) fn storage(
        &self,
        end: Receiver<Write>,
        keep: Keep<Folder>,
    ) -> Result<(), DaemonError> {
        let mail = self.mail(self.rings.storage.stats());
        let (fault, log) = (self.fault.clone(), self.log.clone());
        thread("storage", move || {
            if duty::storage::storage(&end, mail, keep, &log) {
                drop(fault.blocking_send(Fault::Disk));
            }
        })
    }

    pub(super) fn replicated_log(
        &self,
        end: Receiver<ReplicatedLogEvent>,
        replicated_log: ReplicatedLog,
    ) -> Result<(), DaemonError> {
        let (mail, clock) = (self.mail(self.rings.replicated_log.stats()), self.clock);
        thread("council", move || {
            duty::replicated_log::replicated_log(&end, clock, mail, replicated_log)
        })
    }

    pub(super) fn router(
        &self,
        end: Receiver<RouterJob>,
        router: RouterComponent,
    ) -> Result<(), DaemonError> {
        let (mail, clock) = (self.mail(self.rings.router.stats()), self.clock);
        thread("router", move || duty::router::router(&end, clock, mail, router))
    }

    pub(super) fn counts(
        &self,
        end: Receiver<Save>,
        file: CountsFile<Folder>,
        saved: mpsc::Sender<()>,
    ) -> Result<(), DaemonError> {
        let (clock, router, log) = (self.clock, self.rings.router.clone(), self.log.clone());
        let setup = duty::counts::Setup { file, clock, router, saved, log };
        thread("counts", move || duty::counts::counts(&end, setup))
    }

    pub(super) fn scheduler(
        &self,
        end: Receiver<Job>,
        scheduler: SchedulerComponent,
    ) -> Result<(), DaemonError> {
        let (mail, clock) = (self.mail(self.rings.scheduler.stats()), self.clock);
        thread("scheduler", move || duty::scheduler::scheduler(&end, clock, mail, scheduler))
    }

    pub(super) fn peers(
        &self,
        end: mpsc::Receiver<Post>,
        directory: Directory,
        drained: mpsc::Sender<()>,
        metrics: &Arc<Metrics>,
    ) -> Result<(), DaemonError> {
        let (mail, rings) = (self.mail(self.rings.peers.stats()), self.rings.clone());
        let (fault, log, runtime) = (self.fault.clone(), self.log.clone(), runtime()?);
        let setup = duty::peers::Setup {
            listen: self.settings.peer_listen,
            key: PeerKey::new(&self.settings.peer_key),
            clock: self.clock,
            log: log.clone(),
            metrics: metrics.clone(),
            drained,
        };
        thread("peers", move || {
            let served = runtime.block_on(duty::peers::peers(end, rings, mail, directory, setup));
            if let Err(problem) = served {
                error!(log, "the peers' duty ended"; "error" => %problem);
                drop(fault.blocking_send(Fault::Listen));
            }
        })
    }

    pub(super) fn dispatch(&self, end: mpsc::Receiver<DispatchCommand>) -> Result<(), DaemonError> {
        let (mail, rings) = (self.mail(self.rings.dispatch.stats()), self.rings.clone());
        let (log, runtime) = (self.log.clone(), runtime()?);
        thread("dispatch", move || {
            runtime.block_on(duty::dispatch::dispatch(end, rings, mail, log));
        })
    }

    pub(super) fn front(
        &self,
        end: mpsc::Receiver<FrontNews>,
        desk: Arc<Desk>,
        stop: watch::Receiver<bool>,
    ) -> Result<(), DaemonError> {
        let (listen, drain) = (self.settings.listen, self.settings.limits.drain);
        let (fault, log, runtime) = (self.fault.clone(), self.log.clone(), runtime()?);
        thread("front", move || {
            runtime.block_on(duty::front::front(end, desk, listen, drain, stop, log));
            drop(fault.blocking_send(Fault::Listen));
        })
    }
}

/// Starts a duty's thread, which runs as long as the process.
fn thread(name: &str, duty: impl FnOnce() + Send + 'static) -> Result<(), DaemonError> {
    spawn(name, duty).map(drop).context(StartSnafu)
}
