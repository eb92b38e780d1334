//! Reads, publishes and confirms configuration versions.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coord::config::{self as coord_config, ConfigConfirmation};
use coord::owner::OwnerEvent;
use coord::row::{self, ConfigHead, ConfirmRow, OwnerRow};
use link::failure::CallFailure;
use model::kind::ErrorKind;
use model::name::DomainName;
use model::object::{self, ObjectSet};
use model::time::ClockMillis;
use wire::api::ApplyReply;
use wire::peer::PeerRefusal;
use wire::platform::{RowCheck, RowPut, TableRead, TableTxn, VmState};

use crate::control::{Control, KnownOwner, allot, cells, domain, ownership};
use crate::snapshot::ConfigSnapshot;

/// Interval between reads of the configuration head.
const HEAD_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between reads of owners, confirmations and the VM list.
const ROWS_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout of calls to the platform about the configuration.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait in milliseconds for the confirmations of a change before it is answered.
const MAX_CONFIRMATION_WAIT_MS: u64 = 5_000;
/// Interval between reads of the confirmations, or of the head after a lost reply.
const CONFIRMATION_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of the call that pushes a version to an owner.
const OFFER_TIMEOUT: Duration = Duration::from_millis(500);

/// Puts a version in force if it is newer; returns whether it was.
pub fn apply_version(control: &Control, version: u64, objects: ObjectSet) -> bool {
    let objects = Arc::new(objects);
    if !control.state_mut().config.apply_version(version, Arc::clone(&objects)) {
        return false;
    }
    log::info!("configuration in force version={version}");
    control.metrics.config_version.record(version, &[]);
    control.snapshots.send_replace(Arc::new(ConfigSnapshot::new(version, Arc::clone(&objects))));
    cells::apply_event(control, policy::event::CellEvent::Config(objects));
    domain::sync_links(control);
    allot::update_all_allotments(control);
    let caller = Rc::clone(control);
    control.spawn(async move { confirm_version(&caller).await });
    true
}

/// Reads the head periodically and applies its version, until the process stops.
pub async fn poll_head_loop(control: Control) {
    loop {
        if let Err(reason) = poll_head(&control).await {
            log::debug!("configuration head cannot be read: {reason}");
        }
        confirm_version(&control).await;
        tokio::time::sleep(HEAD_POLL_INTERVAL).await;
    }
}

async fn poll_head(control: &Control) -> Result<(), String> {
    let sent_at = control.now();
    if let Some((_, head)) = read_head(control).await? {
        return apply_head(control, &head, sent_at).await;
    }
    record_confirmation(control, sent_at, 0);
    Ok(())
}

async fn read_head(control: &Control) -> Result<Option<(u64, ConfigHead)>, String> {
    let read = TableRead { keys: vec![row::CONFIG_HEAD_KEY.to_owned()], prefixes: Vec::new() };
    let reply =
        control.platform.read(&read, CALL_TIMEOUT).await.map_err(|report| format!("{report:#}"))?;
    let Some(table_row) = reply.rows.into_iter().next() else { return Ok(None) };
    let head = serde_json::from_value(table_row.value).map_err(|error| error.to_string())?;
    Ok(Some((table_row.version, head)))
}

/// Puts the version of a head in force; the head was read by a call sent at `sent_at`.
///
/// # Errors
/// The reason, if the body cannot be read or does not match its digest.
pub async fn apply_head(
    control: &Control,
    head: &ConfigHead,
    sent_at: ClockMillis,
) -> Result<(), String> {
    if head.version > control.state().config.version() {
        let body = control
            .platform
            .get_object(&head.object, CALL_TIMEOUT)
            .await
            .map_err(|report| format!("{report:#}"))?;
        if object::hex_digest(body.as_bytes()) != head.digest {
            return Err(format!("object {} does not match its digest", head.object));
        }
        let objects = serde_json::from_str(&body).map_err(|error| error.to_string())?;
        apply_version(control, head.version, objects);
    }
    record_confirmation(control, sent_at, head.version);
    record_head(control, head);
    Ok(())
}

/// Returns the change id of the version in force, reading the head if it is not known.
///
/// A version pushed by a peer comes without its change id, by which an operator
/// who got no reply recognises their own change.
pub async fn find_change_id(control: Control, version: u64) -> Option<String> {
    let known_id = |control: &Control| {
        let head = &control.state().config_head;
        (head.version == version).then(|| head.change_id.clone())
    };
    if known_id(&control).is_none()
        && let Err(reason) = poll_head(&control).await
    {
        log::debug!("change id of version {version} cannot be read: {reason}");
    }
    known_id(&control)
}

fn record_head(control: &Control, head: &ConfigHead) {
    let known = &mut control.state_mut().config_head;
    if head.version > known.version {
        known.clone_from(head);
    }
}

fn record_confirmation(control: &Control, sent_at: ClockMillis, version: u64) {
    let now = control.now();
    let mut state = control.state_mut();
    state.platform_answered_at = Some(now);
    if state.config.version() >= version {
        state.config.record_confirmation(sent_at);
    }
}

/// Writes the confirmation of the version in force, once this owner enforces it.
pub async fn confirm_version(control: &Control) {
    let domain = &control.settings.domain;
    let Some(authority) = control.leased_authority() else { return };
    let pending = {
        let state = control.state();
        let version = state.config.version();
        state.domain.as_ref().and_then(|owned| {
            let enforced =
                owned.authority == authority && allot::are_limits_in_force(&state, owned);
            (enforced && version > owned.confirmation_row.0)
                .then_some((version, owned.confirmation_row.1))
        })
    };
    let Some((version, row_version)) = pending else { return };
    let key = row::confirm_key(domain);
    let value = serde_json::to_value(ConfirmRow { version }).unwrap_or_default();
    let txn = TableTxn {
        checks: vec![RowCheck { key: key.clone(), version: row_version }],
        puts: vec![RowPut { key, value }],
        deletes: Vec::new(),
    };
    let confirmation_row = match control.platform.transact(&txn, CALL_TIMEOUT).await {
        Ok(reply) if reply.committed => {
            log::info!("configuration confirmed domain={domain} version={version}");
            (version, reply.version)
        }
        Ok(reply) => {
            // Another owner wrote the row, or this one did and the reply was lost.
            let (row_version, row) = reply.into_conflict::<ConfirmRow>();
            (row.map_or(0, |row| row.version), row_version)
        }
        Err(report) => {
            log::debug!("configuration version {version} is not confirmed yet: {report:#}");
            return;
        }
    };
    if let Some(owned) = control.state_mut().domain.as_mut()
        && owned.authority == authority
    {
        owned.confirmation_row = confirmation_row;
    }
}

/// Reads owners, confirmations and the VM list periodically until the process stops.
pub async fn poll_rows_loop(control: Control) {
    loop {
        if let Err(reason) = poll_rows(&control).await {
            log::debug!("owners cannot be read: {reason}");
        }
        poll_vms(&control).await;
        tokio::time::sleep(ROWS_POLL_INTERVAL).await;
    }
}

async fn poll_rows(control: &Control) -> Result<(), String> {
    let prefixes = vec!["owner/".to_owned(), "confirm/".to_owned()];
    let read = TableRead { keys: Vec::new(), prefixes };
    let reply =
        control.platform.read(&read, CALL_TIMEOUT).await.map_err(|report| format!("{report:#}"))?;
    for table_row in reply.rows {
        if let Some(name) = table_row.key.strip_prefix("owner/") {
            let row: OwnerRow =
                serde_json::from_value(table_row.value).map_err(|error| error.to_string())?;
            if let Some(holder) = row.holder {
                let owner = KnownOwner { authority: row.authority, address: holder.address };
                record_owner(control, DomainName::from(name), owner);
            }
        } else if let Some(name) = table_row.key.strip_prefix("confirm/") {
            let row: ConfirmRow =
                serde_json::from_value(table_row.value).map_err(|error| error.to_string())?;
            record_confirmed_version(control, DomainName::from(name), row.version);
        }
    }
    Ok(())
}

/// Records a confirmed version for the status; an older one is ignored, because reads may finish
/// out of order.
fn record_confirmed_version(control: &Control, name: DomainName, version: u64) {
    let mut state = control.state_mut();
    let known = state.confirmed_versions.entry(name).or_default();
    *known = (*known).max(version);
}

/// Records the owner of a domain, unless one with a higher authority is known.
pub fn record_owner(control: &Control, name: DomainName, owner: KnownOwner) {
    let mut state = control.state_mut();
    let known = state.owners.get(&name);
    if known.is_none_or(|known| known.authority <= owner.authority) {
        state.owners.insert(name, owner);
    }
}

async fn poll_vms(control: &Control) {
    let Ok(list) = control.platform.list_vms(CALL_TIMEOUT).await else { return };
    let present: std::collections::HashSet<_> = list.vms.iter().map(|vm| vm.name.clone()).collect();
    let removed = {
        let mut state = control.state_mut();
        state.listed_vms.extend(present.iter().cloned());
        state.listed_vms.difference(&present).cloned().collect::<Vec<_>>()
    };
    for vm in removed {
        ownership::handle_event(control, OwnerEvent::VmRemoved { vm });
    }
    for vm in list.vms.into_iter().filter(|vm| vm.state == VmState::Leaving) {
        cells::apply_event(control, policy::event::CellEvent::WorkerLeaving(vm.name.into()));
    }
}

/// Publishes a checked object set and waits for its confirmations.
///
/// # Errors
/// A refusal of kind `conflict`, `platform-down` or `write-unknown`, with the
/// committed version if it is known.
pub async fn publish_objects(
    control: Control,
    base: u64,
    change_id: String,
    objects: ObjectSet,
) -> Result<ApplyReply, (PeerRefusal, Option<u64>)> {
    let platform_down = |reason: String| {
        log::warn!("configuration not published: {reason}");
        let message = "the platform did not answer; nothing was published, retry later";
        (PeerRefusal::new(ErrorKind::PlatformDown, message), None)
    };
    let present = read_head(&control).await.map_err(platform_down)?;
    let (row_version, version) =
        present.as_ref().map_or((0, 0), |(row, head)| (*row, head.version));
    let old_objects = Arc::clone(control.state().config.objects());
    let is_repeated = present.as_ref().is_some_and(|(_, head)| head.change_id == change_id);
    let published_version = if is_repeated {
        version
    } else {
        if version != base {
            return Err((conflict_refusal(version), Some(version)));
        }
        let body =
            serde_json::to_string(&objects).map_err(|error| platform_down(error.to_string()))?;
        let head = ConfigHead {
            version: version + 1,
            object: format!("config-{}-{change_id}", version + 1),
            change_id: change_id.clone(),
            digest: object::hex_digest(body.as_bytes()),
        };
        let stored = control.platform.put_object(&head.object, body, CALL_TIMEOUT).await;
        stored.map_err(|report| platform_down(format!("{report:#}")))?;
        commit_head(&control, row_version, &head).await?;
        log::info!("configuration committed version={} change={change_id}", head.version);
        apply_version(&control, head.version, objects.clone());
        record_head(&control, &head);
        head.version
    };
    push_to_owners(&control, published_version);
    let confirmation =
        await_confirmations(&control, published_version, &old_objects, &objects).await;
    for domain in &confirmation.not_confirmed {
        log::warn!("configuration not confirmed domain={domain} version={published_version}");
    }
    Ok(ApplyReply {
        version: published_version,
        change_id,
        in_force: confirmation.in_force.into_iter().collect(),
        not_confirmed: confirmation.not_confirmed.into_iter().collect(),
    })
}

fn conflict_refusal(version: u64) -> PeerRefusal {
    let message = format!(
        "another change was committed first; the current version is {version}, get it and edit again"
    );
    PeerRefusal::new(ErrorKind::Conflict, message)
}

async fn commit_head(
    control: &Control,
    row_version: u64,
    head: &ConfigHead,
) -> Result<(), (PeerRefusal, Option<u64>)> {
    let key = row::CONFIG_HEAD_KEY.to_owned();
    let txn = TableTxn {
        checks: vec![RowCheck { key: key.clone(), version: row_version }],
        puts: vec![RowPut { key, value: serde_json::to_value(head).unwrap_or_default() }],
        deletes: Vec::new(),
    };
    match control.platform.transact(&txn, CALL_TIMEOUT).await {
        Ok(reply) if reply.committed => Ok(()),
        Ok(reply) => {
            let (_, head) = reply.into_conflict::<ConfigHead>();
            let version = head.map_or(0, |head| head.version);
            Err((conflict_refusal(version), Some(version)))
        }
        Err(report) if *report.current_context() == CallFailure::NotDone => {
            let message = "the platform refused the write; nothing was published, retry";
            Err((PeerRefusal::new(ErrorKind::PlatformDown, message), None))
        }
        Err(_) => resolve_lost_reply(control, head).await,
    }
}

/// Reads the head until it shows whether a write without an answer took effect.
async fn resolve_lost_reply(
    control: &Control,
    head: &ConfigHead,
) -> Result<(), (PeerRefusal, Option<u64>)> {
    for _ in 0..10 {
        match read_head(control).await {
            Ok(Some((_, present))) if present.change_id == head.change_id => return Ok(()),
            Ok(Some((_, present))) if present.version >= head.version => {
                return Err((conflict_refusal(present.version), Some(present.version)));
            }
            _ => tokio::time::sleep(CONFIRMATION_POLL_INTERVAL).await,
        }
    }
    let message = "the platform did not tell whether the change was published; \
                   send it again with the same change id";
    Err((PeerRefusal::new(ErrorKind::WriteUnknown, message), None))
}

/// Pushes a version to the owners of all domains, so that they need not wait for their next read.
fn push_to_owners(control: &Control, version: u64) {
    let (body, owners) = {
        let state = control.state();
        let body = serde_json::to_string(&**state.config.objects()).unwrap_or_default();
        (Rc::new(body), state.owners.values().cloned().collect::<Vec<_>>())
    };
    for owner in owners.into_iter().filter(|owner| owner.address != control.member.address) {
        let caller = Rc::clone(control);
        let body = Rc::clone(&body);
        control.spawn(async move {
            let call = caller.peers.offer_config(&owner.address, version, &body, OFFER_TIMEOUT);
            if let Err(report) = call.await {
                log::debug!(
                    "configuration was not pushed to the owner at {}: {report:#}",
                    owner.address
                );
            }
        });
    }
}

async fn await_confirmations(
    control: &Control,
    version: u64,
    old_objects: &ObjectSet,
    new_objects: &ObjectSet,
) -> ConfigConfirmation {
    let start = control.now();
    let mut rows: BTreeMap<DomainName, ConfirmRow> = BTreeMap::new();
    loop {
        let read = TableRead { keys: Vec::new(), prefixes: vec!["confirm/".to_owned()] };
        if let Ok(reply) = control.platform.read(&read, CALL_TIMEOUT).await {
            for table_row in reply.rows {
                let name = table_row.key.strip_prefix("confirm/").unwrap_or_default();
                if let Ok(row) = serde_json::from_value::<ConfirmRow>(table_row.value) {
                    record_confirmed_version(control, DomainName::from(name), row.version);
                    rows.insert(DomainName::from(name), row);
                }
            }
        }
        let confirmation =
            coord_config::compute_confirmation(version, &rows, old_objects, new_objects);
        if confirmation.is_accepted() || control.now().since(start) > MAX_CONFIRMATION_WAIT_MS {
            return confirmation;
        }
        tokio::time::sleep(CONFIRMATION_POLL_INTERVAL).await;
    }
}
