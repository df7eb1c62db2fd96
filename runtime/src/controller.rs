//! The process of a controller: its duties and the rings between them.
//!
//! `control` runs the state machine, `storage` writes to disk, `links` connects to other instances,
//! and `front` serves workers and operators. Control's ring sheds requests from the frontend, such
//! as heartbeats, when it is nearly full. A message from another instance is dropped when the ring
//! is full, and its sender retries.

use std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration};

use crossbeam_channel::{Receiver, RecvTimeoutError};
use hickorylink_lib::{
    codec::DecodeError,
    consensus::log::{Recovered, Write},
    ids::InstanceId,
    jobs::{
        call::{Action, Call},
        controller::{Answer, Controller, Effect, Event, Ticket, leader::Leader},
        link::LinkMessage,
        record::Node,
        response_size::ResponseLimits,
    },
    time::Time,
};
use slog::{Logger, crit, info, warn};
use snafu::{ResultExt, Snafu};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    sync::{mpsc, watch},
    time::{sleep, timeout},
};

use crate::{
    clients::Clients,
    clock::{Clock, wall_now},
    controller::inbound::{CallBytes, Inbound},
    duty::{runtime, spawn},
    frontend::{Frontend, Waiters},
    link::{LinkCommand, LinkEvent, Links},
    log, log_events,
    metrics::{self, controller::Metrics},
    persist,
    reload::watch_seeds,
    ring::{Outbox, RingSender, runtime_ring, thread_ring},
    settings::Settings,
    storage::{Folder, Identity, MAX_SEGMENT_BYTES, Store, StoreError},
};

mod config;
mod inbound;

/// The capacity of each ring.
const RING_CAPACITY: usize = 8192;

/// The maximum number of events that control handles in one batch.
const MAX_BATCH: usize = 256;

/// The number of steps, runs and ends in the events of a batch after which no further event is added.
const MAX_BATCH_ITEMS: usize = 16_384;

/// The shortest time for which a turn is logged as long. A leader whose turns take several times as long
/// loses its lease.
const LONG_TURN: Duration = Duration::from_millis(250);

/// The pause before control retries to send to a full ring.
const RETRY_INTERVAL: Duration = Duration::from_millis(2);

/// The longest time that control waits for an event.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// How long a controller that shuts down waits for a standby to take over its vote.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long a controller continues to answer requests during its shutdown.
const DRAIN_TIME: Duration = Duration::from_millis(300);

/// The reason why a controller can't run.
#[derive(Debug, Snafu)]
pub enum ControllerError {
    /// The settings name no data folder.
    #[snafu(display("a controller needs \"data\": its log is on disk"))]
    NoData,
    /// The data folder can't be used.
    #[snafu(display("{source}"))]
    Data {
        /// The cause.
        source: StoreError,
    },
    /// The newest snapshot can't be decoded.
    #[snafu(display("the newest snapshot can't be read: {source}"))]
    Snapshot {
        /// The cause.
        source: DecodeError,
    },
    /// A thread, a runtime or a signal handler can't be started.
    #[snafu(display("can't start a duty: {source}"))]
    Start {
        /// The cause.
        source: io::Error,
    },
}

/// The handle by which a frontend sends requests to a controller.
#[derive(Clone, Debug)]
pub struct Handle {
    events: RingSender<Event>,
    waiters: Arc<Waiters<TimedAnswer>>,
    clock: Clock,
    /// The connections of all listeners.
    pub clients: Clients,
    /// The logger.
    pub log: Logger,
}

/// An answer and the time until which it may be sent.
#[derive(Debug)]
struct TimedAnswer {
    answer: Answer,
    valid_until: Option<Time>,
}

impl Handle {
    /// Sends a request and waits for its answer. Returns `None` if the controller sheds the request
    /// or stops.
    pub async fn ask(&self, event: impl FnOnce(Ticket) -> Event) -> Option<Answer> {
        let waiter = self.waiters.wait();
        self.events.offer(event(Ticket::Front(waiter.ticket))).ok()?;
        let timed = waiter.answer().await?;
        // The process may have been suspended since the decision, and leadership lost meanwhile.
        let expired = timed.valid_until.is_some_and(|until| self.clock.now() >= until);
        Some(if expired { Answer::Redirect(None) } else { timed.answer })
    }
}

/// The destinations of control's effects.
struct Outputs {
    storage: Outbox<Write>,
    links: Outbox<LinkCommand>,
    front: Outbox<(u64, TimedAnswer)>,
    /// Set when this controller, which is to shut down, may stop, to whether it still votes.
    may_stop: watch::Sender<Option<bool>>,
    metrics: Arc<Metrics>,
    log: Logger,
}

impl Outputs {
    fn deliver(&mut self, effect: Effect) {
        if let Effect::Answer { answer, .. } = &effect {
            self.metrics.count_answer(answer);
        }
        match effect {
            Effect::Send { to, message } => self.links.send(LinkCommand::Send { to, message }),
            Effect::Store(write) => self.storage.send(write),
            Effect::Answer { ticket: Ticket::Front(ticket), answer, until } => {
                self.front.send((ticket, TimedAnswer { answer, valid_until: until }));
            }
            Effect::Answer { ticket: Ticket::Link { connection, number }, answer, .. } => {
                if let Some(message) = link_answer(number, answer) {
                    self.links.send(LinkCommand::Answer { connection, message });
                }
            }
            Effect::MayStop { votes } => drop(self.may_stop.send_replace(Some(votes))),
            Effect::LogEvent(event) => {
                self.metrics.record(&event);
                log_events::controller(&self.log, &event);
            }
        }
    }

    /// Records how long a turn took. The time includes that for which the process was suspended.
    fn record_turn(&self, took: Duration, events: usize, controller: &Controller) {
        self.metrics.turns.observe(took.as_secs_f64());
        if took >= LONG_TURN {
            let took_ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
            let waiting = controller.leader().map(Leader::waiting_steps);
            warn!(self.log, "a turn took long"; "took_ms" => took_ms, "events" => events,
                "jobs" => controller.committed().jobs.len(), "waiting_steps" => waiting);
        }
    }

    fn flush(&mut self) -> usize {
        self.storage.flush() + self.links.flush() + self.front.flush()
    }
}

/// Converts the answer to a gateway's call to a message.
fn link_answer(number: u64, answer: Answer) -> Option<LinkMessage> {
    match answer {
        Answer::Reply(reply) => Some(LinkMessage::Answer { number, reply }),
        Answer::Redirect(leader) => {
            let leader = leader.map(|node| node.peer);
            Some(LinkMessage::Redirect { number, leader })
        }
        Answer::Status(status) => Some(LinkMessage::Status(status)),
        Answer::Operator(_) | Answer::Heartbeat(_) | Answer::Acknowledged => None,
    }
}

/// Runs a controller until the process receives SIGTERM. `reload` reads the settings again, and
/// `responses` are the limits on the responses that the frontend encodes.
///
/// # Errors
///
/// [`ControllerError`] if the controller can't start.
pub fn run(
    settings: &Settings,
    reload: impl Fn() -> Option<Settings>,
    front: impl Frontend<Handle>,
    responses: ResponseLimits,
) -> Result<(), ControllerError> {
    let clock = Clock::start();
    let instance_log = log::start(settings.log, &settings.name, clock);
    let log = &instance_log.root;
    let folder = settings.data.as_ref().ok_or(ControllerError::NoData)?;
    let (me, store, recovered) = open(settings, folder, clock, log)?;
    let config = config::config(settings, &me, responses);
    info!(log, "the controller starts"; "id" => me.id.0, "listen" => %me.listen,
        "peer" => %me.peer, "founding" => settings.founding,
        "entries" => recovered.entries.len(), "term" => recovered.hard.term.0);
    let controller = Controller::new(config, recovered, clock.now()).context(SnapshotSnafu)?;

    let (control, control_ring) = thread_ring("control", RING_CAPACITY);
    let (storage, storage_ring) = thread_ring("storage", RING_CAPACITY);
    let (links, links_ring) = runtime_ring("links", RING_CAPACITY);
    let (answers, answers_ring) = runtime_ring("front", RING_CAPACITY);
    let clients = Clients::from_settings(settings, clock, log);
    let metrics = Arc::new(Metrics::new(&clients));
    let (may_stop, mut stoppable) = watch::channel(None);
    let outputs = Outputs {
        storage: Outbox::new(&storage),
        links: Outbox::new(&links),
        front: Outbox::new(&answers),
        may_stop,
        metrics: metrics.clone(),
        log: log.clone(),
    };
    let rings = (control.clone(), storage, links.clone(), answers);
    let ring_readings = move || {
        let (control, storage, links, answers) = &rings;
        [control.reading(), storage.reading(), links.reading(), answers.reading()]
    };
    let calls = CallBytes::new(settings.clients.buffer_bytes as u64 / 2);
    let (ring_calls, running) = (calls.clone(), clients.clone());
    spawn("control", move || {
        run_control(&control_ring, clock, controller, outputs, &ring_calls, &running);
    })
    .context(StartSnafu)?;
    let (confirmations, disk_log) = (control.clone(), log.clone());
    let (path, fresh) = (folder.clone(), Identity { instance: me.id, created: clock.wall() });
    let reopen = move || Store::open(Folder::new(&path), fresh, MAX_SEGMENT_BYTES);
    spawn("storage", move || {
        persist::run(&storage_ring, &confirmations, store, reopen, clock, &disk_log)
    })
    .context(StartSnafu)?;
    let inbound = Inbound { control: control.clone(), links, calls };
    spawn_links(me.peer, links_ring, inbound, clients.clone(), log)?;

    let waiters = Arc::new(Waiters::default());
    let events = control.clone();
    let (waiting, front_clients) = (waiters.clone(), clients.clone());
    let handle =
        Handle { events, waiters: waiting, clock, clients: front_clients, log: log.clone() };
    let (stop, stopping) = watch::channel(false);
    let front_log = log.clone();
    let front_runtime = runtime().context(StartSnafu)?;
    spawn("front", move || {
        front_runtime.block_on(async move {
            tokio::spawn(deliver_answers(answers_ring, waiters));
            if let Err(error) = front.serve(handle, stopping).await {
                crit!(front_log, "the frontend can't serve"; "error" => %error);
                std::process::exit(1);
            }
        });
    })
    .context(StartSnafu)?;

    runtime().context(StartSnafu)?.block_on(async {
        if let Some(at) = settings.metrics {
            let text = move || metrics.encode(&ring_readings());
            metrics::spawn_server(at, clients.clone(), text, log.clone());
        }
        tokio::spawn(clients.watch());
        let mut term = signal(SignalKind::terminate()).context(StartSnafu)?;
        let send_seeds = |seeds| control.push(Event::Seeds(seeds)).is_ok();
        tokio::select! {
            _ = term.recv() => {}
            ended = watch_seeds(settings, reload, send_seeds, log) => {
                let _: Infallible = ended.context(StartSnafu)?;
            }
        }
        info!(log, "the controller shuts down");
        // If control's ring is full, the controller stops without a handover.
        if control.push(Event::ShutDown).is_ok() {
            let limit = HANDOVER_TIMEOUT.min(settings.grace / 4);
            let waited = timeout(limit, stoppable.wait_for(Option::is_some)).await;
            let replaced = waited.is_ok_and(|votes| votes.is_ok_and(|votes| *votes == Some(false)));
            info!(log, "the controller stops"; "votes" => !replaced);
        }
        stop.send_replace(true);
        sleep(DRAIN_TIME).await;
        info!(log, "the controller has shut down");
        Ok(())
    })
}

async fn deliver_answers(
    mut ring: mpsc::Receiver<(u64, TimedAnswer)>,
    waiters: Arc<Waiters<TimedAnswer>>,
) {
    while let Some((ticket, timed)) = ring.recv().await {
        waiters.answer(ticket, timed);
    }
}

fn open(
    settings: &Settings,
    folder: &str,
    clock: Clock,
    log: &Logger,
) -> Result<(Node, Store<Folder>, Recovered), ControllerError> {
    let peer = settings.peer();
    let is_founder = settings.founding && settings.seed_peers().contains(&peer);
    let instance = if is_founder { config::founder_id(peer) } else { InstanceId(rand::random()) };
    let fresh = Identity { instance, created: clock.wall() };
    let opened = Store::open(Folder::new(folder), fresh, MAX_SEGMENT_BYTES).context(DataSnafu)?;
    if let Some(truncation) = &opened.truncation {
        warn!(log, "truncated a torn write at the end of the log";
            "file" => &truncation.name, "offset" => truncation.offset, "bytes" => truncation.bytes);
    }
    let me = Node {
        id: opened.identity.instance,
        peer,
        listen: settings.listen,
        centre: settings.centre.as_str().into(),
    };
    Ok((me, opened.store, opened.recovered))
}

fn spawn_links(
    peer: SocketAddr,
    ring: mpsc::Receiver<LinkCommand>,
    inbound: Inbound,
    clients: Clients,
    log: &Logger,
) -> Result<(), ControllerError> {
    let on_event = move |event| match event {
        LinkEvent::Inbound { connection, message } => inbound.receive(connection, message),
        LinkEvent::Outbound { .. } | LinkEvent::Closed(_) => {}
    };
    let links = Links::new(on_event, log.clone()).admitted_by(clients);
    let (runtime, log) = (runtime().context(StartSnafu)?, log.clone());
    spawn("links", move || {
        runtime.block_on(async move {
            match TcpListener::bind(peer).await {
                Ok(listener) => links.run(ring, Some(listener)).await,
                Err(error) => {
                    crit!(log, "can't listen for instances"; "at" => %peer, "error" => %error);
                    std::process::exit(1);
                }
            }
        });
    })
    .map(drop)
    .context(StartSnafu)
}

fn run_control(
    ring: &Receiver<Event>,
    clock: Clock,
    mut controller: Controller,
    mut outputs: Outputs,
    calls: &CallBytes,
    clients: &Clients,
) {
    let mut out = Vec::new();
    let mut events = vec![Event::Timer];
    loop {
        let (began, count) = (clock.now(), events.len());
        clients.record_running(began);
        controller.handle(began, wall_now(), events.drain(..), &mut out);
        outputs.record_turn(began.until(clock.now()), count, &controller);
        for effect in out.drain(..) {
            outputs.deliver(effect);
        }
        outputs.metrics.observe(&controller);
        let wait = match outputs.flush() {
            0 => controller
                .next_deadline()
                .map_or(MAX_WAIT, |at| clock.now().until(at).min(MAX_WAIT)),
            _ => RETRY_INTERVAL,
        };
        match ring.recv_timeout(wait) {
            Ok(event) => events.push(event),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let mut items: usize = events.iter().map(count_items).sum();
        while events.len() < MAX_BATCH
            && items < MAX_BATCH_ITEMS
            && let Ok(event) = ring.try_recv()
        {
            items += count_items(&event);
            events.push(event);
        }
        events.iter().for_each(|event| calls.remove(event));
    }
}

/// The number of items in an event that control looks at one by one.
fn count_items(event: &Event) -> usize {
    match event {
        Event::Call { call: Call { action: Action::Submit(spec), .. }, .. } => spec.steps.len(),
        Event::Heartbeat { report, .. } => report.running.len() + report.ended.len(),
        Event::Call { .. }
        | Event::Leave { .. }
        | Event::Operator { .. }
        | Event::Consensus { .. }
        | Event::Stored { .. }
        | Event::Hello(_)
        | Event::Seeds(_)
        | Event::Probe { .. }
        | Event::ShutDown
        | Event::Timer => 1,
    }
}
