//! Jobs: accepting, recording their progress, cancelling and moving them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use link::failure::CallFailure;
use model::job::{JobRecord, JobSpec, JobState};
use model::kind::ErrorKind;
use model::name::{DomainName, JobId, TeamName};
use model::object::{DomainState as ServiceState, ObjectSet};
use policy::cell::Cell;
use policy::event::CellEvent;
use wire::api::SubmitReply;
use wire::peer::PeerRefusal;
use wire::platform::{RowCheck, RowPut, TableRead, TableRow, TableTxn};

use crate::control::{Control, cells};
use crate::snapshot::QueueAccess;

/// Time between two writes of progress.
const FLUSH: Duration = Duration::from_millis(100);
/// Most jobs in one write of progress.
const FLUSH_BOUND: usize = 64;
/// Time between two looks for jobs whose notification was lost.
const SCAN: Duration = Duration::from_secs(3);
/// Deadline of calls to the platform about jobs.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Deadline of calls to owners about jobs.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// Tries of moving a job; nothing else takes it up again in this domain.
const MOVE_TRIES: u32 = 10;
/// Most tasks of one job.
const TASKS_BOUND: u32 = 10_000;

/// Progress that is not written yet.
#[derive(Clone, Debug)]
struct JobProgress {
    state: JobState,
    done: BTreeSet<u32>,
}

/// Jobs of the owned domain and their rows.
#[derive(Debug, Default)]
pub struct JobBook {
    records: HashMap<JobId, Arc<JobRecord>>,
    dirty: BTreeMap<JobId, JobProgress>,
    writing: bool,
}

impl JobBook {
    /// Takes a job up; returns false if it is known already.
    pub fn adopt(&mut self, record: &JobRecord) -> bool {
        if self.records.contains_key(&record.spec.id) {
            return false;
        }
        self.records.insert(record.spec.id.clone(), Arc::new(record.clone()));
        true
    }

    /// Returns a job's record with the progress that is known here.
    #[must_use]
    pub fn record(&self, job: &str) -> Option<JobRecord> {
        let mut record = (**self.records.get(job)?).clone();
        if let Some(progress) = self.dirty.get(job) {
            record.state = progress.state;
            record.done = progress.done.iter().copied().collect();
        }
        Some(record)
    }

    /// Returns the records of all jobs for a successor.
    #[must_use]
    pub fn records(&self, cell: &Cell) -> Vec<JobRecord> {
        let jobs = self.records.keys();
        jobs.filter_map(|job| cell.job_record(job).or_else(|| self.record(job.as_str()))).collect()
    }
}

fn job_key(domain: &DomainName, job: &JobId) -> String {
    format!("job/{domain}/{job}")
}

fn index_key(job: &str) -> String {
    format!("jobid/{job}")
}

fn done_key(job: &str) -> String {
    format!("jobdone/{job}")
}

/// Accepts a job once its row is durable.
///
/// # Errors
/// A refusal; the job is not run, but for kind `write-unknown`.
pub async fn submit(
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
    match control.platform.transact(&txn, CALL_TIMEOUT).await {
        Ok(reply) if reply.committed => {}
        Ok(reply) => return repeated(&job, &index, &reply.conflicts),
        Err(report) if *report.current_context() == CallFailure::NotDone => {
            let message = "the platform did not take the job; it is not accepted, retry later";
            return Err(PeerRefusal::new(ErrorKind::PlatformDown, message));
        }
        Err(_) => resolve_lost_reply(&control, &job, &index).await?,
    }
    log::info!("job accepted job={job} team={} domain={domain}", record.team);
    notify_owner(&control, record);
    Ok(SubmitReply { job, domain })
}

fn check_spec(spec: &JobSpec, access: &QueueAccess, set: &ObjectSet) -> Result<(), PeerRefusal> {
    let bad = |field: &str, message: &str| {
        let text = format!("job {}: {field}: {message}", spec.id);
        Err(PeerRefusal::new(ErrorKind::BadInput, text))
    };
    let name = spec.id.as_str();
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    if name.is_empty() || name.len() > 128 || !name.bytes().all(plain) {
        return bad("id", "must be 1 to 128 letters, digits, `.`, `_` or `-`");
    }
    if crate::snapshot::ConfigSnapshot::takes_requests(access) {
        return bad("queue", "takes requests; send them to `/v1/queues/QUEUE/request`");
    }
    if spec.tasks == 0 || spec.tasks > TASKS_BOUND {
        return bad("tasks", "must be from 1 to 10000");
    }
    if spec.amounts.slots != 0 {
        return bad("amounts.slots", "must be 0; slots are for requests");
    }
    if spec.amounts.cpu_millis == 0 && spec.amounts.memory_mb == 0 {
        return bad("amounts", "must name cpu_millis or memory_mb above 0");
    }
    check_fits(spec, access, set)
}

/// Refuses a job that no worker or the team's limit can ever hold.
fn check_fits(spec: &JobSpec, access: &QueueAccess, set: &ObjectSet) -> Result<(), PeerRefusal> {
    let never = |message: String| Err(PeerRefusal::new(ErrorKind::NeverFits, message));
    if !set.workers.iter().any(|worker| spec.amounts.fits_in(worker.capacity)) {
        return never(format!("job {}: amounts: no worker offers as much for one task", spec.id));
    }
    let limit = set.limits.iter().find(|limit| limit.team == access.team);
    let allowed = limit.map(|limit| limit.amounts).unwrap_or_default();
    let gang = access.class.kind == model::object::ClassKind::Gang;
    let at_once = if gang { u64::from(spec.tasks) } else { 1 };
    if !spec.amounts.times(at_once).fits_in(allowed) {
        let limit = limit.map_or("none", |limit| limit.name.as_str());
        return never(format!(
            "job {}: amounts: above the limit `{limit}` of team `{}`",
            spec.id, access.team
        ));
    }
    Ok(())
}

/// Chooses the domain that runs a job: a gang or large task needs one that can hold it.
fn choose_domain(
    control: &Control,
    objects: &ObjectSet,
    spec: &JobSpec,
) -> Result<DomainName, PeerRefusal> {
    let state = control.state();
    let own = &control.settings.domain;
    let holds = |name: &DomainName| {
        let mut workers = objects.workers.iter().filter(|worker| worker.domain == *name);
        workers.any(|worker| spec.amounts.fits_in(worker.capacity))
    };
    let mut names: Vec<_> = objects
        .domains
        .iter()
        .filter(|domain| domain.state == ServiceState::In && holds(&domain.name))
        .map(|domain| domain.name.clone())
        .collect();
    // Jobs are spread by their identifier, so that one entry's domain does not fill first.
    let hash = spec
        .id
        .as_str()
        .bytes()
        .fold(5381_usize, |hash, byte| hash.wrapping_mul(33).wrapping_add(usize::from(byte)));
    if !names.is_empty() {
        let turn = hash % names.len();
        names.rotate_left(turn);
    }
    let owned = |name: &DomainName| state.owners.contains_key(name) || name == own;
    names
        .iter()
        .find(|name| owned(name))
        .or(names.first())
        .cloned()
        .ok_or_else(|| PeerRefusal::new(ErrorKind::DomainOut, "no failure domain takes this job"))
}

/// Answers a submission whose identifier is taken: the same job again is accepted once.
fn repeated(
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
) -> Result<(), PeerRefusal> {
    let read = TableRead { keys: vec![index_key(job.as_str())], prefixes: Vec::new() };
    for _ in 0..5 {
        if let Ok(reply) = control.platform.read(&read, CALL_TIMEOUT).await
            && reply.rows.first().is_some_and(|row| row.value == *index)
        {
            return Ok(());
        }
        tokio::time::sleep(FLUSH).await;
    }
    let message = "the platform did not tell whether the job was taken; send it again with its id";
    Err(PeerRefusal::new(ErrorKind::WriteUnknown, message))
}

/// Tells the owner of a job's domain, who would otherwise find the row a few seconds later.
fn notify_owner(control: &Control, record: JobRecord) {
    if record.domain == control.settings.domain && control.lease().is_some() {
        accept(control, record);
        return;
    }
    let owner = control.state().owners.get(&record.domain).cloned();
    let Some(owner) = owner else { return };
    let caller = Rc::clone(control);
    control.spawn(async move {
        let text = serde_json::to_string(&record).unwrap_or_default();
        match caller.peers.submit(&owner.address, &text, PEER_TIMEOUT).await {
            Ok(Ok(())) => {}
            Ok(Err(refusal)) => log::debug!("owner did not take the job yet: {}", refusal.message),
            Err(report) => log::debug!("owner was not told of the job: {report:?}"),
        }
    });
}

/// Takes a durable job of the owned domain up.
pub fn accept(control: &Control, record: JobRecord) {
    let fresh = {
        let mut state = control.state_mut();
        state.domain.as_mut().is_some_and(|domain| domain.jobs.adopt(&record))
    };
    if fresh && !record.state.is_final() {
        cells::feed(control, CellEvent::JobSubmitted(Arc::new(record)));
    }
}

/// Looks for rows of jobs whose notification was lost, until the process stops.
pub async fn scan_loop(control: Control) {
    loop {
        tokio::time::sleep(SCAN).await;
        let Some(authority) = control.lease() else { continue };
        let prefix = format!("job/{}/", control.settings.domain);
        let read = TableRead { keys: Vec::new(), prefixes: vec![prefix] };
        let Ok(reply) = control.platform.read(&read, CALL_TIMEOUT).await else { continue };
        if control.lease() != Some(authority) {
            continue;
        }
        for row in reply.rows {
            match serde_json::from_value(row.value) {
                Ok(record) => accept(&control, record),
                Err(error) => log::error!("row {} is malformed: {error}", row.key),
            }
        }
    }
}

/// Notes progress that the cell decided on; it is written with the next flush.
pub fn note_change(control: &Control, job: &JobId, state: JobState, done: &[u32]) {
    let mut control_state = control.state_mut();
    let Some(domain) = control_state.domain.as_mut() else { return };
    let progress = JobProgress { state, done: done.iter().copied().collect() };
    domain.jobs.dirty.insert(job.clone(), progress);
    if state.is_final() {
        log::info!("job ended job={job} state={state:?} done={}", done.len());
    }
}

/// Writes progress in batches until the process stops.
pub async fn flush_loop(control: Control) {
    loop {
        tokio::time::sleep(FLUSH).await;
        flush(&control).await;
    }
}

async fn flush(control: &Control) {
    let Some(authority) = control.lease() else { return };
    let batch: Vec<(JobId, JobProgress)> = {
        let mut state = control.state_mut();
        let Some(domain) = state.domain.as_mut() else { return };
        if domain.jobs.writing || domain.jobs.dirty.is_empty() {
            return;
        }
        domain.jobs.writing = true;
        let dirty = domain.jobs.dirty.iter().take(FLUSH_BOUND);
        dirty.map(|(job, progress)| (job.clone(), progress.clone())).collect()
    };
    let written = write_progress(control, &batch).await;
    let mut state = control.state_mut();
    let Some(domain) = state.domain.as_mut() else { return };
    if domain.authority != authority {
        return;
    }
    domain.jobs.writing = false;
    if !written {
        return;
    }
    for (job, progress) in batch {
        for link in domain.links.values_mut() {
            let over = progress.state.is_final();
            link.note_durable(&job, |index| over || progress.done.contains(&index));
        }
        let same = domain.jobs.dirty.get(&job).is_some_and(|latest| {
            latest.state == progress.state && latest.done.len() == progress.done.len()
        });
        if same {
            domain.jobs.dirty.remove(&job);
            if progress.state.is_final() {
                domain.jobs.records.remove(&job);
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
/// Rows are compared and swapped: a former owner whose write is late must not
/// undo the progress that this one recorded. Done tasks only ever grow, so
/// that two writers can be merged.
async fn write_progress(control: &Control, batch: &[(JobId, JobProgress)]) -> bool {
    let domain = &control.settings.domain;
    let keys = batch.iter().map(|(job, _)| job_key(domain, job)).collect();
    let read = TableRead { keys, prefixes: Vec::new() };
    let Ok(reply) = control.platform.read(&read, CALL_TIMEOUT).await else { return false };
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
        txn.checks.push(RowCheck { key: key.clone(), version: row.version });
        if progress.state.is_final() {
            txn.deletes.push(key);
            txn.puts.push(RowPut { key: done_key(job.as_str()), value });
        } else {
            txn.puts.push(RowPut { key, value });
        }
    }
    if txn.checks.is_empty() {
        return true;
    }
    if control.lease().is_none() {
        return false;
    }
    matches!(control.platform.transact(&txn, CALL_TIMEOUT).await, Ok(reply) if reply.committed)
}

/// Hands a job of a domain that is out to another domain.
pub fn move_job(control: &Control, job: &JobId) {
    let caller = Rc::clone(control);
    let job = job.clone();
    control.spawn(async move {
        // A write of progress may change the row between the read and the move.
        for _ in 0..MOVE_TRIES {
            match try_move(&caller, &job).await {
                Ok(()) => return,
                Err(reason) => log::warn!("job {job} was not moved: {reason}"),
            }
            tokio::time::sleep(FLUSH).await;
        }
    });
}

async fn try_move(control: &Control, job: &JobId) -> Result<(), String> {
    let record = {
        let state = control.state();
        let domain = state.domain.as_ref().ok_or("the ownership ended")?;
        let record = domain.cell.job_record(job).or_else(|| domain.jobs.record(job.as_str()));
        record.ok_or("it is not known")?
    };
    let objects = Arc::clone(control.state().config.objects());
    let target =
        choose_domain(control, &objects, &record.spec).map_err(|refusal| refusal.message)?;
    let old_key = job_key(&control.settings.domain, job);
    let read = TableRead { keys: vec![old_key.clone()], prefixes: Vec::new() };
    let reply = control.platform.read(&read, CALL_TIMEOUT).await;
    let reply = reply.map_err(|report| format!("{report:?}"))?;
    let row = reply.rows.into_iter().next().ok_or("its row is gone")?;
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
    if !reply.map_err(|report| format!("{report:?}"))?.committed {
        return Err("its row changed".to_owned());
    }
    log::info!("job moved job={job} from={} to={target}", control.settings.domain);
    if let Some(domain) = control.state_mut().domain.as_mut() {
        domain.jobs.records.remove(job);
        domain.jobs.dirty.remove(job);
    }
    notify_owner(control, moved);
    Ok(())
}

/// Returns a job's record, from its owner if it can be reached, else from its row.
///
/// # Errors
/// A refusal of kind `not-found` or `platform-down`.
pub async fn status(control: Control, job: JobId) -> Result<JobRecord, PeerRefusal> {
    let own = control.state().domain.as_ref().and_then(|domain| {
        domain.cell.job_record(&job).or_else(|| domain.jobs.record(job.as_str()))
    });
    if let Some(record) = own {
        return Ok(record);
    }
    let keys = vec![index_key(job.as_str()), done_key(job.as_str())];
    let read = TableRead { keys, prefixes: Vec::new() };
    let down = || PeerRefusal::new(ErrorKind::PlatformDown, "the platform did not answer");
    let reply = control.platform.read(&read, CALL_TIMEOUT).await.map_err(|_| down())?;
    let find = |key: &str| reply.rows.iter().find(|row| row.key == key);
    if let Some(row) = find(&done_key(job.as_str())) {
        return serde_json::from_value(row.value.clone()).map_err(|_| down());
    }
    let missing = || PeerRefusal::new(ErrorKind::NotFound, format!("there is no job `{job}`"));
    let index = find(&index_key(job.as_str())).ok_or_else(missing)?;
    let domain = index.value.get("domain").and_then(|name| name.as_str()).unwrap_or_default();
    let domain = DomainName::from(domain);
    let owner = control.state().owners.get(&domain).cloned();
    if let Some(owner) = owner
        && let Ok(Some(text)) =
            control.peers.job_status(&owner.address, job.as_str(), PEER_TIMEOUT).await
        && let Ok(record) = serde_json::from_str(&text)
    {
        return Ok(record);
    }
    let read = TableRead { keys: vec![job_key(&domain, &job)], prefixes: Vec::new() };
    let reply = control.platform.read(&read, CALL_TIMEOUT).await.map_err(|_| down())?;
    let row = reply.rows.into_iter().next().ok_or_else(missing)?;
    serde_json::from_value(row.value).map_err(|_| down())
}

/// Cancels a job of a team, at the owner of its domain.
///
/// # Errors
/// A refusal; asking again is harmless.
pub async fn cancel(control: Control, job: JobId, team: TeamName) -> Result<(), PeerRefusal> {
    let record = status(Rc::clone(&control), job.clone()).await?;
    if record.team != team {
        return Err(PeerRefusal::new(ErrorKind::WrongTeam, "the job belongs to another team"));
    }
    if record.state.is_final() {
        return Ok(());
    }
    if record.domain == control.settings.domain && control.lease().is_some() {
        return cancel_local(&control, &job, &team);
    }
    let owner = control.state().owners.get(&record.domain).cloned();
    let owner = owner.ok_or_else(|| PeerRefusal::new(ErrorKind::NoOwner, "no owner is known"))?;
    match control.peers.cancel(&owner.address, job.as_str(), team.as_str(), PEER_TIMEOUT).await {
        Ok(reply) => reply,
        Err(_) => Err(link::peer::unreachable(&owner.address)),
    }
}

/// Cancels a job that this owner runs.
///
/// # Errors
/// A refusal of kind `no-owner`, `not-found` or `wrong-team`.
pub fn cancel_local(control: &Control, job: &JobId, team: &TeamName) -> Result<(), PeerRefusal> {
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
    Ok(())
}
