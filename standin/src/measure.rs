//! What real processes spend: memory, processor time, bytes between instances, time to go on after
//! a loss. Prints figures; it judges none.

use std::{
    fs, io,
    path::Path,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hickorylink_lib::{
    api::{SizeBody, SubmitBody},
    ids::TaskId,
};
use hyper::Method;

use crate::{
    caller::{self, Load},
    cluster::{Cluster, InstanceSpec, credential_hash, eventually},
    demo::worker_spec,
    history::History,
    net,
    worker::Worker,
};

/// How long any step may take.
const PATIENCE: Duration = Duration::from_secs(60);

/// How long an instance is watched while nothing happens.
const REST: Duration = Duration::from_secs(10);

/// The time of a processor's tick in /proc, in milliseconds.
const TICK_MS: f64 = 10.0;

const STORE: &str = "store-demo";

const INSTANCES: &[InstanceSpec<'_>] = &[
    InstanceSpec { name: "akl-a-1", centre: "akl-a", disk: true },
    InstanceSpec { name: "akl-b-1", centre: "akl-b", disk: true },
    InstanceSpec { name: "hlz-c-1", centre: "hlz-c", disk: true },
    InstanceSpec { name: "akl-a-2", centre: "akl-a", disk: false },
];

/// What one process has spent so far.
#[derive(Clone, Copy, Debug, Default)]
struct Spent {
    resident_kib: u64,
    processor_ms: f64,
    peer_bytes: u64,
}

/// A cluster whose processes are watched.
struct Watched {
    cluster: Cluster,
    workers: Vec<Worker>,
}

/// Runs all measurements.
///
/// # Errors
///
/// A process can't be had, or a step takes too long.
pub async fn run(program: &Path, folder: &Path) -> io::Result<()> {
    let mut watched = start(program, folder).await?;
    watched.rest("at rest").await;
    watched.direct(2000).await;
    watched.requests("10,000 idempotent requests", 10_000, true).await;
    watched.requests("2,000 requests with a claim each", 2000, false).await;
    watched.tasks(1000).await?;
    watched.rest("at rest again").await;
    watched.edit().await?;
    watched.lose_leader().await?;
    watched.restart().await
}

async fn start(program: &Path, folder: &Path) -> io::Result<Watched> {
    let cluster = Cluster::start(program, folder, INSTANCES)?;
    let (config, history) = (cluster.announce_config(), History::default());
    let mut workers = Vec::new();
    for centre in ["akl-a", "akl-b", "hlz-c"] {
        for number in 0..4 {
            let mut spec = worker_spec(centre, number);
            spec.service_time = Duration::from_millis(10);
            workers.push(Worker::start(spec, config.clone(), history.clone()).await?);
        }
    }
    for (list, text) in [("plans", plans()), ("usage", usage())] {
        let applied = eventually(PATIENCE, async || {
            cluster.apply(0, list, &text).await.ok().filter(|answer| answer.status == 200)
        });
        applied.await.ok_or(io::ErrorKind::TimedOut)?;
    }
    let watched = Watched { cluster, workers };
    let served = eventually(PATIENCE, async || {
        let report = caller::run(&watched.load("probe", 40, 40, true)).await;
        (report.ran == 40).then_some(())
    });
    served.await.ok_or(io::ErrorKind::TimedOut)?;
    Ok(watched)
}

impl Watched {
    fn load(&self, label: &str, rate: u32, count: u32, idempotent: bool) -> Load {
        Load {
            instances: self.cluster.instances.iter().map(|instance| instance.listen).collect(),
            credential: STORE.to_owned(),
            service: "folddesk".to_owned(),
            path: "square".to_owned(),
            rate,
            count,
            idempotent,
            deadline: Duration::from_secs(5),
            label: label.to_owned(),
        }
    }

    async fn spent(&self) -> Vec<Spent> {
        let mut all = Vec::new();
        for at in 0..self.cluster.instances.len() {
            let Some(id) = self.cluster.pid(at) else {
                all.push(Spent::default());
                continue;
            };
            let metrics = self.cluster.metrics(at).await.unwrap_or_default();
            all.push(Spent {
                resident_kib: resident(id).unwrap_or_default(),
                processor_ms: processor(id).unwrap_or_default(),
                peer_bytes: value(&metrics, "hickorylink_peer_sent_bytes_total")
                    + value(&metrics, "hickorylink_peer_received_bytes_total"),
            });
        }
        all
    }

    fn print(&self, what: &str, took: Duration, before: &[Spent], after: &[Spent]) {
        println!("{what}, {:.1} s:", took.as_secs_f64());
        let instances = self.cluster.instances.iter().zip(before.iter().zip(after));
        for (instance, (before, after)) in instances {
            let seconds = took.as_secs_f64();
            let processor = after.processor_ms - before.processor_ms;
            println!(
                "  {}: {:.1} MiB resident, {:.2}% of a core, {:.0} B/s to and from instances",
                instance.name,
                after.resident_kib as f64 / 1024.0,
                processor / seconds / 10.0,
                (after.peer_bytes - before.peer_bytes) as f64 / seconds,
            );
        }
    }

    async fn rest(&self, what: &str) {
        let before = self.spent().await;
        let start = Instant::now();
        tokio::time::sleep(REST).await;
        let took = start.elapsed();
        self.print(what, took, &before, &self.spent().await);
    }

    /// The same requests sent straight to the targets, to compare with.
    async fn direct(&self, count: u32) {
        let targets: Vec<_> =
            self.workers.iter().flat_map(|worker| worker.shared.targets()).collect();
        let mut calls = tokio::task::JoinSet::new();
        let mut ticks = tokio::time::interval(Duration::from_secs(1) / 500);
        for number in 0..count {
            ticks.tick().await;
            let target = targets[number as usize % targets.len()];
            calls.spawn(async move {
                let sent = Instant::now();
                let body = Bytes::from("direct");
                let answer = net::send(target, Method::POST, "/square", &[], body).await;
                answer.ok().map(|_| sent.elapsed())
            });
        }
        let mut latency = caller::Report::default().latency;
        for took in calls.join_all().await.into_iter().flatten() {
            let _ = latency.record(u64::try_from(took.as_micros()).unwrap_or(u64::MAX));
        }
        let ms = |quantile| latency.value_at_quantile(quantile) as f64 / 1000.0;
        println!(
            "{count} requests straight to the targets: p50 {:.2}, p99 {:.2}, p99.9 {:.2} ms",
            ms(0.5),
            ms(0.99),
            ms(0.999)
        );
    }

    /// Times an edit of a list from its sending until it is in force at every instance.
    async fn edit(&self) -> io::Result<()> {
        let text = plans().replace("\"version\":1", "\"version\":2");
        let start = Instant::now();
        let answer = self.cluster.apply(1, "plans", &text).await.map_err(io::Error::other)?;
        println!(
            "an edit of the plans is answered with {} after {:.2?}",
            answer.status,
            start.elapsed()
        );
        for at in 0..self.cluster.instances.len() {
            let in_force = eventually(PATIENCE, async || {
                (self.cluster.status(at).await?["plans"].as_u64()? >= 3).then_some(())
            });
            in_force.await.ok_or(io::ErrorKind::TimedOut)?;
        }
        println!("  and in force at every instance after {:.2?}", start.elapsed());
        Ok(())
    }

    async fn requests(&self, what: &str, count: u32, idempotent: bool) {
        let before = self.spent().await;
        let start = Instant::now();
        let label = format!("load-{idempotent}");
        let report = caller::run(&self.load(&label, 500, count, idempotent)).await;
        let took = start.elapsed();
        self.print(what, took, &before, &self.spent().await);
        let ms = |quantile| report.latency.value_at_quantile(quantile) as f64 / 1000.0;
        println!(
            "  {} ran, {} not run, {} unknown; p50 {:.2}, p99 {:.2}, p99.9 {:.2} ms",
            report.ran,
            report.not_run,
            report.unknown,
            ms(0.5),
            ms(0.99),
            ms(0.999)
        );
    }

    async fn tasks(&self, count: u32) -> io::Result<()> {
        let before = self.spent().await;
        let start = Instant::now();
        let mut tasks = Vec::new();
        for number in 0..count {
            let body = submission(&format!("task-{number}"));
            let at = number as usize % self.cluster.instances.len();
            let taken = eventually(PATIENCE, async || self.cluster.submit(at, STORE, &body).await);
            tasks.push(taken.await.ok_or(io::ErrorKind::TimedOut)?);
        }
        let submitted = start.elapsed();
        for task in tasks {
            self.wait_end(0, task).await?;
        }
        let took = start.elapsed();
        self.print(&format!("{count} batch tasks"), took, &before, &self.spent().await);
        println!("  submitted one after the other in {:.1} s", submitted.as_secs_f64());
        Ok(())
    }

    async fn wait_end(&self, at: usize, task: TaskId) -> io::Result<()> {
        let ended = eventually(PATIENCE, async || {
            self.cluster.task(at, STORE, task).await?.pointer("/state/Ended").map(drop)
        });
        ended.await.ok_or(io::ErrorKind::TimedOut.into())
    }

    /// Ends the leader, and times the next command, the next claim and the next start of a task.
    async fn lose_leader(&mut self) -> io::Result<()> {
        let found = eventually(PATIENCE, async || {
            for at in 0..3 {
                if self.cluster.status(at).await.is_some_and(|status| status["role"] == "leader") {
                    return Some(at);
                }
            }
            None
        });
        let leader = found.await.ok_or(io::ErrorKind::TimedOut)?;
        let other = (leader + 1) % 3;
        self.cluster.kill(leader)?;
        let start = Instant::now();
        let body = submission("after-the-leader");
        let taken = eventually(PATIENCE, async || self.cluster.submit(other, STORE, &body).await);
        let task = taken.await.ok_or(io::ErrorKind::TimedOut)?;
        println!("the leader dies: a task is taken in after {:.2?}", start.elapsed());
        self.wait_end(other, task).await?;
        println!("  and has run (for 50 ms) after {:.2?}", start.elapsed());
        self.cluster.launch(leader)
    }

    /// Ends and starts an instance with a disk, and times its first answer and its first request.
    async fn restart(&mut self) -> io::Result<()> {
        let at = 2;
        let before = self.cluster.status(at).await.and_then(|status| status["applied"].as_u64());
        self.cluster.kill(at)?;
        self.cluster.launch(at)?;
        let start = Instant::now();
        let answered = eventually(PATIENCE, async || {
            let applied = self.cluster.status(at).await?["applied"].as_u64()?;
            (Some(applied) >= before).then_some(applied)
        });
        let applied = answered.await.ok_or(io::ErrorKind::TimedOut)?;
        println!("a restart: {applied} entries are applied after {:.2?}", start.elapsed());
        let served = eventually(PATIENCE, async || {
            let mut load = self.load("restart", 50, 1, true);
            load.instances = vec![self.cluster.instances[at].listen];
            (caller::run(&load).await.ran == 1).then_some(())
        });
        served.await.ok_or(io::ErrorKind::TimedOut)?;
        println!("  and a request is served after {:.2?}", start.elapsed());
        println!("{} workers took part", self.workers.len());
        Ok(())
    }
}

fn resident(id: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn processor(id: u32) -> Option<f64> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let fields: Vec<_> = stat.rsplit(')').next()?.split_whitespace().collect();
    let user: f64 = fields.get(11)?.parse().ok()?;
    let system: f64 = fields.get(12)?.parse().ok()?;
    Some((user + system) * TICK_MS)
}

fn value(metrics: &str, name: &str) -> u64 {
    let line = metrics.lines().find(|line| line.split_whitespace().next() == Some(name));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or_default()
}

fn submission(key: &str) -> SubmitBody {
    SubmitBody {
        key: key.to_owned(),
        kind: "crease-study".to_owned(),
        size: SizeBody::new(0.5, 0.5, 0),
        run_time_ms: 50,
        urgent: false,
        idempotent: true,
        centre: None,
        payload: r#"{"run_ms": 50}"#.to_owned(),
    }
}

fn plans() -> String {
    serde_json::json!({
        "version": 1,
        "operators": [{ "name": "first", "credential": credential_hash(crate::cluster::OPERATOR) }],
        "plans": [{
            "name": "counter", "objective": "latency", "services": ["folddesk"],
            "exact_counts": false,
        }],
        "customers": [{
            "name": "store", "plan": "counter", "credential": credential_hash(STORE),
        }],
        "services": [{
            "name": "folddesk", "owner": "store",
            "size": { "processors": 2, "memory_gib": 4 },
            "replicas": { "akl-a": 4, "akl-b": 4, "hlz-c": 4 },
            "latency_ms": 50, "good_percent": 99.9,
        }],
    })
    .to_string()
}

fn usage() -> String {
    let some = serde_json::json!({ "processors": 150, "memory_gib": 500 });
    serde_json::json!({ "version": 1, "usage": [{ "plan": "counter", "guaranteed": some }] })
        .to_string()
}
