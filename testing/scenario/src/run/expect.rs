//! Checks of the expectations that a scenario states.

use std::path::Path;
use std::time::Duration;

use model::name::DomainName;
use tokio::time::{self, Instant};

use super::caller;
use super::operator::AppliedChange;
use super::state::{POLL_INTERVAL, RunState};
use super::topology::EntryNode;
use crate::record::RunHistory;
use crate::report::RunSummary;
use crate::script::{ApplyState, RunExpectation};

/// Longest wait for loads and job submissions to end.
const BACKGROUND_TIMEOUT: Duration = Duration::from_mins(1);

/// Waits until every load and job submission has ended.
pub async fn wait_background_tasks(state: &RunState) -> Result<(), String> {
    if state.wait_until(BACKGROUND_TIMEOUT, || state.background_tasks.get() == 0).await {
        Ok(())
    } else {
        Err(format!(
            "{} loads, requests or submissions have not ended",
            state.background_tasks.get()
        ))
    }
}

/// Checks one expectation; the error states what was found instead.
pub async fn check_expectation(
    state: &RunState,
    dir: &Path,
    expectation: &RunExpectation,
) -> Result<(), String> {
    match expectation {
        RunExpectation::Count { outcome, at_least, number, domain } => {
            let found = read_summary(state, dir).await?.count(*outcome, domain.as_ref());
            let holds = if *at_least { found >= *number } else { found <= *number };
            require(holds, || format!("found {found}"))
        }
        RunExpectation::Gap { domain, under } => {
            let summary = read_summary(state, dir).await?;
            let found = summary.domains.get(domain).copied();
            let Some(found) = found else { return Err("the domain got no load".to_owned()) };
            let answered = found.counts.answered > 0;
            require(answered && found.gap < *under, || {
                format!("longest gap was {} ms", found.gap.as_millis())
            })
        }
        RunExpectation::JobsDone { within } => expect_jobs_done(state, *within).await,
        RunExpectation::RaceWon { within } => expect_race_won(state, *within).await,
        RunExpectation::Apply { alias, state: wanted, within } => {
            let found = || find_change(state, alias.as_deref()).and_then(|change| change.state);
            let holds = state.wait_until(*within, || found() == Some(*wanted)).await;
            require(holds, || {
                let answer = find_change(state, alias.as_deref()).map(|change| change.answer);
                format!("found {:?}, answer {answer:?}", found())
            })
        }
        RunExpectation::Status { entry, version, within } => {
            let entry = state.resolve_entry(entry).await?;
            expect_version(state, entry, *version, *within).await
        }
        RunExpectation::Owner { domain, negated, entry, within } => {
            let entry = state.resolve_entry(entry).await?;
            expect_owner(state, domain, entry, *negated, *within).await
        }
        RunExpectation::Stopped { process, within, code } => {
            let name = state.resolve_process(process).await?;
            let exit = || state.children.borrow().exit_status(&name);
            let stopped = state.wait_until(*within, || exit().is_some()).await;
            require(stopped, || "still running".to_owned())?;
            let found = exit().and_then(|status| status.code());
            require(code.is_none() || found == *code, || format!("found exit code {found:?}"))
        }
    }
}

fn require(holds: bool, message: impl FnOnce() -> String) -> Result<(), String> {
    if holds { Ok(()) } else { Err(message()) }
}

async fn read_summary(state: &RunState, dir: &Path) -> Result<RunSummary, String> {
    wait_background_tasks(state).await?;
    let history = RunHistory::read(dir).map_err(|error| error.to_string())?;
    Ok(RunSummary::collect(&history))
}

fn find_change(state: &RunState, alias: Option<&str>) -> Option<AppliedChange> {
    let changes = state.changes.borrow();
    match alias {
        None => changes.last().cloned(),
        wanted => changes.iter().rev().find(|change| change.alias.as_deref() == wanted).cloned(),
    }
}

async fn expect_version(
    state: &RunState,
    entry: &EntryNode,
    version: u64,
    within: Duration,
) -> Result<(), String> {
    let end = Instant::now() + within;
    loop {
        let found = state.fetch_status(entry).await.map(|status| status.config_version);
        if found.as_ref().is_ok_and(|found| *found >= version) {
            return Ok(());
        }
        if Instant::now() >= end {
            return Err(format!("found {found:?}"));
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

async fn expect_owner(
    state: &RunState,
    domain: &DomainName,
    entry: &EntryNode,
    negated: bool,
    within: Duration,
) -> Result<(), String> {
    let end = Instant::now() + within;
    loop {
        let owner = state.find_owner(domain).await.map(|owner| &owner.name);
        if owner.is_some_and(|owner| (*owner == entry.name) != negated) {
            return Ok(());
        }
        if Instant::now() >= end {
            return Err(format!("found owner {owner:?}"));
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

async fn expect_race_won(state: &RunState, within: Duration) -> Result<(), String> {
    let states = || -> Vec<Option<ApplyState>> {
        let changes = state.changes.borrow();
        let racing = state.race.borrow();
        racing.iter().map(|index| changes.get(*index).and_then(|change| change.state)).collect()
    };
    let is_won = || {
        let states = states();
        let count = |wanted| states.iter().filter(|state| **state == Some(wanted)).count();
        count(ApplyState::Accepted) == 1 && count(ApplyState::Conflict) + 1 == states.len()
    };
    let won = state.wait_until(within, is_won).await;
    require(won, || format!("found {:?}", states()))
}

async fn expect_jobs_done(state: &RunState, within: Duration) -> Result<(), String> {
    let end = Instant::now() + within;
    loop {
        let jobs = state.jobs.borrow().clone();
        let mut unfinished = Vec::new();
        for (job, secret) in &jobs {
            if !caller::is_job_done(state, job, secret).await {
                unfinished.push(job.clone());
            }
        }
        if unfinished.is_empty() && !jobs.is_empty() && state.background_tasks.get() == 0 {
            return Ok(());
        }
        if Instant::now() >= end {
            return Err(format!("{} jobs were accepted, not done: {unfinished:?}", jobs.len()));
        }
        time::sleep(POLL_INTERVAL).await;
    }
}
