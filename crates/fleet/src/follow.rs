//! Follows the tables that every entry needs: the operators' table and the state table.

use arcstr::ArcStr;

use crate::context::SharedContext;
use crate::limits;
use crate::ports::{FeedAnswer, PlatformRows, RowPage, RowStore, TableRow};
use crate::row::{self, MemberRow, OwnerRow};
use link::failure;

/// Follows the operators' table until the entry stops.
pub async fn follow_operator_table<P: RowStore + PlatformRows>(context: SharedContext<P>) {
    let work = async {
        loop {
            let sent_at = context.clock.now();
            let read = context
                .ports
                .read(row::OPERATOR_TABLE, row::ROOT_PARTITION, None, limits::STORE_TIMEOUT)
                .await;
            match read {
                Ok(page) => {
                    apply_operator_page(&context, &page);
                    context.record_confirmation(sent_at);
                    follow_operator_changes(&context, page.version).await;
                }
                Err(error) => {
                    log::warn!(
                        "operators' table not read error=\"{}\"",
                        failure::format_one_line(&error)
                    );
                    tokio::time::sleep(limits::STORE_RETRY_DELAY).await;
                }
            }
        }
    };
    context.stop.run_until_cancelled(work).await;
}

/// Applies a complete read of the operators' table; domains without a row are in service.
fn apply_operator_page<P: PlatformRows>(context: &SharedContext<P>, page: &RowPage) {
    let rows = page.rows.iter().map(|row| context.ports.decode_operator_row(row)).collect();
    context.config_view.borrow_mut().replace_rows(rows);
    context.changed_notify.notify_waiters();
}

/// Applies changes of the operators' table until the feed is truncated or a call fails.
async fn follow_operator_changes<P: RowStore + PlatformRows>(
    context: &SharedContext<P>,
    mut version: u64,
) {
    loop {
        let sent_at = context.clock.now();
        let answer =
            context.ports.follow(row::OPERATOR_TABLE, version, limits::MAX_FEED_WAIT).await;
        match answer {
            Ok(FeedAnswer::Changes(page)) => {
                for row in &page.rows {
                    context
                        .config_view
                        .borrow_mut()
                        .apply_row(context.ports.decode_operator_row(row));
                }
                version = page.version;
                context.record_confirmation(sent_at);
                if let Some(config) = &context.config_view.borrow().config {
                    context.metrics.config_version.record(config.version, &[]);
                }
                if !page.rows.is_empty() {
                    context.changed_notify.notify_waiters();
                }
            }
            Ok(FeedAnswer::Truncated) => {
                log::info!("operators' table reread reason=feed-truncated version={version}");
                return;
            }
            Err(error) => {
                log::warn!(
                    "operators' table not followed error=\"{}\"",
                    failure::format_one_line(&error)
                );
                tokio::time::sleep(limits::STORE_RETRY_DELAY).await;
                return;
            }
        }
    }
}

/// Follows the ownership and the registered entries until this entry stops.
pub async fn follow_state_table<P: RowStore>(context: SharedContext<P>) {
    let work = async {
        loop {
            match read_state(&context).await {
                Some(version) => follow_state_changes(&context, version).await,
                None => tokio::time::sleep(limits::STORE_RETRY_DELAY).await,
            }
        }
    };
    context.stop.run_until_cancelled(work).await;
}

/// Reads the ownership and the entries; returns the version from which to follow changes.
async fn read_state<P: RowStore>(context: &SharedContext<P>) -> Option<u64> {
    let mut first_version = None;
    for partition in [row::OWNER_PARTITION, row::MEMBER_PARTITION] {
        let read =
            context.ports.read(row::STATE_TABLE, partition, None, limits::STORE_TIMEOUT).await;
        match read {
            Ok(page) => {
                first_version.get_or_insert(page.version);
                if partition == row::MEMBER_PARTITION {
                    // An entry may have left while changes were not followed.
                    let is_listed = |name: &ArcStr| page.rows.iter().any(|row| row.key == *name);
                    context.members.borrow_mut().retain(|name, _| is_listed(name));
                }
                for changed in &page.rows {
                    apply_state_row(context, changed);
                }
            }
            Err(error) => {
                log::warn!(
                    "state table not read part={partition} error=\"{}\"",
                    failure::format_one_line(&error)
                );
                return None;
            }
        }
    }
    context.changed_notify.notify_waiters();
    first_version
}

/// Applies changes of the state table until the feed is truncated or a call fails.
async fn follow_state_changes<P: RowStore>(context: &SharedContext<P>, mut version: u64) {
    loop {
        let answer = context.ports.follow(row::STATE_TABLE, version, limits::MAX_FEED_WAIT).await;
        match answer {
            Ok(FeedAnswer::Changes(page)) => {
                for changed in &page.rows {
                    apply_state_row(context, changed);
                }
                version = page.version;
                if !page.rows.is_empty() {
                    context.changed_notify.notify_waiters();
                    tokio::time::sleep(limits::STATE_FEED_DELAY).await;
                }
            }
            Ok(FeedAnswer::Truncated) => return,
            Err(error) => {
                log::warn!(
                    "state table not followed error=\"{}\"",
                    failure::format_one_line(&error)
                );
                tokio::time::sleep(limits::STORE_RETRY_DELAY).await;
                return;
            }
        }
    }
}

fn apply_state_row<P>(context: &SharedContext<P>, changed: &TableRow) {
    let key = changed.key.as_str();
    match changed.partition.as_str() {
        row::OWNER_PARTITION => {
            let Some(value) = &changed.value else { return };
            if let Some(owner) = row::decode::<OwnerRow>(row::STATE_TABLE, key, value) {
                let now = context.clock.now();
                context.owner.borrow_mut().observe(changed.version, owner, now);
            }
        }
        row::MEMBER_PARTITION => {
            let member = changed
                .value
                .as_ref()
                .and_then(|value| row::decode::<MemberRow>(row::STATE_TABLE, key, value));
            let mut members = context.members.borrow_mut();
            match member {
                Some(member) => members.insert(changed.key.clone(), member),
                None => members.remove(key),
            };
        }
        other => log::debug!("row ignored table={} part={other} key={key}", row::STATE_TABLE),
    }
}
