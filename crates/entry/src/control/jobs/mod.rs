//! Jobs: accepts, cancels and moves them, and records their progress.

pub mod cancel;
pub mod progress;
pub mod status;
pub mod submit;
pub mod table;
pub mod transfer;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use model::job::JobRecord;
use model::name::{DomainName, JobId};
use policy::event::CellEvent;
use wire::platform::TableRead;

use crate::control::{Control, cells};

/// Interval between reads of all job rows, which find jobs whose notification was lost.
const SCAN_INTERVAL: Duration = Duration::from_secs(3);
/// Timeout of calls to the platform about jobs.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of calls to owners about jobs.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the key of the row of a job that has not ended.
fn job_key(domain: &DomainName, job: &JobId) -> String {
    format!("job/{domain}/{job}")
}

/// Returns the key of the row that names a job's domain.
fn index_key(job: &str) -> String {
    format!("jobid/{job}")
}

/// Returns the key of the row of a job that has ended.
fn done_key(job: &str) -> String {
    format!("jobdone/{job}")
}

/// Notifies the owner of a job's domain, which would otherwise find the row seconds later.
///
/// `version` is the version of the job's row.
fn notify_owner(control: &Control, record: JobRecord, version: u64) {
    if record.domain == control.settings.domain && control.leased_authority().is_some() {
        accept_job(control, record, version);
        return;
    }
    let owner = control.state().owners.get(&record.domain).cloned();
    let Some(owner) = owner else { return };
    let caller = Rc::clone(control);
    control.spawn(async move {
        let text = serde_json::to_string(&record).unwrap_or_default();
        match caller.peers.submit(&owner.address, &text, PEER_TIMEOUT).await {
            Ok(Ok(())) => {}
            Ok(Err(refusal)) => {
                log::debug!("owner did not accept the job yet: {}", refusal.message);
            }
            Err(report) => log::debug!("owner was not notified of the job: {report:#}"),
        }
    });
}

/// Accepts a stored job of the owned domain; `version` is that of its row.
pub fn accept_job(control: &Control, record: JobRecord, version: u64) {
    let is_new = {
        let mut state = control.state_mut();
        state.domain.as_mut().is_some_and(|domain| domain.jobs.insert(&record, version))
    };
    if is_new && !record.state.is_final() {
        cells::apply_event(control, CellEvent::JobSubmitted(Arc::new(record)));
    }
}

/// Reads all job rows periodically and accepts jobs whose notification was lost.
pub async fn scan_loop(control: Control) {
    loop {
        tokio::time::sleep(SCAN_INTERVAL).await;
        let prefix = format!("job/{}/", control.settings.domain);
        accept_job_rows(&control, TableRead { keys: Vec::new(), prefixes: vec![prefix] }).await;
    }
}

/// Reads the row of a job named in a notification and accepts the job.
///
/// The row decides, because a notification may arrive after the job has ended.
pub async fn accept_notified_job(control: Control, job: JobId) {
    let key = job_key(&control.settings.domain, &job);
    accept_job_rows(&control, TableRead { keys: vec![key], prefixes: Vec::new() }).await;
}

async fn accept_job_rows(control: &Control, read: TableRead) {
    let Some(authority) = control.leased_authority() else { return };
    let Ok(reply) = control.platform.read(&read, CALL_TIMEOUT).await else { return };
    if control.leased_authority() != Some(authority) {
        return;
    }
    for row in reply.rows {
        match serde_json::from_value(row.value) {
            Ok(record) => accept_job(control, record, row.version),
            Err(error) => log::error!("row {} is malformed: {error}", row.key),
        }
    }
}
