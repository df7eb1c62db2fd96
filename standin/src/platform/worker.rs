//! A stand-in worker: it heartbeats, does what it is told, and stops by its lease.

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

/// How long a task works.
const WORK: Duration = Duration::from_millis(200);

/// Tasks that are handed this text fail once their work is over.
pub const FAILING_PAYLOAD: &str = "this task fails";

/// An answer that takes longer is dropped.
const ANSWER: Duration = Duration::from_secs(1);

/// The wait after a heartbeat that failed.
const PAUSE: Duration = Duration::from_millis(100);

/// A run on a stand-in worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The task.
    pub task: String,
    /// The number of the start.
    pub run: u64,
    /// The worker.
    pub worker: String,
    /// When it started.
    pub started: Instant,
    /// When it ended, if it has.
    pub ended: Option<Instant>,
    /// Whether it ended as done.
    pub completed: bool,
}

/// What ran on all stand-in workers, in the order of the starts.
#[derive(Clone, Debug, Default)]
pub struct RunHistory {
    runs: Arc<Mutex<Vec<Run>>>,
}

impl RunHistory {
    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().clone()
    }

    /// A task that ran twice at the same time, if there is one.
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

/// A stand-in worker that runs until it is dropped.
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
    /// Starts a worker that knows these controllers.
    pub fn start(name: &str, controllers: &[SocketAddr], record: &RunHistory) -> Self {
        let life = Life {
            name: name.to_owned(),
            born: net::wall_millis(),
            controllers: controllers.to_vec(),
            record: record.clone(),
            sequence: 0,
            ends: 0,
            running: BTreeMap::new(),
            failing: BTreeSet::new(),
            finished: Vec::new(),
            lease: Instant::now(),
        };
        Self { task: tokio::spawn(life.run()) }
    }
}

/// One incarnation of a worker.
struct Life {
    name: String,
    born: u64,
    controllers: Vec<SocketAddr>,
    record: RunHistory,
    sequence: u64,
    ends: u64,
    /// Task, with its run, its place in the record and when it is done.
    running: BTreeMap<String, (u64, usize, Instant)>,
    /// Those of them that will fail.
    failing: BTreeSet<String>,
    finished: Vec<(u64, Value)>,
    lease: Instant,
}

impl Life {
    async fn run(mut self) {
        let mut at = 0;
        let mut home = None;
        loop {
            self.advance();
            let to = home.unwrap_or(self.controllers[at % self.controllers.len()]);
            let sent = Instant::now();
            self.sequence += 1;
            let path = format!("/hickorylink/instances/{}", self.name);
            let body = self.body().to_string();
            let call = net::send(to, Method::PUT, &path, &[], body.into());
            let pause = match timeout(ANSWER, call).await {
                Ok(Ok(answer)) if answer.status == 200 => {
                    let told = serde_json::from_slice(&answer.body).unwrap_or_default();
                    home = told_home(&told).or(home);
                    self.obey(&told, sent)
                }
                Ok(Ok(answer)) if answer.status == 307 => {
                    home = answer.location.as_deref().and_then(redirect_address);
                    Duration::ZERO
                }
                Ok(_) | Err(_) => {
                    home = None;
                    at += 1;
                    PAUSE
                }
            };
            self.rest(pause).await;
        }
    }

    /// Waits until the next heartbeat is due: at the latest a little after the next end.
    async fn rest(&self, pause: Duration) {
        let next = self.running.values().map(|(_, _, end)| *end).min();
        let end = next.map(|end| end.saturating_duration_since(Instant::now()) + PAUSE / 2);
        tokio::time::sleep(end.map_or(pause, |end| end.min(pause))).await;
    }

    /// Ends what is done, and all of it if the lease has run out.
    fn advance(&mut self) {
        let now = Instant::now();
        let lapsed = now >= self.lease;
        let ended: Vec<_> = self
            .running
            .iter()
            .filter(|(_, (_, _, end))| lapsed || *end <= now)
            .map(|(task, (run, place, end))| (task.clone(), *run, *place, *end <= now))
            .collect();
        for (task, run, place, done) in ended {
            let how = match done {
                true if self.failing.contains(&task) => "failed",
                true => "done",
                false => "lapsed",
            };
            self.end(&task, run, place, how);
        }
    }

    fn end(&mut self, task: &str, run: u64, place: usize, how: &str) {
        self.running.remove(task);
        self.ends += 1;
        self.finished.push((self.ends, json!([self.ends, task, run, how, ""])));
        let mut runs = self.record.lock();
        runs[place].ended = Some(Instant::now());
        runs[place].completed = how == "done";
    }

    fn body(&self) -> Value {
        let running: Vec<_> =
            self.running.iter().map(|(task, (run, _, _))| json!([task, run, "", 1, 0])).collect();
        let finished: Vec<_> = self.finished.iter().map(|(_, row)| row).collect();
        json!({
            "service": SERVICE, "address": format!("{}:1", self.name), "zone": "centre-0",
            "version": "v1", "slots": 8, "state": "ready", "born": self.born,
            "seqNum": self.sequence, "labels": ["a", "r1"],
            "capacity": { "cpu": 4000, "memMb": 4000, "gpu": 0 },
            "running": running, "finished": finished,
        })
    }

    /// Does what the answer says; gives the time until the next heartbeat.
    fn obey(&mut self, told: &Value, sent: Instant) -> Duration {
        let Some(hold) = told["holdMs"].as_u64() else { return PAUSE };
        self.lease = self.lease.max(sent + Duration::from_millis(hold));
        if let Some(seen) = told["ackSeq"].as_u64() {
            self.finished.retain(|(number, _)| *number > seen);
        }
        for row in rows(&told["stopTasks"]) {
            let known = row[0].as_str().and_then(|task| self.running.get_key_value(task));
            let known = known.map(|(task, (run, place, _))| (task.clone(), *run, *place));
            if let Some((task, run, place)) = known.filter(|k| Some(k.1) == row[1].as_u64()) {
                self.end(&task, run, place, "stopped");
            }
        }
        for row in rows(&told["startTasks"]) {
            let (Some(task), Some(run)) = (row[0].as_str(), row[1].as_u64()) else { continue };
            if self.running.contains_key(task) {
                continue;
            }
            if row[2].as_str() == Some(FAILING_PAYLOAD) {
                self.failing.insert(task.to_owned());
            }
            let (now, mut runs) = (Instant::now(), self.record.lock());
            self.running.insert(task.to_owned(), (run, runs.len(), now + WORK));
            let (task, worker) = (task.to_owned(), self.name.clone());
            runs.push(Run { task, run, worker, started: now, ended: None, completed: false });
        }
        Duration::from_millis(told["retryAfterMs"].as_u64().unwrap_or(100))
    }
}

fn rows(list: &Value) -> &[Value] {
    list.as_array().map_or(&[], Vec::as_slice)
}

fn told_home(told: &Value) -> Option<SocketAddr> {
    told["heartbeatAddr"].as_str()?.parse().ok()
}
