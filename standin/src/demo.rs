//! The demonstration: runs four instances with a sample user's workers and lists, sends requests
//! and submits tasks, and checks the guarantees on both.

use std::{
    fs, io,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use hickorylink_lib::{
    api::{SizeBody, SubmitBody},
    ids::TaskId,
    resources::Resources,
};
use serde_json::Value;

use crate::{
    caller::{self, Load, Report},
    cluster::{Cluster, InstanceSpec, eventually},
    history::History,
    worker::{AnnounceConfig, Worker, WorkerSpec},
};

/// The limit on each step; generous, so that a busy machine does not fail it.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);

/// The number of requests of each kind, idempotent and not.
const REQUESTS: u32 = 200;

/// The number of batch tasks.
const TASKS: u32 = 30;

const REQUESTS_PER_SECOND: u32 = 100;

/// The credential of the customer that sends requests.
const REQUEST_CREDENTIAL: &str = "menswear-demo";
/// The credential of the customer that submits tasks.
const TASK_CREDENTIAL: &str = "counter-north-demo";

const INSTANCES: &[InstanceSpec<'_>] = &[
    InstanceSpec { name: "akl-a-1", centre: "akl-a", disk: true },
    InstanceSpec { name: "akl-b-1", centre: "akl-b", disk: true },
    InstanceSpec { name: "hlz-c-1", centre: "hlz-c", disk: true },
    InstanceSpec { name: "akl-a-2", centre: "akl-a", disk: false },
];

const CENTRES: &[&str] = &["akl-a", "akl-b", "hlz-c"];

const WORKERS_PER_CENTRE: usize = 16;
const WORKERS_PER_RACK: usize = 8;

/// Runs the demonstration and returns whether all checks passed.
///
/// `program` is the system's binary, `samples` the folder with the user's lists, `folder` the place
/// for settings, logs and data.
///
/// # Errors
///
/// Fails if a file can't be read or written, a process can't be started, or a step times out.
pub async fn run(program: &Path, samples: &Path, folder: &Path) -> io::Result<bool> {
    let history = History::default();
    println!(
        "starting {} instances and {} workers",
        INSTANCES.len(),
        CENTRES.len() * WORKERS_PER_CENTRE
    );
    let cluster = Cluster::start(program, folder, INSTANCES)?;
    let workers = start_workers(&cluster.announce_config(), &history).await?;
    apply_lists(&cluster, samples).await?;
    wait_for_replicas(&workers).await?;
    wait_for_service(&cluster).await?;
    let plans = send_requests(&cluster, "fold", false).await;
    let previews = send_requests(&cluster, "preview", true).await;
    let completed = run_tasks(&cluster).await?;
    let overlapping = history.overlapping_runs();
    print_report("fold plans, at most once", &plans);
    print_report("crease previews, idempotent", &previews);
    println!("batch tasks: {TASKS} submitted, {completed} completed");
    let miscounted = plans.answered.iter().filter(|body| history.served_count(body) != 1).count();
    let ran_refused = plans.refused.iter().filter(|body| history.served_count(body) > 0).count();
    println!("fold plans answered as run that did not run exactly once: {miscounted}");
    println!("fold plans answered as not run that ran: {ran_refused}");
    println!("violations of exclusive task execution: {}", overlapping.len());
    let mismatched = plans.mismatched + previews.mismatched;
    Ok(miscounted + ran_refused + overlapping.len() == 0
        && mismatched == 0
        && completed == TASKS as usize)
}

/// The path of the system's binary, expected in the folder of this program.
///
/// # Errors
///
/// Fails if the path of the running program is unknown.
pub fn system_binary() -> io::Result<PathBuf> {
    Ok(std::env::current_exe()?.with_file_name("hickorylink"))
}

async fn start_workers(config: &AnnounceConfig, history: &History) -> io::Result<Vec<Worker>> {
    let mut workers = Vec::new();
    for centre in CENTRES {
        for number in 0..WORKERS_PER_CENTRE {
            let spec = worker_spec(centre, number);
            workers.push(Worker::start(spec, config.clone(), history.clone()).await?);
        }
    }
    Ok(workers)
}

/// A worker like those of the first sample user: 16 processors, 64 GiB, 8 slots, 64 connections.
pub fn worker_spec(centre: &str, number: usize) -> WorkerSpec {
    WorkerSpec {
        name: format!("{centre}-w{number:02}").as_str().into(),
        centre: centre.into(),
        rack: format!("{centre}-r{}", number / WORKERS_PER_RACK).as_str().into(),
        capacity: Resources { millicores: 16_000, memory_mib: 64 << 10, accelerators: 0 },
        slots: 8,
        connections: 64,
        service_time: Duration::from_millis(10),
        always_fails: false,
    }
}

async fn apply_lists(cluster: &Cluster, samples: &Path) -> io::Result<()> {
    for list in ["plans", "usage"] {
        let text = fs::read_to_string(samples.join(format!("{list}.jsonc")))?;
        let applied = eventually(STEP_TIMEOUT, async || {
            cluster.apply(0, list, &text).await.ok().filter(|response| response.status == 200)
        });
        let response = applied.await.ok_or(io::ErrorKind::TimedOut)?;
        println!("{list} list applied: {}", String::from_utf8_lossy(&response.body));
    }
    Ok(())
}

async fn wait_for_replicas(workers: &[Worker]) -> io::Result<()> {
    let start = Instant::now();
    let started = eventually(STEP_TIMEOUT, async || {
        let running: usize = workers.iter().map(|worker| worker.shared.running().len()).sum();
        (running >= workers.len()).then_some(running)
    });
    let running = started.await.ok_or(io::ErrorKind::TimedOut)?;
    println!("{running} replicas of folddesk running after {:.1?}", start.elapsed());
    Ok(())
}

async fn wait_for_service(cluster: &Cluster) -> io::Result<()> {
    let served = eventually(STEP_TIMEOUT, async || {
        let load = load(cluster, "first", true, 4);
        (caller::run(&load).await.ran == load.count).then_some(())
    });
    served.await.ok_or(io::ErrorKind::TimedOut.into())
}

fn load(cluster: &Cluster, label: &str, idempotent: bool, count: u32) -> Load {
    Load {
        instances: cluster.instances.iter().map(|instance| instance.listen).collect(),
        credential: REQUEST_CREDENTIAL.to_owned(),
        service: "folddesk".to_owned(),
        path: "square".to_owned(),
        rate: REQUESTS_PER_SECOND,
        count,
        idempotent,
        deadline: Duration::from_secs(5),
        label: label.to_owned(),
    }
}

async fn send_requests(cluster: &Cluster, label: &str, idempotent: bool) -> Report {
    caller::run(&load(cluster, label, idempotent, REQUESTS)).await
}

async fn run_tasks(cluster: &Cluster) -> io::Result<usize> {
    let mut tasks = Vec::new();
    for number in 0..TASKS {
        let body = SubmitBody {
            key: format!("settle-{number}"),
            kind: "crease-study".to_owned(),
            size: SizeBody::new(0.5, 1.0, 0),
            run_time_ms: 500,
            urgent: false,
            idempotent: true,
            centre: None,
            payload: r#"{"run_ms": 300, "output": "folded"}"#.to_owned(),
        };
        let at = number as usize % INSTANCES.len();
        let accepted =
            eventually(STEP_TIMEOUT, async || cluster.submit(at, TASK_CREDENTIAL, &body).await)
                .await;
        tasks.push(accepted.ok_or(io::ErrorKind::TimedOut)?);
    }
    let mut completed = 0;
    for task in tasks {
        completed += usize::from(is_completed(&wait_for_end(cluster, task).await?));
    }
    Ok(completed)
}

async fn wait_for_end(cluster: &Cluster, task: TaskId) -> io::Result<Value> {
    let ended = eventually(STEP_TIMEOUT, async || {
        let value = cluster.task(0, TASK_CREDENTIAL, task).await?;
        value.pointer("/state/Ended").cloned()
    });
    ended.await.ok_or(io::ErrorKind::TimedOut.into())
}

fn is_completed(ended: &Value) -> bool {
    ended.get("Completed").is_some()
}

fn print_report(label: &str, report: &Report) {
    let ms = |quantile| report.latency.value_at_quantile(quantile) as f64 / 1000.0;
    println!(
        "{label}: {} ran, {} not run, {} unknown; p50 {:.1} ms, p99 {:.1} ms; mismatched: {}",
        report.ran,
        report.not_run,
        report.unknown,
        ms(0.5),
        ms(0.99),
        report.mismatched
    );
}
