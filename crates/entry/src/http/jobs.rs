//! Handlers that submit, read and cancel jobs.

use actix_web::{HttpRequest, HttpResponse, web};
use model::job::JobSpec;
use model::kind::{ErrorKind, RequestOutcome};
use model::name::{JobId, QueueName, TeamName};
use model::object;
use serde::Deserialize;
use wire::peer::PeerRefusal;

use crate::control::handle::ControlCall;
use crate::http::{Traffic, answer, bearer_secret};

/// The part of a job by which its caller is checked.
///
/// A payload may take more than ten times the memory of its text, so that it is decoded only for
/// callers who may submit.
#[derive(Deserialize)]
struct JobAddress {
    queue: QueueName,
}

/// Accepts a job for the team of the caller's key.
pub async fn submit_job(
    request: HttpRequest,
    payload: web::Payload,
    traffic: Traffic,
) -> HttpResponse {
    let body = match traffic.read_body(&request, payload).await {
        Ok(body) => body,
        Err(error) => return traffic.refuse_unread("submit", &error),
    };
    let malformed = |error: serde_json::Error| {
        let message = format!("the job is malformed: {error}");
        traffic.refuse("submit", &PeerRefusal::new(ErrorKind::BadInput, message))
    };
    let address: JobAddress = match serde_json::from_slice(&body) {
        Ok(address) => address,
        Err(error) => return malformed(error),
    };
    let access = traffic.snapshot().authorize(address.queue.as_str(), bearer_secret(&request));
    let access = match access {
        Ok(access) => access,
        Err(refusal) => return traffic.refuse("submit", &refusal),
    };
    let spec: JobSpec = match serde_json::from_slice(&body) {
        Ok(spec) => spec,
        Err(error) => return malformed(error),
    };
    // Releases its memory before the wait for the answer.
    drop(body);
    let call = |reply| ControlCall::SubmitJob(spec, access, reply);
    match traffic.shared.control.try_call(call).await {
        Ok(reply) => answer::builder(201, RequestOutcome::Answered).json(reply),
        Err(refusal) => traffic.refuse("submit", &refusal),
    }
}

/// Returns a job's record to a caller of its team.
pub async fn get_job(
    request: HttpRequest,
    job: web::Path<String>,
    traffic: Traffic,
) -> HttpResponse {
    let Some(team) = caller_team(&request, &traffic) else {
        return traffic.refuse("status", &bad_key_refusal());
    };
    let job = JobId::from(job.into_inner());
    let call = |reply| ControlCall::JobStatus(job, reply);
    match traffic.shared.control.try_call(call).await {
        Ok(record) if record.team == team => {
            answer::builder(200, RequestOutcome::Answered).json(record)
        }
        Ok(_) => traffic.refuse("status", &wrong_team_refusal()),
        Err(refusal) => traffic.refuse("status", &refusal),
    }
}

/// Cancels a job of the caller's team and returns its record.
pub async fn cancel_job(
    request: HttpRequest,
    job: web::Path<String>,
    traffic: Traffic,
) -> HttpResponse {
    let Some(team) = caller_team(&request, &traffic) else {
        return traffic.refuse("cancel", &bad_key_refusal());
    };
    let job = JobId::from(job.into_inner());
    let call = |reply| ControlCall::CancelJob(job, team, reply);
    match traffic.shared.control.try_call(call).await {
        Ok(record) => answer::builder(200, RequestOutcome::Answered).json(record),
        Err(refusal) => traffic.refuse("cancel", &refusal),
    }
}

fn caller_team(request: &HttpRequest, traffic: &Traffic) -> Option<TeamName> {
    let digest = object::key_digest(bearer_secret(request)?);
    traffic.snapshot().team_of(&digest).cloned()
}

fn wrong_team_refusal() -> PeerRefusal {
    PeerRefusal::new(ErrorKind::WrongTeam, "the job belongs to another team")
}

fn bad_key_refusal() -> PeerRefusal {
    let message = "no valid key; send `authorization: Bearer KEY` with a key of the job's team";
    PeerRefusal::new(ErrorKind::BadKey, message)
}
