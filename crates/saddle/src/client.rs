//! The HTTP client for entries.
//!
//! A caller must be able to distinguish *not run* from *unknown*, so the client
//! tracks whether a request may have reached an entry, and sends it again only
//! if the work cannot be done twice.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::error::{ConnectError, SendRequestError};
use awc::http::{Method, StatusCode, header};
use awc::{Connector, body};
use model::kind::{ErrorBody, ErrorKind, RequestOutcome};
use serde::de::DeserializeOwned;
use wire::api;

/// Longest wait for a connection in milliseconds.
///
/// The network delay to an entry is at most a few milliseconds. If an entry does
/// not accept the connection, the next one should be tried soon.
const MAX_CONNECT_MS: u64 = 2000;

/// Sends of one call that are allowed in total once a reply to it was lost, also if there
/// are fewer entries.
const MAX_SENDS_AFTER_LOSS: usize = 4;

/// Delay in milliseconds before a call is sent to an entry a second time.
///
/// All delays together are longer than the 500 ms between two reads of the
/// current configuration version by an entry.
const RESEND_DELAY_MS: u64 = 200;

/// Largest accepted answer in bytes; a set of 2,300 workers takes about 0.6 MB.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Whether a call may be sent again after its reply was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResendRule {
    /// The call is idempotent.
    Always,
    /// The call is not idempotent: each send that arrives may do the work again.
    Never,
}

/// One call of the HTTP API.
#[derive(Clone, Debug)]
pub struct ApiCall {
    /// HTTP method.
    pub method: Method,
    /// Path from the root, already percent-encoded.
    pub path: String,
    /// Headers other than the key.
    pub headers: Vec<(&'static str, String)>,
    /// Body; empty for none.
    pub body: Vec<u8>,
    /// Whether the call may be sent again after its reply was lost.
    pub resend: ResendRule,
    /// Time after the first send from which it is not sent again, if the call has a deadline.
    pub resend_within: Option<Duration>,
}

impl ApiCall {
    /// Builds an idempotent call without headers and body.
    #[must_use]
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Vec::new(),
            resend: ResendRule::Always,
            resend_within: None,
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Sets a JSON body.
    #[must_use]
    pub fn with_json(mut self, document: &impl serde::Serialize) -> Self {
        // Serialisation fails only for maps without string keys, which the API does not have.
        self.body = serde_json::to_vec(document).unwrap_or_default();
        self.with_header("content-type", "application/json")
    }
}

/// A complete answer that is not a refusal.
#[derive(Clone, Debug)]
pub struct ApiAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Identifier of the request in the answer's header, if it has one.
    pub request_id: Option<String>,
    /// Whether the outcome header states that a worker's endpoint answered.
    pub answered: bool,
    /// The whole body.
    pub body: Vec<u8>,
}

/// Why a call got no answer.
#[derive(Clone, Debug)]
pub enum CallFailure {
    /// No connection to any entry could be made; with the reason for each entry.
    Unreachable(Vec<String>),
    /// The call may have reached an entry, but no complete answer arrived; with the reason.
    Lost(String),
    /// An entry refused the call.
    Refused {
        /// Body of the entry's answer.
        body: ErrorBody,
        /// Whether an earlier reply to the same call was lost.
        lost_before: bool,
    },
}

/// Sends calls to the first entry that can be reached.
pub struct EntryClient {
    entries: Vec<SocketAddr>,
    key: Option<String>,
    timeout: Duration,
    http: awc::Client,
}

impl std::fmt::Debug for EntryClient {
    /// Leaves the secret out.
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.debug_struct("EntryClient").field("entries", &self.entries).finish_non_exhaustive()
    }
}

/// Result of sending a call to one entry once.
enum SendResult {
    NotSent(String),
    Lost(String),
    Answered(ApiAnswer),
}

/// Failures of the sends of one call so far; the last reason or refusal is kept.
#[derive(Default)]
struct SendFailures {
    unreachable: Vec<String>,
    lost: Option<String>,
    refused: Option<ErrorBody>,
}

impl SendFailures {
    fn into_failure(self) -> CallFailure {
        match (self.lost, self.refused) {
            (Some(reason), _) => CallFailure::Lost(reason),
            (None, Some(body)) => CallFailure::Refused { body, lost_before: false },
            (None, None) => CallFailure::Unreachable(self.unreachable),
        }
    }
}

impl EntryClient {
    /// Builds a client, which must run inside an actix system.
    #[must_use]
    pub fn new(entries: Vec<SocketAddr>, key: Option<String>, timeout: Duration) -> Self {
        // Shorter than the timeout of the call, so that a slow connect is not taken for a lost
        // reply.
        let connect = (timeout / 2).min(Duration::from_millis(MAX_CONNECT_MS));
        // A redirect could send the key to an address that the user did not give.
        let http = awc::Client::builder()
            .connector(Connector::new().timeout(connect))
            .timeout(timeout)
            .disable_redirects()
            .finish();
        Self { entries, key, timeout, http }
    }

    /// Returns a client whose timeout for each answer is at least `timeout`.
    #[must_use]
    pub fn with_min_timeout(self, timeout: Duration) -> Self {
        let timeout = self.timeout.max(timeout);
        Self::new(self.entries, self.key, timeout)
    }

    /// Sends a call to the entries in turn until one runs it.
    ///
    /// # Errors
    ///
    /// Returns what is known about the call if no entry answered it.
    pub async fn send(&self, call: &ApiCall) -> Result<ApiAnswer, CallFailure> {
        let start = Instant::now();
        let mut failures = SendFailures::default();
        let mut max_sends = self.entries.len();
        let mut index = 0;
        while index < max_sends {
            if index >= self.entries.len() {
                actix_rt::time::sleep(Duration::from_millis(RESEND_DELAY_MS)).await;
            }
            let entry = self.entries[index % self.entries.len()];
            index += 1;
            match self.send_once(entry, call).await {
                SendResult::NotSent(reason) => {
                    failures.unreachable.push(format!("{entry}: {reason}"));
                }
                SendResult::Lost(reason) => failures.lost = Some(format!("{entry}: {reason}")),
                SendResult::Answered(answer) => {
                    let Some(body) = answer.refusal() else {
                        return Ok(answer);
                    };
                    if body.outcome == RequestOutcome::Unknown && body.retry {
                        failures.lost = Some(format!("{entry}: {}: {}", body.kind, body.message));
                    } else if can_retry_elsewhere(&body) {
                        failures.refused = Some(body);
                    } else {
                        return Err(CallFailure::Refused {
                            body,
                            lost_before: failures.lost.is_some(),
                        });
                    }
                }
            }
            if failures.lost.is_some() {
                let is_past_deadline =
                    call.resend_within.is_some_and(|limit| start.elapsed() >= limit);
                if call.resend == ResendRule::Never || is_past_deadline {
                    break;
                }
                max_sends = max_sends.max(MAX_SENDS_AFTER_LOSS);
            }
        }
        Err(failures.into_failure())
    }

    async fn send_once(&self, entry: SocketAddr, call: &ApiCall) -> SendResult {
        match actix_rt::time::timeout(self.timeout, self.send_and_read(entry, call)).await {
            Ok(result) => result,
            Err(_) => SendResult::Lost(format!("no answer in {} ms", self.timeout.as_millis())),
        }
    }

    async fn send_and_read(&self, entry: SocketAddr, call: &ApiCall) -> SendResult {
        let url = format!("http://{entry}{}", call.path);
        // Each send uses a new connection: an entry may close an idle one at any
        // moment, which would look like a lost reply.
        let mut request = self.http.request(call.method.clone(), url).force_close();
        if let Some(key) = &self.key {
            request = request.insert_header((header::AUTHORIZATION, format!("Bearer {key}")));
        }
        for (name, value) in &call.headers {
            request = request.insert_header((*name, value.as_str()));
        }
        let mut response = match request.send_body(body::BoxBody::new(call.body.clone())).await {
            Ok(response) => response,
            Err(error) if is_unsent(&error) => return SendResult::NotSent(error.to_string()),
            Err(error) => return SendResult::Lost(error.to_string()),
        };
        let text = |name: &str| {
            response.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
        };
        let request_id = text(api::REQUEST_ID_HEADER);
        let answered = text(api::OUTCOME_HEADER).as_deref() == Some("answered");
        let status = response.status();
        match response.body().limit(MAX_ANSWER_BYTES).await {
            Ok(body) => SendResult::Answered(ApiAnswer {
                status,
                request_id,
                answered,
                body: body.to_vec(),
            }),
            Err(error) => SendResult::Lost(format!("the answer was cut off: {error}")),
        }
    }
}

impl ApiAnswer {
    /// Parses the body of an answer of the entry itself.
    ///
    /// # Errors
    ///
    /// Returns [`CallFailure::Lost`]: the entry ran the call, but the result cannot be read.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, CallFailure> {
        serde_json::from_slice(&self.body).map_err(|error| {
            CallFailure::Lost(format!(
                "the answer with status {} has another form: {error}",
                self.status
            ))
        })
    }

    /// Returns the body of a refusal, or `None` if the call was answered.
    fn refusal(&self) -> Option<ErrorBody> {
        if self.answered || self.status.is_success() {
            return None;
        }
        let body = serde_json::from_slice(&self.body).unwrap_or_else(|_| {
            // The sender is not an entry, such as a proxy; only a 4xx status proves that nothing
            // was done.
            let kind = match self.status {
                StatusCode::NOT_FOUND => ErrorKind::NotFound,
                status if status.is_client_error() => ErrorKind::BadInput,
                _ => ErrorKind::Internal,
            };
            let message = format!("the answer has status {} and no error body", self.status);
            ErrorBody::new(kind, message)
        });
        Some(body)
    }
}

/// Returns whether another entry may accept a call that this one refused without running it.
fn can_retry_elsewhere(body: &ErrorBody) -> bool {
    body.retry && body.outcome == RequestOutcome::NotRun && body.kind != ErrorKind::Conflict
}

/// Returns whether an error proves that nothing was sent.
///
/// awc also reports some connections that close before an answer as connect
/// errors, so only errors that an open connection cannot cause are accepted.
fn is_unsent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Url(_) | SendRequestError::Connect(ConnectError::Timeout) => true,
        SendRequestError::Connect(ConnectError::Io(error)) => matches!(
            error.kind(),
            io::ErrorKind::ConnectionRefused
                | io::ErrorKind::HostUnreachable
                | io::ErrorKind::NetworkUnreachable
                | io::ErrorKind::AddrNotAvailable
        ),
        _ => false,
    }
}

/// Percent-encodes one segment of a path.
#[must_use]
pub fn encode_path_segment(text: &str) -> String {
    use std::fmt::Write;

    text.bytes().fold(String::with_capacity(text.len()), |mut path, byte| {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            path.push(char::from(byte));
        } else {
            let _ = write!(path, "%{byte:02X}");
        }
        path
    })
}
