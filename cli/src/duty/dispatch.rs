//! Dispatch: requests to targets and commands to workers, over HTTP.

use std::{collections::HashMap, sync::Arc, time::Duration};

use hickorylink_lib::{
    ids::WorkerName,
    instance::port::{DispatchCommand, Output},
    router::port::{AttemptEnd, AttemptId, Event},
    scheduler::port as scheduler,
    worker::CommandBatch,
};
use slog::{Logger, debug};
use tokio::{sync::mpsc, task::AbortHandle, time::timeout};

use crate::{
    duty::{RETRY, scheduler::Job},
    http::{self, Pool, TargetCall},
    mail::{Mail, Rings},
};

/// How long a worker may take to accept commands.
const COMMAND: Duration = Duration::from_secs(1);

/// Ends of tries that wait for the router; as many as tries can be under way.
const ENDS: usize = 65_536;

/// How often the idle connections are swept.
const SWEEP: Duration = Duration::from_secs(1);

/// What a task of this duty tells the duty.
enum Done {
    Ended(AttemptId, AttemptEnd),
    Progress(AttemptId),
    Unreachable(WorkerName),
}

/// Runs until the ring is closed.
pub async fn dispatch(
    mut ring: mpsc::Receiver<DispatchCommand>,
    rings: Rings,
    mut mail: Mail,
    log: Logger,
) {
    let (done, mut ends) = mpsc::channel(ENDS);
    let mut duty = Dispatch { pool: Pool::default(), under_way: HashMap::new(), done, log };
    let mut sweep = tokio::time::interval(SWEEP);
    loop {
        let waiting = mail.flush();
        tokio::select! {
            order = ring.recv() => match order {
                Some(order) => duty.take(order),
                None => return,
            },
            Some(done) = ends.recv() => duty.ended(done, &rings, &mut mail),
            _ = sweep.tick() => duty.pool.sweep(),
            () = tokio::time::sleep(RETRY), if waiting > 0 => {}
        }
    }
}

struct Dispatch {
    pool: Pool,
    under_way: HashMap<AttemptId, AbortHandle>,
    done: mpsc::Sender<Done>,
    log: Logger,
}

impl Dispatch {
    fn take(&mut self, order: DispatchCommand) {
        match order {
            DispatchCommand::Request { attempt, target, fresh, customer, path, body, timeout } => {
                let call = TargetCall { attempt, target, customer, path, body };
                self.request(call, fresh, timeout);
            }
            DispatchCommand::Abandon { attempt } => self.abandon(attempt),
            DispatchCommand::CloseIdle { target } => self.pool.close_idle(&target),
            DispatchCommand::Command { worker, address, epoch, fence, commands } => {
                self.command(worker, address, CommandBatch { epoch, fence, commands });
            }
        }
    }

    fn request(&mut self, call: TargetCall, fresh: bool, limit: Duration) {
        let (done, pool) = (self.done.clone(), self.pool.clone());
        let attempt = call.attempt;
        let progress = {
            let done = done.clone();
            move || drop(done.try_send(Done::Progress(attempt)))
        };
        let task = tokio::spawn(async move {
            let end = http::call_target(&pool, call, fresh, limit, progress).await;
            drop(done.send(Done::Ended(attempt, end)).await);
        });
        self.under_way.insert(attempt, task.abort_handle());
    }

    /// Gives a try up; its end is reported once its connection is closed, which frees its slot.
    fn abandon(&self, attempt: AttemptId) {
        let Some(task) = self.under_way.get(&attempt) else { return };
        task.abort();
        let done = self.done.clone();
        tokio::spawn(async move {
            // The aborted task has been dropped by the runtime, and its connection with it, before
            // a task that is spawned after it runs.
            let end = AttemptEnd::Lost { reason: "it was given up".to_owned() };
            drop(done.send(Done::Ended(attempt, end)).await);
        });
    }

    fn command(&self, worker: WorkerName, address: String, batch: CommandBatch) {
        let (done, log) = (self.done.clone(), self.log.clone());
        let batch = Arc::new(batch);
        tokio::spawn(async move {
            let sent = timeout(COMMAND, http::post_json(&address, "/v1/commands", &*batch)).await;
            let problem = match sent {
                Ok(Ok(answer)) if answer.status == 200 => return,
                Ok(Ok(answer)) => format!("status {}", answer.status),
                Ok(Err(error)) => error.to_string(),
                Err(_) => format!("no answer within {COMMAND:?}"),
            };
            debug!(log, "a worker took no commands"; "worker" => %worker, "error" => problem);
            drop(done.send(Done::Unreachable(worker)).await);
        });
    }

    fn ended(&mut self, done: Done, rings: &Rings, mail: &mut Mail) {
        match done {
            Done::Ended(attempt, end) => {
                // A try has one end, also if it was given up just as it ended.
                if self.under_way.remove(&attempt).is_some() {
                    mail.deliver(Output::router(Event::AttemptEnded { attempt, end }));
                }
            }
            Done::Progress(attempt) => drop(rings.router.offer(Event::Progress { attempt })),
            Done::Unreachable(worker) => {
                let event = scheduler::Event::Unreachable { worker };
                drop(rings.scheduler.offer(Job::Event(event)));
            }
        }
    }
}
