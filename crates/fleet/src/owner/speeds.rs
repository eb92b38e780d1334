//! Stores the learned speeds of workers for the next owner, and reads those of the earlier one.

use link::failure;
use model::time::ClockMillis;

use crate::limits;
use crate::owner::{OwnerPorts, SharedSession};
use crate::row::{self, SpeedRow};

/// Shortest time between two writes of the speeds, in milliseconds. They change for a long time
/// after each start of a fleet, and what the last seconds have taught is soon learned again.
const WRITE_INTERVAL_MS: u64 = 10_000;
/// Most reads of the speeds. After some seconds, this owner knows more than an earlier one did.
const MAX_READS: u32 = 5;

/// What of the learned speeds is stored.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoredSpeeds {
    /// Number of changes of classes that the stored speeds contain.
    changes: u64,
    /// When a write was last sent, or when the ownership began.
    sent_at: ClockMillis,
}

impl StoredSpeeds {
    pub(crate) const fn new(began_at: ClockMillis) -> Self {
        Self { changes: 0, sent_at: began_at }
    }
}

/// Speeds that are written with a renewal of the ownership.
#[derive(Debug)]
pub(crate) struct DueSpeeds {
    pub(crate) row: SpeedRow,
    changes: u64,
}

/// Returns the speeds if they have to be written now: the class of a worker has changed, and the
/// last write was some time ago.
pub(crate) fn take_due_row<P: OwnerPorts>(
    session: &SharedSession<P>,
    now: ClockMillis,
) -> Option<DueSpeeds> {
    let stored = session.stored_speeds.get();
    let planner = session.planner.borrow();
    let changes = planner.speeds().change_count();
    if changes == stored.changes || now.since(stored.sent_at) < WRITE_INTERVAL_MS {
        return None;
    }
    session.stored_speeds.set(StoredSpeeds { sent_at: now, ..stored });
    Some(DueSpeeds { row: SpeedRow::new(planner.speeds().export()), changes })
}

/// Records that speeds were written, if there were any to write.
pub(crate) fn confirm_row<P: OwnerPorts>(session: &SharedSession<P>, written: Option<&DueSpeeds>) {
    if let Some(DueSpeeds { changes, .. }) = written {
        let stored = session.stored_speeds.get();
        session.stored_speeds.set(StoredSpeeds { changes: *changes, ..stored });
    }
}

/// Reads the speeds that an earlier owner has stored. The fleet is run without them meanwhile.
pub(crate) async fn restore<P: OwnerPorts>(session: SharedSession<P>) {
    for _ in 0..MAX_READS {
        let ports = &session.context.ports;
        let page =
            ports.read(row::SPEED_TABLE, row::OWNER_PARTITION, None, limits::STORE_TIMEOUT).await;
        match page {
            Ok(page) => {
                let row = page.rows.iter().find_map(|row| row.value.as_ref());
                if let Some(speeds) = row.and_then(|value| SpeedRow::decode(value)) {
                    session.planner.borrow_mut().restore_speeds(&speeds.per_mille);
                    let stored = speeds.per_mille.len();
                    log::info!("speeds restored term={} workers={stored}", session.term);
                }
                return;
            }
            Err(error) => {
                log::warn!("speeds not read error=\"{}\"", failure::format_one_line(&error));
                tokio::time::sleep(limits::STORE_RETRY_DELAY).await;
            }
        }
    }
}

/// Logs the workers whose class of speed has changed.
pub(crate) fn log_changes<P: OwnerPorts>(session: &SharedSession<P>) {
    let changes = session.planner.borrow_mut().take_speed_changes();
    for change in &changes.listed {
        log::info!(
            "worker speed changed worker={} before={} after={} speed={:.2}",
            change.worker,
            change.before.name(),
            change.after.name(),
            change.speed
        );
    }
    if changes.unlisted > 0 {
        log::info!("worker speed changed for others workers={}", changes.unlisted);
    }
}
