//! Moves team allotments between this domain and the platform's rows.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use coord::allotment::{AllotmentNeed, RowResult};
use coord::row::{self, AllotmentRow};
use model::name::{DomainName, TeamName};
use model::object::{DomainState as ServiceState, ObjectSet};
use model::resource::ResourceAmounts;
use policy::event::CellEvent;
use wire::platform::{RowCheck, RowPut, TableRead, TableTxn};

use crate::control::{Control, ControlState, cells, config, domain};

/// Time between two reads of all rows.
const ROW_POLL: Duration = Duration::from_secs(1);
/// Deadline of calls about allotment rows.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the fleet-wide limit of a team; none without a limit object.
fn team_limit(objects: &ObjectSet, team: &TeamName) -> ResourceAmounts {
    let limit = objects.limits.iter().find(|limit| limit.team == *team);
    limit.map_or(ResourceAmounts::ZERO, |limit| limit.amounts)
}

/// Returns the capacity of every domain that takes work.
fn capacities(objects: &ObjectSet) -> BTreeMap<DomainName, ResourceAmounts> {
    let mut capacities: BTreeMap<DomainName, ResourceAmounts> = objects
        .domains
        .iter()
        .filter(|domain| domain.state == ServiceState::In)
        .map(|domain| (domain.name.clone(), ResourceAmounts::ZERO))
        .collect();
    for worker in &objects.workers {
        if let Some(sum) = capacities.get_mut(&worker.domain) {
            *sum = sum.plus(worker.capacity);
        }
    }
    capacities
}

/// Notes that work of a team waits for allotment only.
pub fn want(control: &Control, team: TeamName, amounts: ResourceAmounts) {
    if let Some(domain) = control.state_mut().domain.as_mut() {
        domain.wanted.insert(team.clone(), amounts);
    }
    let caller = Rc::clone(control);
    control.spawn(async move {
        if let Err(reason) = read_rows(&caller, vec![team.clone()]).await {
            log::debug!("allotment of {team} cannot be read: {reason}");
        }
    });
}

/// Reads the rows of all teams again and again until the process stops.
pub async fn row_loop(control: Control) {
    loop {
        tokio::time::sleep(ROW_POLL).await;
        if control.lease().is_none() {
            continue;
        }
        let objects = control.state().config.objects().clone();
        let teams = objects.teams.iter().map(|team| team.name.clone()).collect();
        if let Err(reason) = read_rows(&control, teams).await {
            log::debug!("allotments cannot be read: {reason}");
        }
        if let Some(domain) = control.state_mut().domain.as_mut() {
            // Demand that lasts is noted again by the cell.
            domain.wanted.clear();
        }
    }
}

/// Reads the rows of teams.
///
/// The platform counts every key of a read and a prefix once, so that the rows
/// of several teams are read by their common prefix: 76 keys a second from each
/// of 11 owners would take 836 of the platform's 2,000 reads a second.
async fn read_rows(control: &Control, teams: Vec<TeamName>) -> Result<(), String> {
    let authority = control.lease();
    let read = match teams.as_slice() {
        [] => return Ok(()),
        [team] => TableRead { keys: vec![row::allotment_key(team)], prefixes: Vec::new() },
        _ => TableRead { keys: Vec::new(), prefixes: vec!["allot/".to_owned()] },
    };
    let reply =
        control.platform.read(&read, CALL_TIMEOUT).await.map_err(|report| format!("{report:?}"))?;
    if control.lease() != authority {
        return Ok(());
    }
    let mut rows: BTreeMap<String, (u64, AllotmentRow)> = BTreeMap::new();
    for found in reply.rows {
        let value = serde_json::from_value(found.value).map_err(|error| error.to_string())?;
        rows.insert(found.key, (found.version, value));
    }
    for team in teams {
        let found = rows.remove(&row::allotment_key(&team));
        let (version, row) = found.map_or((0, None), |(version, row)| (version, Some(row)));
        adopt_row(control, &team, version, row);
    }
    Ok(())
}

/// Takes a row as read and does what follows from it.
pub fn adopt_row(control: &Control, team: &TeamName, version: u64, row: Option<AllotmentRow>) {
    if let Some(domain) = control.state_mut().domain.as_mut() {
        domain.allotments.read(team, version, row);
    }
    review(control, team);
}

/// Looks at all teams again, after a change of the configuration, and reads
/// the rows that are not known yet.
pub fn review_all(control: &Control) {
    let objects = control.state().config.objects().clone();
    for team in &objects.teams {
        review(control, &team.name);
    }
    let unread: Vec<_> = {
        let state = control.state();
        let Some(domain) = state.domain.as_ref() else { return };
        let teams = objects.teams.iter().filter(|team| domain.allotments.needs_read(&team.name));
        teams.map(|team| team.name.clone()).collect()
    };
    if !unread.is_empty() {
        let caller = Rc::clone(control);
        control.spawn(async move {
            if let Err(reason) = read_rows(&caller, unread).await {
                log::debug!("allotments cannot be read: {reason}");
            }
        });
    }
}

/// Plans the next step for a team and tells the cell what it may run.
fn review(control: &Control, team: &TeamName) {
    let (usable, write) = {
        let mut state = control.state_mut();
        let state = &mut *state;
        let objects = state.config.objects();
        let capacities = capacities(objects);
        let limit = team_limit(objects, team);
        let Some(domain) = state.domain.as_mut() else { return };
        let need = AllotmentNeed {
            limit,
            capacities: &capacities,
            used: domain.cell.team_use(team),
            wanted: domain.wanted.get(team).copied().unwrap_or_default(),
        };
        let write = domain.allotments.plan(team, &need);
        let usable = domain.allotments.usable(team);
        (domain.allotments.is_settled(team).then_some(usable), write)
    };
    // Before the row is known, running work must not be stopped for want of an allotment.
    if let Some(amounts) = usable {
        cells::feed(control, CellEvent::Allotment { team: team.clone(), amounts });
    }
    if let Some(write) = write {
        let caller = Rc::clone(control);
        let team = team.clone();
        control.spawn(async move { write_row(&caller, &team, write.version, write.row).await });
    }
}

async fn write_row(control: &Control, team: &TeamName, version: u64, row: AllotmentRow) {
    let Some(authority) = control.lease() else { return };
    let key = row::allotment_key(team);
    let txn = TableTxn {
        checks: vec![RowCheck { key: key.clone(), version }],
        puts: vec![RowPut { key, value: serde_json::to_value(&row).unwrap_or_default() }],
        deletes: Vec::new(),
    };
    let outcome = match control.platform.transact(&txn, CALL_TIMEOUT).await {
        Ok(reply) if reply.committed => RowResult::Committed { version: reply.version },
        Ok(reply) => {
            let present = reply.conflicts.into_iter().next();
            let version = present.as_ref().map_or(0, |row| row.version);
            let row = present.and_then(|row| serde_json::from_value(row.value).ok());
            RowResult::Conflict { version, row }
        }
        Err(report) => {
            log::debug!("allotment of {team} cannot be written: {report:?}");
            RowResult::Unknown
        }
    };
    if control.lease() != Some(authority) {
        return;
    }
    if let Some(domain) = control.state_mut().domain.as_mut() {
        domain.allotments.written(team, outcome);
    }
    review(control, team);
    config::confirm(control).await;
}

/// Tells whether the limits of the version in force hold in this domain.
#[must_use]
pub fn limits_in_force(state: &ControlState, owned: &domain::DomainState) -> bool {
    let objects = state.config.objects();
    objects.teams.iter().all(|team| owned.allotments.in_force(&team.name))
}
