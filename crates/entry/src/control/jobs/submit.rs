//! Accepts jobs: checks them, chooses their domain and stores their row.

use std::sync::Arc;
use std::time::Duration;

use link::failure::CallFailure;
use model::job::{JobRecord, JobSpec, JobState};
use model::kind::ErrorKind;
use model::name::{DomainName, JobId};
use model::object::{ClassKind, ObjectSet};
use wire::api::SubmitReply;
use wire::peer::PeerRefusal;
use wire::platform::{RowCheck, RowPut, TableRead, TableRow, TableTxn};

use super::{CALL_TIMEOUT, done_key, index_key, job_key, notify_owner};
use crate::control::Control;
use crate::snapshot::{ConfigSnapshot, QueueAccess};

/// Most tasks of one job.
const MAX_TASKS_PER_JOB: u32 = 10_000;
/// Delay before each repeated read of the row of a submission without an answer.
const READ_BACK_DELAY: Duration = Duration::from_millis(100);

/// Accepts a job once its row is durable.
///
/// # Errors
/// A refusal; the job does not run, except possibly with kind `write-unknown`.
pub async fn submit_job(
    control: Control,
    spec: JobSpec,
    access: QueueAccess,
) -> Result<SubmitReply, PeerRefusal> {
    let objects = Arc::clone(control.state().config.objects());
    check_spec(&spec, &access, &objects)?;
    let domain = choose_domain(&control, &objects, &spec)?;
    let record = JobRecord {
        team: access.team,
        domain: domain.clone(),
        state: JobState::Accepted,
        done: Vec::new(),
        spec,
    };
    let job = record.spec.id.clone();
    let value = serde_json::to_value(&record).unwrap_or_default();
    let index = serde_json::json!({ "domain": domain, "spec": record.spec });
    let txn = TableTxn {
        checks: vec![
            RowCheck { key: index_key(job.as_str()), version: 0 },
            RowCheck { key: done_key(job.as_str()), version: 0 },
        ],
        puts: vec![
            RowPut { key: index_key(job.as_str()), value: index.clone() },
            RowPut { key: job_key(&domain, &job), value },
        ],
        deletes: Vec::new(),
    };
    let version = match control.platform.transact(&txn, CALL_TIMEOUT).await {
        Ok(reply) if reply.committed => reply.version,
        Ok(reply) => return answer_repeated(&job, &index, &reply.conflicts),
        Err(report) if *report.current_context() == CallFailure::NotDone => {
            let message = "the platform did not take the job; it is not accepted, retry later";
            return Err(PeerRefusal::new(ErrorKind::PlatformDown, message));
        }
        Err(_) => resolve_lost_reply(&control, &job, &index).await?,
    };
    log::info!("job accepted job={job} team={} domain={domain}", record.team);
    notify_owner(&control, record, version);
    Ok(SubmitReply { job, domain })
}

fn check_spec(spec: &JobSpec, access: &QueueAccess, set: &ObjectSet) -> Result<(), PeerRefusal> {
    let bad_input = |field: &str, message: &str| {
        let text = format!("job {}: {field}: {message}", spec.id);
        Err(PeerRefusal::new(ErrorKind::BadInput, text))
    };
    let name = spec.id.as_str();
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    if name.is_empty() || name.len() > 128 || !name.bytes().all(is_allowed) {
        return bad_input("id", "must be 1 to 128 letters, digits, `.`, `_` or `-`");
    }
    if ConfigSnapshot::accepts_requests(access) {
        return bad_input("queue", "takes requests; send them to `/v1/queues/QUEUE/request`");
    }
    if spec.tasks == 0 || spec.tasks > MAX_TASKS_PER_JOB {
        return bad_input("tasks", "must be from 1 to 10000");
    }
    if spec.amounts.slots != 0 {
        return bad_input("amounts.slots", "must be 0; slots are for requests");
    }
    if spec.amounts.cpu_millis == 0 && spec.amounts.memory_mb == 0 {
        return bad_input("amounts", "must name cpu_millis or memory_mb above 0");
    }
    check_fits(spec, access, set)
}

/// Refuses a job that fits on no worker or exceeds the team's limit.
fn check_fits(spec: &JobSpec, access: &QueueAccess, set: &ObjectSet) -> Result<(), PeerRefusal> {
    let never_fits = |message: String| Err(PeerRefusal::new(ErrorKind::NeverFits, message));
    if !set.workers.iter().any(|worker| spec.amounts.fits_in(worker.capacity)) {
        return never_fits(format!(
            "job {}: amounts: no worker offers as much for one task",
            spec.id
        ));
    }
    let limit = set.limits.iter().find(|limit| limit.team == access.team);
    let limit_amounts = limit.map(|limit| limit.amounts).unwrap_or_default();
    let is_gang = access.class.kind == ClassKind::Gang;
    let concurrent_tasks = if is_gang { u64::from(spec.tasks) } else { 1 };
    if !spec.amounts.times(concurrent_tasks).fits_in(limit_amounts) {
        let limit = limit.map_or("none", |limit| limit.name.as_str());
        return never_fits(format!(
            "job {}: amounts: above the limit `{limit}` of team `{}`",
            spec.id, access.team
        ));
    }
    Ok(())
}

/// Chooses a domain in service with a worker large enough for one task of the job.
///
/// A domain whose owner is known is preferred.
pub(super) fn choose_domain(
    control: &Control,
    objects: &ObjectSet,
    spec: &JobSpec,
) -> Result<DomainName, PeerRefusal> {
    let state = control.state();
    let own_domain = &control.settings.domain;
    let has_fitting_worker = |name: &DomainName| {
        let mut workers = objects.workers.iter().filter(|worker| worker.domain == *name);
        workers.any(|worker| spec.amounts.fits_in(worker.capacity))
    };
    let mut names: Vec<_> = objects
        .domains_in_service()
        .filter(|domain| has_fitting_worker(&domain.name))
        .map(|domain| domain.name.clone())
        .collect();
    // A hash of the identifier spreads the jobs over the domains, so that the domain of the
    // accepting entry does not fill first.
    let hash = spec
        .id
        .as_str()
        .bytes()
        .fold(5381_usize, |hash, byte| hash.wrapping_mul(33).wrapping_add(usize::from(byte)));
    if !names.is_empty() {
        let offset = hash % names.len();
        names.rotate_left(offset);
    }
    let has_owner = |name: &DomainName| state.owners.contains_key(name) || name == own_domain;
    names
        .iter()
        .find(|name| has_owner(name))
        .or(names.first())
        .cloned()
        .ok_or_else(|| PeerRefusal::new(ErrorKind::DomainOut, "no failure domain takes this job"))
}

/// Answers a submission whose identifier is in use: only the same job is accepted again.
fn answer_repeated(
    job: &JobId,
    index: &serde_json::Value,
    conflicts: &[TableRow],
) -> Result<SubmitReply, PeerRefusal> {
    let present = conflicts.iter().find(|row| row.key == index_key(job.as_str()));
    if let Some(row) = present
        && row.value.get("spec") == index.get("spec")
        && let Some(domain) = row.value.get("domain").and_then(|name| name.as_str())
    {
        return Ok(SubmitReply { job: job.clone(), domain: domain.into() });
    }
    let message = format!("job {job}: id: is in use by another job; choose a new one");
    Err(PeerRefusal::new(ErrorKind::BadInput, message))
}

async fn resolve_lost_reply(
    control: &Control,
    job: &JobId,
    index: &serde_json::Value,
) -> Result<u64, PeerRefusal> {
    let read = TableRead { keys: vec![index_key(job.as_str())], prefixes: Vec::new() };
    for _ in 0..5 {
        if let Ok(reply) = control.platform.read(&read, CALL_TIMEOUT).await
            && let Some(row) = reply.rows.first().filter(|row| row.value == *index)
        {
            return Ok(row.version);
        }
        tokio::time::sleep(READ_BACK_DELAY).await;
    }
    let message = "the platform did not tell whether the job was taken; send it again with its id";
    Err(PeerRefusal::new(ErrorKind::WriteUnknown, message))
}
