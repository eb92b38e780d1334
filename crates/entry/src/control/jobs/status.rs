//! Finds the record of a job.

use model::job::JobRecord;
use model::kind::ErrorKind;
use model::name::{DomainName, JobId};
use wire::peer::PeerRefusal;
use wire::platform::TableRead;

use super::{CALL_TIMEOUT, PEER_TIMEOUT, done_key, index_key, job_key};
use crate::control::Control;

/// Most reads of a job's record while its row changes its key. A job ends once, and changes its
/// domain only when operators take a domain out of service.
const MAX_STATUS_READS: u32 = 3;

/// Returns a job's record, from its owner if reachable, otherwise from its row.
///
/// # Errors
/// A refusal of kind `not-found` or `platform-down`.
pub async fn find_record(control: Control, job: JobId) -> Result<JobRecord, PeerRefusal> {
    let local_record = control.state().domain.as_ref().and_then(|domain| {
        domain.cell.job_record(&job).or_else(|| domain.jobs.record(job.as_str()))
    });
    if let Some(record) = local_record {
        return Ok(record);
    }
    for _ in 0..MAX_STATUS_READS {
        match look_up_record(&control, &job).await? {
            JobLookup::Found(record) => return Ok(*record),
            JobLookup::Missing => break,
            JobLookup::Moved => {}
        }
    }
    Err(PeerRefusal::new(ErrorKind::NotFound, format!("there is no job `{job}`")))
}

/// Result of one search for a job's record.
enum JobLookup {
    Found(Box<JobRecord>),
    /// No job has this identifier.
    Missing,
    /// The row changed its key between two reads, because the job ended or was moved.
    Moved,
}

async fn look_up_record(control: &Control, job: &JobId) -> Result<JobLookup, PeerRefusal> {
    let platform_down = || PeerRefusal::new(ErrorKind::PlatformDown, "the platform did not answer");
    let parse_record = |value| match serde_json::from_value(value) {
        Ok(record) => Ok(JobLookup::Found(Box::new(record))),
        Err(_) => Err(platform_down()),
    };
    let keys = vec![index_key(job.as_str()), done_key(job.as_str())];
    let read = TableRead { keys, prefixes: Vec::new() };
    let reply = control.platform.read(&read, CALL_TIMEOUT).await.map_err(|_| platform_down())?;
    let find_row = |key: &str| reply.rows.iter().find(|row| row.key == key);
    if let Some(row) = find_row(&done_key(job.as_str())) {
        return parse_record(row.value.clone());
    }
    let Some(index) = find_row(&index_key(job.as_str())) else { return Ok(JobLookup::Missing) };
    let domain = index.value.get("domain").and_then(|name| name.as_str()).unwrap_or_default();
    let domain = DomainName::from(domain);
    let owner = control.state().owners.get(&domain).cloned();
    if let Some(owner) = owner
        && let Ok(Some(text)) =
            control.peers.job_status(&owner.address, job.as_str(), PEER_TIMEOUT).await
        && let Ok(record) = serde_json::from_str(&text)
    {
        return Ok(JobLookup::Found(Box::new(record)));
    }
    let read = TableRead { keys: vec![job_key(&domain, job)], prefixes: Vec::new() };
    let reply = control.platform.read(&read, CALL_TIMEOUT).await.map_err(|_| platform_down())?;
    match reply.rows.into_iter().next() {
        Some(row) => parse_record(row.value),
        None => Ok(JobLookup::Moved),
    }
}
