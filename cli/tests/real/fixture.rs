//! The fixture of the tests: instances as processes, workers as asynchronous tasks of the test.

use std::{collections::BTreeSet, path::Path, time::Duration};

use hickorylink_lib::{
    api::{SizeBody, SubmitBody},
    ids::TaskId,
};
use hickorylink_standin::{
    caller::{self, Load, Report},
    cluster::{Cluster, InstanceSpec, OPERATOR, credential_hash, eventually},
    demo::worker_spec,
    history::History,
    worker::{Worker, WorkerSpec},
};
use serde_json::{Value, json};
use tempfile::TempDir;

/// How long any condition may take. Generous, so that the tests pass on a busy machine too.
pub(crate) const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);

/// The customers' credentials.
pub(crate) const STORE: &str = "store-demo";
pub(crate) const RIVAL: &str = "rival-demo";

/// The data centres.
pub(crate) const CENTRES: [&str; 3] = ["akl-a", "akl-b", "hlz-c"];

/// One instance with a disk.
pub(crate) const ONE: &[InstanceSpec<'_>] =
    &[InstanceSpec { name: "akl-a-1", centre: "akl-a", disk: true }];

/// The replicas of the service in each data centre, as in [`plans`].
const REPLICAS_PER_CENTRE: usize = 2;

/// Three instances with disks, one in each data centre.
pub(crate) const THREE: &[InstanceSpec<'_>] = &[
    InstanceSpec { name: "akl-a-1", centre: "akl-a", disk: true },
    InstanceSpec { name: "akl-b-1", centre: "akl-b", disk: true },
    InstanceSpec { name: "hlz-c-1", centre: "hlz-c", disk: true },
];

/// Three instances with disks and one without.
pub(crate) const FOUR: &[InstanceSpec<'_>] = &[
    InstanceSpec { name: "akl-a-1", centre: "akl-a", disk: true },
    InstanceSpec { name: "akl-b-1", centre: "akl-b", disk: true },
    InstanceSpec { name: "hlz-c-1", centre: "hlz-c", disk: true },
    InstanceSpec { name: "akl-a-2", centre: "akl-a", disk: false },
];

/// Four instances with disks, two of them in the same data centre, and one without.
pub(crate) const FIVE: &[InstanceSpec<'_>] = &[
    InstanceSpec { name: "akl-a-1", centre: "akl-a", disk: true },
    InstanceSpec { name: "akl-b-1", centre: "akl-b", disk: true },
    InstanceSpec { name: "hlz-c-1", centre: "hlz-c", disk: true },
    InstanceSpec { name: "akl-a-2", centre: "akl-a", disk: true },
    InstanceSpec { name: "akl-b-2", centre: "akl-b", disk: false },
];

/// Two instances in each data centre, four of the six with disks.
pub(crate) const SIX: &[InstanceSpec<'_>] = &[
    InstanceSpec { name: "akl-a-1", centre: "akl-a", disk: true },
    InstanceSpec { name: "akl-b-1", centre: "akl-b", disk: true },
    InstanceSpec { name: "hlz-c-1", centre: "hlz-c", disk: true },
    InstanceSpec { name: "akl-a-2", centre: "akl-a", disk: true },
    InstanceSpec { name: "akl-b-2", centre: "akl-b", disk: false },
    InstanceSpec { name: "hlz-c-2", centre: "hlz-c", disk: false },
];

/// Instances, workers, and the history of what the workers ran.
pub(crate) struct Fixture {
    pub cluster: Cluster,
    pub workers: Vec<Worker>,
    pub history: History,
    /// Deleted when the fixture is dropped.
    _folder: TempDir,
}

impl Fixture {
    /// Starts instances, and this number of workers in each data centre.
    pub(crate) async fn start(specs: &[InstanceSpec<'_>], workers: usize) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder can be made");
        let program = Path::new(env!("CARGO_BIN_EXE_hickorylink"));
        let cluster = Cluster::start(program, folder.path(), specs).expect("the instances start");
        let mut fixture =
            Self { cluster, workers: Vec::new(), history: History::default(), _folder: folder };
        for centre in CENTRES {
            for number in 0..workers {
                fixture.add_worker(worker_spec(centre, number)).await;
            }
        }
        fixture
    }

    /// Starts instances and workers, applies lists, and waits until every instance serves requests
    /// and all replicas run.
    pub(crate) async fn serving(specs: &[InstanceSpec<'_>]) -> Self {
        let fixture = Self::start(specs, 2).await;
        fixture.apply("plans", &plans(1)).await;
        fixture.apply("usage", &usage(1)).await;
        for at in 0..specs.len() {
            fixture.wait_serving(at).await;
        }
        let centres: BTreeSet<_> = specs.iter().map(|spec| spec.centre).collect();
        fixture.wait_replicas(centres.len() * REPLICAS_PER_CENTRE).await;
        fixture
    }

    /// Waits until this number of replicas runs, so that a test can tell its own tasks from them.
    async fn wait_replicas(&self, replicas: usize) {
        let placed = eventually(CONDITION_TIMEOUT, async || {
            let running: usize = self.workers.iter().map(|w| w.shared.running().len()).sum();
            (running == replicas).then_some(())
        });
        assert!(placed.await.is_some(), "all replicas run\n{}", self.logs());
    }

    /// Adds a worker.
    pub(crate) async fn add_worker(&mut self, spec: WorkerSpec) {
        let worker =
            Worker::start(spec, self.cluster.announce_config(), self.history.clone()).await;
        self.workers.push(worker.expect("a worker starts"));
    }

    /// Applies a list, and retries until it is accepted.
    pub(crate) async fn apply(&self, list: &str, text: &str) {
        let edit = format!("{:x}", rand::random::<u128>());
        let applied = eventually(CONDITION_TIMEOUT, async || {
            let answer = self.cluster.apply_edit(0, list, text, &edit).await.ok()?;
            (answer.status == 200).then_some(())
        });
        assert!(applied.await.is_some(), "{list} is in force\n{}", self.logs());
    }

    /// Waits until an instance serves requests.
    pub(crate) async fn wait_serving(&self, at: usize) {
        let served = eventually(CONDITION_TIMEOUT, async || {
            let label = format!("probe-{at}-{}", rand::random::<u32>());
            let report = self.call(&[at], &label, 1, true).await;
            (report.ran == 1).then_some(())
        });
        assert!(served.await.is_some(), "instance {at} serves\n{}", self.logs());
    }

    /// Sends requests through these instances, at the rate of [`Self::load`].
    pub(crate) async fn call(
        &self,
        at: &[usize],
        label: &str,
        count: u32,
        idempotent: bool,
    ) -> Report {
        caller::run(&self.load(at, label, count, idempotent)).await
    }

    /// A load of 50 requests per second, spread over these instances.
    pub(crate) fn load(&self, at: &[usize], label: &str, count: u32, idempotent: bool) -> Load {
        Load {
            instances: at.iter().map(|at| self.cluster.instances[*at].listen).collect(),
            credential: STORE.to_owned(),
            service: "folddesk".to_owned(),
            path: "square".to_owned(),
            rate: 50,
            count,
            idempotent,
            deadline: Duration::from_secs(5),
            label: label.to_owned(),
        }
    }

    /// Submits a task, and retries until it is accepted.
    pub(crate) async fn submit(&self, at: usize, key: &str, run_ms: u64) -> TaskId {
        let body = submission(key, run_ms);
        let accepted =
            eventually(CONDITION_TIMEOUT, async || self.cluster.submit(at, STORE, &body).await)
                .await;
        accepted.unwrap_or_else(|| panic!("{key} is accepted\n{}", self.logs()))
    }

    /// Waits until a task has ended, and returns its outcome.
    pub(crate) async fn wait_end(&self, at: usize, task: TaskId) -> Value {
        let mut last = None;
        let ended = eventually(CONDITION_TIMEOUT, async || {
            last = Some(self.cluster.task(at, STORE, task).await?);
            last.as_ref()?.pointer("/state/Ended").cloned()
        });
        let ended = ended.await;
        ended.unwrap_or_else(|| panic!("task {task} ends: {last:?}\n{}", self.logs()))
    }

    /// Asserts that no task ran in two places at a time, that each answered request ran once, and
    /// that no refused request ran.
    pub(crate) fn assert_once(&self, report: &Report) {
        assert_eq!(self.history.overlapping_runs(), Vec::<String>::new(), "tasks run in one place");
        for body in &report.answered {
            assert_eq!(self.history.served_count(body), 1, "{body} was answered and ran once");
        }
        for body in &report.refused {
            assert_eq!(self.history.served_count(body), 0, "{body} was refused and did not run");
        }
        assert_eq!(report.mismatched, 0, "each answer belongs to its request");
    }

    /// The last lines of the instances' logs, for the messages of failed assertions.
    pub(crate) fn logs(&self) -> String {
        let tail = |at: usize| {
            let log = self.cluster.log(at);
            let lines: Vec<_> = log.lines().rev().take(25).collect();
            let lines: Vec<_> = lines.into_iter().rev().collect();
            format!("--- {}\n{}", self.cluster.instances[at].name, lines.join("\n"))
        };
        (0..self.cluster.instances.len()).map(tail).collect::<Vec<_>>().join("\n")
    }
}

/// An idempotent batch task that runs for `run_ms`.
pub(crate) fn submission(key: &str, run_ms: u64) -> SubmitBody {
    SubmitBody {
        key: key.to_owned(),
        kind: "crease-study".to_owned(),
        size: SizeBody::new(0.5, 0.5, 0),
        run_time_ms: run_ms,
        urgent: false,
        idempotent: true,
        centre: None,
        payload: json!({ "run_ms": run_ms, "output": key }).to_string(),
    }
}

/// A plans list with this version.
pub(crate) fn plans(version: u64) -> String {
    json!({
        "version": version,
        "operators": [{ "name": "first", "credential": credential_hash(OPERATOR) }],
        "plans": [
            { "name": "counter", "objective": "latency", "services": ["folddesk"] },
            { "name": "batch", "objective": "throughput", "services": [] },
        ],
        "customers": [
            { "name": "store", "plan": "counter", "credential": credential_hash(STORE) },
            { "name": "rival", "plan": "batch", "credential": credential_hash(RIVAL) },
        ],
        "services": [{
            "name": "folddesk",
            "owner": "store",
            "size": { "processors": 2, "memory_gib": 4 },
            "replicas": { "akl-a": 2, "akl-b": 2, "hlz-c": 2 },
            "latency_ms": 50,
            "good_percent": 99.9,
        }],
    })
    .to_string()
}

/// A usage list with this version.
pub(crate) fn usage(version: u64) -> String {
    let some = json!({ "processors": 40, "memory_gib": 160 });
    json!({
        "version": version,
        "usage": [
            { "plan": "counter", "guaranteed": some, "burst": some, "best_effort": some },
            { "plan": "batch", "guaranteed": some },
        ],
    })
    .to_string()
}
