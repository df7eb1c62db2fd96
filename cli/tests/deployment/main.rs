//! Tests of a deployment's real processes, with simulated workers, requesters and operators of the
//! platform.

use std::{path::Path, time::Duration};

use hickorylink_standin::{
    cluster::eventually,
    platform::{
        Deployment, job_path,
        worker::{RunHistory, Worker},
    },
};
use hyper::Method;
use nix::sys::signal::Signal;
use serde_json::json;
use tempfile::TempDir;

mod cancels;
mod config_check;
mod evacuations;
mod odd_entries;
mod operations;
mod reload;
mod replacement;
mod soak;
mod wide_jobs;

/// How long any condition may take. Generous, as no test here checks how fast something is.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);

struct Fixture {
    deployment: Deployment,
    history: RunHistory,
    _workers: Vec<Worker>,
    _folder: TempDir,
}

impl Fixture {
    async fn start() -> Self {
        Self::start_with(3, 1).await
    }

    async fn start_with(controllers: usize, gateways: usize) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let program = Path::new(env!("CARGO_BIN_EXE_hickorylink"));
        let deployment = Deployment::start(program, folder.path(), controllers, gateways);
        let deployment = deployment.expect("the deployment starts");
        let history = RunHistory::default();
        let controllers = deployment.controllers();
        let names = ["w1", "w2", "w3"];
        let workers = names.map(|name| Worker::start(name, &controllers, &history));
        let fixture = Self { deployment, history, _workers: workers.into(), _folder: folder };
        let stored = eventually(CONDITION_TIMEOUT, async || {
            fixture.deployment.apply_config(1).await.filter(|answer| answer.status == 200)
        });
        assert!(stored.await.is_some(), "a config is stored\n{}", fixture.logs());
        fixture
    }

    fn logs(&self) -> String {
        (0..self.deployment.member_count())
            .map(|at| format!("--- {at}\n{}", self.deployment.log(at)))
            .collect()
    }

    async fn submit(&self, ids: std::ops::Range<u64>) {
        let steps = json!([
            { "count": 3, "cpu": 500, "memMb": 10, "estimateMs": 200 },
            { "count": 2, "cpu": 500, "memMb": 10, "estimateMs": 200, "after": [0] },
        ]);
        for id in ids {
            assert!(self.deployment.submit(id, &steps).await, "job {id}\n{}", self.logs());
        }
    }

    async fn completed(&self, ids: std::ops::Range<u64>) {
        for id in ids {
            let state = eventually(CONDITION_TIMEOUT, async || {
                self.deployment.job_state(id).await.filter(|state| state == "completed")
            });
            assert!(state.await.is_some(), "job {id} is completed\n{}", self.logs());
        }
    }

    /// Asserts that every task was done once and that none ran in two places at a time.
    fn check(&self, tasks: usize) {
        assert_eq!(self.history.overlapping_runs(), None);
        let mut done: Vec<_> = self
            .history
            .runs()
            .into_iter()
            .filter(|run| run.completed)
            .map(|run| run.task)
            .collect();
        done.sort_unstable();
        let all = done.len();
        done.dedup();
        assert_eq!((all, done.len()), (tasks, tasks), "each task is done once");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_complete_end_to_end() {
    let fixture = Fixture::start().await;
    fixture.submit(1..9).await;
    fixture.completed(1..9).await;
    fixture.check(8 * 5);

    struct Case {
        name: &'static str,
        method: Method,
        path: String,
        body: &'static str,
        status: u16,
    }
    let cases = [
        Case {
            name: "an unknown queue",
            method: Method::GET,
            path: "/x/".into(),
            body: "",
            status: 404,
        },
        Case {
            name: "an unknown job",
            method: Method::GET,
            path: job_path(99),
            body: "",
            status: 410,
        },
        Case {
            name: "the count of a queue",
            method: Method::GET,
            path: "/fold/".into(),
            body: "",
            status: 200,
        },
        Case {
            name: "a truncated body",
            method: Method::POST,
            path: job_path(99),
            body: "{",
            status: 400,
        },
        Case {
            name: "the same job again",
            method: Method::POST,
            path: job_path(1),
            body: SAME_JOB,
            status: 200,
        },
        Case {
            name: "a cancellation after the end",
            method: Method::DELETE,
            path: job_path(1),
            body: "",
            status: 200,
        },
        Case {
            name: "an unsupported method",
            method: Method::PATCH,
            path: job_path(1),
            body: "",
            status: 405,
        },
    ];
    for case in cases {
        let answer = fixture.deployment.call(0, case.method, &case.path, case.body).await;
        assert_eq!(answer.expect("an answer").status, case.status, "{}", case.name);
    }
    assert_eq!(fixture.deployment.job_state(1).await.as_deref(), Some("completed"));
    let refused = fixture.deployment.operator_call(Method::PUT, "{\"version\":9".into()).await;
    assert_eq!(refused.expect("an answer").status, 400, "a truncated config");
    let held = fixture.deployment.operator_call(Method::GET, "".into()).await.expect("an answer");
    assert!(String::from_utf8_lossy(&held.body).contains("\"version\":1"));
}

/// A metric and its lowest permitted value over all members that have it.
struct MetricCase {
    line: &'static str,
    min: f64,
}

impl MetricCase {
    /// Whether the sum over these members is high enough.
    fn holds(&self, texts: &[String]) -> bool {
        let values = texts.iter().filter_map(|text| metric(text, self.line));
        values.sum::<f64>() >= self.min
    }
}

/// The gauges of the leader.
const LEADER_GAUGES: [MetricCase; 9] = [
    MetricCase { line: "hickorylink_leads", min: 1.0 },
    MetricCase { line: "hickorylink_jobs", min: 4.0 },
    MetricCase { line: "hickorylink_workers", min: 3.0 },
    MetricCase { line: "hickorylink_config_version", min: 1.0 },
    MetricCase { line: "hickorylink_ring_capacity_items{ring=\"control\"}", min: 1.0 },
    MetricCase { line: "hickorylink_voters", min: 3.0 },
    MetricCase { line: "hickorylink_live_voters", min: 3.0 },
    MetricCase { line: "hickorylink_standbys", min: 0.0 },
    MetricCase { line: "hickorylink_wanted_voters", min: 3.0 },
];

/// The counters of the controllers. Each counts what happened while it led.
const LEADER_COUNTERS: [MetricCase; 6] = [
    MetricCase { line: "hickorylink_task_starts_total", min: 20.0 },
    MetricCase { line: "hickorylink_job_changes_total{state=\"accepted\"}", min: 4.0 },
    MetricCase { line: "hickorylink_job_changes_total{state=\"completed\"}", min: 4.0 },
    MetricCase { line: "hickorylink_job_age_seconds_count{state=\"completed\"}", min: 4.0 },
    MetricCase { line: "hickorylink_answers_total{answer=\"orders\"}", min: 4.0 },
    MetricCase { line: "hickorylink_commit_duration_seconds_count", min: 4.0 },
];

const GATEWAY_METRICS: [MetricCase; 5] = [
    MetricCase { line: "hickorylink_ready", min: 1.0 },
    MetricCase { line: "hickorylink_leader_found_total", min: 1.0 },
    MetricCase { line: "hickorylink_calls_total{call=\"submit\",reply=\"accepted\"}", min: 4.0 },
    MetricCase { line: "hickorylink_calls_total{call=\"show\",reply=\"no_queue\"}", min: 1.0 },
    MetricCase { line: "hickorylink_call_duration_seconds_count{call=\"submit\"}", min: 4.0 },
];

/// The value of a metric in the text format.
fn metric(text: &str, line: &str) -> Option<f64> {
    text.lines().find_map(|found| {
        let (name, value) = found.rsplit_once(' ')?;
        (name == line).then(|| value.parse().expect("a number"))
    })
}

// Guards against a test that reads only the last leader's counters, which fails when the first one
// gives way.
#[tokio::test(flavor = "multi_thread")]
async fn metrics_count_events() {
    let fixture = Fixture::start().await;
    fixture.submit(1..5).await;
    fixture.completed(1..5).await;
    let refused = fixture.deployment.call(0, Method::GET, "/x/", "").await.expect("an answer");
    assert_eq!(refused.status, 404);

    let mut texts = Vec::new();
    for at in 0..fixture.deployment.member_count() {
        texts.push(fixture.deployment.metrics(at).await.expect("metrics"));
    }
    let (controllers, gateway) = texts.split_at(3);
    let counters = LEADER_COUNTERS.iter().map(|case| (case, controllers));
    for (case, texts) in counters.chain(GATEWAY_METRICS.iter().map(|case| (case, gateway))) {
        assert!(case.holds(texts), "{}\n{}\n{}", case.line, texts.join("\n"), fixture.logs());
    }
    // A gauge tells the state of the moment, and another controller may take over at any moment.
    let shown = eventually(CONDITION_TIMEOUT, async || {
        let at = fixture.deployment.leader()?;
        let text = fixture.deployment.metrics(at).await.ok()?;
        LEADER_GAUGES.iter().all(|case| case.holds(std::slice::from_ref(&text))).then_some(())
    });
    assert!(shown.await.is_some(), "{}\n{}", controllers.join("\n"), fixture.logs());
}

const SAME_JOB: &str = r#"{"spec":"s","steps":[{"count":1}]}"#;

#[tokio::test(flavor = "multi_thread")]
async fn leader_crash_neither_loses_nor_duplicates_tasks() {
    let mut fixture = Fixture::start().await;
    fixture.submit(1..6).await;
    let leader = fixture.deployment.leader().expect("there is a leader");
    fixture.deployment.kill(leader).expect("the process can be killed");
    fixture.submit(6..12).await;
    fixture.completed(1..12).await;
    fixture.deployment.launch(leader).expect("the process can be restarted");
    fixture.check(11 * 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn resumed_leader_serves_no_stale_config() {
    let fixture = Fixture::start().await;
    fixture.submit(1..6).await;
    let leader = fixture.deployment.leader().expect("there is a leader");
    fixture.deployment.signal(leader, Signal::SIGSTOP).expect("the process can be suspended");
    let next = eventually(CONDITION_TIMEOUT, async || {
        fixture.deployment.leader().filter(|now| *now != leader)
    });
    assert!(next.await.is_some(), "another one leads\n{}", fixture.logs());
    let stored = eventually(CONDITION_TIMEOUT, async || fixture.deployment.apply_config(2).await);
    assert!(stored.await.is_some(), "a config is stored meanwhile");
    fixture.deployment.signal(leader, Signal::SIGCONT).expect("the process can be resumed");
    let read = fixture.deployment.operator_call(Method::GET, "".into()).await;
    if let Some(held) = read.filter(|answer| answer.status == 200) {
        let held = String::from_utf8_lossy(&held.body).into_owned();
        assert!(held.contains("\"version\":2"), "an older version is shown: {held}");
    }
    fixture.submit(6..9).await;
    fixture.completed(1..9).await;
    fixture.check(8 * 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn all_controllers_restart_and_one_has_lost_its_disk() {
    let mut fixture = Fixture::start().await;
    fixture.submit(1..6).await;
    fixture.completed(1..6).await;
    for at in 0..3 {
        fixture.deployment.kill(at).expect("the process can be killed");
    }
    fixture.deployment.wipe_disk(0).expect("its data folder can be emptied");
    for at in 0..3 {
        fixture.deployment.launch(at).expect("the process can be restarted");
    }
    fixture.submit(6..9).await;
    fixture.completed(1..9).await;
    fixture.check(8 * 5);
    // Once the controller that lost its disk has taken the place of its old identity, another one
    // may fail.
    let back = eventually(CONDITION_TIMEOUT, async || {
        has_taken_its_place(&fixture.deployment.log(0)).then_some(())
    });
    assert!(back.await.is_some(), "it votes in place of its old identity\n{}", fixture.logs());
    fixture.deployment.kill(1).expect("the process can be killed");
    fixture.submit(9..12).await;
    fixture.completed(9..12).await;
    fixture.check(11 * 5);
}

/// Whether a controller, by its log, is one of three voters since its last start. While its old
/// identity still counts as a fourth one, the loss of another controller leaves no quorum.
fn has_taken_its_place(log: &str) -> bool {
    let field = |line: &str, name: &str| {
        let (_, rest) = line.split_once(&format!("\"{name}\":"))?;
        let end = rest.find([',', '}'])?;
        Some(rest[..end].trim_matches('"').to_owned())
    };
    let mut id = None;
    let mut voters = Vec::new();
    for line in log.lines() {
        if line.contains("the controller starts") {
            (id, voters) = (field(line, "id"), Vec::new());
        } else if line.contains("members changed") {
            let listed = field(line, "voters").unwrap_or_default();
            voters = listed.split(' ').map(str::to_owned).collect();
        }
    }
    voters.len() == 3 && id.is_some_and(|id| voters.contains(&id))
}
