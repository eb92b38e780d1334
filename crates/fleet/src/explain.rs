//! Questions about jobs that are not submitted: an entry has the owner answer them.

use link::failure;
use model::kind::ErrorKind;
use model::name::{QueueName, TeamName};
use plan::explain::{ExplainQuestion, Explanation};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::oneshot;

use crate::config::FleetConfig;
use crate::context::SharedContext;
use crate::desk::{self, JobDraft};
use crate::limits;
use crate::ports::PeerCalls;

/// Answer of the owner to a question, or why it has none.
pub type ExplainAnswer = Result<Box<Explanation>, ErrorKind>;

/// A question about a job, as an operator asks it at an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct ExplainRequest {
    /// Queue that would take the job.
    pub queue: QueueName,
    /// Team that would be charged; none for a caller without a key.
    pub team: Option<TeamName>,
    /// The job.
    pub draft: JobDraft,
}

/// A question that the owner has to answer.
#[derive(Debug)]
pub struct ExplainCall {
    /// The question.
    pub question: ExplainQuestion,
    /// Receives the answer.
    pub reply: oneshot::Sender<ExplainAnswer>,
}

/// Answers a question at any entry, by way of the owner.
///
/// # Errors
/// Returns [`ErrorKind::NoOwner`] if no owner is known or it does not answer, and the kind of the
/// refusal that a submission would get for its form, its queue or its team.
pub async fn answer_request<P: PeerCalls>(
    context: &SharedContext<P>,
    request: ExplainRequest,
) -> Result<Box<Explanation>, (ErrorKind, String)> {
    let ExplainRequest { queue, team, draft } = request;
    desk::check_draft(&draft)?;
    let config = context.config_view.borrow().config.clone();
    let Some(config) = config else {
        return Err((ErrorKind::ConfigStale, "no configuration is known yet".to_owned()));
    };
    check_names(&config, &queue, team.as_ref())?;
    let JobDraft { steps, schedule, .. } = draft;
    let question = ExplainQuestion { queue, team, steps, schedule };
    let is_owner = context.owned.borrow().is_some();
    let answer = if is_owner {
        answer_as_owner(context, question).await
    } else {
        let Some(address) = context.owner_address() else {
            let message = "this entry does not know an owner of the fleet".to_owned();
            return Err((ErrorKind::NoOwner, message));
        };
        let answer = context.ports.explain_through(&address, &question).await;
        answer.map_err(|error| {
            let error = failure::format_one_line(&error);
            (ErrorKind::NoOwner, format!("the owner at {address} did not answer: {error}"))
        })?
    };
    answer.map_err(|kind| {
        let message = match kind {
            ErrorKind::NotFound => "the owner does not know the queue or the team yet",
            ErrorKind::QueueFull => "too many questions wait for the owner",
            _ => "the entry that should own the fleet does not own it",
        };
        (kind, message.to_owned())
    })
}

/// Answers a question if this entry owns the fleet.
///
/// # Errors
/// Returns [`ErrorKind::NoOwner`] if it does not, and [`ErrorKind::QueueFull`] if too many questions
/// wait.
pub async fn answer_as_owner<P>(
    context: &SharedContext<P>,
    question: ExplainQuestion,
) -> ExplainAnswer {
    let owned = context.owned.borrow().clone().ok_or(ErrorKind::NoOwner)?;
    let (reply, answer) = oneshot::channel();
    owned.questions.try_send(ExplainCall { question, reply }).map_err(|error| match error {
        TrySendError::Full(_) => ErrorKind::QueueFull,
        TrySendError::Closed(_) => ErrorKind::NoOwner,
    })?;
    let answer = tokio::time::timeout(limits::EXPLAIN_TIMEOUT, answer).await;
    answer.ok().and_then(Result::ok).unwrap_or(Err(ErrorKind::NoOwner))
}

/// Checks that a caller could submit to the queue: a queue that is not open needs a team's key.
fn check_names(
    config: &FleetConfig,
    queue: &QueueName,
    team: Option<&TeamName>,
) -> Result<(), (ErrorKind, String)> {
    let Some(route) = config.routes.iter().find(|route| route.queue == *queue) else {
        return Err((ErrorKind::NotFound, format!("there is no queue `{queue}`")));
    };
    match team {
        Some(team) if !config.plan.teams.contains_key(team) => {
            Err((ErrorKind::NotFound, format!("there is no team `{team}`")))
        }
        None if !route.public => {
            Err((ErrorKind::BadInput, format!("queue {queue} needs a key: name its team")))
        }
        _ => Ok(()),
    }
}
