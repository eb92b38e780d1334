//! Submitting, reading and cancelling jobs.

use actix_web::{HttpRequest, HttpResponse, web};
use model::job::JobSpec;
use model::kind::{ErrorKind, RequestOutcome};
use model::name::{JobId, TeamName};
use model::object;

use crate::control::handle::ControlCall;
use crate::http::{Traffic, answer, bearer};

/// Accepts a job for the team of the caller's key.
pub async fn submit(request: HttpRequest, body: web::Bytes, traffic: Traffic) -> HttpResponse {
    let spec: JobSpec = match serde_json::from_slice(&body) {
        Ok(spec) => spec,
        Err(error) => {
            return answer::error(ErrorKind::BadInput, &format!("the job is malformed: {error}"));
        }
    };
    let access = match traffic.snapshot().authorize(spec.queue.as_str(), bearer(&request)) {
        Ok(access) => access,
        Err(refusal) => return answer::refusal(&refusal),
    };
    let call = |reply| ControlCall::Submit(spec, access, reply);
    match traffic.shared.control.request(call).await {
        Ok(reply) => answer::start(201, RequestOutcome::Answered).json(reply),
        Err(refusal) => answer::refusal(&refusal),
    }
}

/// Answers a job's record to a caller of its team.
pub async fn status(
    request: HttpRequest,
    job: web::Path<String>,
    traffic: Traffic,
) -> HttpResponse {
    let Some(team) = caller_team(&request, &traffic) else { return bad_key() };
    let job = JobId::from(job.into_inner());
    let call = |reply| ControlCall::JobStatus(job, reply);
    match traffic.shared.control.request(call).await {
        Ok(record) if record.team == team => {
            answer::start(200, RequestOutcome::Answered).json(record)
        }
        Ok(_) => answer::error(ErrorKind::WrongTeam, "the job belongs to another team"),
        Err(refusal) => answer::refusal(&refusal),
    }
}

/// Cancels a job of the caller's team and answers its record.
pub async fn cancel(
    request: HttpRequest,
    job: web::Path<String>,
    traffic: Traffic,
) -> HttpResponse {
    let Some(team) = caller_team(&request, &traffic) else { return bad_key() };
    let job = JobId::from(job.into_inner());
    let call = |reply| ControlCall::Cancel(job, team, reply);
    match traffic.shared.control.request(call).await {
        Ok(record) => answer::start(200, RequestOutcome::Answered).json(record),
        Err(refusal) => answer::refusal(&refusal),
    }
}

fn caller_team(request: &HttpRequest, traffic: &Traffic) -> Option<TeamName> {
    let digest = object::key_digest(bearer(request)?);
    traffic.snapshot().team_of(&digest).cloned()
}

fn bad_key() -> HttpResponse {
    let message = "no valid key; send `authorization: Bearer KEY` with a key of the job's team";
    answer::error(ErrorKind::BadKey, message)
}
