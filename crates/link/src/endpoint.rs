//! Sends one attempt of a request to a worker's endpoint.
//!
//! Every attempt uses a new connection. On a pooled connection that the worker
//! closes just as a request is sent, the outcome would be unknown, and the
//! answer to an earlier request could be taken for the answer to this one. A
//! failed connect proves that nothing ran. As each granted slot has one attempt,
//! an endpoint also has no more connections than granted slots, which is far
//! below its limit of 64 connections.

use std::net::IpAddr;
use std::time::Duration;

use model::authority::OwnerAuthority;
use model::name::{BootId, RequestId, TeamName};
use model::object;
use model::time::ClockMillis;
use wire::worker;

use crate::failure::CallFailure;
use crate::http;

/// Largest body in bytes of an answer that is passed on to the caller.
pub const MAX_ANSWER_BYTES: usize = 64 << 20;

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct EndpointAttempt {
    /// Address of the worker, `IP:PORT`.
    pub address: String,
    /// The request's identifier.
    pub request: RequestId,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Team whose share and limit the request counts towards.
    pub team: TeamName,
    /// Authority under which the slot was granted.
    pub authority: OwnerAuthority,
    /// Boot of the worker that the grant is for.
    pub boot: BootId,
    /// Instant of the worker's clock at which the grant expires.
    pub not_after: ClockMillis,
    /// Body of the request.
    pub body: bytes::Bytes,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The whole answer to this attempt arrived.
    Answered(bytes::Bytes),
    /// The worker could not be reached or refused the request before running it; with the reason.
    NotRun(String),
    /// The connection failed after the request was sent; with the reason.
    Lost(String),
    /// The answer was truncated, corrupt or belonged to another attempt; with the reason.
    BadAnswer(String),
    /// No whole answer arrived before the timeout.
    Timeout,
}

/// A client for the endpoints of all workers; cheap to clone within one thread.
#[derive(Clone)]
pub struct EndpointClient {
    client: awc::Client,
}

impl std::fmt::Debug for EndpointClient {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.debug_struct("EndpointClient").finish_non_exhaustive()
    }
}

impl EndpointClient {
    /// Creates a client whose connections use the source address `source`, if given.
    #[must_use]
    pub fn new(source: Option<IpAddr>) -> Self {
        Self { client: http::build_client(source) }
    }

    /// Sends one attempt and waits at most `timeout` for the whole answer.
    pub async fn send(&self, attempt: &EndpointAttempt, timeout: Duration) -> AttemptResult {
        tokio::time::timeout(timeout, self.send_and_read(attempt))
            .await
            .unwrap_or(AttemptResult::Timeout)
    }

    async fn send_and_read(&self, attempt: &EndpointAttempt) -> AttemptResult {
        let number = attempt.attempt.to_string();
        let reply = self
            .client
            .post(format!("http://{}{}", attempt.address, worker::REQUEST_PATH))
            .force_close()
            .no_decompress()
            .insert_header((worker::REQUEST_ID_HEADER, attempt.request.as_str()))
            .insert_header((worker::ATTEMPT_HEADER, number.as_str()))
            .insert_header((worker::TEAM_HEADER, attempt.team.as_str()))
            .insert_header((worker::AUTHORITY_HEADER, attempt.authority.to_string()))
            .insert_header((worker::BOOT_HEADER, attempt.boot.as_str()))
            .insert_header((worker::NOT_AFTER_HEADER, attempt.not_after.0.to_string()))
            .send_body(attempt.body.clone())
            .await;
        let mut answer = match reply {
            Ok(answer) => answer,
            Err(error) if http::classify_error(&error) == CallFailure::NotDone => {
                return AttemptResult::NotRun(error.to_string());
            }
            Err(error) => return AttemptResult::Lost(error.to_string()),
        };
        let headers = answer.headers().clone();
        let header = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let body = answer.body().limit(MAX_ANSWER_BYTES).await;
        if header(worker::NOT_RUN_HEADER) == Some("1") {
            let reason = body.map(|text| String::from_utf8_lossy(&text).into_owned());
            return AttemptResult::NotRun(reason.unwrap_or_default());
        }
        if header(worker::REQUEST_ID_HEADER) != Some(attempt.request.as_str())
            || header(worker::ATTEMPT_HEADER) != Some(number.as_str())
        {
            return AttemptResult::BadAnswer("the answer belongs to another attempt".to_owned());
        }
        let Ok(body) = body else {
            return AttemptResult::BadAnswer("the answer is truncated".to_owned());
        };
        if !answer.status().is_success() {
            return AttemptResult::BadAnswer(format!("status {}", answer.status()));
        }
        if header(worker::DIGEST_HEADER) != Some(object::hex_digest(&body).as_str()) {
            return AttemptResult::BadAnswer("the answer does not match its digest".to_owned());
        }
        AttemptResult::Answered(body)
    }
}
