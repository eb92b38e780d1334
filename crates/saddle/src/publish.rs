//! Publication of configuration changes by compare-and-swap on the version.

use std::time::{Duration, Instant};

use awc::http::Method;
use error_stack::Report;
use model::check;
use model::kind::{ErrorKind, RequestOutcome};
use model::name::DomainName;
use model::object::ObjectSet;
use wire::api::{self, ApplyReply, ConfigDocument, StatusReply};

use crate::client::{ApiCall, CallFailure, EntryClient};
use crate::error::{CommandError, CommandResult};
use crate::output::CommandOutput;
use crate::status::ExitStatus;

/// Maximum number of attempts to publish an edit, or to read the configuration
/// from entries that may lag behind.
const MAX_EDIT_ATTEMPTS: usize = 6;

/// Delay in milliseconds before the next attempt.
///
/// Entries read the current version every 500 ms, so all attempts together last
/// for several of these reads.
const CONFLICT_RETRY_DELAY_MS: u64 = 300;

/// Longest wait for the confirmations of a version that is already published.
///
/// An entry that publishes a change waits equally long for confirmations. Its
/// status shows new confirmations only every 2 s.
const MAX_CONFIRMATION_WAIT: Duration = Duration::from_secs(5);

/// Whether an edit changed the object set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EditOutcome {
    /// The set was changed and is to be published.
    Changed,
    /// The set already has the change.
    AlreadyDone,
}

/// Why a `PUT` of the configuration got no [`ApplyReply`].
enum PutFailure {
    /// Another change was committed first.
    ///
    /// With `maybe_applied`, this change may have been committed as well: the
    /// reply to an earlier send of it was lost.
    Conflict {
        version: Option<u64>,
        maybe_applied: bool,
    },
    Other(CallFailure),
}

/// Generates an identifier of 128 random bits.
pub(crate) fn generate_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

/// Reads the published configuration.
pub(crate) async fn fetch_config(client: &EntryClient) -> CommandResult<ConfigDocument> {
    let call = ApiCall::new(Method::GET, api::CONFIG_PATH);
    let document = client.send(&call).await.and_then(|answer| answer.parse());
    Ok(document.map_err(read_error)?)
}

/// Converts the failure of a read into an error; a lost read changed nothing.
pub(crate) fn read_error(failure: CallFailure) -> CommandError {
    match failure {
        CallFailure::Lost(reason) => CommandError::new(
            ExitStatus::Unreachable,
            format!("no entry gave a complete answer: {reason}"),
            "try again, or name another entry with `--entry`; nothing was changed",
        ),
        failure => failure.into(),
    }
}

async fn put_config(
    client: &EntryClient,
    base: u64,
    change_id: &str,
    objects: &ObjectSet,
) -> Result<ApplyReply, PutFailure> {
    let call = ApiCall::new(Method::PUT, api::CONFIG_PATH)
        .with_header(api::BASE_VERSION_HEADER, base.to_string())
        .with_header(api::CHANGE_ID_HEADER, change_id)
        .with_json(objects);
    match client.send(&call).await.and_then(|answer| answer.parse()) {
        Ok(reply) => Ok(reply),
        Err(CallFailure::Refused { body, lost_before }) if body.kind == ErrorKind::Conflict => {
            Err(PutFailure::Conflict { version: body.version, maybe_applied: lost_before })
        }
        // A refusal after a lost reply proves nothing about the send whose reply was lost.
        Err(CallFailure::Refused { body, lost_before })
            if lost_before || body.outcome == RequestOutcome::Unknown =>
        {
            Err(PutFailure::Other(CallFailure::Lost(format!("{}: {}", body.kind, body.message))))
        }
        Err(failure) => Err(PutFailure::Other(failure)),
    }
}

/// Publishes a whole set as the successor of version `base`.
pub(crate) async fn publish_set(
    client: &EntryClient,
    base: u64,
    objects: &ObjectSet,
) -> CommandResult<ApplyReply> {
    let change_id = generate_id();
    match put_config(client, base, &change_id, objects).await {
        Ok(reply) => Ok(reply),
        Err(PutFailure::Conflict { version, maybe_applied: false }) => {
            Err(conflict_error(base, version).into())
        }
        Err(PutFailure::Conflict { version, maybe_applied: true }) => {
            resolve_lost_reply(client, base, &change_id, version).await
        }
        Err(PutFailure::Other(CallFailure::Lost(reason))) => {
            match resolve_lost_reply(client, base, &change_id, None).await {
                Ok(reply) => Ok(reply),
                Err(report) if report.current_context().status == ExitStatus::Conflict => {
                    Err(report)
                }
                Err(_) => Err(unknown_error(base, &reason).into()),
            }
        }
        Err(PutFailure::Other(failure)) => Err(CommandError::from(failure).into()),
    }
}

/// Finds out which change followed version `base`, after the reply to this change was lost.
async fn resolve_lost_reply(
    client: &EntryClient,
    base: u64,
    change_id: &str,
    committed_version: Option<u64>,
) -> CommandResult<ApplyReply> {
    let min_version = committed_version.unwrap_or(base + 1).max(base + 1);
    for _ in 0..MAX_EDIT_ATTEMPTS {
        let document = fetch_config(client).await?;
        if document.change_id == change_id {
            return Ok(wait_for_confirmations(client, document).await);
        }
        // An entry that does not know yet which change made the version sends an empty change id.
        if document.version >= min_version && !document.change_id.is_empty() {
            // Versions have no gaps: if another change is the next version, this one cannot be
            // committed any more. If the version is higher, the change that made the next version
            // is not known any more.
            return Err(if document.version == base + 1 {
                conflict_error(base, Some(document.version)).into()
            } else {
                unknown_error(base, "other changes have been committed since").into()
            });
        }
        actix_rt::time::sleep(Duration::from_millis(CONFLICT_RETRY_DELAY_MS)).await;
    }
    Err(unknown_error(base, "the version did not become visible").into())
}

fn conflict_error(base: u64, version: Option<u64>) -> CommandError {
    let current = version.map_or_else(String::new, |version| format!(" (now {version})"));
    let message = format!(
        "the configuration is no longer at version {base}{current}; nothing of this change was \
         published"
    );
    let next = "read the current set with `saddle get`, put your change into it, and run `saddle \
                apply FILE --base` with the version read";
    CommandError {
        kind: Some(ErrorKind::Conflict),
        version,
        ..CommandError::new(ExitStatus::Conflict, message, next)
    }
}

fn unknown_error(base: u64, reason: &str) -> CommandError {
    let message =
        format!("it is not known whether the change on version {base} is committed: {reason}");
    let next = format!(
        "run `saddle get` to see the version and the objects; repeating `saddle apply FILE --base \
         {base}` cannot apply the change twice"
    );
    CommandError::unknown(message, next)
}

/// Reads, edits and publishes the configuration, and repeats this after a conflict.
///
/// The second argument of `edit` is whether an earlier attempt of it may have
/// been committed.
pub(crate) async fn edit_config(
    client: &EntryClient,
    mut edit: impl FnMut(&mut ObjectSet, bool) -> CommandResult<EditOutcome>,
) -> CommandResult<ApplyReply> {
    let mut maybe_applied = false;
    let mut min_version = 0;
    let mut base = 0;
    for attempt in 0..MAX_EDIT_ATTEMPTS {
        if attempt > 0 {
            actix_rt::time::sleep(Duration::from_millis(CONFLICT_RETRY_DELAY_MS)).await;
        }
        let document = fetch_config(client)
            .await
            .map_err(|report| mark_outcome_unknown(report, maybe_applied))?;
        if document.version < min_version {
            // This entry does not know the version of the conflicting change yet.
            continue;
        }
        base = document.version;
        let mut objects = document.objects.clone();
        if edit(&mut objects, maybe_applied)? == EditOutcome::AlreadyDone {
            return Ok(wait_for_confirmations(client, document).await);
        }
        let problems = check::check_set(&objects);
        if !problems.is_empty() {
            return Err(CommandError::problems("the edited object set", problems).into());
        }
        match put_config(client, base, &generate_id(), &objects).await {
            Ok(reply) => return Ok(reply),
            Err(PutFailure::Conflict { version, maybe_applied: lost }) => {
                maybe_applied |= lost;
                min_version = version.unwrap_or(base + 1);
            }
            Err(PutFailure::Other(CallFailure::Lost(reason))) => {
                return find_lost_edit(client, edit, &reason).await;
            }
            Err(PutFailure::Other(failure)) => {
                return Err(mark_outcome_unknown(
                    CommandError::from(failure).into(),
                    maybe_applied,
                ));
            }
        }
    }
    let error = conflict_error(base, Some(min_version))
        .with_next("other operators are editing as well; run the command again in a few seconds");
    Err(mark_outcome_unknown(error.into(), maybe_applied))
}

/// Checks whether an edit whose reply was lost is in the published set.
async fn find_lost_edit(
    client: &EntryClient,
    mut edit: impl FnMut(&mut ObjectSet, bool) -> CommandResult<EditOutcome>,
    reason: &str,
) -> CommandResult<ApplyReply> {
    let message = format!("it is not known whether the change is committed: {reason}");
    let next = "run `saddle get` to see whether the change is in the set before repeating it";
    let unknown = CommandError::unknown(message, next);
    actix_rt::time::sleep(Duration::from_millis(CONFLICT_RETRY_DELAY_MS)).await;
    let Ok(document) = fetch_config(client).await else {
        return Err(unknown.into());
    };
    let mut objects = document.objects.clone();
    match edit(&mut objects, true) {
        Ok(EditOutcome::AlreadyDone) => Ok(wait_for_confirmations(client, document).await),
        _ => Err(unknown.into()),
    }
}

/// Turns an error into an unknown outcome if an earlier attempt may have been committed.
fn mark_outcome_unknown(report: Report<CommandError>, maybe_applied: bool) -> Report<CommandError> {
    if !maybe_applied {
        return report;
    }
    let message = format!("an earlier reply was lost, then: {}", report.current_context().message);
    let next = "run `saddle get` to see whether the change is in the set before repeating it";
    report.change_context(CommandError::unknown(message, next))
}

/// Waits until all domains have confirmed a published version, for a limited time.
///
/// If the status cannot be read, the reply lists no confirmed domain; the change
/// is committed nevertheless.
async fn wait_for_confirmations(client: &EntryClient, document: ConfigDocument) -> ApplyReply {
    let start = Instant::now();
    let (version, change_id) = (document.version, document.change_id);
    loop {
        let status = fetch_status(client).await.ok();
        let is_confirmed = |name: &DomainName| {
            let mut domains = status.iter().flat_map(|status| &status.domains);
            domains.any(|found| found.name == *name && found.confirmed >= version)
        };
        let names = document.objects.domains.iter().map(|domain| domain.name.clone());
        let (in_force, not_confirmed): (_, Vec<_>) = names.partition(is_confirmed);
        if not_confirmed.is_empty() || status.is_none() || start.elapsed() >= MAX_CONFIRMATION_WAIT
        {
            return ApplyReply { version, change_id, in_force, not_confirmed };
        }
        actix_rt::time::sleep(Duration::from_millis(CONFLICT_RETRY_DELAY_MS)).await;
    }
}

/// Reads the status of the first entry that can be reached.
pub(crate) async fn fetch_status(client: &EntryClient) -> CommandResult<StatusReply> {
    let call = ApiCall::new(Method::GET, api::STATUS_PATH);
    let status = client.send(&call).await.and_then(|answer| answer.parse());
    Ok(status.map_err(read_error)?)
}

/// Prints in which domains a change is in force, and sets the exit code.
pub(crate) fn print_reply(reply: &ApplyReply, json: bool, output: &mut CommandOutput) {
    if json {
        output.print_json(reply);
    } else {
        output.print(&describe_reply(reply));
    }
    if !reply.not_confirmed.is_empty() {
        output.status = ExitStatus::NotConfirmed;
    }
}

/// Describes in which domains a change is in force.
pub(crate) fn describe_reply(reply: &ApplyReply) -> String {
    if reply.not_confirmed.is_empty() {
        return format!("version {} is in force everywhere", reply.version);
    }
    let join = |names: &[DomainName]| {
        let names: Vec<&str> = names.iter().map(DomainName::as_str).collect();
        if names.is_empty() { "none".to_owned() } else { names.join(", ") }
    };
    format!(
        "version {} is committed but not confirmed everywhere\n  in force in: {}\n  not confirmed \
         by: {}\nIt cannot be lost any more; `saddle status` shows when the others confirm it.",
        reply.version,
        join(&reply.in_force),
        join(&reply.not_confirmed)
    )
}
