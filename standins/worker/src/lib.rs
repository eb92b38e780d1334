//! Stand-in for a worker VM: runs tasks under a lease and answers requests.
//!
//! The protocol is `wire::worker`; `docs/standins.md` describes settings, rules
//! and fault injection.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use actix_web::body::SizedStream;
use actix_web::dev::{Extensions, ServerHandle};
use actix_web::http::header::HeaderMap;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use futures_util::stream::{self, StreamExt};
use model::authority::OwnerAuthority;
use model::name::{BootId, DomainName, TaskId, TeamName, WorkerName};
use model::resource::ResourceAmounts;
use model::time::ClockMillis;
use serde::Deserialize;
use serde_json::json;
use sha2::{Digest, Sha256};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use wire::history::{self, WorkerEvent, WorkerRecord};
use wire::worker::{
    self, EndReport, RefusalReason, RenewCall, SlotReport, StartCall, StartReply, StopCall,
    StopMode, StopReply, TaskEnd, TaskReport, WorkerReport,
};

/// How long an idle connection stays open; longer than clients keep one, so that the stand-in
/// never closes it first.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_mins(2);

/// Largest accepted body in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Time between the first half of a truncated answer and the end of its
/// connection; an error at once would discard the half that is still buffered.
const TRUNCATION_DELAY: Duration = Duration::from_millis(20);

/// Longest sleep between two checks for due ends of tasks and of the lease, in milliseconds.
const MAX_TIMER_SLEEP_MS: u64 = 60_000;

/// Settings of one worker.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSettings {
    /// Name of the worker.
    pub name: WorkerName,
    /// Failure domain that it is in.
    pub domain: DomainName,
    /// Address to listen on.
    pub address: SocketAddr,
    /// What its tasks and requests may use together.
    pub capacity: ResourceAmounts,
    /// Maximum number of connections that carry requests at the same time.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// File to which history records are appended; none to keep no history.
    #[serde(default)]
    pub history: Option<PathBuf>,
    /// Delay from the start of a task until reports show its usage, in milliseconds.
    #[serde(default = "default_usage_lag_ms")]
    pub usage_lag_ms: u64,
}

const fn default_connections() -> u32 {
    64
}

const fn default_usage_lag_ms() -> u64 {
    2000
}

/// Faults in force, set by `POST /admin/fault`.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct WorkerFault {
    /// New tasks fail at once.
    fail_tasks: bool,
    /// Answers end after half of their body.
    truncate_answers: bool,
    /// Delay between the end of a request and its answer.
    answer_delay_ms: u64,
    /// Answers carry the identifier and body of another request.
    swap_ids: bool,
}

/// What a task does, from its payload.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct TaskPayload {
    /// Time until the task ends by itself; a task with 0 runs until it is stopped, or fails at once
    /// if `fail` is set.
    run_ms: u64,
    /// Whether the task fails instead of completing.
    fail: bool,
    /// What the task uses; none for all that is reserved for it.
    usage: Option<ResourceAmounts>,
}

/// What a request does, from its body.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct RequestPayload {
    run_ms: u64,
    /// Minimum length of the answer's body, in bytes.
    answer_bytes: usize,
}

#[derive(Debug)]
struct RunningTask {
    attempt: u32,
    team: TeamName,
    /// What is reserved for the task.
    amounts: ResourceAmounts,
    usage: ResourceAmounts,
    started_at: ClockMillis,
    /// When and how the task ends by itself; none if it runs until it is stopped.
    planned_end: Option<(ClockMillis, TaskEnd)>,
    /// Whether the task runs at half speed.
    throttled: bool,
}

/// The headers of a request that the protocol requires.
#[derive(Clone, Debug)]
struct RequestHeaders {
    /// Identifier of the request.
    request: String,
    attempt: u32,
    authority: OwnerAuthority,
    boot: BootId,
    not_after: ClockMillis,
    team: TeamName,
}

impl RequestHeaders {
    fn parse(headers: &HeaderMap) -> Option<Self> {
        let text = |name| headers.get(name)?.to_str().ok();
        Some(Self {
            request: text(worker::REQUEST_ID_HEADER)?.to_owned(),
            attempt: text(worker::ATTEMPT_HEADER)?.parse().ok()?,
            authority: text(worker::AUTHORITY_HEADER)?.parse().ok()?,
            boot: text(worker::BOOT_HEADER)?.into(),
            not_after: ClockMillis(text(worker::NOT_AFTER_HEADER)?.parse().ok()?),
            team: text(worker::TEAM_HEADER)?.into(),
        })
    }
}

#[derive(Debug)]
struct WorkerState {
    boot: BootId,
    /// Highest authority seen; calls with a lower one are refused.
    authority: OwnerAuthority,
    /// End of the lease; none before the first one and after it expired.
    lease: Option<ClockMillis>,
    tasks: BTreeMap<TaskId, RunningTask>,
    /// Ended tasks that are not acknowledged.
    ended: Vec<EndReport>,
    next_end_number: u64,
    /// Request slots in use by team.
    slots: BTreeMap<TeamName, u32>,
    /// Open connections that have carried a request.
    connections: u32,
    /// Whether the VM is about to leave and refuses new work.
    leaving: bool,
    fault: WorkerFault,
    /// Identifier of the last request that ended, for swapped answers.
    last_request: String,
    history: Option<File>,
}

fn count_used_slots(state: &WorkerState) -> u32 {
    state.slots.values().sum()
}

fn free_slot(state: &mut WorkerState, team: &TeamName) {
    if let Some(slots) = state.slots.get_mut(team) {
        *slots -= 1;
        if *slots == 0 {
            state.slots.remove(team);
        }
    }
}

fn report_slots((team, slots): (&TeamName, &u32)) -> SlotReport {
    SlotReport { team: team.clone(), slots: *slots }
}

#[derive(Debug)]
struct Worker {
    settings: WorkerSettings,
    booted_at: Instant,
    stopping: CancellationToken,
    /// Signals that the lease or the tasks have changed.
    changed: Notify,
    state: Mutex<WorkerState>,
}

impl Worker {
    fn now(&self) -> ClockMillis {
        let elapsed = self.booted_at.elapsed().as_millis();
        ClockMillis(u64::try_from(elapsed).expect("uptime fits in 64 bits"))
    }

    fn lock_state(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the state and ends the tasks and the lease that are due.
    ///
    /// After a pause of the process, a call can arrive before the timer of an expired
    /// lease has fired; the call must not see that lease as valid.
    fn lock_and_expire(&self) -> (MutexGuard<'_, WorkerState>, ClockMillis) {
        let mut state = self.lock_state();
        let now = self.now();
        self.expire(&mut state, now);
        (state, now)
    }

    /// Ends tasks whose time has come, and all tasks if the lease has expired.
    fn expire(&self, state: &mut WorkerState, now: ClockMillis) {
        // A lease has expired at the instant of its end already, as the clock rounds down.
        let expired = state.lease.filter(|end| *end <= now);
        let until = expired.unwrap_or(now);
        let mut due: Vec<_> = state
            .tasks
            .iter()
            .filter_map(|(task, running)| Some((running.planned_end?, task.clone())))
            .filter(|((at, _), _)| *at <= until)
            .collect();
        due.sort_by_key(|((at, _), _)| *at);
        for ((_, end), task) in due {
            self.end_task(state, &task, end);
        }
        if expired.is_some() {
            while let Some(task) = state.tasks.keys().next().cloned() {
                self.end_task(state, &task, TaskEnd::LeaseExpired);
            }
            state.lease = None;
        }
    }

    fn end_task(&self, state: &mut WorkerState, task: &TaskId, end: TaskEnd) {
        let Some(running) = state.tasks.remove(task) else { return };
        let attempt = running.attempt;
        self.record(state, WorkerEvent::TaskEnded { task: task.clone(), attempt, end });
        let number = state.next_end_number;
        state.next_end_number += 1;
        state.ended.push(EndReport { number, task: task.clone(), attempt, end });
    }

    /// Appends to the history. Callers hold the lock, so that no effect is visible before its
    /// record.
    fn record(&self, state: &mut WorkerState, event: WorkerEvent) {
        let Some(file) = &mut state.history else { return };
        let record = WorkerRecord {
            at_us: history::monotonic_us(),
            worker: self.settings.name.clone(),
            domain: self.settings.domain.clone(),
            boot: state.boot.clone(),
            event,
        };
        let mut line = serde_json::to_vec(&record).expect("records serialize");
        line.push(b'\n');
        // An unbuffered file: one write makes the whole line visible. A history
        // with a gap would let a faulty run pass, so an error ends the worker.
        if let Err(error) = file.write_all(&line) {
            eprintln!("cannot write history: {error}");
            std::process::abort();
        }
    }

    /// Records the authority of a call; returns none if a higher one was seen before.
    fn accept_authority(state: &mut WorkerState, authority: OwnerAuthority) -> Option<()> {
        (authority >= state.authority).then(|| state.authority = authority)
    }

    /// Returns what tasks and requests have reserved together.
    fn reserved_amounts(state: &WorkerState) -> ResourceAmounts {
        let requests =
            ResourceAmounts { slots: u64::from(count_used_slots(state)), ..ResourceAmounts::ZERO };
        state.tasks.values().fold(requests, |sum, running| sum.plus(running.amounts))
    }

    fn check_start(
        &self,
        state: &mut WorkerState,
        now: ClockMillis,
        call: &StartCall,
    ) -> Result<(), RefusalReason> {
        Self::accept_authority(state, call.authority).ok_or(RefusalReason::StaleAuthority)?;
        if call.boot != state.boot {
            return Err(RefusalReason::WrongBoot);
        }
        if call.not_after <= now {
            return Err(RefusalReason::Expired);
        }
        if state.lease.is_none() {
            return Err(RefusalReason::NoLease);
        }
        if state.leaving {
            return Err(RefusalReason::Leaving);
        }
        if state.tasks.contains_key(&call.task) {
            return Err(RefusalReason::Duplicate);
        }
        if !Self::reserved_amounts(state).plus(call.amounts).fits_in(self.settings.capacity) {
            return Err(RefusalReason::NoCapacity);
        }
        Ok(())
    }

    fn start_task(&self, call: StartCall) -> Option<RefusalReason> {
        let (mut state, now) = self.lock_and_expire();
        let state = &mut *state;
        if let Err(reason) = self.check_start(state, now, &call) {
            self.record(state, WorkerEvent::StartRefused { task: call.task, reason });
            return Some(reason);
        }
        let StartCall { task, attempt, team, amounts, authority, payload, .. } = call;
        // A payload that cannot be read makes the task fail, as invalid input does.
        let payload: TaskPayload = match payload {
            serde_json::Value::Null => TaskPayload::default(),
            payload => serde_json::from_value(payload)
                .unwrap_or(TaskPayload { fail: true, ..TaskPayload::default() }),
        };
        let planned_end = if state.fault.fail_tasks {
            Some((now, TaskEnd::Failed))
        } else if payload.fail {
            Some((now + payload.run_ms, TaskEnd::Failed))
        } else {
            (payload.run_ms > 0).then(|| (now + payload.run_ms, TaskEnd::Done))
        };
        let started = WorkerEvent::TaskStarted {
            task: task.clone(),
            attempt,
            team: team.clone(),
            amounts,
            authority,
        };
        self.record(state, started);
        let usage = payload.usage.unwrap_or(amounts);
        let running = RunningTask {
            attempt,
            team,
            amounts,
            usage,
            started_at: now,
            planned_end,
            throttled: false,
        };
        state.tasks.insert(task, running);
        self.changed.notify_one();
        None
    }

    fn stop_task(&self, call: &StopCall) -> Option<RefusalReason> {
        let (mut state, now) = self.lock_and_expire();
        let state = &mut *state;
        if Self::accept_authority(state, call.authority).is_none() {
            return Some(RefusalReason::StaleAuthority);
        }
        let Some(running) = state.tasks.get_mut(&call.task) else {
            return Some(RefusalReason::UnknownTask);
        };
        match call.mode {
            StopMode::Stop => self.end_task(state, &call.task, TaskEnd::Stopped),
            StopMode::Checkpoint => self.end_task(state, &call.task, TaskEnd::Checkpointed),
            StopMode::Throttle if running.throttled => {}
            StopMode::Throttle => {
                running.throttled = true;
                if let Some((at, _)) = &mut running.planned_end {
                    *at = *at + at.since(now);
                }
            }
        }
        self.changed.notify_one();
        None
    }

    fn renew(&self, call: &RenewCall) -> WorkerReport {
        let (mut state, now) = self.lock_and_expire();
        let state = &mut *state;
        let accepted = Self::accept_authority(state, call.authority).is_some();
        if accepted && call.boot.as_ref() == Some(&state.boot) {
            state.ended.retain(|end| end.number > call.ack);
            // An end in the past does not start a lease that would expire at once.
            let not_after = call.not_after.filter(|end| *end > now);
            state.lease = state.lease.max(not_after);
            self.changed.notify_one();
        }
        let report_task = |(task, running): (&TaskId, &RunningTask)| TaskReport {
            task: task.clone(),
            attempt: running.attempt,
            team: running.team.clone(),
            amounts: running.amounts,
            usage: if now.since(running.started_at) >= self.settings.usage_lag_ms {
                running.usage
            } else {
                ResourceAmounts::ZERO
            },
        };
        WorkerReport {
            authority: state.authority,
            boot: state.boot.clone(),
            clock: now,
            tasks: call.full.then(|| state.tasks.iter().map(report_task).collect()),
            running: u32::try_from(state.tasks.len()).unwrap_or(u32::MAX),
            ended: state.ended.clone(),
            slots_used: count_used_slots(state),
            slots_by_team: state.slots.iter().map(report_slots).collect(),
            leaving: state.leaving,
        }
    }

    fn check_request(
        &self,
        state: &mut WorkerState,
        now: ClockMillis,
        headers: &RequestHeaders,
        connection: &ConnectionSlot,
    ) -> Result<(), RefusalReason> {
        Self::accept_authority(state, headers.authority).ok_or(RefusalReason::StaleAuthority)?;
        if headers.boot != state.boot {
            return Err(RefusalReason::WrongBoot);
        }
        if headers.not_after <= now {
            return Err(RefusalReason::Expired);
        }
        if state.lease.is_none() {
            return Err(RefusalReason::NoLease);
        }
        if state.leaving {
            return Err(RefusalReason::Leaving);
        }
        let connection_free =
            connection.counted.get() || state.connections < self.settings.connections;
        if !connection_free || Self::reserved_amounts(state).slots >= self.settings.capacity.slots {
            return Err(RefusalReason::NoCapacity);
        }
        Ok(())
    }

    fn begin_request(
        &self,
        headers: &RequestHeaders,
        connection: &ConnectionSlot,
    ) -> Result<(), RefusalReason> {
        let (mut state, now) = self.lock_and_expire();
        let state = &mut *state;
        let RequestHeaders { request, attempt, team, .. } = headers.clone();
        if let Err(reason) = self.check_request(state, now, headers, connection) {
            self.record(state, WorkerEvent::RequestRefused { request, attempt, reason });
            return Err(reason);
        }
        if !connection.counted.replace(true) {
            state.connections += 1;
        }
        *state.slots.entry(team.clone()).or_default() += 1;
        let (connections, slots_used) = (state.connections, count_used_slots(state));
        self.record(
            state,
            WorkerEvent::RequestStarted { request, attempt, team, connections, slots_used },
        );
        Ok(())
    }

    /// Runs a request to its end and returns the identifier and body of its answer, with the
    /// faults in force.
    async fn run_request(
        &self,
        headers: &RequestHeaders,
        payload: &RequestPayload,
    ) -> (String, Vec<u8>, WorkerFault) {
        actix_rt::time::sleep(Duration::from_millis(payload.run_ms)).await;
        let answer = |request: &str| {
            let mut body = request.as_bytes().to_vec();
            body.resize(body.len().max(payload.answer_bytes), b'.');
            body
        };
        let body = answer(&headers.request);
        let (answered_id, fault) = {
            let (mut state, _) = self.lock_and_expire();
            let state = &mut *state;
            let RequestHeaders { request, attempt, .. } = headers.clone();
            self.record(
                state,
                WorkerEvent::RequestEnded { request, attempt, digest: digest(&body) },
            );
            free_slot(state, &headers.team);
            let last = std::mem::replace(&mut state.last_request, headers.request.clone());
            let answered_id = if !state.fault.swap_ids {
                headers.request.clone()
            } else if last.is_empty() || last == headers.request {
                format!("other-{}", headers.request)
            } else {
                last
            };
            (answered_id, state.fault)
        };
        actix_rt::time::sleep(Duration::from_millis(fault.answer_delay_ms)).await;
        let body = if fault.swap_ids { answer(&answered_id) } else { body };
        (answered_id, body, fault)
    }

    /// Ends tasks and the lease when they are due, also if no call arrives.
    async fn run_timers(&self) {
        loop {
            let next = {
                let (state, _) = self.lock_and_expire();
                let planned_ends =
                    state.tasks.values().filter_map(|running| Some(running.planned_end?.0));
                planned_ends.chain(state.lease).min()
            };
            // Bounded, as adding the largest instants that calls may name would overflow.
            let latest = self.now() + MAX_TIMER_SLEEP_MS;
            let next = next.map_or(latest, |next| next.min(latest));
            let next = self.booted_at + Duration::from_millis(next.0);
            tokio::select! {
                () = actix_rt::time::sleep_until(next.into()) => {}
                () = self.changed.notified() => {}
            }
        }
    }
}

fn digest(body: &[u8]) -> String {
    use std::fmt::Write as _;

    Sha256::digest(body).iter().fold(String::with_capacity(64), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// A connection, which counts against the limit from its first accepted request until it closes.
///
/// Connections of control and admin calls carry no requests and do not count.
struct ConnectionSlot {
    worker: Arc<Worker>,
    counted: Cell<bool>,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        if self.counted.get() {
            self.worker.lock_state().connections -= 1;
        }
    }
}

async fn renew(worker: web::Data<Worker>, call: web::Json<RenewCall>) -> HttpResponse {
    HttpResponse::Ok().json(worker.renew(&call))
}

async fn start_task(worker: web::Data<Worker>, call: web::Json<StartCall>) -> HttpResponse {
    HttpResponse::Ok().json(StartReply { refusal: worker.start_task(call.into_inner()) })
}

async fn stop_task(worker: web::Data<Worker>, call: web::Json<StopCall>) -> HttpResponse {
    HttpResponse::Ok().json(StopReply { refusal: worker.stop_task(&call) })
}

async fn answer_request(
    worker: web::Data<Worker>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    let connection = request.conn_data::<ConnectionSlot>().expect("set in on_connect");
    let Some(headers) = RequestHeaders::parse(request.headers()) else {
        return HttpResponse::BadRequest()
            .insert_header((worker::NOT_RUN_HEADER, "1"))
            .json(json!({"reason": "bad-headers"}));
    };
    if let Err(reason) = worker.begin_request(&headers, connection) {
        return HttpResponse::ServiceUnavailable()
            .insert_header((worker::REQUEST_ID_HEADER, headers.request))
            .insert_header((worker::ATTEMPT_HEADER, headers.attempt))
            .insert_header((worker::NOT_RUN_HEADER, "1"))
            .json(json!({"reason": reason}));
    }
    let payload = serde_json::from_slice(&body).unwrap_or_default();
    let attempt = headers.attempt;
    // In a task of its own, so that the work continues and holds its slot if the caller
    // disconnects.
    let run = {
        let worker = worker.clone();
        actix_rt::spawn(async move { worker.run_request(&headers, &payload).await })
    };
    let Ok((answered_id, body, fault)) = run.await else {
        return HttpResponse::InternalServerError().finish();
    };
    let mut reply = HttpResponse::Ok();
    reply
        .insert_header((worker::REQUEST_ID_HEADER, answered_id))
        .insert_header((worker::ATTEMPT_HEADER, attempt))
        .insert_header((worker::DIGEST_HEADER, digest(&body)));
    if !fault.truncate_answers {
        return reply.body(body);
    }
    let length = body.len() as u64;
    let half = web::Bytes::copy_from_slice(&body[..body.len() / 2]);
    let cut = stream::once(async {
        actix_rt::time::sleep(TRUNCATION_DELAY).await;
        Err(std::io::Error::other("truncated by an injected fault"))
    });
    let parts = stream::once(async { Ok::<_, std::io::Error>(half) }).chain(cut);
    reply.body(SizedStream::new(length, parts.boxed_local()))
}

async fn set_leaving(worker: web::Data<Worker>) -> HttpResponse {
    let (mut state, _) = worker.lock_and_expire();
    if !state.leaving {
        worker.record(&mut state, WorkerEvent::Leaving);
        state.leaving = true;
    }
    HttpResponse::Ok().finish()
}

async fn set_fault(worker: web::Data<Worker>, fault: web::Json<WorkerFault>) -> HttpResponse {
    let (mut state, _) = worker.lock_and_expire();
    state.fault = fault.into_inner();
    HttpResponse::Ok().finish()
}

/// A running stand-in.
#[derive(Debug)]
pub struct RunningStandin {
    address: SocketAddr,
    handle: ServerHandle,
    stopping: CancellationToken,
}

impl standin_common::RunningServer for RunningStandin {
    fn address(&self) -> SocketAddr {
        self.address
    }

    async fn stop(self) {
        self.stop().await;
    }
}

impl RunningStandin {
    /// Returns the address that it listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections at once, as in a crash.
    ///
    /// Running tasks end without a record.
    pub async fn stop(self) {
        self.stopping.cancel();
        self.handle.stop(false).await;
    }
}

/// Boots a worker. Must be called inside an actix system.
///
/// # Errors
/// Returns the error of opening the history file or binding the address.
pub fn start(settings: WorkerSettings) -> std::io::Result<RunningStandin> {
    static BOOTS: AtomicU32 = AtomicU32::new(0);

    let history = settings.history.as_ref();
    let history = history
        .map(|path| File::options().create(true).append(true).open(path))
        .transpose()
        .map_err(|error| std::io::Error::other(format!("cannot open history file: {error}")))?;
    // Unique: clock and process id differ between processes, the counter between two boots of
    // one process.
    let boot = format!(
        "{}-{:x}-{}-{}",
        settings.name,
        history::monotonic_us(),
        std::process::id(),
        BOOTS.fetch_add(1, Ordering::Relaxed),
    );
    let state = WorkerState {
        boot: boot.into(),
        authority: OwnerAuthority::default(),
        lease: None,
        tasks: BTreeMap::new(),
        ended: Vec::new(),
        next_end_number: 1,
        slots: BTreeMap::new(),
        connections: 0,
        leaving: false,
        fault: WorkerFault::default(),
        last_request: String::new(),
        history,
    };
    let worker = Arc::new(Worker {
        settings,
        booted_at: Instant::now(),
        stopping: CancellationToken::new(),
        changed: Notify::new(),
        state: Mutex::new(state),
    });
    let data = web::Data::from(worker.clone());
    let connection_worker = worker.clone();
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .route(worker::RENEW_PATH, web::post().to(renew))
            .route(worker::START_PATH, web::post().to(start_task))
            .route(worker::STOP_PATH, web::post().to(stop_task))
            .route(worker::REQUEST_PATH, web::post().to(answer_request))
            .route("/admin/leave", web::post().to(set_leaving))
            .route("/admin/fault", web::post().to(set_fault))
    })
    .on_connect(move |_, extensions: &mut Extensions| {
        let worker = connection_worker.clone();
        extensions.insert(ConnectionSlot { worker, counted: Cell::new(false) });
    })
    .workers(1)
    .worker_max_blocking_threads(1)
    .keep_alive(KEEP_ALIVE_TIMEOUT)
    // No limit, as clients open connections ahead of their first request.
    .client_request_timeout(Duration::ZERO)
    .disable_signals()
    .bind(worker.settings.address)?;
    let booted = WorkerEvent::Booted {
        capacity: worker.settings.capacity,
        connections: worker.settings.connections,
    };
    worker.record(&mut worker.lock_state(), booted);
    let address = server.addrs()[0];
    let server = server.run();
    let handle = server.handle();
    let stopping = worker.stopping.clone();
    actix_rt::spawn(server);
    actix_rt::spawn(async move {
        worker.stopping.run_until_cancelled(worker.run_timers()).await;
    });
    Ok(RunningStandin { address, handle, stopping })
}
