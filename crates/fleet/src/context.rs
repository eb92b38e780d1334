//! What the parts of one entry share on the control thread.

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
use crate::lease::OwnerWatch;
use crate::limits::{self, FleetBounds};
use crate::metrics::FleetMetrics;
use crate::news::{JobChangeLog, JobChanges, JobChangesQuery};
use crate::ports::{OwnershipHandover, RowStore};
use crate::row::{self, MemberRow};
use crate::status::JobStatusCache;
use crate::strength::{self, VmStrength};
use crate::submit::StoreResult;

/// Who this entry is.
#[derive(Clone, Debug)]
pub struct EntryIdentity {
    /// Name of the VM.
    pub name: ArcStr,
    /// This process; a restarted one has another.
    pub instance: ArcStr,
    /// Failure domain.
    pub domain: DomainName,
    /// Address of the peer interface.
    pub peer_address: ArcStr,
    /// What the VM can carry.
    pub strength: VmStrength,
}

/// A job that the owner is asked to store.
#[derive(Debug)]
pub struct SubmitCall {
    /// The job.
    pub spec: JobSpec,
    /// When the asking entry gives up.
    pub deadline: ClockMillis,
    /// Where the answer goes.
    pub reply: oneshot::Sender<StoreResult>,
}

/// What an entry that owns the fleet does for the others.
#[derive(Clone, Debug)]
pub struct OwnedFleet {
    /// Takes jobs to be stored.
    pub submits: mpsc::UnboundedSender<SubmitCall>,
    /// Changes of jobs.
    pub job_changes: Rc<RefCell<JobChangeLog>>,
    /// Rung when there are new changes.
    pub changes_notify: Rc<Notify>,
}

/// State of one entry. It is borrowed between awaits only.
#[derive(Debug)]
pub struct EntryContext<P> {
    /// Who this entry is.
    pub identity: EntryIdentity,
    /// Bounds of the deployment.
    pub bounds: FleetBounds,
    /// Calls to the platform and to workers.
    pub ports: P,
    /// Clock of all leases.
    pub clock: ProcessClock,
    /// Instruments.
    pub metrics: Arc<FleetMetrics>,
    /// Configuration in force.
    pub view: RefCell<ConfigView>,
    /// When the question was sent to which the table service last confirmed the configuration.
    confirmed_at: Cell<Option<ClockMillis>>,
    /// When the table service last answered a read of the configuration.
    contact_at: Cell<Option<ClockMillis>>,
    /// Ownership as last read.
    pub owner: RefCell<OwnerWatch>,
    /// Entries by name.
    pub members: RefCell<BTreeMap<ArcStr, MemberRow>>,
    /// Jobs heard of.
    pub statuses: RefCell<JobStatusCache>,
    /// Jobs by queue of which no task has started, as the owner last said.
    pub waiting: RefCell<BTreeMap<QueueName, u32>>,
    /// When the owner last answered a question for news.
    pub job_changes_at: Cell<Option<ClockMillis>>,
    /// The ownership that this entry has; none while another entry owns the fleet.
    pub owned: RefCell<Option<OwnedFleet>>,
    /// Rung when the configuration, the ownership or the entries have changed.
    pub changed: Notify,
    /// Ends the process.
    pub stop: CancellationToken,
}

/// Shared handle of the state.
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
            view: RefCell::default(),
            confirmed_at: Cell::new(None),
            contact_at: Cell::new(None),
            owner: RefCell::default(),
            members: RefCell::default(),
            statuses: RefCell::default(),
            waiting: RefCell::default(),
            job_changes_at: Cell::new(None),
            owned: RefCell::default(),
            changed: Notify::new(),
            stop,
        })
    }

    /// Notes that the table service has answered a read of the configuration sent at `sent_at`.
    pub fn record_confirmation(&self, sent_at: ClockMillis) {
        self.confirmed_at.set(Some(sent_at));
        self.contact_at.set(Some(self.clock.now()));
    }

    /// Tells whether the table service answers this entry. An entry that it does not
    /// answer sends callers on at once instead of trying until their time is over.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        let now = self.clock.now();
        self.contact_at.get().is_some_and(|at| now.since(at) < limits::STORE_CONTACT_TIMEOUT_MS)
    }

    /// Returns the age of the configuration's confirmation in milliseconds; none before the first.
    #[must_use]
    pub fn confirmation_age(&self) -> Option<u64> {
        self.confirmed_at.get().map(|at| self.clock.now().since(at))
    }

    /// Tells whether a key that was withdrawn too long ago would be known by now.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        let bound = self.bounds.revoke_ms.saturating_sub(limits::CONFIRMATION_MARGIN_MS);
        self.confirmation_age().is_some_and(|age| age < bound)
    }

    /// Returns the peer address of the owner; none if this entry owns the fleet,
    /// or the owner is not known.
    #[must_use]
    pub fn owner_address(&self) -> Option<ArcStr> {
        let owner = self.owner.borrow();
        let (_, row) = owner.row()?;
        if row.holder == self.identity.name {
            return None;
        }
        self.members.borrow().get(&row.holder).map(|member| member.address.clone())
    }

    /// Returns how long this entry waits before it claims a fleet that nobody holds, in milliseconds.
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

    /// Tells whether states of jobs are up to date without a read.
    #[must_use]
    pub fn has_fresh_job_changes(&self) -> bool {
        let now = self.clock.now();
        (self.owned.borrow().is_some() && self.is_connected())
            || self
                .job_changes_at
                .get()
                .is_some_and(|at| now.since(at) < limits::MAX_JOB_CHANGES_AGE_MS)
    }

    /// Tells whether this entry may claim the fleet and the table service answers it now.
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
        self.view.borrow().config.is_some() && read.is_ok()
    }

    /// Takes up the offer of a fleet that its holder has given up.
    pub fn accept_handover(&self, handover: OwnershipHandover) {
        log::info!("fleet offered term={} version={}", handover.term, handover.version);
        self.owner.borrow_mut().record_handover(handover);
        self.changed.notify_waiters();
    }

    /// Waits for news as the owner of the fleet; none if this entry does not own it
    /// or cannot reach the table service, so that fresh news mean that the fleet takes jobs.
    pub async fn wait_job_changes(&self, query: JobChangesQuery) -> Option<JobChanges> {
        let owned = self.owned.borrow().clone()?;
        if !self.is_connected() {
            return None;
        }
        if !owned.job_changes.borrow().has_changes_after(query) {
            let notified = owned.changes_notify.notified();
            if tokio::time::timeout(limits::MAX_JOB_CHANGES_WAIT, notified).await.is_err() {
                log::debug!("nothing new for an entry");
            }
        }
        let waiting = self.waiting.borrow().clone();
        let answer = owned.job_changes.borrow().answer(query, waiting);
        Some(answer)
    }
}
