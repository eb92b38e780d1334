//! The control thread: ownership, placement, configuration and peers.
//!
//! One actix actor on a thread of its own holds all control state. Its state
//! is borrowed only between two awaits, never across one; every call to the
//! outside has a deadline and runs as a local task that ends with the
//! process's cancellation token.

pub mod allot;
pub mod cells;
pub mod config;
pub mod domain;
pub mod handle;
pub mod jobs;
pub mod monitor;
pub mod once;
pub mod ownership;
pub mod peers;
pub mod requests;
pub mod status;
pub mod workers;

use std::cell::{Ref, RefCell, RefMut};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arcstr::ArcStr;
use coord::config::ConfigTracker;
use coord::owner::{OwnerEvent, Ownership};
use coord::row::{ConfigHead, EntryMember};
use link::peer::PeerPool;
use link::platform::PlatformClient;
use link::worker::WorkerClient;
use model::authority::OwnerAuthority;
use model::name::{DomainName, EntryId};
use model::setting::EntrySettings;
use model::time::ClockMillis;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use wire::peer::HandoverState;

use crate::clock::ProcessClock;
use crate::metrics::EntryMetrics;
use crate::snapshot::ConfigSnapshot;

/// Milliseconds between two ticks of all control logic.
const TICK_INTERVAL_MS: u64 = 25;

/// What a domain's owner is known as.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownOwner {
    /// Authority of the owner.
    pub authority: OwnerAuthority,
    /// Its peer address.
    pub address: ArcStr,
}

/// Everything that changes on the control thread.
#[derive(Debug)]
pub struct ControlState {
    /// The ownership machine of this entry.
    pub ownership: Ownership,
    /// The configuration in force.
    pub config: ConfigTracker,
    /// Head of the configuration as last read or written.
    pub config_head: ConfigHead,
    /// Control state of the domain, while this entry owns it.
    pub domain: Option<domain::DomainState>,
    /// State of a handover whose lease has not begun yet.
    pub pending_handover: Option<HandoverState>,
    /// Owners of all domains as last heard.
    pub owners: HashMap<DomainName, KnownOwner>,
    /// Versions that owners have confirmed, as last read.
    pub confirmed_versions: BTreeMap<DomainName, u64>,
    /// When each peer address last answered.
    pub peer_answered_at: HashMap<ArcStr, ClockMillis>,
    /// When the platform last answered a read.
    pub platform_answered_at: Option<ClockMillis>,
    /// When the platform last took a write of the ownership row from this entry.
    pub renewed_at: Option<ClockMillis>,
    /// VMs that the platform's list has contained, whether or not it still does.
    pub listed_vms: HashSet<String>,
    /// Non-idempotent identifiers that wait to be inserted.
    pub insert_queue: once::InsertQueue,
    /// Whether this entry is shutting down.
    pub draining: bool,
}

/// What the control thread's tasks share.
#[derive(Debug)]
pub struct ControlShared {
    /// Settings of this process.
    pub settings: EntrySettings,
    /// This entry as a member of its domain.
    pub member: EntryMember,
    /// Monotonic clock.
    pub clock: ProcessClock,
    /// Client of the platform.
    pub platform: PlatformClient,
    /// Client of the workers' control protocol.
    pub workers: WorkerClient,
    /// Connections to peers.
    pub peers: PeerPool,
    /// Metrics of this process.
    pub metrics: Arc<EntryMetrics>,
    /// Publishes the configuration in force to the traffic threads.
    pub snapshots: watch::Sender<Arc<ConfigSnapshot>>,
    /// Ends every task of the process.
    pub stop: CancellationToken,
    /// Seed of this process's random numbers.
    pub seed: u64,
    state: RefCell<ControlState>,
}

/// Shared handle of the control thread's tasks.
pub type Control = Rc<ControlShared>;

impl ControlShared {
    /// Creates the control state of an entry that has just started.
    #[must_use]
    pub fn new(
        settings: EntrySettings,
        seed: u64,
        metrics: Arc<EntryMetrics>,
        snapshots: watch::Sender<Arc<ConfigSnapshot>>,
        stop: CancellationToken,
    ) -> Control {
        let clock = ProcessClock;
        let source = settings.outgoing_ip;
        let address = settings.peer_advertise.as_ref().unwrap_or(&settings.peer_address);
        let member = EntryMember {
            entry: EntryId::from(format!("{}-{seed:016x}", settings.name)),
            address: ArcStr::from(address.as_str()),
            vm: ArcStr::from(settings.name.as_str()),
        };
        let state = ControlState {
            ownership: Ownership::new(settings.domain.clone(), member.clone(), clock.now()),
            config: ConfigTracker::new(settings.config_contact_bound_s * 1000),
            config_head: ConfigHead::default(),
            domain: None,
            pending_handover: None,
            owners: HashMap::new(),
            confirmed_versions: BTreeMap::new(),
            peer_answered_at: HashMap::new(),
            platform_answered_at: None,
            renewed_at: None,
            listed_vms: HashSet::new(),
            insert_queue: once::InsertQueue::default(),
            draining: false,
        };
        Rc::new(Self {
            platform: PlatformClient::new(&settings.platform_address, source),
            workers: WorkerClient::new(source),
            peers: PeerPool::new(source),
            settings,
            member,
            clock,
            metrics,
            snapshots,
            stop,
            seed,
            state: RefCell::new(state),
        })
    }

    /// Returns the present instant.
    #[must_use]
    pub fn now(&self) -> ClockMillis {
        self.clock.now()
    }

    /// Borrows the state for reading; not to be held across an await.
    pub fn state(&self) -> Ref<'_, ControlState> {
        self.state.borrow()
    }

    /// Borrows the state for writing; not to be held across an await.
    pub fn state_mut(&self) -> RefMut<'_, ControlState> {
        self.state.borrow_mut()
    }

    /// Returns the authority under which this entry may act at this instant.
    ///
    /// Asked again before each send, since a pause of the process may have
    /// outlasted the lease.
    #[must_use]
    pub fn leased_authority(&self) -> Option<OwnerAuthority> {
        self.state().ownership.leased_authority(self.now())
    }

    /// Runs a task on the control thread until it ends or the process stops.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let stop = self.stop.clone();
        actix_rt::spawn(async move {
            stop.run_until_cancelled(task).await;
        });
    }
}

/// Starts the periodic work of the control thread.
pub fn start_loops(control: &Control) {
    let ticking = Rc::clone(control);
    control.spawn(async move {
        let mut interval = tokio::time::interval(Duration::from_millis(TICK_INTERVAL_MS));
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            ownership::handle_event(&ticking, OwnerEvent::Tick);
            cells::advance_time(&ticking);
            workers::renew_due_leases(&ticking);
        }
    });
    control.spawn(config::poll_head_loop(Rc::clone(control)));
    control.spawn(config::poll_rows_loop(Rc::clone(control)));
    control.spawn(peers::ping_loop(Rc::clone(control)));
    control.spawn(allot::poll_rows_loop(Rc::clone(control)));
    control.spawn(jobs::progress::flush_loop(Rc::clone(control)));
    control.spawn(jobs::scan_loop(Rc::clone(control)));
    control.spawn(once::flush_loop(Rc::clone(control)));
    control.spawn(monitor::watch_loop(Rc::clone(control)));
}
