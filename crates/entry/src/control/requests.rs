//! Slots for requests: asking for them, here or at another owner, and giving them back.

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
/// A grant whose reply is lost keeps its slot for this time and one report;
/// within a domain a request needs a few milliseconds.
pub const GRANT_WINDOW_MS: u64 = 700;
/// First pause before owners are asked again; doubled each time.
const OWNER_RETRY: Duration = Duration::from_millis(25);
/// Longest pause before owners are asked again.
const OWNER_RETRY_BOUND: Duration = Duration::from_millis(200);
/// Milliseconds without an answer after which a peer counts as unreachable.
///
/// Peers are called every 250 ms; the availability target for a cut-off domain
/// is a gap of 2 s.
pub const PEER_SILENCE_MS: u64 = 1_000;
/// Time to answer beyond the wait that the owner was allowed.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// Milliseconds by which an attempt that ends at the caller's deadline may be given up before it.
const DEADLINE_SLACK_MS: u64 = 50;
/// Milliseconds that a worker must have had for an answer that came too late to count against it.
const TIMEOUT_EVIDENCE_MS: u64 = 1_000;
/// Deadline of the call that gives a slot back.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// A slot that was granted and not given back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantRecord {
    /// Worker that has the slot.
    pub worker: WorkerName,
    /// Team that it counts to.
    pub team: TeamName,
    /// Instant of the worker's clock at which the grant is void if not used.
    pub not_after: ClockMillis,
    /// When it was granted.
    pub granted_at: ClockMillis,
    /// Latest start that the requester named.
    pub start_by: ClockMillis,
    /// When the requester said that it got no usable answer.
    pub abandoned_at: Option<ClockMillis>,
    /// Whether the worker was asked for a report because of this grant.
    pub report_asked: bool,
}

impl GrantRecord {
    /// Tells whether the lost slot counts against the worker.
    ///
    /// An requester that is cut off says nothing about the worker, and neither does
    /// an attempt that had little time left when it was granted. Counting these
    /// would quarantine every worker of a domain under overload or in a partition.
    fn shows_worker_fault(&self) -> bool {
        self.abandoned_at.is_some_and(|at| {
            let at_deadline = at + DEADLINE_SLACK_MS >= self.start_by;
            !at_deadline || at.since(self.granted_at) >= TIMEOUT_EVIDENCE_MS
        })
    }
}

/// A request that waits for a slot.
#[derive(Debug)]
pub struct TicketReply {
    /// The request, for the log.
    pub request: RequestId,
    /// When it arrived.
    pub arrived_at: ClockMillis,
    /// Latest instant at which a grant is of use.
    pub start_by: ClockMillis,
    /// Urgency of its queue's class.
    pub urgency: UrgencyLevel,
    sender: oneshot::Sender<Result<SlotGrant, PeerRefusal>>,
}

impl TicketReply {
    /// Passes a grant on; returns whether somebody still waits for it.
    #[must_use]
    pub fn grant(self, grant: SlotGrant) -> bool {
        self.sender.send(Ok(grant)).is_ok()
    }

    /// Passes a refusal on.
    pub fn refuse(self, refusal: PeerRefusal) {
        // An requester that has gone away needs no refusal.
        let _ = self.sender.send(Err(refusal));
    }

    /// Tells the requester that this entry owns the domain no more.
    pub fn refuse_no_owner(self) {
        self.refuse(PeerRefusal::new(ErrorKind::NoOwner, "this entry does not own the domain"));
    }
}

/// A grant with the owner to whom the slot is given back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedGrant {
    /// The grant.
    pub grant: SlotGrant,
    /// Peer address of the owner; empty if it is this entry.
    pub owner: ArcStr,
}

/// Asks owners for a slot until one grants it or the wait is over.
///
/// # Errors
/// The last refusal; nothing was run.
pub async fn place(
    control: Control,
    mut placement: SlotPlacement,
) -> Result<PlacedGrant, PeerRefusal> {
    let give_up = control.now() + u64::from(placement.wait_ms);
    let mut refusal = PeerRefusal::new(ErrorKind::NoOwner, "no owner of a failure domain is known");
    let mut pause = OWNER_RETRY;
    loop {
        // Only an owner that cannot be reached now may be reached later; a
        // refusal by the own domain's owner holds, whatever the others are.
        let mut own_refused = false;
        for (domain, owner) in candidates(&control) {
            let left = give_up.since(control.now());
            if left == 0 {
                return Err(refusal);
            }
            placement.wait_ms = u32::try_from(left).unwrap_or(u32::MAX);
            match ask_owner(&control, &domain, owner, &placement).await {
                Ok(grant) => return Ok(grant),
                Err(found) => {
                    own_refused |= is_final(found.kind) && domain == control.settings.domain;
                    if refusal.kind == ErrorKind::NoOwner || found.kind != ErrorKind::NoOwner {
                        refusal = found;
                    }
                }
            }
            if matches!(refusal.kind, ErrorKind::BadKey | ErrorKind::WrongTeam) {
                return Err(refusal);
            }
        }
        if own_refused || give_up.since(control.now()) == 0 {
            return Err(refusal);
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(OWNER_RETRY_BOUND);
    }
}

/// Tells whether asking the same owners again cannot help.
const fn is_final(kind: ErrorKind) -> bool {
    !matches!(kind, ErrorKind::NoOwner | ErrorKind::Draining)
}

/// Returns the domains in service with their owners, the own domain first.
fn candidates(control: &Control) -> Vec<(DomainName, Option<KnownOwner>)> {
    let state = control.state();
    let own = &control.settings.domain;
    let objects = state.config.objects();
    let mut names: Vec<_> =
        objects.domains_in_service().map(|domain| domain.name.clone()).collect();
    names.sort_by_key(|name| name != own);
    let mut found: Vec<_> =
        names.into_iter().map(|name| (name.clone(), state.owners.get(&name).cloned())).collect();
    // The ownership machine also knows of a handover that no row shows yet.
    if let Some(holder) = state.ownership.known_holder()
        && let Some((name, Some(known))) = found.first()
        && name == own
        && known.address != holder.address
    {
        let owner = KnownOwner { authority: known.authority, address: holder.address.clone() };
        found.insert(1, (own.clone(), Some(owner)));
    }
    found
}

async fn ask_owner(
    control: &Control,
    domain: &DomainName,
    owner: Option<KnownOwner>,
    placement: &SlotPlacement,
) -> Result<PlacedGrant, PeerRefusal> {
    if *domain == control.settings.domain && control.lease().is_some() {
        let waiting = place_local(control, placement)?;
        let gone = || PeerRefusal::new(ErrorKind::NoOwner, "the ownership ended");
        let grant = waiting.await.unwrap_or_else(|_| Err(gone()))?;
        return Ok(PlacedGrant { grant, owner: ArcStr::new() });
    }
    let Some(owner) = owner else {
        let message = format!("no owner of failure domain `{domain}` is known");
        return Err(PeerRefusal::new(ErrorKind::NoOwner, message));
    };
    if owner.address == control.member.address || is_silent(control, &owner.address) {
        return Err(link::peer::refuse_unreachable_owner(&owner.address));
    }
    let timeout = Duration::from_millis(u64::from(placement.wait_ms)) + ANSWER_MARGIN;
    let call = control.peers.place(&owner.address, placement, timeout);
    let reply = tokio::select! {
        reply = call => reply,
        () = until_silent(control, &owner.address) => {
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

/// Tells whether a peer has not answered for a while; one never called is not silent.
fn is_silent(control: &Control, address: &str) -> bool {
    let state = control.state();
    let answered = state.answered.get(address);
    answered.is_some_and(|at| control.now().since(*at) > PEER_SILENCE_MS)
}

async fn until_silent(control: &Control, address: &str) {
    while !is_silent(control, address) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Queues a request at this owner.
///
/// The owner checks key, team, queue and configuration age again, because an
/// entry that forwards may have an older configuration.
///
/// # Errors
/// A refusal; nothing was queued.
pub fn place_local(
    control: &Control,
    placement: &SlotPlacement,
) -> Result<oneshot::Receiver<Result<SlotGrant, PeerRefusal>>, PeerRefusal> {
    let now = control.now();
    let no_owner = || PeerRefusal::new(ErrorKind::NoOwner, "this entry does not own the domain");
    let lease = control.lease().ok_or_else(no_owner)?;
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
    let domain = state.domain.as_mut().filter(|domain| domain.authority == lease);
    let domain = domain.ok_or_else(no_owner)?;
    let ticket = domain.next_ticket;
    domain.next_ticket += 1;
    let start_by = now + u64::from(placement.wait_ms);
    let (sender, receiver) = oneshot::channel();
    let request = placement.request.clone();
    let urgency = access.class.urgency;
    let reply = TicketReply { request, arrived_at: now, start_by, urgency, sender };
    domain.tickets.insert(ticket, reply);
    drop(state);
    let ask = SlotRequest {
        ticket,
        queue: placement.queue.clone(),
        start_by,
        avoid: placement.avoid.iter().cloned().collect(),
    };
    cells::feed(control, CellEvent::RequestArrived(ask));
    Ok(receiver)
}

/// Gives a slot back to the owner that granted it.
///
/// `ended` is false when the request may still run at the worker; the owner
/// then keeps the slot until the worker's report shows that it is free.
pub fn release(control: &Control, placed: PlacedGrant, ended: bool) {
    if placed.owner.is_empty() {
        release_local(control, placed.grant.id, placed.grant.authority, ended);
        return;
    }
    let caller = Rc::clone(control);
    control.spawn(async move {
        let grant = &placed.grant;
        let call =
            caller.peers.release(&placed.owner, grant.id, grant.authority, ended, RELEASE_TIMEOUT);
        if let Err(report) = call.await {
            log::debug!("slot {} was not given back to its owner: {report:#}", grant.id);
        }
    });
}

/// Takes a slot back that this owner granted.
pub fn release_local(
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

/// Ends a ticket for the cell, whether it was granted or waits.
pub fn end_ticket(control: &Control, ticket: TicketNumber, healthy: bool) {
    {
        let mut state = control.state_mut();
        let Some(domain) = state.domain.as_mut() else { return };
        domain.grants.remove(&ticket);
        domain.tickets.remove(&ticket);
    }
    cells::feed(control, CellEvent::RequestEnded { ticket, healthy });
}

/// Takes slots back whose requests are surely not running, by a worker's report.
///
/// A grant that is void by the worker's clock either runs, and is counted in
/// the report, or never will. Teams are told apart, so that no team's use is
/// counted lower than it is.
pub fn reclaim(
    control: &Control,
    worker: &WorkerName,
    clock: ClockMillis,
    slots_by_team: &[SlotReport],
) {
    let mut void: BTreeMap<TeamName, Vec<TicketNumber>> = BTreeMap::new();
    {
        let state = control.state();
        let Some(domain) = state.domain.as_ref() else { return };
        for (ticket, grant) in &domain.grants {
            if grant.worker == *worker && grant.not_after <= clock {
                void.entry(grant.team.clone()).or_default().push(*ticket);
            }
        }
    }
    for (team, mut tickets) in void {
        let running = slots_by_team.iter().find(|slots| slots.team == team);
        let running = running.map_or(0, |slots| slots.slots as usize);
        tickets.sort_unstable();
        tickets.truncate(tickets.len().saturating_sub(running));
        for ticket in tickets {
            log::debug!("slot {ticket} on {worker} taken back after the worker's report");
            end_ticket(control, ticket, !shows_fault(control, ticket));
        }
    }
}

fn shows_fault(control: &Control, ticket: TicketNumber) -> bool {
    let state = control.state();
    let grant = state.domain.as_ref().and_then(|domain| domain.grants.get(&ticket));
    grant.is_some_and(GrantRecord::shows_worker_fault)
}

/// Drops all grants on a worker on which nothing runs any more.
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
