//! Measures a cluster of real processes: memory, processor time, traffic between instances, and
//! recovery times after a failure. Prints the figures without checking them against limits.

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

/// The limit on each step; generous, so that a busy machine does not fail it.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);

/// The duration of a measurement without load.
const IDLE_PERIOD: Duration = Duration::from_secs(10);

/// The unit of processor time in `/proc/<pid>/stat`, one clock tick at 100 Hz.
const TICK_MS: f64 = 10.0;

/// The credential of the customer that sends requests and submits tasks.
const CUSTOMER_CREDENTIAL: &str = "store-demo";

const INSTANCES: &[InstanceSpec<'_>] = &[
    InstanceSpec { name: "akl-a-1", centre: "akl-a", disk: true },
    InstanceSpec { name: "akl-b-1", centre: "akl-b", disk: true },
    InstanceSpec { name: "hlz-c-1", centre: "hlz-c", disk: true },
    InstanceSpec { name: "akl-a-2", centre: "akl-a", disk: false },
];

/// The resource use of one process: its current memory, and totals since its start.
#[derive(Clone, Copy, Debug, Default)]
struct ResourceUse {
    resident_kib: u64,
    processor_ms: f64,
    peer_bytes: u64,
}

/// A cluster with its workers, and the measurements on it.
struct Bench {
    cluster: Cluster,
    workers: Vec<Worker>,
}

/// Runs all measurements.
///
/// # Errors
///
/// Fails if a process can't be started or a step times out.
pub async fn run(program: &Path, folder: &Path) -> io::Result<()> {
    let mut bench = start(program, folder).await?;
    bench.idle("idle").await;
    bench.direct(2000).await;
    bench.requests("10,000 idempotent requests", 10_000, true).await;
    bench.requests("2,000 non-idempotent requests, each claimed before it runs", 2000, false).await;
    bench.tasks(1000).await?;
    bench.idle("idle after the load").await;
    bench.edit().await?;
    bench.kill_leader().await?;
    bench.restart().await
}

async fn start(program: &Path, folder: &Path) -> io::Result<Bench> {
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
        let applied = eventually(STEP_TIMEOUT, async || {
            cluster.apply(0, list, &text).await.ok().filter(|response| response.status == 200)
        });
        applied.await.ok_or(io::ErrorKind::TimedOut)?;
    }
    let bench = Bench { cluster, workers };
    let served = eventually(STEP_TIMEOUT, async || {
        let report = caller::run(&bench.load("probe", 40, 40, true)).await;
        (report.ran == 40).then_some(())
    });
    served.await.ok_or(io::ErrorKind::TimedOut)?;
    Ok(bench)
}

impl Bench {
    fn load(&self, label: &str, rate: u32, count: u32, idempotent: bool) -> Load {
        Load {
            instances: self.cluster.instances.iter().map(|instance| instance.listen).collect(),
            credential: CUSTOMER_CREDENTIAL.to_owned(),
            service: "folddesk".to_owned(),
            path: "square".to_owned(),
            rate,
            count,
            idempotent,
            deadline: Duration::from_secs(5),
            label: label.to_owned(),
        }
    }

    async fn resource_use(&self) -> Vec<ResourceUse> {
        let mut all = Vec::new();
        for at in 0..self.cluster.instances.len() {
            let Some(pid) = self.cluster.pid(at) else {
                all.push(ResourceUse::default());
                continue;
            };
            let metrics = self.cluster.metrics(at).await.unwrap_or_default();
            all.push(ResourceUse {
                resident_kib: resident_kib(pid).unwrap_or_default(),
                processor_ms: processor_ms(pid).unwrap_or_default(),
                peer_bytes: metric(&metrics, "hickorylink_peer_sent_bytes_total")
                    + metric(&metrics, "hickorylink_peer_received_bytes_total"),
            });
        }
        all
    }

    fn print(&self, label: &str, took: Duration, before: &[ResourceUse], after: &[ResourceUse]) {
        println!("{label}, {:.1} s:", took.as_secs_f64());
        let instances = self.cluster.instances.iter().zip(before.iter().zip(after));
        for (instance, (before, after)) in instances {
            let seconds = took.as_secs_f64();
            let processor_ms = after.processor_ms - before.processor_ms;
            println!(
                "  {}: {:.1} MiB resident, {:.2}% of a core, {:.0} B/s to and from instances",
                instance.name,
                after.resident_kib as f64 / 1024.0,
                // One millisecond per second is 0.1%.
                processor_ms / seconds / 10.0,
                (after.peer_bytes - before.peer_bytes) as f64 / seconds,
            );
        }
    }

    async fn idle(&self, label: &str) {
        let before = self.resource_use().await;
        let start = Instant::now();
        tokio::time::sleep(IDLE_PERIOD).await;
        let took = start.elapsed();
        self.print(label, took, &before, &self.resource_use().await);
    }

    /// Sends requests directly to the targets, as a baseline without the system.
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
                let response = net::send(target, Method::POST, "/square", &[], body).await;
                response.ok().map(|_| sent.elapsed())
            });
        }
        let mut latency = caller::Report::default().latency;
        for took in calls.join_all().await.into_iter().flatten() {
            let _ = latency.record(u64::try_from(took.as_micros()).unwrap_or(u64::MAX));
        }
        let ms = |quantile| latency.value_at_quantile(quantile) as f64 / 1000.0;
        println!(
            "{count} requests directly to the targets: p50 {:.2}, p99 {:.2}, p99.9 {:.2} ms",
            ms(0.5),
            ms(0.99),
            ms(0.999)
        );
    }

    /// Measures the time from sending an edit of a list until every instance has applied it.
    async fn edit(&self) -> io::Result<()> {
        let text = plans().replace("\"version\":1", "\"version\":2");
        let start = Instant::now();
        let response = self.cluster.apply(1, "plans", &text).await.map_err(io::Error::other)?;
        println!(
            "edit of the plans list: status {} after {:.2?}",
            response.status,
            start.elapsed()
        );
        for at in 0..self.cluster.instances.len() {
            let applied = eventually(STEP_TIMEOUT, async || {
                (self.cluster.status(at).await?["plans"].as_u64()? >= 3).then_some(())
            });
            applied.await.ok_or(io::ErrorKind::TimedOut)?;
        }
        println!("  applied at every instance after {:.2?}", start.elapsed());
        Ok(())
    }

    async fn requests(&self, label: &str, count: u32, idempotent: bool) {
        let before = self.resource_use().await;
        let start = Instant::now();
        let prefix = format!("load-{idempotent}");
        let report = caller::run(&self.load(&prefix, 500, count, idempotent)).await;
        let took = start.elapsed();
        self.print(label, took, &before, &self.resource_use().await);
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
        let before = self.resource_use().await;
        let start = Instant::now();
        let mut tasks = Vec::new();
        for number in 0..count {
            let body = submission(&format!("task-{number}"));
            let at = number as usize % self.cluster.instances.len();
            let accepted = eventually(STEP_TIMEOUT, async || {
                self.cluster.submit(at, CUSTOMER_CREDENTIAL, &body).await
            });
            tasks.push(accepted.await.ok_or(io::ErrorKind::TimedOut)?);
        }
        let submitted = start.elapsed();
        for task in tasks {
            self.wait_end(0, task).await?;
        }
        let took = start.elapsed();
        self.print(&format!("{count} batch tasks"), took, &before, &self.resource_use().await);
        println!("  submitted sequentially in {:.1} s", submitted.as_secs_f64());
        Ok(())
    }

    async fn wait_end(&self, at: usize, task: TaskId) -> io::Result<()> {
        let ended = eventually(STEP_TIMEOUT, async || {
            self.cluster
                .task(at, CUSTOMER_CREDENTIAL, task)
                .await?
                .pointer("/state/Ended")
                .map(drop)
        });
        ended.await.ok_or(io::ErrorKind::TimedOut.into())
    }

    /// Kills the leader, and measures the time until a task is accepted and until it has run.
    async fn kill_leader(&mut self) -> io::Result<()> {
        let found = eventually(STEP_TIMEOUT, async || {
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
        let accepted = eventually(STEP_TIMEOUT, async || {
            self.cluster.submit(other, CUSTOMER_CREDENTIAL, &body).await
        });
        let task = accepted.await.ok_or(io::ErrorKind::TimedOut)?;
        println!("leader killed: next task accepted after {:.2?}", start.elapsed());
        self.wait_end(other, task).await?;
        println!("  and completed, with a run time of 50 ms, after {:.2?}", start.elapsed());
        self.cluster.launch(leader)
    }

    /// Kills and restarts an instance with a disk, and measures the time until it has applied all
    /// entries again and until it serves its first request.
    async fn restart(&mut self) -> io::Result<()> {
        let at = 2;
        let before = self.cluster.status(at).await.and_then(|status| status["applied"].as_u64());
        self.cluster.kill(at)?;
        self.cluster.launch(at)?;
        let start = Instant::now();
        let recovered = eventually(STEP_TIMEOUT, async || {
            let applied = self.cluster.status(at).await?["applied"].as_u64()?;
            (Some(applied) >= before).then_some(applied)
        });
        let applied = recovered.await.ok_or(io::ErrorKind::TimedOut)?;
        println!("instance restarted: {applied} entries applied after {:.2?}", start.elapsed());
        let served = eventually(STEP_TIMEOUT, async || {
            let mut load = self.load("restart", 50, 1, true);
            load.instances = vec![self.cluster.instances[at].listen];
            (caller::run(&load).await.ran == 1).then_some(())
        });
        served.await.ok_or(io::ErrorKind::TimedOut)?;
        println!("  first request served after {:.2?}", start.elapsed());
        println!("workers: {}", self.workers.len());
        Ok(())
    }
}

fn resident_kib(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn processor_ms(pid: u32) -> Option<f64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<_> = stat.rsplit(')').next()?.split_whitespace().collect();
    let user: f64 = fields.get(11)?.parse().ok()?;
    let system: f64 = fields.get(12)?.parse().ok()?;
    Some((user + system) * TICK_MS)
}

fn metric(metrics: &str, name: &str) -> u64 {
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
            "name": "store", "plan": "counter", "credential": credential_hash(CUSTOMER_CREDENTIAL),
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
    let size = serde_json::json!({ "processors": 150, "memory_gib": 500 });
    serde_json::json!({ "version": 1, "usage": [{ "plan": "counter", "guaranteed": size }] })
        .to_string()
}
