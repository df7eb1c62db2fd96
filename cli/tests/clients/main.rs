//! Tests of a gateway's and a controller's process under clients outside our control: the process
//! lives, stays within the memory and the descriptors of its settings, and serves afterwards. They guard
//! against a client load that ends the process or fills its machine. docs/design/client-limits-tests.md.

use std::{
    fmt,
    net::SocketAddr,
    path::Path,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use hickorylink_standin::{
    cluster::eventually,
    net,
    platform::{
        Deployment, RoleFields, job_path,
        worker::{RunHistory, Worker},
    },
};
use hyper::Method;
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::time::timeout;

use crate::{
    crowd::{Script, visit},
    process::{Usage, resident},
};

mod controller;
mod crowd;
mod gateway;
mod legal;
mod peers;
mod process;
mod requests;
mod side;

/// How long any condition may take. Generous, as no test here checks how fast something is.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);

/// How long one ordinary request may take before it is sent again.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The most bytes that the clients of one case send together.
const MAX_TRAFFIC: usize = 150_000_000;

/// The most clients of one case.
const MAX_CLIENTS: usize = 300;

/// The bytes of a megabyte in `memory_mb`.
const MEGABYTE: u64 = 1_000_000;

/// The memory of the settings is at least this many times that at rest, so that the bound holds also for
/// a debug build, which uses more memory at rest.
const REST_FACTOR: u64 = 2;

const CONTROLLER: usize = 0;
const GATEWAY: usize = 1;

/// Only one crowd comes at a time.
static CROWD: Mutex<()> = Mutex::new(());

/// Waits until no other crowd is there.
fn alone() -> MutexGuard<'static, ()> {
    CROWD.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The address to which a crowd comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listener {
    Calls,
    Readiness,
    GatewayMetrics,
    Control,
    ControllerMetrics,
    Peers,
}

impl Listener {
    fn member(self) -> usize {
        match self {
            Self::Calls | Self::Readiness | Self::GatewayMetrics => GATEWAY,
            Self::Control | Self::ControllerMetrics | Self::Peers => CONTROLLER,
        }
    }

    fn address(self, deployment: &Deployment) -> SocketAddr {
        match self {
            Self::Calls | Self::Control => deployment.address(self.member()),
            Self::Readiness => deployment.readiness_address(GATEWAY),
            Self::GatewayMetrics | Self::ControllerMetrics => {
                deployment.metrics_address(self.member())
            }
            Self::Peers => deployment.peer_address(CONTROLLER),
        }
    }
}

/// The limits of the machine in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Machine {
    memory_mb: u64,
    max_fds: u64,
}

impl Machine {
    fn settings(self) -> Value {
        json!({ "memory_mb": self.memory_mb, "max_fds": self.max_fds, "losses": 0 })
    }
}

/// A crowd, the process to which it comes, and the limits of its machine.
struct Case {
    name: &'static str,
    listener: Listener,
    machine: Machine,
    clients: usize,
    script: Script,
}

/// What was seen in a case.
struct Outcome {
    listener: Listener,
    name: &'static str,
    machine: Machine,
    at_rest: u64,
    usage: Usage,
    alive: bool,
    /// What wasn't served afterwards.
    unserved: Option<&'static str>,
    logs: String,
}

impl Outcome {
    fn holds(&self) -> bool {
        let Machine { memory_mb, max_fds } = self.machine;
        let fits = self.usage.peak <= memory_mb * MEGABYTE && self.usage.fds <= max_fds;
        fits && self.alive && self.unserved.is_none()
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "| {:?} | {} | {} | {} of {} MB | {} of {} | {} | {} |",
            self.listener,
            self.name,
            self.at_rest / MEGABYTE,
            self.usage.peak.div_ceil(MEGABYTE),
            self.machine.memory_mb,
            self.usage.fds,
            self.machine.max_fds,
            if self.alive { "alive" } else { "ended" },
            self.unserved.map_or("served", |what| what),
        )
    }
}

/// A controller, a gateway and a worker.
struct Fixture {
    deployment: Deployment,
    machine: Machine,
    /// The number of the last job and the last configuration.
    number: u64,
    /// The resident memory of the controller and of the gateway before the first crowd, in bytes.
    at_rest: [u64; 2],
    _worker: Worker,
    _folder: TempDir,
}

impl Fixture {
    /// Starts both processes with the limits of this machine.
    async fn start(machine: Machine) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let program = Path::new(env!("CARGO_BIN_EXE_hickorylink"));
        let fields = RoleFields { controller: machine.settings(), gateway: machine.settings() };
        let deployment = Deployment::start_with(program, folder.path(), 1, 1, fields);
        let deployment = deployment.expect("the deployment starts");
        let worker = Worker::start("w1", &deployment.controllers(), &RunHistory::default());
        let mut fixture = Self {
            deployment,
            machine,
            number: 0,
            at_rest: [0; 2],
            _worker: worker,
            _folder: folder,
        };
        // The memory at rest includes what the first requests allocate.
        let unserved = fixture.unserved().await;
        assert_eq!(unserved, None, "the deployment serves before the crowd\n{}", fixture.logs());
        fixture.at_rest = [CONTROLLER, GATEWAY]
            .map(|at| resident(fixture.process(at)).expect("the process runs"));
        fixture
    }

    fn process(&self, member: usize) -> u32 {
        self.deployment.process_id(member).expect("the process has been started")
    }

    fn logs(&self) -> String {
        let logs = [CONTROLLER, GATEWAY].map(|at| {
            let log = self.deployment.log(at);
            let lines: Vec<_> = log.lines().collect();
            lines[lines.len().saturating_sub(20)..].join("\n")
        });
        logs.join("\n---\n")
    }

    /// Sends each ordinary request until it is served; returns the first that isn't. The completed job
    /// shows that the worker's heartbeats go on, as it takes one to start and one to end its task.
    async fn unserved(&mut self) -> Option<&'static str> {
        self.number += 1;
        let number = self.number;
        let job = job_path(number);
        let body = json!({ "spec": "s", "steps": [{ "count": 1, "cpu": 500, "memMb": 10 }] });
        let body = body.to_string();
        if !until(async || self.deployment.apply_config(number).await.map(|r| r.status)).await {
            return Some("configuration");
        }
        if !until(async || self.status(Method::POST, &job, &body).await).await {
            return Some("submission");
        }
        let completed = eventually(CONDITION_TIMEOUT, async || {
            let state = timeout(CALL_TIMEOUT, self.deployment.job_state(number)).await.ok()??;
            (state == "completed").then_some(())
        });
        if completed.await.is_none() {
            return Some("job");
        }
        if !until(async || self.status(Method::GET, "/fold/", "").await).await {
            return Some("read");
        }
        let side = [
            (self.deployment.readiness_address(GATEWAY), "/", "readiness"),
            (self.deployment.metrics_address(GATEWAY), "/metrics", "metrics of the gateway"),
            (self.deployment.metrics_address(CONTROLLER), "/metrics", "metrics of the controller"),
        ];
        for (to, path, name) in side {
            let sent = async || {
                let call = net::send(to, Method::GET, path, &[], Bytes::new());
                Some(timeout(CALL_TIMEOUT, call).await.ok()?.ok()?.status)
            };
            if !until(sent).await {
                return Some(name);
            }
        }
        None
    }

    async fn status(&self, method: Method, path: &str, body: &str) -> Option<u16> {
        let call = self.deployment.call(0, method, path, body);
        Some(timeout(CALL_TIMEOUT, call).await.ok()?.ok()?.status)
    }
}

/// Sends a request until it is answered with 200, and returns whether it was.
async fn until(mut send: impl AsyncFnMut() -> Option<u16>) -> bool {
    eventually(CONDITION_TIMEOUT, async || send().await.filter(|status| *status == 200))
        .await
        .is_some()
}

impl Case {
    async fn run(&self, fixture: &mut Fixture) -> Outcome {
        let traffic = self.clients * self.script.len();
        assert!(self.clients <= MAX_CLIENTS && traffic <= MAX_TRAFFIC, "{}: {traffic}", self.name);
        let member = self.listener.member();
        let (pid, at_rest) = (fixture.process(member), fixture.at_rest[member]);
        let bound = self.machine.memory_mb * MEGABYTE;
        assert!(at_rest * REST_FACTOR <= bound, "{}: {at_rest} bytes at rest", self.name);
        let to = self.listener.address(&fixture.deployment);
        let mut usage = visit(to, self.clients, &self.script, pid).await;
        let alive = fixture.deployment.is_running(member);
        let unserved = if alive { fixture.unserved().await } else { Some("nothing") };
        usage.sample(pid);
        let alive = fixture.deployment.is_running(member);
        let logs = fixture.logs();
        let Self { name, listener, machine, .. } = *self;
        Outcome { listener, name, machine, at_rest, usage, alive, unserved, logs }
    }
}

/// Runs all cases, one after the other, and reports those that don't hold together. Successive crowds
/// come to the same process, so that slots or bytes that it doesn't free add up. After a case that
/// doesn't hold, the next one gets new processes.
fn check(cases: &[Case]) {
    check_with(cases, &async |_: &mut Fixture| {});
}

/// Runs all cases as [`check`] does, each after `prepare`.
fn check_with(cases: &[Case], prepare: &impl AsyncFn(&mut Fixture)) {
    let _alone = alone();
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let outcomes = runtime.expect("a runtime").block_on(async {
        let mut outcomes: Vec<Outcome> = Vec::new();
        let mut current: Option<Fixture> = None;
        for case in cases {
            let usable = outcomes.last().is_some_and(Outcome::holds);
            let kept = current.take().filter(|fixture| usable && fixture.machine == case.machine);
            let mut fixture = match kept {
                Some(fixture) => fixture,
                None => Fixture::start(case.machine).await,
            };
            prepare(&mut fixture).await;
            outcomes.push(case.run(&mut fixture).await);
            current = Some(fixture);
        }
        outcomes
    });
    println!("| listener | case | at rest | peak memory | descriptors | process | afterwards |");
    for outcome in &outcomes {
        println!("{outcome}");
    }
    let failed: Vec<_> = outcomes.iter().filter(|outcome| !outcome.holds()).collect();
    for outcome in &failed {
        println!("--- {outcome}\n{}", outcome.logs);
    }
    let names: Vec<_> = failed.iter().map(|outcome| outcome.name).collect();
    assert!(names.is_empty(), "cases that don't hold: {names:?}");
}
