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
    front::{Front, Waiters},
    link::{Arrival, Job, Links},
    log,
    metrics::{self, gateway::Metrics},
    notes,
    ring::{Inlet, Outbox, to_runtime, to_thread},
    settings::Settings,
};

/// Room in the duties' rings.
const RING: usize = 4096;

/// How many items the gateway takes from its ring before it acts on them.
const BATCH: usize = 64;

/// How long the gateway waits before it tries again to pass on what found no room.
const RETRY: Duration = Duration::from_millis(2);

/// The longest wait without a deadline.
const IDLE: Duration = Duration::from_secs(1);

/// How long a gateway that leaves still takes callers: the platform sends it new ones until it
/// has asked twice, once a second, whether the gateway is ready.
const LINGER: Duration = Duration::from_millis(2500);

/// What is kept of the time to leave for the last answers to be written.
const LAST: Duration = Duration::from_millis(700);

/// Why a gateway can't run.
#[derive(Debug, Snafu)]
#[snafu(display("can't start a duty: {source}"))]
pub struct GatewayError {
    source: io::Error,
}

/// What a front asks a gateway by.
#[derive(Clone, Debug)]
pub struct Handle {
    events: Inlet<Event>,
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
        let reply = self.pass_on(call, timeout).await;
        self.metrics.call(action, &reply, self.clock.now().since(since));
        reply
    }

    async fn pass_on(&self, call: Call, timeout: Duration) -> Reply {
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
struct Outlets {
    links: Outbox<Job>,
    front: Outbox<(u64, Reply)>,
    ready: Arc<AtomicBool>,
    metrics: Arc<Metrics>,
    log: Logger,
}

impl Outlets {
    fn deliver(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.links.send(Job::Send { to, message }),
            Effect::Close(to) => self.links.send(Job::Close(to)),
            Effect::Reply { ticket, reply } => self.front.send((ticket, reply)),
            Effect::Ready(ready) => {
                self.metrics.ready(ready);
                self.ready.store(ready, Ordering::Relaxed);
            }
            Effect::LogEvent(note) => {
                self.metrics.note(&note);
                notes::gateway(&self.log, &note);
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
    front: impl Front<Handle>,
) -> Result<(), GatewayError> {
    let clock = Clock::start();
    let journal = log::start(settings.log, &settings.name, clock);
    let log = &journal.root;
    info!(log, "the gateway starts"; "listen" => %settings.listen);
    let (gateway, gateway_end) = to_thread("gateway", RING);
    let (links, links_end) = to_runtime("links", RING);
    let (answers, mut answers_end) = to_runtime::<(u64, Reply)>("front", RING);
    let ready = Arc::new(AtomicBool::new(false));
    let metrics = Arc::new(Metrics::default());
    let outlets = Outlets {
        links: Outbox::new(&links),
        front: Outbox::new(&answers),
        ready: ready.clone(),
        metrics: metrics.clone(),
        log: log.clone(),
    };
    let rings = (gateway.clone(), links, answers);
    let readings = move || [rings.0.reading(), rings.1.reading(), rings.2.reading()];
    let machine = Gateway::new(settings.seed_peers(), clock.now());
    spawn("gateway", move || run_gateway(&gateway_end, clock, machine, outlets))
        .context(GatewaySnafu)?;
    start_links(links_end, gateway.clone(), log).context(GatewaySnafu)?;

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
                while let Some((ticket, reply)) = answers_end.recv().await {
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
            metrics::spawn(at, text, log.clone());
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
        sleep(LINGER.min(settings.grace / 2)).await;
        stop.send_replace(true);
        let rest = settings.grace.saturating_sub(LINGER + LAST);
        if timeout(rest, end.recv()).await.is_err() {
            warn!(log, "calls were still under way when the time to leave ran out");
        }
        info!(log, "the gateway has left");
        Ok(())
    })
}

fn start_links(ring: mpsc::Receiver<Job>, gateway: Inlet<Event>, log: &Logger) -> io::Result<()> {
    let arrive = move |arrival| {
        let event = match arrival {
            Arrival::Outbound { from, message } => Event::Received { from, message },
            Arrival::Down(at) => Event::Disconnected(at),
            Arrival::Inbound { .. } => return,
        };
        // An answer that finds no room is lost; its call is given up as unknown.
        drop(gateway.push(event));
    };
    let links = Links::new(arrive, log.clone());
    let runtime = runtime()?;
    spawn("links", move || runtime.block_on(links.run(ring, None))).map(drop)
}

fn run_gateway(ring: &Receiver<Event>, clock: Clock, mut gateway: Gateway, mut outlets: Outlets) {
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
            outlets.deliver(effect);
        }
        let wait = match outlets.links.flush() + outlets.front.flush() {
            0 => gateway.next_deadline().map_or(IDLE, |at| clock.now().until(at).min(IDLE)),
            _ => RETRY,
        };
        match ring.recv_timeout(wait) {
            Ok(event) => events.push(event),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        events.extend(ring.try_iter().take(BATCH - 1));
    }
}
