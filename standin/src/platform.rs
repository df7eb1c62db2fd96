//! A deployment of controllers and gateways as processes, with the calls of requesters and
//! operators.

use std::{
    fs::{self, File},
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use bytes::Bytes;
use hyper::Method;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::{Value, json};
use tokio::time::timeout;

use crate::{
    cluster::free_address,
    net::{self, CallError, Response},
};

pub mod worker;

/// The `Host` header of requesters' calls.
pub const HOST: &str = "desk.example";

/// The service that the simulated workers run.
pub const SERVICE: &str = "desk";

/// The limit on an operator's call, after which the next controller is called.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);

/// A deployment of processes. Members are numbered from zero: the first controllers, the gateways,
/// and the controllers that were added. The processes are killed when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    program: PathBuf,
    folder: PathBuf,
    port: u16,
    peer_port: u16,
    metrics_port: u16,
    readiness_port: u16,
    fields: RoleFields,
    members: Vec<Member>,
}

/// Further fields of the members' settings, by role. Each is an object or null.
#[derive(Clone, Debug, Default)]
pub struct RoleFields {
    /// The fields of controllers.
    pub controller: Value,
    /// The fields of gateways.
    pub gateway: Value,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MemberRole {
    Controller,
    Gateway,
}

impl MemberRole {
    /// The subcommand that starts a process in this role.
    fn command(self) -> &'static str {
        match self {
            Self::Controller => "controller",
            Self::Gateway => "gateway",
        }
    }
}

#[derive(Debug)]
struct Member {
    role: MemberRole,
    listen: SocketAddr,
    child: Option<Child>,
}

impl Deployment {
    /// Starts controllers and gateways, each on its own loopback address.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be written or a process can't be started.
    pub fn start(
        program: &Path,
        folder: &Path,
        controllers: usize,
        gateways: usize,
    ) -> io::Result<Self> {
        Self::start_with(program, folder, controllers, gateways, RoleFields::default())
    }

    /// Starts controllers and gateways as [`Deployment::start`] does, with further fields in their
    /// settings.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be written or a process can't be started.
    pub fn start_with(
        program: &Path,
        folder: &Path,
        controllers: usize,
        gateways: usize,
        fields: RoleFields,
    ) -> io::Result<Self> {
        let ports = [(); 4].map(|()| free_address().map(|address| address.port()));
        let [port, peer_port, metrics_port, readiness_port] = ports;
        let mut deployment = Self {
            program: program.to_owned(),
            folder: folder.to_owned(),
            port: port?,
            peer_port: peer_port?,
            metrics_port: metrics_port?,
            readiness_port: readiness_port?,
            fields,
            members: Vec::new(),
        };
        for _ in 0..controllers {
            deployment.add_member(MemberRole::Controller);
        }
        for _ in 0..gateways {
            deployment.add_member(MemberRole::Gateway);
        }
        let seeds = deployment.controllers();
        for at in 0..controllers + gateways {
            deployment.write_settings(at, &seeds, true)?;
            deployment.launch(at)?;
        }
        Ok(deployment)
    }

    /// Starts a controller at a new address, which joins by these seeds, and returns its number.
    ///
    /// # Errors
    ///
    /// Fails if its settings can't be written or the process can't be started.
    pub fn add_controller(&mut self, seeds: &[SocketAddr]) -> io::Result<usize> {
        let at = self.add_member(MemberRole::Controller);
        self.write_settings(at, seeds, false)?;
        self.launch(at)?;
        Ok(at)
    }

    /// Assigns the next number and address.
    fn add_member(&mut self, role: MemberRole) -> usize {
        let at = self.members.len();
        let host = Ipv4Addr::new(127, 0, 1, u8::try_from(at + 1).unwrap_or(u8::MAX));
        let listen = (IpAddr::V4(host), self.port).into();
        self.members.push(Member { role, listen, child: None });
        at
    }

    fn write_settings(&self, at: usize, seeds: &[SocketAddr], founding: bool) -> io::Result<()> {
        let seeds: Vec<_> = seeds.iter().map(ToString::to_string).collect();
        let mut settings = json!({
            "name": format!("member-{at}"),
            "centre": format!("centre-{}", at % 3),
            "listen": self.members[at].listen.to_string(),
            "metrics": self.metrics_address(at).to_string(),
            "seeds": seeds,
            "peer_port": self.peer_port,
        });
        if self.members[at].role == MemberRole::Controller {
            settings["founding"] = founding.into();
            settings["centres"] = json!(["centre-0", "centre-1", "centre-2"]);
            settings["data"] = self.data(at).display().to_string().into();
        } else {
            settings["readiness"] = self.readiness_address(at).to_string().into();
        }
        let fields = match self.members[at].role {
            MemberRole::Controller => &self.fields.controller,
            MemberRole::Gateway => &self.fields.gateway,
        };
        for (name, value) in fields.as_object().into_iter().flatten() {
            settings[name] = value.clone();
        }
        fs::write(self.settings(at), settings.to_string())
    }

    /// Replaces the seeds in the settings of a member, whether it is running or not.
    ///
    /// # Errors
    ///
    /// Fails if its settings can't be read or written.
    pub fn write_seeds(&self, at: usize, seeds: &[SocketAddr]) -> io::Result<()> {
        let mut settings: Value = serde_json::from_str(&fs::read_to_string(self.settings(at))?)?;
        settings["seeds"] = seeds.iter().map(ToString::to_string).collect();
        // A reader must not see a part of the file.
        let new = self.folder.join(format!("{at}.new"));
        fs::write(&new, settings.to_string())?;
        fs::rename(new, self.settings(at))
    }

    fn settings(&self, at: usize) -> PathBuf {
        self.folder.join(format!("{at}.jsonc"))
    }

    fn data(&self, at: usize) -> PathBuf {
        self.folder.join(format!("data-{at}"))
    }

    /// Starts the process of a stopped member.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started.
    pub fn launch(&mut self, at: usize) -> io::Result<()> {
        let path = self.folder.join(format!("{at}.log"));
        let log = File::options().create(true).append(true).open(path)?;
        let child = Command::new(&self.program)
            .args([self.members[at].role.command(), "--settings"])
            .arg(self.settings(at))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.members[at].child = Some(child);
        Ok(())
    }

    /// Kills a member, as in a crash. Does nothing if it is not running.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be killed.
    pub fn kill(&mut self, at: usize) -> io::Result<()> {
        if let Some(mut child) = self.members[at].child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Sends a signal to a member.
    ///
    /// # Errors
    ///
    /// Fails if the member is not running.
    pub fn signal(&self, at: usize, signal: Signal) -> io::Result<()> {
        let child = self.members[at].child.as_ref().ok_or(io::ErrorKind::NotFound)?;
        let id = i32::try_from(child.id()).map_err(io::Error::other)?;
        kill(Pid::from_raw(id), signal).map_err(io::Error::from)
    }

    /// Deletes the data of a stopped controller, and clears `founding` in its settings, so that it
    /// joins the existing deployment when it starts again.
    ///
    /// # Errors
    ///
    /// Fails if its folder can't be removed or its settings can't be written.
    pub fn wipe_disk(&self, at: usize) -> io::Result<()> {
        fs::remove_dir_all(self.data(at))?;
        let text = fs::read_to_string(self.settings(at))?;
        fs::write(self.settings(at), text.replace("\"founding\":true", "\"founding\":false"))
    }

    /// Whether the process of a member that was started last still runs.
    pub fn is_running(&mut self, at: usize) -> bool {
        let child = self.members[at].child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// The number of controllers and gateways.
    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    /// The log of a member, over all its runs.
    pub fn log(&self, at: usize) -> String {
        fs::read_to_string(self.folder.join(format!("{at}.log"))).unwrap_or_default()
    }

    /// The controller with the highest epoch of leadership in the logs.
    pub fn leader(&self) -> Option<usize> {
        let epochs = self.numbers(MemberRole::Controller).filter_map(|at| {
            let log = self.log(at);
            let lines = log.lines().filter(|line| line.contains("this controller leads"));
            let epochs = lines.filter_map(|line| serde_json::from_str::<Value>(line).ok());
            Some((epochs.filter_map(|line| line["epoch"].as_u64()).max()?, at))
        });
        epochs.max().map(|(_, at)| at)
    }

    /// The address of a member's metrics.
    pub fn metrics_address(&self, at: usize) -> SocketAddr {
        SocketAddr::new(self.members[at].listen.ip(), self.metrics_port)
    }

    /// The address of a gateway's readiness check.
    pub fn readiness_address(&self, at: usize) -> SocketAddr {
        SocketAddr::new(self.members[at].listen.ip(), self.readiness_port)
    }

    /// The address of a controller for other members.
    pub fn peer_address(&self, at: usize) -> SocketAddr {
        SocketAddr::new(self.members[at].listen.ip(), self.peer_port)
    }

    /// The process id of a member that has been started.
    pub fn process_id(&self, at: usize) -> Option<u32> {
        self.members[at].child.as_ref().map(Child::id)
    }

    /// The metrics of a member, in the text format.
    ///
    /// # Errors
    ///
    /// [`CallError`] if there is no complete response.
    pub async fn metrics(&self, at: usize) -> Result<String, CallError> {
        let to = self.metrics_address(at);
        let response = net::send(to, Method::GET, "/metrics", &[], Bytes::new()).await?;
        Ok(String::from_utf8_lossy(&response.body).into_owned())
    }

    /// The addresses of the controllers for workers and operators.
    pub fn controllers(&self) -> Vec<SocketAddr> {
        self.numbers(MemberRole::Controller).map(|at| self.members[at].listen).collect()
    }

    /// The address of a member for callers, workers or operators.
    pub fn address(&self, at: usize) -> SocketAddr {
        self.members[at].listen
    }

    /// The numbers of the members in a role.
    fn numbers(&self, role: MemberRole) -> impl Iterator<Item = usize> {
        let members = self.members.iter().enumerate();
        members.filter(move |(_, member)| member.role == role).map(|(at, _)| at)
    }

    /// A config with one route, `/fold/`.
    pub fn config(version: u64) -> Value {
        json!({
            "version": version,
            "routes": [{
                "name": "fold", "host": HOST, "pathPrefix": "/fold/", "kind": "unsafe",
                "timeoutMs": 3000, "targetLatencyMs": 1000, "priority": 0,
                "service": SERVICE, "maxAttempts": 4, "slackFactor": 2.0,
            }],
            "services": [{ "name": SERVICE, "rejectsOverload": true }],
        })
    }

    /// Applies [`Deployment::config`], and returns the first conclusive response.
    pub async fn apply_config(&self, version: u64) -> Option<Response> {
        self.operator_call(Method::PUT, Self::config(version).to_string().into()).await
    }

    /// Sends an operator's call about the config; see [`Deployment::operator_request`].
    pub async fn operator_call(&self, method: Method, body: Bytes) -> Option<Response> {
        self.operator_request(method, "/hickorylink/config", body).await
    }

    /// Sends an operator's request to one controller after the other, following redirects, until one
    /// responds conclusively: with success or a client error.
    pub async fn operator_request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Option<Response> {
        for at in self.controllers() {
            let mut to = at;
            for _ in 0..3 {
                let sent = net::send(to, method.clone(), path, &[], body.clone());
                let Ok(Ok(response)) = timeout(OPERATOR_TIMEOUT, sent).await else { break };
                match response.status {
                    307 => match response.location.as_deref().and_then(redirect_address) {
                        Some(next) => to = next,
                        None => break,
                    },
                    200..=499 => return Some(response),
                    _ => break,
                }
            }
        }
        None
    }

    /// Sends a requester's call through a gateway, numbered from zero.
    ///
    /// # Errors
    ///
    /// [`CallError`] if there is no complete response.
    pub async fn call(
        &self,
        gateway: usize,
        method: Method,
        path: &str,
        body: &str,
    ) -> Result<Response, CallError> {
        let at = self.numbers(MemberRole::Gateway).nth(gateway).expect("a gateway");
        let to = self.members[at].listen;
        net::send(to, method, path, &[("host", HOST)], Bytes::from(body.to_owned())).await
    }

    /// Submits a job with these steps; see [`Deployment::submit_payload`].
    pub async fn submit(&self, id: u64, steps: &Value) -> bool {
        self.submit_payload(id, "stand-in", steps).await
    }

    /// Submits a job with this payload and these steps, with up to 100 attempts until a conclusive
    /// response, and returns whether it was accepted.
    pub async fn submit_payload(&self, id: u64, payload: &str, steps: &Value) -> bool {
        let body = json!({ "spec": payload, "steps": steps }).to_string();
        for _ in 0..100 {
            match self.call(0, Method::POST, &job_path(id), &body).await {
                Ok(response) if response.status == 200 => return true,
                Ok(response) if (400..500).contains(&response.status) => return false,
                Ok(_) | Err(_) => tokio::time::sleep(crate::cluster::POLL_INTERVAL).await,
            }
        }
        false
    }

    /// The state of a job; `None` if the gateway doesn't report it.
    pub async fn job_state(&self, id: u64) -> Option<String> {
        let response = self.call(0, Method::GET, &job_path(id), "").await.ok()?;
        let body: Value = serde_json::from_slice(&response.body).ok()?;
        body["state"].as_str().map(str::to_owned)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for at in 0..self.members.len() {
            // An error means that the process has already exited.
            drop(self.kill(at));
        }
    }
}

/// The path of a job's resource.
pub fn job_path(id: u64) -> String {
    format!("/fold/{id:016x}")
}

/// The host and port of an `http` URL, as in the `Location` header of a redirect.
pub fn redirect_address(location: &str) -> Option<SocketAddr> {
    let rest = location.strip_prefix("http://")?;
    rest.split('/').next()?.parse().ok()
}
