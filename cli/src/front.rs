//! What the front does with a request: who asks, what for, and which part answers.

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
    mail::{FrontNews, Rings},
    metrics::Metrics,
};

pub mod burn_report;
pub mod credential;
pub mod lists;
pub mod logging;
pub mod reply;
pub mod services;
pub mod state;
pub mod tasks;
pub mod words;
pub mod workers;

/// How long a command may wait for the council.
pub const COMMAND: Duration = Duration::from_secs(5);

/// What the front's handlers share; it belongs to the front's duty alone.
#[derive(Debug)]
pub struct Desk {
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
    /// Which records are logged.
    pub level: LevelSwitch,
    policy: RwLock<Arc<Policy>>,
    next: AtomicU64,
    draining: AtomicBool,
    answers: Waiting<u64, Answer>,
    requests: Waiting<RequestId, RequestOutcome>,
    announcements: Waiting<u64, Result<LeaseAnswer, String>>,
    explained: Waiting<u64, Option<serde_json::Value>>,
    burns: Waiting<u64, burn::Report>,
}

/// Callers that wait for an answer.
#[derive(Debug)]
struct Waiting<K, V> {
    callers: Mutex<HashMap<K, oneshot::Sender<V>>>,
}

impl<K: Eq + Hash, V> Waiting<K, V> {
    fn new() -> Self {
        Self { callers: Mutex::new(HashMap::new()) }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<K, oneshot::Sender<V>>> {
        self.callers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wait(&self, key: K) -> oneshot::Receiver<V> {
        let (sender, receiver) = oneshot::channel();
        self.lock().insert(key, sender);
        receiver
    }

    fn answer(&self, key: &K, value: V) {
        if let Some(caller) = self.lock().remove(key) {
            drop(caller.send(value));
        }
    }

    fn forget(&self, key: &K) -> bool {
        self.lock().remove(key).is_some()
    }
}

/// Tells the router if the caller goes away before the answer.
struct CallerGuard<'d> {
    desk: &'d Desk,
    request: RequestId,
}

impl Drop for CallerGuard<'_> {
    fn drop(&mut self) {
        if self.desk.requests.forget(&self.request) {
            let event = hickorylink_lib::router::port::Event::CallerGone { request: self.request };
            drop(self.desk.rings.router.push(event));
        }
    }
}

impl Desk {
    /// A desk that nobody waits at.
    pub fn new(
        settings: Settings,
        rings: Rings,
        clock: Clock,
        metrics: Arc<Metrics>,
        log: &Log,
    ) -> Self {
        Self {
            next: AtomicU64::new(rand::random()),
            settings,
            rings,
            clock,
            metrics,
            log: log.root.clone(),
            level: log.level.clone(),
            policy: RwLock::default(),
            draining: AtomicBool::new(false),
            answers: Waiting::new(),
            requests: Waiting::new(),
            announcements: Waiting::new(),
            explained: Waiting::new(),
            burns: Waiting::new(),
        }
    }

    /// Passes an answer on to whoever waits for it.
    pub fn take(&self, news: FrontNews) {
        match news {
            FrontNews::Answer(ticket, answer) => self.answers.answer(&ticket, *answer),
            FrontNews::Request(request, outcome) => self.requests.answer(&request, outcome),
            FrontNews::Announce(ticket, answer) => self.announcements.answer(&ticket, answer),
            FrontNews::Explained(ticket, value) => self.explained.answer(&ticket, value),
            FrontNews::Burn(ticket, report) => self.burns.answer(&ticket, *report),
            FrontNews::Policy(policy) => {
                *self.policy.write().unwrap_or_else(PoisonError::into_inner) = policy;
            }
        }
    }

    /// Takes no new work from now on.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Whether the instance is leaving.
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

    /// The operator with this credential; the one in the settings counts while no list stands.
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
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Has the council agree on a command.
    pub async fn command(&self, command: Command) -> Answer {
        let ticket = self.ticket();
        let answer = self.answers.wait(ticket);
        let requester = replicated_log::Requester::Front { ticket, wait: COMMAND };
        let event = replicated_log::Event::Propose { requester, command: Box::new(command) };
        if self.is_draining() || self.rings.replicated_log.offer(event).is_err() {
            self.answers.forget(&ticket);
            return Answer::NotAccepted;
        }
        self.patient(answer).await
    }

    /// Asks the ledger.
    pub async fn query(&self, query: Query) -> Answer {
        let ticket = self.ticket();
        let answer = self.answers.wait(ticket);
        let event = replicated_log::Event::Query { ticket, query };
        if self.rings.replicated_log.offer(event).is_err() {
            self.answers.forget(&ticket);
            return Answer::NotAccepted;
        }
        self.patient(answer).await
    }

    async fn patient(&self, answer: oneshot::Receiver<Answer>) -> Answer {
        match tokio::time::timeout(COMMAND * 2, answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Answer::Unknown,
        }
    }
}

/// All paths.
pub fn routes(desk: Arc<Desk>) -> impl IntoEndpoint {
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
        .with(AddData::new(desk))
        .catch_all_error(reply::from_poem)
}
