//! Replicas of services: the ledger keeps one task for each replica that the policy specifies.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;

use crate::{
    ids::{DataCentre, ServiceName, TaskId, TaskKind},
    ledger::{
        change::Change,
        intern::Interner,
        lifecycle::{Context, Input, Phase},
        tasks::{Record, Tasks},
    },
    policy::{Policy, Service},
    task::TaskSpec,
};

/// The task specification of a replica; it has no declared run time, as a replica never ends by
/// itself.
fn replica_spec(name: &ServiceName, service: &Service, centre: &DataCentre) -> TaskSpec {
    TaskSpec {
        kind: TaskKind::from(name.as_str()),
        size: service.size,
        run_time: Duration::ZERO,
        urgent: false,
        idempotent: true,
        centre: Some(centre.clone()),
        service: Some(name.clone()),
        payload: Bytes::new(),
    }
}

/// Updates the size and the owner of a waiting replica from the policy; returns whether they
/// changed.
///
/// A running replica is updated only when it is queued again: replacing all replicas at once
/// would leave the service without any.
pub(super) fn refresh(record: &mut Record, policy: &Policy, interner: &mut Interner) -> bool {
    let (Some(name), Some(centre)) = (&record.spec.service, &record.spec.centre) else {
        return false;
    };
    let Some(service) = policy.services.get(name) else { return false };
    let spec = replica_spec(name, service, centre);
    if spec == *record.spec && service.owner == record.customer {
        return false;
    }
    record.spec = interner.spec(spec);
    record.customer = interner.customer(&service.owner);
    true
}

impl Tasks {
    /// Reconciles the replicas with the policy: adds missing ones, cancels the newest surplus
    /// ones, and updates those that wait.
    pub(super) fn reconcile(&mut self, context: &mut Context<'_>) {
        let desired = desired_counts(context.policy);
        let sets: BTreeSet<_> =
            desired.keys().cloned().chain(self.replicas.keys().cloned()).collect();
        for set in sets {
            let count = desired.get(&set).copied().unwrap_or(0);
            self.reconcile_set(&set, count, context);
        }
        self.replicas.retain(|_, tasks| !tasks.is_empty());
    }

    fn reconcile_set(
        &mut self,
        set: &(ServiceName, DataCentre),
        count: usize,
        context: &mut Context<'_>,
    ) {
        let tasks = self.replicas.get(set).into_iter().flatten().copied();
        let active: Vec<TaskId> = tasks.filter(|task| !self.open[task].cancelled).collect();
        for task in active.iter().skip(count) {
            self.step(*task, Input::Cancel, context);
        }
        for task in active.iter().take(count) {
            self.refresh_waiting(*task, context);
        }
        let (name, centre) = set;
        let Some(service) = context.policy.services.get(name) else { return };
        for _ in active.len()..count {
            let spec = replica_spec(name, service, centre);
            self.add(&service.owner, None, spec, context.interner, context.changes);
        }
    }

    fn refresh_waiting(&mut self, task: TaskId, context: &mut Context<'_>) {
        let Some(record) = self.open.get_mut(&task) else { return };
        if record.phase == Phase::Queued && refresh(record, context.policy, context.interner) {
            context.changes.push(Change::Queued(Box::new(record.to_open(task))));
        }
    }
}

fn desired_counts(policy: &Policy) -> BTreeMap<(ServiceName, DataCentre), usize> {
    let services = policy.services.iter();
    services
        .flat_map(|(name, service)| {
            let replicas = service.replicas.iter();
            replicas.map(move |(centre, count)| ((name.clone(), centre.clone()), *count as usize))
        })
        .collect()
}
