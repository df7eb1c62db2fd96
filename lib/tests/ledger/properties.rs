//! What holds after any commands, resent, reordered and from several origins.

#![expect(clippy::needless_pass_by_value, reason = "quickcheck hands its values over")]

use std::collections::{BTreeMap, BTreeSet};

use hickorylink_lib::{
    command::{ClaimResult, Command, ListKind, Reply, YieldCause},
    ids::{Attempt, InstanceId, TaskAttempt, TaskId},
    ledger::{Ledger, change::Change},
    task::TaskOutcome,
};
use quickcheck::{Gen, QuickCheck, TestResult, Testable};

use crate::{generate::GeneratedCommand, support::TestLedger};

const SIZE: usize = 150;
const TESTS: u64 = 400;

fn check(seed: u64, property: impl Testable) {
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, seed)).tests(TESTS).quickcheck(property);
}

/// Applies the commands and passes each with its answer and changes to `look`.
fn apply_all(
    generated: &[GeneratedCommand],
    mut inspect: impl FnMut(&TestLedger, &Command, &Reply, &[Change]),
) {
    let mut world = TestLedger::ready();
    for generated_command in generated {
        let command = generated_command.command(&world);
        let before = world.changes.len();
        let reply = world.apply(&command);
        let changes = world.changes[before..].to_vec();
        inspect(&world, &command, &reply, &changes);
    }
}

#[test]
fn apply_is_deterministic() {
    fn holds(generated: Vec<GeneratedCommand>, restart: usize) -> bool {
        let (mut one, mut two) = (TestLedger::ready(), TestLedger::ready());
        for (at, generated_command) in generated.iter().enumerate() {
            if at == restart % generated.len() {
                two.ledger = Ledger::decode(&two.ledger.encode()).expect("it can be decoded");
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
fn resend_gets_first_answer() {
    fn holds(generated: Vec<GeneratedCommand>) -> TestResult {
        let mut world = TestLedger::ready();
        for generated_command in generated {
            let command = generated_command.command(&world);
            let first = world.apply(&command);
            let counts: Vec<_> = world.ledger.counts().map(|(n, c)| (n.clone(), c)).collect();
            let changes = world.changes.len();
            let again = world.apply(&command);
            let freed = matches!(command, Command::Claim(_)) && first != Reply::Claimed;
            if again != first && !freed {
                return TestResult::error(format!("{command:?}: {first:?}, then {again:?}"));
            }
            let now: Vec<_> = world.ledger.counts().map(|(n, c)| (n.clone(), c)).collect();
            if now != counts || world.changes.len() != changes {
                return TestResult::error(format!("{command:?} did something twice"));
            }
        }
        TestResult::passed()
    }
    check(22, holds as fn(_) -> _);
}

#[test]
fn a_late_resend_of_a_submission_or_an_edit_gets_first_answer() {
    fn holds(generated: Vec<GeneratedCommand>) -> TestResult {
        let mut world = TestLedger::ready();
        let mut answers = Vec::new();
        for generated_command in generated {
            let command = generated_command.command(&world);
            let reply = world.apply(&command);
            let kept = matches!(
                (&command, &reply),
                (Command::Submit(_), Reply::Submitted { .. })
                    | (Command::EditList(_), Reply::Edited { .. } | Reply::Rejected(_))
            );
            answers.extend(kept.then_some((command, reply)));
        }
        for (command, first) in answers {
            let again = world.apply(&command);
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
        let mut fault = None;
        apply_all(&generated, |_, command, _, changes| {
            for change in changes {
                match change {
                    Change::Started { attempt, .. } => {
                        let older = last.insert(attempt.task, attempt.attempt);
                        let rises = older.is_none_or(|older| older < attempt.attempt);
                        let free = running.insert(attempt.task, *attempt).is_none();
                        if !rises || !free || ended.contains(&attempt.task) {
                            fault = Some(format!("{command:?}: {attempt} started"));
                        }
                    }
                    Change::Yielded { attempt } => {
                        if running.remove(&attempt.task) != Some(*attempt) {
                            fault = Some(format!("{command:?}: {attempt} didn't run"));
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
        fault.map_or_else(TestResult::passed, TestResult::error)
    }
    check(24, holds as fn(_) -> _);
}

#[test]
fn a_non_idempotent_task_runs_again_only_from_its_own_checkpoint() {
    fn holds(generated: Vec<GeneratedCommand>) -> TestResult {
        let mut fault = None;
        apply_all(&generated, |world, command, _, changes| {
            let Command::Yield { attempt, checkpoint, cause, .. } = command else { return };
            let queued = changes.iter().any(|change| matches!(change, Change::Yielded { .. }));
            let Some(view) = world.ledger.task(attempt.task) else { return };
            let resumes = checkpoint.as_ref().is_some_and(|from| from.attempt == attempt.attempt);
            let ran = *cause != YieldCause::NotStarted;
            if queued && !view.spec().idempotent && ran && !resumes {
                fault = Some(format!("{command:?} lets it run again"));
            }
        });
        fault.map_or_else(TestResult::passed, TestResult::error)
    }
    check(25, holds as fn(_) -> _);
}

#[test]
fn count_once_per_completed_request() {
    fn holds(generated: Vec<GeneratedCommand>) -> TestResult {
        let mut wanted = BTreeMap::<String, u64>::new();
        let mut batches = BTreeMap::<InstanceId, u64>::new();
        let mut ran = BTreeSet::new();
        let mut completed = BTreeSet::new();
        let mut found = BTreeMap::new();
        apply_all(&generated, |world, command, reply, changes| {
            let mut add = |customer: &str, count| {
                *wanted.entry(customer.to_owned()).or_default() += count;
            };
            match command {
                Command::Settle { customer, key, result: ClaimResult::Ran { .. }, .. }
                    if *reply == Reply::Done
                        && world
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
                    let view = world.ledger.task(attempt.task).expect("it is kept");
                    if view.spec().service.is_none() {
                        add(view.customer().as_str(), 1);
                    }
                }
            }
            let counts = world.ledger.counts();
            found = counts.map(|(name, count)| (name.to_string(), count)).collect();
        });
        wanted.retain(|_, count| *count > 0);
        found.retain(|_, count| *count > 0);
        match found == wanted {
            true => TestResult::passed(),
            false => TestResult::error(format!("{found:?} instead of {wanted:?}")),
        }
    }
    check(26, holds as fn(_) -> _);
}

#[test]
fn a_key_has_one_request_until_that_is_known_not_to_have_run() {
    fn holds(generated: Vec<GeneratedCommand>) -> TestResult {
        let mut held = BTreeMap::new();
        let mut fault = None;
        apply_all(&generated, |_, command, reply, _| match (command, reply) {
            (Command::Claim(claim), Reply::Claimed) => {
                let slot = (claim.customer.clone(), claim.key.clone());
                let request = (claim.owner, claim.request);
                if *held.entry(slot).or_insert(request) != request {
                    fault = Some(format!("{command:?} got a key that is held"));
                }
            }
            (
                Command::Settle { customer, key, owner, request, result: ClaimResult::NotRun },
                Reply::Done,
            ) => {
                let slot = (customer.clone(), key.clone());
                if held.get(&slot) == Some(&(*owner, *request)) {
                    held.remove(&slot);
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
                // From here on the key stays with the request, whatever is said later.
                let slot = (customer.clone(), key.clone());
                if held.get(&slot) == Some(&(*owner, *request)) {
                    held.insert(slot, (InstanceId(u64::MAX), 0));
                }
            }
            _ => {}
        });
        fault.map_or_else(TestResult::passed, TestResult::error)
    }
    check(27, holds as fn(_) -> _);
}

#[test]
fn an_accepted_list_never_reverts() {
    fn holds(generated: Vec<GeneratedCommand>, restart: usize) -> TestResult {
        let mut world = TestLedger::ready();
        let mut accepted = BTreeMap::new();
        let mut newest = (0, 0);
        for (at, generated_command) in generated.iter().enumerate() {
            if at == restart % generated.len() {
                world.ledger = Ledger::decode(&world.ledger.encode()).expect("it can be decoded");
            }
            let command = generated_command.command(&world);
            world.apply(&command);
            let policy = world.ledger.policy();
            let revisions = (policy.plans_revision.0, policy.usage_revision.0);
            if revisions.0 < newest.0 || revisions.1 < newest.1 {
                return TestResult::error(format!("{command:?}: {newest:?} to {revisions:?}"));
            }
            newest = revisions;
            for list in [ListKind::Plans, ListKind::Usage] {
                let standing = world.ledger.accepted_list(list).expect("a list stands");
                let text = accepted
                    .entry((list, standing.version))
                    .or_insert_with(|| standing.text.clone());
                if *text != standing.text {
                    return TestResult::error(format!("{command:?}: two texts of a version"));
                }
                let replaced = accepted.range((list, standing.version + 1)..);
                if replaced.take_while(|((kind, _), _)| *kind == list).count() > 0 {
                    return TestResult::error(format!("{command:?}: an older version stands"));
                }
            }
        }
        TestResult::passed()
    }
    check(28, holds as fn(_, _) -> _);
}

#[test]
fn replicas_are_as_many_as_the_list_says() {
    fn holds(generated: Vec<GeneratedCommand>) -> TestResult {
        let mut fault = None;
        apply_all(&generated, |world, command, _, changes| {
            let Command::EditList(_) = command else { return };
            let open = world.ledger.open_tasks().map(|view| view.to_open());
            let standing = open.filter(|task| task.spec.service.is_some() && !task.cancelled);
            let found = standing.count();
            let service = world.ledger.policy().services.values().next();
            let wanted: u32 = service.map_or(0, |service| service.replicas.values().sum());
            // A resent edit reconciles nothing, and replicas may have ended since.
            let accepted = changes.iter().any(|change| matches!(change, Change::Policy(_)));
            let fits = if accepted { found == wanted as usize } else { found <= wanted as usize };
            if !fits {
                fault = Some(format!("{command:?}: {found} replicas instead of {wanted}"));
            }
        });
        fault.map_or_else(TestResult::passed, TestResult::error)
    }
    check(29, holds as fn(_) -> _);
}
