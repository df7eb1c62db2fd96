//! Transitions of the state chart of a batch task.

use hickorylink_lib::{
    chart::{Chart, Vocabulary},
    interference::control::{ControlAction, Guard, State, Verdict},
};

#[test]
fn the_chart_escalates_step_by_step() {
    struct Case {
        name: &'static str,
        from: State,
        on: Verdict,
        holds: &'static [Guard],
        to: State,
        does: &'static [ControlAction],
    }
    use ControlAction::*;
    use Guard::*;
    let cases = [
        Case {
            name: "the first blame causes no action",
            from: State::Calm,
            on: Verdict::Blamed,
            holds: &[
                FreshSample,
                MayAct,
                ReachesFloor,
                HeldAtFloor,
                Confident,
                BetterElsewhere,
                Movable,
            ],
            to: State::Watching,
            does: &[MarkTime],
        },
        Case {
            name: "continued blame causes a throttle",
            from: State::Watching,
            on: Verdict::Blamed,
            holds: &[FreshSample, MayAct],
            to: State::Throttled,
            does: &[StepDown, MarkTime],
        },
        Case {
            name: "no throttle without a fresh sample",
            from: State::Watching,
            on: Verdict::Blamed,
            holds: &[MayAct],
            to: State::Watching,
            does: &[],
        },
        Case {
            name: "no throttle if another task was acted on",
            from: State::Throttled,
            on: Verdict::Blamed,
            holds: &[FreshSample],
            to: State::Throttled,
            does: &[],
        },
        Case {
            name: "the last step down reaches the floor",
            from: State::Throttled,
            on: Verdict::Blamed,
            holds: &[
                FreshSample,
                MayAct,
                ReachesFloor,
                HeldAtFloor,
                Confident,
                BetterElsewhere,
                Movable,
            ],
            to: State::Floor,
            does: &[StepDown, MarkTime],
        },
        Case {
            name: "a move needs a confident estimate",
            from: State::Floor,
            on: Verdict::Blamed,
            holds: &[FreshSample, MayAct, HeldAtFloor, BetterElsewhere, Movable],
            to: State::Floor,
            does: &[],
        },
        Case {
            name: "a move needs an eviction left",
            from: State::Floor,
            on: Verdict::Blamed,
            holds: &[FreshSample, MayAct, HeldAtFloor, Confident, BetterElsewhere],
            to: State::Floor,
            does: &[],
        },
        Case {
            name: "a move needs enough time at the floor",
            from: State::Floor,
            on: Verdict::Blamed,
            holds: &[FreshSample, MayAct, Confident, BetterElsewhere, Movable],
            to: State::Floor,
            does: &[],
        },
        Case {
            name: "a move needs a better worker",
            from: State::Floor,
            on: Verdict::Blamed,
            holds: &[FreshSample, MayAct, HeldAtFloor, Confident, Movable],
            to: State::Floor,
            does: &[],
        },
        Case {
            name: "all conditions of a move hold",
            from: State::Floor,
            on: Verdict::Blamed,
            holds: &[FreshSample, MayAct, HeldAtFloor, Confident, BetterElsewhere, Movable],
            to: State::Moving,
            does: &[RequestMove, MarkTime],
        },
        Case {
            name: "a move is requested once",
            from: State::Moving,
            on: Verdict::Blamed,
            holds: &[FreshSample, MayAct, HeldAtFloor, Confident, BetterElsewhere, Movable],
            to: State::Moving,
            does: &[],
        },
        Case {
            name: "slack allows a step up",
            from: State::Floor,
            on: Verdict::Cleared,
            holds: &[Safe, MayAct],
            to: State::Throttled,
            does: &[StepUp, MarkTime],
        },
        Case {
            name: "the last step up starts the cool-down",
            from: State::Throttled,
            on: Verdict::Cleared,
            holds: &[Safe, MayAct, LiftsThrottle],
            to: State::Cooling,
            does: &[StepUp, MarkTime],
        },
        Case {
            name: "no step up that would degrade a service",
            from: State::Throttled,
            on: Verdict::Cleared,
            holds: &[MayAct, LiftsThrottle],
            to: State::Throttled,
            does: &[],
        },
        Case {
            name: "harm after a step up lengthens the next hold",
            from: State::Throttled,
            on: Verdict::Blamed,
            holds: &[MayAct, SteppedUp],
            to: State::Throttled,
            does: &[LengthenHold, StepDown, MarkTime],
        },
        Case {
            name: "harm after the throttle was lifted lengthens the next hold",
            from: State::Cooling,
            on: Verdict::Blamed,
            holds: &[MayAct],
            to: State::Throttled,
            does: &[LengthenHold, StepDown, MarkTime],
        },
    ];
    let vocabulary = Vocabulary {
        states: (State::ALL, State::NAMES),
        events: (Verdict::ALL, Verdict::NAMES),
        guards: (Guard::ALL, Guard::NAMES),
        actions: (ControlAction::ALL, ControlAction::NAMES),
    };
    let text = include_str!("../../../charts/interference.jsonc");
    let chart = Chart::parse("interference.jsonc", text, &vocabulary).expect("the chart is valid");
    assert_eq!(chart.initial(), State::Calm);
    for case in cases {
        let step = chart.step(case.from, case.on, |guard| case.holds.contains(&guard));
        let step = step.expect(case.name);
        assert_eq!((step.to, step.actions), (case.to, case.does), "{}", case.name);
    }
}
