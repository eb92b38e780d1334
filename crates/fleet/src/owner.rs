//! Claiming the fleet, keeping it, and giving it up.

mod advice;
mod load;
mod orders;
mod progress;
mod session;
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
    AdviceCalls, PeerCalls, PlatformRows, RowStore, RowTransaction, TransactOutcome, WorkerCalls,
};
use crate::row::{self, LeasedWorkers, OwnerRow};

/// Everything that an owner needs of the platform.
pub trait OwnerPorts: RowStore + WorkerCalls + AdviceCalls + PeerCalls + PlatformRows {}

impl<P: RowStore + WorkerCalls + AdviceCalls + PeerCalls + PlatformRows> OwnerPorts for P {}

/// Longest pause between two looks at whether the fleet may be claimed.
const CLAIM_INTERVAL: Duration = Duration::from_millis(150);

/// Claims the fleet whenever it may be claimed and runs it while it is held,
/// until `retire` is cancelled. A held fleet is then released.
pub async fn run<P: OwnerPorts>(context: SharedContext<P>, retire: CancellationToken) {
    while !retire.is_cancelled() {
        let changed = context.changed.notified();
        if let Some(held) = try_claim(&context).await {
            session::run(&context, held, &retire).await;
            continue;
        }
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep(CLAIM_INTERVAL) => {}
            () = retire.cancelled() => {}
        }
    }
}

/// An ownership that was claimed.
#[derive(Clone, Debug)]
pub(crate) struct HeldOwnership {
    pub(crate) term: u64,
    /// Version of the ownership row.
    pub(crate) version: u64,
    /// When the claim was sent.
    pub(crate) sent_at: ClockMillis,
    /// The row of the owner before.
    pub(crate) before: Option<OwnerRow>,
}

async fn try_claim<P: OwnerPorts>(context: &SharedContext<P>) -> Option<HeldOwnership> {
    // Without the configuration nothing can be decided, and without the store nothing kept.
    context.view.borrow().config.as_ref()?;
    if !context.is_connected() {
        return None;
    }
    let now = context.clock.now();
    let identity = &context.identity;
    let (version, before) = {
        let delay_ms = context.claim_delay_ms();
        let mut owner = context.owner.borrow_mut();
        let version = owner.claimable_version(&identity.name, &identity.instance, now, delay_ms)?;
        (version, owner.row().map(|(_, row)| row.clone()))
    };
    let term = before.as_ref().map_or(0, |row| row.term) + 1;
    let claim =
        OwnerRow { holder: identity.name.clone(), instance: identity.instance.clone(), term };
    let holder = before.as_ref().map_or(ArcStr::default(), |row| row.holder.clone());
    match write_owner(context, version, &claim, None).await {
        Some(version) => {
            log::info!("fleet claimed term={term} version={version} before={holder}");
            Some(HeldOwnership { term, version, sent_at: now, before })
        }
        None => None,
    }
}

/// Writes the ownership row if it has `expected`, and the workers that may run tasks if they have
/// changed; returns its new version.
///
/// A write without an answer is resolved by what the row says when it is followed.
pub(crate) async fn write_owner<P: OwnerPorts>(
    context: &SharedContext<P>,
    expected: u64,
    owner: &OwnerRow,
    leased: Option<&LeasedWorkers>,
) -> Option<u64> {
    let mut transaction = RowTransaction {
        expected: vec![(row::owner_key(), expected)],
        writes: vec![(row::owner_key(), row::encode(owner))],
        removes: Vec::new(),
    };
    transaction.writes.extend(leased.map(|leased| (row::lease_key(), row::encode(leased))));
    let outcome = context.ports.transact(&transaction, limits::RENEW_TIMEOUT).await;
    let now = context.clock.now();
    match outcome {
        Ok(TransactOutcome::Committed(version)) => {
            context.owner.borrow_mut().observe(version, owner.clone(), now);
            Some(version)
        }
        Ok(TransactOutcome::Conflict(rows)) => {
            for found in rows {
                let Some(value) = &found.value else { continue };
                if let Some(current) = row::decode::<OwnerRow>(row::STATE_TABLE, &found.key, value)
                {
                    context.owner.borrow_mut().observe(found.version, current, now);
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

/// Shared pointer to the state of an ownership.
pub(crate) type SharedSession<P> = Rc<session::OwnerSession<P>>;
