//! Test operators that change the configuration and track the results.

use std::rc::Rc;
use std::time::Duration;

use awc::http::Method;
use futures_util::future;
use model::object::ObjectSet;
use tokio::time::{self, Instant};
use wire::api::{self, ApplyReply, ConfigDocument};
use wire::history::OperatorEvent;

use super::config;
use super::http::HttpCall;
use super::state::{POLL_INTERVAL, RunState};
use super::topology::EntryNode;
use crate::script::{ApplyPlan, ApplyState};

/// Longest wait for an entry to serve the newest known configuration.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time that an operator waits for the answer to a change.
const APPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time until the first configuration is in force everywhere.
const FIRST_CONFIG_TIMEOUT: Duration = Duration::from_secs(15);
/// Time before the first configuration is sent again.
const FIRST_CONFIG_RETRY_DELAY: Duration = Duration::from_millis(200);

/// A change that was applied in this run.
#[derive(Clone, Debug)]
pub struct AppliedChange {
    /// Name by which expectations refer to it.
    pub alias: Option<String>,
    /// Its state; absent while it has no answer or its result is unknown.
    pub state: Option<ApplyState>,
    /// Status and body of the last answer, or the error of the call.
    pub answer: String,
    id: String,
    /// Version under which it was committed, or 0.
    version: u64,
}

/// A change that is ready to send, with its base version.
struct PreparedChange<'a> {
    /// Index of the change in `RunState::changes`.
    index: usize,
    id: String,
    /// Version that the change is based on.
    base: u64,
    objects: ObjectSet,
    entry: &'a EntryNode,
}

/// Applies changes at the same time, all based on versions read before any is sent.
///
/// Several changes are a race, which later expectations refer to.
pub async fn apply_changes(state: &RunState, plans: &[ApplyPlan]) -> Result<(), String> {
    let mut prepared = Vec::new();
    for plan in plans {
        prepared.push(prepare_change(state, plan).await?);
    }
    let indices = prepared.iter().map(|change| change.index).collect();
    future::join_all(prepared.iter().map(|change| send_change(state, change))).await;
    if plans.len() > 1 {
        state.race.replace(indices);
    }
    Ok(())
}

/// Reads the current objects from an entry and applies a planned edit to them.
async fn prepare_change<'a>(
    state: &'a RunState,
    plan: &ApplyPlan,
) -> Result<PreparedChange<'a>, String> {
    let entry = match &plan.via {
        Some(entry) => state.resolve_entry(entry).await?,
        None => state.any_entry()?,
    };
    let document = read_config(state, entry).await?;
    let mut objects = document.objects;
    config::edit_objects(&mut objects, &plan.change, state.topology.total_capacity());
    let (index, id) = register_change(state, plan.alias.clone());
    Ok(PreparedChange { index, id, base: document.version, objects, entry })
}

/// Reads the configuration of an entry once it has the newest known version.
///
/// An entry may not have a change yet that was made through another entry, and a
/// change based on an older version would only cause a conflict.
async fn read_config(state: &RunState, entry: &EntryNode) -> Result<ConfigDocument, String> {
    let known = state.changes.borrow().iter().map(|change| change.version).max().unwrap_or(0);
    let end = Instant::now() + READ_TIMEOUT;
    loop {
        let read: Result<ConfigDocument, _> =
            state.client.get_json(&entry.http, api::CONFIG_PATH, READ_TIMEOUT).await;
        let document = read.map_err(|error| format!("configuration of {}: {error}", entry.name))?;
        if document.version >= known {
            return Ok(document);
        }
        if Instant::now() >= end {
            return Err(format!(
                "entry {} has configuration version {}, older than {known}",
                entry.name, document.version
            ));
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

/// Adds a change that is not sent yet; returns its index and identifier.
fn register_change(state: &RunState, alias: Option<String>) -> (usize, String) {
    let id = format!("change-{}", state.next_number());
    let mut changes = state.changes.borrow_mut();
    changes.push(AppliedChange {
        alias,
        state: None,
        answer: "not answered".to_owned(),
        id: id.clone(),
        version: 0,
    });
    (changes.len() - 1, id)
}

/// Sends a change and records its answer.
async fn send_change(state: &RunState, change: &PreparedChange<'_>) {
    state.journal.record_operator(OperatorEvent::Sent {
        change_id: change.id.clone(),
        objects: change.objects.clone(),
    });
    let call = HttpCall {
        method: Method::PUT,
        address: &change.entry.http,
        path: api::CONFIG_PATH,
        headers: vec![
            (api::BASE_VERSION_HEADER, change.base.to_string()),
            (api::CHANGE_ID_HEADER, change.id.clone()),
        ],
        body: serde_json::to_vec(&change.objects).unwrap_or_default(),
        timeout: APPLY_TIMEOUT,
    };
    let answer = state.client.send(call).await;
    let status = answer.as_ref().map_or(0, |answer| answer.status.as_u16());
    let reply: Option<ApplyReply> = match (&answer, status) {
        (Ok(answer), 200 | 202) => {
            let reply = answer.parse_json();
            let record_error =
                |error| state.journal.record_problem(format!("answer to {}: {error}", change.id));
            reply.map_err(record_error).ok()
        }
        _ => None,
    };
    let version = reply.as_ref().map_or(0, |reply| reply.version);
    let (in_force, not_confirmed) =
        reply.map(|reply| (reply.in_force, reply.not_confirmed)).unwrap_or_default();
    let change_id = change.id.clone();
    state.journal.record_operator(OperatorEvent::Received {
        change_id,
        status,
        version,
        in_force,
        not_confirmed,
    });
    let mut changes = state.changes.borrow_mut();
    let Some(applied) = changes.get_mut(change.index) else { return };
    applied.version = version;
    applied.answer = match &answer {
        Ok(answer) => format!("{status} {}", String::from_utf8_lossy(&answer.body)),
        Err(error) => error.clone(),
    };
    applied.state = match status {
        200 => Some(ApplyState::Accepted),
        202 => Some(ApplyState::Pending),
        409 => Some(ApplyState::Conflict),
        400..500 | 503 => Some(ApplyState::Refused),
        _ => None,
    };
}

impl RunState {
    /// Records pending changes that every domain has confirmed by now as accepted.
    pub fn record_confirmations(&self) {
        let statuses = self.statuses.borrow();
        let confirmed = |domain| {
            let reported = statuses.values().flat_map(|status| &status.domains);
            reported.filter(|it| it.name == domain).map(|it| it.confirmed).max().unwrap_or(0)
        };
        let domains: Vec<_> = self.layout.domains.iter().map(|it| it.name.clone()).collect();
        let lowest = domains.iter().map(|domain| confirmed(domain.clone())).min().unwrap_or(0);
        for change in self.changes.borrow_mut().iter_mut() {
            if change.state == Some(ApplyState::Pending) && change.version <= lowest {
                change.state = Some(ApplyState::Accepted);
                self.journal.record_operator(OperatorEvent::Received {
                    change_id: change.id.clone(),
                    status: 200,
                    version: change.version,
                    in_force: domains.clone(),
                    not_confirmed: Vec::new(),
                });
            }
        }
    }
}

/// Publishes the first configuration and waits until it is in force everywhere.
///
/// The change is retried while entries answer that it was not committed, because
/// they may not have reached the platform yet.
pub async fn publish_first_config(state: &Rc<RunState>) -> Result<(), String> {
    let objects = config::build_objects(&state.layout, &state.topology);
    let end = Instant::now() + FIRST_CONFIG_TIMEOUT;
    let (index, id) = register_change(state, None);
    loop {
        let entry = state.any_entry()?;
        let change =
            PreparedChange { index, id: id.clone(), base: 0, objects: objects.clone(), entry };
        send_change(state, &change).await;
        let (reached, answer) = {
            let changes = state.changes.borrow();
            (changes[index].state, changes[index].answer.clone())
        };
        match reached {
            Some(ApplyState::Accepted | ApplyState::Pending) => break,
            Some(ApplyState::Conflict) => {
                return Err(format!(
                    "the first configuration conflicts with another one: {answer}"
                ));
            }
            _ if Instant::now() >= end || answer.starts_with("422") => {
                return Err(format!("the first configuration was not committed: {answer}"));
            }
            _ => time::sleep(FIRST_CONFIG_RETRY_DELAY).await,
        }
    }
    while state.changes.borrow().get(index).and_then(|it| it.state) != Some(ApplyState::Accepted) {
        if Instant::now() >= end {
            return Err("the first configuration was not confirmed by every domain".to_owned());
        }
        time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
