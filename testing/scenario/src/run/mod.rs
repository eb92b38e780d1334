//! Runs a scenario with real processes on loopback addresses.
//!
//! All traffic between entries, and from entries to workers and the platform,
//! passes through a proxy process, which injects the network faults.

mod caller;
mod config;
mod expect;
mod http;
mod journal;
mod network;
mod operator;
mod process;
mod state;
mod step;
mod topology;

use std::fmt;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use model::setting::{EntrySettings, PeerAddress};
use model::vm::VmLimits;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::check::{self, Violation};
use crate::parse;
use crate::record::RunHistory;
use crate::report::RunSummary;
use crate::script::ScenarioScript;
use journal::RunJournal;
use network::PLATFORM_LINK;
use process::ChildTable;
use state::RunState;
use topology::{CellTopology, EntryNode, WorkerNode};

const ENTRY_BINARY: &str = "amaranthsaddle-entry";
const PLATFORM_BINARY: &str = "standin-platform";
const WORKER_BINARY: &str = "standin-worker";
const PROXY_BINARY: &str = "standin-proxy";
const PLATFORM_PROCESS: &str = "platform";
const PROXY_PROCESS: &str = "proxy";
/// Longest time until all processes of a cell answer after their start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two checks for processes that have exited.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How scenarios are run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Directory with the programs that make up a cell.
    pub binaries: PathBuf,
    /// Whether the files of a run are kept even if it passed.
    pub keep: bool,
}

/// Result of one run.
#[derive(Debug)]
pub struct RunReport {
    /// Steps that failed, and failures outside of any step.
    pub failures: Vec<String>,
    /// Promises that were broken.
    pub violations: Vec<Violation>,
    /// Request outcomes and gaps by domain.
    pub summary: RunSummary,
    /// Directory with the files of the run, if they were kept.
    pub kept: Option<PathBuf>,
}

impl RunReport {
    /// Returns true if nothing failed and no promise was broken.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.failures.is_empty() && self.violations.is_empty()
    }
}

impl fmt::Display for RunReport {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(out, "{}", self.summary)?;
        self.failures.iter().try_for_each(|failure| writeln!(out, "failed: {failure}"))?;
        self.violations.iter().try_for_each(|violation| writeln!(out, "{violation}"))?;
        match &self.kept {
            Some(dir) => writeln!(out, "files kept in {}", dir.display()),
            None => Ok(()),
        }
    }
}

/// Reads and runs a scenario file.
///
/// # Errors
/// Returns an error if the file cannot be read or is not a scenario, or if
/// files of the run cannot be written or read.
pub fn run_file(path: &Path, options: &RunOptions) -> io::Result<RunReport> {
    let text = fs::read_to_string(path)?;
    let script = parse::parse_script(&text)
        .map_err(|error| io::Error::other(format!("{}:\n{error}", path.display())))?;
    let name = path.file_stem().unwrap_or_default().to_string_lossy();
    run_script(&name, &script, options)
}

/// Runs a scenario.
///
/// # Errors
/// Returns an error if files of the run cannot be written or read.
pub fn run_script(
    name: &str,
    script: &ScenarioScript,
    options: &RunOptions,
) -> io::Result<RunReport> {
    let dir = tempfile::Builder::new().prefix(&format!("scenario-{name}-")).tempdir()?;
    let failures = actix_rt::System::new().block_on(run_steps(script, options, dir.path()))?;
    let history = RunHistory::read(dir.path());
    let violations = history.as_ref().map(check::check_history).unwrap_or_default();
    let is_clean = failures.is_empty() && violations.is_empty() && history.is_ok();
    let kept = (options.keep || !is_clean).then(|| dir.keep());
    let history = history.map_err(|error| match &kept {
        Some(dir) => io::Error::other(format!("{error}; files kept in {}", dir.display())),
        None => error,
    })?;
    Ok(RunReport { failures, violations, summary: RunSummary::collect(&history), kept })
}

/// Starts the cell and runs all steps; returns the failures.
async fn run_steps(
    script: &ScenarioScript,
    options: &RunOptions,
    dir: &Path,
) -> io::Result<Vec<String>> {
    let journal = Rc::new(RunJournal::create(dir)?);
    let children = ChildTable::new(&options.binaries, dir, Rc::clone(&journal));
    let state = Rc::new(RunState::new(script.cell.clone(), children, Rc::clone(&journal)));
    let stop = CancellationToken::new();
    let _guard = stop.clone().drop_guard();
    let mut failures = Vec::new();
    if let Err(error) = start_cell(&state, &stop).await {
        failures.push(format!("start: {error}"));
    } else {
        for step in &script.steps {
            if let Err(error) = step::run_step(&state, dir, step).await {
                failures.push(format!("line {}: {}: {error}", step.line, step.text));
            }
        }
        failures.extend(expect::wait_background_tasks(&state).await.err());
    }
    stop.cancel();
    state.children.borrow_mut().record_exits();
    failures.extend(journal.take_problems());
    // Dropping the old table kills the processes that still run.
    state.children.replace(ChildTable::new(&options.binaries, dir, journal));
    Ok(failures)
}

/// Starts all processes of the cell and publishes its first configuration.
///
/// Entries start once the platform, the proxy and the workers listen.
async fn start_cell(state: &Rc<RunState>, stop: &CancellationToken) -> Result<(), String> {
    register_processes(state);
    let watcher = Rc::clone(state);
    spawn_until_cancelled(stop, async move {
        loop {
            tokio::time::sleep(EXIT_CHECK_INTERVAL).await;
            watcher.children.borrow_mut().record_exits();
        }
    });
    let workers = state.topology.workers.iter().map(|worker| worker.name.as_str());
    for name in [PLATFORM_PROCESS, PROXY_PROCESS].into_iter().chain(workers) {
        start_process(state, name)?;
    }
    let workers = state.topology.workers.iter().map(|worker| worker.name.as_str());
    for name in [PLATFORM_PROCESS, PROXY_PROCESS].into_iter().chain(workers) {
        wait_listening(state, name).await?;
    }
    state.post_vms().await?;
    for entry in &state.topology.entries {
        start_process(state, &entry.name)?;
    }
    for entry in &state.topology.entries {
        spawn_until_cancelled(stop, Rc::clone(state).watch_status(entry.clone()));
        spawn_until_cancelled(stop, Rc::clone(state).watch_readiness(entry.clone()));
    }
    let expected = state.topology.entries.len();
    let all_answer = || state.statuses.borrow().len() == expected;
    let all_run = || {
        let children = state.children.borrow();
        state.topology.entries.iter().all(|entry| children.is_running(&entry.name))
    };
    state.wait_until(START_TIMEOUT, || all_answer() || !all_run()).await;
    if !all_answer() {
        let answered: Vec<String> = state.statuses.borrow().keys().cloned().collect();
        return Err(format!("only these entries answer: {answered:?}"));
    }
    operator::publish_first_config(state).await
}

fn spawn_until_cancelled(stop: &CancellationToken, task: impl Future<Output = ()> + 'static) {
    let stop = stop.clone();
    actix_rt::spawn(async move {
        stop.run_until_cancelled(task).await;
    });
}

fn start_process(state: &RunState, name: &str) -> Result<(), String> {
    state.children.borrow_mut().start(name).map_err(|error| error.to_string())
}

/// Waits until a process has logged that it is listening, or has exited.
async fn wait_listening(state: &RunState, name: &str) -> Result<(), String> {
    let listens = || state.children.borrow().is_listening(name);
    let runs = || state.children.borrow().is_running(name);
    state.wait_until(START_TIMEOUT, || listens() || !runs()).await;
    if listens() {
        Ok(())
    } else {
        Err(format!("{name} did not log \"listening on\" in {START_TIMEOUT:?}"))
    }
}

/// Adds all processes of the cell with their settings, without starting them.
fn register_processes(state: &RunState) {
    let topology = &state.topology;
    let mut children = state.children.borrow_mut();
    let platform = json!({
        "address": topology.platform, "writes_per_s": 400, "reads_per_s": 2000, "vm_lag_ms": 2000,
    });
    children.add(PLATFORM_PROCESS, PLATFORM_BINARY, platform);
    let proxy = json!({"admin": topology.proxy_admin, "links": proxy_links(topology)});
    children.add(PROXY_PROCESS, PROXY_BINARY, proxy);
    for worker in &topology.workers {
        children.add(worker.name.as_str(), WORKER_BINARY, worker_settings(worker));
    }
    for entry in &topology.entries {
        children.add(&entry.name, ENTRY_BINARY, json!(entry_settings(state, entry)));
    }
}

fn proxy_links(topology: &CellTopology) -> Vec<serde_json::Value> {
    let link = |name: &str, listen: &str, target: &str| json!({"name": name, "listen": listen, "target": target});
    let platform = link(PLATFORM_LINK, &topology.platform_proxy_address, &topology.platform);
    let entries = topology.entries.iter().map(|it| link(&it.name, &it.proxy_address, &it.peer));
    let workers =
        topology.workers.iter().map(|it| link(it.name.as_str(), &it.proxy_address, &it.address));
    std::iter::once(platform).chain(entries).chain(workers).collect()
}

fn worker_settings(worker: &WorkerNode) -> serde_json::Value {
    json!({
        "name": worker.name, "domain": worker.domain, "address": worker.address,
        "capacity": worker.capacity, "connections": worker.connections,
        "history": "set at each start", "usage_lag_ms": 2000,
    })
}

fn entry_settings(state: &RunState, entry: &EntryNode) -> EntrySettings {
    let topology = &state.topology;
    let options = state.layout.options;
    let peers = topology.entries.iter().map(|peer| PeerAddress {
        domain: peer.domain.clone(),
        address: peer.proxy_address.clone(),
    });
    EntrySettings {
        name: entry.name.clone(),
        domain: entry.domain.clone(),
        http_address: entry.http.clone(),
        peer_address: entry.peer.clone(),
        peer_advertise: Some(entry.proxy_address.clone()),
        operator_digest: None,
        outgoing_ip: entry.ip.parse().ok(),
        peers: peers.collect(),
        platform_address: topology.platform_proxy_address.clone(),
        threads: 2,
        log_level: "debug".to_owned(),
        config_contact_bound_s: options.contact_bound.map_or(300, |bound| bound.as_secs().max(5)),
        drain_s: options.drain.map_or(30, |drain| drain.as_secs().max(1)),
        balancer_delay_ms: options
            .balancer_delay
            .and_then(|delay| u64::try_from(delay.as_millis()).ok())
            .unwrap_or(1000),
        memory_mb: VmLimits::DEFAULT.memory_mb,
        max_fds: VmLimits::DEFAULT.max_fds,
        seed: None,
    }
}
