//! The metrics of a controller.

use std::{fmt, sync::atomic::AtomicU64, time::Duration};

use hickorylink_lib::{
    consensus::chart::Role,
    jobs::controller::{Answer, Controller, LogEvent, leader::Leader},
};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

use crate::{
    clients::Clients,
    metrics::{
        IntGauge, PREFIX, RingMetrics, encode_text, evacuation::EvacuationMetrics,
        latency_histogram, saturating_i64,
    },
    ring::RingReading,
};

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnswerLabels {
    answer: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StateLabels {
    state: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PlaceLabels {
    place: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndingLabels {
    ending: &'static str,
}

/// All metrics of a controller.
pub struct Metrics {
    registry: Registry,
    rings: RingMetrics,
    clients: Option<Clients>,
    answers: Family<AnswerLabels, Counter>,
    jobs: Family<StateLabels, Counter>,
    ages: Family<StateLabels, Histogram>,
    starts: Counter<u64, AtomicU64>,
    start_wait: Histogram,
    ends: Family<EndingLabels, Counter>,
    workers: Family<StateLabels, Counter>,
    near_waits: Family<PlaceLabels, Counter>,
    near_wait: Histogram,
    near_waiting: IntGauge,
    crashes: Counter<u64, AtomicU64>,
    given_up: Counter<u64, AtomicU64>,
    unknown_ends: Counter<u64, AtomicU64>,
    records: Counter<u64, AtomicU64>,
    commits: Histogram,
    /// How long the turns of control take, in seconds.
    pub turns: Histogram,
    faults: Counter<u64, AtomicU64>,
    version: IntGauge,
    term: IntGauge,
    leads: IntGauge,
    job_count: IntGauge,
    waiting_steps: IntGauge,
    waiting_restarts: IntGauge,
    restart_wait: Gauge<f64, AtomicU64>,
    worker_count: IntGauge,
    recorded_pairs: IntGauge,
    voters: IntGauge,
    live_voters: IntGauge,
    standbys: IntGauge,
    wanted_voters: IntGauge,
    evacuations: EvacuationMetrics,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Metrics")
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix(PREFIX),
            rings: RingMetrics::default(),
            clients: None,
            answers: Family::default(),
            jobs: Family::default(),
            ages: Family::new_with_constructor(latency_histogram),
            starts: Counter::default(),
            start_wait: latency_histogram(),
            ends: Family::default(),
            workers: Family::default(),
            near_waits: Family::default(),
            near_wait: latency_histogram(),
            near_waiting: IntGauge::default(),
            crashes: Counter::default(),
            given_up: Counter::default(),
            unknown_ends: Counter::default(),
            records: Counter::default(),
            commits: latency_histogram(),
            turns: latency_histogram(),
            faults: Counter::default(),
            version: IntGauge::default(),
            term: IntGauge::default(),
            leads: IntGauge::default(),
            job_count: IntGauge::default(),
            waiting_steps: IntGauge::default(),
            waiting_restarts: IntGauge::default(),
            restart_wait: Gauge::default(),
            worker_count: IntGauge::default(),
            recorded_pairs: IntGauge::default(),
            voters: IntGauge::default(),
            live_voters: IntGauge::default(),
            standbys: IntGauge::default(),
            wanted_voters: IntGauge::default(),
            evacuations: EvacuationMetrics::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    /// The metrics of an instance with these connections.
    pub fn new(clients: &Clients) -> Self {
        let mut metrics = Self::default();
        clients.register(&mut metrics.registry);
        metrics.clients = Some(clients.clone());
        metrics
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        self.rings.register(r);
        r.register("answers", "Answers to calls, orders and heartbeats", self.answers.clone());
        r.register("job_changes", "Jobs that came into a state", self.jobs.clone());
        r.register(
            "job_age_seconds",
            "Time from a job's acceptance until it came into a state",
            self.ages.clone(),
        );
        r.register("task_starts", "Tasks that were given a place", self.starts.clone());
        r.register(
            "start_wait_seconds",
            "Time from a job's acceptance until tasks of it were given places",
            self.start_wait.clone(),
        );
        r.register("run_ends", "Runs that ended, by how", self.ends.clone());
        r.register("worker_changes", "What became of workers", self.workers.clone());
        r.register(
            "worker_crashes",
            "Workers that crashed just after they had started tasks",
            self.crashes.clone(),
        );
        r.register(
            "tasks_given_up",
            "Tasks that had crashed too many workers",
            self.given_up.clone(),
        );
        r.register(
            "unknown_ends",
            "Runs whose end wasn't known when their worker left",
            self.unknown_ends.clone(),
        );
        r.register("records", "Records that were committed", self.records.clone());
        r.register(
            "commit_duration_seconds",
            "Time from a proposal until it was committed",
            self.commits.clone(),
        );
        r.register(
            "turn_duration_seconds",
            "Time that control takes to handle a batch of events",
            self.turns.clone(),
        );
        r.register("faults", "Entries or events that can't be handled", self.faults.clone());
        r.register("config_version", "Version of the configuration", self.version.clone());
        r.register("term", "Term of the agreement", self.term.clone());
        r.register("leads", "Whether this controller leads", self.leads.clone());
        r.register("jobs", "Jobs that are held", self.job_count.clone());
        r.register("waiting_steps", "Steps with tasks to be placed", self.waiting_steps.clone());
        r.register("workers", "Workers that are known", self.worker_count.clone());
        r.register(
            "waiting_restarts",
            "Long-running tasks that have run before and wait",
            self.waiting_restarts.clone(),
        );
        r.register(
            "longest_restart_wait_seconds",
            "Longest wait of a long-running task that has run before",
            self.restart_wait.clone(),
        );
        r.register(
            "interference_pairs",
            "Pairs of images with a recorded estimate of interference",
            self.recorded_pairs.clone(),
        );
        self.register_near_waits();
        self.register_members();
    }

    fn register_near_waits(&mut self) {
        let r = &mut self.registry;
        r.register(
            "near_waits",
            "Tasks that waited for a better placement, by the place that they got",
            self.near_waits.clone(),
        );
        r.register(
            "near_wait_seconds",
            "Time for which steps waited for better placements",
            self.near_wait.clone(),
        );
        r.register(
            "near_waiting",
            "Tasks that wait for a better placement",
            self.near_waiting.clone(),
        );
    }

    fn register_members(&mut self) {
        let r = &mut self.registry;
        r.register("voters", "Controllers that vote", self.voters.clone());
        r.register("live_voters", "Voters that were heard recently", self.live_voters.clone());
        r.register("standbys", "Controllers that could become voters", self.standbys.clone());
        r.register("wanted_voters", "Voters to aim at", self.wanted_voters.clone());
        self.evacuations.register(r);
    }

    /// Counts an answer.
    pub fn count_answer(&self, answer: &Answer) {
        self.answers.get_or_create(&AnswerLabels { answer: answer.name() }).inc();
    }

    /// Updates the metrics from a log event.
    pub fn record(&self, event: &LogEvent) {
        match event {
            LogEvent::Role { role, term, .. } => {
                self.term.set(saturating_i64(term.0));
                self.leads.set(i64::from(*role == Role::Leader));
            }
            LogEvent::Configured { version, .. } => {
                self.version.set(saturating_i64(*version));
            }
            LogEvent::Job { state, age_ms, .. } => {
                let labels = StateLabels { state };
                self.jobs.get_or_create(&labels).inc();
                self.ages.get_or_create(&labels).observe(seconds(*age_ms));
            }
            LogEvent::Started { tasks, age_ms, .. } => {
                self.starts.inc_by(u64::from(*tasks));
                self.start_wait.observe(seconds(*age_ms));
            }
            LogEvent::NearWaitEnded { near, far, waited_ms, .. } => {
                for (place, tasks) in [("near", near), ("far", far)] {
                    self.near_waits.get_or_create(&PlaceLabels { place }).inc_by((*tasks).into());
                }
                self.near_wait.observe(seconds(*waited_ms));
            }
            LogEvent::Ended { ending, .. } => {
                self.ends.get_or_create(&EndingLabels { ending }).inc();
            }
            LogEvent::Worker { state, .. } => {
                self.workers.get_or_create(&StateLabels { state }).inc();
            }
            LogEvent::Resized { .. } => {
                self.workers.get_or_create(&StateLabels { state: "was resized" }).inc();
            }
            LogEvent::Crash { .. } => drop(self.crashes.inc()),
            LogEvent::GivenUp { .. } => drop(self.given_up.inc()),
            LogEvent::Leave { runs, .. } => drop(self.unknown_ends.inc_by(*runs as u64)),
            LogEvent::Committed { records, took } => {
                self.records.inc_by(*records as u64);
                self.commits.observe(took.as_secs_f64());
            }
            LogEvent::Unreadable { .. } | LogEvent::Unhandled { .. } => drop(self.faults.inc()),
            LogEvent::Leading { .. }
            | LogEvent::EstimatesRestored { .. }
            | LogEvent::Withheld { .. }
            | LogEvent::Ignored { .. }
            | LogEvent::NearWait { .. }
            | LogEvent::Stranded { .. }
            | LogEvent::Vacant { .. }
            | LogEvent::Unlisted { .. }
            | LogEvent::SteppedDown(_)
            | LogEvent::Evacuation { .. }
            | LogEvent::Members { .. }
            | LogEvent::TooFewVoters { .. }
            | LogEvent::EnoughVoters { .. }
            | LogEvent::ControllerHeard { .. }
            | LogEvent::NoLeader { .. }
            | LogEvent::MembersCommitted { .. } => {}
        }
    }

    /// Updates the gauges from the controller's state.
    pub fn observe(&self, controller: &Controller) {
        let leader = controller.leader();
        self.job_count.set(saturating_i64(controller.committed().jobs.len() as u64));
        self.waiting_steps
            .set(saturating_i64(leader.map_or(0, |leader| leader.waiting_steps() as u64)));
        self.near_waiting.set(saturating_i64(leader.map_or(0, Leader::near_waits) as u64));
        let backlog = leader.map(Leader::restart_backlog).unwrap_or_default();
        self.waiting_restarts.set(saturating_i64(backlog.tasks as u64));
        self.restart_wait.set(backlog.longest.as_secs_f64());
        self.worker_count
            .set(saturating_i64(leader.map_or(0, |leader| leader.fleet.workers.len() as u64)));
        let pairs = controller.committed().estimates.len();
        self.recorded_pairs.set(saturating_i64(pairs as u64));
        let counts = leader.map(|leader| leader.voters.counts()).unwrap_or_default();
        self.voters.set(saturating_i64(counts.voters as u64));
        self.live_voters.set(saturating_i64(counts.live_voters as u64));
        self.standbys.set(saturating_i64(counts.standbys as u64));
        self.wanted_voters.set(saturating_i64(counts.wanted as u64));
        self.evacuations.observe(controller);
    }

    /// Encodes all metrics in the text format.
    ///
    /// # Errors
    ///
    /// A value can't be formatted.
    pub fn encode(&self, rings: &[RingReading]) -> Result<String, fmt::Error> {
        self.rings.set(rings);
        if let Some(clients) = &self.clients {
            clients.set_gauges();
        }
        encode_text(&self.registry)
    }
}

fn seconds(millis: u64) -> f64 {
    Duration::from_millis(millis).as_secs_f64()
}
