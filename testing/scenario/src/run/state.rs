//! State shared by the steps and background tasks of one run.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use model::authority::OwnerAuthority;
use model::name::DomainName;
use serde_json::json;
use tokio::time::{self, Instant};
use wire::api::{READY_PATH, STATUS_PATH, StatusReply};
use wire::history::{OperatorEvent, monotonic_us};
use wire::platform::{VmEntry, VmList, VmState};

use super::http::{HttpCall, HttpClient};
use super::journal::RunJournal;
use super::network::ActiveFault;
use super::operator::AppliedChange;
use super::process::ChildTable;
use super::topology::{CellTopology, EntryNode, WorkerNode};
use crate::record::RunnerEvent;
use crate::script::{CellLayout, EntryRef, PlaceKind, PlaceRef, ProcessRef};

/// Time between two checks of a condition that a step waits for.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two polls of the status of an entry.
///
/// Entries read the newest configuration version every 500 ms. Polled only that
/// often, most reverts to an older version would be over before they are seen.
const STATUS_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time that a status call may take.
const STATUS_TIMEOUT: Duration = Duration::from_millis(450);
/// Time between two readiness checks.
///
/// A stopping entry goes on listening for 1 s by default after it stops being
/// ready, which a load balancer that checks once a second could miss.
const READINESS_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time that a readiness check may take.
const READINESS_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait for the owner or standby of a domain that a step refers to.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(6);

/// Shared state of one run.
pub struct RunState {
    /// Domains, teams, queues and options that the scenario declares.
    pub layout: CellLayout,
    /// Names and addresses of all processes.
    pub topology: CellTopology,
    /// The histories that the runner writes.
    pub journal: Rc<RunJournal>,
    /// The child processes.
    pub children: RefCell<ChildTable>,
    /// HTTP client for all calls.
    pub client: HttpClient,
    /// Last status of each entry that answers, by entry name.
    pub statuses: RefCell<BTreeMap<String, StatusReply>>,
    /// Names of the entries that passed their last readiness check.
    pub ready: RefCell<BTreeSet<String>>,
    /// Names of the entries that answered their last readiness check at all.
    pub reachable: RefCell<BTreeSet<String>>,
    /// Process names by the aliases that steps gave them.
    pub aliases: RefCell<BTreeMap<String, String>>,
    /// Network faults that are active.
    pub faults: RefCell<Vec<ActiveFault>>,
    /// Configuration changes applied so far.
    pub changes: RefCell<Vec<AppliedChange>>,
    /// Indices in `changes` of the changes of the last race.
    pub race: RefCell<Vec<usize>>,
    /// Jobs accepted so far, each with the secret of its key.
    pub jobs: RefCell<Vec<(String, String)>>,
    /// VM states that the platform is to report, by VM name.
    pub vms: RefCell<BTreeMap<String, VmState>>,
    /// Number of loads, requests and job submissions that have not ended.
    pub background_tasks: Cell<usize>,
    /// Last number that `next_number` returned.
    last_number: Cell<u64>,
}

impl RunState {
    /// Creates the state of a run without processes.
    pub fn new(layout: CellLayout, children: ChildTable, journal: Rc<RunJournal>) -> Self {
        let topology = CellTopology::assign_addresses(&layout);
        let entries = topology.entries.iter().map(|entry| entry.name.clone());
        let workers = topology.workers.iter().map(|worker| worker.name.to_string());
        let vms = entries.chain(workers).map(|name| (name, VmState::Live)).collect();
        Self {
            layout,
            topology,
            journal,
            children: RefCell::new(children),
            client: HttpClient::new(),
            statuses: RefCell::default(),
            ready: RefCell::default(),
            reachable: RefCell::default(),
            aliases: RefCell::default(),
            faults: RefCell::default(),
            changes: RefCell::default(),
            race: RefCell::default(),
            jobs: RefCell::default(),
            vms: RefCell::new(vms),
            background_tasks: Cell::new(0),
            last_number: Cell::new(0),
        }
    }

    /// Returns a new number, unique in this run.
    pub fn next_number(&self) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.last_number.get()
    }

    /// Waits until a condition holds and returns true, or false after the timeout.
    pub async fn wait_until(&self, timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
        let end = Instant::now() + timeout;
        loop {
            if condition() {
                return true;
            }
            if Instant::now() >= end {
                return false;
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Fetches the status of an entry.
    pub async fn fetch_status(&self, entry: &EntryNode) -> Result<StatusReply, String> {
        self.client.get_json(&entry.http, STATUS_PATH, STATUS_TIMEOUT).await
    }

    /// Polls the status of an entry and records its configuration version, until the run ends.
    ///
    /// The record has the time at which the call was sent. With the time of the
    /// answer, a delayed answer would look like an entry that lags behind.
    pub async fn watch_status(self: Rc<Self>, entry: EntryNode) {
        let mut ticks = time::interval(STATUS_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let sent = monotonic_us();
            let Ok(status) = self.fetch_status(&entry).await else {
                self.statuses.borrow_mut().remove(&entry.name);
                continue;
            };
            self.journal.record_operator_at(
                sent,
                OperatorEvent::Observed {
                    entry: entry.name.clone(),
                    domain: entry.domain.clone(),
                    version: status.config_version,
                },
            );
            self.statuses.borrow_mut().insert(entry.name.clone(), status);
            self.record_confirmations();
        }
    }

    /// Checks the readiness of an entry as a load balancer does, until the run ends.
    pub async fn watch_readiness(self: Rc<Self>, entry: EntryNode) {
        let mut ticks = time::interval(READINESS_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let status = self.fetch_readiness(&entry).await;
            set_membership(&self.reachable, &entry.name, status.is_some());
            set_membership(&self.ready, &entry.name, status == Some(200));
        }
    }

    async fn fetch_readiness(&self, entry: &EntryNode) -> Option<u16> {
        let call = HttpCall {
            method: awc::http::Method::GET,
            address: &entry.http,
            path: READY_PATH,
            headers: Vec::new(),
            body: Vec::new(),
            timeout: READINESS_TIMEOUT,
        };
        self.client.send(call).await.ok().map(|answer| answer.status.as_u16())
    }

    /// Stops sending requests to an entry until its next readiness check.
    pub fn mark_unreachable(&self, entry: &str) {
        set_membership(&self.ready, entry, false);
        set_membership(&self.reachable, entry, false);
    }

    /// Returns the entries of a domain to which a load balancer would send requests.
    ///
    /// These are the ready ones. If none is ready, they are those that answer the
    /// readiness check, and if none of them does, all entries of the domain.
    pub fn balanced_entries(&self, domain: &DomainName) -> Vec<&EntryNode> {
        let all: Vec<_> = self.topology.domain_entries(domain).collect();
        for names in [&self.ready, &self.reachable] {
            let names = names.borrow();
            let found: Vec<_> =
                all.iter().copied().filter(|entry| names.contains(&entry.name)).collect();
            if !found.is_empty() {
                return found;
            }
        }
        all
    }

    /// Returns any ready entry, or the first entry if none is ready.
    pub fn any_entry(&self) -> Result<&EntryNode, String> {
        let ready = self.ready.borrow();
        let entries = &self.topology.entries;
        let found = entries.iter().find(|entry| ready.contains(&entry.name));
        found.or(entries.first()).ok_or_else(|| "the scenario has no entry".to_owned())
    }

    /// Returns the entry that reports to own a domain, and those that report not to.
    ///
    /// If several report to own it, the one with the highest authority is the owner.
    async fn query_owner(&self, domain: &DomainName) -> (Option<&EntryNode>, Vec<&EntryNode>) {
        let mut owner: Option<(OwnerAuthority, &EntryNode)> = None;
        let mut others = Vec::new();
        for entry in self.topology.domain_entries(domain) {
            let Ok(status) = self.fetch_status(entry).await else { continue };
            let authority = status.authority.parse().unwrap_or_default();
            if !status.is_owner {
                others.push(entry);
            } else if owner.is_none_or(|(highest, _)| authority > highest) {
                owner = Some((authority, entry));
            }
        }
        (owner.map(|(_, entry)| entry), others)
    }

    /// Returns the current owner of a domain, if it answers.
    pub async fn find_owner(&self, domain: &DomainName) -> Option<&EntryNode> {
        self.query_owner(domain).await.0
    }

    /// Returns the entry that a step refers to.
    pub async fn resolve_entry(&self, entry: &EntryRef) -> Result<&EntryNode, String> {
        match entry {
            EntryRef::Alias(alias) => {
                let name = self.resolve_alias(alias)?;
                self.topology
                    .find_entry(&name)
                    .ok_or_else(|| format!("alias {alias} does not refer to an entry"))
            }
            EntryRef::Place(place) => self.resolve_place(place).await,
        }
    }

    fn resolve_alias(&self, alias: &str) -> Result<String, String> {
        let found = self.aliases.borrow().get(alias).cloned();
        found.ok_or_else(|| format!("alias {alias} is not set: the step that defines it failed"))
    }

    async fn resolve_place(&self, place: &PlaceRef) -> Result<&EntryNode, String> {
        if let PlaceKind::Number(number) = place.kind {
            let mut entries = self.topology.domain_entries(&place.domain);
            let found = entries.find(|entry| entry.number == number);
            return found.ok_or_else(|| format!("no entry {}.{number}", place.domain));
        }
        let end = Instant::now() + RESOLVE_TIMEOUT;
        loop {
            let (owner, others) = self.query_owner(&place.domain).await;
            let found = match place.kind {
                PlaceKind::Owner => owner,
                _ => owner.and(others.first().copied()),
            };
            if let Some(entry) = found {
                return Ok(entry);
            }
            if Instant::now() >= end {
                return Err(format!(
                    "domain {} has no owner or no standby after {RESOLVE_TIMEOUT:?}",
                    place.domain
                ));
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the worker that a step refers to.
    pub fn resolve_worker(&self, place: &PlaceRef) -> Result<&WorkerNode, String> {
        let is_meant = |worker: &&WorkerNode| {
            worker.domain == place.domain && place.kind == PlaceKind::Number(worker.number)
        };
        let found = self.topology.workers.iter().find(is_meant);
        found.ok_or_else(|| format!("no such worker in {}", place.domain))
    }

    /// Returns the name of the process that a step refers to.
    pub async fn resolve_process(&self, process: &ProcessRef) -> Result<String, String> {
        match process {
            ProcessRef::Worker(place) => self.resolve_worker(place).map(|it| it.name.to_string()),
            ProcessRef::Entry(EntryRef::Alias(alias)) => self.resolve_alias(alias),
            ProcessRef::Entry(entry) => self.resolve_entry(entry).await.map(|it| it.name.clone()),
        }
    }

    /// Sends the list of VMs to the platform stand-in.
    pub async fn post_vms(&self) -> Result<(), String> {
        let entry =
            |(name, state): (&String, &VmState)| VmEntry { name: name.clone(), state: *state };
        let list = VmList { vms: self.vms.borrow().iter().map(entry).collect() };
        self.client.post_json(&self.topology.platform, "/admin/vms", &list).await
    }

    /// Replaces the fault of the platform; an empty object ends it.
    ///
    /// The recorded interval must cover the whole fault, so the event is recorded
    /// before a fault starts and after it has ended.
    pub async fn set_platform_fault(&self, fault: &serde_json::Value) -> Result<(), String> {
        let event = RunnerEvent::PlatformChanged { fault: fault.to_string() };
        let ends = *fault == json!({});
        if !ends {
            self.journal.record_runner(event.clone());
        }
        let posted = self.client.post_json(&self.topology.platform, "/admin/fault", fault).await;
        if ends {
            self.journal.record_runner(event);
        }
        posted
    }
}

fn set_membership(names: &RefCell<BTreeSet<String>>, name: &str, is_member: bool) {
    let mut names = names.borrow_mut();
    if is_member {
        names.insert(name.to_owned());
    } else {
        names.remove(name);
    }
}
