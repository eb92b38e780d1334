//! Requests that wait for a slot, and those that hold one.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use model::name::QueueName;
use model::object::UrgencyLevel;
use model::resource::ResourceAmounts;
use model::time::ClockMillis;

use crate::catalog::rank;
use crate::event::{SlotRequest, TicketNumber};
use crate::index::WorkerIndex;
use crate::map::FixedMap;
use crate::team::TeamIndex;

/// Grants from which the service rate of a queue is measured.
const MAX_RATE_SAMPLES: usize = 64;
/// With fewer grants, the rate is not known well enough to refuse a request.
const MIN_RATE_SAMPLES: usize = 8;

/// A request that waits.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) request: RequestAsk,
    arrival: u64,
}

/// A request that holds a slot.
#[derive(Clone, Debug)]
pub(crate) struct RequestGrant {
    pub(crate) worker: WorkerIndex,
    pub(crate) team: TeamIndex,
    pub(crate) amounts: ResourceAmounts,
    /// After it, the request has reached the worker or never will.
    pub(crate) settled_at: ClockMillis,
    /// Whether its slot is reserved. A report may show that one of several
    /// requests has ended, but not which; one of them then gives its slot back,
    /// and the end of another takes its place.
    pub(crate) holds_slot: bool,
}

/// The requests of one queue that wait.
#[derive(Clone, Debug)]
pub(crate) struct WaitingQueue {
    pub(crate) team: TeamIndex,
    pub(crate) urgency: UrgencyLevel,
    pub(crate) amounts: ResourceAmounts,
    tickets_by_arrival: BTreeMap<u64, TicketNumber>,
    /// Instants of grants while requests waited; others say nothing about the
    /// rate at which slots come free.
    grant_times: VecDeque<ClockMillis>,
}

impl WaitingQueue {
    pub(crate) fn tickets(&self) -> impl Iterator<Item = (u64, TicketNumber)> {
        self.tickets_by_arrival.iter().map(|(arrival, ticket)| (*arrival, *ticket))
    }

    /// Returns the milliseconds that the last request of the queue will probably wait.
    pub(crate) fn expected_wait(&self, now: ClockMillis) -> Option<u64> {
        if self.grant_times.len() < MIN_RATE_SAMPLES {
            return None;
        }
        let span = now.since(*self.grant_times.front()?);
        Some(self.tickets_by_arrival.len() as u64 * span / self.grant_times.len() as u64)
    }
}

/// All requests of the domain.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestTable {
    pub(crate) waiting: FixedMap<TicketNumber, WaitingRequest>,
    pub(crate) queues: FixedMap<QueueName, WaitingQueue>,
    /// Queues in which requests wait, by urgency.
    active_queues: [BTreeSet<QueueName>; 3],
    deadlines: BTreeSet<(ClockMillis, TicketNumber)>,
    pub(crate) grants: FixedMap<TicketNumber, RequestGrant>,
    arrivals: u64,
}

impl RequestTable {
    /// Adds a request at the end of its queue.
    pub(crate) fn push(
        &mut self,
        request: RequestAsk,
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
            self.active_queues[rank(urgency)].insert(request.queue.clone());
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
                self.active_queues[rank(queue.urgency)].remove(&waiting.request.queue);
            }
        }
        Some(waiting)
    }

    /// Notes a grant for the service rate of its queue.
    pub(crate) fn record_grant(&mut self, queue: &QueueName, now: ClockMillis) {
        let Some(queue) = self.queues.get_mut(queue) else { return };
        if queue.grant_times.len() == MAX_RATE_SAMPLES {
            queue.grant_times.pop_front();
        }
        queue.grant_times.push_back(now);
    }

    pub(crate) fn len(&self, queue: &QueueName) -> usize {
        self.queues.get(queue).map_or(0, |queue| queue.tickets_by_arrival.len())
    }

    pub(crate) fn active(&self, level: usize) -> impl Iterator<Item = &QueueName> {
        self.active_queues[level].iter()
    }

    pub(crate) fn active_len(&self, urgency: UrgencyLevel) -> usize {
        let queues =
            self.active_queues[rank(urgency)].iter().filter_map(|name| self.queues.get(name));
        queues.map(|queue| queue.tickets_by_arrival.len()).sum()
    }

    /// Returns a request whose latest start has passed.
    pub(crate) fn first_expired(&self, now: ClockMillis) -> Option<TicketNumber> {
        let (start_by, ticket) = self.deadlines.first()?;
        (*start_by < now).then_some(*ticket)
    }

    /// Returns all waiting requests in order of arrival.
    pub(crate) fn in_order(&self) -> Vec<TicketNumber> {
        let mut tickets: Vec<_> =
            self.waiting.iter().map(|(ticket, waiting)| (waiting.arrival, *ticket)).collect();
        tickets.sort_unstable();
        tickets.into_iter().map(|(_, ticket)| ticket).collect()
    }
}
