//! What must hold for a deployment once it is calm, and the jobs that tell whether it does.

use std::collections::BTreeSet;

use hickorylink_lib::{
    ids::InstanceId,
    jobs::{
        call::{Action, Call},
        controller::Event,
        model::{JobId, JobSpec},
    },
};

use crate::{
    deployment::{Deployment, VOTERS},
    world::{HOST, path, step},
};

impl Deployment {
    /// Submits a job to the leader, if there is one. It is retained once it is accepted.
    pub(crate) fn submit(&mut self) {
        let Some(leader) = self.leader() else { return };
        let job = JobId(self.next_number());
        let spec = JobSpec { text: "spec".into(), steps: vec![step(1)], schedule: None };
        let call =
            Call { host: HOST.into(), path: path(job.0).into(), action: Action::Submit(spec) };
        let ticket = self.send(leader, |ticket| Event::Call { ticket, call });
        self.submitted.insert(ticket, job);
    }

    /// Why the members aren't those of a calm deployment: each live controller is a member, each
    /// voter is alive, and as many vote as the leader aims at.
    pub(crate) fn members_error(&self) -> Option<String> {
        let Some(leader) = self.leader() else { return Some("no controller leads".to_owned()) };
        let members = self.controller(leader).status().members;
        let live: BTreeSet<InstanceId> =
            self.running().iter().map(|host| self.machines[host].me.id).collect();
        let strangers: Vec<u8> = self
            .running()
            .into_iter()
            .filter(|host| !members.contains(self.machines[host].me.id))
            .collect();
        let gone = members.voters.iter().filter(|voter| !live.contains(voter)).count();
        let (voters, wanted) = (members.voters.len() - gone, VOTERS.min(live.len()));
        let valid = strangers.is_empty() && gone == 0 && voters >= wanted;
        (!valid).then(|| {
            format!(
                "host {leader} leads; {voters} of {wanted} voters are alive and {gone} gone; \
                 no members: {strangers:?}"
            )
        })
    }

    /// What a live controller doesn't have of the configuration and the accepted jobs.
    pub(crate) fn state_error(&self) -> Option<String> {
        let findings: Vec<String> = self
            .controllers()
            .filter_map(|(host, controller)| {
                let state = controller.committed();
                let lost = self.accepted.iter().filter(|job| !state.jobs.contains_key(job)).count();
                let valid = state.config.is_some() && lost == 0;
                let configured = state.config.is_some();
                (!valid).then(|| {
                    format!("host {host}: configured: {configured}, {lost} accepted jobs are lost")
                })
            })
            .collect();
        (!findings.is_empty()).then(|| findings.join("; "))
    }

    /// All findings on a deployment that has been calm.
    pub(crate) fn check(&self) -> Result<(), String> {
        let findings: Vec<String> =
            self.members_error().into_iter().chain(self.state_error()).collect();
        if findings.is_empty() { Ok(()) } else { Err(findings.join("; ")) }
    }
}
