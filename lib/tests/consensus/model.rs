//! A model check: all orders in which a few things can happen to a small council, with the real
//! step function, against the safety properties of the agreement.

mod checks;
mod shared;
mod state;
mod step;

use std::collections::BTreeSet;

use pathfinding::prelude::bfs;

use state::{Budget, CHANNEL, State};

/// A council at the start of a search, and what may happen to it.
struct Case {
    name: &'static str,
    start: State,
    budget: Budget,
}

/// Searches all states and prints how many there are; panics with the shortest way to a violation.
fn search(case: Case) {
    let Case { name, mut start, budget } = case;
    start.budget = budget;
    let mut states = 0;
    let mut commits = BTreeSet::new();
    let successors = |state: &State| {
        states += 1;
        commits.insert(state.history.value.committed.len());
        state.successors()
    };
    if let Some(path) = bfs(&start, successors, |state| state.violation.is_some()) {
        let end = path.last().and_then(|state| state.violation.as_deref()).unwrap_or_default();
        let steps: Vec<_> = path.iter().map(|state| state.step.to_string()).collect();
        panic!("{name}: {end} after\n{}", steps.join("\n"));
    }
    println!("{name}: {states} states, commits {commits:?}, {budget:?}, {CHANNEL} in a channel");
}

const NONE: Budget =
    Budget { timers: 0, crashes: 0, proposals: 0, reads: 0, replacements: 0, compactions: 0 };

#[test]
fn a_term_has_one_leader_in_every_order() {
    search(Case {
        name: "elections",
        start: State::new(3, 0),
        budget: Budget { timers: 2, ..NONE },
    });
    search(Case {
        name: "two candidates, a crash",
        start: State::contested(),
        budget: Budget { crashes: 1, ..NONE },
    });
}

#[test]
fn committed_entries_stay_in_every_order() {
    search(Case {
        name: "replication",
        start: State::led(3, 0),
        budget: Budget { timers: 1, crashes: 1, ..NONE },
    });
    search(Case {
        name: "a proposal",
        start: State::led(3, 0),
        budget: Budget { timers: 1, proposals: 1, ..NONE },
    });
    search(Case {
        name: "snapshots",
        start: State::led(3, 0),
        budget: Budget { timers: 1, crashes: 1, compactions: 1, ..NONE },
    });
}

#[test]
fn reads_see_what_was_committed_in_every_order() {
    search(Case {
        name: "reads",
        start: State::led(3, 0),
        budget: Budget { timers: 1, reads: 1, ..NONE },
    });
}

#[test]
fn a_voter_is_replaced_in_every_order() {
    search(Case {
        name: "replacement",
        start: State::led(3, 1),
        budget: Budget { replacements: 1, crashes: 1, ..NONE },
    });
}

#[test]
#[ignore = "takes a minute in a release build; give --release --include-ignored"]
fn larger_councils_keep_their_promises_in_every_order() {
    search(Case {
        name: "replication and a proposal",
        start: State::led(3, 0),
        budget: Budget { timers: 1, crashes: 1, proposals: 1, ..NONE },
    });
    search(Case {
        name: "reads and a proposal",
        start: State::led(3, 0),
        budget: Budget { timers: 1, reads: 1, proposals: 1, ..NONE },
    });
    search(Case {
        name: "replacement and an election",
        start: State::led(3, 1),
        budget: Budget { timers: 1, replacements: 1, ..NONE },
    });
}
