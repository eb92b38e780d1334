//! Builds HTTP answers; those of errors follow the table of error kinds.

use actix_web::http::StatusCode;
use actix_web::{HttpResponse, HttpResponseBuilder};
use model::kind::{ErrorBody, ErrorKind, RequestOutcome};
use wire::api::OUTCOME_HEADER;
use wire::peer::PeerRefusal;

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
