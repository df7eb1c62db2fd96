//! The main job on real input: four instances, a user's workers and lists, requests and tasks.

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

/// How long any step of the demonstration may take.
const PATIENCE: Duration = Duration::from_secs(60);

/// Requests of each kind, and batch tasks.
const REQUESTS: u32 = 200;
const TASKS: u32 = 30;

/// Requests a second.
const RATE: u32 = 100;

const CHAIN: &str = "menswear-demo";
const STORE: &str = "counter-north-demo";

const INSTANCES: &[InstanceSpec<'_>] = &[
    InstanceSpec { name: "akl-a-1", centre: "akl-a", disk: true },
    InstanceSpec { name: "akl-b-1", centre: "akl-b", disk: true },
    InstanceSpec { name: "hlz-c-1", centre: "hlz-c", disk: true },
    InstanceSpec { name: "akl-a-2", centre: "akl-a", disk: false },
];

const CENTRES: &[&str] = &["akl-a", "akl-b", "hlz-c"];

/// Workers in a data centre and in a rack.
const WORKERS: usize = 16;
const RACK: usize = 8;

/// Runs the demonstration; `program` is the system's binary, `samples` the user's lists, `folder`
/// where settings, logs and data go.
///
/// # Errors
///
/// A file or a process can't be had, or a step takes too long.
pub async fn run(program: &Path, samples: &Path, folder: &Path) -> io::Result<bool> {
    let history = History::default();
    println!("starting {} instances and {} workers", INSTANCES.len(), CENTRES.len() * WORKERS);
    let cluster = Cluster::start(program, folder, INSTANCES)?;
    let workers = start_workers(&cluster.announce_config(), &history).await?;
    apply_lists(&cluster, samples).await?;
    wait_for_replicas(&workers).await?;
    wait_for_answer(&cluster).await?;
    let plans = requests(&cluster, "fold", false).await;
    let previews = requests(&cluster, "preview", true).await;
    let ended = tasks(&cluster).await?;
    let doubled = history.overlapping_runs();
    print_requests("fold plans, at most once each", &plans);
    print_requests("crease previews, idempotent", &previews);
    println!("batch tasks: {TASKS} submitted, {ended} completed");
    let twice = plans.answered.iter().filter(|body| history.served_count(body) != 1).count();
    let ran_anyway = plans.refused.iter().filter(|body| history.served_count(body) > 0).count();
    println!("fold plans that ran other than once though answered: {twice}");
    println!("fold plans that ran though refused as not run: {ran_anyway}");
    println!("tasks that ran in two places: {}", doubled.len());
    let mixed = plans.mismatched + previews.mismatched;
    Ok(twice + ran_anyway + doubled.len() == 0 && mixed == 0 && ended == TASKS as usize)
}

/// The path of the system's binary beside this program.
///
/// # Errors
///
/// This program's own path can't be told.
pub fn program_beside() -> io::Result<PathBuf> {
    Ok(std::env::current_exe()?.with_file_name("hickorylink"))
}

async fn start_workers(config: &AnnounceConfig, history: &History) -> io::Result<Vec<Worker>> {
    let mut workers = Vec::new();
    for centre in CENTRES {
        for number in 0..WORKERS {
            let spec = worker_spec(centre, number);
            workers.push(Worker::start(spec, config.clone(), history.clone()).await?);
        }
    }
    Ok(workers)
}

/// A worker of the first user: 16 processors, 64 GiB, 8 slots, 64 connections.
pub fn worker_spec(centre: &str, number: usize) -> WorkerSpec {
    WorkerSpec {
        name: format!("{centre}-w{number:02}").as_str().into(),
        centre: centre.into(),
        rack: format!("{centre}-r{}", number / RACK).as_str().into(),
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
        let applied = eventually(PATIENCE, async || {
            cluster.apply(0, list, &text).await.ok().filter(|answer| answer.status == 200)
        });
        let answer = applied.await.ok_or(io::ErrorKind::TimedOut)?;
        println!("{list} in force: {}", String::from_utf8_lossy(&answer.body));
    }
    Ok(())
}

async fn wait_for_replicas(workers: &[Worker]) -> io::Result<()> {
    let start = Instant::now();
    let placed = eventually(PATIENCE, async || {
        let running: usize = workers.iter().map(|worker| worker.shared.running().len()).sum();
        (running >= workers.len()).then_some(running)
    });
    let running = placed.await.ok_or(io::ErrorKind::TimedOut)?;
    println!("{running} replicas of folddesk run after {:.1?}", start.elapsed());
    Ok(())
}

async fn wait_for_answer(cluster: &Cluster) -> io::Result<()> {
    let first = eventually(PATIENCE, async || {
        let load = load(cluster, "first", true, 4);
        (caller::run(&load).await.ran == load.count).then_some(())
    });
    first.await.ok_or(io::ErrorKind::TimedOut.into())
}

fn load(cluster: &Cluster, label: &str, idempotent: bool, count: u32) -> Load {
    Load {
        instances: cluster.instances.iter().map(|instance| instance.listen).collect(),
        credential: CHAIN.to_owned(),
        service: "folddesk".to_owned(),
        path: "square".to_owned(),
        rate: RATE,
        count,
        idempotent,
        deadline: Duration::from_secs(5),
        label: label.to_owned(),
    }
}

async fn requests(cluster: &Cluster, label: &str, idempotent: bool) -> Report {
    caller::run(&load(cluster, label, idempotent, REQUESTS)).await
}

async fn tasks(cluster: &Cluster) -> io::Result<usize> {
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
        let taken = eventually(PATIENCE, async || cluster.submit(at, STORE, &body).await).await;
        tasks.push(taken.ok_or(io::ErrorKind::TimedOut)?);
    }
    let mut completed = 0;
    for task in tasks {
        completed += usize::from(is_completed(&wait_for_end(cluster, task).await?));
    }
    Ok(completed)
}

async fn wait_for_end(cluster: &Cluster, task: TaskId) -> io::Result<Value> {
    let ended = eventually(PATIENCE, async || {
        let value = cluster.task(0, STORE, task).await?;
        value.pointer("/state/Ended").cloned()
    });
    ended.await.ok_or(io::ErrorKind::TimedOut.into())
}

fn is_completed(ended: &Value) -> bool {
    ended.get("Completed").is_some()
}

fn print_requests(what: &str, report: &Report) {
    let ms = |quantile| report.latency.value_at_quantile(quantile) as f64 / 1000.0;
    println!(
        "{what}: {} ran, {} not run, {} unknown; p50 {:.1} ms, p99 {:.1} ms; mixed up: {}",
        report.ran,
        report.not_run,
        report.unknown,
        ms(0.5),
        ms(0.99),
        report.mismatched
    );
}
