//! Replies to requesters, and the state that is published to other components.

use super::{
    Answer, Change, Departure, Effect, InstanceId, LogEvent, Output, Pending, ReplicaStatus,
    ReplicatedLog, Reply, RequestId, Requester, Time, directory, router, scheduler,
};
use crate::{
    ids::{DataCentre, Epoch, TaskId},
    instance::port::{CentreStatus, CustomerCount, InstanceStatus, Query, TaskAnswer},
    replicated_log::membership::can_leave,
    router::port::ClaimAnswer,
    task::{OpenTask, TaskState},
};

impl ReplicatedLog {
    /// Delivers the reply of an applied command; `granted` is the epoch that the command created,
    /// if any.
    pub(super) fn reply(
        &mut self,
        now: Time,
        pending: &Pending,
        reply: Reply,
        granted: Option<Epoch>,
        out: &mut Vec<Output>,
    ) {
        match &pending.requester {
            Requester::Front { ticket, .. } => {
                let answer = Box::new(Answer::Reply(reply));
                out.push(Output::Effect(Effect::Answer { ticket: *ticket, answer }));
            }
            Requester::Claim { request } => {
                let answer = claim_answer(reply);
                let event = router::Event::ClaimAnswered { request: *request, answer };
                out.push(Output::router(event));
            }
            Requester::Settle { request } => out.push(recorded(*request)),
            Requester::Start { attempt } => {
                let attempt = *attempt;
                out.push(Output::scheduler(match reply == Reply::Done {
                    true => scheduler::Event::StartRecorded { attempt },
                    false => scheduler::Event::StartRefused { attempt },
                }));
            }
            Requester::Yield { attempt } => {
                let attempt = *attempt;
                out.push(Output::scheduler(scheduler::Event::YieldRecorded { attempt }));
            }
            Requester::End { attempt } => {
                let attempt = *attempt;
                out.push(Output::scheduler(scheduler::Event::EndRecorded { attempt }));
            }
            Requester::Counts => out.extend(self.counts.recorded().into_iter().map(recorded)),
            Requester::Leadership => {
                self.leadership.command_answered(now, granted);
                self.publish_leadership(now, out);
            }
        }
    }

    /// Reports to a requester that its command wasn't committed in time.
    pub(super) fn report_unavailable(
        &self,
        requester: &Requester,
        sent: bool,
        out: &mut Vec<Output>,
    ) {
        match requester {
            Requester::Front { ticket, .. } => {
                let answer = Box::new(if sent { Answer::Unknown } else { Answer::NotAccepted });
                out.push(Output::Effect(Effect::Answer { ticket: *ticket, answer }));
            }
            Requester::Claim { request } => {
                let (request, answer) = (*request, ClaimAnswer::Unavailable);
                out.push(Output::router(router::Event::ClaimAnswered { request, answer }));
            }
            Requester::Leadership
            | Requester::Settle { .. }
            | Requester::Start { .. }
            | Requester::Yield { .. }
            | Requester::End { .. }
            | Requester::Counts => {}
        }
    }

    /// Publishes a change of the ledger to the components that act on it.
    pub(super) fn publish_change(&mut self, now: Time, change: Change, out: &mut Vec<Output>) {
        match change {
            Change::Policy(policy) => {
                let (plans, usage) = (policy.plans_revision, policy.usage_revision);
                out.push(Output::Effect(Effect::Log(LogEvent::Policy { plans, usage })));
                out.push(Output::scheduler(scheduler::Event::Policy(policy.clone())));
                out.push(Output::router(router::Event::Policy(policy.clone())));
                out.push(Output::Effect(Effect::Policy(policy)));
            }
            Change::Queued(task) => {
                out.push(task_event(task.task, "queued".to_owned()));
                if self.is_placed_here(&task) {
                    out.push(Output::scheduler(scheduler::Event::TaskOpened(task)));
                } else if task.spec.centre.is_none() {
                    self.spillover.add(now, task.task);
                }
            }
            Change::Started { attempt, centre, worker } => {
                let event = format!("attempt {} recorded on {worker}", attempt.attempt);
                out.push(task_event(attempt.task, event));
                self.spillover.remove(attempt.task);
                if centre != self.config.me.centre
                    && let Some(task) = self.ledger.task(attempt.task)
                {
                    // The local scheduler may be about to place the same task, which now runs
                    // elsewhere.
                    let open = Box::new(task.to_open());
                    out.push(Output::scheduler(scheduler::Event::TaskOpened(open)));
                }
            }
            Change::Yielded { attempt } => {
                out.push(task_event(attempt.task, format!("attempt {} stopped", attempt.attempt)));
            }
            Change::Ended { attempt, outcome } => {
                out.push(task_event(attempt.task, format!("ended: {}", outcome.name())));
                self.spillover.remove(attempt.task);
                out.push(Output::scheduler(scheduler::Event::EndRecorded { attempt }));
            }
            Change::CancelRequested { task } => {
                out.push(Output::scheduler(scheduler::Event::TaskCancelled { task }));
            }
            Change::CentreGranted { centre, epoch, holder } => {
                self.publish_epoch(now, centre, epoch, Some(holder), out);
            }
            Change::CentreReleased { centre, epoch } => {
                self.publish_epoch(now, centre, epoch, None, out);
            }
        }
    }

    /// Publishes the whole state, after a start or a snapshot.
    pub(super) fn publish_all(&mut self, now: Time, out: &mut Vec<Output>) {
        self.publish_change(now, Change::Policy(self.ledger.policy().clone()), out);
        let centre = self.config.me.centre.clone();
        if let Some((epoch, holder)) = self.ledger.epoch_holder(&centre) {
            self.publish_epoch(now, centre, epoch, Some(holder), out);
        }
    }

    /// Offers a task that another data centre hasn't placed to the local scheduler.
    pub(super) fn offer_task(&self, task: TaskId, out: &mut Vec<Output>) {
        if let Some(view) = self.ledger.task(task)
            && self.leadership.held(&self.ledger).is_some()
            && view.outcome().is_none()
        {
            out.push(Output::scheduler(scheduler::Event::TaskOpened(Box::new(view.to_open()))));
        }
    }

    fn publish_epoch(
        &mut self,
        now: Time,
        centre: DataCentre,
        epoch: Epoch,
        holder: Option<InstanceId>,
        out: &mut Vec<Output>,
    ) {
        let ours = centre == self.config.me.centre;
        out.push(Output::Effect(Effect::Log(LogEvent::Epoch { centre, epoch, holder })));
        if ours {
            self.publish_leadership(now, out);
        }
    }

    /// Tells the scheduler whether this process holds the data centre's epoch. If so, the open
    /// tasks of the data centre are sent first.
    fn publish_leadership(&mut self, now: Time, out: &mut Vec<Output>) {
        let epoch = self.leadership.held(&self.ledger);
        if epoch.is_some() {
            let open: Vec<_> = self.ledger.open_tasks().map(|view| view.to_open()).collect();
            for task in open {
                if self.is_placed_here(&task) {
                    out.push(Output::scheduler(scheduler::Event::TaskOpened(Box::new(task))));
                } else if task.spec.centre.is_none() && task.running().is_none() {
                    self.spillover.add(now, task.task);
                }
            }
        }
        let centre = self.config.me.centre.clone();
        out.push(Output::scheduler(scheduler::Event::Leadership { centre, epoch }));
    }

    /// Whether the local data centre's scheduler is responsible for the task.
    ///
    /// A task that may run anywhere is assigned a home data centre by its number, so that two
    /// schedulers don't try to start it at the same time; the ledger would refuse the second.
    fn is_placed_here(&self, task: &OpenTask) -> bool {
        let mine = &self.config.me.centre;
        if let TaskState::Running { centre, .. } = &task.state {
            return centre == mine;
        }
        match &task.spec.centre {
            Some(centre) => centre == mine,
            None => self.ledger.home_centre(task.task) == Some(mine),
        }
    }

    /// Sends the replica's status to the directory if it changed.
    pub(super) fn publish_status(&mut self, out: &mut Vec<Output>) {
        let status = self.consensus.status();
        let policy = self.ledger.policy();
        let centre = &self.config.me.centre;
        let held = self.leadership.held(&self.ledger).map(|epoch| (centre.clone(), epoch));
        let replica_status = ReplicaStatus {
            member: status.last.0 > 0,
            applied: self.ledger.applied(),
            plans: policy.plans_revision,
            usage: policy.usage_revision,
            held: held.into_iter().collect(),
        };
        if replica_status != self.replica_status {
            self.replica_status = replica_status.clone();
            out.push(Output::directory(directory::Event::ReplicaStatus(Box::new(replica_status))));
        }
        if status.members != self.published_members {
            let members = status.members.all().collect();
            out.push(Output::directory(directory::Event::Members(members)));
            self.published_members = status.members;
        }
    }

    /// Reports a change of the numbers of voters, unless no group is known yet.
    pub(super) fn report_voters(&mut self, now: Time, out: &mut Vec<Output>) {
        let members = self.consensus.status().members;
        if members.voters.is_empty() {
            return;
        }
        let wanted = self.config.voters;
        if let Some(counts) = self.voter_watch.update(now, wanted, &members, &self.alive) {
            out.push(Output::Effect(Effect::Log(LogEvent::Voters(counts))));
        }
    }

    /// Reports once that an instance that drains isn't needed as a voter any more.
    pub(super) fn report_departure(&mut self, out: &mut Vec<Output>) {
        let status = self.consensus.status();
        if self.departure == Departure::Draining
            && can_leave(&status, self.config.me.instance, &self.alive)
        {
            self.departure = Departure::Ready;
            out.push(Output::Effect(Effect::HandedOver));
        }
    }

    /// Answers a query from the ledger.
    pub(super) fn answer(&self, query: &Query) -> Answer {
        match query {
            Query::Status => Answer::Status(Box::new(self.instance_status())),
            Query::Task { customer, task } => match self.ledger.task(*task) {
                Some(view) if view.customer() == customer => {
                    let open = view.to_open();
                    Answer::Task(Box::new(TaskAnswer {
                        task: open.task,
                        state: open.state,
                        evictions: open.evictions,
                        failures: open.failures,
                        cancelled: open.cancelled,
                        checkpoint: open.checkpoint,
                    }))
                }
                Some(_) | None => Answer::NotFound,
            },
            Query::List { list } => match self.ledger.accepted_list(*list) {
                Some(accepted) => Answer::List {
                    revision: accepted.revision,
                    version: accepted.version,
                    author: accepted.author.clone(),
                    text: accepted.text.to_string(),
                },
                None => Answer::NotFound,
            },
        }
    }

    fn instance_status(&self) -> InstanceStatus {
        let status = self.consensus.status();
        let policy = self.ledger.policy();
        InstanceStatus {
            instance: self.config.me.instance,
            name: self.config.me.name.clone(),
            centre: self.config.me.centre.clone(),
            role: status.role.to_string(),
            term: status.term,
            leader: status.leader,
            committed: status.commit,
            applied: self.ledger.applied(),
            voters: status.members.voters,
            plans: policy.plans_revision,
            usage: policy.usage_revision,
            centres: self
                .ledger
                .epoch_holders()
                .map(|(centre, epoch, holder)| CentreStatus {
                    centre: centre.clone(),
                    epoch,
                    holder,
                })
                .collect(),
            alive: self.alive.iter().map(|info| info.name.clone()).collect(),
            open_tasks: self.ledger.open_task_count() as u64,
            counts: self
                .ledger
                .counts()
                .map(|(customer, requests)| CustomerCount { customer: customer.clone(), requests })
                .collect(),
        }
    }
}

fn recorded(request: RequestId) -> Output {
    Output::router(router::Event::Recorded { request })
}

fn task_event(task: TaskId, event: String) -> Output {
    Output::Effect(Effect::Log(LogEvent::Task { task, event }))
}

fn claim_answer(reply: Reply) -> ClaimAnswer {
    match reply {
        Reply::Claimed => ClaimAnswer::Claimed,
        Reply::AlreadyClaimed { result } => ClaimAnswer::AlreadyClaimed(result),
        Reply::Refused(crate::command::Refusal::KeyReused) => ClaimAnswer::KeyReused,
        Reply::Refused(_)
        | Reply::Edited { .. }
        | Reply::Rejected(_)
        | Reply::Conflict { .. }
        | Reply::Submitted { .. }
        | Reply::Done
        | Reply::Granted { .. } => ClaimAnswer::Unavailable,
    }
}
