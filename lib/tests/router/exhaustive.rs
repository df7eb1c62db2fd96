//! Every order of the events that can happen to one request, up to a depth, against the same
//! specification as the random scripts.

use crate::{
    promises::{
        counted_once, drain_refuses, leaves_once, leaving_is_left_alone, not_run_is_true,
        one_outcome, own_answers, settled_once,
    },
    script::{Op, Player, Verdict},
    world::{BUYERS, Buyer, MEMBER, STORE},
};

/// Events after the request came in.
const DEPTH: usize = 5;

/// What may happen next. An operation that finds nothing to act on ends its branch.
const ALPHABET: [Op; 13] = [
    Op::Claim { pick: 0, answer: 1 },
    Op::Claim { pick: 0, answer: 3 },
    Op::Claim { pick: 0, answer: 4 },
    Op::Record { pick: 0 },
    Op::End { pick: 0, end: 0 },
    Op::End { pick: 0, end: 2 },
    Op::End { pick: 0, end: 5 },
    Op::Repeat { pick: 0 },
    Op::CallerGone { pick: 0 },
    Op::Announce { target: 0, leaving: true },
    Op::Drain,
    Op::Pass { millis: 50 },
    Op::Pass { millis: 3_100 },
];

fn specification(player: &Player) -> Verdict {
    one_outcome(player)?;
    not_run_is_true(player)?;
    leaves_once(player)?;
    leaving_is_left_alone(player)?;
    own_answers(player)?;
    counted_once(player)?;
    settled_once(player)?;
    drain_refuses(player)
}

/// Tries everything from here; returns how many orders were checked to their end.
fn explore(player: &Player, path: &mut Vec<Op>, depth: usize) -> usize {
    if depth == 0 {
        let mut ended = player.clone();
        ended.finish();
        let verdict = specification(&ended);
        assert!(verdict.is_ok(), "{verdict:?} after {path:?}");
        return 1;
    }
    let mut count = 0;
    for op in &ALPHABET {
        let mut next = player.clone();
        next.op(op);
        let waits = matches!(op, Op::Pass { .. });
        if !waits && next.trace.len() == player.trace.len() {
            continue;
        }
        path.push(op.clone());
        count += explore(&next, path, depth - 1);
        path.pop();
    }
    count
}

fn buyer(wanted: &Buyer) -> u8 {
    let at = BUYERS.iter().position(|buyer| buyer.name == wanted.name);
    at.and_then(|at| u8::try_from(at).ok()).expect("the policy has this customer")
}

#[test]
fn every_order_of_events_keeps_the_promises() {
    struct Case {
        name: &'static str,
        buyer: Buyer,
        idempotent: bool,
    }
    let cases = [
        Case { name: "idempotent", buyer: STORE, idempotent: true },
        Case { name: "not idempotent", buyer: STORE, idempotent: false },
        Case { name: "exact counts", buyer: MEMBER, idempotent: true },
        Case { name: "not idempotent, exact counts", buyer: MEMBER, idempotent: false },
    ];
    for case in cases {
        let mut player = Player::new();
        let patience = 3_000;
        player.op(&Op::Ask { buyer: buyer(&case.buyer), idempotent: case.idempotent, patience });
        let count = explore(&player, &mut Vec::new(), DEPTH);
        println!("{}: {count} orders of {DEPTH} events", case.name);
        assert!(count > 1_000, "{}: {count}", case.name);
    }
}
