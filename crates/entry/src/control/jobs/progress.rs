//! Writes the progress of jobs to their rows in batches.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use model::job::{JobRecord, JobState};
use model::name::JobId;
use wire::platform::{RowCheck, RowPut, TableRead, TableTxn};

use super::table::JobProgress;
use super::{CALL_TIMEOUT, done_key, job_key};
use crate::control::Control;

/// Interval between writes of progress.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);
/// Most jobs in one write of progress.
const MAX_JOBS_PER_FLUSH: usize = 64;

/// Records a change of a job's progress, which is written with the next flush.
pub fn record_change(control: &Control, job: &JobId, state: JobState, done: &[u32]) {
    let mut control_state = control.state_mut();
    let Some(domain) = control_state.domain.as_mut() else { return };
    let progress = JobProgress { state, done: done.iter().copied().collect() };
    domain.jobs.pending_progress.insert(job.clone(), progress);
    if state.is_final() {
        log::info!("job ended job={job} state={state:?} done={}", done.len());
    }
}

/// Writes progress in batches until the process stops.
pub async fn flush_loop(control: Control) {
    loop {
        tokio::time::sleep(FLUSH_INTERVAL).await;
        flush_progress(&control).await;
    }
}

async fn flush_progress(control: &Control) {
    let Some(authority) = control.leased_authority() else { return };
    let batch: Vec<(JobId, JobProgress)> = {
        let mut state = control.state_mut();
        let Some(domain) = state.domain.as_mut() else { return };
        if domain.jobs.write_in_flight || domain.jobs.pending_progress.is_empty() {
            return;
        }
        domain.jobs.write_in_flight = true;
        let pending = domain.jobs.pending_progress.iter().take(MAX_JOBS_PER_FLUSH);
        pending.map(|(job, progress)| (job.clone(), progress.clone())).collect()
    };
    let written = write_progress(control, &batch).await;
    let mut state = control.state_mut();
    let Some(domain) = state.domain.as_mut() else { return };
    if domain.authority != authority {
        return;
    }
    domain.jobs.write_in_flight = false;
    let Some(versions) = written else { return };
    for (job, progress) in batch {
        for link in domain.links.values_mut() {
            let is_final = progress.state.is_final();
            link.record_durable_ends(&job, |index| is_final || progress.done.contains(&index));
        }
        let is_unchanged = domain.jobs.pending_progress.get(&job).is_some_and(|latest| {
            latest.state == progress.state && latest.done.len() == progress.done.len()
        });
        if is_unchanged {
            domain.jobs.pending_progress.remove(&job);
            if progress.state.is_final() {
                // If there is no row, an earlier write took effect and its reply was lost.
                let version = versions.get(&job).copied().unwrap_or(u64::MAX);
                domain.jobs.remove(&job, version);
            }
        }
        if let Some(record) = domain.jobs.records.get_mut(&job) {
            let record = Arc::make_mut(record);
            record.state = progress.state;
            record.done = progress.done.iter().copied().collect();
        }
    }
}

/// Writes the progress of several jobs, merged with what their rows hold.
///
/// Each write checks the version of the row that it replaces, so that a late write
/// of a former owner cannot undo the progress of this one. The set of done tasks
/// only grows, so that the progress of two writers can be merged.
///
/// Returns the versions of the replaced rows, or `None` if the write must be retried.
async fn write_progress(
    control: &Control,
    batch: &[(JobId, JobProgress)],
) -> Option<HashMap<JobId, u64>> {
    let domain = &control.settings.domain;
    let keys = batch.iter().map(|(job, _)| job_key(domain, job)).collect();
    let read = TableRead { keys, prefixes: Vec::new() };
    let reply = control.platform.read(&read, CALL_TIMEOUT).await.ok()?;
    let mut versions = HashMap::new();
    let mut txn = TableTxn::default();
    for (job, progress) in batch {
        let key = job_key(domain, job);
        let Some(row) = reply.rows.iter().find(|row| row.key == key) else { continue };
        let Ok(mut record) = serde_json::from_value::<JobRecord>(row.value.clone()) else {
            log::error!("row {key} is malformed");
            continue;
        };
        let mut done = progress.done.clone();
        done.extend(record.done.iter().copied());
        record.done = done.into_iter().collect();
        record.state = progress.state;
        let value = serde_json::to_value(&record).unwrap_or_default();
        versions.insert(job.clone(), row.version);
        txn.checks.push(RowCheck { key: key.clone(), version: row.version });
        if progress.state.is_final() {
            txn.deletes.push(key);
            txn.puts.push(RowPut { key: done_key(job.as_str()), value });
        } else {
            txn.puts.push(RowPut { key, value });
        }
    }
    if txn.checks.is_empty() {
        return Some(versions);
    }
    control.leased_authority()?;
    let reply = control.platform.transact(&txn, CALL_TIMEOUT).await.ok()?;
    reply.committed.then_some(versions)
}
