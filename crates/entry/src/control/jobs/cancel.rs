//! Cancels jobs; a cancellation is durable before it is answered.

use std::rc::Rc;
use std::time::Duration;

use link::failure::CallFailure;
use model::job::{JobRecord, JobState};
use model::kind::ErrorKind;
use model::name::{JobId, TeamName};
use policy::event::CellEvent;
use wire::peer::PeerRefusal;

use super::progress::record_change;
use super::status::find_record;
use super::transfer::unmoved_record;
use crate::control::{Control, cells};

/// Longest wait in milliseconds until a cancellation is durable.
const MAX_CANCEL_WAIT_MS: u64 = 2_000;
/// Interval between checks of whether a cancellation is durable.
const CANCEL_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a cancellation at another owner.
const REMOTE_CANCEL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Cancels a job of a team at the owner of its domain and returns its record.
///
/// A job that has already ended keeps its state, which the record shows.
///
/// # Errors
/// A refusal; the cancellation may safely be repeated.
pub async fn cancel_job(
    control: Control,
    job: JobId,
    team: TeamName,
) -> Result<JobRecord, PeerRefusal> {
    let record = find_record(Rc::clone(&control), job.clone()).await?;
    if record.team != team {
        return Err(PeerRefusal::new(ErrorKind::WrongTeam, "the job belongs to another team"));
    }
    if record.state.is_final() {
        return Ok(record);
    }
    if record.domain == control.settings.domain && control.leased_authority().is_some() {
        cancel_locally(&control, &job, &team).await?;
    } else {
        let owner = control.state().owners.get(&record.domain).cloned();
        let missing = || PeerRefusal::new(ErrorKind::NoOwner, "no owner is known");
        let address = owner.ok_or_else(missing)?.address;
        let call =
            control.peers.cancel(&address, job.as_str(), team.as_str(), REMOTE_CANCEL_TIMEOUT);
        call.await.map_err(|report| match report.current_context() {
            CallFailure::NotDone => link::peer::refuse_unreachable_owner(&address),
            CallFailure::Unknown => unknown_outcome_refusal(),
        })??;
    }
    // The job may have ended by itself meanwhile; if its record cannot be read, it counts as
    // cancelled.
    let cancelled = JobRecord { state: JobState::Cancelled, ..record };
    Ok(find_record(control, job).await.unwrap_or(cancelled))
}

fn unknown_outcome_refusal() -> PeerRefusal {
    let message = "the cancellation may not be recorded yet; ask for it again";
    PeerRefusal::new(ErrorKind::WriteUnknown, message)
}

/// Cancels a job that this owner runs and waits until that is durable.
///
/// If the owner answered earlier and crashed, its successor would still run the
/// cancelled job.
///
/// # Errors
/// A refusal of kind `no-owner`, `not-found`, `wrong-team` or `write-unknown`.
pub async fn cancel_locally(
    control: &Control,
    job: &JobId,
    team: &TeamName,
) -> Result<(), PeerRefusal> {
    {
        let state = control.state();
        let domain = state.domain.as_ref();
        let domain = domain.ok_or_else(|| PeerRefusal::new(ErrorKind::NoOwner, "not the owner"))?;
        let record = domain.jobs.records.get(job);
        let record =
            record.ok_or_else(|| PeerRefusal::new(ErrorKind::NotFound, "the job is not here"))?;
        if record.team != *team {
            return Err(PeerRefusal::new(ErrorKind::WrongTeam, "the job is another team's"));
        }
    }
    log::info!("job cancelled job={job} team={team}");
    cells::apply_event(control, CellEvent::JobCancelled(job.clone()));
    // The cell no longer has a job that waits to be moved, and therefore does not end it.
    if let Some(record) = unmoved_record(control, job, control.leased_authority()) {
        record_change(control, job, JobState::Cancelled, &record.done);
    }
    let deadline = control.now() + MAX_CANCEL_WAIT_MS;
    while control.now() < deadline {
        if is_end_recorded(control, job)? {
            return Ok(());
        }
        tokio::time::sleep(CANCEL_POLL_INTERVAL).await;
    }
    Err(unknown_outcome_refusal())
}

/// Returns whether the end of a job is durable, when it is removed from the table.
fn is_end_recorded(control: &Control, job: &JobId) -> Result<bool, PeerRefusal> {
    let state = control.state();
    let domain = state.domain.as_ref().ok_or_else(unknown_outcome_refusal)?;
    Ok(!domain.jobs.records.contains_key(job))
}
