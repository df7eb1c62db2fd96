//! The settings of an instance of a deployment, in JSON with comments.

use std::{net::SocketAddr, time::Duration};

use hickorylink_lib::{
    document::{Document, ObjectView, ValueView},
    finding::Findings,
    jobs::locality::Locality,
    settings::{LogFormat, LogLevel, LogSettings},
};

use self::clients::ClientLimits;

pub mod clients;

/// The environment variable that names the settings file.
pub const SETTINGS_ENV: &str = "HICKORYLINK_NODE_FILE";

const FIELDS: &[&str] = &[
    "name",
    "centre",
    "listen",
    "readiness",
    "metrics",
    "seeds",
    "peer_port",
    "founding",
    "data",
    "losses",
    "centres",
    "lease_most_ms",
    "retain_s",
    "stop_ms",
    "grace_s",
    "log_level",
    "locality",
    "memory_mb",
    "max_fds",
    "clients",
];

const LOCALITY_FIELDS: &[&str] = &["remote_factor", "max_wait_ms"];

/// The largest value of the factor for tasks away from their rack.
const MAX_REMOTE_FACTOR: f64 = 100.0;

/// The largest value of the longest wait for a better placement.
const MAX_NEAR_WAIT_MS: u64 = 10_000;

/// The upper limit on leases: its default and its largest value.
const DEFAULT_LEASE_MS: u64 = 10_000;
const MAX_LEASE_MS: u64 = 60_000;

/// The retention of ended jobs: its default and its largest value.
const DEFAULT_RETAIN_S: u64 = 120;
const MAX_RETAIN_S: u64 = 86_400;

/// How long a worker takes at most to stop a run: its default and its largest value.
const DEFAULT_STOP_MS: u64 = 900;
const MAX_STOP_MS: u64 = 60_000;

/// The grace period of a shutdown: its default and its largest value.
const DEFAULT_GRACE_S: u64 = 6;
const MAX_GRACE_S: u64 = 600;

/// How many controllers may fail at the same time: the default and the largest value.
const DEFAULT_LOSSES: u64 = 1;
const MAX_LOSSES: u64 = 3;

/// The memory of the machine in megabytes (10^6 bytes): the default, which is that of the smallest
/// machine (a gateway's), and the bounds.
const DEFAULT_MEMORY_MB: u64 = 160;
const MIN_MEMORY_MB: u64 = 32;
const MAX_MEMORY_MB: u64 = 1 << 20;

/// The descriptors of the machine: the default, which is that of the smallest machine (a
/// controller's), and the bounds.
const DEFAULT_MAX_FDS: u64 = 4096;
const MIN_MAX_FDS: u64 = 64;
const MAX_MAX_FDS: u64 = 1 << 20;

/// The settings of an instance of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The instance's name.
    pub name: String,
    /// Its data centre.
    pub centre: String,
    /// The address for callers (gateway) or for workers and operators (controller).
    pub listen: SocketAddr,
    /// The address of the readiness check, if there is one.
    pub readiness: Option<SocketAddr>,
    /// The address of the metrics, if they are served.
    pub metrics: Option<SocketAddr>,
    /// The `listen` addresses of some controllers, for joining the deployment.
    pub seeds: Vec<SocketAddr>,
    /// The port for connections between instances; the same on all of them.
    pub peer_port: u16,
    /// Whether the deployment is being bootstrapped.
    pub founding: bool,
    /// The data folder, if the instance has a disk.
    pub data: Option<String>,
    /// How many controllers may fail at the same time.
    pub max_losses: usize,
    /// The data centres of the deployment, which operators may evacuate; empty if they aren't known.
    pub centres: Vec<String>,
    /// The upper limit on the lease of a run.
    pub max_lease: Duration,
    /// How long ended jobs are retained.
    pub retain: Duration,
    /// How long a worker takes at most to stop a run.
    pub stop: Duration,
    /// The grace period of a shutdown.
    pub grace: Duration,
    /// The settings for waits for better placements.
    pub locality: Locality,
    /// The settings of the log.
    pub log: LogSettings,
    /// The memory of the machine, in megabytes (10^6 bytes).
    pub memory_mb: u64,
    /// How many descriptors the process may have open.
    pub max_fds: u64,
    /// The limits for clients.
    pub clients: ClientLimits,
}

impl Settings {
    /// Parses a settings file.
    ///
    /// # Errors
    ///
    /// All errors in the file, with their positions.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        Document::read(file, text, |root| read(root.allow_only(FIELDS)))
    }

    /// Returns the address at which other instances reach this one.
    pub fn peer(&self) -> SocketAddr {
        SocketAddr::new(self.listen.ip(), self.peer_port)
    }

    /// Returns the addresses at which this instance reaches the seeds.
    pub fn seed_peers(&self) -> Vec<SocketAddr> {
        self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), self.peer_port)).collect()
    }
}

fn read(root: ObjectView<'_, '_>) -> Option<Settings> {
    let name = root.required("name").and_then(ValueView::text);
    let centre = root.required("centre").and_then(ValueView::text);
    let listen = root.required("listen").and_then(address);
    let readiness = root.get("readiness").and_then(address);
    let metrics = root.get("metrics").and_then(address);
    let seeds = root.list("seeds").into_iter().filter_map(address).collect();
    let peer_port =
        root.required("peer_port").and_then(|value| value.integer(1..=u64::from(u16::MAX)));
    let founding = root.get("founding").and_then(ValueView::boolean).unwrap_or(false);
    let data = root.get("data").and_then(ValueView::text).map(str::to_owned);
    let integer = |field, default, max| {
        root.get(field).and_then(|value| value.integer(0..=max)).unwrap_or(default)
    };
    let losses = integer("losses", DEFAULT_LOSSES, MAX_LOSSES);
    let centres = root.list("centres").into_iter().filter_map(ValueView::text);
    let centres = centres.map(str::to_owned).collect();
    let lease = integer("lease_most_ms", DEFAULT_LEASE_MS, MAX_LEASE_MS);
    let retain = integer("retain_s", DEFAULT_RETAIN_S, MAX_RETAIN_S);
    let stop = integer("stop_ms", DEFAULT_STOP_MS, MAX_STOP_MS);
    let grace = integer("grace_s", DEFAULT_GRACE_S, MAX_GRACE_S);
    let level = root.get("log_level").and_then(|value| value.one_of(LogLevel::NAMES));
    let level = level.and_then(LogLevel::from_name).unwrap_or(LogLevel::Info);
    let locality = match root.get("locality") {
        Some(value) => value.object().and_then(locality),
        None => Some(Locality::OFF),
    };
    let limit = |field, default, bounds| {
        root.get(field).and_then(|value| value.integer(bounds)).unwrap_or(default)
    };
    let memory_mb = limit("memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB..=MAX_MEMORY_MB);
    let max_fds = limit("max_fds", DEFAULT_MAX_FDS, MIN_MAX_FDS..=MAX_MAX_FDS);
    let clients = root.get("clients").and_then(ValueView::object);
    let clients = clients.map_or_else(
        || ClientLimits::new(memory_mb, max_fds),
        |object| ClientLimits::read(object, memory_mb, max_fds),
    );
    Some(Settings {
        name: name?.to_owned(),
        centre: centre?.to_owned(),
        listen: listen?,
        readiness,
        metrics,
        seeds,
        peer_port: u16::try_from(peer_port?).ok()?,
        founding,
        data,
        max_losses: usize::try_from(losses).ok()?,
        centres,
        max_lease: Duration::from_millis(lease),
        retain: Duration::from_secs(retain),
        stop: Duration::from_millis(stop),
        grace: Duration::from_secs(grace),
        locality: locality?,
        log: LogSettings { format: LogFormat::Json, level },
        memory_mb,
        max_fds,
        clients,
    })
}

fn locality(object: ObjectView<'_, '_>) -> Option<Locality> {
    let object = object.allow_only(LOCALITY_FIELDS);
    let factor = object.required("remote_factor").and_then(|value| {
        let factor = value.number(1.0..=MAX_REMOTE_FACTOR)?;
        if factor <= 1.0 {
            value.report("\"remote_factor\" must be above 1");
        }
        Some(factor)
    });
    let max_wait =
        object.get("max_wait_ms").map_or(Some(0), |value| value.integer(0..=MAX_NEAR_WAIT_MS));
    let max_wait = Duration::from_millis(max_wait?);
    Some(Locality { remote_factor: factor?, max_wait })
}

fn address(value: ValueView<'_, '_>) -> Option<SocketAddr> {
    let text = value.text()?;
    let address = text.parse().ok();
    if address.is_none() {
        value.report(format!("\"{text}\" is not an IP address with a port, as in 10.0.0.1:7001"));
    }
    address
}
