//! Requests that wait for a slot, and granted requests.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use model::name::QueueName;
use model::object::UrgencyLevel;
use model::resource::ResourceAmounts;
use model::time::ClockMillis;

use crate::catalog::urgency_rank;
use crate::event::{SlotRequest, TicketNumber};
use crate::index::WorkerIndex;
use crate::map::FixedMap;
use crate::team::TeamIndex;

/// Most recent grants of a queue from which its service rate is measured.
const MAX_RATE_SAMPLES: usize = 64;
/// Grants without which the rate is not known well enough to refuse a request.
const MIN_RATE_SAMPLES: usize = 8;

/// A request that waits for a slot.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) request: SlotRequest,
    /// Position in the order of arrival.
    arrival: u64,
}

/// A request that was granted a slot on a worker.
#[derive(Clone, Debug)]
pub(crate) struct RequestGrant {
    pub(crate) worker: WorkerIndex,
    pub(crate) team: TeamIndex,
    pub(crate) amounts: ResourceAmounts,
    /// Instant after which the request has reached the worker or never will.
    pub(crate) settled_at: ClockMillis,
    /// Whether its slot is reserved. A report may show that one of several requests
    /// has ended, but not which. Any one of them then loses its slot; if another one
    /// turns out to have ended, the two are swapped.
    pub(crate) holds_slot: bool,
}

/// The waiting requests of one queue.
#[derive(Clone, Debug)]
pub(crate) struct WaitingQueue {
    pub(crate) team: TeamIndex,
    pub(crate) urgency: UrgencyLevel,
    pub(crate) amounts: ResourceAmounts,
    tickets_by_arrival: BTreeMap<u64, TicketNumber>,
    /// Instants of the last grants to requests that had to wait. A request that is
    /// granted on arrival shows nothing about the rate at which slots come free.
    grant_times: VecDeque<ClockMillis>,
}

impl WaitingQueue {
    /// Returns the waiting requests with their positions, in order of arrival.
    pub(crate) fn tickets(&self) -> impl Iterator<Item = (u64, TicketNumber)> {
        self.tickets_by_arrival.iter().map(|(arrival, ticket)| (*arrival, *ticket))
    }

    /// Estimates from the service rate how many milliseconds the last request of the
    /// queue will wait; `None` if the rate is not known well enough.
    pub(crate) fn expected_wait_ms(&self, now: ClockMillis) -> Option<u64> {
        if self.grant_times.len() < MIN_RATE_SAMPLES {
            return None;
        }
        let elapsed_ms = now.since(*self.grant_times.front()?);
        Some(self.tickets_by_arrival.len() as u64 * elapsed_ms / self.grant_times.len() as u64)
    }
}

/// All waiting and granted requests of the domain.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestTable {
    pub(crate) waiting: FixedMap<TicketNumber, WaitingRequest>,
    pub(crate) queues: FixedMap<QueueName, WaitingQueue>,
    /// Queues in which requests wait, by urgency rank.
    active_queues: [BTreeSet<QueueName>; 3],
    /// Latest starts of the waiting requests.
    deadlines: BTreeSet<(ClockMillis, TicketNumber)>,
    pub(crate) grants: FixedMap<TicketNumber, RequestGrant>,
    /// Number of requests that have arrived.
    arrivals: u64,
}

impl RequestTable {
    /// Adds a request at the end of its queue.
    pub(crate) fn push(
        &mut self,
        request: SlotRequest,
        team: TeamIndex,
        urgency: UrgencyLevel,
        amounts: ResourceAmounts,
    ) {
        self.arrivals += 1;
        let arrival = self.arrivals;
        let queue = self.queues.entry(request.queue.clone()).or_insert_with(|| WaitingQueue {
            team,
            urgency,
            amounts,
            tickets_by_arrival: BTreeMap::new(),
            grant_times: VecDeque::new(),
        });
        if queue.tickets_by_arrival.is_empty() {
            (queue.team, queue.urgency, queue.amounts) = (team, urgency, amounts);
            queue.grant_times.clear();
            self.active_queues[urgency_rank(urgency)].insert(request.queue.clone());
        }
        queue.tickets_by_arrival.insert(arrival, request.ticket);
        self.deadlines.insert((request.start_by, request.ticket));
        self.waiting.insert(request.ticket, WaitingRequest { request, arrival });
    }

    /// Removes a waiting request.
    pub(crate) fn remove(&mut self, ticket: TicketNumber) -> Option<WaitingRequest> {
        let waiting = self.waiting.remove(&ticket)?;
        self.deadlines.remove(&(waiting.request.start_by, ticket));
        if let Some(queue) = self.queues.get_mut(&waiting.request.queue) {
            queue.tickets_by_arrival.remove(&waiting.arrival);
            if queue.tickets_by_arrival.is_empty() {
                self.active_queues[urgency_rank(queue.urgency)].remove(&waiting.request.queue);
            }
        }
        Some(waiting)
    }

    /// Records a grant in the service rate of its queue.
    pub(crate) fn record_grant(&mut self, queue: &QueueName, now: ClockMillis) {
        let Some(queue) = self.queues.get_mut(queue) else { return };
        if queue.grant_times.len() == MAX_RATE_SAMPLES {
            queue.grant_times.pop_front();
        }
        queue.grant_times.push_back(now);
    }

    pub(crate) fn queue_len(&self, queue: &QueueName) -> usize {
        self.queues.get(queue).map_or(0, |queue| queue.tickets_by_arrival.len())
    }

    /// Returns the queues of an urgency rank in which requests wait.
    pub(crate) fn active_queues(&self, rank: usize) -> impl Iterator<Item = &QueueName> {
        self.active_queues[rank].iter()
    }

    /// Returns the number of waiting requests of an urgency.
    pub(crate) fn waiting_count(&self, urgency: UrgencyLevel) -> usize {
        let queues = self.active_queues[urgency_rank(urgency)]
            .iter()
            .filter_map(|name| self.queues.get(name));
        queues.map(|queue| queue.tickets_by_arrival.len()).sum()
    }

    /// Returns a waiting request whose latest start has passed.
    pub(crate) fn first_expired(&self, now: ClockMillis) -> Option<TicketNumber> {
        let (start_by, ticket) = self.deadlines.first()?;
        (*start_by < now).then_some(*ticket)
    }

    /// Returns all waiting requests in order of arrival.
    pub(crate) fn waiting_in_order(&self) -> Vec<TicketNumber> {
        let mut tickets: Vec<_> =
            self.waiting.iter().map(|(ticket, waiting)| (waiting.arrival, *ticket)).collect();
        tickets.sort_unstable();
        tickets.into_iter().map(|(_, ticket)| ticket).collect()
    }
}
