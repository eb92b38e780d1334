//! Calls from the traffic threads to the control thread, sent as actor messages.

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

/// Most calls that may wait for the control thread; further senders wait.
const MAX_QUEUED_CALLS: usize = 4096;

/// The actor that receives the calls on the control thread.
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
        context.set_mailbox_capacity(MAX_QUEUED_CALLS);
    }
}

type ReplySender<T> = oneshot::Sender<T>;
/// A refused change of the configuration, with the committed version if it is known.
pub type PublishRefusal = (PeerRefusal, Option<u64>);

/// A call from a traffic thread to the control thread.
#[derive(Debug)]
pub enum ControlCall {
    /// Finds a slot for a request.
    PlaceRequest(SlotPlacement, ReplySender<Result<PlacedGrant, PeerRefusal>>),
    /// Releases a slot; the flag is false if the request may still run.
    ReleaseSlot(PlacedGrant, bool),
    /// Inserts the identifier of a non-idempotent request and returns the row's version.
    InsertIdentifier(TeamName, RequestId, ReplySender<Result<u64, PeerRefusal>>),
    /// Deletes the row of this version, whose request has certainly not run.
    DeleteIdentifier(TeamName, RequestId, u64, ReplySender<()>),
    /// Accepts a job.
    SubmitJob(JobSpec, QueueAccess, ReplySender<Result<SubmitReply, PeerRefusal>>),
    /// Reads a job's record.
    JobStatus(JobId, ReplySender<Result<JobRecord, PeerRefusal>>),
    /// Cancels a job of a team.
    CancelJob(JobId, TeamName, ReplySender<Result<JobRecord, PeerRefusal>>),
    /// Publishes a checked set, based on a version, under a change identifier.
    PublishConfig(u64, String, Box<ObjectSet>, ReplySender<Result<ApplyReply, PublishRefusal>>),
    /// Returns the identifier of the change that published a version, if it is known.
    ChangeId(u64, ReplySender<Option<String>>),
    /// Returns the status of this entry for operators.
    Status(ReplySender<StatusReply>),
    /// Returns whether the balancer may send requests to this entry.
    IsReady(ReplySender<bool>),
    /// Starts the shutdown: the ownership is handed over or released.
    Drain,
    /// Returns whether the ownership has been handed over or released.
    IsDrained(ReplySender<bool>),
}

impl Message for ControlCall {
    type Result = ();
}

impl Handler<ControlCall> for ControlActor {
    type Result = ();

    fn handle(&mut self, call: ControlCall, _context: &mut Self::Context) {
        let control = Rc::clone(&self.control);
        match call {
            ControlCall::PlaceRequest(placement, reply) => {
                spawn_reply(&self.control, requests::place_request(control, placement), reply);
            }
            ControlCall::ReleaseSlot(grant, ended) => {
                requests::release_slot(&control, grant, ended);
            }
            ControlCall::InsertIdentifier(team, request, reply) => {
                let receiver = once::queue_insert(&control, &team, &request);
                spawn_reply(
                    &self.control,
                    async move { receiver.await.unwrap_or_else(|_| Err(stopped_refusal())) },
                    reply,
                );
            }
            ControlCall::DeleteIdentifier(team, request, version, reply) => {
                let delete = async move {
                    once::delete_identifier(&control, &team, &request, version).await;
                };
                spawn_reply(&self.control, delete, reply);
            }
            ControlCall::SubmitJob(spec, access, reply) => {
                spawn_reply(&self.control, jobs::submit::submit_job(control, spec, access), reply);
            }
            ControlCall::JobStatus(job, reply) => {
                spawn_reply(&self.control, jobs::status::find_record(control, job), reply);
            }
            ControlCall::CancelJob(job, team, reply) => {
                spawn_reply(&self.control, jobs::cancel::cancel_job(control, job, team), reply);
            }
            ControlCall::PublishConfig(base, change, objects, reply) => {
                let publish = config::publish_objects(control, base, change, *objects);
                spawn_reply(&self.control, publish, reply);
            }
            ControlCall::ChangeId(version, reply) => {
                spawn_reply(&self.control, config::find_change_id(control, version), reply);
            }
            ControlCall::Status(reply) => {
                let _ = reply.send(status::operator_status(&control));
            }
            ControlCall::IsReady(reply) => {
                let _ = reply.send(status::is_ready(&control));
            }
            ControlCall::IsDrained(reply) => {
                let _ = reply.send(control.state().ownership.is_drained());
            }
            ControlCall::Drain => {
                control.state_mut().draining = true;
                ownership::handle_event(&control, coord::owner::OwnerEvent::Drain);
            }
        }
    }
}

/// Runs a call on the control thread and sends its result; ends it early if the receiver is dropped.
fn spawn_reply<T: 'static>(
    control: &Control,
    call: impl Future<Output = T> + 'static,
    reply: ReplySender<T>,
) {
    control.spawn(async move {
        let mut reply = reply;
        tokio::select! {
            () = reply.closed() => {}
            value = call => { let _ = reply.send(value); }
        }
    });
}

fn stopped_refusal() -> PeerRefusal {
    PeerRefusal::new(ErrorKind::Draining, "the control thread has stopped; nothing was run")
}

/// Handle by which other threads reach the control thread.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    address: Addr<ControlActor>,
}

impl ControlHandle {
    /// Creates a handle to a running actor.
    #[must_use]
    pub const fn new(address: Addr<ControlActor>) -> Self {
        Self { address }
    }

    /// Sends a call and waits for its answer; `None` if the control thread has stopped.
    pub async fn call<T>(&self, call: impl FnOnce(ReplySender<T>) -> ControlCall) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.address.send(call(sender)).await.ok()?;
        receiver.await.ok()
    }

    /// Sends a call that has no answer, without waiting.
    pub fn send(&self, call: ControlCall) {
        self.address.do_send(call);
    }

    /// Sends a call that can be refused, and waits for its answer.
    ///
    /// # Errors
    /// The refusal, or one of kind `draining` if the control thread has stopped.
    pub async fn try_call<T>(
        &self,
        call: impl FnOnce(ReplySender<Result<T, PeerRefusal>>) -> ControlCall,
    ) -> Result<T, PeerRefusal> {
        self.call(call).await.unwrap_or_else(|| Err(stopped_refusal()))
    }
}
