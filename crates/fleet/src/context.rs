//! State of one entry, shared by its tasks on the control thread.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use arcstr::ArcStr;
use link::clock::ProcessClock;
use model::name::{DomainName, QueueName};
use model::time::ClockMillis;
use plan::job::JobSpec;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::config::ConfigView;
use crate::explain::ExplainCall;
use crate::lease::OwnershipTracker;
use crate::limits::{self, FleetBounds};
use crate::metrics::FleetMetrics;
use crate::news::{JobChangeLog, JobChanges, JobChangesQuery};
use crate::ports::{OwnershipHandover, RowStore};
use crate::row::{self, MemberRow};
use crate::status::JobStatusCache;
use crate::strength::{self, VmStrength};
use crate::submit::SubmitAnswer;

/// Identity of this entry: its VM, its process and its address.
#[derive(Clone, Debug)]
pub struct EntryIdentity {
    /// Name of the VM.
    pub name: ArcStr,
    /// Identifier of this process; it changes with each restart.
    pub instance: ArcStr,
    /// Failure domain.
    pub domain: DomainName,
    /// Address of the interface for other entries.
    pub peer_address: ArcStr,
    /// Capacity of the VM for owning the fleet.
    pub strength: VmStrength,
}

/// A job that the owner has to store.
#[derive(Debug)]
pub struct SubmitCall {
    /// The job.
    pub spec: JobSpec,
    /// Instant after which the job must not be stored.
    pub deadline: ClockMillis,
    /// Receives the result.
    pub reply: oneshot::Sender<SubmitAnswer>,
}

/// Services of the owner for itself and the other entries.
#[derive(Clone, Debug)]
pub struct OwnedFleet {
    /// Accepts questions about jobs that are not submitted.
    pub questions: mpsc::Sender<ExplainCall>,
    /// Accepts jobs to be stored.
    pub submits: mpsc::UnboundedSender<SubmitCall>,
    /// Log of job changes.
    pub job_changes: Rc<RefCell<JobChangeLog>>,
    /// Notified when there are new job changes.
    pub changes_notify: Rc<Notify>,
}

/// State of one entry. No borrow of its cells is held across an await.
#[derive(Debug)]
pub struct EntryContext<P> {
    /// Identity of this entry.
    pub identity: EntryIdentity,
    /// Limits of the deployment.
    pub bounds: FleetBounds,
    /// Calls to the platform, to workers and to other entries.
    pub ports: P,
    /// Clock of all leases.
    pub clock: ProcessClock,
    /// Metrics of this entry.
    pub metrics: Arc<FleetMetrics>,
    /// Configuration in force.
    pub config_view: RefCell<ConfigView>,
    /// When the read was sent with which the table service last confirmed the configuration.
    confirmed_at: Cell<Option<ClockMillis>>,
    /// When the table service last answered a read of the configuration.
    answered_at: Cell<Option<ClockMillis>>,
    /// Ownership as last read.
    pub owner: RefCell<OwnershipTracker>,
    /// Version of this entry's row among the registered entries; none if it is not known.
    pub member_version: Cell<Option<u64>>,
    /// Registered entries by name, this one included.
    pub members: RefCell<BTreeMap<ArcStr, MemberRow>>,
    /// Cached states of jobs.
    pub statuses: RefCell<JobStatusCache>,
    /// Number of jobs of each queue of which no task has started, as the owner last reported.
    pub waiting_by_queue: RefCell<BTreeMap<QueueName, u32>>,
    /// When the owner last answered a query for job changes.
    pub job_changes_at: Cell<Option<ClockMillis>>,
    /// Services of this entry as the owner; none while it does not own the fleet.
    pub owned: RefCell<Option<OwnedFleet>>,
    /// Notified when the configuration, the ownership or the entries have changed.
    pub changed_notify: Notify,
    /// Cancelled when the process stops.
    pub stop: CancellationToken,
}

/// Shared handle of an entry's state.
pub type SharedContext<P> = Rc<EntryContext<P>>;

impl<P> EntryContext<P> {
    /// Creates the state of an entry that knows nothing yet.
    #[must_use]
    pub fn new(
        identity: EntryIdentity,
        bounds: FleetBounds,
        ports: P,
        metrics: Arc<FleetMetrics>,
        stop: CancellationToken,
    ) -> SharedContext<P> {
        Rc::new(Self {
            identity,
            bounds,
            ports,
            clock: ProcessClock,
            metrics,
            config_view: RefCell::default(),
            confirmed_at: Cell::new(None),
            answered_at: Cell::new(None),
            owner: RefCell::default(),
            member_version: Cell::new(None),
            members: RefCell::default(),
            statuses: RefCell::default(),
            waiting_by_queue: RefCell::default(),
            job_changes_at: Cell::new(None),
            owned: RefCell::default(),
            changed_notify: Notify::new(),
            stop,
        })
    }

    /// Records that the table service confirmed the configuration in answer to a read that was
    /// sent at `sent_at`.
    pub fn record_confirmation(&self, sent_at: ClockMillis) {
        self.confirmed_at.set(Some(sent_at));
        self.answered_at.set(Some(self.clock.now()));
    }

    /// Returns true while the table service answers this entry. Otherwise the entry sends callers
    /// to another one at once, instead of retrying until their timeout.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        let now = self.clock.now();
        self.answered_at.get().is_some_and(|at| now.since(at) < limits::STORE_CONTACT_TIMEOUT_MS)
    }

    /// Returns the age of the configuration's confirmation in milliseconds; none before the first.
    #[must_use]
    pub fn confirmation_age(&self) -> Option<u64> {
        self.confirmed_at.get().map(|at| self.clock.now().since(at))
    }

    /// Returns true if the configuration was confirmed lately enough that every key which must
    /// not work any more is known to be withdrawn.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        let bound = self.bounds.revoke_ms.saturating_sub(limits::CONFIRMATION_MARGIN_MS);
        self.confirmation_age().is_some_and(|age| age < bound)
    }

    /// Returns the peer address of the owner; none if this entry owns the fleet or the owner is
    /// unknown.
    #[must_use]
    pub fn owner_address(&self) -> Option<ArcStr> {
        let owner = self.owner.borrow();
        let (_, row) = owner.row()?;
        if row.holder == self.identity.name {
            return None;
        }
        self.members.borrow().get(&row.holder).map(|member| member.address.clone())
    }

    /// Returns how long this entry waits before it claims a fleet without an owner, in
    /// milliseconds.
    #[must_use]
    pub fn claim_delay_ms(&self) -> u64 {
        let members = self.members.borrow();
        let others = members.values().map(|member| member.strength);
        let delay_ms = strength::claim_delay_ms(self.identity.strength, others);
        if self.owner.borrow().row().is_none() {
            return delay_ms.max(strength::FIRST_CLAIM_DELAY_MS);
        }
        delay_ms
    }

    /// Returns true if the cached states of jobs are up to date, so that no read is needed.
    #[must_use]
    pub fn has_fresh_job_changes(&self) -> bool {
        let now = self.clock.now();
        (self.owned.borrow().is_some() && self.is_connected())
            || self
                .job_changes_at
                .get()
                .is_some_and(|at| now.since(at) < limits::MAX_JOB_CHANGES_AGE_MS)
    }

    /// Returns true if this entry may claim the fleet and the table service answers it now.
    pub async fn can_own(&self) -> bool
    where
        P: RowStore,
    {
        if self.owner.borrow().is_claim_blocked(self.clock.now()) {
            return false;
        }
        let read = self
            .ports
            .read(row::STATE_TABLE, row::OWNER_PARTITION, None, limits::PROBE_TIMEOUT)
            .await;
        self.config_view.borrow().config.is_some() && read.is_ok()
    }

    /// Accepts a handover of the fleet to this entry.
    pub fn accept_handover(&self, handover: OwnershipHandover) {
        log::info!("handover received term={} version={}", handover.term, handover.version);
        self.owner.borrow_mut().record_handover(handover);
        self.changed_notify.notify_waiters();
    }

    /// Waits for job changes as the owner of the fleet and returns them.
    ///
    /// Returns none if this entry does not own the fleet or cannot reach the table service:
    /// an entry that gets an answer relies on the owner being able to store jobs.
    pub async fn wait_job_changes(&self, query: JobChangesQuery) -> Option<JobChanges> {
        let owned = self.owned.borrow().clone()?;
        if !self.is_connected() {
            return None;
        }
        if !owned.job_changes.borrow().has_changes_after(query) {
            let notified = owned.changes_notify.notified();
            if tokio::time::timeout(limits::MAX_JOB_CHANGES_WAIT, notified).await.is_err() {
                log::debug!("no job changes term={} after={}", query.term, query.after);
            }
        }
        let waiting = self.waiting_by_queue.borrow().clone();
        let answer = owned.job_changes.borrow().answer(query, waiting);
        Some(answer)
    }
}
