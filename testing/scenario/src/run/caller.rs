//! Test callers that send requests at a steady rate and submit jobs.

use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;

use awc::http::Method;
use model::job::JobSpec;
use model::kind::RequestOutcome;
use model::name::{JobId, KeyName};
use model::resource::ResourceAmounts;
use serde_json::{Value, json};
use sha2::Digest;
use tokio::time::{self, Instant};
use wire::api;
use wire::history::CallerEvent;

use super::config;
use super::http::{HttpAnswer, HttpCall};
use super::state::RunState;
use super::topology::EntryNode;
use crate::record::RunnerEvent;
use crate::script::{JobPlan, LoadPlan};

/// Time that a caller waits for an answer beyond the deadline that it sent.
const CALLER_TIMEOUT_MARGIN: Duration = Duration::from_secs(3);
/// Longest time that a caller waits for the answer to a submitted job.
const JOB_TIMEOUT: Duration = Duration::from_secs(12);
/// Time before a request that failed with a transient error is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Counts one background task of the run until it is dropped.
struct BackgroundTaskGuard(Rc<RunState>);

impl BackgroundTaskGuard {
    fn new(state: &Rc<RunState>) -> Self {
        state.background_tasks.set(state.background_tasks.get() + 1);
        Self(Rc::clone(state))
    }
}

impl Drop for BackgroundTaskGuard {
    fn drop(&mut self) {
        self.0.background_tasks.set(self.0.background_tasks.get() - 1);
    }
}

/// Starts a background task that sends the requests of a load.
pub fn spawn_load(state: &Rc<RunState>, plan: LoadPlan) {
    let guard = BackgroundTaskGuard::new(state);
    let state = Rc::clone(state);
    let load = state.next_number();
    state.journal.record_runner(RunnerEvent::LoadBegan { load, domain: plan.domain.clone() });
    let plan = Rc::new(plan);
    actix_rt::spawn(async move {
        let start = Instant::now();
        let mut sent = 0;
        loop {
            let offset = Duration::from_micros(sent * 1_000_000 / plan.rate);
            if offset >= plan.length {
                break;
            }
            time::sleep_until(start + offset).await;
            let request = format!("l{load}-{sent:06}");
            let guard = BackgroundTaskGuard::new(&state);
            let (state, plan) = (Rc::clone(&state), Rc::clone(&plan));
            actix_rt::spawn(async move {
                send_request(&state, &plan, &request, sent).await;
                drop(guard);
            });
            sent += 1;
        }
        state.journal.record_runner(RunnerEvent::LoadEnded { load });
        drop(guard);
    });
}

/// Sends one request and retries it with the same identifier, up to the load's limit.
///
/// `turn` selects the first entry, so that requests and retries rotate over entries.
async fn send_request(state: &RunState, plan: &LoadPlan, request: &str, turn: u64) {
    for attempt in 0..=plan.retry {
        if attempt > 0 {
            time::sleep(RETRY_DELAY).await;
        }
        let entries = state.balanced_entries(&plan.domain);
        let count = u64::try_from(entries.len()).unwrap_or(1).max(1);
        let index = usize::try_from((turn + attempt) % count).unwrap_or_default();
        let Some(entry) = entries.get(index) else { return };
        let (status, outcome) = send_once(state, plan, request, entry).await;
        let is_transient = status == 0 || status == 429 || status >= 500;
        if outcome == RequestOutcome::Answered || !is_transient {
            return;
        }
    }
}

/// Sends a request once and records it; returns the HTTP status (0 if none) and outcome.
async fn send_once(
    state: &RunState,
    plan: &LoadPlan,
    request: &str,
    entry: &EntryNode,
) -> (u16, RequestOutcome) {
    state.journal.record_runner(RunnerEvent::RequestVia {
        request: request.to_owned(),
        entry: entry.name.clone(),
    });
    state.journal.record_caller(CallerEvent::Sent {
        request: request.to_owned(),
        team: plan.key.as_ref().map(|_| plan.team.clone()),
        key: plan.key.as_ref().map(ToString::to_string),
        queue: plan.queue.to_string(),
        domain: plan.domain.clone(),
        idempotent: plan.idempotent,
    });
    let mut headers = vec![
        (api::REQUEST_ID_HEADER, request.to_owned()),
        (api::IDEMPOTENT_HEADER, plan.idempotent.to_string()),
        (api::DEADLINE_HEADER, plan.deadline.as_millis().to_string()),
    ];
    headers.extend(plan.key.as_ref().map(authorization));
    let body = json!({"run_ms": plan.run.as_millis(), "answer_bytes": plan.answer});
    let call = HttpCall {
        method: Method::POST,
        address: &entry.http,
        path: &format!("{}{}/request", api::QUEUE_PREFIX, plan.queue),
        headers,
        body: body.to_string().into_bytes(),
        timeout: plan.deadline + CALLER_TIMEOUT_MARGIN,
    };
    let (status, outcome, digest) = if let Ok(answer) = state.client.send(call).await {
        classify_answer(&answer, request)
    } else {
        state.mark_unreachable(&entry.name);
        (0, RequestOutcome::Unknown, String::new())
    };
    let request = request.to_owned();
    state.journal.record_caller(CallerEvent::Received { request, status, outcome, digest });
    (status, outcome)
}

fn authorization(key: &KeyName) -> (&'static str, String) {
    ("authorization", format!("Bearer {}", config::key_secret(key)))
}

/// Returns the status, outcome and body digest of an answer.
///
/// Workers begin the body with the request's identifier. The digest is empty if
/// the body belongs to another request, so that the checker reports it.
fn classify_answer(answer: &HttpAnswer, request: &str) -> (u16, RequestOutcome, String) {
    let outcome = match answer.header(api::OUTCOME_HEADER) {
        "answered" => RequestOutcome::Answered,
        "not-run" => RequestOutcome::NotRun,
        _ => RequestOutcome::Unknown,
    };
    let is_own = answer.body.starts_with(request.as_bytes());
    let digest = if outcome == RequestOutcome::Answered && !is_own {
        String::new()
    } else {
        hex_digest(&answer.body)
    };
    (answer.status.as_u16(), outcome, digest)
}

fn hex_digest(bytes: &[u8]) -> String {
    sha2::Sha256::digest(bytes).iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Starts a background task that submits a job.
pub fn spawn_job(state: &Rc<RunState>, plan: JobPlan) {
    let guard = BackgroundTaskGuard::new(state);
    let state = Rc::clone(state);
    actix_rt::spawn(async move {
        submit_job(&state, &plan).await;
        drop(guard);
    });
}

async fn submit_job(state: &RunState, plan: &JobPlan) {
    let first = state.layout.domains.first().map(|domain| domain.name.clone());
    let entries = plan.domain.as_ref().or(first.as_ref()).map(|it| state.balanced_entries(it));
    let Some(entry) = entries.and_then(|entries| entries.first().copied()) else { return };
    let job = format!("job-{}", state.next_number());
    let spec = JobSpec {
        id: JobId::from(job.as_str()),
        queue: plan.queue.clone(),
        tasks: plan.tasks,
        amounts: config::patch_amounts(ResourceAmounts::ZERO, plan.amounts),
        run_ms: u64::try_from(plan.run.as_millis()).unwrap_or(u64::MAX),
        payload: json!({"run_ms": plan.run.as_millis()}),
    };
    state.journal.record_runner(RunnerEvent::JobVia {
        job: job.clone(),
        entry: entry.name.clone(),
        queue: plan.queue.to_string(),
    });
    state.journal.record_caller(CallerEvent::JobSent {
        job: job.clone(),
        team: plan.team.clone(),
        key: plan.key.to_string(),
    });
    let call = HttpCall {
        method: Method::POST,
        address: &entry.http,
        path: api::JOB_PATH,
        headers: vec![authorization(&plan.key)],
        body: serde_json::to_vec(&spec).unwrap_or_default(),
        timeout: JOB_TIMEOUT,
    };
    let answer = state.client.send(call).await;
    let status = answer.as_ref().map_or(0, |answer| answer.status.as_u16());
    state.journal.record_caller(CallerEvent::JobReceived { job: job.clone(), status });
    if (200..300).contains(&status) {
        state.jobs.borrow_mut().push((job, config::key_secret(&plan.key)));
    }
}

/// Returns true if a ready entry reports that a job is done.
pub async fn is_job_done(state: &RunState, job: &str, secret: &str) -> bool {
    let Ok(entry) = state.any_entry() else { return false };
    let call = HttpCall {
        method: Method::GET,
        address: &entry.http,
        path: &format!("{}/{job}", api::JOB_PATH),
        headers: vec![("authorization", format!("Bearer {secret}"))],
        body: Vec::new(),
        timeout: Duration::from_secs(2),
    };
    let Ok(answer) = state.client.send(call).await else { return false };
    let record: Result<Value, _> = answer.parse_json();
    answer.status.is_success() && record.is_ok_and(|record| record["state"] == "done")
}
