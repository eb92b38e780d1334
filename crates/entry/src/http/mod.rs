//! The HTTP API for callers, operators, the balancer and monitoring.

pub mod answer;
pub mod config;
pub mod estimate;
pub mod jobs;
pub mod request;

use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use actix_web::{HttpRequest, HttpResponse, web};
use link::body::{self, BodyError, BodyLimits, ReceivedBody};
use link::budget::RetryBudget;
use link::connection::ConnectionHandle;
use link::endpoint::EndpointClient;
use link::intake::ClientIntake;
use model::kind::{ErrorBody, ErrorKind};
use tokio::sync::watch;
use wire::peer::PeerRefusal;

use crate::control::handle::{ControlCall, ControlHandle};
use crate::http::estimate::RunEstimate;
use crate::metrics::{EntryMetrics, label};
use crate::snapshot::ConfigSnapshot;

/// Limits of a body.
const BODY_LIMITS: BodyLimits = BodyLimits::new(link::http::MAX_BODY_BYTES);

/// State shared by all traffic threads.
#[derive(Clone, Debug)]
pub struct SharedTraffic {
    /// Handle of the control thread.
    pub control: ControlHandle,
    /// Room for connections and bodies of callers.
    pub callers: ClientIntake,
    /// The configuration in force.
    pub snapshots: watch::Receiver<Arc<ConfigSnapshot>>,
    /// Metrics of the process.
    pub metrics: Arc<EntryMetrics>,
    /// Whether the process is shutting down.
    pub draining: Arc<AtomicBool>,
    /// Source IP of connections to endpoints.
    pub outgoing_ip: Option<IpAddr>,
    /// Digest of the operators' secret; without one every caller counts as an operator.
    pub operator_digest: Option<String>,
    /// Name of this entry, sent with each placement.
    pub entry: String,
}

/// State of one traffic thread.
#[derive(Debug)]
pub struct TrafficState {
    /// State shared by all traffic threads.
    pub shared: SharedTraffic,
    /// Client of endpoints; its connections are used by this thread only.
    pub endpoints: EndpointClient,
    /// Retry budget of this thread.
    pub budget: RefCell<RetryBudget>,
    /// Estimated run times of requests by queue.
    pub estimate: RefCell<RunEstimate>,
}

/// State of a traffic thread as passed to handlers.
pub type Traffic = web::Data<Rc<TrafficState>>;

impl TrafficState {
    /// Creates the state of one traffic thread.
    #[must_use]
    pub fn new(shared: SharedTraffic) -> Self {
        let endpoints = EndpointClient::new(shared.outgoing_ip);
        Self { shared, endpoints, budget: RefCell::default(), estimate: RefCell::default() }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn snapshot(&self) -> Arc<ConfigSnapshot> {
        self.shared.snapshots.borrow().clone()
    }

    /// Returns whether the process is shutting down.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.shared.draining.load(Ordering::Relaxed)
    }

    /// Reads the body of a request, before any check of its key.
    ///
    /// # Errors
    /// [`BodyError`] if it is too long, arrives too slowly or finds no room.
    pub async fn read_body(
        &self,
        request: &HttpRequest,
        mut payload: web::Payload,
    ) -> Result<ReceivedBody, BodyError> {
        let declared = header_text(request, "content-length").and_then(|text| text.parse().ok());
        let connection = request.conn_data::<ConnectionHandle>();
        let intake = &self.shared.callers;
        body::read_body(&mut payload, declared, BODY_LIMITS, intake, connection).await
    }

    /// Counts a call about a job or the configuration whose body was not received, and builds its
    /// answer.
    #[must_use]
    pub fn refuse_unread(&self, call: &str, error: &BodyError) -> HttpResponse {
        let kind = answer::body_error_kind(error);
        self.shared.metrics.refusals.add(1, &[label("call", call), label("kind", kind.code())]);
        answer::from_body_error(error)
    }

    /// Counts a refusal of a call about a job or the configuration, and builds its answer.
    #[must_use]
    pub fn refuse(&self, call: &str, refusal: &PeerRefusal) -> HttpResponse {
        self.refuse_body(call, &ErrorBody::new(refusal.kind, refusal.message.clone()))
    }

    /// Counts a refusal whose body has more than kind and message, and builds its answer.
    #[must_use]
    pub fn refuse_body(&self, call: &str, error: &ErrorBody) -> HttpResponse {
        let labels = [label("call", call), label("kind", error.kind.code())];
        self.shared.metrics.refusals.add(1, &labels);
        answer::from_body(error)
    }
}

/// Adds all routes to an application.
pub fn configure_routes(config: &mut web::ServiceConfig) {
    config
        .route("/v1/queues/{queue}/request", web::post().to(request::handle_request))
        .route("/v1/jobs", web::post().to(jobs::submit_job))
        .route("/v1/jobs/{job}", web::get().to(jobs::get_job))
        .route("/v1/jobs/{job}", web::delete().to(jobs::cancel_job))
        .route("/v1/config", web::get().to(config::get_config))
        .route("/v1/config", web::put().to(config::put_config))
        .route("/v1/status", web::get().to(get_status))
        .route("/health/ready", web::get().to(get_ready))
        .route("/metrics", web::get().to(get_metrics))
        .default_service(web::to(refuse_unknown_path));
}

async fn get_status(traffic: Traffic) -> HttpResponse {
    match traffic.shared.control.call(ControlCall::Status).await {
        Some(report) => HttpResponse::Ok().json(report),
        None => answer::from_kind(ErrorKind::Draining, "the control thread has stopped"),
    }
}

async fn get_ready(traffic: Traffic) -> HttpResponse {
    if traffic.is_draining() {
        return answer::from_kind(ErrorKind::Draining, "this entry is shutting down");
    }
    match traffic.shared.control.call(ControlCall::IsReady).await {
        Some(true) => HttpResponse::Ok().body("ready\n"),
        _ => answer::from_kind(ErrorKind::NoOwner, "no configuration or no owner is known yet"),
    }
}

async fn get_metrics(traffic: Traffic) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(traffic.shared.metrics.render())
}

async fn refuse_unknown_path(request: HttpRequest) -> HttpResponse {
    let message = format!("there is no {} {}", request.method(), request.path());
    answer::from_kind(ErrorKind::NotFound, &message)
}

/// Returns the secret in the `authorization: Bearer` header.
#[must_use]
pub fn bearer_secret(request: &HttpRequest) -> Option<&str> {
    let value = request.headers().get("authorization")?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(str::trim).filter(|secret| !secret.is_empty())
}

/// Returns a header as text.
#[must_use]
pub fn header_text<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}
