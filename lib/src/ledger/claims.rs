//! Claims on idempotency keys: a non-idempotent request is sent only after its key was claimed.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;

use crate::{
    command::{Claim, ClaimResult, Refusal, Reply},
    data,
    ids::{CustomerName, IdempotencyKey, InstanceId},
    ledger::{Limits, intern::Digest},
    time::WallTime,
};

data! {
    /// All retained claims.
    #[derive(Default)]
    pub(super) struct Claims {
        by_key: BTreeMap<Digest, Record>,
        /// Key digests in the order in which the keys were claimed, with the time.
        claim_order: VecDeque<(WallTime, Digest)>,
        /// Key digests of results that have a body, in the order in which they were settled.
        bodies: VecDeque<Digest>,
        /// The total size of all bodies.
        body_bytes: usize,
    }

    struct Record {
        /// [`Claim::digest`], shortened to a [`Digest`].
        digest: Digest,
        owner: InstanceId,
        request: u64,
        at: WallTime,
        state: State,
    }

    enum State {
        /// The owner may send the request.
        Held,
        /// The request did not run; the key is free.
        Freed,
        /// The request ran.
        Ran { status: u16, body: Option<Bytes> },
        /// The request may have run.
        Unknown,
    }
}

/// The state of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimView<'a> {
    /// The instance that made the claim.
    pub owner: InstanceId,
    /// The number of the request at the owner.
    pub request: u64,
    /// The status of the response, if the request is known to have run.
    pub status: Option<u16>,
    /// The body of the response, if it is retained.
    pub body: Option<&'a Bytes>,
}

/// The digest under which a claim is stored. It includes the customer, so that equal keys of
/// different customers don't collide.
fn digest_key(customer: &CustomerName, key: &IdempotencyKey) -> Digest {
    Digest::of(&[customer.as_str().as_bytes(), key.as_str().as_bytes()])
}

impl Claims {
    /// The claim on a key, unless the key is free.
    pub(super) fn get(
        &self,
        customer: &CustomerName,
        key: &IdempotencyKey,
    ) -> Option<ClaimView<'_>> {
        let record = self.by_key.get(&digest_key(customer, key))?;
        let (status, body) = match &record.state {
            State::Freed => return None,
            State::Held | State::Unknown => (None, None),
            State::Ran { status, body } => (Some(*status), body.as_ref()),
        };
        Some(ClaimView { owner: record.owner, request: record.request, status, body })
    }

    /// Claims a key, or replies with the state of the existing claim.
    pub(super) fn claim(&mut self, claim: &Claim, at: WallTime) -> Reply {
        let key_digest = digest_key(&claim.customer, &claim.key);
        let Some(record) = self.by_key.get(&key_digest) else {
            self.insert(key_digest, claim, at);
            return Reply::Claimed;
        };
        let resent = record.owner == claim.owner && record.request == claim.request;
        match &record.state {
            // A claim that is resent after it was freed must not take the key again: its owner
            // has given up the request.
            State::Freed if resent => Reply::AlreadyClaimed { result: Some(ClaimResult::NotRun) },
            State::Freed => {
                self.insert(key_digest, claim, at);
                Reply::Claimed
            }
            State::Held | State::Ran { .. } | State::Unknown
                if record.digest != Digest::of(&[&claim.digest]) =>
            {
                Reply::Refused(Refusal::KeyReused)
            }
            State::Held if resent => Reply::Claimed,
            State::Held => Reply::AlreadyClaimed { result: None },
            State::Unknown => Reply::AlreadyClaimed { result: Some(ClaimResult::Unknown) },
            State::Ran { status, body } => {
                let result = ClaimResult::Ran { status: *status, body: body.clone() };
                Reply::AlreadyClaimed { result: Some(result) }
            }
        }
    }

    fn insert(&mut self, key_digest: Digest, claim: &Claim, at: WallTime) {
        let record = Record {
            digest: Digest::of(&[&claim.digest]),
            owner: claim.owner,
            request: claim.request,
            at,
            state: State::Held,
        };
        self.by_key.insert(key_digest, record);
        self.claim_order.push_back((at, key_digest));
    }

    /// Records the result of a claimed request; also returns whether the request is to be counted.
    ///
    /// The first result is final, except that a late response replaces an unknown result.
    pub(super) fn settle(
        &mut self,
        customer: &CustomerName,
        key: &IdempotencyKey,
        (owner, request): (InstanceId, u64),
        result: &ClaimResult,
        limits: &Limits,
    ) -> (Reply, bool) {
        let key_digest = digest_key(customer, key);
        let Some(record) = self.by_key.get_mut(&key_digest) else {
            return (Reply::Refused(Refusal::NotOwner), false);
        };
        if (record.owner, record.request) != (owner, request) {
            return (Reply::Refused(Refusal::NotOwner), false);
        }
        match (&record.state, result) {
            (State::Held | State::Unknown, ClaimResult::Ran { status, body }) => {
                let body = body.clone().filter(|body| body.len() <= limits.max_body);
                if let Some(body) = &body {
                    self.body_bytes += body.len();
                    self.bodies.push_back(key_digest);
                }
                record.state = State::Ran { status: *status, body };
                (Reply::Done, true)
            }
            (State::Held, ClaimResult::NotRun) => {
                record.state = State::Freed;
                (Reply::Done, false)
            }
            (State::Held, ClaimResult::Unknown) => {
                record.state = State::Unknown;
                (Reply::Done, false)
            }
            (State::Unknown, ClaimResult::NotRun | ClaimResult::Unknown)
            | (State::Freed | State::Ran { .. }, _) => (Reply::Done, false),
        }
    }

    /// Removes claims and bodies that exceed the limits on age or number.
    pub(super) fn prune(&mut self, now: WallTime, limits: &Limits) {
        while self.body_bytes > limits.max_bodies {
            let Some(key_digest) = self.bodies.pop_front() else { break };
            self.drop_body(key_digest);
        }
        while let Some((at, key_digest)) = self.claim_order.front().copied() {
            let old = now.0.saturating_sub(at.0) >= limits.claim_retention.as_millis() as u64;
            if !old && self.claim_order.len() <= limits.max_claims {
                break;
            }
            self.claim_order.pop_front();
            // A key that was freed and claimed again also has a newer entry.
            if self.by_key.get(&key_digest).is_some_and(|record| record.at == at) {
                self.drop_body(key_digest);
                self.by_key.remove(&key_digest);
            }
        }
        while self.bodies.front().is_some_and(|key_digest| !self.has_body(*key_digest)) {
            self.bodies.pop_front();
        }
    }

    fn has_body(&self, key_digest: Digest) -> bool {
        let record = self.by_key.get(&key_digest);
        record.is_some_and(|record| matches!(record.state, State::Ran { body: Some(_), .. }))
    }

    fn drop_body(&mut self, key_digest: Digest) {
        if let Some(Record { state: State::Ran { body, .. }, .. }) =
            self.by_key.get_mut(&key_digest)
            && let Some(body) = body.take()
        {
            self.body_bytes -= body.len();
        }
    }
}
