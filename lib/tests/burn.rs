//! Tests of burn rates: classification of requests, windows, merging of reports, and restarts.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use hickorylink_lib::{
    burn::{BurnTracker, Exhaustion, Pace, Report, Row, ServedRequest, Tally, Window},
    ids::InstanceId,
    policy::{Policy, Service},
    resources::Resources,
    router::port::{NotRun, RequestOutcome, Response},
    time::{Time, WallTime},
};
use quickcheck::{Gen, QuickCheck};

const LATENCY: Duration = Duration::from_millis(50);
const START: Time = Time::from_millis(1_000);
const ME: InstanceId = InstanceId(1);

fn policy() -> Policy {
    let mut policy = Policy::default();
    let service = Service {
        owner: "store".into(),
        size: Resources::default(),
        replicas: BTreeMap::new(),
        latency: LATENCY,
        good_ppm: 990_000,
    };
    policy.services.insert("folddesk".into(), service);
    policy
}

fn ran() -> RequestOutcome {
    RequestOutcome::Ran(Response { status: 200, body: Bytes::new() })
}

fn unknown() -> RequestOutcome {
    RequestOutcome::Unknown { reason: "lost".to_owned() }
}

fn not_run(reason: NotRun) -> RequestOutcome {
    RequestOutcome::NotRun { reason }
}

fn count(burn: &mut BurnTracker, now: Time, customer: &str, outcome: &RequestOutcome) {
    let served = ServedRequest {
        customer: &customer.into(),
        service: &"folddesk".into(),
        outcome,
        elapsed: Duration::ZERO,
        timeout: LATENCY,
        disconnected: false,
        long_lived: false,
    };
    burn.record(now, &policy(), served);
}

fn counts(report: &Report, customer: &str, window: Window) -> (u64, u64) {
    let row = row(report, customer);
    let Tally { good, bad } = row.map(|row| row.tally(window)).unwrap_or_default();
    (good, bad)
}

fn row<'r>(report: &'r Report, customer: &str) -> Option<&'r Row> {
    report.rows.iter().find(|(key, _)| key.customer.as_str() == customer).map(|(_, row)| row)
}

fn minutes(count: u64) -> Duration {
    Duration::from_secs(60 * count)
}

fn hours(count: u64) -> Duration {
    minutes(60 * count)
}

#[test]
fn outcomes_are_good_bad_or_neither() {
    struct Case {
        name: &'static str,
        outcome: RequestOutcome,
        elapsed: Duration,
        timeout: Duration,
        disconnected: bool,
        long_lived: bool,
        want: (u64, u64),
    }
    let case = |name, outcome, want| Case {
        name,
        outcome,
        elapsed: Duration::ZERO,
        timeout: LATENCY,
        disconnected: false,
        long_lived: false,
        want,
    };
    let late = LATENCY + Duration::from_nanos(1);
    let (good, bad, neither) = ((1, 0), (0, 1), (0, 0));
    let cases = [
        Case { elapsed: LATENCY, ..case("at the latency objective", ran(), good) },
        Case { elapsed: late, ..case("after the latency objective", ran(), bad) },
        case("ran earlier", RequestOutcome::RanEarlier { status: 200 }, good),
        case("unknown", unknown(), bad),
        case("not allowed", not_run(NotRun::NotAllowed), neither),
        case("another request's key", not_run(NotRun::KeyReused), neither),
        case("no key", not_run(NotRun::MissingKey), neither),
        case("in progress", not_run(NotRun::InProgress), neither),
        case("overloaded", not_run(NotRun::Overloaded), bad),
        case("no target", not_run(NotRun::NoTarget), bad),
        case("consensus group unavailable", not_run(NotRun::ConsensusUnavailable), bad),
        case("past its deadline", not_run(NotRun::Deadline), bad),
        Case {
            timeout: LATENCY / 2,
            ..case("a deadline before the latency objective", not_run(NotRun::Deadline), neither)
        },
        Case { disconnected: true, ..case("disconnected", not_run(NotRun::CallerGone), neither) },
        Case {
            disconnected: true,
            elapsed: late,
            ..case("disconnected after the latency objective", unknown(), bad)
        },
        Case {
            long_lived: true,
            elapsed: hours(9),
            ..case("a long-lived request that ended", ran(), good)
        },
        Case { long_lived: true, ..case("a long-lived request that was lost", unknown(), bad) },
        Case {
            long_lived: true,
            disconnected: true,
            elapsed: hours(9),
            ..case("a long-lived request that was closed", unknown(), neither)
        },
    ];
    for case in cases {
        let mut burn = BurnTracker::new(START);
        let served = ServedRequest {
            customer: &"store".into(),
            service: &"folddesk".into(),
            outcome: &case.outcome,
            elapsed: case.elapsed,
            timeout: case.timeout,
            disconnected: case.disconnected,
            long_lived: case.long_lived,
        };
        burn.record(START, &policy(), served);
        let report = burn.report(START, ME, &policy());
        assert_eq!(counts(&report, "store", Window::Hour), case.want, "{}", case.name);
    }
}

#[test]
fn requests_expire_at_the_end_of_each_window() {
    for window in Window::ALL {
        let mut burn = BurnTracker::new(START);
        count(&mut burn, START, "store", &unknown());
        let end = START + window.span();
        let before = START + (window.span() - Duration::from_nanos(1));
        let at = |now| counts(&burn.report(now, ME, &policy()), "store", *window);
        assert_eq!(at(before), (0, 1), "{window}");
        assert_eq!(at(end), (0, 0), "{window}");
    }
}

#[test]
fn pace_requires_a_high_rate_in_both_windows() {
    struct Case {
        name: &'static str,
        /// Batches of requests: how many minutes ago they came, and one in how many was bad.
        past: &'static [(u64, u64)],
        want: Pace,
    }
    let cases = [
        Case { name: "nothing", past: &[], want: Pace::Steady },
        Case { name: "one in a thousand", past: &[(0, 1_000), (50, 1_000)], want: Pace::Steady },
        Case { name: "one in two", past: &[(0, 2), (50, 2)], want: Pace::Fast },
        Case {
            name: "one in two, but not any more",
            past: &[(0, 1_000), (50, 2)],
            want: Pace::Slow,
        },
        Case { name: "one in fifty", past: &[(0, 50), (200, 50)], want: Pace::Slow },
        Case {
            name: "one in two, ten hours ago",
            past: &[(0, 1_000), (600, 2)],
            want: Pace::Steady,
        },
    ];
    for case in cases {
        let mut burn = BurnTracker::new(START);
        let now = START + minutes(1_000);
        for (ago, one_in) in case.past.iter().rev() {
            let at = START + minutes(1_000 - ago);
            for number in 0..1_000 {
                let outcome = if number % one_in == 0 { unknown() } else { ran() };
                count(&mut burn, at, "store", &outcome);
            }
        }
        let report = burn.report(now, ME, &policy());
        let pace = row(&report, "store").map_or(Pace::Steady, Row::pace);
        assert_eq!(pace, case.want, "{}", case.name);
    }
}

#[test]
fn budget_exhaustion_uses_the_rate_of_the_last_hour() {
    struct Case {
        name: &'static str,
        bad: u64,
        left: f64,
        want: Exhaustion,
    }
    let cases = [
        Case { name: "none bad", bad: 0, left: 1.0, want: Exhaustion::Never },
        Case { name: "half of the budget", bad: 5, left: 0.5, want: Exhaustion::In(hours(72)) },
        Case { name: "all of the budget", bad: 10, left: 0.0, want: Exhaustion::Exhausted },
    ];
    for case in cases {
        let mut burn = BurnTracker::new(START);
        let now = START + hours(72);
        for number in 0..1_000 {
            let outcome = if number < case.bad { unknown() } else { ran() };
            count(&mut burn, now, "store", &outcome);
        }
        let report = burn.report(now, ME, &policy());
        let row = row(&report, "store").expect("the customer has a row");
        assert!((report.budget_left(row) - case.left).abs() < 1e-9, "{}", case.name);
        assert_eq!(report.exhaustion(row), case.want, "{}", case.name);
    }
}

#[test]
fn report_lists_partial_and_missing_instances() {
    let burn = BurnTracker::new(START);
    let mut report = burn.report(START + hours(1), ME, &policy());
    let partial = |window| report.partial_sources(window).collect::<Vec<_>>();
    assert_eq!(partial(Window::Hour), []);
    assert_eq!(partial(Window::SixHours), [ME]);
    assert!((report.coverage(Window::SixHours) - 1.0 / 6.0).abs() < 1e-9);
    report.add_missing([ME, InstanceId(2)]);
    assert_eq!(report.missing.iter().copied().collect::<Vec<_>>(), [InstanceId(2)]);
}

#[test]
fn reports_of_several_instances_are_merged() {
    let report = |instance, good: u64, bad: u64| {
        let mut burn = BurnTracker::new(START);
        (0..good).for_each(|_| count(&mut burn, START, "store", &ran()));
        (0..bad).for_each(|_| count(&mut burn, START, "store", &unknown()));
        burn.report(START, InstanceId(instance), &policy())
    };
    let mut whole = report(1, 10, 1);
    whole.add_missing([InstanceId(2), InstanceId(3)]);
    assert!(whole.merge(&report(2, 20, 2)));
    assert!(!whole.merge(&report(2, 20, 2)), "an instance counts once");
    assert_eq!(counts(&whole, "store", Window::ThreeDays), (30, 3));
    assert_eq!(whole.missing.iter().copied().collect::<Vec<_>>(), [InstanceId(3)]);
}

#[test]
fn counts_survive_a_restart() {
    struct Case {
        name: &'static str,
        /// The monotonic clock of the new process at its start.
        clock: Time,
        /// The duration of the restart.
        gap: Duration,
        /// Whether the wall clock is set back by `gap` instead of advancing by it.
        back: bool,
        /// The good and bad requests of the last hour after the restart.
        hour: (u64, u64),
        /// The part of the last hour in which requests were counted.
        covered: Duration,
    }
    let cases = [
        Case {
            name: "the clock starts again",
            clock: Time::default(),
            gap: minutes(10),
            back: false,
            hour: (1, 0),
            covered: minutes(50),
        },
        Case {
            name: "the clock is ahead",
            clock: START + hours(500),
            gap: minutes(10),
            back: false,
            hour: (1, 0),
            covered: minutes(50),
        },
        Case {
            name: "a long outage",
            clock: START,
            gap: hours(2),
            back: false,
            hour: (0, 0),
            covered: Duration::ZERO,
        },
        Case {
            name: "the wall clock was set back",
            clock: START,
            gap: hours(2),
            back: true,
            hour: (1, 0),
            covered: hours(1),
        },
    ];
    for case in cases {
        let mut burn = BurnTracker::new(START);
        let now = START + hours(2);
        count(&mut burn, now, "store", &ran());
        let wall = WallTime(hours(100).as_millis() as u64);
        let snapshot = burn.snapshot(now, wall);
        let gap = case.gap.as_millis() as u64;
        let wall = WallTime(if case.back { wall.0 - gap } else { wall.0 + gap });
        let burn = BurnTracker::restore(case.clock, wall, snapshot);
        let report = burn.report(case.clock, ME, &policy());
        assert_eq!(counts(&report, "store", Window::Hour), case.hour, "{}", case.name);
        let covered = report.sources[&ME].covered[usize::from(Window::Hour)];
        assert_eq!(covered, case.covered, "{}", case.name);
    }
}

#[test]
fn number_of_rows_is_limited() {
    let mut burn = BurnTracker::new(START);
    for customer in 0..10_100 {
        count(&mut burn, START, &format!("customer-{customer}"), &ran());
    }
    let report = burn.report(START, ME, &policy());
    assert_eq!((report.rows.len(), report.untracked()), (10_000, 100));
    burn.snapshot(START + hours(100), WallTime(0));
    count(&mut burn, START + hours(100), "late", &ran());
    let report = burn.report(START + hours(100), ME, &policy());
    assert_eq!(report.rows.len(), 1, "expired rows are dropped");
}

/// For any distribution of requests over time, the tallies equal direct counts.
fn tallies_match_the_model(requests: Vec<(u16, bool)>) -> bool {
    let mut burn = BurnTracker::new(START);
    let mut now = START;
    let mut all = Vec::new();
    for (seconds, good) in requests {
        now = now + Duration::from_secs(u64::from(seconds) % 3_000);
        count(&mut burn, now, "store", &if good { ran() } else { unknown() });
        all.push((now, good));
    }
    now = now + Duration::from_secs(123);
    let report = burn.report(now, ME, &policy());
    Window::ALL.iter().all(|window| {
        let bucket = (window.span() / 60).as_nanos() as u64;
        let number = |at: Time| at.since(START).as_nanos() as u64 / bucket;
        let held = |wanted: bool| {
            let counts = |at: Time, good| good == wanted && number(at) + 60 > number(now);
            all.iter().filter(|(at, good)| counts(*at, *good)).count() as u64
        };
        counts(&report, "store", *window) == (held(true), held(false))
    })
}

#[test]
fn tallies_equal_direct_counts() {
    let seed = 41;
    let result = QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, seed))
        .quicktest(tallies_match_the_model as fn(Vec<(u16, bool)>) -> bool);
    assert!(result.is_ok(), "seed {seed}: {result:?}");
}
