//! Real processes of the system on the loopback address, for the demonstration and for tests.

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
    net::{self, Answer, CallError},
    worker::AnnounceConfig,
};

/// The credential of the operator in the settings, who also stands in the sample lists.
pub const OPERATOR: &str = "kowhai-operator-demo";

/// The key of the workers in the settings.
const WORKER_KEY: &str = "workers-demo-key";

/// How often a condition is looked at while it is waited for.
pub(crate) const LOOK: Duration = Duration::from_millis(50);

/// An instance of the system.
#[derive(Debug)]
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Where callers reach it.
    pub listen: SocketAddr,
    /// Where other instances reach it.
    pub peer_listen: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// What an instance is started with.
#[derive(Clone, Copy, Debug)]
pub struct InstanceSpec<'s> {
    /// Its name.
    pub name: &'s str,
    /// Its data centre.
    pub centre: &'s str,
    /// Whether it has a disk.
    pub disk: bool,
}

/// Instances that know each other.
#[derive(Debug)]
pub struct Cluster {
    program: PathBuf,
    folder: PathBuf,
    /// The instances.
    pub instances: Vec<Instance>,
}

/// The ports that instances get: below those that the system gives to outgoing connections, one of
/// which could otherwise take a port between its choice and its use.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// The next port to try; several clusters of a process share it.
static NEXT_PORT: LazyLock<AtomicU16> = LazyLock::new(|| AtomicU16::new(rand::random_range(PORTS)));

/// An address on this machine that nobody listens on.
///
/// # Errors
///
/// There is none.
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

impl Cluster {
    /// Writes the settings of the instances into `folder` and starts them; the first one founds
    /// the council.
    ///
    /// # Errors
    ///
    /// A file can't be written or a process can't be started.
    pub fn start(program: &Path, folder: &Path, specs: &[InstanceSpec<'_>]) -> io::Result<Self> {
        let mut instances = Vec::new();
        for spec in specs {
            instances.push(Instance {
                name: spec.name.to_owned(),
                listen: free_address()?,
                peer_listen: free_address()?,
                settings: folder.join(format!("{}.jsonc", spec.name)),
                log: folder.join(format!("{}.log", spec.name)),
                child: None,
            });
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

    /// Starts an instance that doesn't run.
    ///
    /// # Errors
    ///
    /// The process can't be started.
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

    /// Ends an instance at once, as a crash would.
    ///
    /// # Errors
    ///
    /// The process can't be ended.
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
    /// The instance doesn't run.
    pub fn signal(&self, at: usize, signal: Signal) -> io::Result<()> {
        let child = self.instances[at].child.as_ref().ok_or(io::ErrorKind::NotFound)?;
        let id = i32::try_from(child.id()).map_err(io::Error::other)?;
        kill(Pid::from_raw(id), signal).map_err(io::Error::from)
    }

    /// Waits until an instance has ended by itself; whether it ended well.
    ///
    /// # Errors
    ///
    /// It still runs after `limit`.
    pub fn wait_exit(&mut self, at: usize, limit: Duration) -> io::Result<bool> {
        let start = Instant::now();
        while start.elapsed() < limit {
            let child = self.instances[at].child.as_mut().ok_or(io::ErrorKind::NotFound)?;
            if let Some(status) = child.try_wait()? {
                self.instances[at].child = None;
                return Ok(status.success());
            }
            std::thread::sleep(LOOK);
        }
        Err(io::ErrorKind::TimedOut.into())
    }

    /// Empties the data folder of an instance that doesn't run.
    ///
    /// # Errors
    ///
    /// The folder can't be removed.
    pub fn wipe_disk(&self, at: usize) -> io::Result<()> {
        fs::remove_dir_all(self.data_dir(at))
    }

    /// The data folder of an instance.
    pub fn data_dir(&self, at: usize) -> PathBuf {
        self.folder.join("data").join(&self.instances[at].name)
    }

    /// What an instance logged.
    pub fn log(&self, at: usize) -> String {
        fs::read_to_string(&self.instances[at].log).unwrap_or_default()
    }

    /// The process id of an instance that runs.
    pub fn pid(&self, at: usize) -> Option<u32> {
        self.instances[at].child.as_ref().map(Child::id)
    }

    /// Where workers announce themselves.
    pub fn announce_config(&self) -> AnnounceConfig {
        let instances = self.instances.iter().map(|instance| instance.listen).collect();
        AnnounceConfig { instances, key: WORKER_KEY.to_owned() }
    }

    /// Puts a list in force through an instance.
    ///
    /// # Errors
    ///
    /// No whole answer came.
    pub async fn apply(&self, at: usize, list: &str, text: &str) -> Result<Answer, CallError> {
        let edit = format!("{:x}", rand::random::<u128>());
        self.apply_edit(at, list, text, &edit).await
    }

    /// Puts a list in force through an instance, under an edit's number.
    ///
    /// # Errors
    ///
    /// No whole answer came.
    pub async fn apply_edit(
        &self,
        at: usize,
        list: &str,
        text: &str,
        edit: &str,
    ) -> Result<Answer, CallError> {
        let path = format!("/v1/lists/{list}");
        let headers = [("authorization", bearer(OPERATOR)), (EDIT_ID_HEADER, edit.to_owned())];
        let body = Bytes::from(text.to_owned());
        self.send(at, Method::PUT, &path, &headers, body).await
    }

    /// The status that an instance shows to operators; nothing if it doesn't answer.
    pub async fn status(&self, at: usize) -> Option<Value> {
        let headers = [("authorization", bearer(OPERATOR))];
        let answer = self.send(at, Method::GET, "/v1/status", &headers, Bytes::new()).await;
        serde_json::from_slice(&answer.ok()?.body).ok()
    }

    /// The metrics of an instance in their text format; nothing if it doesn't answer.
    pub async fn metrics(&self, at: usize) -> Option<String> {
        let answer = self.send(at, Method::GET, "/metrics", &[], Bytes::new()).await.ok()?;
        String::from_utf8(answer.body.into()).ok()
    }

    /// Submits a task; nothing if it wasn't taken.
    pub async fn submit(&self, at: usize, credential: &str, body: &SubmitBody) -> Option<TaskId> {
        let headers = [("authorization", bearer(credential))];
        let body = serde_json::to_vec(body).unwrap_or_default();
        let answer = self.send(at, Method::POST, "/v1/tasks", &headers, body.into()).await.ok()?;
        serde_json::from_slice::<SubmittedBody>(&answer.body).ok().map(|body| body.task)
    }

    /// Where a task stands; nothing if the instance doesn't say.
    pub async fn task(&self, at: usize, credential: &str, task: TaskId) -> Option<Value> {
        let headers = [("authorization", bearer(credential))];
        let path = format!("/v1/tasks/{task}");
        let answer = self.send(at, Method::GET, &path, &headers, Bytes::new()).await.ok()?;
        let value: Value = serde_json::from_slice(&answer.body).ok()?;
        value.pointer("/task").cloned()
    }

    /// Sends a request to an instance.
    ///
    /// # Errors
    ///
    /// No whole answer came.
    pub async fn send(
        &self,
        at: usize,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: Bytes,
    ) -> Result<Answer, CallError> {
        let headers: Vec<_> = headers.iter().map(|(name, value)| (*name, value.as_str())).collect();
        net::send(self.instances[at].listen, method, path, &headers, body).await
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for at in 0..self.instances.len() {
            // A frozen process can be ended too; there is nobody to tell of a failure.
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

/// The hash of a credential as the lists have it.
pub fn credential_hash(credential: &str) -> String {
    let digest = CredentialHash::of(credential).digest;
    let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("blake3:{hex}")
}

/// Waits until `look` gives something, for at most `limit`.
pub async fn eventually<T>(limit: Duration, mut look: impl AsyncFnMut() -> Option<T>) -> Option<T> {
    let start = Instant::now();
    while start.elapsed() < limit {
        if let Some(found) = look().await {
            return Some(found);
        }
        tokio::time::sleep(LOOK).await;
    }
    None
}
