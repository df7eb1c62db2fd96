//! The experiment with placement strategies: properties that make its results comparable.

use hickorylink_standin::experiment::{Setup, User, run, strategy::Strategy};

const SETUP: Setup = Setup { user: User::Kowhai, workers: 12, seconds: 240, warmup: 30 };
const SEED: u64 = 3;

#[test]
fn runs_with_the_same_seed_give_the_same_result() {
    struct Case {
        strategy: Strategy,
        /// Whether batch tasks complete.
        runs_tasks: bool,
        /// Whether the outcome counts samples that the policy processed.
        uses_samples: bool,
    }
    let cases = [
        Case { strategy: Strategy::LeastLoaded, runs_tasks: true, uses_samples: false },
        Case { strategy: Strategy::FirstFitEvicting, runs_tasks: true, uses_samples: false },
        Case { strategy: Strategy::Avoiding, runs_tasks: true, uses_samples: true },
        Case { strategy: Strategy::Hickorylink, runs_tasks: true, uses_samples: true },
        Case { strategy: Strategy::Scheduler, runs_tasks: true, uses_samples: false },
        Case { strategy: Strategy::Idle, runs_tasks: false, uses_samples: false },
    ];
    for Case { strategy, runs_tasks, uses_samples } in cases {
        let (first, second) = (run(&SETUP, strategy, SEED), run(&SETUP, strategy, SEED));
        let summaries = (first.summary(), second.summary());
        assert_eq!(format!("{:?}", summaries.0), format!("{:?}", summaries.1), "{strategy:?}");
        assert_eq!(first.done > 0, runs_tasks, "{strategy:?}: {:?}", summaries.0);
        assert_eq!(first.counters.counted > 0, uses_samples, "{strategy:?}: {:?}", first.counters);
    }
}

#[test]
fn all_strategies_receive_the_same_requests() {
    let requests = |strategy| run(&SETUP, strategy, SEED).latencies.len();
    let expected = requests(Strategy::Idle);
    for strategy in [Strategy::LeastLoaded, Strategy::Hickorylink, Strategy::Scheduler] {
        assert_eq!(requests(strategy), expected, "{strategy:?}");
    }
}

#[test]
fn samples_are_delayed_duplicated_and_lost() {
    let counters = run(&SETUP, Strategy::Hickorylink, SEED).counters;
    let taken = 2 * SETUP.workers as u64 * SETUP.seconds;
    assert!(counters.duplicate > 0, "{counters:?}");
    assert_eq!(counters.overflow, 0, "{counters:?}");
    assert!(counters.counted < taken, "some samples are lost: {counters:?} of {taken}");
    assert!(counters.counted > taken * 9 / 10, "most samples arrive: {counters:?} of {taken}");
}
