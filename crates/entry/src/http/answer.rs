//! Builds HTTP answers; those of errors follow the table of error kinds.

use actix_web::http::{StatusCode, header};
use actix_web::{HttpResponse, HttpResponseBuilder};
use link::body::BodyError;
use model::kind::{ErrorBody, ErrorKind, RequestOutcome};
use wire::api::OUTCOME_HEADER;
use wire::peer::PeerRefusal;

/// Seconds after which a caller whose body found no room may retry.
const RETRY_AFTER_S: &str = "1";

/// Returns a builder of an answer with a status and the outcome header.
#[must_use]
pub fn builder(status: u16, outcome: RequestOutcome) -> HttpResponseBuilder {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = HttpResponse::build(status);
    builder.insert_header((OUTCOME_HEADER, outcome.as_str()));
    builder
}

/// Builds the answer for an error body.
#[must_use]
pub fn from_body(body: &ErrorBody) -> HttpResponse {
    builder(body.kind.answer().status, body.outcome).json(body)
}

/// Builds the answer for an error kind.
#[must_use]
pub fn from_kind(kind: ErrorKind, message: &str) -> HttpResponse {
    from_body(&ErrorBody::new(kind, message))
}

/// Builds the answer for a refusal.
#[must_use]
pub fn from_refusal(refusal: &PeerRefusal) -> HttpResponse {
    from_kind(refusal.kind, &refusal.message)
}

/// Returns the error kind of a request whose body was not received.
#[must_use]
pub const fn body_error_kind(error: &BodyError) -> ErrorKind {
    match error {
        BodyError::TooLong(_) | BodyError::Broken(_) => ErrorKind::BadInput,
        BodyError::NoRoom => ErrorKind::QueueFull,
        BodyError::TooSlow => ErrorKind::RequestTimeout,
    }
}

/// Builds the answer for a request whose body was not received.
#[must_use]
pub fn from_body_error(error: &BodyError) -> HttpResponse {
    let body = ErrorBody::new(body_error_kind(error), error.to_string());
    let mut builder = builder(body.kind.answer().status, body.outcome);
    if *error == BodyError::NoRoom {
        builder.insert_header((header::RETRY_AFTER, RETRY_AFTER_S));
    }
    builder.json(body)
}
