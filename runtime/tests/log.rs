//! The log: what is left out of it.

use hickorylink_lib::time::Time;
use hickorylink_runtime::log::limit::{Limiter, MAX_LINES, MAX_MESSAGES, OTHER_MESSAGES};

const MILLI: u64 = 1_000_000;

fn at(ms: u64) -> Time {
    Time::from_nanos(ms * MILLI)
}

#[test]
fn repeated_lines_are_counted_instead_of_written() {
    /// So many lines at a moment, and what is written of them.
    struct Step {
        ms: u64,
        message: &'static str,
        lines: u32,
        written: u32,
        /// What is said of spans that ended before.
        ended: &'static [(&'static str, u64)],
    }
    struct Case {
        name: &'static str,
        steps: &'static [Step],
    }
    const STEP: Step =
        Step { ms: 0, message: "a", lines: MAX_LINES, written: MAX_LINES, ended: &[] };
    let cases = [
        Case { name: "as many as are written", steps: &[STEP, Step { ms: 1000, ..STEP }] },
        Case {
            name: "more are counted, and told once",
            steps: &[
                Step { lines: MAX_LINES + 7, ..STEP },
                Step { ms: 999, lines: 1, written: 0, ..STEP },
                Step { ms: 1000, lines: 1, written: 1, ended: &[("a", 8)], ..STEP },
                Step { ms: 2000, lines: 1, written: 1, ..STEP },
            ],
        },
        Case {
            name: "another message has its own count",
            steps: &[
                Step { lines: MAX_LINES + 1, ..STEP },
                Step { ms: 1, message: "b", ..STEP },
                Step { ms: 1000, message: "b", lines: 1, written: 0, ended: &[("a", 1)] },
                Step { ms: 1001, message: "b", lines: 1, written: 1, ended: &[("b", 1)] },
            ],
        },
        Case {
            name: "a line of another message tells what was left out",
            steps: &[
                Step { lines: MAX_LINES + 2, ..STEP },
                Step { ms: 60_000, message: "b", lines: 1, written: 1, ended: &[("a", 2)] },
            ],
        },
    ];
    for case in cases {
        let mut limiter = Limiter::default();
        for step in case.steps {
            let place = format!("{} at {} ms", case.name, step.ms);
            let ended = limiter.take_expired(at(step.ms));
            let ended: Vec<_> = ended.iter().map(|l| (l.message.as_str(), l.lines)).collect();
            assert_eq!(ended, step.ended, "{place}");
            let admitted = (0..step.lines).filter(|_| limiter.admit(at(step.ms), step.message));
            assert_eq!(admitted.count() as u32, step.written, "{place}");
        }
    }
}

#[test]
fn too_many_messages_are_counted_together() {
    let mut limiter = Limiter::default();
    for number in 0..MAX_MESSAGES {
        assert!(limiter.admit(at(0), &format!("message {number}")));
    }
    let further = (0..1000).filter(|number| limiter.admit(at(0), &format!("further {number}")));
    assert_eq!(further.count() as u32, MAX_LINES);
    let ended = limiter.take_expired(at(1000));
    let ended: Vec<_> = ended.iter().map(|l| (l.message.as_str(), l.lines)).collect();
    assert_eq!(ended, [(OTHER_MESSAGES, u64::from(1000 - MAX_LINES))]);
}
