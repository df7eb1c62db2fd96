//! A simulated worker of the deployment: sends heartbeats, starts and stops tasks as the
//! responses say, and stops all of them when its lease expires.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use hyper::Method;
use serde_json::{Value, json};
use tokio::{task::JoinHandle, time::timeout};

use crate::{
    net,
    platform::{SERVICE, redirect_address},
};

/// The run time of every task.
const TASK_DURATION: Duration = Duration::from_millis(200);

/// A task that is started with this payload fails at the end of its run time.
pub const FAILING_PAYLOAD: &str = "this task fails";

/// The limit on a heartbeat, from sending it to the complete response.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// The largest response that a worker accepts.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// The delay before the next heartbeat after one that failed.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A run of a task on a simulated worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The id of the task.
    pub task: String,
    /// The number of the run within its task.
    pub run: u64,
    /// The name of the worker.
    pub worker: String,
    /// When the worker started it.
    pub started: Instant,
    /// When it ended, if it has.
    pub ended: Option<Instant>,
    /// Whether it ran to completion without failing.
    pub completed: bool,
}

/// The runs on all simulated workers, in the order of their starts; clones share one list.
#[derive(Clone, Debug, Default)]
pub struct RunHistory {
    runs: Arc<Mutex<Vec<Run>>>,
}

impl RunHistory {
    /// A copy of all runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().clone()
    }

    /// The first pair of concurrent runs of the same task, if there is one.
    pub fn overlapping_runs(&self) -> Option<(Run, Run)> {
        let runs = self.runs();
        let pairs = runs.iter().enumerate().flat_map(|(at, a)| {
            runs[at + 1..].iter().filter(|b| b.task == a.task).map(move |b| (a.clone(), b.clone()))
        });
        pairs.into_iter().find(|(a, b)| a.ended.is_none_or(|ended| ended > b.started))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Run>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A simulated worker that runs until it is dropped.
#[derive(Debug)]
pub struct Worker {
    task: JoinHandle<()>,
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Worker {
    /// Starts a worker in the first data centre that sends its heartbeats to these controllers.
    pub fn start(name: &str, controllers: &[SocketAddr], history: &RunHistory) -> Self {
        Self::start_in("centre-0", name, controllers, history)
    }

    /// Starts a worker in a data centre.
    pub fn start_in(
        centre: &str,
        name: &str,
        controllers: &[SocketAddr],
        history: &RunHistory,
    ) -> Self {
        let incarnation = Incarnation {
            name: name.to_owned(),
            centre: centre.to_owned(),
            born: net::unix_millis(),
            controllers: controllers.to_vec(),
            history: history.clone(),
            sequence: 0,
            end_sequence: 0,
            running: BTreeMap::new(),
            failing: BTreeSet::new(),
            finished: Vec::new(),
            started: Instant::now(),
            lease: Instant::now(),
        };
        Self { task: tokio::spawn(incarnation.run()) }
    }
}

/// The address of a worker, which it keeps when it starts again. Nobody connects to it.
fn address(name: &str) -> String {
    let sum = name.bytes().fold(0, |sum: u16, byte| sum.wrapping_mul(31).wrapping_add(byte.into()));
    let [high, low] = sum.to_be_bytes();
    format!("10.0.{high}.{low}:8080")
}

/// One incarnation of a worker.
struct Incarnation {
    name: String,
    /// Its data centre.
    centre: String,
    /// When it started, in milliseconds since the Unix epoch.
    born: u64,
    controllers: Vec<SocketAddr>,
    history: RunHistory,
    /// The number of the last heartbeat.
    sequence: u64,
    /// The number of the last ended task, which the controller acknowledges.
    end_sequence: u64,
    /// The running tasks: run number, index in the history, and when the task is due to finish.
    running: BTreeMap<String, (u64, usize, Instant)>,
    /// The tasks that were started with [`FAILING_PAYLOAD`].
    failing: BTreeSet<String>,
    /// Ended tasks whose report isn't acknowledged yet, with their numbers.
    finished: Vec<(u64, Value)>,
    /// When it started, by its monotonic clock.
    started: Instant,
    /// When the lease expires.
    lease: Instant,
}

impl Incarnation {
    async fn run(mut self) {
        let mut at = 0;
        let mut controller = None;
        loop {
            self.end_due();
            let to = controller.unwrap_or(self.controllers[at % self.controllers.len()]);
            let sent = Instant::now();
            self.sequence += 1;
            let path = format!("/hickorylink/instances/{}", self.name);
            let body = self.heartbeat().to_string();
            let call = net::send(to, Method::PUT, &path, &[], body.into());
            let pause = match timeout(HEARTBEAT_TIMEOUT, call).await {
                Ok(Ok(reply)) if reply.status == 200 && reply.body.len() <= MAX_RESPONSE_BYTES => {
                    let response = serde_json::from_slice(&reply.body).unwrap_or_default();
                    controller = heartbeat_address(&response).or(controller);
                    self.apply_response(&response, sent)
                }
                Ok(Ok(reply)) if reply.status == 307 => {
                    controller = reply.location.as_deref().and_then(redirect_address);
                    Duration::ZERO
                }
                Ok(_) | Err(_) => {
                    controller = None;
                    at += 1;
                    RETRY_DELAY
                }
            };
            self.wait(pause).await;
        }
    }

    /// Waits for `pause`, but not longer than shortly after the next task is due to finish, so that
    /// its end is reported promptly.
    async fn wait(&self, pause: Duration) {
        let next = self.running.values().map(|(_, _, end)| *end).min();
        let end = next.map(|end| end.saturating_duration_since(Instant::now()) + RETRY_DELAY / 2);
        tokio::time::sleep(end.map_or(pause, |end| end.min(pause))).await;
    }

    /// Ends the tasks that are due, and all tasks if the lease has expired.
    fn end_due(&mut self) {
        let now = Instant::now();
        let expired = now >= self.lease;
        let ended: Vec<_> = self
            .running
            .iter()
            .filter(|(_, (_, _, end))| expired || *end <= now)
            .map(|(task, (run, index, end))| (task.clone(), *run, *index, *end <= now))
            .collect();
        for (task, run, index, done) in ended {
            let outcome = match done {
                true if self.failing.contains(&task) => "failed",
                true => "done",
                false => "lapsed",
            };
            self.end(&task, run, index, outcome);
        }
    }

    fn end(&mut self, task: &str, run: u64, index: usize, outcome: &str) {
        self.running.remove(task);
        self.end_sequence += 1;
        self.finished.push((self.end_sequence, json!([self.end_sequence, task, run, outcome, ""])));
        let mut runs = self.history.lock();
        runs[index].ended = Some(Instant::now());
        runs[index].completed = outcome == "done";
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn heartbeat(&self) -> Value {
        let running: Vec<_> =
            self.running.iter().map(|(task, (run, _, _))| json!([task, run, "", 1, 0])).collect();
        let finished: Vec<_> = self.finished.iter().map(|(_, row)| row).collect();
        json!({
            "service": SERVICE, "address": address(&self.name), "zone": self.centre,
            "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0, "born": self.born,
            "seqNum": self.sequence, "clockMs": self.clock_ms(), "labels": ["a", "r1"],
            "capacity": { "cpu": 4000, "memMb": 4000, "gpu": 0 },
            "running": running, "finished": finished,
        })
    }

    /// Applies the lease, stops and starts of a response, and returns the delay until the next
    /// heartbeat.
    fn apply_response(&mut self, response: &Value, sent: Instant) -> Duration {
        let Some(lease_ms) = response["holdMs"].as_u64() else { return RETRY_DELAY };
        self.lease = self.lease.max(sent + Duration::from_millis(lease_ms));
        if let Some(acknowledged) = response["ackSeq"].as_u64() {
            self.finished.retain(|(number, _)| *number > acknowledged);
        }
        for row in rows(&response["stopTasks"]) {
            let known = row[0].as_str().and_then(|task| self.running.get_key_value(task));
            let known = known.map(|(task, (run, index, _))| (task.clone(), *run, *index));
            if let Some((task, run, index)) = known.filter(|k| Some(k.1) == row[1].as_u64()) {
                self.end(&task, run, index, "stopped");
            }
        }
        for row in rows(&response["startTasks"]) {
            let (Some(task), Some(run)) = (row[0].as_str(), row[1].as_u64()) else { continue };
            if self.running.contains_key(task) {
                continue;
            }
            if row[2].as_str() == Some(FAILING_PAYLOAD) {
                self.failing.insert(task.to_owned());
            }
            let (now, mut runs) = (Instant::now(), self.history.lock());
            self.running.insert(task.to_owned(), (run, runs.len(), now + TASK_DURATION));
            let (task, worker) = (task.to_owned(), self.name.clone());
            runs.push(Run { task, run, worker, started: now, ended: None, completed: false });
        }
        Duration::from_millis(response["retryAfterMs"].as_u64().unwrap_or(100))
    }
}

fn rows(list: &Value) -> &[Value] {
    list.as_array().map_or(&[], Vec::as_slice)
}

fn heartbeat_address(response: &Value) -> Option<SocketAddr> {
    response["heartbeatAddr"].as_str()?.parse().ok()
}
