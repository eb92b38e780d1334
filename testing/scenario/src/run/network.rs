//! Network faults, which the proxy process applies as rules.

use std::collections::BTreeSet;

use serde_json::{Value, json};

use super::state::RunState;
use super::topology::EntryNode;
use crate::record::RunnerEvent;
use crate::script::{FaultKind, FaultPlan, FaultWay, LinkSide};

/// Name of the proxy's link to the platform.
pub const PLATFORM_LINK: &str = "platform";

/// A network fault that is active, with its proxy rules.
#[derive(Clone, Debug)]
pub struct ActiveFault {
    name: String,
    rules: Vec<Value>,
}

/// Addresses and links that identify the traffic of one side of a fault.
#[derive(Default)]
struct SideTraffic {
    /// Source IPs of the connections that it opens.
    ips: Vec<String>,
    /// Proxy links through which it is reached.
    links: Vec<String>,
    /// Names of the entries on this side.
    entries: Vec<String>,
}

impl SideTraffic {
    fn add_entry(&mut self, entry: &EntryNode) {
        self.ips.push(entry.ip.clone());
        self.links.push(entry.name.clone());
        self.entries.push(entry.name.clone());
    }
}

/// Collects the addresses and links of one side of a fault.
async fn resolve_side(state: &RunState, side: &LinkSide) -> Result<SideTraffic, String> {
    let mut traffic = SideTraffic::default();
    let workers = &state.topology.workers;
    match side {
        LinkSide::Platform => traffic.links.push(PLATFORM_LINK.to_owned()),
        LinkSide::Workers => {
            traffic.links.extend(workers.iter().map(|worker| worker.name.to_string()));
        }
        LinkSide::Worker(place) => {
            traffic.links.push(state.resolve_worker(place)?.name.to_string());
        }
        LinkSide::Entry(entry) => traffic.add_entry(state.resolve_entry(entry).await?),
        LinkSide::Domain(domain) => {
            state.topology.domain_entries(domain).for_each(|entry| traffic.add_entry(entry));
            let domain_workers = workers.iter().filter(|worker| worker.domain == *domain);
            traffic.links.extend(domain_workers.map(|worker| worker.name.to_string()));
        }
    }
    Ok(traffic)
}

const fn reverse(way: FaultWay) -> FaultWay {
    match way {
        FaultWay::Both => FaultWay::Both,
        FaultWay::ToTarget => FaultWay::ToClient,
        FaultWay::ToClient => FaultWay::ToTarget,
    }
}

/// Builds the rule for connections that one side opens to the other, if it does.
fn build_rule(
    kind: FaultKind,
    from: &SideTraffic,
    to: &SideTraffic,
    way: FaultWay,
) -> Option<Value> {
    if from.ips.is_empty() || to.links.is_empty() {
        return None;
    }
    let (effect, delay) = match kind {
        FaultKind::Cut => ("cut", None),
        FaultKind::Freeze => ("freeze", None),
        FaultKind::DropReplies => ("drop-replies", None),
        FaultKind::Reset => ("reset", None),
        FaultKind::Delay(delay) => ("delay", Some(delay)),
    };
    let way = match way {
        FaultWay::Both => "both",
        FaultWay::ToTarget => "to-target",
        FaultWay::ToClient => "to-client",
    };
    let mut rule = json!({"from": from.ips, "links": to.links, "effect": effect, "way": way});
    if let Some(delay) = delay {
        rule["delay_ms"] = json!(delay.as_millis());
    }
    Some(rule)
}

/// Starts a network fault.
///
/// Both sides may open connections, so a fault has one rule for each side that
/// does. `drop-replies` affects only replies to connections of the left side.
pub async fn begin_fault(state: &RunState, plan: &FaultPlan, text: &str) -> Result<(), String> {
    let left = resolve_side(state, &plan.left).await?;
    let right = resolve_side(state, &plan.right).await?;
    let mut rules: Vec<Value> =
        build_rule(plan.kind, &left, &right, plan.way).into_iter().collect();
    if plan.kind != FaultKind::DropReplies {
        rules.extend(build_rule(plan.kind, &right, &left, reverse(plan.way)));
    }
    if rules.is_empty() {
        return Err("neither of these sides opens connections to the other".to_owned());
    }
    let number = state.next_number();
    let name = plan.alias.clone().unwrap_or_else(|| format!("fault-{number}"));
    let affected: BTreeSet<&String> = left.entries.iter().chain(&right.entries).collect();
    state.journal.record_runner(RunnerEvent::FaultBegan {
        fault: name.clone(),
        effect: text.to_owned(),
        entries: affected.into_iter().cloned().collect(),
        platform: plan.left == LinkSide::Platform || plan.right == LinkSide::Platform,
    });
    state.faults.borrow_mut().push(ActiveFault { name, rules });
    post_rules(state).await
}

/// Ends one network fault, or all.
pub async fn end_faults(state: &RunState, wanted: Option<&str>) -> Result<(), String> {
    let is_wanted = |fault: &ActiveFault| wanted.is_none_or(|name| fault.name == name);
    let (ended, remaining) = state.faults.take().into_iter().partition::<Vec<_>, _>(is_wanted);
    state.faults.replace(remaining);
    let posted = post_rules(state).await;
    for fault in ended {
        state.journal.record_runner(RunnerEvent::FaultEnded { fault: fault.name });
    }
    posted
}

/// Replaces the proxy's rules by those of all active faults.
async fn post_rules(state: &RunState) -> Result<(), String> {
    let rules: Vec<Value> =
        state.faults.borrow().iter().flat_map(|fault| fault.rules.clone()).collect();
    state.client.post_json(&state.topology.proxy_admin, "/admin/rules", &rules).await
}
