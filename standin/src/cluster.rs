//! Instances of the system as processes on the loopback address, for tests and measurements.

use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        LazyLock,
        atomic::{AtomicU16, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use hickorylink_lib::{
    api::{EDIT_ID_HEADER, SubmitBody, SubmittedBody},
    ids::TaskId,
    policy::CredentialHash,
};
use hyper::Method;
pub use nix::sys::signal::Signal;
use nix::{sys::signal::kill, unistd::Pid};
use serde_json::Value;

use crate::{
    net::{self, CallError, Response},
    worker::AnnounceConfig,
};

/// The credential of the operator named in the settings; the sample lists contain it too.
pub const OPERATOR: &str = "kowhai-operator-demo";

/// The workers' shared key in the settings.
const WORKER_KEY: &str = "workers-demo-key";

/// The interval at which a condition is polled.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// An instance of the system and its process.
#[derive(Debug)]
pub struct Instance {
    /// Its name in settings and logs.
    pub name: String,
    /// The address for callers, workers and operators.
    pub listen: SocketAddr,
    /// The address for other instances.
    pub peer_listen: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// The parameters of an instance.
#[derive(Clone, Copy, Debug)]
pub struct InstanceSpec<'s> {
    /// Its name; unique in the cluster.
    pub name: &'s str,
    /// The data centre in which it runs.
    pub centre: &'s str,
    /// Whether it has a data folder, and so can vote in the consensus group.
    pub disk: bool,
}

/// A deployment of instances; the processes are killed when it is dropped.
#[derive(Debug)]
pub struct Cluster {
    program: PathBuf,
    folder: PathBuf,
    /// The instances, in the order of their specs.
    pub instances: Vec<Instance>,
}

/// The ports of instances. They lie below the ephemeral range, so that no outgoing connection takes
/// a port between its selection and the bind by the instance.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// The offset of the next candidate port, shared by all clusters of the process.
static NEXT_PORT: LazyLock<AtomicU16> = LazyLock::new(|| AtomicU16::new(rand::random_range(PORTS)));

/// A loopback address on which nothing listens.
///
/// # Errors
///
/// Fails if all ports of the range are in use.
pub fn free_address() -> io::Result<SocketAddr> {
    for _ in PORTS {
        let next = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = PORTS.start + next % (PORTS.end - PORTS.start);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr();
        }
    }
    Err(io::ErrorKind::AddrNotAvailable.into())
}

impl Instance {
    /// An instance with free addresses, whose process isn't started.
    fn new(folder: &Path, spec: &InstanceSpec<'_>) -> io::Result<Self> {
        Ok(Self {
            name: spec.name.to_owned(),
            listen: free_address()?,
            peer_listen: free_address()?,
            settings: folder.join(format!("{}.jsonc", spec.name)),
            log: folder.join(format!("{}.log", spec.name)),
            child: None,
        })
    }
}

impl Cluster {
    /// Writes the settings of the instances into `folder` and starts them; the first one founds the
    /// consensus group.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be written or a process can't be started.
    pub fn start(program: &Path, folder: &Path, specs: &[InstanceSpec<'_>]) -> io::Result<Self> {
        let mut instances = Vec::new();
        for spec in specs {
            instances.push(Instance::new(folder, spec)?);
        }
        let peers: Vec<_> = instances.iter().map(|instance| instance.peer_listen).collect();
        for (at, (spec, instance)) in specs.iter().zip(&instances).enumerate() {
            fs::write(&instance.settings, settings(folder, spec, instance, &peers, at == 0))?;
        }
        let mut cluster =
            Self { program: program.to_owned(), folder: folder.to_owned(), instances };
        for at in 0..specs.len() {
            cluster.launch(at)?;
        }
        Ok(cluster)
    }

    /// Adds an instance that is told of `peers` only, and starts it; returns its position.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be written or the process can't be started.
    pub fn add(&mut self, spec: &InstanceSpec<'_>, peers: &[SocketAddr]) -> io::Result<usize> {
        let instance = Instance::new(&self.folder, spec)?;
        fs::write(&instance.settings, settings(&self.folder, spec, &instance, peers, false))?;
        self.instances.push(instance);
        let at = self.instances.len() - 1;
        self.launch(at)?;
        Ok(at)
    }

    /// Rewrites the addresses of other instances in the settings of an instance.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or written.
    pub fn set_peers(&self, at: usize, peers: &[SocketAddr]) -> io::Result<()> {
        let file = &self.instances[at].settings;
        let mut settings: Value = serde_json::from_str(&fs::read_to_string(file)?)?;
        settings["peers"] = peers.iter().map(ToString::to_string).collect();
        fs::write(file, settings.to_string())
    }

    /// Starts the process of a stopped instance.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started.
    pub fn launch(&mut self, at: usize) -> io::Result<()> {
        let instance = &mut self.instances[at];
        let log = File::options().create(true).append(true).open(&instance.log)?;
        let child = Command::new(&self.program)
            .args(["serve", "--settings"])
            .arg(&instance.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        instance.child = Some(child);
        Ok(())
    }

    /// Kills an instance, as in a crash. Does nothing if it is not running.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be killed.
    pub fn kill(&mut self, at: usize) -> io::Result<()> {
        if let Some(mut child) = self.instances[at].child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Sends a signal to an instance.
    ///
    /// # Errors
    ///
    /// Fails if the instance is not running.
    pub fn signal(&self, at: usize, signal: Signal) -> io::Result<()> {
        let child = self.instances[at].child.as_ref().ok_or(io::ErrorKind::NotFound)?;
        let id = i32::try_from(child.id()).map_err(io::Error::other)?;
        kill(Pid::from_raw(id), signal).map_err(io::Error::from)
    }

    /// Waits until an instance exits by itself and returns whether its exit status is success.
    ///
    /// # Errors
    ///
    /// Times out if it is still running after `limit`.
    pub fn wait_exit(&mut self, at: usize, limit: Duration) -> io::Result<bool> {
        let start = Instant::now();
        while start.elapsed() < limit {
            let child = self.instances[at].child.as_mut().ok_or(io::ErrorKind::NotFound)?;
            if let Some(status) = child.try_wait()? {
                self.instances[at].child = None;
                return Ok(status.success());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Err(io::ErrorKind::TimedOut.into())
    }

    /// Deletes the data folder of a stopped instance.
    ///
    /// # Errors
    ///
    /// Fails if the folder can't be removed.
    pub fn wipe_disk(&self, at: usize) -> io::Result<()> {
        fs::remove_dir_all(self.data_dir(at))
    }

    /// The path of an instance's data folder.
    pub fn data_dir(&self, at: usize) -> PathBuf {
        self.folder.join("data").join(&self.instances[at].name)
    }

    /// The log of an instance, over all its runs.
    pub fn log(&self, at: usize) -> String {
        fs::read_to_string(&self.instances[at].log).unwrap_or_default()
    }

    /// The process id of a running instance.
    pub fn pid(&self, at: usize) -> Option<u32> {
        self.instances[at].child.as_ref().map(Child::id)
    }

    /// What workers need to announce themselves to this cluster.
    pub fn announce_config(&self) -> AnnounceConfig {
        let instances = self.instances.iter().map(|instance| instance.listen).collect();
        AnnounceConfig { instances, key: WORKER_KEY.to_owned() }
    }

    /// Applies a list through an instance, under a random edit id.
    ///
    /// # Errors
    ///
    /// [`CallError`] if there is no complete response.
    pub async fn apply(&self, at: usize, list: &str, text: &str) -> Result<Response, CallError> {
        let edit = format!("{:x}", rand::random::<u128>());
        self.apply_edit(at, list, text, &edit).await
    }

    /// Applies a list through an instance, under a given edit id; a retry uses the same id.
    ///
    /// # Errors
    ///
    /// [`CallError`] if there is no complete response.
    pub async fn apply_edit(
        &self,
        at: usize,
        list: &str,
        text: &str,
        edit: &str,
    ) -> Result<Response, CallError> {
        let path = format!("/v1/lists/{list}");
        let headers = [("authorization", bearer(OPERATOR)), (EDIT_ID_HEADER, edit.to_owned())];
        let body = Bytes::from(text.to_owned());
        self.send(at, Method::PUT, &path, &headers, body).await
    }

    /// The operators' status report of an instance; `None` if it doesn't respond.
    pub async fn status(&self, at: usize) -> Option<Value> {
        let headers = [("authorization", bearer(OPERATOR))];
        let response = self.send(at, Method::GET, "/v1/status", &headers, Bytes::new()).await;
        serde_json::from_slice(&response.ok()?.body).ok()
    }

    /// The metrics of an instance in the text format; `None` if it doesn't respond.
    pub async fn metrics(&self, at: usize) -> Option<String> {
        let response = self.send(at, Method::GET, "/metrics", &[], Bytes::new()).await.ok()?;
        String::from_utf8(response.body.into()).ok()
    }

    /// Submits a task and returns its id; `None` if it wasn't accepted.
    pub async fn submit(&self, at: usize, credential: &str, body: &SubmitBody) -> Option<TaskId> {
        let headers = [("authorization", bearer(credential))];
        let body = serde_json::to_vec(body).unwrap_or_default();
        let response =
            self.send(at, Method::POST, "/v1/tasks", &headers, body.into()).await.ok()?;
        serde_json::from_slice::<SubmittedBody>(&response.body).ok().map(|body| body.task)
    }

    /// The state of a task; `None` if the instance doesn't report it.
    pub async fn task(&self, at: usize, credential: &str, task: TaskId) -> Option<Value> {
        let headers = [("authorization", bearer(credential))];
        let path = format!("/v1/tasks/{task}");
        let response = self.send(at, Method::GET, &path, &headers, Bytes::new()).await.ok()?;
        let value: Value = serde_json::from_slice(&response.body).ok()?;
        value.pointer("/task").cloned()
    }

    /// Sends a request to an instance.
    ///
    /// # Errors
    ///
    /// [`CallError`] if there is no complete response.
    pub async fn send(
        &self,
        at: usize,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: Bytes,
    ) -> Result<Response, CallError> {
        let headers: Vec<_> = headers.iter().map(|(name, value)| (*name, value.as_str())).collect();
        net::send(self.instances[at].listen, method, path, &headers, body).await
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for at in 0..self.instances.len() {
            // Kills suspended processes too; an error can't be reported from here.
            drop(self.kill(at));
        }
    }
}

/// The value of the authorization header for a credential.
pub fn bearer(credential: &str) -> String {
    format!("Bearer {credential}")
}

fn settings(
    folder: &Path,
    spec: &InstanceSpec<'_>,
    instance: &Instance,
    peers: &[SocketAddr],
    founding: bool,
) -> String {
    let hash = credential_hash(OPERATOR);
    let mut settings = serde_json::json!({
        "name": spec.name,
        "centre": spec.centre,
        "listen": instance.listen.to_string(),
        "peer_listen": instance.peer_listen.to_string(),
        "peers": peers.iter().map(ToString::to_string).collect::<Vec<_>>(),
        "founding": founding,
        "peer_key": "peers-demo-key-0123",
        "worker_key": WORKER_KEY,
        "operator": { "name": "first", "credential": hash },
        "log": { "format": "json", "level": "info" },
    });
    if spec.disk {
        let data = folder.join("data").join(spec.name).display().to_string();
        settings["data"] = data.into();
    }
    settings.to_string()
}

/// The hash of a credential in the format of the lists.
pub fn credential_hash(credential: &str) -> String {
    let digest = CredentialHash::of(credential).digest;
    let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("blake3:{hex}")
}

/// Polls `probe` until it returns a value, for at most `limit`.
pub async fn eventually<T>(
    limit: Duration,
    mut probe: impl AsyncFnMut() -> Option<T>,
) -> Option<T> {
    let start = Instant::now();
    while start.elapsed() < limit {
        if let Some(found) = probe().await {
            return Some(found);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    None
}
