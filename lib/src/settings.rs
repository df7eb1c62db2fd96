//! The settings of an instance, read from JSON with comments.

use std::{net::SocketAddr, time::Duration};

use crate::{
    data,
    document::{Document, ObjectView, ValueView},
    finding::Findings,
    ids::{DataCentre, InstanceName, OperatorName},
    lists::fields,
    policy::CredentialHash,
    symbols,
};

/// The maximum number of voters: more would slow down each commit without surviving any likely
/// failure.
const MAX_VOTERS: u64 = 7;

/// The default number of voters.
const DEFAULT_VOTERS: u64 = 3;

/// The default and maximum size of a request body.
const DEFAULT_BODY_KIB: u64 = 1024;
const MAX_BODY_KIB: u64 = 16 * 1024;

/// The default and maximum number of connections from callers.
const DEFAULT_CONNECTIONS: u64 = 2048;
const MAX_CONNECTIONS: u64 = 65_536;

/// The default and maximum time for which an instance that shuts down waits for open requests.
const DEFAULT_DRAIN_MS: u64 = 30_000;
const MAX_DRAIN_MS: u64 = 3_600_000;

/// The minimum length of the keys that authenticate peers and workers.
const MIN_KEY_BYTES: usize = 16;

symbols! {
    /// The format of log records.
    pub enum LogFormat {
        /// One JSON object on each line.
        Json = "json",
        /// Human-readable lines.
        Terminal = "terminal",
    }

    /// The level below which log records are dropped.
    pub enum LogLevel {
        /// Failures that need an operator's attention.
        Error = "error",
        /// Conditions that may need an operator's attention.
        Warning = "warning",
        /// Significant events.
        Info = "info",
        /// Details for debugging.
        Debug = "debug",
    }
}

data! {
    /// The settings of an instance.
    pub struct Settings {
        /// The instance's name.
        pub name: InstanceName,
        /// The data centre that the instance is in.
        pub centre: DataCentre,
        /// The address at which callers, workers and operators connect.
        pub listen: SocketAddr,
        /// The address at which other instances connect.
        pub peer_listen: SocketAddr,
        /// The addresses of other instances to contact at startup.
        pub peers: Vec<SocketAddr>,
        /// The folder for durable state; an instance without one never becomes a voter.
        pub data: Option<String>,
        /// Whether the instance bootstraps the consensus group if there is none yet.
        pub founding: bool,
        /// The desired number of voters in the consensus group.
        pub council: u32,
        /// The shared key that authenticates instances to each other.
        pub peer_key: String,
        /// The shared key that authenticates workers.
        pub worker_key: String,
        /// The operator who may edit the lists before a plans list has been accepted.
        pub operator: FirstOperator,
        /// The settings of the log.
        pub log: LogSettings,
        /// The limits of the instance.
        pub limits: LimitSettings,
    }

    /// The operator who may edit the lists before a plans list has been accepted.
    pub struct FirstOperator {
        /// The operator's name.
        pub name: OperatorName,
        /// The hash of the operator's credential.
        pub credential: CredentialHash,
    }

    /// The settings of the log.
    #[derive(Copy)]
    pub struct LogSettings {
        /// The format of the records.
        pub format: LogFormat,
        /// The level below which records are dropped.
        pub level: LogLevel,
    }

    /// Limits of an instance.
    #[derive(Copy)]
    pub struct LimitSettings {
        /// The maximum size of a request body, in bytes.
        pub body: usize,
        /// The maximum number of open connections from callers.
        pub connections: usize,
        /// How long an instance that shuts down waits for open requests.
        pub drain: Duration,
    }
}

const FIELDS: &[&str] = &[
    "name",
    "centre",
    "listen",
    "peer_listen",
    "peers",
    "data",
    "founding",
    "council",
    "peer_key",
    "worker_key",
    "operator",
    "log",
    "limits",
];

impl Settings {
    /// Parses a settings file.
    ///
    /// # Errors
    ///
    /// All errors in the file, with their positions.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        Document::read(file, text, |root| read_settings(root.allow_only(FIELDS)))
    }
}

fn read_settings(root: ObjectView<'_, '_>) -> Option<Settings> {
    let name = root.required("name").and_then(fields::name);
    let centre = root.required("centre").and_then(fields::name);
    let listen = root.required("listen").and_then(read_address);
    let peer_listen = root.required("peer_listen").and_then(read_address);
    let peers = root.list("peers").into_iter().filter_map(read_address).collect();
    let data = root.get("data").and_then(ValueView::text).map(str::to_owned);
    let founding = root.get("founding").and_then(ValueView::boolean).unwrap_or(false);
    let council = integer(root, "council", 1..=MAX_VOTERS).unwrap_or(DEFAULT_VOTERS);
    let peer_key = root.required("peer_key").and_then(read_key);
    let worker_key = root.required("worker_key").and_then(read_key);
    let operator = root.required("operator").and_then(read_operator);
    let log = read_log(root);
    let limits = read_limits(root);
    if founding && data.is_none() {
        root.report(
            "\"founding\" needs \"data\": the first voter stores the replicated log on disk",
        );
    }
    Some(Settings {
        name: name?.into(),
        centre: centre?.into(),
        listen: listen?,
        peer_listen: peer_listen?,
        peers,
        data,
        founding,
        council: u32::try_from(council).ok()?,
        peer_key: peer_key?.to_owned(),
        worker_key: worker_key?.to_owned(),
        operator: operator?,
        log: log?,
        limits,
    })
}

fn integer(
    object: ObjectView<'_, '_>,
    field: &str,
    bounds: std::ops::RangeInclusive<u64>,
) -> Option<u64> {
    object.get(field)?.integer(bounds)
}

fn read_address(value: ValueView<'_, '_>) -> Option<SocketAddr> {
    let text = value.text()?;
    let address = text.parse().ok();
    if address.is_none() {
        value.report(format!("\"{text}\" is not an IP address with a port, as in 10.0.0.1:7001"));
    }
    address
}

fn read_key<'d>(value: ValueView<'d, '_>) -> Option<&'d str> {
    let key = value.text()?;
    if key.len() >= MIN_KEY_BYTES {
        return Some(key);
    }
    value.report(format!("a key has at least {MIN_KEY_BYTES} bytes"));
    None
}

fn read_operator(value: ValueView<'_, '_>) -> Option<FirstOperator> {
    let object = value.object()?.allow_only(&["name", "credential"]);
    let name = object.required("name").and_then(fields::name);
    let credential = fields::credential(object);
    Some(FirstOperator { name: name?.into(), credential: credential? })
}

fn read_log(root: ObjectView<'_, '_>) -> Option<LogSettings> {
    let mut log = LogSettings { format: LogFormat::Json, level: LogLevel::Info };
    let Some(value) = root.get("log") else { return Some(log) };
    let object = value.object()?.allow_only(&["format", "level"]);
    if let Some(format) = object.get("format").and_then(|value| value.one_of(LogFormat::NAMES)) {
        log.format = LogFormat::from_name(format)?;
    }
    if let Some(level) = object.get("level").and_then(|value| value.one_of(LogLevel::NAMES)) {
        log.level = LogLevel::from_name(level)?;
    }
    Some(log)
}

fn read_limits(root: ObjectView<'_, '_>) -> LimitSettings {
    let object = root
        .get("limits")
        .and_then(ValueView::object)
        .map(|object| object.allow_only(&["body_kib", "connections", "drain_ms"]));
    let limit = |field: &str, default: u64, max: u64| {
        object.and_then(|object| integer(object, field, 1..=max)).unwrap_or(default)
    };
    let body = limit("body_kib", DEFAULT_BODY_KIB, MAX_BODY_KIB) * 1024;
    let connections = limit("connections", DEFAULT_CONNECTIONS, MAX_CONNECTIONS);
    let drain = limit("drain_ms", DEFAULT_DRAIN_MS, MAX_DRAIN_MS);
    LimitSettings {
        body: usize::try_from(body).unwrap_or(usize::MAX),
        connections: usize::try_from(connections).unwrap_or(usize::MAX),
        drain: Duration::from_millis(drain),
    }
}
