//! The edge to callers, workers and operators, as the roles see it.

use std::{
    collections::HashMap,
    io,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::sync::{oneshot, watch};

/// What serves a role's callers.
pub trait Frontend<H>: Send + 'static {
    /// Serves until `stop` says so and the requests under way have ended.
    ///
    /// # Errors
    ///
    /// An address can't be listened on.
    fn serve(
        self,
        handle: H,
        stop: watch::Receiver<bool>,
    ) -> impl Future<Output = io::Result<()>> + Send;
}

/// Requests of a front that wait for their answers.
#[derive(Debug)]
pub struct Waiters<A> {
    next: AtomicU64,
    waiting: Mutex<HashMap<u64, oneshot::Sender<A>>>,
}

impl<A> Default for Waiters<A> {
    fn default() -> Self {
        Self { next: AtomicU64::new(0), waiting: Mutex::default() }
    }
}

/// A request that waits; it is forgotten when it is dropped.
#[derive(Debug)]
pub struct Waiter<A> {
    /// Matches the answer.
    pub ticket: u64,
    answer: oneshot::Receiver<A>,
    waiters: Arc<Waiters<A>>,
}

impl<A> Waiters<A> {
    /// A new request.
    pub fn wait(self: &Arc<Self>) -> Waiter<A> {
        let ticket = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, answer) = oneshot::channel();
        self.lock().insert(ticket, sender);
        Waiter { ticket, answer, waiters: self.clone() }
    }

    /// Answers a request, if its caller still waits.
    pub fn answer(&self, ticket: u64, answer: A) {
        if let Some(sender) = self.lock().remove(&ticket) {
            drop(sender.send(answer));
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u64, oneshot::Sender<A>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<A> Waiter<A> {
    /// The answer; nothing if the instance stops.
    pub async fn answer(mut self) -> Option<A> {
        (&mut self.answer).await.ok()
    }
}

impl<A> Drop for Waiter<A> {
    fn drop(&mut self) {
        self.waiters.lock().remove(&self.ticket);
    }
}
