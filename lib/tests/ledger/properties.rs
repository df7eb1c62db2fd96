//! Invariants that hold after any sequence of commands, with resends and commands from several
//! origins.

#![expect(clippy::needless_pass_by_value, reason = "quickcheck passes arguments by value")]

use std::collections::{BTreeMap, BTreeSet};

use hickorylink_lib::{
    command::{ClaimResult, Command, ListKind, Reply, YieldCause},
    ids::{Attempt, InstanceId, TaskAttempt, TaskId},
    ledger::{Ledger, change::Change},
    task::TaskOutcome,
};
use quickcheck::{Gen, QuickCheck, TestResult, Testable};

use crate::{generate::GeneratedCommand, support::Fixture};

const SIZE: usize = 150;
const TESTS: u64 = 400;

fn check(seed: u64, property: impl Testable) {
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, seed)).tests(TESTS).quickcheck(property);
}

/// Applies the commands, and passes each with its reply and changes to `inspect`.
fn apply_all(
    generated: &[GeneratedCommand],
    mut inspect: impl FnMut(&Fixture, &Command, &Reply, &[Change]),
) {
    let mut fixture = Fixture::ready();
    for generated_command in generated {
        let command = generated_command.command(&fixture);
        let before = fixture.changes.len();
        let reply = fixture.apply(&command);
        let changes = fixture.changes[before..].to_vec();
        inspect(&fixture, &command, &reply, &changes);
    }
}

#[test]
fn apply_is_deterministic() {
    fn holds(generated: Vec<GeneratedCommand>, restart: usize) -> bool {
        let (mut one, mut two) = (Fixture::ready(), Fixture::ready());
        for (at, generated_command) in generated.iter().enumerate() {
            if at == restart % generated.len() {
                two.ledger = Ledger::decode(&two.ledger.encode()).expect("the snapshot is valid");
            }
            let command = generated_command.command(&one);
            if one.apply(&command) != two.apply(&command) {
                return false;
            }
        }
        one.changes == two.changes && one.ledger.encode() == two.ledger.encode()
    }
    check(21, holds as fn(_, _) -> _);
}

#[test]
fn resend_gets_the_first_reply() {
    fn holds(generated: Vec<GeneratedCommand>) -> TestResult {
        let mut fixture = Fixture::ready();
        for generated_command in generated {
            let command = generated_command.command(&fixture);
            let first = fixture.apply(&command);
            let counts: Vec<_> = fixture.ledger.counts().map(|(n, c)| (n.clone(), c)).collect();
            let changes = fixture.changes.len();
            let again = fixture.apply(&command);
            let not_claimed = matches!(command, Command::Claim(_)) && first != Reply::Claimed;
            if again != first && !not_claimed {
                return TestResult::error(format!("{command:?}: {first:?}, then {again:?}"));
            }
            let now: Vec<_> = fixture.ledger.counts().map(|(n, c)| (n.clone(), c)).collect();
            if now != counts || fixture.changes.len() != changes {
                return TestResult::error(format!("{command:?} took effect twice"));
            }
        }
        TestResult::passed()
    }
    check(22, holds as fn(_) -> _);
}

#[test]
fn late_resend_of_a_submission_or_edit_gets_the_first_reply() {
    fn holds(generated: Vec<GeneratedCommand>) -> TestResult {
        let mut fixture = Fixture::ready();
        let mut replies = Vec::new();
        for generated_command in generated {
            let command = generated_command.command(&fixture);
            let reply = fixture.apply(&command);
            let kept = matches!(
                (&command, &reply),
                (Command::Submit(_), Reply::Submitted { .. })
                    | (Command::EditList(_), Reply::Edited { .. } | Reply::Rejected(_))
            );
            replies.extend(kept.then_some((command, reply)));
        }
        for (command, first) in replies {
            let again = fixture.apply(&command);
            if again != first {
                return TestResult::error(format!("{command:?}: {first:?}, then {again:?}"));
            }
        }
        TestResult::passed()
    }
    check(23, holds as fn(_) -> _);
}

#[test]
fn a_task_starts_at_most_once_per_attempt_and_runs_in_one_place() {
    fn holds(generated: Vec<GeneratedCommand>) -> TestResult {
        let mut last = BTreeMap::<TaskId, Attempt>::new();
        let mut running = BTreeMap::<TaskId, TaskAttempt>::new();
        let mut ended = BTreeSet::<TaskId>::new();
        let mut failure = None;
        apply_all(&generated, |_, command, _, changes| {
            for change in changes {
                match change {
                    Change::Started { attempt, .. } => {
                        let older = last.insert(attempt.task, attempt.attempt);
                        let newer = older.is_none_or(|older| older < attempt.attempt);
                        let idle = running.insert(attempt.task, *attempt).is_none();
                        if !newer || !idle || ended.contains(&attempt.task) {
                            failure = Some(format!("{command:?}: {attempt} started"));
                        }
                    }
                    Change::Yielded { attempt } => {
                        if running.remove(&attempt.task) != Some(*attempt) {
                            failure = Some(format!("{command:?}: {attempt} didn't run"));
                        }
                    }
                    Change::Ended { attempt, .. } => {
                        running.remove(&attempt.task);
                        ended.insert(attempt.task);
                    }
                    Change::Policy(_)
                    | Change::Queued(_)
                    | Change::CancelRequested { .. }
                    | Change::CentreGranted { .. }
                    | Change::CentreReleased { .. } => {}
                }
            }
        });
        failure.map_or_else(TestResult::passed, TestResult::error)
    }
    check(24, holds as fn(_) -> _);
}

#[test]
fn a_non_idempotent_task_runs_again_only_from_its_own_checkpoint() {
    fn holds(generated: Vec<GeneratedCommand>) -> TestResult {
        let mut failure = None;
        apply_all(&generated, |fixture, command, _, changes| {
            let Command::Yield { attempt, checkpoint, cause, .. } = command else { return };
            let queued = changes.iter().any(|change| matches!(change, Change::Yielded { .. }));
            let Some(view) = fixture.ledger.task(attempt.task) else { return };
            let resumes = checkpoint.as_ref().is_some_and(|from| from.attempt == attempt.attempt);
            let ran = *cause != YieldCause::NotStarted;
            if queued && !view.spec().idempotent && ran && !resumes {
                failure = Some(format!("{command:?} queued it again without its own checkpoint"));
            }
        });
        failure.map_or_else(TestResult::passed, TestResult::error)
    }
    check(25, holds as fn(_) -> _);
}

#[test]
fn completed_requests_are_counted_once() {
    fn holds(generated: Vec<GeneratedCommand>) -> TestResult {
        let mut expected = BTreeMap::<String, u64>::new();
        let mut batches = BTreeMap::<InstanceId, u64>::new();
        let mut ran = BTreeSet::new();
        let mut completed = BTreeSet::new();
        let mut found = BTreeMap::new();
        apply_all(&generated, |fixture, command, reply, changes| {
            let mut add = |customer: &str, count| {
                *expected.entry(customer.to_owned()).or_default() += count;
            };
            match command {
                Command::Settle { customer, key, result: ClaimResult::Ran { .. }, .. }
                    if *reply == Reply::Done
                        && fixture
                            .ledger
                            .claim(customer, key)
                            .is_some_and(|c| c.status.is_some())
                        && ran.insert((customer.clone(), key.clone())) =>
                {
                    add(customer.as_str(), 1);
                }
                Command::Count { instance, sequence, counts } => {
                    let newest = batches.get(instance).copied();
                    if newest.is_none_or(|newest| newest < *sequence) {
                        batches.insert(*instance, *sequence);
                        counts.iter().for_each(|(customer, count)| add(customer.as_str(), *count));
                    }
                }
                _ => {}
            }
            for change in changes {
                if let Change::Ended { attempt, outcome: TaskOutcome::Completed { .. } } = change {
                    assert!(completed.insert(attempt.task), "{attempt} completed twice");
                    let view = fixture.ledger.task(attempt.task).expect("the task is retained");
                    if view.spec().service.is_none() {
                        add(view.customer().as_str(), 1);
                    }
                }
            }
            let counts = fixture.ledger.counts();
            found = counts.map(|(name, count)| (name.to_string(), count)).collect();
        });
        expected.retain(|_, count| *count > 0);
        found.retain(|_, count| *count > 0);
        match found == expected {
            true => TestResult::passed(),
            false => TestResult::error(format!("{found:?} instead of {expected:?}")),
        }
    }
    check(26, holds as fn(_) -> _);
}

#[test]
fn key_belongs_to_one_request_until_it_is_known_not_to_have_run() {
    fn holds(generated: Vec<GeneratedCommand>) -> TestResult {
        let mut held = BTreeMap::new();
        let mut failure = None;
        apply_all(&generated, |_, command, reply, _| match (command, reply) {
            (Command::Claim(claim), Reply::Claimed) => {
                let key = (claim.customer.clone(), claim.key.clone());
                let request = (claim.owner, claim.request);
                if *held.entry(key).or_insert(request) != request {
                    failure = Some(format!("{command:?} claimed a key that is held"));
                }
            }
            (
                Command::Settle { customer, key, owner, request, result: ClaimResult::NotRun },
                Reply::Done,
            ) => {
                let key = (customer.clone(), key.clone());
                if held.get(&key) == Some(&(*owner, *request)) {
                    held.remove(&key);
                }
            }
            (
                Command::Settle {
                    customer,
                    key,
                    owner,
                    request,
                    result: ClaimResult::Ran { .. } | ClaimResult::Unknown,
                },
                Reply::Done,
            ) => {
                // From now on the key belongs to the request, whatever is reported later.
                let key = (customer.clone(), key.clone());
                if held.get(&key) == Some(&(*owner, *request)) {
                    held.insert(key, (InstanceId(u64::MAX), 0));
                }
            }
            _ => {}
        });
        failure.map_or_else(TestResult::passed, TestResult::error)
    }
    check(27, holds as fn(_) -> _);
}

#[test]
fn an_accepted_list_never_reverts() {
    fn holds(generated: Vec<GeneratedCommand>, restart: usize) -> TestResult {
        let mut fixture = Fixture::ready();
        let mut accepted = BTreeMap::new();
        let mut newest = (0, 0);
        for (at, generated_command) in generated.iter().enumerate() {
            if at == restart % generated.len() {
                fixture.ledger =
                    Ledger::decode(&fixture.ledger.encode()).expect("the snapshot is valid");
            }
            let command = generated_command.command(&fixture);
            fixture.apply(&command);
            let policy = fixture.ledger.policy();
            let revisions = (policy.plans_revision.0, policy.usage_revision.0);
            if revisions.0 < newest.0 || revisions.1 < newest.1 {
                return TestResult::error(format!("{command:?}: {newest:?} to {revisions:?}"));
            }
            newest = revisions;
            for list in [ListKind::Plans, ListKind::Usage] {
                let current = fixture.ledger.accepted_list(list).expect("a list was accepted");
                let text =
                    accepted.entry((list, current.version)).or_insert_with(|| current.text.clone());
                if *text != current.text {
                    return TestResult::error(format!("{command:?}: two texts with one version"));
                }
                let replaced = accepted.range((list, current.version + 1)..);
                if replaced.take_while(|((kind, _), _)| *kind == list).count() > 0 {
                    return TestResult::error(format!(
                        "{command:?}: the list reverted to an older version"
                    ));
                }
            }
        }
        TestResult::passed()
    }
    check(28, holds as fn(_, _) -> _);
}

#[test]
fn replica_counts_match_the_plans_list() {
    fn holds(generated: Vec<GeneratedCommand>) -> TestResult {
        let mut failure = None;
        apply_all(&generated, |fixture, command, _, changes| {
            let Command::EditList(_) = command else { return };
            let open = fixture.ledger.open_tasks().map(|view| view.to_open());
            let active = open.filter(|task| task.spec.service.is_some() && !task.cancelled);
            let found = active.count();
            let service = fixture.ledger.policy().services.values().next();
            let expected: u32 = service.map_or(0, |service| service.replicas.values().sum());
            // A resent edit doesn't reconcile the replicas, some of which may have ended since.
            let accepted = changes.iter().any(|change| matches!(change, Change::Policy(_)));
            let matches =
                if accepted { found == expected as usize } else { found <= expected as usize };
            if !matches {
                failure = Some(format!("{command:?}: {found} replicas instead of {expected}"));
            }
        });
        failure.map_or_else(TestResult::passed, TestResult::error)
    }
    check(29, holds as fn(_) -> _);
}
