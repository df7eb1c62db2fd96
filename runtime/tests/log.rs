//! The rate limit for repeated log lines.

use hickorylink_lib::time::Time;
use hickorylink_runtime::log::limit::{Limiter, MAX_LINES, MAX_MESSAGES, OTHER_MESSAGES};

const MILLI: u64 = 1_000_000;

fn at(ms: u64) -> Time {
    Time::from_nanos(ms * MILLI)
}

#[test]
fn repeated_lines_are_suppressed_and_counted() {
    /// A number of lines logged at one time.
    struct Step {
        ms: u64,
        message: &'static str,
        lines: u32,
        /// How many of the lines are written.
        written: u32,
        /// The suppressed lines that are reported for windows that have ended.
        expired: &'static [(&'static str, u64)],
    }
    struct Case {
        name: &'static str,
        steps: &'static [Step],
    }
    const STEP: Step =
        Step { ms: 0, message: "a", lines: MAX_LINES, written: MAX_LINES, expired: &[] };
    let cases = [
        Case { name: "no more lines than the limit", steps: &[STEP, Step { ms: 1000, ..STEP }] },
        Case {
            name: "further lines are counted and reported once",
            steps: &[
                Step { lines: MAX_LINES + 7, ..STEP },
                Step { ms: 999, lines: 1, written: 0, ..STEP },
                Step { ms: 1000, lines: 1, written: 1, expired: &[("a", 8)], ..STEP },
                Step { ms: 2000, lines: 1, written: 1, ..STEP },
            ],
        },
        Case {
            name: "another message is counted separately",
            steps: &[
                Step { lines: MAX_LINES + 1, ..STEP },
                Step { ms: 1, message: "b", ..STEP },
                Step { ms: 1000, message: "b", lines: 1, written: 0, expired: &[("a", 1)] },
                Step { ms: 1001, message: "b", lines: 1, written: 1, expired: &[("b", 1)] },
            ],
        },
        Case {
            name: "a line with another message reports the suppressed lines",
            steps: &[
                Step { lines: MAX_LINES + 2, ..STEP },
                Step { ms: 60_000, message: "b", lines: 1, written: 1, expired: &[("a", 2)] },
            ],
        },
    ];
    for case in cases {
        let mut limiter = Limiter::default();
        for step in case.steps {
            let place = format!("{} at {} ms", case.name, step.ms);
            let expired = limiter.take_expired(at(step.ms));
            let expired: Vec<_> = expired.iter().map(|l| (l.message.as_str(), l.lines)).collect();
            assert_eq!(expired, step.expired, "{place}");
            let admitted = (0..step.lines).filter(|_| limiter.admit(at(step.ms), step.message));
            assert_eq!(admitted.count() as u32, step.written, "{place}");
        }
    }
}

#[test]
fn messages_beyond_the_limit_share_one_count() {
    let mut limiter = Limiter::default();
    for number in 0..MAX_MESSAGES {
        assert!(limiter.admit(at(0), &format!("message {number}")));
    }
    let further = (0..1000).filter(|number| limiter.admit(at(0), &format!("further {number}")));
    assert_eq!(further.count() as u32, MAX_LINES);
    let expired = limiter.take_expired(at(1000));
    let expired: Vec<_> = expired.iter().map(|l| (l.message.as_str(), l.lines)).collect();
    assert_eq!(expired, [(OTHER_MESSAGES, u64::from(1000 - MAX_LINES))]);
}
