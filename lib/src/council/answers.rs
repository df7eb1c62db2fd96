//! What the council's part tells the other parts and those who asked it.

use super::{
    Answer, Asker, Change, Council, Edge, Facts, InstanceId, Note, Output, Pending, Reply,
    RequestId, Time, directory, router, scheduler,
};
use crate::{
    ids::{DataCentre, Epoch, TaskId},
    instance::port::{CentreStatus, CustomerCount, InstanceStatus, Question, TaskAnswer},
    router::port::ClaimAnswer,
    task::{OpenTask, TaskState},
};

impl Council {
    /// Tells a part that its command was applied; `granted` is an epoch that it made, if any.
    pub(super) fn reply(
        &mut self,
        now: Time,
        pending: &Pending,
        reply: Reply,
        granted: Option<Epoch>,
        out: &mut Vec<Output>,
    ) {
        match &pending.asker {
            Asker::Front { ticket, .. } => {
                let answer = Box::new(Answer::Reply(reply));
                out.push(Output::Edge(Edge::Answer { ticket: *ticket, answer }));
            }
            Asker::Claim { request } => {
                let answer = claim_answer(reply);
                let event = router::Event::ClaimAnswered { request: *request, answer };
                out.push(Output::router(event));
            }
            Asker::Settle { request } => out.push(recorded(*request)),
            Asker::Start { attempt } => {
                let attempt = *attempt;
                out.push(Output::scheduler(match reply == Reply::Done {
                    true => scheduler::Event::StartRecorded { attempt },
                    false => scheduler::Event::StartRefused { attempt },
                }));
            }
            Asker::Yield { attempt } => {
                let attempt = *attempt;
                out.push(Output::scheduler(scheduler::Event::YieldRecorded { attempt }));
            }
            Asker::End { attempt } => {
                let attempt = *attempt;
                out.push(Output::scheduler(scheduler::Event::EndRecorded { attempt }));
            }
            Asker::Counts => out.extend(self.counts.recorded().into_iter().map(recorded)),
            Asker::Hold => {
                self.hold.answered(now, granted);
                self.tell_hold(now, out);
            }
        }
    }

    /// Tells a part that its command found no leader in time.
    pub(super) fn give_up(&self, asker: &Asker, sent: bool, out: &mut Vec<Output>) {
        match asker {
            Asker::Front { ticket, .. } => {
                let answer = Box::new(if sent { Answer::Unknown } else { Answer::NotTaken });
                out.push(Output::Edge(Edge::Answer { ticket: *ticket, answer }));
            }
            Asker::Claim { request } => {
                let (request, answer) = (*request, ClaimAnswer::Unavailable);
                out.push(Output::router(router::Event::ClaimAnswered { request, answer }));
            }
            Asker::Hold
            | Asker::Settle { .. }
            | Asker::Start { .. }
            | Asker::Yield { .. }
            | Asker::End { .. }
            | Asker::Counts => {}
        }
    }

    /// Passes a change of the ledger on to the parts that act on it.
    pub(super) fn tell(&mut self, now: Time, change: Change, out: &mut Vec<Output>) {
        match change {
            Change::Policy(policy) => {
                let (plans, usage) = (policy.plans_revision, policy.usage_revision);
                out.push(Output::Edge(Edge::Note(Note::Policy { plans, usage })));
                out.push(Output::scheduler(scheduler::Event::Policy(policy.clone())));
                out.push(Output::router(router::Event::Policy(policy.clone())));
                out.push(Output::Edge(Edge::Policy(policy)));
            }
            Change::Queued(task) => {
                out.push(note_task(task.task, "queued".to_owned()));
                if self.places_here(&task) {
                    out.push(Output::scheduler(scheduler::Event::Open(task)));
                } else if task.spec.centre.is_none() {
                    self.spill.add(now, task.task);
                }
            }
            Change::Started { attempt, centre, worker } => {
                let event = format!("attempt {} recorded on {worker}", attempt.attempt);
                out.push(note_task(attempt.task, event));
                self.spill.remove(attempt.task);
                if centre != self.config.me.centre
                    && let Some(task) = self.ledger.task(attempt.task)
                {
                    // A scheduler that waits to place the task learns that another one did.
                    let open = Box::new(task.to_open());
                    out.push(Output::scheduler(scheduler::Event::Open(open)));
                }
            }
            Change::Yielded { attempt } => {
                out.push(note_task(attempt.task, format!("attempt {} stopped", attempt.attempt)));
            }
            Change::Ended { attempt, outcome } => {
                out.push(note_task(attempt.task, format!("ended: {}", outcome.name())));
                self.spill.remove(attempt.task);
                out.push(Output::scheduler(scheduler::Event::EndRecorded { attempt }));
            }
            Change::CancelAsked { task } => {
                out.push(Output::scheduler(scheduler::Event::Cancelled { task }));
            }
            Change::CentreGranted { centre, epoch, holder } => {
                self.tell_epoch(now, centre, epoch, Some(holder), out);
            }
            Change::CentreReleased { centre, epoch } => {
                self.tell_epoch(now, centre, epoch, None, out);
            }
        }
    }

    /// Tells the other parts everything, after a start or a snapshot.
    pub(super) fn tell_all(&mut self, now: Time, out: &mut Vec<Output>) {
        self.tell(now, Change::Policy(self.ledger.policy().clone()), out);
        let centre = self.config.me.centre.clone();
        if let Some((epoch, holder)) = self.ledger.centre(&centre) {
            self.tell_epoch(now, centre, epoch, Some(holder), out);
        }
    }

    /// Offers a task that waits at another data centre to this one's scheduler.
    pub(super) fn offer(&self, task: TaskId, out: &mut Vec<Output>) {
        if let Some(view) = self.ledger.task(task)
            && self.hold.held(&self.ledger).is_some()
            && view.outcome().is_none()
        {
            out.push(Output::scheduler(scheduler::Event::Open(Box::new(view.to_open()))));
        }
    }

    fn tell_epoch(
        &mut self,
        now: Time,
        centre: DataCentre,
        epoch: Epoch,
        holder: Option<InstanceId>,
        out: &mut Vec<Output>,
    ) {
        let ours = centre == self.config.me.centre;
        out.push(Output::Edge(Edge::Note(Note::Epoch { centre, epoch, holder })));
        if ours {
            self.tell_hold(now, out);
        }
    }

    /// Tells the scheduler whether this process holds the data centre's epoch; if it does, it gets
    /// to know every open task that it is to look after first.
    fn tell_hold(&mut self, now: Time, out: &mut Vec<Output>) {
        let epoch = self.hold.held(&self.ledger);
        if epoch.is_some() {
            let open: Vec<_> = self.ledger.open_tasks().map(|view| view.to_open()).collect();
            for task in open {
                if self.places_here(&task) {
                    out.push(Output::scheduler(scheduler::Event::Open(Box::new(task))));
                } else if task.spec.centre.is_none() && task.running().is_none() {
                    self.spill.add(now, task.task);
                }
            }
        }
        let centre = self.config.me.centre.clone();
        out.push(Output::scheduler(scheduler::Event::Hold { centre, epoch }));
    }

    /// Whether this data centre's scheduler looks after the task.
    ///
    /// A task that may run anywhere has one data centre by its number, so that two schedulers
    /// don't try to start it at once; the ledger would refuse the second.
    fn places_here(&self, task: &OpenTask) -> bool {
        let mine = &self.config.me.centre;
        if let TaskState::Running { centre, .. } = &task.state {
            return centre == mine;
        }
        match &task.spec.centre {
            Some(centre) => centre == mine,
            None => self.ledger.home_of(task.task) == Some(mine),
        }
    }

    /// Tells the directory what is known now, if it changed.
    pub(super) fn tell_facts(&mut self, out: &mut Vec<Output>) {
        let status = self.consensus.status();
        let policy = self.ledger.policy();
        let centre = &self.config.me.centre;
        let held = self.hold.held(&self.ledger).map(|epoch| (centre.clone(), epoch));
        let facts = Facts {
            member: status.last.0 > 0,
            applied: self.ledger.applied(),
            plans: policy.plans_revision,
            usage: policy.usage_revision,
            held: held.into_iter().collect(),
        };
        if facts != self.facts {
            self.facts = facts.clone();
            out.push(Output::directory(directory::Event::Facts(Box::new(facts))));
        }
    }

    /// Answers a question from the ledger.
    pub(super) fn answer(&self, question: &Question) -> Answer {
        match question {
            Question::Status => Answer::Status(Box::new(self.instance_status())),
            Question::Task { customer, task } => match self.ledger.task(*task) {
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
            Question::List { list } => match self.ledger.list_text(*list) {
                Some(standing) => Answer::List {
                    revision: standing.revision,
                    version: standing.version,
                    author: standing.author.clone(),
                    text: standing.text.to_string(),
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
                .centres()
                .map(|(centre, epoch, holder)| CentreStatus {
                    centre: centre.clone(),
                    epoch,
                    holder,
                })
                .collect(),
            alive: self.alive.iter().map(|info| info.name.clone()).collect(),
            open_tasks: self.ledger.open_count() as u64,
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

fn note_task(task: TaskId, event: String) -> Output {
    Output::Edge(Edge::Note(Note::Task { task, event }))
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
