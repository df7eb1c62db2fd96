//! The log: records by slog, written by a thread of their own.

use std::{
    cell::RefCell,
    fmt, io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use hickorylink_lib::settings::{LogFormat, LogLevel, LogSettings};
use slog::{Drain, Level, Logger, OwnedKVList, Record, b, o, record};
use slog_async::{Async, AsyncGuard};

use crate::{clock::Clock, log::limit::Limiter};

pub mod limit;

/// Records that wait to be written; more are dropped and counted in the log.
const QUEUE_CAPACITY: usize = 4096;

/// The log of an instance.
pub struct Log {
    /// What the parts log to.
    pub root: Logger,
    /// Which records are written.
    pub level: LevelSwitch,
    /// Writes what waits when it is dropped.
    pub guard: AsyncGuard,
}

impl fmt::Debug for Log {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Log").field("level", &self.level).finish_non_exhaustive()
    }
}

/// The least severe level that is written; clones share it.
#[derive(Clone, Debug)]
pub struct LevelSwitch {
    level: Arc<AtomicUsize>,
}

impl LevelSwitch {
    /// A switch that stands at `level`.
    pub fn new(level: LogLevel) -> Self {
        Self { level: Arc::new(AtomicUsize::new(slog_level(level).as_usize())) }
    }

    /// Writes from now on what is at least as severe as `level`.
    pub fn set(&self, level: LogLevel) {
        self.level.store(slog_level(level).as_usize(), Ordering::Relaxed);
    }

    fn enables(&self, level: Level) -> bool {
        level.as_usize() <= self.level.load(Ordering::Relaxed)
    }
}

fn slog_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}

/// The log as the settings want it; written to the standard output.
pub fn start(settings: LogSettings, instance: &str, clock: Clock) -> Log {
    let level = LevelSwitch::new(settings.level);
    let (queue, guard) = match settings.format {
        LogFormat::Json => async_drain(slog_json::Json::default(io::stdout()).fuse(), clock),
        LogFormat::Terminal => {
            let decorator = slog_term::PlainDecorator::new(io::stdout());
            async_drain(slog_term::FullFormat::new(decorator).build().fuse(), clock)
        }
    };
    let switch = level.clone();
    let drain = queue.filter(move |record| switch.enables(record.level())).fuse();
    Log { root: Logger::root(drain, o!("instance" => instance.to_owned())), level, guard }
}

fn async_drain<D>(drain: D, clock: Clock) -> (Async, AsyncGuard)
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let limited = RateLimited { drain, limiter: RefCell::default(), clock };
    Async::new(limited).chan_size(QUEUE_CAPACITY).build_with_guard()
}

/// Limits repeated lines; it belongs to the thread that writes the log.
///
/// Records for debugging aren't limited: who asks for them wants to follow each request.
struct RateLimited<D> {
    drain: D,
    limiter: RefCell<Limiter>,
    clock: Clock,
}

impl<D: Drain<Err = slog::Never, Ok = ()>> Drain for RateLimited<D> {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        let now = self.clock.now();
        let mut limiter = self.limiter.borrow_mut();
        for suppressed in limiter.take_expired(now) {
            let text = format_args!("repeated lines were left out");
            let pairs = b!("message" => suppressed.message, "lines" => suppressed.lines);
            self.drain.log(&record!(Level::Warning, "", &text, pairs), values)?;
        }
        let limited = record.level().is_at_least(Level::Info);
        if limited && !limiter.admit(now, &record.msg().to_string()) {
            return Ok(());
        }
        self.drain.log(record, values)
    }
}
