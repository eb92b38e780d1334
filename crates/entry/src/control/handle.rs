//! The way from traffic threads to the control thread: actor messages only.

use std::rc::Rc;

use actix::prelude::{Actor, Addr, Context, Handler, Message};
use model::job::{JobRecord, JobSpec};
use model::kind::ErrorKind;
use model::name::{JobId, RequestId, TeamName};
use model::object::ObjectSet;
use tokio::sync::oneshot;
use wire::api::{ApplyReply, StatusReply, SubmitReply};
use wire::peer::{PeerRefusal, SlotPlacement};

use crate::control::requests::PlacedGrant;
use crate::control::{Control, config, jobs, once, ownership, requests, status};
use crate::snapshot::QueueAccess;

/// Most messages that wait for the control thread; senders wait beyond it.
const MAILBOX_BOUND: usize = 4096;

/// The actor that owns the control thread's mailbox.
#[derive(Debug)]
pub struct ControlActor {
    control: Control,
}

impl ControlActor {
    /// Creates the actor of a control thread.
    #[must_use]
    pub const fn new(control: Control) -> Self {
        Self { control }
    }
}

impl Actor for ControlActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.set_mailbox_capacity(MAILBOX_BOUND);
    }
}

type Reply<T> = oneshot::Sender<T>;
/// Refusal of a change with the committed version, where it is known.
pub type ApplyRefusal = (PeerRefusal, Option<u64>);

/// What traffic threads ask of the control thread.
#[derive(Debug)]
pub enum ControlCall {
    /// Find a slot for a request.
    Place(SlotPlacement, Reply<Result<PlacedGrant, PeerRefusal>>),
    /// Give a slot back; false if the request may still run.
    Release(PlacedGrant, bool),
    /// Insert the identifier of a non-idempotent request; answers the row's version.
    Insert(TeamName, RequestId, Reply<Result<u64, PeerRefusal>>),
    /// Delete an inserted identifier whose request was surely not run.
    Erase(TeamName, RequestId, u64, Reply<()>),
    /// Accept a job.
    Submit(JobSpec, QueueAccess, Reply<Result<SubmitReply, PeerRefusal>>),
    /// Read a job's record.
    JobStatus(JobId, Reply<Result<JobRecord, PeerRefusal>>),
    /// Cancel a job of a team.
    Cancel(JobId, TeamName, Reply<Result<JobRecord, PeerRefusal>>),
    /// Publish a checked set on top of a version, under a change identifier.
    Apply(u64, String, Box<ObjectSet>, Reply<Result<ApplyReply, ApplyRefusal>>),
    /// Return the identifier of the change that published a version, if it is known.
    ChangeId(u64, Reply<Option<String>>),
    /// Report to operators.
    Status(Reply<StatusReply>),
    /// Tell whether the balancer may send requests here.
    Ready(Reply<bool>),
    /// Begin to shut down.
    Drain,
    /// Tell whether the ownership was handed over or released.
    Drained(Reply<bool>),
}

impl Message for ControlCall {
    type Result = ();
}

impl Handler<ControlCall> for ControlActor {
    type Result = ();

    fn handle(&mut self, call: ControlCall, _context: &mut Self::Context) {
        let control = Rc::clone(&self.control);
        match call {
            ControlCall::Place(placement, reply) => {
                answer_by(&self.control, requests::place(control, placement), reply);
            }
            ControlCall::Release(grant, ended) => requests::release(&control, grant, ended),
            ControlCall::Insert(team, request, reply) => {
                let waiting = once::insert(&control, &team, &request);
                answer_by(
                    &self.control,
                    async move { waiting.await.unwrap_or_else(|_| Err(stopped())) },
                    reply,
                );
            }
            ControlCall::Erase(team, request, version, reply) => {
                let erase = async move { once::erase(&control, &team, &request, version).await };
                answer_by(&self.control, erase, reply);
            }
            ControlCall::Submit(spec, access, reply) => {
                answer_by(&self.control, jobs::submit::submit(control, spec, access), reply);
            }
            ControlCall::JobStatus(job, reply) => {
                answer_by(&self.control, jobs::status::status(control, job), reply);
            }
            ControlCall::Cancel(job, team, reply) => {
                answer_by(&self.control, jobs::cancel::cancel(control, job, team), reply);
            }
            ControlCall::Apply(base, change, objects, reply) => {
                let apply = config::apply(control, base, change, *objects);
                answer_by(&self.control, apply, reply);
            }
            ControlCall::ChangeId(version, reply) => {
                answer_by(&self.control, config::change_id(control, version), reply);
            }
            ControlCall::Status(reply) => {
                let _ = reply.send(status::report(&control));
            }
            ControlCall::Ready(reply) => {
                let _ = reply.send(status::is_ready(&control));
            }
            ControlCall::Drained(reply) => {
                let _ = reply.send(control.state().ownership.is_drained());
            }
            ControlCall::Drain => {
                control.state_mut().draining = true;
                ownership::feed(&control, coord::owner::OwnerEvent::Drain);
            }
        }
    }
}

/// Runs a call on the control thread and sends its result, unless the requester has gone.
fn answer_by<T: 'static>(
    control: &Control,
    call: impl Future<Output = T> + 'static,
    reply: Reply<T>,
) {
    control.spawn(async move {
        let mut reply = reply;
        tokio::select! {
            () = reply.closed() => {}
            value = call => { let _ = reply.send(value); }
        }
    });
}

fn stopped() -> PeerRefusal {
    PeerRefusal::new(ErrorKind::Draining, "the control thread has stopped; nothing was run")
}

/// A handle of the control thread for other threads.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    address: Addr<ControlActor>,
}

impl ControlHandle {
    /// Creates a handle of a running actor.
    #[must_use]
    pub const fn new(address: Addr<ControlActor>) -> Self {
        Self { address }
    }

    /// Asks for something and waits for the answer; `None` if the control thread has stopped.
    pub async fn ask<T>(&self, call: impl FnOnce(Reply<T>) -> ControlCall) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.address.send(call(sender)).await.ok()?;
        receiver.await.ok()
    }

    /// Tells something without waiting.
    pub fn tell(&self, call: ControlCall) {
        self.address.do_send(call);
    }

    /// Asks for something that can be refused.
    ///
    /// # Errors
    /// The refusal, or one of kind `draining` if the control thread has stopped.
    pub async fn request<T>(
        &self,
        call: impl FnOnce(Reply<Result<T, PeerRefusal>>) -> ControlCall,
    ) -> Result<T, PeerRefusal> {
        self.ask(call).await.unwrap_or_else(|| Err(stopped()))
    }
}
