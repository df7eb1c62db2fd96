//! The HTTP front end: routes, authentication, and the requests that wait for an answer from
//! another duty.

use std::{
    collections::HashMap,
    hash::Hash,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use hickorylink_lib::{
    burn,
    command::Command,
    ids::{CustomerName, InstanceName, OperatorName, RequestId},
    instance::port::{Answer, Query},
    policy::Policy,
    replicated_log::port as replicated_log,
    router::port::RequestOutcome,
    settings::Settings,
    worker::LeaseAnswer,
};
use poem::{EndpointExt, IntoEndpoint, Route, get, middleware::AddData, post, put};
use slog::Logger;
use tokio::sync::oneshot;

use crate::{
    clock::Clock,
    log::{LevelSwitch, Log},
    metrics::Metrics,
    outboxes::{FrontEvent, Rings},
};

pub mod burn_report;
pub mod credential;
pub mod lists;
pub mod logging;
pub mod outcomes;
pub mod reply;
pub mod services;
pub mod state;
pub mod tasks;
pub mod workers;

/// How long a command may wait to be committed, and how long receiving the body of a submission, a
/// list or a log level may take.
pub const COMMAND_TIMEOUT: Duration = Duration::from_secs(5);

/// The state that the handlers share. Only the front end's thread uses it.
#[derive(Debug)]
pub struct Frontend {
    /// The settings.
    pub settings: Settings,
    /// The rings to the other duties.
    pub rings: Rings,
    /// The process's clock.
    pub clock: Clock,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The log.
    pub log: Logger,
    /// The log level, which can be changed at run time.
    pub level: LevelSwitch,
    policy: RwLock<Arc<Policy>>,
    next_ticket: AtomicU64,
    draining: AtomicBool,
    answers: PendingReplies<u64, Answer>,
    requests: PendingReplies<RequestId, RequestOutcome>,
    announcements: PendingReplies<u64, Result<LeaseAnswer, String>>,
    explanations: PendingReplies<u64, Option<serde_json::Value>>,
    burn_reports: PendingReplies<u64, burn::Report>,
}

/// Callers that wait for an answer, by the key that the answer will carry.
#[derive(Debug)]
struct PendingReplies<K, V> {
    senders: Mutex<HashMap<K, oneshot::Sender<V>>>,
}

impl<K: Eq + Hash, V> PendingReplies<K, V> {
    fn new() -> Self {
        Self { senders: Mutex::new(HashMap::new()) }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<K, oneshot::Sender<V>>> {
        self.senders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn register(&self, key: K) -> oneshot::Receiver<V> {
        let (sender, receiver) = oneshot::channel();
        self.lock().insert(key, sender);
        receiver
    }

    fn complete(&self, key: &K, value: V) {
        if let Some(sender) = self.lock().remove(key) {
            drop(sender.send(value));
        }
    }

    fn remove(&self, key: &K) -> bool {
        self.lock().remove(key).is_some()
    }
}

/// Tells the router if the caller disconnects before the answer comes.
struct CallerGuard<'d> {
    front: &'d Frontend,
    request: RequestId,
}

impl Drop for CallerGuard<'_> {
    fn drop(&mut self) {
        if self.front.requests.remove(&self.request) {
            let event = hickorylink_lib::router::port::Event::CallerGone { request: self.request };
            drop(self.front.rings.router.push(event));
        }
    }
}

impl Frontend {
    /// A front end without waiting callers.
    pub fn new(
        settings: Settings,
        rings: Rings,
        clock: Clock,
        metrics: Arc<Metrics>,
        log: &Log,
    ) -> Self {
        Self {
            next_ticket: AtomicU64::new(rand::random()),
            settings,
            rings,
            clock,
            metrics,
            log: log.root.clone(),
            level: log.level.clone(),
            policy: RwLock::default(),
            draining: AtomicBool::new(false),
            answers: PendingReplies::new(),
            requests: PendingReplies::new(),
            announcements: PendingReplies::new(),
            explanations: PendingReplies::new(),
            burn_reports: PendingReplies::new(),
        }
    }

    /// Hands an answer to the caller that waits for it, or stores a new policy.
    pub fn handle_event(&self, event: FrontEvent) {
        match event {
            FrontEvent::Answer(ticket, answer) => self.answers.complete(&ticket, *answer),
            FrontEvent::RequestAnswer(request, outcome) => {
                self.requests.complete(&request, outcome)
            }
            FrontEvent::AnnounceAnswer(ticket, answer) => {
                self.announcements.complete(&ticket, answer)
            }
            FrontEvent::Explanation(ticket, value) => self.explanations.complete(&ticket, value),
            FrontEvent::BurnReport(ticket, report) => self.burn_reports.complete(&ticket, *report),
            FrontEvent::Policy(policy) => {
                *self.policy.write().unwrap_or_else(PoisonError::into_inner) = policy;
            }
        }
    }

    /// Stops accepting commands, and reports the instance as draining to health checks.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Whether the instance is shutting down.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// The policy in force.
    pub fn policy(&self) -> Arc<Policy> {
        self.policy.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The customer with this credential.
    pub fn customer(&self, credential: &str) -> Option<CustomerName> {
        self.policy().customer_by_credential(credential).cloned()
    }

    /// The operator with this credential. The operator of the settings is known only while the plans
    /// list names none.
    pub fn operator(&self, credential: &str) -> Option<OperatorName> {
        let policy = self.policy();
        if policy.operators.is_empty() {
            let first = &self.settings.operator;
            return first.credential.matches(credential).then(|| first.name.clone());
        }
        policy.operator_by_credential(credential).cloned()
    }

    /// The instance's name.
    pub fn name(&self) -> &InstanceName {
        &self.settings.name
    }

    fn ticket(&self) -> u64 {
        self.next_ticket.fetch_add(1, Ordering::Relaxed)
    }

    /// Proposes a command to the replicated log and waits for its result.
    pub async fn command(&self, command: Command) -> Answer {
        let ticket = self.ticket();
        let answer = self.answers.register(ticket);
        let requester = replicated_log::Requester::Front { ticket, wait: COMMAND_TIMEOUT };
        let event = replicated_log::Event::Propose { requester, command: Box::new(command) };
        if self.is_draining() || self.rings.replicated_log.offer(event).is_err() {
            self.answers.remove(&ticket);
            return Answer::NotAccepted;
        }
        self.await_answer(answer).await
    }

    /// Reads from the ledger.
    pub async fn query(&self, query: Query) -> Answer {
        let ticket = self.ticket();
        let answer = self.answers.register(ticket);
        let event = replicated_log::Event::Query { ticket, query };
        if self.rings.replicated_log.offer(event).is_err() {
            self.answers.remove(&ticket);
            return Answer::NotAccepted;
        }
        self.await_answer(answer).await
    }

    async fn await_answer(&self, answer: oneshot::Receiver<Answer>) -> Answer {
        match tokio::time::timeout(COMMAND_TIMEOUT * 2, answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Answer::Unknown,
        }
    }
}

/// The routes of the HTTP API.
pub fn routes(front: Arc<Frontend>) -> impl IntoEndpoint {
    Route::new()
        .at("/health", get(state::health))
        .at("/metrics", get(state::metrics))
        .at("/v1/status", get(state::status))
        .at("/v1/burn", get(burn_report::show))
        .at("/v1/log-level", put(logging::set_level))
        .at("/v1/services/:service/*path", post(services::call))
        .at("/v1/tasks", post(tasks::submit))
        .at("/v1/tasks/:task", get(tasks::show).delete(tasks::cancel))
        .at("/v1/workers/announce", post(workers::announce))
        .at("/v1/workers/:worker", get(workers::show))
        .at("/v1/lists/:list", get(lists::show).put(lists::apply))
        .at("/v1/lists/:list/check", post(lists::check))
        .with(AddData::new(front))
        .catch_all_error(reply::from_poem)
}
