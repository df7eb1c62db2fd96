//! Sends requests to targets and commands to workers over HTTP.

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
    duty::{RETRY_DELAY, scheduler::Input as SchedulerInput},
    http::{self, Pool, TargetCall},
    outboxes::{Outboxes, Rings},
};

/// How long a worker may take to accept a batch of commands.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum number of events of asynchronous tasks that may wait for this duty; as many as attempts can be in
/// flight.
const MAX_TASK_EVENTS: usize = 65_536;

/// How often connections that were idle for too long are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// What the asynchronous tasks of this duty report to it.
enum TaskEvent {
    AttemptEnded(AttemptId, AttemptEnd),
    Progress(AttemptId),
    WorkerUnreachable(WorkerName),
}

/// Runs until the ring is closed.
pub async fn dispatch(
    mut ring: mpsc::Receiver<DispatchCommand>,
    rings: Rings,
    mut outboxes: Outboxes,
    log: Logger,
) {
    let (events, mut task_events) = mpsc::channel(MAX_TASK_EVENTS);
    let mut duty = Dispatch { pool: Pool::default(), in_flight: HashMap::new(), events, log };
    let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
    loop {
        let waiting = outboxes.flush();
        tokio::select! {
            command = ring.recv() => match command {
                Some(command) => duty.handle(command),
                None => return,
            },
            Some(event) = task_events.recv() => duty.handle_task_event(event, &rings, &mut outboxes),
            _ = sweep.tick() => duty.pool.sweep(),
            () = tokio::time::sleep(RETRY_DELAY), if waiting > 0 => {}
        }
    }
}

struct Dispatch {
    pool: Pool,
    in_flight: HashMap<AttemptId, AbortHandle>,
    events: mpsc::Sender<TaskEvent>,
    log: Logger,
}

impl Dispatch {
    fn handle(&mut self, command: DispatchCommand) {
        match command {
            DispatchCommand::Request { attempt, target, fresh, customer, path, body, timeout } => {
                let call = TargetCall { attempt, target, customer, path, body };
                self.send_request(call, fresh, timeout);
            }
            DispatchCommand::Abandon { attempt } => self.abandon(attempt),
            DispatchCommand::CloseIdle { target } => self.pool.close_idle(&target),
            DispatchCommand::Command { worker, address, epoch, fence, commands } => {
                self.post_commands(worker, address, CommandBatch { epoch, fence, commands });
            }
        }
    }

    fn send_request(&mut self, call: TargetCall, fresh: bool, limit: Duration) {
        let (events, pool) = (self.events.clone(), self.pool.clone());
        let attempt = call.attempt;
        let progress = {
            let events = events.clone();
            move || drop(events.try_send(TaskEvent::Progress(attempt)))
        };
        let task = tokio::spawn(async move {
            let end = http::call_target(&pool, call, fresh, limit, progress).await;
            drop(events.send(TaskEvent::AttemptEnded(attempt, end)).await);
        });
        self.in_flight.insert(attempt, task.abort_handle());
    }

    /// Aborts an attempt. Its end is reported once its connection is closed, which frees its slot.
    fn abandon(&self, attempt: AttemptId) {
        let Some(task) = self.in_flight.get(&attempt) else { return };
        task.abort();
        let events = self.events.clone();
        tokio::spawn(async move {
            // The runtime drops the aborted task, and its connection with it, before it runs a task
            // that is spawned later.
            let end = AttemptEnd::Lost { reason: "it was abandoned".to_owned() };
            drop(events.send(TaskEvent::AttemptEnded(attempt, end)).await);
        });
    }

    fn post_commands(&self, worker: WorkerName, address: String, batch: CommandBatch) {
        let (events, log) = (self.events.clone(), self.log.clone());
        let batch = Arc::new(batch);
        tokio::spawn(async move {
            let sent =
                timeout(COMMAND_TIMEOUT, http::post_json(&address, "/v1/commands", &*batch)).await;
            let problem = match sent {
                Ok(Ok(answer)) if answer.status == 200 => return,
                Ok(Ok(answer)) => format!("status {}", answer.status),
                Ok(Err(error)) => error.to_string(),
                Err(_) => format!("no answer within {COMMAND_TIMEOUT:?}"),
            };
            debug!(log, "a worker did not accept commands"; "worker" => %worker, "error" => problem);
            drop(events.send(TaskEvent::WorkerUnreachable(worker)).await);
        });
    }

    fn handle_task_event(&mut self, event: TaskEvent, rings: &Rings, outboxes: &mut Outboxes) {
        match event {
            TaskEvent::AttemptEnded(attempt, end) => {
                // An attempt that ended just as it was aborted is reported only once.
                if self.in_flight.remove(&attempt).is_some() {
                    outboxes.send(Output::router(Event::AttemptEnded { attempt, end }));
                }
            }
            TaskEvent::Progress(attempt) => drop(rings.router.offer(Event::Progress { attempt })),
            TaskEvent::WorkerUnreachable(worker) => {
                let event = scheduler::Event::Unreachable { worker };
                drop(rings.scheduler.offer(SchedulerInput::Event(event)));
            }
        }
    }
}
