//! What callers ask of an entry, and its answers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arcstr::ArcStr;
use link::failure::{self, CallFailure};
use model::kind::ErrorKind;
use model::name::{JobId, QueueName, TeamName};
use plan::job::{JobSchedule, JobSpec, StepSpec};
use plan::progress::{JobStatus, ProgressRecord};

use crate::config::FleetConfig;
use crate::context::SharedContext;
use crate::limits;
use crate::ports::{PlatformRows, RowStore, RowTransaction, TransactOutcome};
use crate::row;
use crate::submit::SubmitQueue;

/// Longest payload of a job in bytes; the platform's callers send at most 4,000.
pub const PAYLOAD_BYTES: usize = 16_384;
/// Most tasks of one job; each takes some 150 bytes of the owner's memory.
pub const TASKS_PER_JOB: u32 = 20_000;

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Host that the caller named.
    pub host: ArcStr,
    /// Path.
    pub path: ArcStr,
    /// Key; none if the caller sent none.
    pub key: Option<ArcStr>,
    /// How long the caller waits for the answer.
    pub patience: Duration,
    /// What is asked.
    pub ask: CallerAsk,
}

/// What a caller asks for.
#[derive(Clone, Debug)]
pub enum CallerAsk {
    /// Take a job.
    Submit(JobDraft),
    /// Tell the state of a job, or the number of waiting jobs where the path names none.
    Inspect,
    /// Cancel a job.
    Cancel,
}

/// A job as a caller describes it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JobDraft {
    /// Text for the tasks.
    pub payload: ArcStr,
    /// Steps.
    pub steps: Vec<StepSpec>,
    /// Due times; none for once and at once.
    pub schedule: Option<JobSchedule>,
}

/// Answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerAnswer {
    /// The job is stored.
    Accepted,
    /// The job is cancelled, or was over.
    Cancelled,
    /// State of a job.
    State(JobStatus),
    /// Number of jobs of the queue of which no task has started.
    Waiting(u32),
    /// There is no such job.
    NoJob,
    /// Refused or failed.
    Failed(ErrorKind, String),
}

/// Answers callers.
#[derive(Debug)]
pub struct CallerDesk<P> {
    context: SharedContext<P>,
    submits: Rc<SubmitQueue<P>>,
}

impl<P: RowStore + PlatformRows> CallerDesk<P> {
    /// Creates the desk of an entry.
    #[must_use]
    pub fn new(context: SharedContext<P>) -> Rc<Self> {
        let submits = SubmitQueue::new(context.clone());
        Rc::new(Self { context, submits })
    }

    /// Answers one request.
    pub async fn answer(&self, request: CallerRequest) -> CallerAnswer {
        match self.handle(request).await {
            Ok(answer) => answer,
            Err((kind, message)) => CallerAnswer::Failed(kind, message),
        }
    }

    async fn handle(&self, request: CallerRequest) -> Result<CallerAnswer, (ErrorKind, String)> {
        let config = self.context.view.borrow().config.clone();
        let Some(config) = config else {
            return Err((ErrorKind::ConfigStale, "no configuration is known yet".to_owned()));
        };
        if !self.context.is_confirmed() {
            let age = self.context.confirmation_age();
            log::info!(
                "request refused path={} kind=config-stale version={} age_ms={age:?}",
                request.path,
                config.version
            );
            let message = "the configuration could not be confirmed; try another entry";
            return Err((ErrorKind::ConfigStale, message.to_owned()));
        }
        let (queue, team, rest) = admit(&config, &request)?;
        match request.ask {
            CallerAsk::Submit(draft) => {
                let id = job_id(&rest)?;
                self.submit(id, queue, team, draft, request.patience).await
            }
            CallerAsk::Inspect if rest.is_empty() => {
                Ok(CallerAnswer::Waiting(self.waiting(&queue)))
            }
            CallerAsk::Inspect => self.inspect(&job_id(&rest)?).await,
            CallerAsk::Cancel => self.cancel(&job_id(&rest)?, request.patience).await,
        }
    }

    async fn submit(
        &self,
        id: JobId,
        queue: QueueName,
        team: Option<TeamName>,
        draft: JobDraft,
        patience: Duration,
    ) -> Result<CallerAnswer, (ErrorKind, String)> {
        check_draft(&draft)?;
        let spec = JobSpec {
            id: id.clone(),
            queue,
            team,
            payload: draft.payload,
            steps: draft.steps,
            schedule: draft.schedule,
            accepted_ms: unix_ms(),
        };
        let give_up_at = self.context.clock.now() + patience_ms(patience);
        match self.submits.store_job(id, row::encode(&spec), give_up_at).await {
            Ok(()) => Ok(CallerAnswer::Accepted),
            Err(kind) => Err((kind, "the job could not be stored".to_owned())),
        }
    }

    fn waiting(&self, queue: &QueueName) -> u32 {
        let owner = self.context.owner.borrow();
        owner.row().and_then(|(_, row)| row.waiting.get(queue).copied()).unwrap_or(0)
    }

    async fn inspect(&self, id: &JobId) -> Result<CallerAnswer, (ErrorKind, String)> {
        if let Some(status) = self.context.statuses.borrow().get(id) {
            return Ok(CallerAnswer::State(status));
        }
        match self.read_status(id).await {
            Ok(Some(status)) => Ok(CallerAnswer::State(status)),
            Ok(None) => Ok(CallerAnswer::NoJob),
            Err(kind) => Err((kind, "the job's state could not be read".to_owned())),
        }
    }

    /// Reads a job that this entry has not heard of.
    ///
    /// The job is read before its progress: when a job ends its row is removed
    /// together with the write of its last progress, so that one of both is found.
    async fn read_status(&self, id: &JobId) -> Result<Option<JobStatus>, ErrorKind> {
        let range_end = format!("{id}\u{1}");
        let range = Some((id.as_str(), range_end.as_str()));
        let mut status = None;
        for table in [row::JOB_TABLE, row::STATE_TABLE] {
            let page = self
                .context
                .ports
                .read(table, row::JOB_PART, range, limits::STORE_TIMEOUT)
                .await
                .map_err(|error| {
                    log::warn!(
                        "job not read job={id} table={table} error=\"{}\"",
                        failure::brief(&error)
                    );
                    ErrorKind::PlatformDown
                })?;
            let Some(found) = page.rows.iter().find(|row| row.key == id.as_str()) else { continue };
            let Some(value) = &found.value else { continue };
            status = if table == row::JOB_TABLE {
                Some(JobStatus::Pending)
            } else {
                let record = row::decode::<ProgressRecord>(table, &found.key, value);
                record.map(|record| record.status).or(status)
            };
        }
        if let Some(status) = status {
            self.context.statuses.borrow_mut().note(id.clone(), status);
        }
        Ok(status)
    }

    async fn cancel(
        &self,
        id: &JobId,
        patience: Duration,
    ) -> Result<CallerAnswer, (ErrorKind, String)> {
        let give_up_at = self.context.clock.now() + patience_ms(patience);
        let mut known = self.context.statuses.borrow().get(id);
        let mut maybe_done = false;
        while self.context.clock.now() < give_up_at {
            let tried = match known {
                Some(status) if status.is_final() => return Ok(CallerAnswer::Cancelled),
                Some(_) => self.write_cancel(id).await,
                None => match self.read_status(id).await {
                    Ok(None) => return Ok(CallerAnswer::NoJob),
                    Ok(status) => {
                        known = status;
                        continue;
                    }
                    Err(_) => Err(CallFailure::NotDone),
                },
            };
            match tried {
                Ok(()) => {
                    log::info!("job cancelled job={id}");
                    self.context.statuses.borrow_mut().note(id.clone(), JobStatus::Cancelled);
                    return Ok(CallerAnswer::Cancelled);
                }
                Err(failure) => {
                    maybe_done |= failure == CallFailure::Unknown;
                    tokio::time::sleep(limits::STORE_PAUSE).await;
                }
            }
        }
        let kind = if maybe_done { ErrorKind::WriteUnknown } else { ErrorKind::PlatformDown };
        Err((kind, "the cancellation could not be stored".to_owned()))
    }

    async fn write_cancel(&self, id: &JobId) -> Result<(), CallFailure> {
        let transaction = RowTransaction {
            writes: vec![(row::cancel_key(id), b"{}".to_vec())],
            ..RowTransaction::default()
        };
        match self.context.ports.transact(&transaction, limits::STORE_TIMEOUT).await {
            Ok(TransactOutcome::Done(_)) => Ok(()),
            Ok(TransactOutcome::Conflict(_)) => Err(CallFailure::NotDone),
            Err(error) => {
                log::warn!("cancellation not stored job={id} error=\"{}\"", failure::brief(&error));
                Err(*error.current_context())
            }
        }
    }
}

/// Finds the queue and the team of a request, and what the path says after the queue.
fn admit(
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

/// Length of a job's identifier in hexadecimal digits.
const JOB_ID_DIGITS: usize = 16;

fn job_id(text: &str) -> Result<JobId, (ErrorKind, String)> {
    let valid = text.len() == JOB_ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if valid {
        Ok(JobId::from(text))
    } else {
        Err((ErrorKind::NotFound, format!("job {text:?}: expected 16 hexadecimal digits")))
    }
}

fn check_draft(draft: &JobDraft) -> Result<(), (ErrorKind, String)> {
    let bad = |message: String| Err((ErrorKind::BadInput, message));
    if draft.payload.len() > PAYLOAD_BYTES {
        return bad(format!("payload: longer than {PAYLOAD_BYTES} bytes"));
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
    if tasks > TASKS_PER_JOB {
        return bad(format!("steps: more than {TASKS_PER_JOB} tasks"));
    }
    Ok(())
}

#[expect(clippy::cast_possible_truncation, reason = "patience is seconds")]
fn patience_ms(patience: Duration) -> u64 {
    (patience.as_millis() as u64).saturating_sub(limits::ANSWER_MARGIN_MS)
}

/// Returns the time of day in milliseconds since 1970.
#[must_use]
#[expect(clippy::cast_possible_truncation, reason = "milliseconds since 1970 fit 64 bits")]
pub fn unix_ms() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
