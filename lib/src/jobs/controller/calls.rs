//! Customers' calls and operators' orders.

use crate::{
    jobs::{
        call::{Action, Call, Order, OrderReply, Reply},
        controller::{Answer, Controller, Effect, Note, Ticket},
        model::{JobId, JobSpec},
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
            return self.refer(ticket, out);
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
            Action::Cancel => self.cancel(now, ticket, id, out),
        }
    }

    fn submit(
        &mut self,
        now: Time,
        wall: WallTime,
        ticket: Ticket,
        (id, queue, spec): (JobId, crate::jobs::model::QueueName, JobSpec),
        out: &mut Vec<Effect>,
    ) {
        if self.committed.jobs.contains_key(&id) {
            return self.answer(now, ticket, Answer::Reply(Reply::Accepted), out);
        }
        if let Some(defect) = spec.defect() {
            let reply = Reply::Invalid(defect.into());
            return self.answer(now, ticket, Answer::Reply(reply), out);
        }
        let Some(lead) = &mut self.lead else { return };
        // A job that isn't committed yet is answered with the records that are under way.
        if !lead.state.jobs.contains_key(&id) {
            let (what, name) = ("accepted", queue.to_string());
            out.push(Effect::Note(Note::Job { id: id.hex(), what, queue: name, age_ms: 0 }));
            lead.wall = wall;
            lead.record(Record::Submit { id, queue, at: wall, spec });
        }
        lead.answers.push((ticket, Answer::Reply(Reply::Accepted)));
    }

    fn cancel(&mut self, now: Time, ticket: Ticket, id: JobId, out: &mut Vec<Effect>) {
        let Some(lead) = &mut self.lead else { return };
        let Some(job) = lead.state.jobs.get(&id) else {
            return self.answer(now, ticket, Answer::Reply(Reply::NoJob), out);
        };
        if job.phase.is_open() {
            lead.record(Record::Cancel { id });
            lead.retain(now, id);
        }
        lead.answers.push((ticket, Answer::Reply(Reply::Cancelled)));
    }

    pub(super) fn order(&mut self, now: Time, ticket: Ticket, order: Order, out: &mut Vec<Effect>) {
        if !self.leads(now) {
            return self.refer(ticket, out);
        }
        match order {
            Order::Show => {
                let reply = match &self.committed.config {
                    Some(config) => OrderReply::Config(config.clone()),
                    None => OrderReply::NoConfig,
                };
                self.answer(now, ticket, Answer::Order(reply), out);
            }
            Order::Configure(config) => {
                let Some(lead) = &mut self.lead else { return };
                let held = lead.state.config.as_ref().map(|held| held.version);
                if held.is_none_or(|held| held < config.version) {
                    lead.record(Record::Configure(*config));
                    lead.requeue();
                }
                lead.answers.push((ticket, Answer::Order(OrderReply::Stored)));
            }
        }
    }
}

fn show(state: &State, id: JobId) -> Reply {
    match state.jobs.get(&id) {
        Some(job) => Reply::Job(job.phase),
        None => Reply::NoJob,
    }
}
