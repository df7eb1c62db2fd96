//! Claims and records for the replicated log, and answers to callers.

use crate::{
    burn::ServedRequest,
    command::{Claim, ClaimResult},
    ids::{InstanceId, RequestId},
    router::{
        Router,
        port::{Effect, NotRun, Request, RequestOutcome, Response},
    },
    time::Time,
};

impl Router {
    pub(super) fn record(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        let limit = self.config.max_body;
        let entry = self.entry(id);
        let claimed = entry.claimed;
        let result = match &entry.outcome {
            Some(RequestOutcome::Ran(response)) => ClaimResult::Ran {
                status: response.status,
                body: (claimed && response.body.len() <= limit).then(|| response.body.clone()),
            },
            Some(RequestOutcome::Unknown { .. }) => ClaimResult::Unknown,
            Some(RequestOutcome::NotRun { .. } | RequestOutcome::RanEarlier { .. }) | None => {
                ClaimResult::NotRun
            }
        };
        effects.push(Effect::Record {
            request: id,
            customer: entry.request.customer.clone(),
            key: entry.request.key.clone().filter(|_| claimed),
            result,
        });
    }

    pub(super) fn answer(
        &mut self,
        now: Time,
        id: RequestId,
        (outcome, disconnected): (RequestOutcome, bool),
        effects: &mut Vec<Effect>,
    ) {
        self.counters.count(&outcome);
        if let Some(entry) = self.requests.get(&id) {
            let served = ServedRequest {
                customer: &entry.request.customer,
                service: &entry.request.service,
                outcome: &outcome,
                elapsed: now.since(entry.arrived),
                timeout: entry.arrived.until(entry.request.deadline),
                disconnected,
                long_lived: entry.long_lived,
            };
            self.burn.record(now, &self.policy, served);
        }
        effects.push(Effect::Answer { request: id, outcome });
    }
}

/// The claim on a request's idempotency key, or `None` if it has no key.
pub(super) fn claim_of(request: &Request, owner: InstanceId) -> Option<Claim> {
    Some(Claim {
        customer: request.customer.clone(),
        key: request.key.clone()?,
        digest: digest(request),
        owner,
        request: request.request.0,
    })
}

/// A digest of the fields that must match for a request to be a resend of another.
fn digest(request: &Request) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for part in [request.service.as_str().as_bytes(), request.path.as_bytes(), &request.body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    *hasher.finalize().as_bytes()
}

/// The outcome returned to a resend, given the result of the request that holds the claim.
pub(super) fn outcome_of_claim(result: Option<ClaimResult>) -> RequestOutcome {
    match result {
        Some(ClaimResult::Ran { status, body: Some(body) }) => {
            RequestOutcome::Ran(Response { status, body })
        }
        Some(ClaimResult::Ran { status, body: None }) => RequestOutcome::RanEarlier { status },
        Some(ClaimResult::Unknown) => RequestOutcome::Unknown {
            reason: "an earlier request with this key may have run".to_owned(),
        },
        Some(ClaimResult::NotRun) | None => RequestOutcome::NotRun { reason: NotRun::InProgress },
    }
}
