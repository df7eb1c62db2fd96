//! Invariants of the router, checked over random event sequences with losses, duplicates and late
//! answers.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use hickorylink_lib::{
    command::ClaimResult,
    ids::RequestId,
    router::{
        Counters,
        port::{AttemptEnd, AttemptId, ClaimAnswer, Effect, Event, NotRun, RequestOutcome},
    },
};
use quickcheck::{Arbitrary, Gen};

use crate::{
    harness::{MEMBER, answer},
    script::{Op, Player, TraceEntry, Verdict, check},
};

#[test]
fn each_request_gets_exactly_one_outcome() {
    check(11, |ops: Vec<Op>| one_outcome(&Player::play(&ops)));
}

/// Every request got exactly one outcome, and none is still open or waiting.
pub(crate) fn one_outcome(player: &Player) -> Verdict {
    let mut answers: BTreeMap<RequestId, usize> = BTreeMap::new();
    for (id, _) in player.harness.effects.iter().filter_map(answer) {
        *answers.entry(id).or_default() += 1;
    }
    for request in &player.asked {
        let count = answers.remove(&request.request).unwrap_or(0);
        ensure(count == 1, || format!("request {} got {count} outcomes", request.request))?;
    }
    ensure(answers.is_empty(), || format!("answers to unknown requests: {answers:?}"))?;
    let status = player.harness.router.status();
    ensure(status.open == 0 && status.waiting == 0, || format!("still open: {status:?}"))
}

#[test]
fn not_run_means_not_sent_or_refused() {
    check(12, |ops: Vec<Op>| not_run_requests_never_ran(&Player::play(&ops)));
}

/// The outcome "not run" is given only if no attempt may have run, and no attempt is sent after an
/// answer.
pub(crate) fn not_run_requests_never_ran(player: &Player) -> Verdict {
    let mut sent: BTreeSet<AttemptId> = BTreeSet::new();
    let mut answered: BTreeSet<RequestId> = BTreeSet::new();
    for (_, seen) in &player.trace {
        match seen {
            TraceEntry::Effect(Effect::Send { attempt, .. }) => {
                sent.insert(*attempt);
                let late = answered.contains(&attempt.request);
                ensure(!late, || format!("{attempt:?} was sent after the answer"))?;
            }
            TraceEntry::Event(Event::AttemptEnded {
                attempt,
                end: AttemptEnd::Refused | AttemptEnd::NotSent { .. },
            }) => {
                sent.remove(attempt);
            }
            TraceEntry::Effect(Effect::Answer { request, outcome }) => {
                answered.insert(*request);
                let ran = sent.iter().any(|attempt| attempt.request == *request);
                let not_run = matches!(outcome, RequestOutcome::NotRun { .. });
                ensure(!(ran && not_run), || format!("request {request} may have run"))?;
            }
            TraceEntry::Event(_) | TraceEntry::Effect(_) => {}
        }
    }
    Ok(())
}

#[test]
fn non_idempotent_requests_are_sent_at_most_once() {
    check(13, |ops: Vec<Op>| sent_at_most_once(&Player::play(&ops)));
}

/// A request that isn't idempotent is sent only after its key was claimed, and isn't sent again
/// unless the attempt was refused or not sent.
pub(crate) fn sent_at_most_once(player: &Player) -> Verdict {
    let non_idempotent = |id: RequestId| !player.asked[id.0 as usize - 1].idempotent;
    let mut claimed: BTreeSet<RequestId> = BTreeSet::new();
    let mut sent: BTreeMap<RequestId, usize> = BTreeMap::new();
    for (_, seen) in &player.trace {
        match seen {
            TraceEntry::Event(Event::ClaimAnswered { request, answer: ClaimAnswer::Claimed }) => {
                claimed.insert(*request);
            }
            TraceEntry::Effect(Effect::Send { attempt, .. }) if non_idempotent(attempt.request) => {
                let id = attempt.request;
                ensure(claimed.contains(&id), || format!("request {id} was sent without a claim"))?;
                let count = sent.entry(id).or_default();
                *count += 1;
                ensure(*count == 1, || format!("request {id} was sent twice"))?;
            }
            TraceEntry::Event(Event::AttemptEnded {
                attempt,
                end: AttemptEnd::Refused | AttemptEnd::NotSent { .. },
            }) => {
                sent.entry(attempt.request).and_modify(|count| *count -= 1);
            }
            TraceEntry::Event(_) | TraceEntry::Effect(_) => {}
        }
    }
    Ok(())
}

#[test]
fn each_request_that_ran_is_counted_once_for_its_customer() {
    check(18, |ops: Vec<Op>| counted_once(&Player::play(&ops)));
}

/// Each request that ran is counted once, and before the answer if its plan has exact counts.
pub(crate) fn counted_once(player: &Player) -> Verdict {
    let mut counted: BTreeMap<RequestId, usize> = BTreeMap::new();
    let mut recorded: BTreeSet<RequestId> = BTreeSet::new();
    for (_, seen) in &player.trace {
        match seen {
            TraceEntry::Effect(Effect::Record {
                request,
                customer,
                result: ClaimResult::Ran { .. },
                ..
            }) => {
                *counted.entry(*request).or_default() += 1;
                let asked = &player.asked[request.0 as usize - 1];
                let own = asked.customer == *customer;
                ensure(own, || format!("request {request} is counted for {customer}"))?;
            }
            TraceEntry::Event(Event::Recorded { request }) => {
                recorded.insert(*request);
            }
            TraceEntry::Effect(Effect::Answer { request, outcome: RequestOutcome::Ran(_) }) => {
                let count = counted.get(request).copied().unwrap_or(0);
                ensure(count == 1, || format!("request {request} is counted {count} times"))?;
                let customer = player.asked[request.0 as usize - 1].customer.as_str();
                let early = customer == MEMBER.name && !recorded.contains(request);
                ensure(!early, || format!("request {request} is answered before its count"))?;
            }
            TraceEntry::Event(_) | TraceEntry::Effect(_) => {}
        }
    }
    let twice = counted.iter().find(|(_, count)| **count > 1);
    ensure(twice.is_none(), || format!("counted twice: {twice:?}"))
}

#[test]
fn each_successful_claim_is_settled_once() {
    check(19, |ops: Vec<Op>| settled_once(&Player::play(&ops)));
}

/// Each successful claim is settled once, and no other claim is.
pub(crate) fn settled_once(player: &Player) -> Verdict {
    let mut claimed: BTreeSet<RequestId> = BTreeSet::new();
    let mut settled: BTreeMap<RequestId, usize> = BTreeMap::new();
    for (_, seen) in &player.trace {
        match seen {
            TraceEntry::Event(Event::ClaimAnswered { request, answer: ClaimAnswer::Claimed }) => {
                claimed.insert(*request);
            }
            TraceEntry::Effect(Effect::Record { request, key: Some(_), .. }) => {
                let held = claimed.contains(request);
                ensure(held, || {
                    format!("request {request} settles a claim that it does not hold")
                })?;
                *settled.entry(*request).or_default() += 1;
            }
            TraceEntry::Event(_) | TraceEntry::Effect(_) => {}
        }
    }
    let wrong = claimed.iter().find(|id| settled.get(id) != Some(&1));
    ensure(wrong.is_none(), || format!("request {wrong:?}: {settled:?}"))
}

/// An invariant holds trivially if no random script reaches the outcomes that it concerns.
#[test]
fn scripts_reach_every_outcome() {
    let mut total = Counters::default();
    let mut rng = Gen::from_size_and_seed(120, 20);
    for _ in 0..200 {
        let player = Player::play(&Vec::arbitrary(&mut rng));
        let counters = player.harness.router.status().counters;
        total.ran += counters.ran;
        total.unknown += counters.unknown;
        total.retries += counters.retries;
        total.hedges += counters.hedges;
        total.late += counters.late;
        total.stalled += counters.stalled;
        for (reason, count) in counters.not_run {
            *total.not_run.entry(reason).or_default() += count;
        }
    }
    let ends = [total.ran, total.unknown, total.retries, total.hedges, total.late, total.stalled];
    assert!(ends.iter().all(|count| *count >= 20), "{total:?}");
    let reasons = [
        NotRun::NoTarget,
        NotRun::Deadline,
        NotRun::Draining,
        NotRun::ConsensusUnavailable,
        NotRun::KeyReused,
        NotRun::InProgress,
        NotRun::TargetsUnavailable,
        NotRun::CallerGone,
    ];
    for reason in reasons {
        assert!(total.not_run.contains_key(&reason), "{reason:?} in {total:?}");
    }
}

#[test]
fn a_leaving_target_gets_no_new_request() {
    check(14, |ops: Vec<Op>| leaving_target_gets_nothing(&Player::play(&ops)));
}

/// Nothing is sent to a target that is leaving or was withdrawn.
pub(crate) fn leaving_target_gets_nothing(player: &Player) -> Verdict {
    let mut leaving: BTreeSet<&str> = BTreeSet::new();
    for (_, seen) in &player.trace {
        match seen {
            TraceEntry::Event(Event::Target(target)) => match target.leaving {
                true => {
                    leaving.insert(&target.address);
                }
                false => {
                    leaving.remove(target.address.as_str());
                }
            },
            TraceEntry::Event(Event::TargetGone { address }) => {
                leaving.insert(address);
            }
            TraceEntry::Effect(Effect::Send { target, .. }) => {
                let sent = leaving.contains(target.as_str());
                ensure(!sent, || format!("{target} is leaving and got a request"))?;
            }
            TraceEntry::Event(_) | TraceEntry::Effect(_) => {}
        }
    }
    Ok(())
}

#[test]
fn answers_go_to_their_own_request() {
    check(15, |ops: Vec<Op>| own_answers(&Player::play(&ops)));
}

/// Each response comes from an attempt of the same request that wasn't abandoned.
pub(crate) fn own_answers(player: &Player) -> Verdict {
    let mut bodies: BTreeMap<RequestId, BTreeSet<Bytes>> = BTreeMap::new();
    let mut abandoned: BTreeSet<AttemptId> = BTreeSet::new();
    for (_, seen) in &player.trace {
        match seen {
            TraceEntry::Event(Event::AttemptEnded {
                attempt,
                end: AttemptEnd::Answered(response),
            }) if !abandoned.contains(attempt) && *response.body != *b"a second answer" => {
                bodies.entry(attempt.request).or_default().insert(response.body.clone());
            }
            TraceEntry::Effect(Effect::Abandon { attempt }) => {
                abandoned.insert(*attempt);
            }
            TraceEntry::Effect(Effect::Answer {
                request,
                outcome: RequestOutcome::Ran(response),
            }) => {
                let own = bodies.get(request).is_some_and(|own| own.contains(&response.body));
                ensure(own, || format!("request {request} got {:?}", response.body))?;
            }
            TraceEntry::Event(_) | TraceEntry::Effect(_) => {}
        }
    }
    Ok(())
}

#[test]
fn drain_changes_no_outcome() {
    check(16, |ops: Vec<Op>| {
        let at = ops.iter().position(|op| matches!(op, Op::Drain)).unwrap_or(ops.len() / 2);
        let (before, after) = ops.split_at(at);
        let no_requests: Vec<_> =
            after.iter().filter(|op| !matches!(op, Op::Ask { .. } | Op::Drain)).cloned().collect();
        let run = |drains: bool| {
            let mut player = Player::new();
            player.play_on(before);
            if drains {
                player.event(Event::Drain);
            }
            player.play_on(&no_requests);
            player.finish();
            player
        };
        let (without_drain, with_drain) = (run(false), run(true));
        let outcomes = |player: &Player| -> Vec<_> {
            let answers = player.harness.effects.iter().filter_map(answer);
            answers.map(|(id, outcome)| (id, outcome.clone())).collect()
        };
        ensure(outcomes(&without_drain) == outcomes(&with_drain), || {
            "the drain changed an outcome".to_owned()
        })?;
        drained_last(&with_drain)
    });
}

fn drained_last(player: &Player) -> Verdict {
    let effects = &player.harness.effects;
    let drained = effects.iter().position(|effect| matches!(effect, Effect::Drained));
    let drained = drained.ok_or("the drain did not finish")?;
    let later = effects[drained..].iter().filter_map(answer).next();
    ensure(later.is_none(), || format!("drained before {later:?}"))
}

#[test]
fn a_draining_instance_refuses_new_requests() {
    check(17, |ops: Vec<Op>| drain_refuses(&Player::play(&ops)));
}

/// Requests that arrive after the start of a drain are refused.
pub(crate) fn drain_refuses(player: &Player) -> Verdict {
    let mut draining = false;
    let mut late: BTreeSet<RequestId> = BTreeSet::new();
    for (_, seen) in &player.trace {
        match seen {
            TraceEntry::Event(Event::Drain) => draining = true,
            TraceEntry::Event(Event::Request(request)) if draining => {
                late.insert(request.request);
            }
            TraceEntry::Effect(Effect::Answer { request, outcome }) if late.contains(request) => {
                let want = RequestOutcome::NotRun { reason: NotRun::Draining };
                ensure(*outcome == want, || format!("request {request}: {outcome:?}"))?;
            }
            TraceEntry::Event(_) | TraceEntry::Effect(_) => {}
        }
    }
    Ok(())
}

pub(crate) fn ensure(holds: bool, finding: impl FnOnce() -> String) -> Verdict {
    if holds { Ok(()) } else { Err(finding()) }
}
