//! Moves jobs of a domain that is out of service to other domains.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use model::authority::OwnerAuthority;
use model::job::JobRecord;
use model::name::JobId;
use policy::event::CellEvent;
use wire::platform::{RowCheck, RowPut, TableRead, TableTxn};

use super::submit::choose_domain;
use super::{CALL_TIMEOUT, index_key, job_key, notify_owner};
use crate::control::{Control, cells};

/// Delay before the move of a job is retried.
const MOVE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Moves a job of a domain that is out of service to another domain.
///
/// The cell (the scheduling state of the domain) no longer has the job. The move
/// is therefore retried until it succeeds, or until the domain is back in service
/// and the cell gets the job back.
pub fn move_job(control: &Control, job: &JobId) {
    let caller = Rc::clone(control);
    let job = job.clone();
    let authority = control.leased_authority();
    control.spawn(async move {
        let mut warned = false;
        let mut row_version = 0;
        while let Err(reason) = try_move(&caller, &job, &mut row_version).await {
            if !warned {
                log::warn!("job {job} was not moved yet: {reason}");
                warned = true;
            }
            tokio::time::sleep(MOVE_RETRY_DELAY).await;
            let Some(record) = unmoved_record(&caller, &job, authority) else { return };
            if is_in_service(&caller) {
                log::info!("job {job} stays: its domain is back in service");
                cells::apply_event(&caller, CellEvent::JobSubmitted(Arc::new(record)));
                return;
            }
        }
    });
}

/// Removes a moved or ended job from the table; `version` is that of its last row here.
fn remove_job(control: &Control, job: &JobId, version: u64) {
    if let Some(domain) = control.state_mut().domain.as_mut() {
        domain.jobs.remove(job, version);
    }
}

/// Returns the record of a job that waits to be moved, unless the job or the ownership ended.
pub(super) fn unmoved_record(
    control: &Control,
    job: &JobId,
    authority: Option<OwnerAuthority>,
) -> Option<JobRecord> {
    let state = control.state();
    let domain = state.domain.as_ref().filter(|domain| Some(domain.authority) == authority)?;
    domain.jobs.record(job.as_str()).filter(|record| !record.state.is_final())
}

/// Returns whether this entry's domain is in service.
fn is_in_service(control: &Control) -> bool {
    let state = control.state();
    let mut domains = state.config.objects().domains_in_service();
    domains.any(|domain| domain.name == control.settings.domain)
}

/// Tries once to move a job; `row_version` holds the last seen version of its row.
async fn try_move(control: &Control, job: &JobId, row_version: &mut u64) -> Result<(), String> {
    let record = {
        let state = control.state();
        let domain = state.domain.as_ref().ok_or("the ownership ended")?;
        let record = domain.cell.job_record(job).or_else(|| domain.jobs.record(job.as_str()));
        record.ok_or("the job is not known")?
    };
    let objects = Arc::clone(control.state().config.objects());
    let target =
        choose_domain(control, &objects, &record.spec).map_err(|refusal| refusal.message)?;
    let old_key = job_key(&control.settings.domain, job);
    let read = TableRead { keys: vec![old_key.clone()], prefixes: Vec::new() };
    let reply = control.platform.read(&read, CALL_TIMEOUT).await;
    let reply = reply.map_err(|report| format!("{report:#}"))?;
    let Some(row) = reply.rows.into_iter().next() else {
        // The job ended, or an earlier attempt moved it and its reply was lost.
        remove_job(control, job, *row_version);
        return Ok(());
    };
    *row_version = row.version;
    let moved = JobRecord { domain: target.clone(), ..record };
    let value = serde_json::to_value(&moved).map_err(|error| error.to_string())?;
    let index = serde_json::json!({ "domain": target, "spec": moved.spec });
    let txn = TableTxn {
        checks: vec![RowCheck { key: old_key.clone(), version: row.version }],
        puts: vec![
            RowPut { key: job_key(&target, job), value },
            RowPut { key: index_key(job.as_str()), value: index },
        ],
        deletes: vec![old_key],
    };
    let reply = control.platform.transact(&txn, CALL_TIMEOUT).await;
    let reply = reply.map_err(|report| format!("{report:#}"))?;
    if !reply.committed {
        return Err("the row of the job changed after it was read".to_owned());
    }
    let version = reply.version;
    log::info!("job moved job={job} from={} to={target}", control.settings.domain);
    remove_job(control, job, row.version);
    notify_owner(control, moved, version);
    Ok(())
}
