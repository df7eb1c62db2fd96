//! Simulated workers that send heartbeats, execute runs and crash, under a single controller.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use hickorylink_lib::{
    jobs::{
        controller::{Answer, Event},
        model::{JobId, TaskKey},
        record::Ending,
    },
    time::Time,
};

use crate::world::{FakeWorker, World};

/// The time between two steps of the simulation.
const TICK: Duration = Duration::from_millis(10);

/// How a machine comes back after a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Return {
    SameName,
    NewName,
}

/// A machine that runs a worker.
struct Machine {
    worker: FakeWorker,
    /// The heartbeat that waits for its response.
    ticket: Option<u64>,
    next_heartbeat: Time,
    ends: BTreeMap<TaskKey, Time>,
    /// When the machine crashes.
    crash: Option<Time>,
    /// Until when it is down after a crash.
    down: Option<Time>,
}

/// A controller and machines.
pub(crate) struct Cluster {
    pub(crate) world: World,
    machines: Vec<Machine>,
    /// The jobs whose tasks crash the workers that start them.
    pub(crate) deadly: BTreeSet<JobId>,
    /// The jobs whose tasks don't end.
    pub(crate) lasting: BTreeSet<JobId>,
    /// When each task was started.
    pub(crate) starts: BTreeMap<TaskKey, Vec<Time>>,
    /// The runs that were lost beside a deadly task that had crashed a worker before.
    pub(crate) taken_along: Vec<TaskKey>,
    pub(crate) returns: Return,
    pub(crate) downtime: Duration,
    pub(crate) duration: Duration,
    renamed: u32,
}

impl Cluster {
    pub(crate) fn new(machines: usize) -> Self {
        let world = World::new();
        let machine = |at| Machine {
            worker: FakeWorker::new(&format!("w{at}")),
            ticket: None,
            next_heartbeat: world.now,
            ends: BTreeMap::new(),
            crash: None,
            down: None,
        };
        Self {
            machines: (0..machines).map(machine).collect(),
            world,
            deadly: BTreeSet::new(),
            lasting: BTreeSet::new(),
            starts: BTreeMap::new(),
            taken_along: Vec::new(),
            returns: Return::SameName,
            downtime: Duration::from_secs(3),
            duration: Duration::from_secs(1),
            renamed: 0,
        }
    }

    /// Runs the simulation for a while.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.world.now + span;
        while self.world.now < end {
            self.world.advance(TICK);
            for at in 0..self.machines.len() {
                self.step(at);
            }
        }
    }

    /// Restarts the controller. Responses on their way are lost.
    pub(crate) fn restart(&mut self) {
        self.world.restart();
        for machine in &mut self.machines {
            machine.ticket = None;
        }
    }

    /// Crashes a machine unless it is down.
    pub(crate) fn crash(&mut self, at: usize) {
        let down = self.world.now + self.downtime;
        let machine = &mut self.machines[at];
        if machine.down.is_some() {
            return;
        }
        (machine.down, machine.crash, machine.ticket) = (Some(down), None, None);
        machine.ends.clear();
        let name = match self.returns {
            Return::SameName => machine.worker.name.clone(),
            Return::NewName => format!("r{}", self.renamed),
        };
        self.renamed += 1;
        machine.worker = machine.worker.replaced(&name);
    }

    fn step(&mut self, at: usize) {
        let now = self.world.now;
        let machine = &mut self.machines[at];
        if machine.down.is_some_and(|until| now < until) {
            return;
        }
        machine.down = None;
        if machine.crash.is_some_and(|crash| crash <= now) {
            self.note_taken_along(at);
            self.crash(at);
            return;
        }
        let machine = &mut self.machines[at];
        let ended = machine.ends.iter().filter(|(_, end)| **end <= now);
        let ended: Vec<_> = ended.map(|(task, _)| *task).collect();
        for task in ended {
            machine.ends.remove(&task);
            if machine.worker.running.contains_key(&task) {
                machine.worker.end(task, Ending::Done);
            }
        }
        self.receive(at);
        let machine = &mut self.machines[at];
        if machine.ticket.is_none() && machine.next_heartbeat <= now {
            let report = Box::new(machine.worker.report());
            let ticket = self.world.send(|ticket| Event::Heartbeat { ticket, report });
            self.machines[at].ticket = Some(ticket);
            self.receive(at);
        }
    }

    fn note_taken_along(&mut self, at: usize) {
        let running: Vec<_> = self.machines[at].worker.running.keys().copied().collect();
        let repeated =
            |task: &TaskKey| self.starts.get(task).is_some_and(|starts| starts.len() > 1);
        if running.iter().any(|task| self.deadly.contains(&task.job) && repeated(task)) {
            let others = running.into_iter().filter(|task| !self.deadly.contains(&task.job));
            self.taken_along.extend(others);
        }
    }

    fn receive(&mut self, at: usize) {
        let now = self.world.now;
        let machine = &mut self.machines[at];
        let Some(answer) = machine.ticket.and_then(|ticket| self.world.answers.get(&ticket)) else {
            return;
        };
        machine.ticket = None;
        let Answer::Heartbeat(response) = answer else {
            machine.next_heartbeat = now + Duration::from_millis(50);
            return;
        };
        machine.next_heartbeat = now + response.next_heartbeat;
        machine.worker.apply(response);
        machine.ends.retain(|task, _| machine.worker.running.contains_key(task));
        for start in &response.starts {
            self.starts.entry(start.task).or_default().push(now);
            if self.deadly.contains(&start.task.job) {
                machine.crash.get_or_insert(now + TICK);
            } else if !self.lasting.contains(&start.task.job) {
                machine.ends.insert(start.task, now + self.duration);
            }
        }
    }
}
