//! The process of a gateway: `gateway` runs the state machine, `links` connects to the controllers,
//! and `front` serves callers.

use std::{
    convert::Infallible,
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crossbeam_channel::{Receiver, RecvTimeoutError};
use hickorylink_lib::jobs::{
    call::{Call, Reply},
    gateway::{Effect, Event, Gateway},
};
use slog::{Logger, crit, info, warn};
use snafu::{ResultExt, Snafu};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::{mpsc, watch},
    time::{sleep, timeout},
};

use crate::{
    clients::Clients,
    clock::Clock,
    duty::{runtime, spawn},
    frontend::{Frontend, Waiters},
    link::{LinkCommand, LinkEvent, Links},
    log, log_events,
    metrics::{self, gateway::Metrics},
    reload::watch_seeds,
    ring::{Outbox, RingSender, runtime_ring, thread_ring},
    settings::Settings,
};

/// The capacity of each ring.
const RING_CAPACITY: usize = 4096;

/// The maximum number of events that the gateway handles in one batch.
const MAX_BATCH: usize = 64;

/// The pause before the gateway retries to send to a full ring.
const RETRY_INTERVAL: Duration = Duration::from_millis(2);

/// The longest time that the gateway waits for an event.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// How long a gateway still accepts calls during its shutdown. The platform checks readiness once a
/// second and stops sending new callers after two checks.
const ACCEPT_TIME: Duration = Duration::from_millis(2500);

/// The part of the grace period that is reserved for writing the last answers.
const FLUSH_TIME: Duration = Duration::from_millis(700);

/// The reason why a gateway can't run.
#[derive(Debug, Snafu)]
#[snafu(display("can't start a duty: {source}"))]
pub struct GatewayError {
    source: io::Error,
}

/// The handle by which a frontend sends calls to a gateway.
#[derive(Clone, Debug)]
pub struct Handle {
    events: RingSender<Event>,
    waiters: Arc<Waiters<Reply>>,
    ready: Arc<AtomicBool>,
    leaving: Arc<AtomicBool>,
    metrics: Arc<Metrics>,
    clock: Clock,
    /// The connections of all listeners.
    pub clients: Clients,
    /// The logger.
    pub log: Logger,
}

impl Handle {
    /// Sends a call, waits for its reply and updates the metrics.
    pub async fn call(&self, call: Call, timeout: Duration) -> Reply {
        let (action, since) = (call.action.name(), self.clock.now());
        let reply = self.forward(call, timeout).await;
        self.metrics.count_call(action, &reply, self.clock.now().since(since));
        reply
    }

    async fn forward(&self, call: Call, timeout: Duration) -> Reply {
        let waiter = self.waiters.wait();
        let deadline = self.clock.now() + timeout;
        let event = Event::Call { ticket: waiter.ticket, call, deadline };
        if self.events.offer(event).is_err() {
            return Reply::NotRun;
        }
        waiter.answer().await.unwrap_or(Reply::Unknown)
    }

    /// Returns whether the gateway accepts new callers.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed) && !self.is_leaving()
    }

    /// Returns whether the gateway is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }
}

/// The destinations of the gateway's effects.
struct Outputs {
    links: Outbox<LinkCommand>,
    front: Outbox<(u64, Reply)>,
    ready: Arc<AtomicBool>,
    metrics: Arc<Metrics>,
    log: Logger,
}

impl Outputs {
    fn deliver(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.links.send(LinkCommand::Send { to, message }),
            Effect::Close(to) => self.links.send(LinkCommand::Close(to)),
            Effect::Reply { ticket, reply } => self.front.send((ticket, reply)),
            Effect::Ready(ready) => {
                self.metrics.set_ready(ready);
                self.ready.store(ready, Ordering::Relaxed);
            }
            Effect::LogEvent(event) => {
                self.metrics.record(&event);
                log_events::gateway(&self.log, &event);
            }
        }
    }
}

/// Runs a gateway until the process receives SIGTERM. `reload` reads the settings again.
///
/// # Errors
///
/// [`GatewayError`] if a duty can't be started.
pub fn run(
    settings: &Settings,
    reload: impl Fn() -> Option<Settings>,
    front: impl Frontend<Handle>,
) -> Result<(), GatewayError> {
    let clock = Clock::start();
    let instance_log = log::start(settings.log, &settings.name, clock);
    let log = &instance_log.root;
    info!(log, "the gateway starts"; "listen" => %settings.listen);
    let (gateway, gateway_ring) = thread_ring("gateway", RING_CAPACITY);
    let (links, links_ring) = runtime_ring("links", RING_CAPACITY);
    let (answers, mut answers_ring) = runtime_ring::<(u64, Reply)>("front", RING_CAPACITY);
    let ready = Arc::new(AtomicBool::new(false));
    let clients = Clients::from_settings(settings, clock, log);
    let metrics = Arc::new(Metrics::new(&clients));
    let outputs = Outputs {
        links: Outbox::new(&links),
        front: Outbox::new(&answers),
        ready: ready.clone(),
        metrics: metrics.clone(),
        log: log.clone(),
    };
    let rings = (gateway.clone(), links, answers);
    let ring_readings = move || [rings.0.reading(), rings.1.reading(), rings.2.reading()];
    let state_machine = Gateway::new(settings.seed_peers(), clock.now())
        .with_max_bytes(settings.clients.buffer_bytes as u64 / 2);
    let running = clients.clone();
    spawn("gateway", move || run_gateway(&gateway_ring, clock, state_machine, outputs, &running))
        .context(GatewaySnafu)?;
    spawn_links(links_ring, gateway.clone(), log).context(GatewaySnafu)?;

    let waiters = Arc::new(Waiters::default());
    let leaving = Arc::new(AtomicBool::new(false));
    let handle = Handle {
        events: gateway.clone(),
        waiters: waiters.clone(),
        ready,
        leaving: leaving.clone(),
        metrics: metrics.clone(),
        clock,
        clients: clients.clone(),
        log: log.clone(),
    };
    let (stop, stopping) = watch::channel(false);
    let (ended, mut end) = mpsc::channel(1);
    let (front_log, front_runtime) = (log.clone(), runtime().context(GatewaySnafu)?);
    spawn("front", move || {
        front_runtime.block_on(async move {
            tokio::spawn(async move {
                while let Some((ticket, reply)) = answers_ring.recv().await {
                    waiters.answer(ticket, reply);
                }
            });
            if let Err(error) = front.serve(handle, stopping).await {
                crit!(front_log, "the frontend can't serve"; "error" => %error);
                std::process::exit(1);
            }
            ended.send(()).await.unwrap_or(());
        });
    })
    .context(GatewaySnafu)?;

    runtime().context(GatewaySnafu)?.block_on(async {
        if let Some(at) = settings.metrics {
            let text = move || metrics.encode(&ring_readings());
            metrics::spawn_server(at, clients.clone(), text, log.clone());
        }
        tokio::spawn(clients.watch());
        let mut term = signal(SignalKind::terminate()).context(GatewaySnafu)?;
        let send_seeds = |seeds| gateway.push(Event::Seeds(seeds)).is_ok();
        tokio::select! {
            _ = term.recv() => {}
            ended = watch_seeds(settings, reload, send_seeds, log) => {
                let _: Infallible = ended.context(GatewaySnafu)?;
            }
        }
        info!(log, "the gateway shuts down once its calls have ended");
        leaving.store(true, Ordering::Relaxed);
        sleep(ACCEPT_TIME.min(settings.grace / 2)).await;
        stop.send_replace(true);
        let rest = settings.grace.saturating_sub(ACCEPT_TIME + FLUSH_TIME);
        if timeout(rest, end.recv()).await.is_err() {
            warn!(log, "calls were still in progress when the grace period ended");
        }
        info!(log, "the gateway has shut down");
        Ok(())
    })
}

fn spawn_links(
    ring: mpsc::Receiver<LinkCommand>,
    gateway: RingSender<Event>,
    log: &Logger,
) -> io::Result<()> {
    let on_event = move |event| {
        let event = match event {
            LinkEvent::Outbound { from, message } => Event::Received { from, message },
            LinkEvent::Closed(at) => Event::Disconnected(at),
            LinkEvent::Inbound { .. } => return,
        };
        // Dropped if the gateway's ring is full; the call then times out with an unknown outcome.
        drop(gateway.push(event));
    };
    let links = Links::new(on_event, log.clone());
    let runtime = runtime()?;
    spawn("links", move || runtime.block_on(links.run(ring, None))).map(drop)
}

fn run_gateway(
    ring: &Receiver<Event>,
    clock: Clock,
    mut gateway: Gateway,
    mut outputs: Outputs,
    clients: &Clients,
) {
    let mut out = Vec::new();
    let mut events = vec![Event::Timer];
    loop {
        let now = clock.now();
        clients.record_running(now);
        for event in events.drain(..) {
            gateway.handle(now, event, &mut out);
        }
        if gateway.next_deadline().is_some_and(|at| at <= now) {
            gateway.handle(now, Event::Timer, &mut out);
        }
        for effect in out.drain(..) {
            outputs.deliver(effect);
        }
        let wait = match outputs.links.flush() + outputs.front.flush() {
            0 => gateway.next_deadline().map_or(MAX_WAIT, |at| clock.now().until(at).min(MAX_WAIT)),
            _ => RETRY_INTERVAL,
        };
        match ring.recv_timeout(wait) {
            Ok(event) => events.push(event),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        events.extend(ring.try_iter().take(MAX_BATCH - 1));
    }
}
