//! The connections of all listeners of a process, and the budgets that they share.
//!
//! [`Admission`] decides; this module runs the tasks of the connections, ends those that are to be
//! closed, and counts and logs why.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use hickorylink_lib::{
    clients::{
        Admission, Cause, Closing, ConnectionId, Limits, Listener, Pauses, Phase, Share, Timeouts,
        Usage,
    },
    time::Time,
};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};
use slog::{Logger, info, warn};
use tokio::{sync::Notify, task::AbortHandle, time::sleep};

use crate::{
    clock::Clock,
    metrics::{IntGauge, saturating_i64},
    settings::Settings,
};

/// The bytes of a megabyte in the settings.
const MEGABYTE: u64 = 1_000_000;

/// The interval between two log lines on the same cause at the same listener.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    listener: &'static str,
    cause: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ListenerLabels {
    listener: &'static str,
}

/// The connections of a process. Clones share them.
#[derive(Clone, Debug)]
pub struct Clients {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    clock: Clock,
    log: Logger,
    /// Wakes [`Clients::watch`] when a connection is opened while none is open.
    opened: Notify,
    refused: Family<RefusalLabels, Counter>,
    connections: Family<ListenerLabels, IntGauge>,
    bytes: Family<ListenerLabels, IntGauge>,
}

#[derive(Debug)]
struct State {
    admission: Admission,
    pauses: Pauses,
    tasks: HashMap<ConnectionId, AbortHandle>,
    reports: HashMap<(Listener, Cause), Report>,
    /// Whether [`Clients::watch`] waits for a connection.
    watch_idle: bool,
}

/// What was refused since the last log line.
#[derive(Clone, Copy, Debug)]
struct Report {
    logged: Option<Time>,
    count: u64,
}

/// The slot of a connection, which is returned when this is dropped.
#[derive(Debug)]
pub struct Slot {
    clients: Clients,
    id: ConnectionId,
    listener: Listener,
}

impl Clients {
    /// Connections with the limits in `settings`.
    pub fn from_settings(settings: &Settings, clock: Clock, log: &Logger) -> Self {
        let clients = &settings.clients;
        let timeouts = Timeouts {
            head: clients.head_timeout,
            body: clients.body_timeout,
            progress: clients.body_timeout.min(clients.head_timeout),
            write: clients.write_timeout,
            idle: clients.idle_timeout,
        };
        let calls = Share { connections: clients.connections, bytes: clients.buffer_bytes as u64 };
        let memory = settings.memory_mb.saturating_mul(MEGABYTE);
        let descriptors = usize::try_from(settings.max_fds).unwrap_or(usize::MAX);
        Self::new(Limits::of_machine(memory, descriptors, calls, timeouts), clock, log)
    }

    /// No connections yet.
    pub fn new(limits: Limits, clock: Clock, log: &Logger) -> Self {
        let state = State {
            admission: Admission::new(limits),
            pauses: Pauses::new(clock.now()),
            tasks: HashMap::new(),
            reports: HashMap::new(),
            watch_idle: false,
        };
        let shared = Shared {
            state: Mutex::new(state),
            clock,
            log: log.clone(),
            opened: Notify::new(),
            refused: Family::default(),
            connections: Family::default(),
            bytes: Family::default(),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Starts the task of a new connection, or refuses it if its listener has no slot left. The task
    /// is aborted when the connection is to be closed.
    pub fn spawn<T>(&self, listener: Listener, task: impl FnOnce(Slot) -> T) -> bool
    where
        T: Future<Output = ()> + Send + 'static,
    {
        let now = self.shared.clock.now();
        let mut closing = Vec::new();
        let mut state = self.lock();
        let id = state.admission.open(now, listener, &mut closing);
        if let Some(id) = id {
            let slot = Slot { clients: self.clone(), id, listener };
            let task = tokio::spawn(task(slot));
            state.tasks.insert(id, task.abort_handle());
            if std::mem::take(&mut state.watch_idle) {
                self.shared.opened.notify_one();
            }
        }
        self.abort(state, now, &closing);
        if id.is_none() {
            self.refuse(listener, Cause::Connections);
        }
        id.is_some()
    }

    /// Closes connections when their deadlines have passed. Never returns.
    pub async fn watch(self) {
        loop {
            match self.close_expired() {
                Some(at) => sleep(self.shared.clock.now().until(at)).await,
                None => self.shared.opened.notified().await,
            }
        }
    }

    /// Closes the connections whose deadlines have passed, and returns when the next one may pass.
    fn close_expired(&self) -> Option<Time> {
        let now = self.shared.clock.now();
        let mut closing = Vec::new();
        let mut state = self.lock();
        let next = state.admission.expire(now, &mut closing);
        state.watch_idle = next.is_none();
        self.abort(state, now, &closing);
        next
    }

    /// Records that the process runs, so that a pause is noticed. It has to be called at least once a second.
    pub fn record_running(&self, now: Time) {
        self.lock().pauses.record(now);
    }

    /// Counts a refusal, and logs it unless one with the same cause was logged shortly before.
    pub fn refuse(&self, listener: Listener, cause: Cause) {
        let now = self.shared.clock.now();
        let lines = self.lock().report(now, listener, cause);
        self.count(listener, cause, lines);
    }

    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        let shared = &self.shared;
        registry.register(
            "clients_refused",
            "Clients refused and connections closed, by cause",
            shared.refused.clone(),
        );
        registry.register(
            "client_connections",
            "Open connections of clients and peers",
            shared.connections.clone(),
        );
        registry.register(
            "client_bytes",
            "Bytes held for requests and responses",
            shared.bytes.clone(),
        );
    }

    /// What the connections of a listener hold.
    pub fn usage(&self, listener: Listener) -> Usage {
        self.lock().admission.usage(listener)
    }

    /// Sets the gauges from the present usage.
    pub fn set_gauges(&self) {
        let state = self.lock();
        for listener in Listener::ALL {
            let (labels, usage) = (label(listener), state.admission.usage(listener));
            let connections = saturating_i64(usage.connections as u64);
            self.shared.connections.get_or_create(&labels).set(connections);
            self.shared.bytes.get_or_create(&labels).set(saturating_i64(usage.bytes));
        }
    }

    /// Ends the tasks of connections that are to be closed.
    fn abort(&self, mut state: MutexGuard<'_, State>, now: Time, closing: &[Closing]) {
        if closing.is_empty() {
            return;
        }
        let mut tasks = Vec::with_capacity(closing.len());
        let mut lines = Vec::with_capacity(closing.len());
        for closing in closing {
            tasks.extend(state.tasks.remove(&closing.id));
            lines.push(state.report(now, closing.listener, closing.cause));
        }
        // A dropped task takes the lock.
        drop(state);
        for task in tasks {
            task.abort();
        }
        for (closing, line) in closing.iter().zip(lines) {
            self.count(closing.listener, closing.cause, line);
        }
    }

    fn count(&self, listener: Listener, cause: Cause, line: Option<u64>) {
        let labels = RefusalLabels { listener: listener.name(), cause: cause.name() };
        self.shared.refused.get_or_create(&labels).inc();
        let Some(count) = line else { return };
        let (log, listener) = (&self.shared.log, listener.name());
        match cause {
            Cause::Idle => info!(log, "idle connections of clients are closed";
                "listener" => listener, "count" => count),
            Cause::Connections
            | Cause::Bytes
            | Cause::Head
            | Cause::Body
            | Cause::Write
            | Cause::TooLarge
            | Cause::Expired => warn!(log, "clients are refused or their connections closed";
                "listener" => listener, "cause" => cause.name(), "count" => count),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn label(listener: Listener) -> ListenerLabels {
    ListenerLabels { listener: listener.name() }
}

impl State {
    /// Counts a refusal, and returns how many to log if a line is due.
    fn report(&mut self, now: Time, listener: Listener, cause: Cause) -> Option<u64> {
        let report = self.reports.entry((listener, cause));
        let report = report.or_insert(Report { logged: None, count: 0 });
        report.count += 1;
        let due = report.logged.is_none_or(|at| now.since(at) >= LOG_INTERVAL);
        due.then(|| {
            report.logged = Some(now);
            std::mem::take(&mut report.count)
        })
    }
}

impl Slot {
    /// The connection enters a phase.
    pub fn enter(&self, phase: Phase) {
        let now = self.clients.shared.clock.now();
        self.clients.lock().admission.enter(now, self.id, phase);
    }

    /// The earliest time at which a request that is read now may have arrived.
    pub fn arrival(&self) -> Time {
        let now = self.clients.shared.clock.now();
        self.clients.lock().pauses.arrival(now)
    }

    /// The time since a request arrived.
    pub fn age(&self, arrival: Time) -> Duration {
        self.clients.shared.clock.now().since(arrival)
    }

    /// `bytes` were received or sent.
    pub fn progress(&self, bytes: usize) {
        let now = self.clients.shared.clock.now();
        self.clients.lock().admission.progress(now, self.id, bytes);
    }

    /// Sets the bytes that the connection holds, and returns whether they fit into the budget.
    pub fn hold(&self, bytes: u64) -> bool {
        let now = self.clients.shared.clock.now();
        let mut closing = Vec::new();
        let mut state = self.clients.lock();
        let fits = state.admission.hold(now, self.id, bytes, &mut closing);
        self.clients.abort(state, now, &closing);
        fits
    }

    /// Whether the connection could hold this many bytes if it were the only one.
    pub fn can_hold(&self, bytes: u64) -> bool {
        bytes <= self.clients.lock().admission.usable(self.listener, bytes)
    }

    /// Counts and logs that a request on the connection is refused.
    pub fn refuse(&self, cause: Cause) {
        self.clients.refuse(self.listener, cause);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.clients.lock();
        state.admission.close(self.id);
        state.tasks.remove(&self.id);
    }
}
