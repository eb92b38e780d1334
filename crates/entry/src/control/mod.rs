//! The control thread: ownership, placement, configuration and peers.
//!
//! All control state lives on one thread, which other threads reach through an
//! actix actor. The state is borrowed only between awaits, never across one.
//! Every call to another process has a deadline and runs as a local task that
//! ends when the process's cancellation token is cancelled.

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

/// Milliseconds between two ticks of the control logic.
const TICK_INTERVAL_MS: u64 = 25;

/// The owner of a domain, as far as this entry knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownOwner {
    /// Authority of the owner.
    pub authority: OwnerAuthority,
    /// Its peer address.
    pub address: ArcStr,
}

/// The mutable state of the control thread.
#[derive(Debug)]
pub struct ControlState {
    /// State machine that acquires, renews and hands over the ownership of the domain.
    pub ownership: Ownership,
    /// The configuration in force at this entry.
    pub config: ConfigTracker,
    /// Head of the configuration as last read or written.
    pub config_head: ConfigHead,
    /// Control state of the domain while this entry owns it.
    pub domain: Option<domain::DomainState>,
    /// State received in a handover whose lease has not begun yet.
    pub pending_handover: Option<HandoverState>,
    /// The last known owner of each domain.
    pub owners: HashMap<DomainName, KnownOwner>,
    /// The highest configuration version that each domain's owner is known to have confirmed.
    pub confirmed_versions: BTreeMap<DomainName, u64>,
    /// When the peer at each address last answered; 0 if it never answered a call.
    pub peer_answered_at: HashMap<ArcStr, ClockMillis>,
    /// When the platform last answered a call about the ownership row or the configuration.
    pub platform_answered_at: Option<ClockMillis>,
    /// When this entry sent its last committed write of the ownership row.
    pub renewed_at: Option<ClockMillis>,
    /// Names of all VMs that the platform's list has contained since this process started.
    pub listed_vms: HashSet<String>,
    /// Identifiers of non-idempotent requests that wait to be inserted.
    pub insert_queue: once::InsertQueue,
    /// Whether this entry is shutting down.
    pub draining: bool,
}

/// State and clients shared by the tasks of the control thread.
#[derive(Debug)]
pub struct ControlShared {
    /// Settings of this process.
    pub settings: EntrySettings,
    /// This entry as a member of its domain.
    pub member: EntryMember,
    /// Monotonic clock of this process.
    pub clock: ProcessClock,
    /// Client of the platform.
    pub platform: PlatformClient,
    /// Client of the workers' control protocol.
    pub workers: WorkerClient,
    /// Connections to peers.
    pub peers: PeerPool,
    /// Metrics of this process.
    pub metrics: Arc<EntryMetrics>,
    /// Sends the configuration in force to the traffic threads.
    pub snapshots: watch::Sender<Arc<ConfigSnapshot>>,
    /// Ends every task of the process when cancelled.
    pub stop: CancellationToken,
    /// Seed of this process's random number generators.
    pub seed: u64,
    state: RefCell<ControlState>,
}

/// Reference to the shared state, held by every task of the control thread.
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

    /// Borrows the state for reading; the borrow must not be held across an await.
    pub fn state(&self) -> Ref<'_, ControlState> {
        self.state.borrow()
    }

    /// Borrows the state for writing; the borrow must not be held across an await.
    pub fn state_mut(&self) -> RefMut<'_, ControlState> {
        self.state.borrow_mut()
    }

    /// Returns the authority under which this entry may act now, if it holds a lease.
    ///
    /// Callers check it again before each send, because the lease may have
    /// expired while the process was paused.
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
