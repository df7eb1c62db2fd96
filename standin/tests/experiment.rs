//! The experiment with the interference policy: what makes its figures comparable.

use hickorylink_standin::experiment::{Setup, User, run, strategy::Strategy};

const SETUP: Setup = Setup { user: User::Kowhai, workers: 12, seconds: 240, warmup: 30 };
const SEED: u64 = 3;

#[test]
fn equal_seeds_give_equal_figures() {
    struct Case {
        strategy: Strategy,
        /// Whether batch tasks get done at all.
        works: bool,
        /// Whether the policy learns from samples.
        learns: bool,
    }
    let cases = [
        Case { strategy: Strategy::LeastLoaded, works: true, learns: false },
        Case { strategy: Strategy::FirstFitEvicting, works: true, learns: false },
        Case { strategy: Strategy::Avoiding, works: true, learns: true },
        Case { strategy: Strategy::Hickorylink, works: true, learns: true },
        Case { strategy: Strategy::Scheduler, works: true, learns: false },
        Case { strategy: Strategy::Idle, works: false, learns: false },
    ];
    for Case { strategy, works, learns } in cases {
        let (first, second) = (run(&SETUP, strategy, SEED), run(&SETUP, strategy, SEED));
        let figures = (first.figures(), second.figures());
        assert_eq!(format!("{:?}", figures.0), format!("{:?}", figures.1), "{strategy:?}");
        assert_eq!(first.done > 0, works, "{strategy:?}: {:?}", figures.0);
        assert_eq!(first.counters.counted > 0, learns, "{strategy:?}: {:?}", first.counters);
    }
}

#[test]
fn every_strategy_gets_the_same_requests() {
    let requests = |strategy| run(&SETUP, strategy, SEED).latencies.len();
    let want = requests(Strategy::Idle);
    for strategy in [Strategy::LeastLoaded, Strategy::Hickorylink, Strategy::Scheduler] {
        assert_eq!(requests(strategy), want, "{strategy:?}");
    }
}

#[test]
fn samples_arrive_late_twice_and_never() {
    let counters = run(&SETUP, Strategy::Hickorylink, SEED).counters;
    let taken = 2 * SETUP.workers as u64 * SETUP.seconds;
    assert!(counters.duplicate > 0, "{counters:?}");
    assert_eq!(counters.overflow, 0, "{counters:?}");
    assert!(counters.counted < taken, "some are lost: {counters:?} of {taken}");
    assert!(counters.counted > taken * 9 / 10, "few are: {counters:?} of {taken}");
}
