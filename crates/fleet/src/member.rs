//! Registers this entry with the others, and removes its registration when it stops.

use crate::context::SharedContext;
use crate::limits;
use crate::ports::{RowStore, RowTransaction, TransactOutcome};
use crate::row::{self, MemberRow};
use link::failure;

/// Writes the row of this entry; retries until that succeeds or the entry stops.
pub async fn register<P: RowStore>(context: SharedContext<P>) {
    let identity = &context.identity;
    let member = MemberRow {
        address: identity.peer_address.clone(),
        instance: identity.instance.clone(),
        domain: identity.domain.clone(),
        strength: identity.strength,
    };
    let transaction = RowTransaction {
        writes: vec![(row::member_key(&identity.name), row::encode(&member))],
        ..RowTransaction::default()
    };
    let work = async {
        loop {
            match context.ports.transact(&transaction, limits::STORE_TIMEOUT).await {
                Ok(TransactOutcome::Committed(version)) => {
                    context.member_version.set(Some(version));
                    log::info!("entry registered version={version}");
                    return;
                }
                Ok(TransactOutcome::Conflict(_)) => return,
                Err(error) => {
                    log::warn!(
                        "entry not registered error=\"{}\"",
                        failure::format_one_line(&error)
                    );
                    tokio::time::sleep(limits::STORE_RETRY_DELAY).await;
                }
            }
        }
    };
    context.stop.run_until_cancelled(work).await;
}

/// Removes the row of this entry, so that the others do not count on it any more. The row of a
/// later process of the entry stays.
///
/// Not repeated: the others do without an entry that does not answer.
pub async fn deregister<P: RowStore>(context: SharedContext<P>) {
    let Some(version) = context.member_version.get() else { return };
    let key = row::member_key(&context.identity.name);
    let transaction = RowTransaction {
        expected: vec![(key.clone(), version)],
        removes: vec![key],
        ..RowTransaction::default()
    };
    match context.ports.transact(&transaction, limits::STORE_TIMEOUT).await {
        Ok(TransactOutcome::Committed(_)) => log::info!("entry deregistered"),
        Ok(TransactOutcome::Conflict(_)) => log::info!("entry registered by a later process"),
        Err(error) => {
            log::warn!("entry not deregistered error=\"{}\"", failure::format_one_line(&error));
        }
    }
}
