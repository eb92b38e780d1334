//! Claims the fleet, keeps the ownership, and releases it or hands it over.

mod advice;
mod cancellations;
mod explain;
mod load;
mod orders;
mod progress;
mod session;
mod speeds;
mod submits;
mod workers;

use std::rc::Rc;
use std::time::Duration;

use arcstr::ArcStr;
use link::failure;
use model::time::ClockMillis;
use tokio_util::sync::CancellationToken;

use crate::context::SharedContext;
use crate::limits;
use crate::ports::{
    AdviceCalls, PeerCalls, PlatformRows, RowKey, RowStore, RowTransaction, TransactOutcome,
    WorkerCalls,
};
use crate::row::{self, OwnerRow};

/// The calls that an owner makes to the platform, to workers and to other entries.
pub trait OwnerPorts: RowStore + WorkerCalls + AdviceCalls + PeerCalls + PlatformRows {}

impl<P: RowStore + WorkerCalls + AdviceCalls + PeerCalls + PlatformRows> OwnerPorts for P {}

/// Longest time between two checks whether the fleet may be claimed.
const CLAIM_INTERVAL: Duration = Duration::from_millis(150);

/// Claims the fleet whenever that is allowed and runs it while this entry owns it, until
/// `retire` is cancelled. An owned fleet is then released.
pub async fn run<P: OwnerPorts>(context: SharedContext<P>, retire: CancellationToken) {
    while !retire.is_cancelled() {
        let changed = context.changed_notify.notified();
        if let Some(ownership) = try_claim_fleet(&context).await {
            session::run(&context, ownership, &retire).await;
            continue;
        }
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep(CLAIM_INTERVAL) => {}
            () = retire.cancelled() => {}
        }
    }
}

/// An ownership that this entry has claimed.
#[derive(Clone, Debug)]
pub(crate) struct ClaimedOwnership {
    pub(crate) term: u64,
    /// Version of the ownership row.
    pub(crate) version: u64,
    /// When the claim was sent.
    pub(crate) sent_at: ClockMillis,
    /// Ownership row that the claim replaced; none if the fleet had no owner before.
    pub(crate) previous: Option<OwnerRow>,
}

async fn try_claim_fleet<P: OwnerPorts>(context: &SharedContext<P>) -> Option<ClaimedOwnership> {
    // Decisions need the configuration, and storing them needs the table service.
    context.config_view.borrow().config.as_ref()?;
    if !context.is_connected() {
        return None;
    }
    let now = context.clock.now();
    let identity = &context.identity;
    let (version, previous) = {
        let delay_ms = context.claim_delay_ms();
        let mut owner = context.owner.borrow_mut();
        let version = owner.claimable_version(&identity.name, &identity.instance, now, delay_ms)?;
        (version, owner.row().map(|(_, row)| row.clone()))
    };
    let term = previous.as_ref().map_or(0, |row| row.term) + 1;
    let claim =
        OwnerRow { holder: identity.name.clone(), instance: identity.instance.clone(), term };
    let holder = previous.as_ref().map_or(ArcStr::default(), |row| row.holder.clone());
    match write_owner(context, version, &claim, []).await {
        Some(version) => {
            log::info!("fleet claimed term={term} version={version} before={holder}");
            Some(ClaimedOwnership { term, version, sent_at: now, previous })
        }
        None => None,
    }
}

/// Writes the ownership row if its version is `expected`, together with other rows of its partition;
/// returns the new version.
///
/// Whether a write without an answer took effect shows when the row is next read or followed.
pub(crate) async fn write_owner<P: OwnerPorts>(
    context: &SharedContext<P>,
    expected: u64,
    owner: &OwnerRow,
    others: impl IntoIterator<Item = (RowKey, Vec<u8>)>,
) -> Option<u64> {
    let mut transaction = RowTransaction {
        expected: vec![(row::owner_key(), expected)],
        writes: vec![(row::owner_key(), row::encode(owner))],
        removes: Vec::new(),
    };
    transaction.writes.extend(others);
    let outcome = context.ports.transact(&transaction, limits::RENEW_TIMEOUT).await;
    let now = context.clock.now();
    match outcome {
        Ok(TransactOutcome::Committed(version)) => {
            context.owner.borrow_mut().observe(version, owner.clone(), now);
            Some(version)
        }
        Ok(TransactOutcome::Conflict(rows)) => {
            for row in rows {
                let Some(value) = &row.value else { continue };
                if let Some(current) = row::decode::<OwnerRow>(row::STATE_TABLE, &row.key, value) {
                    context.owner.borrow_mut().observe(row.version, current, now);
                }
            }
            None
        }
        Err(error) => {
            log::warn!(
                "ownership not written term={} error=\"{}\"",
                owner.term,
                failure::format_one_line(&error)
            );
            None
        }
    }
}

/// Shared handle of the state of an owner.
pub(crate) type SharedSession<P> = Rc<session::OwnerSession<P>>;
