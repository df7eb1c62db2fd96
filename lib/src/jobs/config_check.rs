//! The check of a configuration before it is sent: errors, entries and limits that can't work, and what
//! a change does to waiting and running work.
//!
//! Takes time in proportion to the number of queues and services, apart from a logarithmic factor.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use crate::{
    data,
    jobs::config::{Config, Field, Queue, Service},
};

data! {
    /// How severe a finding is.
    #[derive(Copy, PartialOrd, Ord)]
    pub enum Severity {
        /// Something differs from the version in force.
        Difference,
        /// Controllers accept it, but it can't work as written.
        Warning,
        /// Controllers refuse the configuration.
        Error,
    }

    /// What a finding is about. Positions are indexes in the lists of the checked configuration; an entry
    /// that only the version in force has is without one.
    #[derive(Copy)]
    pub enum Entry {
        /// The configuration as a whole.
        Config,
        /// A queue.
        Queue(Option<usize>),
        /// A service.
        Service(Option<usize>),
    }

    /// One result of the check.
    pub struct CheckFinding {
        /// How severe it is.
        pub severity: Severity,
        /// What it is about.
        pub entry: Entry,
        /// The field, unless it is about all of the entry.
        pub field: Option<Field>,
        /// What was found. A queue or service is named.
        pub message: String,
    }
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Difference => "difference",
            Self::Warning => "warning",
            Self::Error => "error",
        })
    }
}

/// Finds the errors for which a controller refuses the configuration, and what can't work as written.
pub fn check(config: &Config) -> Vec<CheckFinding> {
    let errors = config.errors().into_iter().map(|error| CheckFinding {
        severity: Severity::Error,
        entry: Entry::Queue(Some(error.queue)),
        field: Some(error.field),
        message: error.message,
    });
    let mut findings: Vec<_> = errors.collect();
    let mut names = BTreeSet::new();
    let mut standby = BTreeSet::new();
    for (at, service) in config.services.iter().enumerate() {
        if !names.insert(&service.name) {
            let message = format!("service \"{}\": an earlier service has this name", service.name);
            findings.push(warning(Entry::Service(Some(at)), Field::Name, message));
        }
        if service.standby {
            standby.insert(&service.name);
        }
    }
    let mut names = BTreeSet::new();
    for (at, queue) in config.queues.iter().enumerate() {
        let mut add = |field, reason: &str| {
            let message = format!("queue \"{}\": {reason}", queue.name);
            findings.push(warning(Entry::Queue(Some(at)), field, message));
        };
        if !names.insert(&queue.name) {
            add(
                Field::Name,
                "an earlier queue has this name, and the jobs of both get its service, priority and limits",
            );
        }
        if standby.contains(&queue.service) {
            let reason = format!(
                "service \"{}\" is on standby: tasks wait until it has workers",
                queue.service
            );
            add(Field::Service, &reason);
        }
        check_address(queue, &mut add);
        check_limits(queue, &mut add);
    }
    findings
}

fn warning(entry: Entry, field: Field, message: String) -> CheckFinding {
    CheckFinding { severity: Severity::Warning, entry, field: Some(field), message }
}

/// Finds a host and a prefix that no call can have.
fn check_address(queue: &Queue, add: &mut impl FnMut(Field, &str)) {
    let in_host = |c: char| c.is_ascii_graphic() && !"/?#@\\\"<>".contains(c);
    if queue.host.is_empty() {
        add(Field::Host, "the host is empty: only calls without a host match");
    } else if !queue.host.chars().all(in_host) {
        add(Field::Host, "no call has this host: it has characters that no host has");
    }
    if !queue.prefix.is_empty() && !queue.prefix.starts_with('/') {
        add(Field::Prefix, "no call has this prefix: a path begins with \"/\"");
    }
    if queue.prefix.chars().any(|c| c.is_ascii_control() || " ?#".contains(c)) {
        add(Field::Prefix, "no call has this prefix: it has characters that no path has");
    }
}

/// Finds limits that contradict each other.
fn check_limits(queue: &Queue, add: &mut impl FnMut(Field, &str)) {
    let (timeout, target) = (queue.timeout, queue.target_latency);
    if timeout != 0 && timeout < target {
        add(
            Field::Timeout,
            &format!(
                "the timeout of {timeout} ms is below the objective, which is at least {target} ms"
            ),
        );
    }
    let Some(advice) = queue.advice else { return };
    let shortest = advice.decide.saturating_add(advice.period);
    if shortest >= advice.valid {
        add(
            Field::Advice,
            &format!(
                "advice on one worker takes {shortest} ms, but is valid for {} ms only",
                advice.valid
            ),
        );
    }
}

/// Finds what differs from the configuration in force, and what each difference does to waiting and running
/// work. Of several entries with one name, the first counts, as for the controllers.
pub fn compare(config: &Config, in_force: &Config) -> Vec<CheckFinding> {
    let mut findings = Vec::new();
    compare_queues(config, in_force, &mut findings);
    compare_services(config, in_force, &mut findings);
    let (new, old) = (config.version, in_force.version);
    // The version in force itself is no difference.
    let repeated = new == old && findings.is_empty();
    if !repeated {
        let change = match new == old {
            true => format!("the version stays {new}"),
            false => format!("the version changes from {old} to {new}"),
        };
        let effect = match new > old {
            true => "it comes into force when it is sent",
            false => {
                "it is not above the version in force: the controllers ignore the whole configuration, \
                 though they answer 200"
            }
        };
        let message = format!("{change}: {effect}");
        let field = Some(Field::Version);
        findings.insert(0, difference(Entry::Config, field, message));
    }
    findings
}

fn difference(entry: Entry, field: Option<Field>, message: String) -> CheckFinding {
    CheckFinding { severity: Severity::Difference, entry, field, message }
}

fn compare_queues(config: &Config, in_force: &Config, findings: &mut Vec<CheckFinding>) {
    let mut old = BTreeMap::new();
    for queue in &in_force.queues {
        old.entry(&queue.name).or_insert(queue);
    }
    let mut seen = BTreeSet::new();
    for (at, queue) in config.queues.iter().enumerate() {
        if !seen.insert(&queue.name) {
            continue;
        }
        let entry = Entry::Queue(Some(at));
        let Some(old) = old.remove(&queue.name) else {
            let message = format!(
                "queue \"{}\" is added: its address is served; other queues' work isn't affected unless \
                 its prefix extends theirs",
                queue.name
            );
            findings.push(difference(entry, None, message));
            continue;
        };
        compare_queue(old, queue, &mut |field, change| {
            let message = format!("queue \"{}\": {change}", queue.name);
            findings.push(difference(entry, Some(field), message));
        });
    }
    let removed = in_force.queues.iter().filter(|queue| old.remove(&queue.name).is_some());
    findings.extend(removed.map(|queue| {
        let message = format!(
            "queue \"{}\" is removed: its address gets 404, so its jobs can't be shown or cancelled any \
             more; waiting tasks don't start, running tasks go on",
            queue.name
        );
        difference(Entry::Queue(None), None, message)
    }));
}

fn compare_queue(old: &Queue, new: &Queue, add: &mut impl FnMut(Field, String)) {
    let mut changed = |field, what: &str, (old, new): (String, String), effect: &str| {
        if old != new {
            add(field, format!("{what} changes from {old} to {new}: {effect}"));
        }
    };
    let address =
        "calls at the old address get 404 unless another queue has it; jobs and tasks go on";
    changed(Field::Host, "the host", (quoted(&old.host), quoted(&new.host)), address);
    changed(Field::Prefix, "the prefix", (quoted(&old.prefix), quoted(&new.prefix)), address);
    changed(
        Field::Service,
        "the service",
        (quoted(old.service.as_str()), quoted(new.service.as_str())),
        "waiting tasks start on workers of the new one, running tasks go on where they are",
    );
    changed(
        Field::Priority,
        "the priority",
        (old.priority.to_string(), new.priority.to_string()),
        "waiting tasks are sorted anew at once, running tasks go on",
    );
    changed(
        Field::MaxAttempts,
        "the number of attempts",
        (old.max_attempts.to_string(), new.max_attempts.to_string()),
        "it applies to accepted jobs too: one with a task that has failed as often fails when a run of the \
         task ends",
    );
    let objective = "accepted jobs get the new objective, and waiting tasks are sorted anew at once; running \
                     tasks go on";
    let slack = |queue: &Queue| format!("{}", queue.slack as f64 / 1000.0);
    changed(Field::Slack, "the slack factor", (slack(old), slack(new)), objective);
    let target = |queue: &Queue| format!("{} ms", queue.target_latency);
    changed(Field::TargetLatency, "the target latency", (target(old), target(new)), objective);
    let timeout = |queue: &Queue| match queue.timeout {
        u64::MAX => "none".to_owned(),
        timeout => format!("{timeout} ms"),
    };
    let unused = "the controllers don't use it, so waiting and running work isn't affected";
    changed(Field::Timeout, "the timeout", (timeout(old), timeout(new)), unused);
    let advice = |queue: &Queue| match queue.advice {
        None => "none".to_owned(),
        Some(advice) => {
            format!("{} ms + {} ms, valid {} ms", advice.decide, advice.period, advice.valid)
        }
    };
    changed(Field::Advice, "the advice", (advice(old), advice(new)), unused);
}

fn compare_services(config: &Config, in_force: &Config, findings: &mut Vec<CheckFinding>) {
    let mut old = BTreeMap::new();
    for service in &in_force.services {
        old.entry(&service.name).or_insert(service);
    }
    let mut seen = BTreeSet::new();
    for (at, service) in config.services.iter().enumerate() {
        if !seen.insert(&service.name) {
            continue;
        }
        let entry = Entry::Service(Some(at));
        let Some(old) = old.remove(&service.name) else {
            let message =
                format!("service \"{}\" is added: its workers are accepted", service.name);
            findings.push(difference(entry, None, message));
            continue;
        };
        compare_service(old, service, &mut |field, change| {
            let message = format!("service \"{}\": {change}", service.name);
            findings.push(difference(entry, Some(field), message));
        });
    }
    let removed = in_force.services.iter().filter(|service| old.remove(&service.name).is_some());
    findings.extend(removed.map(|service| {
        let message = format!(
            "service \"{}\" is removed: its workers are refused once they restart or are new; running \
             tasks go on",
            service.name
        );
        difference(Entry::Service(None), None, message)
    }));
}

fn compare_service(old: &Service, new: &Service, add: &mut impl FnMut(Field, String)) {
    let fields = [
        (
            Field::RejectsOverload,
            "rejection of overload",
            old.rejects_overload,
            new.rejects_overload,
        ),
        (Field::Standby, "standby", old.standby, new.standby),
    ];
    for (field, what, old, new) in fields {
        if old != new {
            add(
                field,
                format!(
                    "{what} changes from {old} to {new}: the controllers don't use it, so waiting and \
                     running work isn't affected"
                ),
            );
        }
    }
}

fn quoted(text: &str) -> String {
    format!("\"{text}\"")
}
