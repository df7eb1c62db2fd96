//! A model check of the safety properties: all interleavings of a few events in a small group, with
//! the real state machine.

mod checks;
mod shared;
mod state;
mod step;

use std::collections::BTreeSet;

use pathfinding::prelude::bfs;

use state::{Budget, CHANNEL_CAPACITY, State};

/// The initial state of a search and the budget of its events.
struct Case {
    name: &'static str,
    start: State,
    budget: Budget,
}

/// Searches all reachable states and prints their number; panics with the shortest path to a
/// violation.
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
    println!(
        "{name}: {states} states, commits {commits:?}, {budget:?}, \
         channel capacity {CHANNEL_CAPACITY}"
    );
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
        start: State::with_leader(3, 0),
        budget: Budget { timers: 1, crashes: 1, ..NONE },
    });
    search(Case {
        name: "a proposal",
        start: State::with_leader(3, 0),
        budget: Budget { timers: 1, proposals: 1, ..NONE },
    });
    search(Case {
        name: "snapshots",
        start: State::with_leader(3, 0),
        budget: Budget { timers: 1, crashes: 1, compactions: 1, ..NONE },
    });
}

#[test]
fn reads_see_what_was_committed_in_every_order() {
    search(Case {
        name: "reads",
        start: State::with_leader(3, 0),
        budget: Budget { timers: 1, reads: 1, ..NONE },
    });
}

#[test]
fn replacing_a_voter_is_safe_in_every_order() {
    search(Case {
        name: "replacement",
        start: State::with_leader(3, 1),
        budget: Budget { replacements: 1, crashes: 1, ..NONE },
    });
}

#[test]
#[ignore = "takes a minute in a release build; run with --release --include-ignored"]
fn larger_models_are_safe_in_every_order() {
    search(Case {
        name: "replication and a proposal",
        start: State::with_leader(3, 0),
        budget: Budget { timers: 1, crashes: 1, proposals: 1, ..NONE },
    });
    search(Case {
        name: "reads and a proposal",
        start: State::with_leader(3, 0),
        budget: Budget { timers: 1, reads: 1, proposals: 1, ..NONE },
    });
    search(Case {
        name: "replacement and an election",
        start: State::with_leader(3, 1),
        budget: Budget { timers: 1, replacements: 1, ..NONE },
    });
}
