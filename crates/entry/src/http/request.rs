//! Handles a request: authorises and places it, sends it to an endpoint, answers the caller and
//! releases the slot.

use std::time::{Duration, Instant};

use actix_web::{HttpRequest, HttpResponse, web};
use link::body::ReceivedBody;
use link::endpoint::{AttemptResult, EndpointAttempt};
use model::kind::{ErrorKind, RequestOutcome};
use model::name::{EntryId, RequestId, WorkerName};
use smallvec::SmallVec;
use wire::api::{DEADLINE_HEADER, IDEMPOTENT_HEADER, OUTCOME_HEADER, REQUEST_ID_HEADER};
use wire::peer::{PeerRefusal, SlotGrant, SlotPlacement};

use crate::control::handle::{ControlCall, ControlHandle};
use crate::control::requests::PlacedGrant;
use crate::http::{Traffic, answer, bearer_secret, header_text};
use crate::metrics::label;
use crate::snapshot::{ConfigSnapshot, QueueAccess};

/// Deadline in milliseconds of a request that names none.
const DEFAULT_DEADLINE_MS: u64 = 10_000;
/// Longest deadline in milliseconds that a caller may name.
const MAX_DEADLINE_MS: u64 = 600_000;
/// Most attempts of one request, whatever the retry budget allows.
const MAX_ATTEMPTS: u32 = 8;

/// A checked request of a caller.
#[derive(Debug)]
struct CallerRequest {
    id: RequestId,
    /// Whether the caller chose the identifier and may therefore send the request again.
    has_caller_id: bool,
    idempotent: bool,
    deadline: Instant,
    access: QueueAccess,
    body: ReceivedBody,
    config_version: u64,
}

/// Serves one request of a caller.
pub async fn handle_request(
    request: HttpRequest,
    queue: web::Path<String>,
    payload: web::Payload,
    traffic: Traffic,
) -> HttpResponse {
    let body = match traffic.read_body(&request, payload).await {
        Ok(body) => body,
        Err(error) => {
            let kind = answer::body_error_kind(&error);
            let outcome = kind.answer().outcome.as_str();
            let labels = [label("outcome", outcome), label("kind", kind.code())];
            traffic.shared.metrics.requests.add(1, &labels);
            return answer::from_body_error(&error);
        }
    };
    let arrived_at = Instant::now();
    let checked = check_request(&request, &queue, body, arrived_at, &traffic);
    let (id, result) = match checked {
        Ok(request) => (request.id.clone(), run_request(&traffic, &request).await),
        Err(refusal) => (RequestId::default(), Err(refusal)),
    };
    let (outcome, kind) = match &result {
        Ok(_) => (RequestOutcome::Answered, "none"),
        Err(refusal) => (refusal.kind.answer().outcome, refusal.kind.code()),
    };
    let metrics = &traffic.shared.metrics;
    metrics.requests.add(1, &[label("outcome", outcome.as_str()), label("kind", kind)]);
    metrics.request_time_ms.record(arrived_at.elapsed().as_secs_f64() * 1000.0, &[]);
    let mut response = match result {
        Ok(body) => answer::builder(200, RequestOutcome::Answered)
            .content_type("application/octet-stream")
            .body(body),
        Err(refusal) => answer::from_refusal(&refusal),
    };
    if let Ok(value) = id.as_str().parse() {
        let name = actix_web::http::header::HeaderName::from_static(REQUEST_ID_HEADER);
        response.headers_mut().insert(name, value);
    }
    if traffic.is_draining() {
        // A client that keeps the connection could send on it while it is being closed.
        response.head_mut().set_connection_type(actix_web::http::ConnectionType::Close);
    }
    debug_assert!(response.headers().contains_key(OUTCOME_HEADER));
    response
}

fn check_request(
    request: &HttpRequest,
    queue: &str,
    body: ReceivedBody,
    arrived_at: Instant,
    traffic: &Traffic,
) -> Result<CallerRequest, PeerRefusal> {
    let bad_input = |message: &str| Err(PeerRefusal::new(ErrorKind::BadInput, message));
    let snapshot = traffic.snapshot();
    let access = snapshot.authorize(queue, bearer_secret(request))?;
    if !ConfigSnapshot::accepts_requests(&access) {
        return bad_input("the queue takes jobs; submit them to `/v1/jobs`");
    }
    let idempotent = match header_text(request, IDEMPOTENT_HEADER) {
        None | Some("true") => true,
        Some("false") => false,
        Some(_) => return bad_input("header x-idempotent: must be `true` or `false`"),
    };
    let deadline = match header_text(request, DEADLINE_HEADER) {
        None => DEFAULT_DEADLINE_MS,
        Some(text) => match text.parse() {
            Ok(millis) if (1..=MAX_DEADLINE_MS).contains(&millis) => millis,
            _ => return bad_input("header x-deadline-ms: must be a number from 1 to 600000"),
        },
    };
    let caller_id = header_text(request, REQUEST_ID_HEADER);
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    if let Some(id) = caller_id
        && (id.is_empty() || id.len() > 128 || !id.bytes().all(is_allowed))
    {
        return bad_input("header x-request-id: must be 1 to 128 letters, digits, `.`, `_` or `-`");
    }
    let id = caller_id.map_or_else(
        || RequestId::from(format!("m-{:032x}", rand::random::<u128>())),
        RequestId::from,
    );
    Ok(CallerRequest {
        id,
        has_caller_id: caller_id.is_some(),
        idempotent,
        deadline: arrived_at + Duration::from_millis(deadline),
        access,
        body,
        config_version: snapshot.version,
    })
}

/// A granted slot that is released however the request ends.
///
/// When the caller disconnects, the handler is dropped at an await. The request
/// may then still run at the worker, so that the slot is released as not ended.
struct HeldSlot<'a> {
    control: &'a ControlHandle,
    placed: Option<PlacedGrant>,
}

impl<'a> HeldSlot<'a> {
    const fn new(control: &'a ControlHandle, placed: PlacedGrant) -> Self {
        Self { control, placed: Some(placed) }
    }

    fn grant(&self) -> &SlotGrant {
        let placed = self.placed.as_ref().expect("the slot is held until it is released");
        &placed.grant
    }

    fn release(&mut self, ended: bool) {
        if let Some(placed) = self.placed.take() {
            self.control.send(ControlCall::ReleaseSlot(placed, ended));
        }
    }
}

impl Drop for HeldSlot<'_> {
    fn drop(&mut self) {
        self.release(false);
    }
}

async fn run_request(
    traffic: &Traffic,
    request: &CallerRequest,
) -> Result<web::Bytes, PeerRefusal> {
    traffic.budget.borrow_mut().record_first_attempt();
    if request.idempotent || !request.has_caller_id {
        return attempt_until_answered(traffic, request).await;
    }
    let (team, id) = (request.access.team.clone(), request.id.clone());
    let insert = |reply| ControlCall::InsertIdentifier(team.clone(), id.clone(), reply);
    let version = traffic.shared.control.try_call(insert).await?;
    let result = attempt_until_answered(traffic, request).await;
    if let Err(refusal) = &result
        && refusal.kind.answer().outcome == RequestOutcome::NotRun
    {
        let delete = |reply| ControlCall::DeleteIdentifier(team, id, version, reply);
        traffic.shared.control.call(delete).await;
    }
    result
}

async fn attempt_until_answered(
    traffic: &Traffic,
    request: &CallerRequest,
) -> Result<web::Bytes, PeerRefusal> {
    let mut avoid: SmallVec<[WorkerName; 4]> = SmallVec::new();
    let mut may_have_run = false;
    let mut number = 1;
    loop {
        let placed = match place_request(traffic, request, &avoid).await {
            Ok(placed) => placed,
            // A refused placement does not show whether an earlier attempt ran.
            Err(_) if may_have_run => {
                return Err(lost_refusal("no further attempt could be placed"));
            }
            Err(refusal) => return Err(refusal),
        };
        let worker = placed.grant.worker.clone();
        let domain = placed.grant.domain.clone();
        let mut slot = HeldSlot::new(&traffic.shared.control, placed);
        let sent_at = Instant::now();
        let result = send_attempt(traffic, request, slot.grant(), number).await;
        if matches!(result, AttemptResult::Answered(_)) {
            traffic
                .estimate
                .borrow_mut()
                .record_run_time(&request.access.queue.name, sent_at.elapsed());
        }
        let (result_name, ended) = match &result {
            AttemptResult::Answered(_) => ("answered", true),
            AttemptResult::NotRun(_) => ("not-run", true),
            AttemptResult::Lost(_) => ("lost", false),
            AttemptResult::BadAnswer(_) => ("bad-answer", false),
            AttemptResult::Timeout => ("timeout", false),
        };
        traffic.shared.metrics.endpoint_attempts.add(1, &[label("result", result_name)]);
        log::info!(
            target: "routing",
            "attempt request={} number={number} team={} domain={domain} worker={worker} result={result_name}",
            request.id, request.access.team
        );
        slot.release(ended);
        let refusal = match result {
            AttemptResult::Answered(body) => return Ok(body),
            AttemptResult::NotRun(reason) => PeerRefusal::new(
                ErrorKind::WorkerRefused,
                format!("worker {worker} refused before running: {reason}"),
            ),
            AttemptResult::Lost(reason) => lost_refusal(&reason),
            AttemptResult::BadAnswer(reason) => PeerRefusal::new(ErrorKind::BadAnswer, reason),
            AttemptResult::Timeout => {
                let message = "the endpoint did not answer before the deadline";
                PeerRefusal::new(ErrorKind::EndpointTimeout, message)
            }
        };
        let not_run = refusal.kind == ErrorKind::WorkerRefused;
        may_have_run |= !not_run;
        let may_retry = (not_run || request.idempotent)
            && number < MAX_ATTEMPTS
            && Instant::now() < request.deadline
            && (not_run || traffic.budget.borrow_mut().try_take_retry());
        if !may_retry {
            return Err(if may_have_run && not_run {
                lost_refusal(&refusal.message)
            } else {
                refusal
            });
        }
        avoid.push(worker);
        number += 1;
    }
}

fn lost_refusal(reason: &str) -> PeerRefusal {
    let message = format!("the request may have run, its answer was lost: {reason}");
    PeerRefusal::new(ErrorKind::EndpointLost, message)
}

async fn place_request(
    traffic: &Traffic,
    request: &CallerRequest,
    avoid: &SmallVec<[WorkerName; 4]>,
) -> Result<PlacedGrant, PeerRefusal> {
    let remaining = request.deadline.saturating_duration_since(Instant::now());
    // With a slot granted any later, the answer would miss the deadline.
    let reserve = traffic.estimate.borrow().estimate_reserve(&request.access.queue.name, remaining);
    let remaining = remaining.saturating_sub(reserve);
    let placement = SlotPlacement {
        team: request.access.team.clone(),
        queue: request.access.queue.name.clone(),
        key_digest: request.access.digest.clone(),
        request: request.id.clone(),
        wait_ms: u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX),
        entry: EntryId::from(traffic.shared.entry.as_str()),
        avoid: avoid.clone(),
        config_version: request.config_version,
    };
    traffic.shared.control.try_call(|reply| ControlCall::PlaceRequest(placement, reply)).await
}

async fn send_attempt(
    traffic: &Traffic,
    request: &CallerRequest,
    grant: &SlotGrant,
    number: u32,
) -> AttemptResult {
    let remaining = request.deadline.saturating_duration_since(Instant::now());
    if remaining.is_zero() {
        return AttemptResult::NotRun("the deadline passed while waiting for a slot".to_owned());
    }
    let attempt = EndpointAttempt {
        address: grant.address.clone(),
        request: request.id.clone(),
        attempt: number,
        team: request.access.team.clone(),
        authority: grant.authority,
        boot: grant.boot.clone(),
        not_after: grant.not_after,
        body: request.body.bytes().clone(),
    };
    traffic.endpoints.send(&attempt, remaining).await
}
