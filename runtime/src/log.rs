//! Logging with slog; a separate thread writes the records.

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

/// The maximum number of records that wait to be written. Further ones are dropped, and the log
/// reports how many.
const QUEUE_CAPACITY: usize = 4096;

/// The logging of an instance.
pub struct Log {
    /// The root logger.
    pub root: Logger,
    /// The level, which can be changed at run time.
    pub level: LevelSwitch,
    /// Flushes the waiting records when dropped.
    pub guard: AsyncGuard,
}

impl fmt::Debug for Log {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Log").field("level", &self.level).finish_non_exhaustive()
    }
}

/// The least severe level that is written. Clones share the same level.
#[derive(Clone, Debug)]
pub struct LevelSwitch {
    level: Arc<AtomicUsize>,
}

impl LevelSwitch {
    /// Creates a switch set to `level`.
    pub fn new(level: LogLevel) -> Self {
        Self { level: Arc::new(AtomicUsize::new(slog_level(level).as_usize())) }
    }

    /// Sets the least severe level that is written from now on.
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

/// Starts logging to standard output in the configured format.
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

/// Limits repeated lines; runs in the thread that writes the log.
///
/// Debug records aren't limited, since they serve to follow individual requests.
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
