//! What the parts of one entry share on the control thread.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use arcstr::ArcStr;
use link::clock::ProcessClock;
use model::name::DomainName;
use model::time::ClockMillis;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::config::ConfigView;
use crate::lease::OwnerWatch;
use crate::limits::{self, FleetBounds};
use crate::row::MemberRow;
use crate::status::StatusBook;

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
    /// Configuration in force.
    pub view: RefCell<ConfigView>,
    /// When the question was sent to which the table service last confirmed the configuration.
    pub confirmed_at: Cell<Option<ClockMillis>>,
    /// Ownership as last read.
    pub owner: RefCell<OwnerWatch>,
    /// Entries by name.
    pub members: RefCell<BTreeMap<ArcStr, MemberRow>>,
    /// Jobs heard of.
    pub statuses: RefCell<StatusBook>,
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
        stop: CancellationToken,
    ) -> SharedContext<P> {
        Rc::new(Self {
            identity,
            bounds,
            ports,
            clock: ProcessClock,
            view: RefCell::default(),
            confirmed_at: Cell::new(None),
            owner: RefCell::default(),
            members: RefCell::default(),
            statuses: RefCell::default(),
            changed: Notify::new(),
            stop,
        })
    }

    /// Returns the age of the configuration's confirmation in milliseconds; none before the first.
    #[must_use]
    pub fn confirmation_age(&self) -> Option<u64> {
        self.confirmed_at.get().map(|at| self.clock.now().since(at))
    }

    /// Tells whether a key that was withdrawn too long ago would be known by now.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        let bound = self.bounds.revoke_ms.saturating_sub(limits::CONFIRM_MARGIN_MS);
        self.confirmation_age().is_some_and(|age| age < bound)
    }
}
