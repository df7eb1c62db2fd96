//! What the state chart of a batch task says.

use hickorylink_lib::{
    chart::{Chart, Vocabulary},
    interference::control::{ControlAction, Guard, State, Verdict},
};

#[test]
fn the_chart_goes_from_mild_to_hard() {
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
            name: "a first blame is only watched",
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
            name: "a blame that holds throttles",
            from: State::Watching,
            on: Verdict::Blamed,
            holds: &[FreshSample, MayAct],
            to: State::Throttled,
            does: &[StepDown, MarkTime],
        },
        Case {
            name: "no throttle without fresh evidence",
            from: State::Watching,
            on: Verdict::Blamed,
            holds: &[MayAct],
            to: State::Watching,
            does: &[],
        },
        Case {
            name: "no throttle when another task was acted on",
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
            name: "a move needs certainty",
            from: State::Floor,
            on: Verdict::Blamed,
            holds: &[FreshSample, MayAct, HeldAtFloor, BetterElsewhere, Movable],
            to: State::Floor,
            does: &[],
        },
        Case {
            name: "a move needs an eviction to spend",
            from: State::Floor,
            on: Verdict::Blamed,
            holds: &[FreshSample, MayAct, HeldAtFloor, Confident, BetterElsewhere],
            to: State::Floor,
            does: &[],
        },
        Case {
            name: "a move needs the floor to have failed",
            from: State::Floor,
            on: Verdict::Blamed,
            holds: &[FreshSample, MayAct, Confident, BetterElsewhere, Movable],
            to: State::Floor,
            does: &[],
        },
        Case {
            name: "a move needs a better place",
            from: State::Floor,
            on: Verdict::Blamed,
            holds: &[FreshSample, MayAct, HeldAtFloor, Confident, Movable],
            to: State::Floor,
            does: &[],
        },
        Case {
            name: "a move as the last resort",
            from: State::Floor,
            on: Verdict::Blamed,
            holds: &[FreshSample, MayAct, HeldAtFloor, Confident, BetterElsewhere, Movable],
            to: State::Moving,
            does: &[RequestMove, MarkTime],
        },
        Case {
            name: "a move is asked for once",
            from: State::Moving,
            on: Verdict::Blamed,
            holds: &[FreshSample, MayAct, HeldAtFloor, Confident, BetterElsewhere, Movable],
            to: State::Moving,
            does: &[],
        },
        Case {
            name: "slack gives a step back",
            from: State::Floor,
            on: Verdict::Cleared,
            holds: &[Safe, MayAct],
            to: State::Throttled,
            does: &[StepUp, MarkTime],
        },
        Case {
            name: "the last step back cools",
            from: State::Throttled,
            on: Verdict::Cleared,
            holds: &[Safe, MayAct, LiftsThrottle],
            to: State::Cooling,
            does: &[StepUp, MarkTime],
        },
        Case {
            name: "nothing is given back that would degraded",
            from: State::Throttled,
            on: Verdict::Cleared,
            holds: &[MayAct, LiftsThrottle],
            to: State::Throttled,
            does: &[],
        },
        Case {
            name: "harm that returns after a step up makes the next hold longer",
            from: State::Throttled,
            on: Verdict::Blamed,
            holds: &[MayAct, SteppedUp],
            to: State::Throttled,
            does: &[LengthenHold, StepDown, MarkTime],
        },
        Case {
            name: "harm that returns after the throttle was lifted makes the next hold longer",
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
    let chart = Chart::parse("interference.jsonc", text, &vocabulary).expect("the chart is whole");
    assert_eq!(chart.initial(), State::Calm);
    for case in cases {
        let step = chart.step(case.from, case.on, |guard| case.holds.contains(&guard));
        let step = step.expect(case.name);
        assert_eq!((step.to, step.actions), (case.to, case.does), "{}", case.name);
    }
}
