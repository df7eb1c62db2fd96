//! The log: records by slog, written by a thread of their own.

use hickorylink_lib::settings::{LogFormat, LogLevel, LogSettings};
use slog::{Drain, Level, Logger, o};
use slog_async::{Async, AsyncGuard};

/// Records that wait to be written; more are dropped and counted in the log.
const WAITING: usize = 4096;

/// The log as the settings want it; written to the standard error.
///
/// What waits to be written is written when the guard is dropped.
pub fn logger(settings: LogSettings, instance: &str) -> (Logger, AsyncGuard) {
    let level = match settings.level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let (drain, guard) = match settings.format {
        LogFormat::Json => queue(slog_json::Json::default(std::io::stderr()).fuse(), level),
        LogFormat::Terminal => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            queue(slog_term::FullFormat::new(decorator).build().fuse(), level)
        }
    };
    (Logger::root(drain, o!("instance" => instance.to_owned())), guard)
}

type Queue = slog::Fuse<Async>;

fn queue<D>(drain: D, level: Level) -> (Queue, AsyncGuard)
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let leveled = drain.filter_level(level).ignore_res();
    let (queue, guard) = Async::new(leveled).chan_size(WAITING).build_with_guard();
    (queue.fuse(), guard)
}
