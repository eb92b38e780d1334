//! The configuration in force, indexed for the cell.

use std::sync::Arc;

use model::name::{DomainName, QueueName, TeamName};
use model::object::{ClassKind, DomainState, ObjectSet, UrgencyLevel};
use model::resource::ResourceAmounts;

use crate::hold::TaskClass;
use crate::map::FixedMap;

/// A queue of the configuration, with its class resolved.
#[derive(Clone, Debug)]
pub(crate) struct QueueEntry {
    pub(crate) team: TeamName,
    /// Requests that may wait in the queue.
    pub(crate) max_waiting: usize,
    pub(crate) class: TaskClass,
    /// What one request uses, its slot included.
    pub(crate) request: ResourceAmounts,
}

/// Queues of the configuration in force by name, and the state of the cell's domain.
#[derive(Clone, Debug, Default)]
pub(crate) struct Catalog {
    /// The whole configuration; `None` before the first one.
    pub(crate) set: Option<Arc<ObjectSet>>,
    pub(crate) queues: FixedMap<QueueName, QueueEntry>,
    /// The largest amount of each resource that a request uses.
    pub(crate) largest_request: ResourceAmounts,
    /// Whether the cell's domain is out of service.
    pub(crate) domain_out: bool,
}

/// The slot that every request occupies.
const ONE_SLOT: ResourceAmounts = ResourceAmounts { slots: 1, ..ResourceAmounts::ZERO };

impl Catalog {
    pub(crate) fn new(domain: &DomainName, set: Arc<ObjectSet>) -> Self {
        let queues = queue_entries(&set);
        // A request that was granted by an earlier owner may be of any class.
        let largest_request = queues
            .values()
            .filter(|queue| queue.class.kind == ClassKind::Request)
            .fold(ONE_SLOT, |largest, queue| largest.max(queue.request));
        // A domain that the configuration does not list was removed and takes no work.
        let domain_out = !set
            .domains
            .iter()
            .any(|object| object.name == *domain && object.state == DomainState::In);
        Self { set: Some(set), queues, largest_request, domain_out }
    }

    /// Returns a queue that takes requests.
    pub(crate) fn request_queue(&self, name: &QueueName) -> Option<&QueueEntry> {
        self.queues.get(name).filter(|queue| queue.class.kind == ClassKind::Request)
    }

    /// Returns the class of the jobs of a queue; `None` if it does not take jobs.
    pub(crate) fn job_class(&self, name: &QueueName) -> Option<TaskClass> {
        let class = self.queues.get(name)?.class;
        (class.kind != ClassKind::Request).then_some(class)
    }
}

fn queue_entries(set: &ObjectSet) -> FixedMap<QueueName, QueueEntry> {
    let classes: FixedMap<_, _> = set.classes.iter().map(|class| (&class.name, class)).collect();
    let entry = |queue: &model::object::QueueObject| {
        let class = classes.get(&queue.class)?;
        let task_class =
            TaskClass { kind: class.kind, urgency: class.urgency, preemptible: class.preemptible };
        Some(QueueEntry {
            team: queue.team.clone(),
            max_waiting: queue.bound as usize,
            class: task_class,
            request: class.amounts.plus(ONE_SLOT),
        })
    };
    set.queues.iter().filter_map(|queue| Some((queue.name.clone(), entry(queue)?))).collect()
}

/// Urgency levels in the order in which they are served.
pub(crate) const URGENCIES: [UrgencyLevel; 3] =
    [UrgencyLevel::Urgent, UrgencyLevel::Normal, UrgencyLevel::Batch];

/// Returns the position of an urgency in [`URGENCIES`]; tables by urgency use it as index.
pub(crate) const fn urgency_rank(urgency: UrgencyLevel) -> usize {
    match urgency {
        UrgencyLevel::Urgent => 0,
        UrgencyLevel::Normal => 1,
        UrgencyLevel::Batch => 2,
    }
}
