//! The custom encoding of frequent types round-trips and equals that of the derive.

#![expect(clippy::needless_pass_by_value, reason = "quickcheck passes arguments by value")]

use std::time::Duration;

use bytes::Bytes;
use hickorylink_lib::{
    codec::{decode_envelope, encode_envelope},
    command::{Claim, ClaimResult, Command, Envelope, YieldCause},
    data,
    ids::{Attempt, Epoch, InstanceId, TaskAttempt, TaskId, Ticket},
    resources::Resources,
    task::{Checkpoint, EvictionReason, Submission, TaskOutcome, TaskSpec},
    time::WallTime,
};
use quickcheck::{Gen, QuickCheck, Testable};

data! {
    struct DerivedResources {
        millicores: u64,
        memory_mib: u64,
        accelerators: u32,
    }

    struct DerivedAttempt {
        task: TaskId,
        attempt: Attempt,
    }

    struct DerivedEnvelope {
        origin: InstanceId,
        ticket: Ticket,
        at: WallTime,
        command: Command,
    }
}

fn check(seed: u64, property: impl Testable) {
    QuickCheck::new().rng(Gen::from_size_and_seed(60, seed)).tests(3_000).quickcheck(property);
}

fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    postcard::to_allocvec(value).expect("encoding into memory can't fail")
}

/// Builds a command from random values.
fn command(kind: u8, n: u64, text: &str) -> Command {
    let attempt = TaskAttempt { task: TaskId(n), attempt: Attempt(n as u32) };
    let (centre, epoch) = ("akl-a".into(), Epoch(n));
    let body = Bytes::copy_from_slice(text.as_bytes());
    match kind % 8 {
        0..=2 => Command::Start { centre, epoch, attempt, worker: text.into() },
        3 => {
            let handle = text.to_owned();
            let checkpoint = Some(Checkpoint { attempt: attempt.attempt, permille: 7, handle });
            let cause = YieldCause::Evicted(EvictionReason::Leaving);
            Command::Yield { centre, epoch, attempt, checkpoint, cause }
        }
        4 => {
            let outcome = TaskOutcome::Completed { output: body };
            Command::End { centre, epoch, attempt, outcome }
        }
        5 => Command::Claim(Claim {
            customer: text.into(),
            key: text.into(),
            digest: [n as u8; 32],
            owner: InstanceId(n),
            request: n,
        }),
        6 => Command::Settle {
            customer: text.into(),
            key: text.into(),
            owner: InstanceId(n),
            request: n,
            result: ClaimResult::Ran { status: n as u16, body: Some(body) },
        },
        _ => Command::Submit(Submission {
            customer: text.into(),
            key: text.into(),
            spec: TaskSpec {
                kind: text.into(),
                size: Resources { millicores: n, memory_mib: n, accelerators: n as u32 },
                run_time: Duration::from_nanos(n),
                urgent: n.is_multiple_of(2),
                idempotent: n.is_multiple_of(3),
                centre: Some(centre),
                service: None,
                payload: body,
            },
        }),
    }
}

#[test]
fn envelopes_round_trip_and_match_the_derived_encoding() {
    fn holds(kind: u8, n: u64, text: String) -> bool {
        let command = command(kind, n, &text);
        let (origin, ticket, at) = (InstanceId(n), Ticket(n / 3), WallTime(n / 7));
        let envelope = Envelope { origin, ticket, at, command: command.clone() };
        let derived = DerivedEnvelope { origin, ticket, at, command };
        let bytes = encode_envelope(&envelope);
        encode(&derived) == bytes
            && decode_envelope(&bytes).is_ok_and(|decoded| decoded == envelope)
            && (0..bytes.len()).all(|len| decode_envelope(&bytes[..len]).is_err())
    }
    check(31, holds as fn(_, _, _) -> _);
}

#[test]
fn resources_and_attempts_round_trip_and_match_the_derived_encoding() {
    fn holds(a: u64, b: u64, c: u32) -> bool {
        let resources = Resources { millicores: a, memory_mib: b, accelerators: c };
        let derived = DerivedResources { millicores: a, memory_mib: b, accelerators: c };
        let attempt = TaskAttempt { task: TaskId(a), attempt: Attempt(c) };
        let derived_attempt = DerivedAttempt { task: TaskId(a), attempt: Attempt(c) };
        let resources_bytes = encode(&resources);
        let attempt_bytes = encode(&attempt);
        resources_bytes == encode(&derived)
            && attempt_bytes == encode(&derived_attempt)
            && postcard::from_bytes(&resources_bytes) == Ok(resources)
            && postcard::from_bytes(&attempt_bytes) == Ok(attempt)
    }
    check(32, holds as fn(_, _, _) -> _);
}

#[test]
fn decoding_corrupt_envelopes_does_not_panic() {
    fn holds(bytes: Vec<u8>) -> bool {
        // Bytes that can be decoded can be encoded again; neither may panic.
        decode_envelope(&bytes).map_or(true, |envelope| !encode_envelope(&envelope).is_empty())
    }
    check(33, holds as fn(_) -> _);
}
