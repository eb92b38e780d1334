//! HTTP client of the runner.

use std::rc::Rc;
use std::time::Duration;

use awc::http::header::HeaderMap;
use awc::http::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest answer that the runner reads, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// HTTP answer that was received completely.
#[derive(Debug)]
pub struct HttpAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Vec<u8>,
}

impl HttpAnswer {
    /// Returns the value of a header, or an empty string if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Parses the body as JSON.
    pub fn parse_json<T: DeserializeOwned>(&self) -> Result<T, String> {
        let text = String::from_utf8_lossy(&self.body);
        serde_json::from_slice(&self.body).map_err(|error| format!("{error} in {text}"))
    }
}

/// One HTTP call.
#[derive(Debug)]
pub struct HttpCall<'a> {
    /// Method.
    pub method: Method,
    /// Address of the server, `IP:PORT`.
    pub address: &'a str,
    /// Path.
    pub path: &'a str,
    /// Headers.
    pub headers: Vec<(&'a str, String)>,
    /// JSON body; empty for none.
    pub body: Vec<u8>,
    /// Longest time until the whole answer has been received.
    pub timeout: Duration,
}

/// HTTP client that opens a new connection for each call.
///
/// A pooled connection that the server closes while a call is being written
/// would look like an interrupted request.
#[derive(Clone)]
pub struct HttpClient(Rc<awc::Client>);

impl HttpClient {
    /// Creates a client; needs a running actix system.
    pub fn new() -> Self {
        let connector = awc::Connector::new().limit(0);
        let builder = awc::Client::builder().connector(connector).disable_timeout();
        Self(Rc::new(builder.disable_redirects().finish()))
    }

    /// Sends a call and reads the whole answer.
    pub async fn send(&self, call: HttpCall<'_>) -> Result<HttpAnswer, String> {
        let timeout = call.timeout;
        let exchange = self.exchange(call);
        let result = tokio::time::timeout(timeout, exchange).await;
        result.unwrap_or_else(|_| Err(format!("no answer within {} ms", timeout.as_millis())))
    }

    async fn exchange(&self, call: HttpCall<'_>) -> Result<HttpAnswer, String> {
        let url = format!("http://{}{}", call.address, call.path);
        let mut request = self.0.request(call.method, url).force_close();
        for (name, value) in call.headers {
            request = request.insert_header((name, value));
        }
        if !call.body.is_empty() {
            request = request.insert_header(("content-type", "application/json"));
        }
        let sent = request.send_body(call.body).await;
        let mut response = sent.map_err(|error| error.to_string())?;
        let body =
            response.body().limit(MAX_BODY_BYTES).await.map_err(|error| error.to_string())?;
        Ok(HttpAnswer {
            status: response.status(),
            headers: response.headers().clone(),
            body: body.to_vec(),
        })
    }

    /// Sends a GET request and parses the answer as JSON.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        timeout: Duration,
    ) -> Result<T, String> {
        let call = HttpCall {
            method: Method::GET,
            address,
            path,
            headers: Vec::new(),
            body: Vec::new(),
            timeout,
        };
        let answer = self.send(call).await?;
        if answer.status.is_success() {
            answer.parse_json()
        } else {
            Err(answer.status.to_string())
        }
    }

    /// Posts JSON to an administrative path of a stand-in process.
    pub async fn post_json(
        &self,
        address: &str,
        path: &str,
        body: &impl Serialize,
    ) -> Result<(), String> {
        let body = serde_json::to_vec(body).map_err(|error| error.to_string())?;
        let timeout = Duration::from_secs(5);
        let call =
            HttpCall { method: Method::POST, address, path, headers: Vec::new(), body, timeout };
        let answer = self.send(call).await.map_err(|error| format!("{address}{path}: {error}"))?;
        if answer.status.is_success() {
            Ok(())
        } else {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            Err(format!("{address}{path}: {}: {text}", answer.status))
        }
    }
}
