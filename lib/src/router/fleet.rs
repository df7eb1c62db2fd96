//! All targets, by service, with an index of those that have a free slot.

use std::collections::BTreeMap;

use crate::{
    ids::{DataCentre, InstanceId, ServiceName},
    router::{
        config::Config,
        latency::Quantiles,
        occupancy::Occupancy,
        port::{self, Peer},
        queue::Queue,
        slots::{View, Views},
        target::{CHART, Target, TargetEvent, TargetGuard},
        timers::{Alarm, Timers},
    },
    time::{Time, earliest},
};

/// The targets of one service and the requests that wait for them.
#[derive(Clone, Debug)]
pub(super) struct Service {
    pub(super) members: Vec<usize>,
    /// Targets of this data centre with a free slot.
    pub(super) near: Vec<usize>,
    /// Targets of other data centres with a free slot.
    pub(super) far: Vec<usize>,
    pub(super) queue: Queue,
    pub(super) quantiles: Quantiles,
    /// Open requests that are standing.
    pub(super) standing: Occupancy,
    /// Slots that this instance may use.
    pub(super) capacity: u64,
    /// Targets that aren't leaving, by data centre.
    present: BTreeMap<DataCentre, usize>,
    ejected: usize,
    views: Views,
}

impl Service {
    fn new(views: Views) -> Self {
        Self {
            members: Vec::new(),
            near: Vec::new(),
            far: Vec::new(),
            queue: Queue::default(),
            quantiles: Quantiles::new(),
            standing: Occupancy::new(0),
            capacity: 0,
            present: BTreeMap::new(),
            ejected: 0,
            views,
        }
    }

    /// Whether any target isn't leaving.
    pub(super) fn is_present(&self) -> bool {
        !self.present.is_empty()
    }

    fn arrive(&mut self, centre: &DataCentre) {
        *self.present.entry(centre.clone()).or_insert(0) += 1;
    }

    fn depart(&mut self, centre: &DataCentre) {
        if let Some(count) = self.present.get_mut(centre) {
            *count -= 1;
            if *count == 0 {
                self.present.remove(centre);
            }
        }
    }
}

/// The targets of all services.
#[derive(Clone, Debug, Default)]
pub(super) struct Fleet {
    pub(super) targets: Vec<Option<Target>>,
    pub(super) services: Vec<Service>,
    spare: Vec<usize>,
    addresses: BTreeMap<String, usize>,
    names: BTreeMap<ServiceName, usize>,
    /// The views of a service without targets.
    views: Views,
    settles: Option<Time>,
}

impl Fleet {
    pub(super) fn target(&self, key: usize) -> &Target {
        self.targets[key].as_ref().expect("a target stays while tries are at it")
    }

    pub(super) fn find(&self, address: &str) -> Option<&Target> {
        self.addresses.get(address).map(|key| self.target(*key))
    }

    pub(super) fn target_mut(&mut self, key: usize) -> &mut Target {
        self.targets[key].as_mut().expect("a target stays while tries are at it")
    }

    pub(super) fn service(&self, name: &ServiceName) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// Takes in a target or what changed about it; returns its service.
    pub(super) fn announce(
        &mut self,
        now: Time,
        info: Box<port::Target>,
        config: &Config,
        timers: &mut Timers,
    ) -> usize {
        let key = match self.addresses.get(&info.address) {
            Some(key) if same_place(&self.target(*key).info, &info) => *key,
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
        target.gone = false;
        target.info = info;
        let service = target.service;
        self.step(now, key, event, config, timers);
        self.deal_target(key, config);
        self.deal(now, service, config, timers);
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
        let key = self.spare.pop().unwrap_or_else(|| {
            self.targets.push(None);
            self.targets.len() - 1
        });
        self.addresses.insert(info.address.clone(), key);
        self.services[service].members.push(key);
        self.services[service].arrive(&info.centre);
        let mut target = Target::new(now, info, service, config);
        target.alarm = Some(target.warm());
        timers.set(target.warm(), Alarm::Target(key));
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

    /// A target is gone: it gets nothing new and is forgotten when its last try has ended.
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
        target.gone = true;
        let service = target.service;
        self.deal(now, service, config, timers);
        self.forget_if_gone(key);
    }

    /// The instances that share the targets have changed.
    pub(super) fn instances(
        &mut self,
        now: Time,
        mut peers: Vec<Peer>,
        config: &Config,
        timers: &mut Timers,
    ) {
        peers.sort_by_key(|peer| peer.instance);
        self.views.replace(now, View { peers, ..View::default() });
        self.deal_all(now, config, timers);
    }

    /// The instances that were alive by the newest view.
    pub(super) fn alive(&self) -> impl Iterator<Item = InstanceId> {
        self.views.current().peers.iter().map(|peer| peer.instance)
    }

    /// Deals the slots of every service again.
    pub(super) fn deal_all(&mut self, now: Time, config: &Config, timers: &mut Timers) {
        self.views.expire(now, config.settle);
        for service in 0..self.services.len() {
            self.deal(now, service, config, timers);
        }
        self.set_settle(config, timers);
    }

    fn deal(&mut self, now: Time, at: usize, config: &Config, timers: &mut Timers) {
        let service = &mut self.services[at];
        let view = View {
            peers: self.views.current().peers.clone(),
            centres: service.present.keys().cloned().collect(),
        };
        let replaced = service.views.replace(now, view);
        let expired = service.views.expire(now, config.settle);
        if replaced || expired {
            for key in service.members.clone() {
                self.deal_target(key, config);
            }
            self.set_settle(config, timers);
        }
    }

    fn set_settle(&mut self, config: &Config, timers: &mut Timers) {
        let next = self
            .services
            .iter()
            .map(|service| &service.views)
            .chain([&self.views])
            .filter_map(|views| views.next_expiry(config.settle))
            .fold(None, |next, at| earliest(next, Some(at)));
        if let Some(at) = std::mem::replace(&mut self.settles, next) {
            timers.cancel(at, Alarm::Settle);
        }
        if let Some(at) = next {
            timers.set(at, Alarm::Settle);
        }
    }

    /// Something happened to a target: its chart says what comes of it.
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
            TargetGuard::FailsOften => target.failures + 1 >= config.failures,
            TargetGuard::MayEject => {
                let present: usize = service.present.values().sum();
                (service.ejected + 1) * 1_000 <= present * config.ejected_permille as usize
            }
        };
        let step = CHART.step(target.state, event, holds).expect("the chart handles every event");
        let before = (target.alarm, target.is_ejected(), target.allows_new());
        let target = self.target_mut(key);
        for action in step.actions {
            target.act(now, *action, config);
        }
        target.state = step.to;
        let after = (target.alarm, target.is_ejected(), target.allows_new());
        if before.0 != after.0 {
            before.0.inspect(|at| timers.cancel(*at, Alarm::Target(key)));
            after.0.inspect(|at| timers.set(*at, Alarm::Target(key)));
        }
        self.note(key, (before.1, after.1), (before.2, after.2));
        self.update(key);
    }

    fn note(&mut self, key: usize, ejected: (bool, bool), present: (bool, bool)) {
        let target = self.targets[key].as_ref().expect("the target was just stepped");
        let service = &mut self.services[target.service];
        match ejected {
            (false, true) => service.ejected += 1,
            (true, false) => service.ejected -= 1,
            (false, false) | (true, true) => {}
        }
        match present {
            (false, true) => service.arrive(&target.info.centre),
            (true, false) => service.depart(&target.info.centre),
            (false, false) | (true, true) => {}
        }
    }

    /// Deals this instance's part of a target again.
    fn deal_target(&mut self, key: usize, config: &Config) {
        let target = self.targets[key].as_mut().expect("a member is there");
        let views = &self.services[target.service].views;
        let info = &target.info;
        let part = |total| views.part(config.me, &info.centre, target.rotation, total);
        target.connections = part(info.connections);
        target.part = part(info.slots).min(target.connections);
        self.update(key);
    }

    /// Brings what may be used of a target and its place in the index up to date.
    fn update(&mut self, key: usize) {
        let target = self.targets[key].as_mut().expect("a member is there");
        let service = &mut self.services[target.service];
        let usable = target.allowed();
        service.capacity = service.capacity - u64::from(target.usable) + u64::from(usable);
        service.standing.set_room(usize::try_from(service.capacity).unwrap_or(usize::MAX));
        target.usable = usable;
        self.index(key);
    }

    /// Puts a target into the index of those with a free slot, or takes it off.
    fn index(&mut self, key: usize) {
        let target = self.targets[key].as_mut().expect("a member is there");
        let service = &mut self.services[target.service];
        let list = match target.near {
            true => &mut service.near,
            false => &mut service.far,
        };
        match (target.flying < target.usable, target.place) {
            (true, None) => {
                target.place = Some(list.len());
                list.push(key);
            }
            (false, Some(place)) => {
                target.place = None;
                list.swap_remove(place);
                if let Some(moved) = list.get(place).copied() {
                    self.target_mut(moved).place = Some(place);
                }
            }
            (true, Some(_)) | (false, None) => {}
        }
    }

    /// A try takes a slot.
    pub(super) fn take_slot(&mut self, key: usize) {
        self.target_mut(key).flying += 1;
        self.index(key);
    }

    /// A try gives its slot back.
    pub(super) fn free_slot(&mut self, key: usize) {
        self.target_mut(key).flying -= 1;
        self.index(key);
        self.forget_if_gone(key);
    }

    fn forget_if_gone(&mut self, key: usize) {
        let target = self.target(key);
        if target.gone && target.flying == 0 {
            let service = target.service;
            self.services[service].members.retain(|member| *member != key);
            if let Some(target) = self.targets[key].take()
                && self.addresses.get(&target.info.address) == Some(&key)
            {
                self.addresses.remove(&target.info.address);
            }
            self.spare.push(key);
        }
    }
}

fn same_place(a: &port::Target, b: &port::Target) -> bool {
    a.service == b.service && a.centre == b.centre
}
