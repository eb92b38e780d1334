//! Control state of the domain that this entry owns.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use coord::allotment::AllotmentLedger;
use coord::row::{self, AllotmentRow, ConfirmRow, OwnerRow};
use model::authority::OwnerAuthority;
use model::job::JobRecord;
use model::name::{DomainName, JobId, TeamName, WorkerName};
use model::resource::ResourceAmounts;
use model::time::ClockMillis;
use policy::cell::Cell;
use policy::event::{CellEvent, TicketNumber};
use wire::peer::{HandoverRequest, HandoverState};
use wire::platform::TableRead;

use crate::control::jobs::table::JobTable;
use crate::control::requests::{GrantRecord, WaitingRequest};
use crate::control::workers::WorkerLink;
use crate::control::{Control, allot, cells, config};

/// Timeout of the read of all rows of a domain.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failed attempt to load a domain.
const LOAD_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Control state of the owned domain; dropped when the ownership ends.
#[derive(Debug)]
pub struct DomainState {
    /// Authority under which the domain was acquired.
    pub authority: OwnerAuthority,
    /// When this state was installed.
    pub acquired_at: ClockMillis,
    /// Decides where tasks and requests run.
    pub cell: Cell,
    /// Control links to the domain's workers.
    pub links: HashMap<WorkerName, WorkerLink>,
    /// Requests that wait for a slot.
    pub waiting_requests: HashMap<TicketNumber, WaitingRequest>,
    /// Slots that were granted and not released.
    pub grants: HashMap<TicketNumber, GrantRecord>,
    /// Number that the next request for a slot gets.
    pub next_ticket: TicketNumber,
    /// Allotment rows: what each team may use in this domain.
    pub allotments: AllotmentLedger,
    /// Amounts that teams with waiting work request beyond their allotment.
    pub requested_allotments: BTreeMap<TeamName, ResourceAmounts>,
    /// Jobs of the domain and the progress still to be written to their rows.
    pub jobs: JobTable,
    /// Configuration version confirmed on the platform, and the version of that row.
    pub confirmation_row: (u64, u64),
}

/// Loads the domain's state from its rows and installs it, unless the ownership ends first.
pub async fn load_state(control: Control, authority: OwnerAuthority) {
    while control.leased_authority() == Some(authority) {
        match try_load_state(&control, authority).await {
            Ok(state) => {
                install_state(&control, state);
                return;
            }
            Err(reason) => {
                log::warn!("domain cannot be loaded yet: {reason}");
                tokio::time::sleep(LOAD_RETRY_DELAY).await;
            }
        }
    }
}

async fn try_load_state(
    control: &Control,
    authority: OwnerAuthority,
) -> Result<HandoverState, String> {
    let domain = &control.settings.domain;
    let sent_at = control.now();
    let read = TableRead {
        keys: vec![row::CONFIG_HEAD_KEY.to_owned(), row::confirm_key(domain)],
        prefixes: vec!["allot/".to_owned(), format!("job/{domain}/")],
    };
    let reply =
        control.platform.read(&read, LOAD_TIMEOUT).await.map_err(|report| format!("{report:#}"))?;
    let mut state = HandoverState {
        authority,
        row_version: 0,
        row: OwnerRow::default(),
        lease_age_ms: 0,
        config_version: 0,
        objects: model::object::ObjectSet::default(),
        contact_age_ms: 0,
        jobs: Vec::new(),
        allotments: AllotmentLedger::new(domain.clone()),
    };
    let mut confirmed = 0;
    for table_row in reply.rows {
        let malformed =
            |error: serde_json::Error| format!("row {} is malformed: {error}", table_row.key);
        if table_row.key == row::CONFIG_HEAD_KEY {
            let head = serde_json::from_value(table_row.value.clone()).map_err(malformed)?;
            config::apply_head(control, &head, sent_at).await?;
        } else if table_row.key.starts_with("confirm/") {
            let row: ConfirmRow =
                serde_json::from_value(table_row.value.clone()).map_err(malformed)?;
            confirmed = row.version;
        } else if let Some(team) = table_row.key.strip_prefix("allot/") {
            let row: AllotmentRow =
                serde_json::from_value(table_row.value.clone()).map_err(malformed)?;
            state.allotments.apply_read(&TeamName::from(team), table_row.version, Some(row));
        } else {
            let record: JobRecord =
                serde_json::from_value(table_row.value.clone()).map_err(malformed)?;
            state.jobs.push(record);
        }
    }
    if control.state().config.version() < confirmed {
        return Err(format!("version {confirmed} was confirmed and is not read yet"));
    }
    Ok(state)
}

/// Starts the control of the domain with a state that was loaded or handed over.
pub fn install_state(control: &Control, state: HandoverState) {
    if control.leased_authority() != Some(state.authority) {
        return;
    }
    let now = control.now();
    let domain = control.settings.domain.clone();
    let objects = control.state().config.objects().clone();
    log::info!(
        "domain loaded domain={domain} authority={} jobs={} config_version={}",
        state.authority,
        state.jobs.len(),
        control.state().config.version()
    );
    let mut jobs = JobTable::default();
    for record in &state.jobs {
        jobs.insert(record, u64::MAX);
    }
    let attempt_base = attempt_base(state.authority);
    let domain_state = DomainState {
        authority: state.authority,
        acquired_at: now,
        cell: Cell::new(domain.clone(), control.seed, attempt_base),
        links: HashMap::new(),
        waiting_requests: HashMap::new(),
        grants: HashMap::new(),
        next_ticket: 1,
        allotments: state.allotments,
        requested_allotments: BTreeMap::new(),
        jobs,
        confirmation_row: (0, 0),
    };
    control.state_mut().domain = Some(domain_state);
    cells::apply_event(control, CellEvent::Config(objects));
    allot::update_all_allotments(control);
    for record in state.jobs {
        cells::apply_event(control, CellEvent::JobSubmitted(record.into()));
    }
    sync_links(control);
    let caller = Rc::clone(control);
    control.spawn(async move { config::confirm_version(&caller).await });
}

/// Returns the number after which an authority's attempt numbers begin.
///
/// An owner's attempt numbers must be above those of all earlier owners, which
/// it may not know. Each authority has 100,000 numbers; with 8 handovers a term
/// they repeat after 5,000 terms.
fn attempt_base(authority: OwnerAuthority) -> u32 {
    let step = authority.term.wrapping_mul(8).wrapping_add(u64::from(authority.handover));
    u32::try_from(step % 40_000).unwrap_or(0).saturating_mul(100_000)
}

/// Drops the control state of the domain and refuses its waiting requests with `no-owner`.
pub fn discard_state(control: &Control) {
    let domain = control.state_mut().domain.take();
    if let Some(domain) = domain {
        for (_, waiting) in domain.waiting_requests {
            waiting.refuse_no_owner();
        }
    }
}

/// Returns the JSON of a handover with all the state that the successor needs.
pub fn export_handover(
    control: &Control,
    authority: OwnerAuthority,
    row_version: u64,
    row: &OwnerRow,
    lease_age_ms: u64,
) -> Option<String> {
    let state = {
        let state = control.state();
        let domain = state.domain.as_ref()?;
        let contact_age_ms = state.config.confirmation_age(control.now()).unwrap_or(u64::MAX / 2);
        HandoverState {
            authority,
            row_version,
            row: row.clone(),
            lease_age_ms,
            config_version: state.config.version(),
            objects: (**state.config.objects()).clone(),
            contact_age_ms,
            jobs: domain.jobs.records(&domain.cell),
            allotments: domain.allotments.copy_for_successor(),
        }
    };
    serde_json::to_string(&HandoverRequest::TakeOver(Box::new(state))).ok()
}

/// Adds links for new workers and marks those of removed ones, as configured.
pub fn sync_links(control: &Control) {
    let mut state = control.state_mut();
    let objects = state.config.objects().clone();
    let now = control.now();
    let Some(domain) = state.domain.as_mut() else { return };
    let own_domain = &control.settings.domain;
    let addresses: HashMap<_, _> = objects
        .workers
        .iter()
        .filter(|worker| worker.domain == *own_domain)
        .map(|worker| (worker.name.clone(), worker.address.clone()))
        .collect();
    for (name, link) in &mut domain.links {
        // A removed worker, or one at a new address, may run tasks until its lease expires.
        link.removed = addresses.get(name) != Some(&link.address);
    }
    for (name, address) in addresses {
        domain.links.entry(name).or_insert_with(|| WorkerLink::new(address, now));
    }
}

/// Returns the domain and the job's identifier from the key of a job's row.
#[must_use]
pub fn split_job_key(key: &str) -> Option<(DomainName, JobId)> {
    let rest = key.strip_prefix("job/")?;
    let (domain, job) = rest.split_once('/')?;
    Some((DomainName::from(domain), JobId::from(job)))
}
