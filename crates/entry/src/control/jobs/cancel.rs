//! Cancelling a job, durably before the answer.

use std::rc::Rc;
use std::time::Duration;

use link::failure::CallFailure;
use model::job::{JobRecord, JobState};
use model::kind::ErrorKind;
use model::name::{JobId, TeamName};
use policy::event::CellEvent;
use wire::peer::PeerRefusal;

use super::progress::note_change;
use super::status::status;
use super::transfer::waiting_record;
use crate::control::{Control, cells};

/// Milliseconds that a cancellation waits to be recorded.
const CANCEL_WAIT_MS: u64 = 2_000;
/// Time between two looks whether it is.
const CANCEL_POLL: Duration = Duration::from_millis(20);
/// Deadline of a cancellation at another owner.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Cancels a job of a team, at the owner of its domain, and returns its record.
///
/// A job that is over stays as it is, and its record tells so.
///
/// # Errors
/// A refusal; asking again is harmless.
pub async fn cancel(
    control: Control,
    job: JobId,
    team: TeamName,
) -> Result<JobRecord, PeerRefusal> {
    let record = status(Rc::clone(&control), job.clone()).await?;
    if record.team != team {
        return Err(PeerRefusal::new(ErrorKind::WrongTeam, "the job belongs to another team"));
    }
    if record.state.is_final() {
        return Ok(record);
    }
    if record.domain == control.settings.domain && control.lease().is_some() {
        cancel_local(&control, &job, &team).await?;
    } else {
        let owner = control.state().owners.get(&record.domain).cloned();
        let missing = || PeerRefusal::new(ErrorKind::NoOwner, "no owner is known");
        let address = owner.ok_or_else(missing)?.address;
        let call = control.peers.cancel(&address, job.as_str(), team.as_str(), CANCEL_TIMEOUT);
        call.await.map_err(|report| match report.current_context() {
            CallFailure::NotDone => link::peer::refuse_unreachable_owner(&address),
            CallFailure::Unknown => cancel_unknown(),
        })??;
    }
    // The job may have ended by itself in between; without an answer it counts as cancelled.
    let cancelled = JobRecord { state: JobState::Cancelled, ..record };
    Ok(status(control, job).await.unwrap_or(cancelled))
}

fn cancel_unknown() -> PeerRefusal {
    let message = "the cancellation may not be recorded yet; ask for it again";
    PeerRefusal::new(ErrorKind::WriteUnknown, message)
}

/// Cancels a job that this owner runs, and waits until that is durable.
///
/// An owner that died with an answered but unrecorded cancellation would leave
/// the job to a successor that runs it.
///
/// # Errors
/// A refusal of kind `no-owner`, `not-found`, `wrong-team` or `write-unknown`.
pub async fn cancel_local(
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
    cells::feed(control, CellEvent::JobCancelled(job.clone()));
    // The cell does not know a job that waits to be moved, and so does not end it.
    if let Some(record) = waiting_record(control, job, control.lease()) {
        note_change(control, job, JobState::Cancelled, &record.done);
    }
    let give_up = control.now() + CANCEL_WAIT_MS;
    while control.now() < give_up {
        if is_recorded(control, job)? {
            return Ok(());
        }
        tokio::time::sleep(CANCEL_POLL).await;
    }
    Err(cancel_unknown())
}

/// Tells whether the end of a job is durable, after which the book forgets it.
fn is_recorded(control: &Control, job: &JobId) -> Result<bool, PeerRefusal> {
    let state = control.state();
    let domain = state.domain.as_ref().ok_or_else(cancel_unknown)?;
    Ok(!domain.jobs.records.contains_key(job))
}
