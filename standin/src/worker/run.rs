//! Running a try on a stand-in worker.

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

use super::{Shared, Try, target};
use crate::{history::Event, relay::Relay};

/// A whole, in thousandths.
const WHOLE: u32 = 1000;

/// How often a batch task goes forward and writes a checkpoint.
const STEP: Duration = Duration::from_millis(20);

/// What the payload of a stand-in's batch task says; anything else runs for a moment.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Script {
    /// How long the task runs, in milliseconds.
    pub run_ms: u64,
    /// Whether it fails at the end.
    pub fail: bool,
    /// What it prints.
    pub output: String,
}

impl Default for Script {
    fn default() -> Self {
        Self { run_ms: 100, fail: false, output: "done".to_owned() }
    }
}

/// A try that runs.
#[derive(Debug)]
pub struct Running {
    service: Option<ServiceName>,
    speed: Arc<AtomicU32>,
    task: JoinHandle<()>,
}

impl Running {
    /// The service whose replica it is.
    pub fn service(&self) -> Option<&ServiceName> {
        self.service.as_ref()
    }

    /// Lets it use only a part of its processors, in thousandths.
    pub fn throttle(&self, permille: u32) {
        self.speed.store(permille.min(WHOLE), Ordering::Relaxed);
    }

    /// Ends it.
    pub fn stop(&self) {
        self.task.abort();
    }
}

/// Starts a try, unless it was started or stopped before.
pub(super) async fn start(shared: &Arc<Shared>, start: StartCommand) {
    let attempt = start.attempt;
    if !shared.lock().admit_start(attempt, start.service.is_none()) {
        return;
    }
    let speed = Arc::new(AtomicU32::new(WHOLE));
    let (task, relay) = match &start.service {
        Some(_) => match target::serve(shared, attempt).await {
            Ok((task, relay)) => (task, Some(relay)),
            Err(_) => return never_started(shared, attempt),
        },
        None => (tokio::spawn(batch(shared.clone(), start.clone(), speed.clone())), None),
    };
    shared.history.record(&shared.spec.name, Event::Started(attempt));
    let running = Running { service: start.service, speed, task };
    insert(shared, attempt, AttemptState::Running, Some(running), relay);
}

/// Notes that a try couldn't be started.
fn never_started(shared: &Shared, attempt: TaskAttempt) {
    let state = AttemptState::NotStarted { reason: "no port is free".to_owned() };
    insert(shared, attempt, state, None, None);
}

/// Puts a try into the worker's table, in place of whatever was known of it.
pub(super) fn insert(
    shared: &Shared,
    attempt: TaskAttempt,
    state: AttemptState,
    running: Option<Running>,
    relay: Option<Relay>,
) {
    let this = Try { state, running, relay, checkpoint: None };
    let mut state = shared.lock();
    state.newest.insert(attempt.task, attempt.attempt);
    state.tries.insert(attempt, this);
}

async fn batch(shared: Arc<Shared>, start: StartCommand, speed: Arc<AtomicU32>) {
    let attempt = start.attempt;
    // The try is in the worker's table before its first step ends.
    let script: Script = serde_json::from_slice(&start.payload).unwrap_or_default();
    let whole = Duration::from_millis(script.run_ms.max(1));
    let from = start.checkpoint.as_ref().map_or(0, |checkpoint| checkpoint.permille.min(WHOLE));
    let mut done = whole * from / WHOLE;
    while done < whole {
        tokio::time::sleep(STEP).await;
        done += STEP * speed.load(Ordering::Relaxed) / WHOLE;
        let permille = (done.as_millis() * u128::from(WHOLE) / whole.as_millis().max(1)) as u32;
        let permille = permille.min(WHOLE);
        let handle = format!("{attempt}/{permille}");
        let checkpoint = Checkpoint { attempt: attempt.attempt, permille, handle };
        shared.checkpointed(attempt, checkpoint);
    }
    let state = if script.fail || shared.spec.always_fails {
        AttemptState::Failed { reason: "exit status 1".to_owned() }
    } else {
        AttemptState::Completed { output: Bytes::from(script.output) }
    };
    shared.end(attempt, state);
}
