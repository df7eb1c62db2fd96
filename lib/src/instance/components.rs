//! The router and the scheduler as components of an instance: their effects are translated to
//! events for other components or effects of the instance.

use crate::{
    command::Command,
    ids::{DataCentre, InstanceId},
    instance::port::{DispatchCommand, Effect, Output},
    replicated_log::port::{Event as ReplicatedLogEvent, Requester},
    router::{Config as RouterConfig, Router, port as router},
    scheduler::{Scheduler, config::Config as SchedulerConfig, port as scheduler},
    time::Time,
};

/// The router as a component of an instance.
#[derive(Debug)]
pub struct RouterComponent {
    /// The state machine.
    pub router: Router,
    me: InstanceId,
    effects: Vec<router::Effect>,
}

/// The scheduler as a component of an instance.
#[derive(Debug)]
pub struct SchedulerComponent {
    /// The state machine.
    pub scheduler: Scheduler,
    centre: DataCentre,
    effects: Vec<scheduler::Effect>,
}

impl RouterComponent {
    /// A router that knows no targets yet.
    pub fn new(me: InstanceId, config: RouterConfig, now: Time, seed: u64) -> Self {
        Self { router: Router::new(config, now, seed), me, effects: Vec::new() }
    }

    /// Handles an event and appends the outputs to `out`.
    pub fn handle(&mut self, now: Time, event: router::Event, out: &mut Vec<Output>) {
        self.router.handle(now, event, &mut self.effects);
        let me = self.me;
        out.extend(self.effects.drain(..).map(|effect| router_output(me, now, effect)));
    }

    /// When [`router::Event::Timer`] is due.
    pub fn next_deadline(&self) -> Option<Time> {
        self.router.next_deadline()
    }
}

fn router_output(me: InstanceId, now: Time, effect: router::Effect) -> Output {
    match effect {
        router::Effect::Claim(claim) => {
            let requester = Requester::Claim { request: crate::ids::RequestId(claim.request) };
            propose(requester, Command::Claim(claim))
        }
        router::Effect::Record { request, customer, key: Some(key), result } => {
            let command = Command::Settle { customer, key, owner: me, request: request.0, result };
            propose(Requester::Settle { request }, command)
        }
        router::Effect::Record { request, customer, key: None, .. } => {
            Output::replicated_log(ReplicatedLogEvent::Count { request, customer })
        }
        router::Effect::Send { attempt, target, fresh, customer, path, body, deadline } => {
            let timeout = now.until(deadline);
            dispatch(DispatchCommand::Request {
                attempt,
                target,
                fresh,
                customer,
                path,
                body,
                timeout,
            })
        }
        router::Effect::Abandon { attempt } => dispatch(DispatchCommand::Abandon { attempt }),
        router::Effect::CloseIdle { target } => dispatch(DispatchCommand::CloseIdle { target }),
        router::Effect::Answer { request, outcome } => {
            Output::Effect(Effect::RequestAnswer { request, outcome })
        }
        router::Effect::Drained => Output::Effect(Effect::Drained),
    }
}

impl SchedulerComponent {
    /// A scheduler for `centre` that doesn't hold the data centre's epoch yet.
    pub fn new(centre: DataCentre, config: SchedulerConfig, now: Time, seed: u64) -> Self {
        Self { scheduler: Scheduler::new(config, now, seed), centre, effects: Vec::new() }
    }

    /// Handles an event and appends the outputs to `out`.
    pub fn handle(&mut self, now: Time, event: scheduler::Event, out: &mut Vec<Output>) {
        self.scheduler.handle(now, event, &mut self.effects);
        let centre = &self.centre;
        out.extend(self.effects.drain(..).map(|effect| scheduler_output(centre, effect)));
    }

    /// When [`scheduler::Event::Timer`] is due.
    pub fn next_deadline(&self) -> Option<Time> {
        self.scheduler.next_deadline()
    }
}

fn scheduler_output(centre: &DataCentre, effect: scheduler::Effect) -> Output {
    let centre = centre.clone();
    match effect {
        scheduler::Effect::RecordStart { epoch, attempt, worker } => {
            propose(Requester::Start { attempt }, Command::Start { centre, epoch, attempt, worker })
        }
        scheduler::Effect::RecordYield { epoch, attempt, checkpoint, cause } => {
            let command = Command::Yield { centre, epoch, attempt, checkpoint, cause };
            propose(Requester::Yield { attempt }, command)
        }
        scheduler::Effect::RecordEnd { epoch, attempt, outcome } => {
            propose(Requester::End { attempt }, Command::End { centre, epoch, attempt, outcome })
        }
        scheduler::Effect::Command { worker, address, epoch, fence, commands } => {
            dispatch(DispatchCommand::Command { worker, address, epoch, fence, commands })
        }
        scheduler::Effect::Answer { ticket, answer } => {
            Output::Effect(Effect::AnnounceAnswer { ticket, answer })
        }
    }
}

fn propose(requester: Requester, command: Command) -> Output {
    Output::replicated_log(ReplicatedLogEvent::Propose { requester, command: Box::new(command) })
}

fn dispatch(command: DispatchCommand) -> Output {
    Output::Effect(Effect::Dispatch(command))
}
