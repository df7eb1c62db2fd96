//! A gateway as a process: `gateway` decides, `links` speaks with controllers, `front` with
//! callers.

use std::{
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
    clock::Clock,
    duty::{runtime, spawn},
    frontend::{Frontend, Waiters},
    link::{LinkCommand, LinkEvent, Links},
    log, log_events,
    metrics::{self, gateway::Metrics},
    ring::{Outbox, RingSender, runtime_ring, thread_ring},
    settings::Settings,
};

/// Room in the duties' rings.
const RING_CAPACITY: usize = 4096;

/// How many items the gateway takes from its ring before it acts on them.
const MAX_BATCH: usize = 64;

/// How long the gateway waits before it tries again to pass on what found no room.
const RETRY_INTERVAL: Duration = Duration::from_millis(2);

/// The longest wait without a deadline.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// How long a gateway that leaves still takes callers: the platform sends it new ones until it
/// has asked twice, once a second, whether the gateway is ready.
const ACCEPT_TIME: Duration = Duration::from_millis(2500);

/// What is kept of the time to leave for the last answers to be written.
const FLUSH_TIME: Duration = Duration::from_millis(700);

/// Why a gateway can't run.
#[derive(Debug, Snafu)]
#[snafu(display("can't start a duty: {source}"))]
pub struct GatewayError {
    source: io::Error,
}

/// What a front asks a gateway by.
#[derive(Clone, Debug)]
pub struct Handle {
    events: RingSender<Event>,
    waiters: Arc<Waiters<Reply>>,
    ready: Arc<AtomicBool>,
    leaving: Arc<AtomicBool>,
    metrics: Arc<Metrics>,
    clock: Clock,
    /// The log.
    pub log: Logger,
}

impl Handle {
    /// Passes a call on and waits for its answer.
    pub async fn call(&self, call: Call, timeout: Duration) -> Reply {
        let (action, since) = (call.action.name(), self.clock.now());
        let reply = self.forward(call, timeout).await;
        self.metrics.count_call(action, &reply, self.clock.now().since(since));
        reply
    }

    async fn forward(&self, call: Call, timeout: Duration) -> Reply {
        let waiter = self.waiters.wait();
        let event = Event::Call { ticket: waiter.ticket, call, timeout };
        if self.events.offer(event).is_err() {
            return Reply::NotRun;
        }
        waiter.answer().await.unwrap_or(Reply::Unknown)
    }

    /// Whether new callers should be sent here.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed) && !self.is_leaving()
    }

    /// Whether the gateway leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }
}

/// Where the gateway's outputs go.
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

/// Runs a gateway until it is told to leave; `reload` reads its settings again.
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
    let metrics = Arc::new(Metrics::default());
    let outputs = Outputs {
        links: Outbox::new(&links),
        front: Outbox::new(&answers),
        ready: ready.clone(),
        metrics: metrics.clone(),
        log: log.clone(),
    };
    let rings = (gateway.clone(), links, answers);
    let readings = move || [rings.0.reading(), rings.1.reading(), rings.2.reading()];
    let state_machine = Gateway::new(settings.seed_peers(), clock.now());
    spawn("gateway", move || run_gateway(&gateway_ring, clock, state_machine, outputs))
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
                crit!(front_log, "the front can't serve"; "error" => %error);
                std::process::exit(1);
            }
            ended.send(()).await.unwrap_or(());
        });
    })
    .context(GatewaySnafu)?;

    runtime().context(GatewaySnafu)?.block_on(async {
        if let Some(at) = settings.metrics {
            let text = move || metrics.encode(&readings());
            metrics::spawn_server(at, text, log.clone());
        }
        let mut term = signal(SignalKind::terminate()).context(GatewaySnafu)?;
        let mut hangup = signal(SignalKind::hangup()).context(GatewaySnafu)?;
        loop {
            tokio::select! {
                _ = term.recv() => break,
                _ = hangup.recv() => match reload() {
                    Some(settings) => {
                        info!(log, "the settings were read again"; "seeds" => settings.seeds.len());
                        drop(gateway.push(Event::Seeds(settings.seed_peers())));
                    }
                    None => warn!(log, "the settings can't be read; the old ones stay"),
                },
            }
        }
        info!(log, "the gateway leaves once its calls have ended");
        leaving.store(true, Ordering::Relaxed);
        sleep(ACCEPT_TIME.min(settings.grace / 2)).await;
        stop.send_replace(true);
        let rest = settings.grace.saturating_sub(ACCEPT_TIME + FLUSH_TIME);
        if timeout(rest, end.recv()).await.is_err() {
            warn!(log, "calls were still under way when the time to leave ran out");
        }
        info!(log, "the gateway has left");
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
        // An answer that finds no room is lost; its call is given up as unknown.
        drop(gateway.push(event));
    };
    let links = Links::new(on_event, log.clone());
    let runtime = runtime()?;
    spawn("links", move || runtime.block_on(links.run(ring, None))).map(drop)
}

fn run_gateway(ring: &Receiver<Event>, clock: Clock, mut gateway: Gateway, mut outputs: Outputs) {
    let mut out = Vec::new();
    let mut events = vec![Event::Timer];
    loop {
        let now = clock.now();
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
