//! Loads jobs, progress and workers from the table service, and follows their changes.

use std::collections::BTreeMap;
use std::sync::Arc;

use futures_util::future;
use link::failure;
use model::name::JobId;
use model::time::ClockMillis;
use plan::job::JobSpec;
use plan::progress::{JobStatus, ProgressRecord};

use crate::desk;
use crate::lease::ServiceClock;
use crate::limits;
use crate::news;
use crate::owner::session::FinishedJob;
use crate::owner::{OwnerPorts, SharedSession, advice, cancellations, workers};
use crate::ports::{FeedAnswer, PortResult, RowPage, RowTransaction, TableRow, TransactOutcome};
use crate::row::{self, LeasedWorkers};
use crate::submit::TermVersions;

/// Versions from which the owner follows the changes of the inbox and the workers' table.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FeedPositions {
    pub(crate) inbox: u64,
    pub(crate) workers: u64,
}

/// Loads jobs, progress and workers into the planner; retries until that succeeds.
pub(crate) async fn load<P: OwnerPorts>(
    session: &SharedSession<P>,
    had_owner: bool,
) -> FeedPositions {
    loop {
        match try_load(session, had_owner).await {
            Some(positions) => return positions,
            None => tokio::time::sleep(limits::STORE_RETRY_DELAY).await,
        }
    }
}

async fn try_load<P: OwnerPorts>(
    session: &SharedSession<P>,
    had_owner: bool,
) -> Option<FeedPositions> {
    let plan = session.context.config_view.borrow().planner_config();
    session.planner.borrow_mut().set_config(plan);
    write_terms(session).await?;
    let (worker_page, job_pages, leased) = futures_util::try_join!(
        read_worker_rows(session),
        read_jobs(session),
        read_leases(session)
    )
    .ok()?;
    let (leased, store_clock) = leased;
    // No earlier owner can change the list any more, as this owner's claim has changed the
    // ownership row.
    session.stored_leases.borrow_mut().record(leased.clone());
    apply_jobs(session, &job_pages);
    // Jobs come first: a worker is polled as soon as it is known, and a run end counts only
    // for a known job.
    apply_workers(session, &worker_page);
    // The first owner of a fleet finds no runs.
    if had_owner {
        workers::await_unregistered_leases(session, &leased, &store_clock);
        session.planner.borrow_mut().inherit_workers(leased.runs, leased.largest);
    }
    advice::refresh_advice_entries(session);
    let (jobs, workers) =
        (session.planner.borrow().unfinished_job_count(), session.links.borrow().len());
    log::info!("fleet loaded term={} jobs={jobs} workers={workers}", session.term);
    Some(FeedPositions { inbox: job_pages.inbox.version, workers: worker_page.version })
}

/// Writes the term rows of all job partitions, after which no earlier owner can store jobs.
async fn write_terms<P: OwnerPorts>(session: &SharedSession<P>) -> Option<()> {
    let writes = row::JOB_PARTITIONS.iter().map(|partition| write_term(session, partition));
    let written = future::join_all(writes).await;
    let mut versions = TermVersions::default();
    for (version, written) in versions.iter_mut().zip(written) {
        *version = written?;
    }
    session.term_versions.set(versions);
    Some(())
}

async fn write_term<P: OwnerPorts>(
    session: &SharedSession<P>,
    partition: &'static str,
) -> Option<u64> {
    let transaction = RowTransaction {
        writes: vec![(row::term_key(partition), row::encode(&session.term))],
        ..RowTransaction::default()
    };
    match session.context.ports.transact(&transaction, limits::JOB_WRITE_TIMEOUT).await {
        Ok(TransactOutcome::Committed(version)) => Some(version),
        Ok(TransactOutcome::Conflict(_)) => None,
        Err(error) => {
            log::warn!(
                "term not written term={} error=\"{}\"",
                session.term,
                failure::format_one_line(&error)
            );
            None
        }
    }
}

async fn read_worker_rows<P: OwnerPorts>(session: &SharedSession<P>) -> PortResult<RowPage> {
    session
        .context
        .ports
        .read(row::WORKER_TABLE, row::ROOT_PARTITION, None, limits::STORE_TIMEOUT)
        .await
        .inspect_err(|error| {
            log::warn!("workers not read error=\"{}\"", failure::format_one_line(error));
        })
}

/// Reads the workers that may run tasks of earlier owners, with the clock of the service.
async fn read_leases<P: OwnerPorts>(
    session: &SharedSession<P>,
) -> PortResult<(LeasedWorkers, ServiceClock)> {
    let sent_at = session.context.clock.now();
    let page = session
        .context
        .ports
        .read(row::LEASE_TABLE, row::OWNER_PARTITION, None, limits::STORE_TIMEOUT)
        .await
        .inspect_err(|error| {
            log::warn!("leases not read error=\"{}\"", failure::format_one_line(error));
        })?;
    let row = page.rows.iter().find_map(|row| Some((&row.key, row.value.as_ref()?)));
    let leased = row.map_or_else(LeasedWorkers::default, |(key, value)| {
        row::decode(row::LEASE_TABLE, key, value).unwrap_or_else(LeasedWorkers::unknown)
    });
    let received_at = session.context.clock.now();
    Ok((leased, ServiceClock { sent_at, received_at, clock_ms: page.clock_ms }))
}

/// Applies a complete read of the workers' table and deregisters workers without a row.
fn apply_workers<P: OwnerPorts>(session: &SharedSession<P>, page: &RowPage) {
    let registered: Vec<_> = page.rows.iter().map(|row| row.key.clone()).collect();
    workers::deregister_others(session, &registered);
    for row in &page.rows {
        workers::apply_registration(session, row, limits::MAX_REGISTRATION_AGE_MS);
    }
}

/// The rows of all jobs.
#[derive(Debug)]
struct JobPages {
    inbox: RowPage,
    jobs: RowPage,
    progress: RowPage,
}

/// Reads jobs and their progress. The order of the reads does not matter, as no earlier owner
/// can change the rows any more.
async fn read_jobs<P: OwnerPorts>(session: &SharedSession<P>) -> PortResult<JobPages> {
    let (inbox, jobs, progress) = futures_util::try_join!(
        read_partitions(session, row::INBOX_TABLE),
        read_partitions(session, row::JOB_TABLE),
        read_partitions(session, row::PROGRESS_TABLE)
    )?;
    Ok(JobPages { inbox, jobs, progress })
}

fn apply_jobs<P: OwnerPorts>(session: &SharedSession<P>, pages: &JobPages) {
    let JobPages { inbox, jobs, progress } = pages;
    let now_ms = desk::unix_ms();
    let mut records: BTreeMap<JobId, ProgressRecord> = BTreeMap::new();
    for row in &progress.rows {
        let Some(value) = &row.value else { continue };
        let id = JobId::from(row.key.as_str());
        session.progress_versions.borrow_mut().insert(id.clone(), row.version);
        if let Some(record) = row::decode::<ProgressRecord>(row::PROGRESS_TABLE, &row.key, value) {
            if record.status.is_final() {
                if news::is_recent(record.ended_ms, now_ms) {
                    session.publish(&id, record.status);
                } else {
                    let mut statuses = session.context.statuses.borrow_mut();
                    statuses.record_status(id.clone(), record.status);
                }
                let finished_job =
                    FinishedJob { ended_ms: record.ended_ms, id: id.clone(), version: row.version };
                session.finished_jobs.borrow_mut().push_back(finished_job);
                if let Some(remaining) = &record.remaining
                    && news::is_recent(record.ended_ms, now_ms)
                {
                    let mut planner = session.planner.borrow_mut();
                    planner.inherit_finished_job(id.clone(), remaining.clone());
                }
            }
            records.insert(id, record);
        }
    }
    session.finished_jobs.borrow_mut().make_contiguous().sort_unstable();
    for row in jobs.rows.iter().chain(&inbox.rows) {
        apply_job(session, row, &records);
    }
}

/// Reads a table of jobs in all its partitions. The page's version is the lowest of the reads,
/// so that following from there misses no change.
async fn read_partitions<P: OwnerPorts>(
    session: &SharedSession<P>,
    table: &'static str,
) -> PortResult<RowPage> {
    let ports = &session.context.ports;
    let reads = row::JOB_PARTITIONS
        .iter()
        .map(|partition| ports.read(table, partition, None, limits::STORE_TIMEOUT));
    let pages = future::try_join_all(reads).await.inspect_err(|error| {
        log::warn!("jobs not read table={table} error=\"{}\"", failure::format_one_line(error));
    })?;
    let version = pages.iter().map(|page| page.version).min().unwrap_or(0);
    let clock_ms = pages.iter().map(|page| page.clock_ms).min().unwrap_or(0);
    Ok(RowPage { rows: pages.into_iter().flat_map(|page| page.rows).collect(), version, clock_ms })
}

fn apply_job<P: OwnerPorts>(
    session: &SharedSession<P>,
    row: &TableRow,
    records: &BTreeMap<JobId, ProgressRecord>,
) {
    if let Some(id) = row::parse_cancel_key(&row.key) {
        cancellations::apply(session, &id, row.value.is_some());
        return;
    }
    let Some(value) = &row.value else { return };
    let Some(spec) = row::decode::<JobSpec>(row::JOB_TABLE, &row.key, value) else { return };
    let now = session.context.clock.now();
    // The clocks of VMs differ a little: an arrival in the future counts as now.
    let age_ms = desk::unix_ms().saturating_sub(spec.accepted_ms);
    let no_progress = ProgressRecord::default();
    let record = records.get(&spec.id).unwrap_or(&no_progress);
    add_job(session, spec, record, now.0.saturating_sub(age_ms));
}

/// Adds a stored job to the planner unless it is already known or finished: its row may be
/// read, or the answer to its write may arrive, only after the job has run.
///
/// A job whose cancellation this entry has served is added as well, so that its end is stored.
pub(crate) fn add_job<P: OwnerPorts>(
    session: &SharedSession<P>,
    spec: JobSpec,
    record: &ProgressRecord,
    arrived_ms: u64,
) {
    let status = session.context.statuses.borrow().get(&spec.id).unwrap_or_default();
    let is_over = matches!(status, JobStatus::Completed | JobStatus::Failed);
    let mut planner = session.planner.borrow_mut();
    if is_over || planner.has_job(&spec.id) {
        return;
    }
    let is_cancelled = status == JobStatus::Cancelled;
    session.publish(&spec.id, if is_cancelled { status } else { JobStatus::Pending });
    if is_cancelled {
        planner.cancel_job(&spec.id);
    }
    planner.add_job(&Arc::new(spec), record, arrived_ms);
}

/// Follows the jobs and cancellations that other entries store.
pub(crate) async fn follow_jobs<P: OwnerPorts>(session: SharedSession<P>, mut version: u64) {
    loop {
        let answer =
            session.context.ports.follow(row::INBOX_TABLE, version, limits::MAX_FEED_WAIT).await;
        match answer {
            Ok(FeedAnswer::Changes(page)) => {
                version = page.version;
                let no_records = BTreeMap::new();
                for row in &page.rows {
                    apply_job(&session, row, &no_records);
                }
                if !page.rows.is_empty() {
                    session.decide_notify.notify_one();
                    tokio::time::sleep(limits::JOB_FEED_DELAY).await;
                }
            }
            Ok(FeedAnswer::Truncated) => version = reread_inbox(&session).await,
            Err(error) => {
                log::warn!("jobs not followed error=\"{}\"", failure::format_one_line(&error));
                tokio::time::sleep(limits::STORE_RETRY_DELAY).await;
            }
        }
    }
}

/// Reads the owner's job table again and adds the jobs that are not known.
pub(crate) async fn reread_jobs<P: OwnerPorts>(session: &SharedSession<P>) {
    let Ok(page) = read_partitions(session, row::JOB_TABLE).await else { return };
    let no_records = BTreeMap::new();
    for row in &page.rows {
        apply_job(session, row, &no_records);
    }
    session.decide_notify.notify_one();
}

/// Returns whether the inbox surely has no job of this identifier.
pub(crate) async fn is_absent_from_inbox<P: OwnerPorts>(
    session: &SharedSession<P>,
    id: &JobId,
) -> bool {
    let range_end = format!("{id}\u{1}");
    let range = Some((id.as_str(), range_end.as_str()));
    let partition = row::job_partition(id);
    let ports = &session.context.ports;
    let page = ports.read(row::INBOX_TABLE, partition, range, limits::STORE_TIMEOUT).await;
    page.is_ok_and(|page| page.rows.iter().all(|row| row.key != id.as_str()))
}

/// Reads the inbox again when its change feed does not reach back far enough. The owner's own
/// job table needs no read, as the owner knows what it stored there.
async fn reread_inbox<P: OwnerPorts>(session: &SharedSession<P>) -> u64 {
    loop {
        if let Ok(page) = read_partitions(session, row::INBOX_TABLE).await {
            let no_records = BTreeMap::new();
            for row in &page.rows {
                apply_job(session, row, &no_records);
            }
            session.decide_notify.notify_one();
            return page.version;
        }
        tokio::time::sleep(limits::STORE_RETRY_DELAY).await;
    }
}

/// Follows the registrations of workers.
pub(crate) async fn follow_workers<P: OwnerPorts>(session: SharedSession<P>, mut version: u64) {
    // A change that a read returns was made after the answer to the read before it.
    let mut answered_read: Option<ClockMillis> = None;
    loop {
        let sent_at = session.context.clock.now();
        let answer =
            session.context.ports.follow(row::WORKER_TABLE, version, limits::MAX_FEED_WAIT).await;
        match answer {
            Ok(FeedAnswer::Changes(page)) => {
                version = page.version;
                let now = session.context.clock.now();
                let max_age_ms = answered_read
                    .replace(sent_at)
                    .map_or(limits::MAX_REGISTRATION_AGE_MS, |earlier| now.since(earlier));
                for row in &page.rows {
                    workers::apply_registration(&session, row, max_age_ms);
                }
                if !page.rows.is_empty() {
                    session.decide_notify.notify_one();
                    tokio::time::sleep(limits::WORKER_FEED_DELAY).await;
                }
            }
            Ok(FeedAnswer::Truncated) => {
                if let Ok(page) = read_worker_rows(&session).await {
                    apply_workers(&session, &page);
                    version = page.version;
                    session.decide_notify.notify_one();
                } else {
                    tokio::time::sleep(limits::STORE_RETRY_DELAY).await;
                }
            }
            Err(error) => {
                log::warn!("workers not followed error=\"{}\"", failure::format_one_line(&error));
                tokio::time::sleep(limits::STORE_RETRY_DELAY).await;
            }
        }
    }
}
