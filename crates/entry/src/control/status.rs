//! Status of this entry for peers, operators and the balancer.

use policy::status::WorkerState;
use wire::api::{DomainStatus, StatusReply, WorkerStatus};
use wire::peer::PeerInfo;

use crate::control::{Control, requests};

/// Returns the state of this entry for its peers.
#[must_use]
pub fn peer_info(control: &Control) -> PeerInfo {
    let leased_authority = control.leased_authority();
    let now = control.now();
    let state = control.state();
    let holder = state.ownership.known_holder();
    let known = state.owners.get(&control.settings.domain);
    let authority = leased_authority.or(known.map(|owner| owner.authority)).unwrap_or_default();
    let owner_address = match leased_authority {
        Some(_) => control.member.address.to_string(),
        None => known.map(|owner| owner.address.to_string()).unwrap_or_default(),
    };
    PeerInfo {
        entry: control.member.entry.clone(),
        domain: control.settings.domain.clone(),
        config_version: state.config.version(),
        is_owner: leased_authority.is_some() && state.domain.is_some(),
        owner_entry: holder.map(|member| member.entry.clone()).unwrap_or_default(),
        owner_address,
        authority,
        draining: state.draining,
        highest_authority: state.ownership.highest_authority(),
        may_hold: state.ownership.may_hold(now),
    }
}

/// Returns the status of this entry for operators.
#[must_use]
pub fn operator_status(control: &Control) -> StatusReply {
    let info = peer_info(control);
    let now = control.now();
    let state = control.state();
    let objects = state.config.objects();
    let domains = objects.domains.iter().map(|domain| DomainStatus {
        name: domain.name.clone(),
        state: domain.state,
        confirmed: state.confirmed_versions.get(&domain.name).copied().unwrap_or(0),
    });
    let workers =
        state.domain.iter().flat_map(|domain| domain.cell.workers()).map(|worker| WorkerStatus {
            name: worker.worker.to_string(),
            state: state_name(worker.state).to_owned(),
            tasks: u32::try_from(worker.tasks).unwrap_or(u32::MAX),
            slots_used: u32::try_from(worker.slots_used).unwrap_or(u32::MAX),
        });
    let answered_at = state.platform_answered_at;
    StatusReply {
        name: control.settings.name.clone(),
        domain: control.settings.domain.clone(),
        is_owner: info.is_owner,
        authority: info.authority.to_string(),
        config_version: info.config_version,
        platform_reachable: answered_at.is_some_and(|at| now.since(at) < 2_000),
        draining: state.draining,
        domains: domains.collect(),
        workers: workers.collect(),
    }
}

/// All worker states, each of which has a gauge.
pub const WORKER_STATES: [WorkerState; 7] = [
    WorkerState::Reported,
    WorkerState::Unreported,
    WorkerState::Silent,
    WorkerState::Lost,
    WorkerState::Leaving,
    WorkerState::Quarantined,
    WorkerState::Removed,
];

/// Returns the name of a state in the status, the log and the metrics.
#[must_use]
pub const fn state_name(state: WorkerState) -> &'static str {
    match state {
        WorkerState::Reported => "reported",
        WorkerState::Unreported => "unreported",
        WorkerState::Silent => "silent",
        WorkerState::Lost => "lost",
        WorkerState::Leaving => "leaving",
        WorkerState::Quarantined => "quarantined",
        WorkerState::Removed => "removed",
    }
}

/// Returns whether the balancer may send requests to this entry.
///
/// An entry without a configuration would refuse every request. One whose owner
/// is unknown for a short time can still queue requests.
#[must_use]
pub fn is_ready(control: &Control) -> bool {
    let state = control.state();
    if state.draining || state.config.version() == 0 {
        return false;
    }
    let own_domain = &control.settings.domain;
    let objects = state.config.objects();
    let has_owner_in_service =
        objects.domains_in_service().any(|domain| state.owners.contains_key(&domain.name));
    let is_owner = state.ownership.leased_authority(control.now()).is_some();
    let has_live_owner = state.owners.get(own_domain).is_some_and(|owner| {
        let answered_at = state.peer_answered_at.get(&owner.address);
        answered_at.is_some_and(|at| control.now().since(*at) < requests::PEER_UNREACHABLE_AFTER_MS)
    });
    is_owner || has_live_owner || has_owner_in_service
}
