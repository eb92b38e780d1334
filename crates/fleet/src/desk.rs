//! Serves the requests of callers: submitting, inspecting and cancelling jobs.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arcstr::ArcStr;
use link::failure::{self, CallFailure};
use model::kind::ErrorKind;
use model::name::{JobId, QueueName, TeamName};
use model::resource::ResourceAmounts;
use model::time::ClockMillis;
use plan::job::{JobSchedule, JobSpec, StepSpec};
use plan::progress::{JobStatus, ProgressRecord};
use tokio::sync::oneshot;

use crate::config::FleetConfig;
use crate::context::{SharedContext, SubmitCall};
use crate::limits;
use crate::metrics;
use crate::ports::{PeerCalls, PlatformRows, RowKey, RowStore, RowTransaction, TransactOutcome};
use crate::row;
use crate::submit::{SubmitAnswer, SubmitQueue, SubmitTarget};

/// Longest payload of a job, in bytes; the platform's callers send at most 4,000.
pub const MAX_PAYLOAD_BYTES: usize = 16_384;
/// Most tasks of one job; each takes about 150 bytes of the owner's memory.
pub const MAX_TASKS_PER_JOB: u32 = 20_000;

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Host that the caller named.
    pub host: ArcStr,
    /// Path of the request; it leads to the queue and may name a job.
    pub path: ArcStr,
    /// API key of the caller; none if the caller sent none.
    pub key: Option<ArcStr>,
    /// How long the caller waits for the answer.
    pub timeout: Duration,
    /// The operation that the caller requests.
    pub operation: CallerOperation,
}

/// An operation that a caller requests.
#[derive(Clone, Debug)]
pub enum CallerOperation {
    /// Store a job and run it.
    Submit(JobDraft),
    /// Return the state of a job, or the number of waiting jobs if the path names no job.
    Inspect,
    /// Cancel a job.
    Cancel,
}

impl CallerOperation {
    const fn name(&self) -> &'static str {
        match self {
            Self::Submit(_) => "submit",
            Self::Inspect => "inspect",
            Self::Cancel => "cancel",
        }
    }
}

/// A job as a caller describes it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JobDraft {
    /// Text that is passed to the tasks.
    pub payload: ArcStr,
    /// Steps; each may depend on earlier ones.
    pub steps: Vec<StepSpec>,
    /// Schedule of a repeated job; none to run the job once and at once.
    pub schedule: Option<JobSchedule>,
}

/// Answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerAnswer {
    /// The job is stored.
    Accepted,
    /// The job is cancelled, or was already finished.
    Cancelled,
    /// State of a job.
    State(JobStatus),
    /// Number of the queue's jobs of which no task has started.
    Waiting(u32),
    /// The job does not exist.
    NoJob,
    /// Refused here, with a message; other entries can serve the request.
    RetryElsewhere(String),
    /// Refused for load, with a message and the time in seconds after which the caller should come
    /// back.
    RetryLater(u32, String),
    /// Refused or failed, with a message.
    Failed(ErrorKind, String),
}

impl CallerAnswer {
    const fn name(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Cancelled => "cancelled",
            Self::State(_) => "state",
            Self::Waiting(_) => "waiting",
            Self::NoJob => "no-job",
            Self::RetryElsewhere(_) => "elsewhere",
            Self::RetryLater(..) => ErrorKind::QueueFull.code(),
            Self::Failed(kind, _) => kind.code(),
        }
    }
}

/// Serves the requests that callers send to this entry.
#[derive(Debug)]
pub struct CallerService<P> {
    context: SharedContext<P>,
    submits: Rc<SubmitQueue<P>>,
}

impl<P: RowStore + PlatformRows + PeerCalls> CallerService<P> {
    /// Creates the service of an entry.
    #[must_use]
    pub fn new(context: SharedContext<P>) -> Rc<Self> {
        let submits = SubmitQueue::new(context.clone(), SubmitTarget::Inbox);
        Rc::new(Self { context, submits })
    }

    /// Answers one request and records its metrics.
    pub async fn answer(&self, request: CallerRequest) -> CallerAnswer {
        let started = self.context.clock.now();
        let operation = request.operation.name();
        let answer = self.answer_or_refuse(request).await;
        let metrics = &self.context.metrics;
        let labels = [metrics::label("ask", operation), metrics::label("answer", answer.name())];
        metrics.requests.add(1, &labels);
        #[expect(clippy::cast_precision_loss, reason = "requests take seconds at most")]
        let time = self.context.clock.now().since(started) as f64;
        metrics.request_time.record(time, &labels[..1]);
        answer
    }

    /// Handles a request and turns an error into the answer for the caller.
    async fn answer_or_refuse(&self, request: CallerRequest) -> CallerAnswer {
        let (operation, path) = (request.operation.name(), request.path.clone());
        let result = self.handle(request).await;
        let refusal = match &result {
            Err((kind, message)) => Some((*kind, message)),
            Ok(CallerAnswer::RetryLater(_, message)) => Some((ErrorKind::QueueFull, message)),
            Ok(_) => None,
        };
        if let Some((kind, message)) = refusal {
            let context = &self.context;
            log::info!(
                "request refused ask={operation} path={path} kind={kind} config={} \
                 confirmed_ms_ago={} connected={} news={} message=\"{message}\"",
                context.config_view.borrow().config.as_ref().map_or(0, |config| config.version),
                context.confirmation_age().map_or(-1, u64::cast_signed),
                context.is_connected(),
                context.has_fresh_job_changes(),
            );
        }
        match result {
            Ok(answer) => answer,
            Err((ErrorKind::ConfigStale | ErrorKind::PlatformDown, message))
                if self.context.has_fresh_job_changes() =>
            {
                CallerAnswer::RetryElsewhere(message)
            }
            Err((kind, message)) => CallerAnswer::Failed(kind, message),
        }
    }

    async fn handle(&self, request: CallerRequest) -> Result<CallerAnswer, (ErrorKind, String)> {
        let config = self.context.config_view.borrow().config.clone();
        let Some(config) = config else {
            return Err((ErrorKind::ConfigStale, "no configuration is known yet".to_owned()));
        };
        if !self.context.is_confirmed() {
            let message = "the configuration could not be confirmed; try another entry";
            return Err((ErrorKind::ConfigStale, message.to_owned()));
        }
        let (queue, team, rest) = authorize(&config, &request)?;
        let needs_store = !matches!(request.operation, CallerOperation::Inspect);
        if needs_store && !self.context.is_connected() {
            let message = "this entry cannot reach the store; try another entry";
            return Err((ErrorKind::PlatformDown, message.to_owned()));
        }
        match request.operation {
            CallerOperation::Submit(draft) => {
                let id = parse_job_id(&rest)?;
                self.submit(id, queue, team, draft, request.timeout).await
            }
            CallerOperation::Inspect if rest.is_empty() => self.count_waiting(&queue),
            CallerOperation::Inspect => self.inspect(&parse_job_id(&rest)?).await,
            CallerOperation::Cancel => self.cancel(&parse_job_id(&rest)?, request.timeout).await,
        }
    }

    async fn submit(
        &self,
        id: JobId,
        queue: QueueName,
        team: Option<TeamName>,
        draft: JobDraft,
        timeout: Duration,
    ) -> Result<CallerAnswer, (ErrorKind, String)> {
        check_draft(&draft)?;
        let config = self.context.config_view.borrow().config.clone();
        let plan = config.as_ref().map(|config| &config.plan);
        let accepted_rule = plan.and_then(|plan| plan.queues.get(&queue).cloned());
        let team_rule = plan.zip(team.as_ref()).and_then(|(plan, team)| plan.teams.get(team));
        let accepted_limit =
            team_rule.map(|rule| rule.limit).filter(|limit| *limit != ResourceAmounts::UNLIMITED);
        let spec = JobSpec {
            id: id.clone(),
            queue,
            team,
            payload: draft.payload,
            steps: draft.steps,
            schedule: draft.schedule,
            accepted_ms: unix_ms(),
            accepted_rule,
            accepted_limit,
        };
        let timeout_ms = reduced_timeout_ms(timeout);
        if timeout_ms < limits::MIN_SUBMIT_TIMEOUT_MS {
            let message = "the deadline is too close to store the job";
            return Err((ErrorKind::DeadlineNotMet, message.to_owned()));
        }
        let deadline = self.context.clock.now() + timeout_ms;
        let SubmitAnswer { result, retry_after_s } = self.store_job(spec, deadline).await;
        match result {
            Ok(_) => Ok(CallerAnswer::Accepted),
            Err(ErrorKind::QueueFull) => {
                let message = "too much accepted work waits before the job; it was not stored";
                match retry_after_s {
                    Some(seconds) => Ok(CallerAnswer::RetryLater(seconds, message.to_owned())),
                    None => Err((ErrorKind::QueueFull, message.to_owned())),
                }
            }
            Err(kind) => Err((kind, "the job could not be stored".to_owned())),
        }
    }

    /// Has the owner store a job, so that it knows the job at once. If the owner does not, this
    /// entry stores the job in the inbox, which the owner follows.
    async fn store_job(&self, spec: JobSpec, deadline: ClockMillis) -> SubmitAnswer {
        let value = row::encode(&spec);
        let id = spec.id.clone();
        let answer = self.store_through_owner(spec, deadline).await;
        let may_be_stored = match answer.map(|answer| answer.result) {
            Some(Ok(stored_job)) => {
                self.context.statuses.borrow_mut().record_status(id, JobStatus::Pending);
                return Ok(stored_job).into();
            }
            // The owner cannot serve the job in time, and a job in the inbox is the owner's too.
            Some(Err(ErrorKind::QueueFull)) => {
                if self.submits.may_store(&id) {
                    return Err(ErrorKind::WriteUnknown).into();
                }
                let retry_after_s = answer.and_then(|answer| answer.retry_after_s);
                return SubmitAnswer { result: Err(ErrorKind::QueueFull), retry_after_s };
            }
            Some(Err(kind)) => kind == ErrorKind::WriteUnknown,
            None => false,
        };
        self.submits.store_job(id, value, deadline, may_be_stored).await.into()
    }

    /// Has the owner store a job; none if no owner is known that has answered lately.
    async fn store_through_owner(
        &self,
        spec: JobSpec,
        deadline: ClockMillis,
    ) -> Option<SubmitAnswer> {
        let left = deadline.since(self.context.clock.now());
        let timeout = limits::FORWARDED_SUBMIT_TIMEOUT.min(Duration::from_millis(left));
        let owned = self.context.owned.borrow().clone();
        if let Some(owned) = owned {
            let (reply, result) = oneshot::channel();
            let call = SubmitCall { spec, deadline, reply };
            owned.submits.send(call).ok()?;
            let answer = tokio::time::timeout(timeout, result).await;
            let unknown = SubmitAnswer::from(Err(ErrorKind::WriteUnknown));
            return Some(answer.map_or(unknown, |answer| answer.unwrap_or(unknown)));
        }
        let address = self.context.owner_address()?;
        if !self.context.has_fresh_job_changes() {
            return None;
        }
        let answer = self.context.ports.submit_through(&address, &spec, timeout).await;
        Some(answer.unwrap_or_else(|error| {
            log::info!(
                "job not stored by owner job={} error=\"{}\"",
                spec.id,
                failure::format_one_line(&error)
            );
            let kind = match error.current_context() {
                CallFailure::NotDone => ErrorKind::NoOwner,
                CallFailure::Unknown => ErrorKind::WriteUnknown,
            };
            Err(kind).into()
        }))
    }

    /// Returns the owner's count of waiting jobs, which is unknown if the owner has not answered
    /// lately.
    fn count_waiting(&self, queue: &QueueName) -> Result<CallerAnswer, (ErrorKind, String)> {
        if !self.context.has_fresh_job_changes() {
            let message = "the owner of the fleet does not answer; the count is not known";
            return Err((ErrorKind::NoOwner, message.to_owned()));
        }
        let count = self.context.waiting_by_queue.borrow().get(queue).copied().unwrap_or(0);
        Ok(CallerAnswer::Waiting(count))
    }

    async fn inspect(&self, id: &JobId) -> Result<CallerAnswer, (ErrorKind, String)> {
        let known = self.context.statuses.borrow().get(id);
        if let Some(status) = known
            && (status.is_final() || self.context.has_fresh_job_changes())
        {
            return Ok(CallerAnswer::State(status));
        }
        match (self.read_status(id).await, known) {
            (Ok(Some(status)), _) | (Err(_), Some(status)) => Ok(CallerAnswer::State(status)),
            (Ok(None), _) => Ok(CallerAnswer::NoJob),
            (Err(kind), None) => Err((kind, "the job's state could not be read".to_owned())),
        }
    }

    /// Reads the state of a job from the table service.
    ///
    /// The job is read before its progress: when a job finishes, one transaction removes its row
    /// and writes its final progress, so that in this order one of both is always found.
    async fn read_status(&self, id: &JobId) -> Result<Option<JobStatus>, ErrorKind> {
        let range_end = format!("{id}\u{1}");
        let range = Some((id.as_str(), range_end.as_str()));
        let mut status = None;
        for table in [row::JOB_TABLE, row::INBOX_TABLE, row::PROGRESS_TABLE] {
            let page = self
                .context
                .ports
                .read(table, row::job_partition(id), range, limits::STORE_TIMEOUT)
                .await
                .map_err(|error| {
                    log::warn!(
                        "job not read job={id} table={table} error=\"{}\"",
                        failure::format_one_line(&error)
                    );
                    ErrorKind::PlatformDown
                })?;
            let Some(row) = page.rows.iter().find(|row| row.key == id.as_str()) else { continue };
            let Some(value) = &row.value else { continue };
            status = if table == row::PROGRESS_TABLE {
                let record = row::decode::<ProgressRecord>(table, &row.key, value);
                record.map(|record| record.status).or(status)
            } else {
                Some(JobStatus::Pending)
            };
        }
        if let Some(status) = status {
            self.context.statuses.borrow_mut().record_status(id.clone(), status);
        }
        Ok(status)
    }

    async fn cancel(
        &self,
        id: &JobId,
        timeout: Duration,
    ) -> Result<CallerAnswer, (ErrorKind, String)> {
        let deadline = self.context.clock.now() + reduced_timeout_ms(timeout);
        let mut known = self.context.statuses.borrow().get(id);
        let mut may_be_stored = false;
        while self.context.clock.now() < deadline {
            let result = match known {
                Some(status) if status.is_final() => return Ok(CallerAnswer::Cancelled),
                Some(_) => self.write_cancel(id).await,
                None => match self.read_status(id).await {
                    Ok(None) => match self.write_early_cancel(id).await {
                        Ok(true) => return Ok(CallerAnswer::NoJob),
                        // The job has been stored since it was looked for.
                        Ok(false) => Err(CallFailure::NotDone),
                        Err(failure) => Err(failure),
                    },
                    Ok(status) => {
                        known = status;
                        continue;
                    }
                    Err(_) => Err(CallFailure::NotDone),
                },
            };
            match result {
                Ok(()) => {
                    log::info!("job cancelled job={id}");
                    self.context
                        .statuses
                        .borrow_mut()
                        .record_status(id.clone(), JobStatus::Cancelled);
                    return Ok(CallerAnswer::Cancelled);
                }
                Err(failure) => {
                    may_be_stored |= failure == CallFailure::Unknown;
                    tokio::time::sleep(limits::STORE_RETRY_DELAY).await;
                }
            }
        }
        let kind = if may_be_stored { ErrorKind::WriteUnknown } else { ErrorKind::PlatformDown };
        Err((kind, "the cancellation could not be stored".to_owned()))
    }

    /// Stores the cancellation of a known job.
    async fn write_cancel(&self, id: &JobId) -> Result<(), CallFailure> {
        let is_written = self.write_cancel_row(id, Vec::new()).await?;
        if is_written { Ok(()) } else { Err(CallFailure::NotDone) }
    }

    /// Stores the cancellation of a job that was not found, unless it exists now; returns whether the
    /// cancellation is stored.
    ///
    /// A write of the job that nobody has answered may still take effect. Its caller is told that there
    /// is no such job, and must not see it run after that.
    async fn write_early_cancel(&self, id: &JobId) -> Result<bool, CallFailure> {
        let keys = [row::job_key(id), row::inbox_key(id), row::progress_key(id)];
        let expected = keys.into_iter().map(|key| (key, 0)).collect();
        let is_written = self.write_cancel_row(id, expected).await?;
        log::info!("cancellation of an unknown job job={id} stored={is_written}");
        Ok(is_written)
    }

    /// Writes the row of a cancellation if the rows have the `expected` versions; returns whether they
    /// have.
    async fn write_cancel_row(
        &self,
        id: &JobId,
        expected: Vec<(RowKey, u64)>,
    ) -> Result<bool, CallFailure> {
        let transaction = RowTransaction {
            expected,
            writes: vec![(row::cancel_key(id), b"{}".to_vec())],
            ..RowTransaction::default()
        };
        match self.context.ports.transact(&transaction, limits::STORE_TIMEOUT).await {
            Ok(TransactOutcome::Committed(_)) => Ok(true),
            Ok(TransactOutcome::Conflict(_)) => Ok(false),
            Err(error) => {
                log::warn!(
                    "cancellation not stored job={id} error=\"{}\"",
                    failure::format_one_line(&error)
                );
                Err(*error.current_context())
            }
        }
    }
}

/// Finds the queue of a request and checks its key; returns the queue, the key's team and the
/// rest of the path.
fn authorize(
    config: &Arc<FleetConfig>,
    request: &CallerRequest,
) -> Result<(QueueName, Option<TeamName>, ArcStr), (ErrorKind, String)> {
    let Some((route, rest)) = config.route(&request.host, &request.path) else {
        return Err((ErrorKind::NotFound, format!("no queue serves the path {}", request.path)));
    };
    let team = request.key.as_ref().and_then(|key| config.keys.get(key)).cloned();
    if team.is_none() && !route.public {
        return Err((ErrorKind::BadKey, format!("queue {} needs a known key", route.queue)));
    }
    Ok((route.queue.clone(), team, ArcStr::from(rest)))
}

/// Length of a job identifier in hexadecimal digits.
const JOB_ID_DIGITS: usize = 16;

fn parse_job_id(text: &str) -> Result<JobId, (ErrorKind, String)> {
    let is_valid = text.len() == JOB_ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if is_valid {
        Ok(JobId::from(text))
    } else {
        Err((ErrorKind::NotFound, format!("job {text:?}: expected 16 hexadecimal digits")))
    }
}

pub(crate) fn check_draft(draft: &JobDraft) -> Result<(), (ErrorKind, String)> {
    let bad = |message: String| Err((ErrorKind::BadInput, message));
    if draft.payload.len() > MAX_PAYLOAD_BYTES {
        return bad(format!("payload: longer than {MAX_PAYLOAD_BYTES} bytes"));
    }
    if draft.steps.is_empty() {
        return bad("steps: at least one is needed".to_owned());
    }
    let mut tasks = 0_u32;
    for (index, step) in draft.steps.iter().enumerate() {
        if step.count == 0 {
            return bad(format!("step {index}: count must be at least 1"));
        }
        if step.after.iter().any(|before| *before as usize >= index) {
            return bad(format!("step {index}: after must name earlier steps only"));
        }
        tasks = tasks.saturating_add(step.count);
    }
    if tasks > MAX_TASKS_PER_JOB {
        return bad(format!("steps: more than {MAX_TASKS_PER_JOB} tasks"));
    }
    Ok(())
}

/// Returns a caller's timeout without the margin for the answer, in milliseconds.
#[expect(clippy::cast_possible_truncation, reason = "timeouts are seconds")]
fn reduced_timeout_ms(timeout: Duration) -> u64 {
    (timeout.as_millis() as u64).saturating_sub(limits::ANSWER_MARGIN_MS)
}

/// Returns the time of day in milliseconds since 1970.
#[must_use]
#[expect(clippy::cast_possible_truncation, reason = "milliseconds since 1970 fit 64 bits")]
pub fn unix_ms() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
