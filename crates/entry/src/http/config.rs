//! Handlers that read and publish the configuration.

use actix_web::{HttpRequest, HttpResponse, web};
use model::check;
use model::kind::{ErrorBody, ErrorKind, RequestOutcome};
use model::object::{self, ObjectSet};
use wire::api::{BASE_VERSION_HEADER, CHANGE_ID_HEADER, ConfigDocument};
use wire::peer::PeerRefusal;

use crate::control::handle::ControlCall;
use crate::http::{Traffic, answer, bearer_secret, header_text};

/// Most reads of the change id; a read is repeated if a newer version arrived meanwhile.
const MAX_CHANGE_ID_READS: u32 = 3;

/// Returns the configuration in force at this entry.
///
/// The change id is empty before the first version, and while it cannot be read
/// from the platform.
pub async fn get_config(request: HttpRequest, traffic: Traffic) -> HttpResponse {
    if !is_operator(&request, &traffic) {
        return not_operator_answer();
    }
    let mut snapshot = traffic.snapshot();
    let mut change_id = None;
    for _ in 0..MAX_CHANGE_ID_READS {
        let call = |reply| ControlCall::ChangeId(snapshot.version, reply);
        change_id = traffic.shared.control.call(call).await.flatten();
        let newest = traffic.snapshot();
        if change_id.is_some() || newest.version == snapshot.version {
            break;
        }
        snapshot = newest;
    }
    HttpResponse::Ok().json(ConfigDocument {
        version: snapshot.version,
        change_id: change_id.unwrap_or_default(),
        objects: (*snapshot.objects).clone(),
    })
}

/// Checks and publishes a complete object set.
pub async fn put_config(
    request: HttpRequest,
    payload: web::Payload,
    traffic: Traffic,
) -> HttpResponse {
    if !is_operator(&request, &traffic) {
        return not_operator_answer();
    }
    let refuse = |kind, message: &str| traffic.refuse("apply", &PeerRefusal::new(kind, message));
    let Some(base) = header_text(&request, BASE_VERSION_HEADER).and_then(|text| text.parse().ok())
    else {
        let message = "header x-base-version: must be the version that the change is based on";
        return refuse(ErrorKind::BadInput, message);
    };
    let change = header_text(&request, CHANGE_ID_HEADER).unwrap_or_default();
    if !is_change_id(change) {
        let message = "header x-change-id: must be 1 to 64 letters, digits or `-`";
        return refuse(ErrorKind::BadInput, message);
    }
    let body = match traffic.read_body(&request, payload).await {
        Ok(body) => body,
        Err(error) => return traffic.refuse_unread("apply", &error),
    };
    let objects: ObjectSet = match serde_json::from_slice(&body) {
        Ok(objects) => objects,
        Err(error) => {
            let message = format!("the object set is malformed: {error}");
            return refuse(ErrorKind::InvalidConfig, &message);
        }
    };
    // Releases its memory before the wait for the answer.
    drop(body);
    let problems = check::check_set(&objects);
    if !problems.is_empty() {
        let message = "the object set does not pass its check; nothing was published";
        let mut body = ErrorBody::new(ErrorKind::InvalidConfig, message);
        body.problems = problems;
        return traffic.refuse_body("apply", &body);
    }
    let change = change.to_owned();
    let reply = traffic
        .shared
        .control
        .call(|reply| ControlCall::PublishConfig(base, change, Box::new(objects), reply))
        .await;
    match reply {
        Some(Ok(reply)) => {
            let status = if reply.not_confirmed.is_empty() { 200 } else { 202 };
            answer::builder(status, RequestOutcome::Answered).json(reply)
        }
        Some(Err((refusal, version))) => {
            let mut body = ErrorBody::new(refusal.kind, refusal.message);
            body.version = version;
            traffic.refuse_body("apply", &body)
        }
        None => refuse(ErrorKind::WriteUnknown, "the control thread stopped meanwhile"),
    }
}

/// Returns whether a caller presented the operators' secret, if one is set.
///
/// Whoever may publish a configuration may grant keys. That work is accepted only
/// for the team whose key came with it (promise 3 of the design page) therefore
/// depends on this check too.
fn is_operator(request: &HttpRequest, traffic: &Traffic) -> bool {
    let Some(expected) = &traffic.shared.operator_digest else { return true };
    bearer_secret(request).is_some_and(|secret| object::key_digest(secret) == *expected)
}

fn not_operator_answer() -> HttpResponse {
    let message = "the operators' secret is needed; send `authorization: Bearer SECRET`";
    answer::from_kind(ErrorKind::BadKey, message)
}

fn is_change_id(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-';
    !text.is_empty() && text.len() <= 64 && text.bytes().all(is_allowed)
}
