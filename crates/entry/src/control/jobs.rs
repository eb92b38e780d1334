//! Jobs: accepting, recording their progress, cancelling and moving them.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use link::failure::CallFailure;
use model::authority::OwnerAuthority;
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
/// Pause until a job that could not be moved is tried again.
const MOVE_RETRY: Duration = Duration::from_secs(1);
/// Deadline of calls to the platform about jobs.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Deadline of calls to owners about jobs.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// Most jobs that are remembered after their end. A day has 13,000 jobs in 11
/// domains, so that this lasts for days.
const GONE_BOUND: usize = 10_000;
/// Looks for a job's record before it counts as missing; a job ends once, and changes its domain
/// at most as often as operators take domains out.
const STATUS_TRIES: u32 = 3;
/// Milliseconds that a cancellation waits to be recorded.
const CANCEL_WAIT_MS: u64 = 2_000;
/// Time between two looks whether it is.
const CANCEL_POLL: Duration = Duration::from_millis(20);
/// Deadline of a cancellation at another owner.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(2_500);
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
    /// Jobs that ended here or were moved away, the oldest first.
    gone: VecDeque<JobId>,
    /// Version of the last row of each of them.
    gone_versions: HashMap<JobId, u64>,
}

impl JobBook {
    /// Takes a job up from a row of the given version; returns false if it is known.
    ///
    /// A row can be read before a job ends or moves away and arrive after, and
    /// the job must not run again. A job that comes back has a later row.
    pub fn adopt(&mut self, record: &JobRecord, version: u64) -> bool {
        let job = &record.spec.id;
        let gone = self.gone_versions.get(job);
        if self.records.contains_key(job) || gone.is_some_and(|last| version <= *last) {
            return false;
        }
        self.records.insert(record.spec.id.clone(), Arc::new(record.clone()));
        true
    }

    /// Forgets a job that ended here or was moved away; `version` is that of its last row here.
    pub fn forget(&mut self, job: &JobId, version: u64) {
        self.dirty.remove(job);
        self.records.remove(job);
        if self.gone_versions.insert(job.clone(), version).is_none() {
            self.gone.push_back(job.clone());
        }
        if self.gone.len() > GONE_BOUND
            && let Some(oldest) = self.gone.pop_front()
        {
            self.gone_versions.remove(&oldest);
        }
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
    let version = match control.platform.transact(&txn, CALL_TIMEOUT).await {
        Ok(reply) if reply.committed => reply.version,
        Ok(reply) => return repeated(&job, &index, &reply.conflicts),
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
) -> Result<u64, PeerRefusal> {
    let read = TableRead { keys: vec![index_key(job.as_str())], prefixes: Vec::new() };
    for _ in 0..5 {
        if let Ok(reply) = control.platform.read(&read, CALL_TIMEOUT).await
            && let Some(row) = reply.rows.first().filter(|row| row.value == *index)
        {
            return Ok(row.version);
        }
        tokio::time::sleep(FLUSH).await;
    }
    let message = "the platform did not tell whether the job was taken; send it again with its id";
    Err(PeerRefusal::new(ErrorKind::WriteUnknown, message))
}

/// Tells the owner of a job's domain, who would otherwise find the row a few seconds later.
///
/// `version` is that of the job's row.
fn notify_owner(control: &Control, record: JobRecord, version: u64) {
    if record.domain == control.settings.domain && control.lease().is_some() {
        accept(control, record, version);
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
            Err(report) => log::debug!("owner was not told of the job: {report:#}"),
        }
    });
}

/// Takes a durable job of the owned domain up, from a row of the given version.
pub fn accept(control: &Control, record: JobRecord, version: u64) {
    let fresh = {
        let mut state = control.state_mut();
        state.domain.as_mut().is_some_and(|domain| domain.jobs.adopt(&record, version))
    };
    if fresh && !record.state.is_final() {
        cells::feed(control, CellEvent::JobSubmitted(Arc::new(record)));
    }
}

/// Looks for rows of jobs whose notification was lost, until the process stops.
pub async fn scan_loop(control: Control) {
    loop {
        tokio::time::sleep(SCAN).await;
        let prefix = format!("job/{}/", control.settings.domain);
        accept_rows(&control, TableRead { keys: Vec::new(), prefixes: vec![prefix] }).await;
    }
}

/// Takes the job of a notification up, from its row.
///
/// The notification itself may be late by any time, and the job over.
pub async fn accept_notified(control: Control, job: JobId) {
    let key = job_key(&control.settings.domain, &job);
    accept_rows(&control, TableRead { keys: vec![key], prefixes: Vec::new() }).await;
}

async fn accept_rows(control: &Control, read: TableRead) {
    let Some(authority) = control.lease() else { return };
    let Ok(reply) = control.platform.read(&read, CALL_TIMEOUT).await else { return };
    if control.lease() != Some(authority) {
        return;
    }
    for row in reply.rows {
        match serde_json::from_value(row.value) {
            Ok(record) => accept(control, record, row.version),
            Err(error) => log::error!("row {} is malformed: {error}", row.key),
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
    let Some(versions) = written else { return };
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
                // Without a row an earlier write took effect and its reply was lost.
                let version = versions.get(&job).copied().unwrap_or(u64::MAX);
                domain.jobs.forget(&job, version);
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
///
/// Returns the versions of the rows that it replaced, or nothing if the write
/// has to be tried again.
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
    control.lease()?;
    let reply = control.platform.transact(&txn, CALL_TIMEOUT).await.ok()?;
    reply.committed.then_some(versions)
}

/// Hands a job of a domain that is out to another domain.
///
/// The cell has given the job up already, so the handing over is tried until
/// it succeeds, or the domain is back in service and the cell gets the job back.
pub fn move_job(control: &Control, job: &JobId) {
    let caller = Rc::clone(control);
    let job = job.clone();
    let authority = control.lease();
    control.spawn(async move {
        let mut warned = false;
        let mut seen = 0;
        while let Err(reason) = try_move(&caller, &job, &mut seen).await {
            if !warned {
                log::warn!("job {job} was not moved yet: {reason}");
                warned = true;
            }
            tokio::time::sleep(MOVE_RETRY).await;
            let Some(record) = waiting_record(&caller, &job, authority) else { return };
            if is_in_service(&caller) {
                log::info!("job {job} stays: its domain is back in service");
                cells::feed(&caller, CellEvent::JobSubmitted(Arc::new(record)));
                return;
            }
        }
    });
}

fn forget(control: &Control, job: &JobId, version: u64) {
    if let Some(domain) = control.state_mut().domain.as_mut() {
        domain.jobs.forget(job, version);
    }
}

/// Returns the record of a job that waits to be moved, unless it ended or the ownership did.
fn waiting_record(
    control: &Control,
    job: &JobId,
    authority: Option<OwnerAuthority>,
) -> Option<JobRecord> {
    let state = control.state();
    let domain = state.domain.as_ref().filter(|domain| Some(domain.authority) == authority)?;
    domain.jobs.record(job.as_str()).filter(|record| !record.state.is_final())
}

/// Tells whether the own domain takes work.
fn is_in_service(control: &Control) -> bool {
    let state = control.state();
    let mut domains = state.config.objects().domains.iter();
    domains.any(|domain| domain.name == control.settings.domain && domain.state == ServiceState::In)
}

/// Tries to move a job once; `seen` keeps the version of its row between tries.
async fn try_move(control: &Control, job: &JobId, seen: &mut u64) -> Result<(), String> {
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
    let reply = reply.map_err(|report| format!("{report:#}"))?;
    let Some(row) = reply.rows.into_iter().next() else {
        // The job ended, or an earlier try moved it and its reply was lost.
        forget(control, job, *seen);
        return Ok(());
    };
    *seen = row.version;
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
        return Err("its row changed".to_owned());
    }
    let version = reply.version;
    log::info!("job moved job={job} from={} to={target}", control.settings.domain);
    forget(control, job, row.version);
    notify_owner(control, moved, version);
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
    for _ in 0..STATUS_TRIES {
        match find_record(&control, &job).await? {
            JobSearch::Found(record) => return Ok(*record),
            JobSearch::Missing => break,
            JobSearch::Moved => {}
        }
    }
    Err(PeerRefusal::new(ErrorKind::NotFound, format!("there is no job `{job}`")))
}

/// What one look for a job's record brought.
enum JobSearch {
    Found(Box<JobRecord>),
    /// No job has this identifier.
    Missing,
    /// Its row was written under another key between two reads: it ended, or changed its domain.
    Moved,
}

async fn find_record(control: &Control, job: &JobId) -> Result<JobSearch, PeerRefusal> {
    let down = || PeerRefusal::new(ErrorKind::PlatformDown, "the platform did not answer");
    let found = |value| match serde_json::from_value(value) {
        Ok(record) => Ok(JobSearch::Found(Box::new(record))),
        Err(_) => Err(down()),
    };
    let keys = vec![index_key(job.as_str()), done_key(job.as_str())];
    let read = TableRead { keys, prefixes: Vec::new() };
    let reply = control.platform.read(&read, CALL_TIMEOUT).await.map_err(|_| down())?;
    let find = |key: &str| reply.rows.iter().find(|row| row.key == key);
    if let Some(row) = find(&done_key(job.as_str())) {
        return found(row.value.clone());
    }
    let Some(index) = find(&index_key(job.as_str())) else { return Ok(JobSearch::Missing) };
    let domain = index.value.get("domain").and_then(|name| name.as_str()).unwrap_or_default();
    let domain = DomainName::from(domain);
    let owner = control.state().owners.get(&domain).cloned();
    if let Some(owner) = owner
        && let Ok(Some(text)) =
            control.peers.job_status(&owner.address, job.as_str(), PEER_TIMEOUT).await
        && let Ok(record) = serde_json::from_str(&text)
    {
        return Ok(JobSearch::Found(Box::new(record)));
    }
    let read = TableRead { keys: vec![job_key(&domain, job)], prefixes: Vec::new() };
    let reply = control.platform.read(&read, CALL_TIMEOUT).await.map_err(|_| down())?;
    match reply.rows.into_iter().next() {
        Some(row) => found(row.value),
        None => Ok(JobSearch::Moved),
    }
}

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
            CallFailure::NotDone => link::peer::unreachable(&address),
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
