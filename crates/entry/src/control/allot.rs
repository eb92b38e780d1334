//! Reads and writes the rows of team allotments and passes the allotments to the cell.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use coord::allotment::{AllotmentNeed, RowResult};
use coord::row::{self, AllotmentRow};
use model::name::{DomainName, TeamName};
use model::object::ObjectSet;
use model::resource::ResourceAmounts;
use policy::event::CellEvent;
use wire::platform::{RowCheck, RowPut, TableRead, TableTxn};

use crate::control::{Control, ControlState, cells, config, domain};

/// Interval between reads of all rows.
const ROW_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between reads of all rows while work waits for an allotment.
const WAITING_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Prefix of the keys of all rows.
const ROW_PREFIX: &str = "allot/";
/// Timeout of calls about allotment rows.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the fleet-wide limit of a team; zero without a limit object.
fn team_limit(objects: &ObjectSet, team: &TeamName) -> ResourceAmounts {
    let limit = objects.limits.iter().find(|limit| limit.team == *team);
    limit.map_or(ResourceAmounts::ZERO, |limit| limit.amounts)
}

/// Returns the capacity of every domain in service.
fn domain_capacities(objects: &ObjectSet) -> BTreeMap<DomainName, ResourceAmounts> {
    let mut capacities: BTreeMap<DomainName, ResourceAmounts> = objects
        .domains_in_service()
        .map(|domain| (domain.name.clone(), ResourceAmounts::ZERO))
        .collect();
    for worker in &objects.workers {
        if let Some(sum) = capacities.get_mut(&worker.domain) {
            *sum = sum.plus(worker.capacity);
        }
    }
    capacities
}

/// Records that work of a team waits only for an allotment; the rows are then read more often.
pub fn request_allotment(control: &Control, team: TeamName, amounts: ResourceAmounts) {
    if let Some(domain) = control.state_mut().domain.as_mut() {
        domain.requested_allotments.insert(team, amounts);
    }
}

/// Reads the rows of all teams periodically until the process stops.
pub async fn poll_rows_loop(control: Control) {
    loop {
        tokio::time::sleep(poll_interval(&control)).await;
        if control.leased_authority().is_none() {
            continue;
        }
        if let Err(reason) = read_rows(&control).await {
            log::debug!("allotments cannot be read: {reason}");
        }
        if let Some(domain) = control.state_mut().domain.as_mut() {
            // The cell requests the allotment again if it is still needed.
            domain.requested_allotments.clear();
        }
    }
}

fn poll_interval(control: &Control) -> Duration {
    let state = control.state();
    let has_requests =
        state.domain.as_ref().is_some_and(|domain| !domain.requested_allotments.is_empty());
    if has_requests { WAITING_POLL_INTERVAL } else { ROW_POLL_INTERVAL }
}

/// Reads the rows of all teams by one prefix, so that the reads of the platform do
/// not grow with the number of teams.
async fn read_rows(control: &Control) -> Result<(), String> {
    let authority = control.leased_authority();
    let read = TableRead { keys: Vec::new(), prefixes: vec![ROW_PREFIX.to_owned()] };
    let reply =
        control.platform.read(&read, CALL_TIMEOUT).await.map_err(|report| format!("{report:#}"))?;
    if control.leased_authority() != authority {
        return Ok(());
    }
    let mut rows: BTreeMap<String, (u64, AllotmentRow)> = BTreeMap::new();
    for table_row in reply.rows {
        let value = serde_json::from_value(table_row.value).map_err(|error| error.to_string())?;
        rows.insert(table_row.key, (table_row.version, value));
    }
    let objects = control.state().config.objects().clone();
    for team in &objects.teams {
        let row = rows.remove(&row::allotment_key(&team.name));
        let (version, row) = row.map_or((0, None), |(version, row)| (version, Some(row)));
        apply_row(control, &team.name, version, row);
    }
    Ok(())
}

/// Applies a row as read and updates the team's allotment.
pub fn apply_row(control: &Control, team: &TeamName, version: u64, row: Option<AllotmentRow>) {
    if let Some(domain) = control.state_mut().domain.as_mut() {
        domain.allotments.apply_read(team, version, row);
    }
    update_allotment(control, team);
}

/// Updates the allotments of all teams after a change of the configuration, and
/// reads the rows that are not known yet.
pub fn update_all_allotments(control: &Control) {
    let objects = control.state().config.objects().clone();
    for team in &objects.teams {
        update_allotment(control, &team.name);
    }
    let unread = {
        let state = control.state();
        let Some(domain) = state.domain.as_ref() else { return };
        objects.teams.iter().any(|team| domain.allotments.needs_read(&team.name))
    };
    if unread {
        let caller = Rc::clone(control);
        control.spawn(async move {
            if let Err(reason) = read_rows(&caller).await {
                log::debug!("allotments cannot be read: {reason}");
            }
        });
    }
}

/// Passes a team's allotment to the cell and writes the team's row if it must change.
fn update_allotment(control: &Control, team: &TeamName) {
    let (usable, write) = {
        let mut state = control.state_mut();
        let state = &mut *state;
        let objects = state.config.objects();
        let capacities = domain_capacities(objects);
        let limit = team_limit(objects, team);
        let Some(domain) = state.domain.as_mut() else { return };
        let need = AllotmentNeed {
            limit,
            capacities: &capacities,
            used: domain.cell.team_usage(team),
            wanted: domain.requested_allotments.get(team).copied().unwrap_or_default(),
        };
        let write = domain.allotments.plan_write(team, &need);
        let usable = domain.allotments.usable_amounts(team);
        (domain.allotments.has_certain_amounts(team).then_some(usable), write)
    };
    // Until the row is known, running work must not be stopped for lack of an allotment.
    if let Some(amounts) = usable {
        cells::apply_event(control, CellEvent::Allotment { team: team.clone(), amounts });
    }
    if let Some(write) = write {
        let caller = Rc::clone(control);
        let team = team.clone();
        control.spawn(async move { write_row(&caller, &team, write.version, write.row).await });
    }
}

async fn write_row(control: &Control, team: &TeamName, version: u64, row: AllotmentRow) {
    let Some(authority) = control.leased_authority() else { return };
    let key = row::allotment_key(team);
    let txn = TableTxn {
        checks: vec![RowCheck { key: key.clone(), version }],
        puts: vec![RowPut { key, value: serde_json::to_value(&row).unwrap_or_default() }],
        deletes: Vec::new(),
    };
    let outcome = match control.platform.transact(&txn, CALL_TIMEOUT).await {
        Ok(reply) if reply.committed => RowResult::Committed { version: reply.version },
        Ok(reply) => {
            let (version, row) = reply.into_conflict();
            RowResult::Conflict { version, row }
        }
        Err(report) => {
            log::debug!("allotment of {team} cannot be written: {report:#}");
            RowResult::Unknown
        }
    };
    if control.leased_authority() != Some(authority) {
        return;
    }
    if let Some(domain) = control.state_mut().domain.as_mut() {
        domain.allotments.apply_write_result(team, outcome);
    }
    update_allotment(control, team);
    config::confirm_version(control).await;
}

/// Returns whether the limits of the version in force are enforced in this domain.
#[must_use]
pub fn are_limits_in_force(state: &ControlState, owned: &domain::DomainState) -> bool {
    let objects = state.config.objects();
    objects.teams.iter().all(|team| owned.allotments.is_in_force(&team.name))
}
