//! Exhaustive exploration of all event sequences for one request up to a given length, checked
//! against the same invariants as the random scripts.

use crate::{
    harness::{CUSTOMERS, MEMBER, STORE, TestCustomer},
    invariants::{
        counted_once, drain_refuses, leaving_target_gets_nothing, not_run_requests_never_ran,
        one_outcome, own_answers, sent_at_most_once, settled_once,
    },
    script::{Op, Player, Verdict},
};

/// The number of events after the request.
const DEPTH: usize = 5;

/// The operations to choose from. An operation without effect ends its branch.
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
    not_run_requests_never_ran(player)?;
    sent_at_most_once(player)?;
    leaving_target_gets_nothing(player)?;
    own_answers(player)?;
    counted_once(player)?;
    settled_once(player)?;
    drain_refuses(player)
}

/// Explores all continuations; returns the number of complete sequences checked.
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

fn customer(wanted: &TestCustomer) -> u8 {
    let at = CUSTOMERS.iter().position(|customer| customer.name == wanted.name);
    at.and_then(|at| u8::try_from(at).ok()).expect("the policy has this customer")
}

#[test]
fn every_event_sequence_keeps_the_invariants() {
    struct Case {
        name: &'static str,
        customer: TestCustomer,
        idempotent: bool,
    }
    let cases = [
        Case { name: "idempotent", customer: STORE, idempotent: true },
        Case { name: "not idempotent", customer: STORE, idempotent: false },
        Case { name: "exact counts", customer: MEMBER, idempotent: true },
        Case { name: "not idempotent, exact counts", customer: MEMBER, idempotent: false },
    ];
    for case in cases {
        let mut player = Player::new();
        let timeout = 3_000;
        player.op(&Op::Ask {
            customer: customer(&case.customer),
            idempotent: case.idempotent,
            timeout,
        });
        let count = explore(&player, &mut Vec::new(), DEPTH);
        println!("{}: {count} sequences of {DEPTH} events", case.name);
        assert!(count > 1_000, "{}: {count}", case.name);
    }
}
