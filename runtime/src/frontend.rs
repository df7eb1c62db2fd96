//! The interface between a role and the server that its callers, workers and operators reach.

use std::{
    collections::HashMap,
    io,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::sync::{oneshot, watch};

/// A server that passes requests to a role through the handle `H` and returns its answers.
pub trait Frontend<H>: Send + 'static {
    /// Serves until `stop` becomes true and the requests in progress have ended.
    ///
    /// # Errors
    ///
    /// The server can't listen on its address.
    fn serve(
        self,
        handle: H,
        stop: watch::Receiver<bool>,
    ) -> impl Future<Output = io::Result<()>> + Send;
}

/// The pending requests of a frontend, by ticket.
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

/// A pending request; dropping it removes it from its [`Waiters`].
#[derive(Debug)]
pub struct Waiter<A> {
    /// Identifies the request to [`Waiters::answer`].
    pub ticket: u64,
    answer: oneshot::Receiver<A>,
    waiters: Arc<Waiters<A>>,
}

impl<A> Waiters<A> {
    /// Registers a new request.
    pub fn wait(self: &Arc<Self>) -> Waiter<A> {
        let ticket = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, answer) = oneshot::channel();
        self.lock().insert(ticket, sender);
        Waiter { ticket, answer, waiters: self.clone() }
    }

    /// Answers a request if it is still pending.
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
    /// Waits for the answer; returns `None` if the instance stops first.
    pub async fn answer(mut self) -> Option<A> {
        (&mut self.answer).await.ok()
    }
}

impl<A> Drop for Waiter<A> {
    fn drop(&mut self) {
        self.waiters.lock().remove(&self.ticket);
    }
}
