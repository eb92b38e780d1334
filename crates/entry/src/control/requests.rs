//! Placement of requests: requests a slot from this or another owner and releases it.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use arcstr::ArcStr;
use model::authority::OwnerAuthority;
use model::kind::ErrorKind;
use model::name::{DomainName, RequestId, TeamName, WorkerName};
use model::object::UrgencyLevel;
use model::time::ClockMillis;
use policy::event::{CellEvent, SlotRequest, TicketNumber};
use tokio::sync::oneshot;
use wire::peer::{PeerRefusal, SlotGrant, SlotPlacement};
use wire::worker::SlotReport;

use crate::control::{Control, KnownOwner, cells};

/// Milliseconds of the worker's clock within which a granted request must reach it.
///
/// A grant whose reply is lost occupies its slot for this time and until the next
/// report; within a domain a request needs a few milliseconds.
pub const GRANT_WINDOW_MS: u64 = 700;
/// First delay before the owners are called again; doubled each time.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(25);
/// Longest delay before the owners are called again.
const MAX_OWNER_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Milliseconds without an answer after which a peer counts as unreachable.
///
/// Peers are pinged every 250 ms; the availability target for a cut-off domain
/// is a gap of 2 s.
pub const PEER_UNREACHABLE_AFTER_MS: u64 = 1_000;
/// Time for an owner's answer beyond the longest wait for the slot.
const ANSWER_TIMEOUT_MARGIN: Duration = Duration::from_millis(300);
/// Milliseconds before the caller's deadline from which an abandoned attempt counts as ended by it.
const DEADLINE_MARGIN_MS: u64 = 50;
/// Milliseconds that a worker must have had before a missed deadline counts as its fault.
const MIN_FAULT_TIMEOUT_MS: u64 = 1_000;
/// Timeout of the call that releases a slot at another owner.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// A slot that was granted and not released.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantRecord {
    /// Worker that has the slot.
    pub worker: WorkerName,
    /// Team whose allotment it uses.
    pub team: TeamName,
    /// Instant of the worker's clock at which an unused grant becomes void.
    pub not_after: ClockMillis,
    /// When it was granted.
    pub granted_at: ClockMillis,
    /// Latest useful start of the request.
    pub start_by: ClockMillis,
    /// When the requester released the slot without knowing that the request ended.
    pub abandoned_at: Option<ClockMillis>,
    /// Whether a report of the worker was requested because of this grant.
    pub report_requested: bool,
}

impl GrantRecord {
    /// Returns whether the lost slot counts as a fault of the worker.
    ///
    /// A requester that is cut off is no sign of a faulty worker, and neither is
    /// an attempt that had little time left when it was granted. Counting these
    /// would quarantine every worker of a domain under overload or in a partition.
    fn is_worker_fault(&self) -> bool {
        self.abandoned_at.is_some_and(|at| {
            let at_deadline = at + DEADLINE_MARGIN_MS >= self.start_by;
            !at_deadline || at.since(self.granted_at) >= MIN_FAULT_TIMEOUT_MS
        })
    }
}

/// A request that waits for a slot.
#[derive(Debug)]
pub struct WaitingRequest {
    /// The request, for the log.
    pub request: RequestId,
    /// When the request arrived.
    pub arrived_at: ClockMillis,
    /// Latest instant at which a grant is of use.
    pub start_by: ClockMillis,
    /// Urgency of the class of its queue.
    pub urgency: UrgencyLevel,
    sender: oneshot::Sender<Result<SlotGrant, PeerRefusal>>,
}

impl WaitingRequest {
    /// Sends a grant to the requester; returns whether it still waits.
    #[must_use]
    pub fn grant(self, grant: SlotGrant) -> bool {
        self.sender.send(Ok(grant)).is_ok()
    }

    /// Sends a refusal to the requester.
    pub fn refuse(self, refusal: PeerRefusal) {
        // A requester that no longer waits needs no refusal.
        let _ = self.sender.send(Err(refusal));
    }

    /// Refuses the request because this entry no longer owns the domain.
    pub fn refuse_no_owner(self) {
        self.refuse(PeerRefusal::new(ErrorKind::NoOwner, "this entry does not own the domain"));
    }
}

/// A grant and the owner at which its slot is released.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedGrant {
    /// The grant.
    pub grant: SlotGrant,
    /// Peer address of the owner; empty if it is this entry.
    pub owner: ArcStr,
}

/// Requests a slot from the owners until one grants it or the wait is over.
///
/// # Errors
/// The last refusal; nothing was run.
pub async fn place_request(
    control: Control,
    mut placement: SlotPlacement,
) -> Result<PlacedGrant, PeerRefusal> {
    let deadline = control.now() + u64::from(placement.wait_ms);
    let mut refusal = PeerRefusal::new(ErrorKind::NoOwner, "no owner of a failure domain is known");
    let mut delay = OWNER_RETRY_DELAY;
    loop {
        // An unreachable owner may be reachable later, but a refusal by the owner
        // of this domain is final, whatever the other owners answer.
        let mut refused_by_own_domain = false;
        for (domain, owner) in candidate_owners(&control) {
            let left_ms = deadline.since(control.now());
            if left_ms == 0 {
                return Err(refusal);
            }
            placement.wait_ms = u32::try_from(left_ms).unwrap_or(u32::MAX);
            match place_at_owner(&control, &domain, owner, &placement).await {
                Ok(grant) => return Ok(grant),
                Err(latest) => {
                    refused_by_own_domain |=
                        is_final_refusal(latest.kind) && domain == control.settings.domain;
                    if refusal.kind == ErrorKind::NoOwner || latest.kind != ErrorKind::NoOwner {
                        refusal = latest;
                    }
                }
            }
            if matches!(refusal.kind, ErrorKind::BadKey | ErrorKind::WrongTeam) {
                return Err(refusal);
            }
        }
        if refused_by_own_domain || deadline.since(control.now()) == 0 {
            return Err(refusal);
        }
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_OWNER_RETRY_DELAY);
    }
}

/// Returns whether a refusal would be the same if the owner were called again.
const fn is_final_refusal(kind: ErrorKind) -> bool {
    !matches!(kind, ErrorKind::NoOwner | ErrorKind::Draining)
}

/// Returns the domains in service with their owners, this entry's domain first.
fn candidate_owners(control: &Control) -> Vec<(DomainName, Option<KnownOwner>)> {
    let state = control.state();
    let own_domain = &control.settings.domain;
    let objects = state.config.objects();
    let mut names: Vec<_> =
        objects.domains_in_service().map(|domain| domain.name.clone()).collect();
    names.sort_by_key(|name| name != own_domain);
    let mut owners: Vec<_> =
        names.into_iter().map(|name| (name.clone(), state.owners.get(&name).cloned())).collect();
    // The ownership state machine also knows of a handover that is not in the row yet.
    if let Some(holder) = state.ownership.known_holder()
        && let Some((name, Some(known))) = owners.first()
        && name == own_domain
        && known.address != holder.address
    {
        let owner = KnownOwner { authority: known.authority, address: holder.address.clone() };
        owners.insert(1, (own_domain.clone(), Some(owner)));
    }
    owners
}

async fn place_at_owner(
    control: &Control,
    domain: &DomainName,
    owner: Option<KnownOwner>,
    placement: &SlotPlacement,
) -> Result<PlacedGrant, PeerRefusal> {
    if *domain == control.settings.domain && control.leased_authority().is_some() {
        let waiting = place_locally(control, placement)?;
        let ownership_ended = || PeerRefusal::new(ErrorKind::NoOwner, "the ownership ended");
        let grant = waiting.await.unwrap_or_else(|_| Err(ownership_ended()))?;
        return Ok(PlacedGrant { grant, owner: ArcStr::new() });
    }
    let Some(owner) = owner else {
        let message = format!("no owner of failure domain `{domain}` is known");
        return Err(PeerRefusal::new(ErrorKind::NoOwner, message));
    };
    if owner.address == control.member.address || is_unreachable(control, &owner.address) {
        return Err(link::peer::refuse_unreachable_owner(&owner.address));
    }
    let timeout = Duration::from_millis(u64::from(placement.wait_ms)) + ANSWER_TIMEOUT_MARGIN;
    let call = control.peers.place(&owner.address, placement, timeout);
    let reply = tokio::select! {
        reply = call => reply,
        () = wait_until_unreachable(control, &owner.address) => {
            return Err(link::peer::refuse_unreachable_owner(&owner.address));
        }
    };
    match reply {
        Ok(Ok(grant)) => Ok(PlacedGrant { grant, owner: owner.address }),
        Ok(Err(refusal)) => Err(refusal),
        Err(report) => {
            log::debug!("owner of {domain} did not place a request: {report:#}");
            Err(link::peer::refuse_unreachable_owner(&owner.address))
        }
    }
}

/// Returns whether a peer has not answered for a while; false for one never called.
fn is_unreachable(control: &Control, address: &str) -> bool {
    let state = control.state();
    let answered_at = state.peer_answered_at.get(address);
    answered_at.is_some_and(|at| control.now().since(*at) > PEER_UNREACHABLE_AFTER_MS)
}

async fn wait_until_unreachable(control: &Control, address: &str) {
    while !is_unreachable(control, address) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Queues a request at this owner.
///
/// The owner checks key, team, queue and configuration age again, because the
/// forwarding entry may have an older configuration.
///
/// # Errors
/// A refusal; nothing was queued.
pub fn place_locally(
    control: &Control,
    placement: &SlotPlacement,
) -> Result<oneshot::Receiver<Result<SlotGrant, PeerRefusal>>, PeerRefusal> {
    let now = control.now();
    let no_owner = || PeerRefusal::new(ErrorKind::NoOwner, "this entry does not own the domain");
    let authority = control.leased_authority().ok_or_else(no_owner)?;
    let snapshot = control.snapshots.borrow().clone();
    if snapshot.version < placement.config_version {
        let message = "the configuration is behind that of the sender";
        return Err(PeerRefusal::new(ErrorKind::NoOwner, message));
    }
    let access = snapshot.authorize_digest(placement.queue.as_str(), &placement.key_digest)?;
    if access.team != placement.team {
        return Err(PeerRefusal::new(ErrorKind::WrongTeam, "the key is of another team"));
    }
    let mut state = control.state_mut();
    if !access.queue.open && !state.config.is_confirmed(now) {
        let message = "the platform has not confirmed the configuration for too long";
        return Err(PeerRefusal::new(ErrorKind::ConfigStale, message));
    }
    let domain = state.domain.as_mut().filter(|domain| domain.authority == authority);
    let domain = domain.ok_or_else(no_owner)?;
    let ticket = domain.next_ticket;
    domain.next_ticket += 1;
    let start_by = now + u64::from(placement.wait_ms);
    let (sender, receiver) = oneshot::channel();
    let request = placement.request.clone();
    let urgency = access.class.urgency;
    let waiting = WaitingRequest { request, arrived_at: now, start_by, urgency, sender };
    domain.waiting_requests.insert(ticket, waiting);
    drop(state);
    let slot_request = SlotRequest {
        ticket,
        queue: placement.queue.clone(),
        start_by,
        avoid: placement.avoid.iter().cloned().collect(),
    };
    cells::apply_event(control, CellEvent::RequestArrived(slot_request));
    Ok(receiver)
}

/// Releases a slot at the owner that granted it.
///
/// `ended` is false when the request may still run at the worker; the owner
/// then keeps the slot until the worker's report shows that it is free.
pub fn release_slot(control: &Control, placed: PlacedGrant, ended: bool) {
    if placed.owner.is_empty() {
        release_slot_locally(control, placed.grant.id, placed.grant.authority, ended);
        return;
    }
    let caller = Rc::clone(control);
    control.spawn(async move {
        let grant = &placed.grant;
        let call =
            caller.peers.release(&placed.owner, grant.id, grant.authority, ended, RELEASE_TIMEOUT);
        if let Err(report) = call.await {
            log::debug!("slot {} was not released at its owner: {report:#}", grant.id);
        }
    });
}

/// Releases a slot that this owner granted.
pub fn release_slot_locally(
    control: &Control,
    ticket: TicketNumber,
    authority: OwnerAuthority,
    ended: bool,
) {
    let now = control.now();
    {
        let mut state = control.state_mut();
        let Some(domain) = state.domain.as_mut() else { return };
        if domain.authority != authority {
            return;
        }
        if !ended {
            if let Some(grant) = domain.grants.get_mut(&ticket) {
                grant.abandoned_at = Some(now);
            }
            return;
        }
    }
    end_ticket(control, ticket, true);
}

/// Ends a granted or waiting ticket and frees its slot in the cell.
pub fn end_ticket(control: &Control, ticket: TicketNumber, healthy: bool) {
    {
        let mut state = control.state_mut();
        let Some(domain) = state.domain.as_mut() else { return };
        domain.grants.remove(&ticket);
        domain.waiting_requests.remove(&ticket);
    }
    cells::apply_event(control, CellEvent::RequestEnded { ticket, healthy });
}

/// Reclaims slots whose requests are certainly not running, by a worker's report.
///
/// The request of a grant that is void by the worker's clock either runs, and is
/// counted in the report, or never will. Each team is compared separately, so that
/// no team's use is counted lower than it is.
pub fn reclaim_slots(
    control: &Control,
    worker: &WorkerName,
    clock: ClockMillis,
    slots_by_team: &[SlotReport],
) {
    let mut void_tickets: BTreeMap<TeamName, Vec<TicketNumber>> = BTreeMap::new();
    {
        let state = control.state();
        let Some(domain) = state.domain.as_ref() else { return };
        for (ticket, grant) in &domain.grants {
            if grant.worker == *worker && grant.not_after <= clock {
                void_tickets.entry(grant.team.clone()).or_default().push(*ticket);
            }
        }
    }
    for (team, mut tickets) in void_tickets {
        let running = slots_by_team.iter().find(|slots| slots.team == team);
        let running = running.map_or(0, |slots| slots.slots as usize);
        tickets.sort_unstable();
        tickets.truncate(tickets.len().saturating_sub(running));
        for ticket in tickets {
            log::debug!("slot {ticket} on {worker} reclaimed by the worker's report");
            end_ticket(control, ticket, !has_worker_fault(control, ticket));
        }
    }
}

fn has_worker_fault(control: &Control, ticket: TicketNumber) -> bool {
    let state = control.state();
    let grant = state.domain.as_ref().and_then(|domain| domain.grants.get(&ticket));
    grant.is_some_and(GrantRecord::is_worker_fault)
}

/// Drops all grants on a worker that no longer runs any of their requests.
pub fn drop_grants(control: &Control, worker: &WorkerName) {
    let tickets: Vec<_> = {
        let state = control.state();
        let Some(domain) = state.domain.as_ref() else { return };
        let of_worker = domain.grants.iter().filter(|(_, grant)| grant.worker == *worker);
        of_worker.map(|(ticket, _)| *ticket).collect()
    };
    for ticket in tickets {
        end_ticket(control, ticket, false);
    }
}
