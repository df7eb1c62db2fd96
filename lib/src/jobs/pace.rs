//! How fast filling tasks work beside tasks that serve users.
//!
//! A worker has one pace for all that fills there. It is cut at once where a tail nears its
//! bound, and comes back in small steps while all tails are well below.

use std::time::Duration;

use crate::{
    jobs::fleet::{FULL_PACE, Worker},
    time::Time,
};

/// Above this part of its bound, in percent, a tail counts as too long.
const HIGH: u64 = 90;

/// Below this part of its bound, in percent, a tail leaves room for a faster pace.
const LOW: u64 = 70;

/// A pace below this one is a stop.
const LEAST: u8 = 10;

/// How much a pace rises at a time, in percent of full speed.
const RISE: u8 = 15;

/// How long a change of the pace takes to show: the worker follows within 100 ms, and its figures
/// are of the last half second.
const SETTLE: Duration = Duration::from_millis(700);

/// What the tails say about the pace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    /// A tail is too long.
    Slower,
    /// All tails leave room.
    Faster,
    /// Neither.
    Keep,
}

/// Sets the worker's pace from the tails that it reported last.
pub fn adjust(worker: &mut Worker, now: Time) {
    for view in worker.runs.values_mut() {
        let Some(target) = view.target else { continue };
        let over = view.listed && view.gauge > target;
        view.over = if over { view.over.or(Some(now)) } else { None };
    }
    if worker.wished == 0 || worker.serving == 0 {
        worker.pace = FULL_PACE;
        return;
    }
    if now.since(worker.paced) < SETTLE {
        return;
    }
    let pace = match verdict(worker) {
        Verdict::Slower if worker.pace <= LEAST => 0,
        Verdict::Slower => worker.pace / 2,
        Verdict::Faster => worker.pace.saturating_add(RISE).min(FULL_PACE),
        Verdict::Keep => return,
    };
    if pace != worker.pace {
        worker.pace = pace;
        worker.paced = now;
    }
}

fn verdict(worker: &Worker) -> Verdict {
    let tails = worker.runs.values().filter(|view| view.listed);
    let parts = tails.filter_map(|view| view.target.map(|target| view.gauge * 100 / target.max(1)));
    match parts.max() {
        Some(part) if part > HIGH => Verdict::Slower,
        Some(part) if part >= LOW => Verdict::Keep,
        Some(_) | None => Verdict::Faster,
    }
}
