//! Handling of requests that arrive, end or expire.

use model::kind::ErrorKind;

use crate::cell::Cell;
use crate::event::{CellDecision, SlotRequest, TicketNumber};
use crate::index::WorkerIndex;
use crate::placement::PlacementRule;
use crate::quarantine::WorkerProbe;

impl<R: PlacementRule> Cell<R> {
    /// Queues a request, or refuses it at once.
    pub(crate) fn enqueue_request(&mut self, request: SlotRequest) {
        let ticket = request.ticket;
        if self.requests.waiting.contains_key(&ticket) || self.requests.grants.contains_key(&ticket)
        {
            return;
        }
        if let Some(kind) = self.refusal_kind(&request) {
            self.decisions.push(CellDecision::RefuseRequest { ticket, kind });
            return;
        }
        self.push_request(request);
        self.arrived_ticket = Some(ticket);
        self.needs_placement = true;
    }

    /// Returns why a request cannot be queued; `None` if it can.
    fn refusal_kind(&self, request: &SlotRequest) -> Option<ErrorKind> {
        if self.domain_out_since.is_some() {
            return Some(ErrorKind::DomainOut);
        }
        let Some(queue) = self.catalog.request_queue(&request.queue) else {
            return Some(ErrorKind::NotFound);
        };
        if request.start_by < self.now {
            return Some(ErrorKind::DeadlineNotMet);
        }
        (self.requests.queue_len(&request.queue) >= queue.max_waiting)
            .then_some(ErrorKind::QueueFull)
    }

    /// Queues a request with the team and class of its queue.
    pub(crate) fn push_request(&mut self, request: SlotRequest) {
        let Some(queue) = self.catalog.request_queue(&request.queue) else { return };
        let (urgency, amounts) = (queue.class.urgency, queue.request);
        let team = self.teams.intern(&queue.team);
        self.requests.push(request, team, urgency, amounts);
    }

    /// Ends a waiting or granted request.
    pub(crate) fn end_request(&mut self, ticket: TicketNumber, healthy: bool) {
        if self.requests.remove(ticket).is_some() {
            return;
        }
        let Some(grant) = self.requests.grants.get(&ticket) else { return };
        let worker = grant.worker;
        if self.rules.quarantine {
            self.record_request_health(worker, ticket, healthy);
        }
        self.swap_slot_holder(ticket);
        self.release_grant(ticket);
    }

    /// Records what the end of a request shows about the health of its worker.
    fn record_request_health(&mut self, worker: WorkerIndex, ticket: TicketNumber, healthy: bool) {
        self.pool.edit(worker, |entry| entry.history.record_request(healthy));
        let probe = self.pool.get(worker).quarantine.map(|state| state.probe);
        if probe == Some(WorkerProbe::Request(ticket)) {
            self.apply_probe_result(worker, Some(healthy));
        } else if !healthy {
            self.quarantine_if_failing(worker);
        }
    }

    /// Removes a granted request and frees its slot.
    pub(crate) fn release_grant(&mut self, ticket: TicketNumber) {
        self.free_slot(ticket);
        let Some(grant) = self.requests.grants.remove(&ticket) else { return };
        let now = self.now;
        self.pool.edit(grant.worker, |entry| {
            entry.grants.remove(&ticket);
            entry.record_end(None, now);
        });
        let probe = self.pool.get(grant.worker).quarantine.map(|state| state.probe);
        if probe == Some(WorkerProbe::Request(ticket)) {
            // The request that ran as the probe ended without a result.
            self.apply_probe_result(grant.worker, None);
        }
    }

    /// Frees the slot of a granted request but keeps the grant, because the event of the
    /// request's end may still follow.
    pub(crate) fn free_slot(&mut self, ticket: TicketNumber) {
        let Some(grant) = self.requests.grants.get_mut(&ticket).filter(|grant| grant.holds_slot)
        else {
            return;
        };
        grant.holds_slot = false;
        let amounts = grant.amounts;
        self.pool.edit(grant.worker, |entry| entry.reserved = entry.reserved.minus(amounts));
        let team = self.teams.get_mut(grant.team);
        team.used = team.used.minus(amounts);
        self.needs_placement = true;
    }

    /// Passes the slot of an ended request to one of the same team and amounts on the
    /// same worker whose slot was freed early.
    ///
    /// A report shows how many requests have ended, but not which. The slot that it freed
    /// may have been that of a request which still runs, in place of this one.
    fn swap_slot_holder(&mut self, ticket: TicketNumber) {
        let Some(grant) = self.requests.grants.get(&ticket).filter(|grant| grant.holds_slot) else {
            return;
        };
        let entry = self.pool.get(grant.worker);
        if grant.settled_at >= entry.sent_at {
            return;
        }
        let other = entry.grants.keys().copied().find(|other| {
            self.requests.grants.get(other).is_some_and(|other| {
                !other.holds_slot && (other.team, other.amounts) == (grant.team, grant.amounts)
            })
        });
        let Some(other) = other else { return };
        for (ticket, holds_slot) in [(ticket, false), (other, true)] {
            if let Some(grant) = self.requests.grants.get_mut(&ticket) {
                grant.holds_slot = holds_slot;
            }
        }
    }

    /// Refuses a waiting request.
    pub(crate) fn refuse_request(&mut self, ticket: TicketNumber, kind: ErrorKind) {
        if self.requests.remove(ticket).is_some() {
            self.decisions.push(CellDecision::RefuseRequest { ticket, kind });
        }
    }

    pub(crate) fn refuse_expired_requests(&mut self) {
        while let Some(ticket) = self.requests.first_expired(self.now) {
            self.refuse_request(ticket, ErrorKind::DeadlineNotMet);
        }
    }

    /// Refuses the request that arrived in this event if, at the rate at which its queue
    /// is served, its turn comes after its latest start.
    pub(crate) fn refuse_late_arrival(&mut self) {
        let Some(ticket) = self.arrived_ticket.take() else { return };
        if !self.rules.early_refusal {
            return;
        }
        let Some(waiting) = self.requests.waiting.get(&ticket) else { return };
        let Some(queue) = self.requests.queues.get(&waiting.request.queue) else { return };
        let remaining_ms = waiting.request.start_by.since(self.now);
        if queue.expected_wait_ms(self.now).is_some_and(|wait_ms| wait_ms > remaining_ms) {
            self.refuse_request(ticket, ErrorKind::DeadlineNotMet);
        }
    }
}
