//! Running an attempt on a simulated worker.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use hickorylink_lib::{
    ids::{ServiceName, TaskAttempt},
    task::Checkpoint,
    worker::{AttemptState, StartCommand},
};
use serde::Deserialize;
use tokio::task::JoinHandle;

use super::{AttemptEntry, Shared, target};
use crate::{history::Event, relay::Relay};

/// Full speed or complete progress, in thousandths.
const FULL_PERMILLE: u32 = 1000;

/// The interval at which a batch task makes progress and writes a checkpoint.
const STEP_INTERVAL: Duration = Duration::from_millis(20);

/// The payload of a simulated batch task; the default replaces one that can't be parsed.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Script {
    /// The run time at full speed, in milliseconds.
    pub run_ms: u64,
    /// Whether the task fails at the end.
    pub fail: bool,
    /// The output of the completed task.
    pub output: String,
}

impl Default for Script {
    fn default() -> Self {
        Self { run_ms: 100, fail: false, output: "done".to_owned() }
    }
}

/// A running attempt.
#[derive(Debug)]
pub struct Running {
    service: Option<ServiceName>,
    speed: Arc<AtomicU32>,
    task: JoinHandle<()>,
}

impl Running {
    /// The service of which it is a replica; `None` for a batch task.
    pub fn service(&self) -> Option<&ServiceName> {
        self.service.as_ref()
    }

    /// Limits it to a share of its processors, in thousandths.
    pub fn throttle(&self, permille: u32) {
        self.speed.store(permille.min(FULL_PERMILLE), Ordering::Relaxed);
    }

    /// Aborts it.
    pub fn stop(&self) {
        self.task.abort();
    }
}

/// Starts an attempt, unless it was started or stopped before or lacks a valid lease.
pub(super) async fn start(shared: &Arc<Shared>, start: StartCommand) {
    let attempt = start.attempt;
    if !shared.lock().admit_start(attempt, start.service.is_none()) {
        return;
    }
    let speed = Arc::new(AtomicU32::new(FULL_PERMILLE));
    let (task, relay) = match &start.service {
        Some(_) => match target::serve(shared, attempt).await {
            Ok((task, relay)) => (task, Some(relay)),
            Err(_) => return report_not_started(shared, attempt),
        },
        None => (tokio::spawn(run_batch(shared.clone(), start.clone(), speed.clone())), None),
    };
    shared.history.record(&shared.spec.name, Event::Started(attempt));
    let running = Running { service: start.service, speed, task };
    insert(shared, attempt, AttemptState::Running, Some(running), relay);
}

/// Records that an attempt couldn't be started.
fn report_not_started(shared: &Shared, attempt: TaskAttempt) {
    let state = AttemptState::NotStarted { reason: "no port is free".to_owned() };
    insert(shared, attempt, state, None, None);
}

/// Sets the worker's entry for an attempt, replacing a previous one.
pub(super) fn insert(
    shared: &Shared,
    attempt: TaskAttempt,
    state: AttemptState,
    running: Option<Running>,
    relay: Option<Relay>,
) {
    let entry = AttemptEntry { state, running, relay, checkpoint: None };
    let mut state = shared.lock();
    state.newest.insert(attempt.task, attempt.attempt);
    state.attempts.insert(attempt, entry);
}

async fn run_batch(shared: Arc<Shared>, start: StartCommand, speed: Arc<AtomicU32>) {
    let attempt = start.attempt;
    // Relies on the caller to insert the attempt's entry during the sleep of the first step.
    let script: Script = serde_json::from_slice(&start.payload).unwrap_or_default();
    let total = Duration::from_millis(script.run_ms.max(1));
    let start_permille =
        start.checkpoint.as_ref().map_or(0, |checkpoint| checkpoint.permille.min(FULL_PERMILLE));
    let mut done = total * start_permille / FULL_PERMILLE;
    while done < total {
        tokio::time::sleep(STEP_INTERVAL).await;
        done += STEP_INTERVAL * speed.load(Ordering::Relaxed) / FULL_PERMILLE;
        let permille =
            (done.as_millis() * u128::from(FULL_PERMILLE) / total.as_millis().max(1)) as u32;
        let permille = permille.min(FULL_PERMILLE);
        let handle = format!("{attempt}/{permille}");
        let checkpoint = Checkpoint { attempt: attempt.attempt, permille, handle };
        shared.store_checkpoint(attempt, checkpoint);
    }
    let state = if script.fail || shared.spec.always_fails {
        AttemptState::Failed { reason: "exit status 1".to_owned() }
    } else {
        AttemptState::Completed { output: Bytes::from(script.output) }
    };
    shared.end(attempt, state);
}
