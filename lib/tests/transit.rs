//! How long heartbeats were in transit.

use std::time::Duration;

use hickorylink_lib::{
    time::Time,
    transit::{Arrival, Transit},
};

/// Guards against heartbeats that count although their worker may be gone.
#[test]
fn a_heartbeat_is_late_if_its_worker_no_longer_waits() {
    /// The heartbeats are pairs of when they were sent and how long they took, in milliseconds; the
    /// worker's clock is behind by `drift` percent.
    struct Case {
        name: &'static str,
        heartbeats: &'static [(u64, u64)],
        drift: u64,
        want: &'static [Arrival],
    }
    use Arrival::{Late, Timely, Unconfirmed};
    let cases = [
        Case {
            name: "timely",
            heartbeats: &[(0, 5), (900, 100), (1800, 5), (2700, 700)],
            drift: 0,
            want: &[Unconfirmed, Timely, Timely, Timely],
        },
        Case {
            name: "held up",
            heartbeats: &[(0, 5), (900, 5), (1800, 6000), (8000, 5)],
            drift: 0,
            want: &[Unconfirmed, Timely, Late, Timely],
        },
        Case {
            name: "a first one that was slow",
            heartbeats: &[(0, 900), (1000, 5), (1050, 5), (2000, 1500)],
            drift: 0,
            want: &[Unconfirmed, Unconfirmed, Timely, Late],
        },
        Case {
            name: "silent for long, with a slow clock",
            heartbeats: &[(0, 5), (50, 5), (100_000, 900), (101_000, 5), (102_000, 4000)],
            drift: 2,
            want: &[Unconfirmed, Timely, Timely, Timely, Late],
        },
        Case {
            name: "several held up by the same partition",
            heartbeats: &[(0, 5), (50, 5), (1000, 7000), (2000, 6000), (3000, 6000)],
            drift: 0,
            want: &[Unconfirmed, Timely, Late, Late, Late],
        },
        Case {
            name: "the first ones to a new leader, held up by a partition",
            heartbeats: &[(0, 7000), (1000, 6500), (2000, 5000)],
            drift: 0,
            want: &[Unconfirmed; 3],
        },
        Case {
            name: "delays that vary",
            heartbeats: &[(0, 5), (50, 700), (800, 5), (850, 900), (1800, 200), (2100, 5)],
            drift: 0,
            want: &[Unconfirmed, Unconfirmed, Unconfirmed, Unconfirmed, Timely, Timely],
        },
        Case {
            name: "overtaken by later ones",
            heartbeats: &[(0, 5), (900, 5), (7990, 5), (1000, 7000)],
            drift: 0,
            want: &[Unconfirmed, Timely, Timely, Late],
        },
        Case {
            name: "the first one to a new leader, overtaken by a later one that was held up",
            heartbeats: &[(2000, 5000), (0, 7100), (7200, 5)],
            drift: 0,
            want: &[Unconfirmed; 3],
        },
        Case {
            name: "a clock that was set back",
            heartbeats: &[
                (10_000, 5),
                (10_900, 5),
                (0, 12_000),
                (900, 12_000),
                (1800, 12_000),
                (2700, 12_000),
            ],
            drift: 0,
            want: &[Unconfirmed, Timely, Late, Late, Late, Timely],
        },
        Case {
            name: "a clock that stopped while the machine was suspended",
            heartbeats: &[
                (0, 5),
                (50, 5),
                (1000, 5000),
                (2500, 5000),
                (4000, 5000),
                (5500, 5000),
                (6000, 5000),
            ],
            drift: 0,
            want: &[Unconfirmed, Timely, Late, Late, Late, Timely, Timely],
        },
    ];
    for case in cases {
        let mut transit: Option<Transit> = None;
        let arrivals: Vec<Arrival> = case
            .heartbeats
            .iter()
            .map(|(sent, took)| {
                let now = Time::from_millis(sent + took);
                let clock = Duration::from_millis(sent * (100 - case.drift) / 100);
                match &mut transit {
                    Some(transit) => transit.arrive(now, clock),
                    None => {
                        transit = Some(Transit::new(now, clock));
                        Unconfirmed
                    }
                }
            })
            .collect();
        assert_eq!(arrivals, case.want, "{}", case.name);
    }
}
