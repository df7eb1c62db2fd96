//! Pauses of a process, and the requests that arrive during them.

use std::time::Duration;

use hickorylink_lib::{clients::Pauses, time::Time};

/// Guards against requests that count as new although they waited in a socket while the process was suspended,
/// and against new ones that count as old.
#[test]
fn a_request_read_after_a_pause_may_have_arrived_when_it_began() {
    struct Case {
        name: &'static str,
        /// When the process is known to run, in milliseconds.
        runs: &'static [u64],
        read: u64,
        want: u64,
    }
    let cases = [
        Case { name: "no pause", runs: &[500, 1000], read: 1200, want: 1200 },
        Case { name: "a short gap", runs: &[500], read: 1900, want: 1900 },
        Case { name: "read before anything else", runs: &[500, 1000], read: 6000, want: 1000 },
        Case { name: "read later", runs: &[500, 1000, 6000], read: 6200, want: 1000 },
        Case { name: "read much later", runs: &[500, 1000, 6000], read: 6300, want: 6300 },
        Case { name: "the second pause", runs: &[500, 4000, 4500], read: 9000, want: 4500 },
        Case { name: "a clock that was read before", runs: &[1000, 900], read: 2600, want: 1000 },
    ];
    for case in cases {
        let mut pauses = Pauses::new(Time::from_millis(0));
        case.runs.iter().for_each(|at| pauses.record(Time::from_millis(*at)));
        let arrival = pauses.arrival(Time::from_millis(case.read));
        assert_eq!(arrival, Time::from_millis(case.want), "{}", case.name);
        let later = Time::from_millis(case.read) + Duration::from_millis(250);
        assert_eq!(pauses.arrival(later), later, "{}: 250 ms later", case.name);
    }
}
