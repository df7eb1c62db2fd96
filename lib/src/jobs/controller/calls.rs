//! Customers' calls and operators' requests.

use crate::{
    jobs::{
        call::{Action, Call, OperatorReply, OperatorRequest, Reply},
        controller::{Answer, Controller, Effect, LogEvent, Ticket, leader::Leader},
        evacuation::EvacuationOrder,
        model::{JobId, JobSpec, QueueName},
        record::Record,
        state::State,
    },
    time::{Time, WallTime},
};

impl Controller {
    pub(super) fn call(
        &mut self,
        now: Time,
        wall: WallTime,
        ticket: Ticket,
        call: Call,
        out: &mut Vec<Effect>,
    ) {
        if !self.leads(now) {
            return self.redirect(ticket, out);
        }
        let committed = &self.committed;
        let Some(config) = &committed.config else {
            return self.answer(now, ticket, Answer::Reply(Reply::NotRun), out);
        };
        let Some((queue, rest)) = config.route(&call.host, &call.path) else {
            return self.answer(now, ticket, Answer::Reply(Reply::NoQueue), out);
        };
        if rest.is_empty() {
            let reply = match call.action {
                Action::Show => {
                    Reply::Pending(committed.pending.get(&queue.name).copied().unwrap_or(0))
                }
                Action::Submit(_) | Action::Cancel => {
                    Reply::Invalid("the path names no job".into())
                }
            };
            return self.answer(now, ticket, Answer::Reply(reply), out);
        }
        let Some(id) = JobId::parse(rest) else {
            let reply = Reply::Invalid("a job's number has 16 hexadecimal digits".into());
            return self.answer(now, ticket, Answer::Reply(reply), out);
        };
        let queue = queue.name.clone();
        match call.action {
            Action::Show => {
                let reply = show(committed, id);
                self.answer(now, ticket, Answer::Reply(reply), out);
            }
            Action::Submit(spec) => self.submit(now, wall, ticket, (id, queue, spec), out),
            Action::Cancel => self.cancel(now, ticket, (id, &queue), out),
        }
    }

    fn submit(
        &mut self,
        now: Time,
        wall: WallTime,
        ticket: Ticket,
        (id, queue, spec): (JobId, QueueName, JobSpec),
        out: &mut Vec<Effect>,
    ) {
        if self.committed.jobs.contains_key(&id) {
            return self.answer(now, ticket, Answer::Reply(Reply::Accepted), out);
        }
        if let Some(error) = spec.validation_error() {
            let reply = Reply::Invalid(error.into());
            return self.answer(now, ticket, Answer::Reply(reply), out);
        }
        let Some(leader) = &mut self.leader else { return };
        if leader.state.cancels.contains(id) {
            out.push(job_event(id, "refused", &queue));
            return self.answer(now, ticket, Answer::Reply(Reply::Withdrawn), out);
        }
        // If the job was proposed but isn't committed yet, the answer waits for the pending
        // proposal.
        if !leader.state.jobs.contains_key(&id) {
            out.push(job_event(id, "accepted", &queue));
            leader.wall = wall;
            leader.record(now, Record::Submit { id, queue, at: wall, spec });
        }
        leader.answers.push((ticket, Answer::Reply(Reply::Accepted)));
    }

    fn cancel(
        &mut self,
        now: Time,
        ticket: Ticket,
        (id, queue): (JobId, &QueueName),
        out: &mut Vec<Effect>,
    ) {
        let Some(leader) = &mut self.leader else { return };
        let Some(job) = leader.state.jobs.get(&id) else {
            let known = leader.state.cancels.contains(id);
            if !known && leader.state.cancels.is_full() {
                return self.answer(now, ticket, Answer::Reply(Reply::NotRun), out);
            }
            if !known {
                out.push(job_event(id, "cancelled_early", queue));
            }
            leader.cancel_early(now, id);
            leader.answers.push((ticket, Answer::Reply(Reply::NoJob)));
            return;
        };
        if job.phase.is_open() {
            leader.record(now, Record::Cancel { id });
            leader.schedule_forget(now, id);
        }
        leader.answers.push((ticket, Answer::Reply(Reply::Cancelled)));
    }

    pub(super) fn operator_request(
        &mut self,
        now: Time,
        ticket: Ticket,
        request: OperatorRequest,
        out: &mut Vec<Effect>,
    ) {
        if !self.leads(now) {
            return self.redirect(ticket, out);
        }
        match request {
            OperatorRequest::Show => {
                let reply = match &self.committed.config {
                    Some(config) => OperatorReply::Config(config.clone()),
                    None => OperatorReply::NoConfig,
                };
                self.answer(now, ticket, Answer::Operator(reply), out);
            }
            OperatorRequest::Configure(config) => {
                let Some(leader) = &mut self.leader else { return };
                let current = leader.state.config.as_ref().map(|current| current.version);
                if current.is_none_or(|current| current < config.version) {
                    leader.record(now, Record::Configure(*config));
                    leader.requeue();
                }
                leader.answers.push((ticket, Answer::Operator(OperatorReply::Stored)));
            }
            OperatorRequest::Evacuation(order) => self.evacuation(now, ticket, &order, out),
        }
    }

    fn evacuation(
        &mut self,
        now: Time,
        ticket: Ticket,
        order: &EvacuationOrder,
        out: &mut Vec<Effect>,
    ) {
        let Some(leader) = &mut self.leader else { return };
        if let Some(refusal) = leader.evacuation_refusal(order, &self.config.centres) {
            return self.answer(now, ticket, Answer::Operator(refusal), out);
        }
        leader.order_evacuation(now, order);
        // If the order was proposed but isn't committed yet, the answer waits for the pending proposal.
        leader.answers.push((ticket, Answer::Operator(OperatorReply::Stored)));
    }
}

impl Leader {
    /// Cancels a job that may be submitted later.
    fn cancel_early(&mut self, now: Time, id: JobId) {
        if !self.state.cancels.contains(id) {
            self.state.cancels.insert(id);
            self.cancels.push(id);
        }
        self.schedule_forget(now, id);
    }
}

/// The log event of a job that isn't known yet.
fn job_event(id: JobId, state: &'static str, queue: &QueueName) -> Effect {
    let (id, queue) = (id.hex(), queue.to_string());
    Effect::LogEvent(LogEvent::Job { id, state, queue, age_ms: 0 })
}

fn show(state: &State, id: JobId) -> Reply {
    match state.jobs.get(&id) {
        Some(job) => Reply::Job(job.phase),
        None => Reply::NoJob,
    }
}
