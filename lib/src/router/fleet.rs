//! All targets by service, with an index of those that have a free slot.

use std::collections::BTreeMap;

use crate::{
    ids::{DataCentre, InstanceId, ServiceName},
    router::{
        config::Config,
        latency::LatencyHistogram,
        occupancy::Occupancy,
        port::{self, Peer},
        queue::Queue,
        shares::{View, Views},
        target::{CHART, Target, TargetEvent, TargetGuard},
        timers::{TimerKind, Timers},
    },
    time::{Time, earliest},
};

/// The targets of one service and the requests queued for them.
#[derive(Clone, Debug)]
pub(super) struct Service {
    /// The keys of all its targets.
    pub(super) members: Vec<usize>,
    /// Targets of this data centre with a free slot.
    pub(super) local: Vec<usize>,
    /// Targets of other data centres with a free slot.
    pub(super) remote: Vec<usize>,
    pub(super) queue: Queue,
    pub(super) latencies: LatencyHistogram,
    /// Open long-lived requests.
    pub(super) long_lived: Occupancy,
    /// The number of slots that this instance may use.
    pub(super) capacity: u64,
    /// The number of targets that aren't leaving, by data centre.
    active: BTreeMap<DataCentre, usize>,
    /// The number of targets that are ejected or being probed.
    ejected: usize,
    views: Views,
}

impl Service {
    fn new(views: Views) -> Self {
        Self {
            members: Vec::new(),
            local: Vec::new(),
            remote: Vec::new(),
            queue: Queue::default(),
            latencies: LatencyHistogram::new(),
            long_lived: Occupancy::new(0),
            capacity: 0,
            active: BTreeMap::new(),
            ejected: 0,
            views,
        }
    }

    /// Whether the service has a target that isn't leaving.
    pub(super) fn has_targets(&self) -> bool {
        !self.active.is_empty()
    }

    fn add_active(&mut self, centre: &DataCentre) {
        *self.active.entry(centre.clone()).or_insert(0) += 1;
    }

    fn remove_active(&mut self, centre: &DataCentre) {
        if let Some(count) = self.active.get_mut(centre) {
            *count -= 1;
            if *count == 0 {
                self.active.remove(centre);
            }
        }
    }
}

/// The targets of all services.
#[derive(Clone, Debug, Default)]
pub(super) struct Fleet {
    /// Indexed by key; `None` if the key is free.
    pub(super) targets: Vec<Option<Target>>,
    pub(super) services: Vec<Service>,
    /// The keys of removed targets, for reuse.
    free_keys: Vec<usize>,
    addresses: BTreeMap<String, usize>,
    names: BTreeMap<ServiceName, usize>,
    /// The initial views of a new service.
    views: Views,
    /// When the timer for the next expiry of a view is due.
    next_expiry: Option<Time>,
}

impl Fleet {
    pub(super) fn target(&self, key: usize) -> &Target {
        self.targets[key].as_ref().expect("a target with open attempts isn't removed")
    }

    pub(super) fn find(&self, address: &str) -> Option<&Target> {
        self.addresses.get(address).map(|key| self.target(*key))
    }

    pub(super) fn target_mut(&mut self, key: usize) -> &mut Target {
        self.targets[key].as_mut().expect("a target with open attempts isn't removed")
    }

    pub(super) fn service(&self, name: &ServiceName) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// Adds or updates a target; returns the index of its service.
    pub(super) fn announce(
        &mut self,
        now: Time,
        info: Box<port::Target>,
        config: &Config,
        timers: &mut Timers,
    ) -> usize {
        let key = match self.addresses.get(&info.address) {
            Some(key) if same_placement(&self.target(*key).info, &info) => *key,
            Some(_) => {
                self.withdraw(now, &info.address, config, timers);
                self.addresses.remove(&info.address);
                self.insert(now, info.clone(), config, timers)
            }
            None => self.insert(now, info.clone(), config, timers),
        };
        let target = self.target_mut(key);
        let event = match info.leaving {
            true => TargetEvent::Leave,
            false => TargetEvent::Return,
        };
        target.withdrawn = false;
        target.info = info;
        let service = target.service;
        self.step(now, key, event, config, timers);
        self.update_share(key, config);
        self.update_service_shares(now, service, config, timers);
        service
    }

    fn insert(
        &mut self,
        now: Time,
        info: Box<port::Target>,
        config: &Config,
        timers: &mut Timers,
    ) -> usize {
        let service = self.service_or_new(&info.service);
        let key = self.free_keys.pop().unwrap_or_else(|| {
            self.targets.push(None);
            self.targets.len() - 1
        });
        self.addresses.insert(info.address.clone(), key);
        self.services[service].members.push(key);
        self.services[service].add_active(&info.centre);
        let mut target = Target::new(now, info, service, config);
        target.timer = Some(target.warm_at());
        timers.set(target.warm_at(), TimerKind::Target(key));
        self.targets[key] = Some(target);
        key
    }

    fn service_or_new(&mut self, name: &ServiceName) -> usize {
        if let Some(service) = self.names.get(name) {
            return *service;
        }
        self.services.push(Service::new(self.views.clone()));
        self.names.insert(name.clone(), self.services.len() - 1);
        self.services.len() - 1
    }

    /// Withdraws a target: it receives no new requests and is removed after its last attempt.
    pub(super) fn withdraw(
        &mut self,
        now: Time,
        address: &str,
        config: &Config,
        timers: &mut Timers,
    ) {
        let Some(key) = self.addresses.get(address).copied() else { return };
        self.step(now, key, TargetEvent::Leave, config, timers);
        let target = self.target_mut(key);
        target.withdrawn = true;
        let service = target.service;
        self.update_service_shares(now, service, config, timers);
        self.forget_if_withdrawn(key);
    }

    /// Sets the instances that share the targets.
    pub(super) fn set_instances(
        &mut self,
        now: Time,
        mut peers: Vec<Peer>,
        config: &Config,
        timers: &mut Timers,
    ) {
        peers.sort_by_key(|peer| peer.instance);
        self.views.replace(now, View { peers, ..View::default() });
        self.update_all_shares(now, config, timers);
    }

    /// The live instances in the current view.
    pub(super) fn live_instances(&self) -> impl Iterator<Item = InstanceId> {
        self.views.current().peers.iter().map(|peer| peer.instance)
    }

    /// Recomputes the shares of all services.
    pub(super) fn update_all_shares(&mut self, now: Time, config: &Config, timers: &mut Timers) {
        self.views.expire(now, config.settle_time);
        for service in 0..self.services.len() {
            self.update_service_shares(now, service, config, timers);
        }
        self.set_expiry_timer(config, timers);
    }

    fn update_service_shares(
        &mut self,
        now: Time,
        at: usize,
        config: &Config,
        timers: &mut Timers,
    ) {
        let service = &mut self.services[at];
        let view = View {
            peers: self.views.current().peers.clone(),
            centres: service.active.keys().cloned().collect(),
        };
        let replaced = service.views.replace(now, view);
        let expired = service.views.expire(now, config.settle_time);
        if replaced || expired {
            for key in service.members.clone() {
                self.update_share(key, config);
            }
            self.set_expiry_timer(config, timers);
        }
    }

    fn set_expiry_timer(&mut self, config: &Config, timers: &mut Timers) {
        let next = self
            .services
            .iter()
            .map(|service| &service.views)
            .chain([&self.views])
            .filter_map(|views| views.next_expiry(config.settle_time))
            .fold(None, |next, at| earliest(next, Some(at)));
        if let Some(at) = std::mem::replace(&mut self.next_expiry, next) {
            timers.cancel(at, TimerKind::ViewExpiry);
        }
        if let Some(at) = next {
            timers.set(at, TimerKind::ViewExpiry);
        }
    }

    /// Applies an event to a target according to its chart.
    pub(super) fn step(
        &mut self,
        now: Time,
        key: usize,
        event: TargetEvent,
        config: &Config,
        timers: &mut Timers,
    ) {
        let target = self.target(key);
        let service = &self.services[target.service];
        let holds = |guard| match guard {
            TargetGuard::FailureLimit => target.failures + 1 >= config.max_failures,
            TargetGuard::MayEject => {
                let active: usize = service.active.values().sum();
                (service.ejected + 1) * 1_000 <= active * config.ejected_permille as usize
            }
        };
        let step = CHART.step(target.state, event, holds).expect("the chart handles every event");
        let before = (target.timer, target.is_ejected(), target.is_active());
        let target = self.target_mut(key);
        for action in step.actions {
            target.act(now, *action, config);
        }
        target.state = step.to;
        let after = (target.timer, target.is_ejected(), target.is_active());
        if before.0 != after.0 {
            before.0.inspect(|at| timers.cancel(*at, TimerKind::Target(key)));
            after.0.inspect(|at| timers.set(*at, TimerKind::Target(key)));
        }
        self.update_counts(key, (before.1, after.1), (before.2, after.2));
        self.update_usable(key);
    }

    fn update_counts(&mut self, key: usize, ejected: (bool, bool), active: (bool, bool)) {
        let target = self.targets[key].as_ref().expect("the target exists");
        let service = &mut self.services[target.service];
        match ejected {
            (false, true) => service.ejected += 1,
            (true, false) => service.ejected -= 1,
            (false, false) | (true, true) => {}
        }
        match active {
            (false, true) => service.add_active(&target.info.centre),
            (true, false) => service.remove_active(&target.info.centre),
            (false, false) | (true, true) => {}
        }
    }

    /// Recomputes this instance's share of a target.
    fn update_share(&mut self, key: usize, config: &Config) {
        let target = self.targets[key].as_mut().expect("the target exists");
        let views = &self.services[target.service].views;
        let info = &target.info;
        let share = |total| views.share(config.me, &info.centre, target.rotation, total);
        target.connections = share(info.connections);
        target.share = share(info.slots).min(target.connections);
        self.update_usable(key);
    }

    /// Updates the usable slots of a target and the index of targets with a free slot.
    fn update_usable(&mut self, key: usize) {
        let target = self.targets[key].as_mut().expect("the target exists");
        let service = &mut self.services[target.service];
        let usable = target.usable_share();
        service.capacity = service.capacity - u64::from(target.usable) + u64::from(usable);
        service.long_lived.set_capacity(usize::try_from(service.capacity).unwrap_or(usize::MAX));
        target.usable = usable;
        self.index(key);
    }

    /// Adds a target to the index of those with a free slot, or removes it.
    fn index(&mut self, key: usize) {
        let target = self.targets[key].as_mut().expect("the target exists");
        let service = &mut self.services[target.service];
        let list = match target.local {
            true => &mut service.local,
            false => &mut service.remote,
        };
        match (target.in_flight < target.usable, target.list_index) {
            (true, None) => {
                target.list_index = Some(list.len());
                list.push(key);
            }
            (false, Some(at)) => {
                target.list_index = None;
                list.swap_remove(at);
                if let Some(moved) = list.get(at).copied() {
                    self.target_mut(moved).list_index = Some(at);
                }
            }
            (true, Some(_)) | (false, None) => {}
        }
    }

    /// Takes a slot for an attempt.
    pub(super) fn take_slot(&mut self, key: usize) {
        self.target_mut(key).in_flight += 1;
        self.index(key);
    }

    /// Releases the slot of an attempt.
    pub(super) fn free_slot(&mut self, key: usize) {
        self.target_mut(key).in_flight -= 1;
        self.index(key);
        self.forget_if_withdrawn(key);
    }

    fn forget_if_withdrawn(&mut self, key: usize) {
        let target = self.target(key);
        if target.withdrawn && target.in_flight == 0 {
            let service = target.service;
            self.services[service].members.retain(|member| *member != key);
            if let Some(target) = self.targets[key].take()
                && self.addresses.get(&target.info.address) == Some(&key)
            {
                self.addresses.remove(&target.info.address);
            }
            self.free_keys.push(key);
        }
    }
}

fn same_placement(a: &port::Target, b: &port::Target) -> bool {
    a.service == b.service && a.centre == b.centre
}
