//! JSON calls over HTTP with a timeout.

use std::fmt;
use std::net::IpAddr;
use std::time::Duration;

use actix_rt::net::ActixStream;
use actix_service::Service;
use actix_tls::connect::{ConnectError as TcpConnectError, ConnectInfo, Connection};
use awc::error::{ConnectError, SendRequestError};
use awc::http::{StatusCode, Uri, header};
use error_stack::Report;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::failure::CallFailure;

/// Largest answer body in bytes that a control call accepts; an object set of
/// the design size is about 1 MB.
pub const MAX_BODY_BYTES: usize = 16 << 20;

/// Most connections of one client: a few for each of the several hundred workers
/// that a small entry VM serves.
const MAX_CONNECTIONS: usize = 2_000;

/// Result of a call.
pub type CallResult<T> = Result<T, Report<CallFailure>>;

/// Builds a client whose connections use the source address `source`, if given.
///
/// The client itself has no timeout for a whole call. The timeout of the call,
/// as of [`with_timeout`], includes the wait for a connection, so a broken link
/// cannot hold a caller longer than its own deadline.
#[must_use]
pub fn build_client(source: Option<IpAddr>) -> awc::Client {
    let connector = configure(awc::Connector::new(), source);
    awc::ClientBuilder::new().connector(connector).disable_timeout().finish()
}

/// Sets limits, timeouts and the source address of a connector.
pub(crate) fn configure<S, I>(
    connector: awc::Connector<S>,
    source: Option<IpAddr>,
) -> awc::Connector<S>
where
    S: Service<ConnectInfo<Uri>, Response = Connection<Uri, I>, Error = TcpConnectError>
        + Clone
        + 'static,
    I: ActixStream + fmt::Debug + 'static,
{
    let connector = connector
        .limit(MAX_CONNECTIONS)
        .timeout(Duration::from_secs(1))
        .conn_keep_alive(Duration::from_secs(15));
    match source {
        Some(ip) => connector.local_address(ip),
        None => connector,
    }
}

/// Sends `body` as JSON by `POST` and reads a JSON answer.
///
/// # Errors
/// [`CallFailure::NotDone`] if no connection was made, or for a status of 429
/// or 503, with which servers refuse before acting; [`CallFailure::Unknown`] for
/// everything else, including a timeout.
pub async fn post_json<B, R>(
    client: &awc::Client,
    url: &str,
    body: &B,
    timeout: Duration,
) -> CallResult<R>
where
    B: Serialize,
    R: DeserializeOwned,
{
    with_timeout(timeout, async {
        let reply = client.post(url).send_json(body).await;
        read_json(reply).await
    })
    .await
}

/// Reads a JSON answer by `GET`.
///
/// # Errors
/// As for [`post_json`].
pub async fn get_json<R: DeserializeOwned>(
    client: &awc::Client,
    url: &str,
    timeout: Duration,
) -> CallResult<R> {
    with_timeout(timeout, async { read_json(client.get(url).send().await).await }).await
}

/// Status and body of an HTTP answer.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// The status.
    pub status: StatusCode,
    /// Seconds of the header `Retry-After`; none if it is missing or names a date.
    pub retry_after_s: Option<u32>,
    /// The whole body.
    pub body: bytes::Bytes,
}

/// Sends a request with a body and reads the whole answer, whatever its status.
///
/// # Errors
/// [`CallFailure::NotDone`] if no connection was made, [`CallFailure::Unknown`]
/// for everything else, including a timeout.
pub async fn exchange(
    request: awc::ClientRequest,
    body: Vec<u8>,
    timeout: Duration,
) -> CallResult<HttpAnswer> {
    with_timeout(timeout, async {
        let mut answer = request
            .send_body(body)
            .await
            .map_err(|error| Report::new(classify_error(&error)).attach(error.to_string()))?;
        let status = answer.status();
        let retry_after = answer.headers().get(header::RETRY_AFTER);
        let retry_after_s = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
        let body = answer
            .body()
            .limit(MAX_BODY_BYTES)
            .await
            .map_err(|error| Report::new(CallFailure::Unknown).attach(error.to_string()))?;
        Ok(HttpAnswer { status, retry_after_s, body })
    })
    .await
}

/// Runs a call for at most `timeout`.
///
/// # Errors
/// [`CallFailure::Unknown`] if `timeout` passes first, otherwise the error of the call.
pub async fn with_timeout<T>(
    timeout: Duration,
    call: impl Future<Output = CallResult<T>>,
) -> CallResult<T> {
    tokio::time::timeout(timeout, call).await.unwrap_or_else(|_| {
        Err(Report::new(CallFailure::Unknown).attach(format!("no answer in {timeout:?}")))
    })
}

/// Returns whether a failed request may have been sent.
///
/// awc also reports a connection that closed after the request was sent as
/// `Connect(Disconnected)`, so this error must not count as unsent.
#[must_use]
pub fn classify_error(error: &SendRequestError) -> CallFailure {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected | ConnectError::H2(_)) => {
            CallFailure::Unknown
        }
        SendRequestError::Connect(_) | SendRequestError::Url(_) => CallFailure::NotDone,
        _ => CallFailure::Unknown,
    }
}

type AwcResult<S> = Result<awc::ClientResponse<S>, SendRequestError>;

async fn read_json<S, R>(reply: AwcResult<S>) -> CallResult<R>
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
    R: DeserializeOwned,
{
    let mut answer =
        reply.map_err(|error| Report::new(classify_error(&error)).attach(error.to_string()))?;
    let status = answer.status();
    let body = answer
        .body()
        .limit(MAX_BODY_BYTES)
        .await
        .map_err(|error| Report::new(CallFailure::Unknown).attach(error.to_string()))?;
    if !status.is_success() {
        let refused =
            matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE);
        let failure = if refused { CallFailure::NotDone } else { CallFailure::Unknown };
        return Err(Report::new(failure).attach(format!("status {status}")));
    }
    serde_json::from_slice(&body)
        .map_err(|error| Report::new(CallFailure::Unknown).attach(error.to_string()))
}
