//! Execution of the steps of a scenario.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use model::name::DomainName;
use serde_json::{Value, json};
use tokio::time;
use wire::platform::VmState;

use super::state::RunState;
use super::{caller, expect, network, operator};
use crate::record::SignalName;
use crate::script::{
    PlaceRef, PlatformFault, ProcessRef, ScriptStep, SignalKind, StepAction, WorkerFault,
};

/// Longest time that a planned stop may take; an entry drains for 30 s by default.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);
/// Longest time until a restarted entry is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Runs one step; the error states why it failed.
pub async fn run_step(state: &Rc<RunState>, dir: &Path, step: &ScriptStep) -> Result<(), String> {
    match &step.action {
        StepAction::Load(plan) => caller::spawn_load(state, plan.clone()),
        StepAction::Job(plan) => caller::spawn_job(state, plan.clone()),
        StepAction::Wait(duration) => time::sleep(*duration).await,
        StepAction::WaitReady(timeout) => wait_until_ready(state, *timeout).await?,
        StepAction::Name(process, alias) => {
            let name = state.resolve_process(process).await?;
            state.aliases.borrow_mut().insert(alias.clone(), name);
        }
        StepAction::Signal { kind, process, alias } => {
            let name = state.resolve_process(process).await?;
            let aliases = alias.iter().map(|alias| (alias.clone(), name.clone()));
            state.aliases.borrow_mut().extend(aliases);
            if *kind == SignalKind::Start {
                start_when_stopped(state, &name).await?;
            } else {
                send_signal(state, &name, *kind)?;
            }
        }
        StepAction::Fault(plan) => network::begin_fault(state, plan, &step.text).await?,
        StepAction::Heal(name) => network::end_faults(state, name.as_deref()).await?,
        StepAction::Platform(fault) => {
            state.set_platform_fault(&platform_fault_body(fault)).await?;
        }
        StepAction::Apply(plan) => {
            operator::apply_changes(state, std::slice::from_ref(plan)).await?;
        }
        StepAction::Race(plans) => operator::apply_changes(state, plans).await?,
        StepAction::Leave(place) => {
            post_to_worker(state, place, "/admin/leave", &json!({})).await?;
        }
        StepAction::WorkerFault(place, fault) => {
            post_to_worker(state, place, "/admin/fault", &worker_fault_body(*fault)).await?;
        }
        StepAction::RollingRestart(domain) => restart_entries(state, domain.as_ref()).await?,
        StepAction::Vm(process, vm) => change_vm(state, process, *vm).await?,
        StepAction::Expect(expectation) => {
            expect::check_expectation(state, dir, expectation).await?;
        }
    }
    Ok(())
}

fn send_signal(state: &RunState, name: &str, kind: SignalKind) -> Result<(), String> {
    let mut children = state.children.borrow_mut();
    let done = match kind {
        SignalKind::Start => children.start(name),
        SignalKind::Kill => children.send_signal(name, SignalName::Kill),
        SignalKind::Pause => children.send_signal(name, SignalName::Stop),
        SignalKind::Resume => children.send_signal(name, SignalName::Continue),
        SignalKind::Terminate => children.send_signal(name, SignalName::Terminate),
    };
    done.map_err(|error| error.to_string())
}

/// Waits until a stopping process has exited, then starts it at the same addresses.
async fn start_when_stopped(state: &RunState, name: &str) -> Result<(), String> {
    let has_ended = || !state.children.borrow().is_stopping(name);
    if state.wait_until(STOP_TIMEOUT, has_ended).await {
        send_signal(state, name, SignalKind::Start)
    } else {
        Err(format!("{name} did not exit in {STOP_TIMEOUT:?}"))
    }
}

/// Waits until all running entries are ready.
async fn wait_until_ready(state: &RunState, timeout: Duration) -> Result<(), String> {
    let unready = || -> Vec<&str> {
        let ready = state.ready.borrow();
        let children = state.children.borrow();
        let running = state.topology.entries.iter().filter(|it| children.is_running(&it.name));
        running.filter(|it| !ready.contains(&it.name)).map(|it| it.name.as_str()).collect()
    };
    if state.wait_until(timeout, || unready().is_empty()).await {
        Ok(())
    } else {
        Err(format!("entries not ready in {timeout:?}: {:?}", unready()))
    }
}

fn platform_fault_body(fault: &PlatformFault) -> Value {
    match fault {
        PlatformFault::Down => json!({"down": true}),
        PlatformFault::Up => json!({}),
        PlatformFault::Slow(delay) => json!({"delay_ms": delay.as_millis()}),
        PlatformFault::LoseReplies { count, prefix: None } => json!({"lose_replies": count}),
        PlatformFault::LoseReplies { count, prefix: Some(prefix) } => {
            json!({"lose_replies": count, "lose_prefix": prefix})
        }
    }
}

fn worker_fault_body(fault: WorkerFault) -> Value {
    json!({
        "fail_tasks": fault.fail_tasks,
        "truncate_answers": fault.truncate_answers,
        "swap_ids": fault.swap_ids,
        "answer_delay_ms": fault.answer_delay.as_millis(),
    })
}

async fn post_to_worker(
    state: &RunState,
    place: &PlaceRef,
    path: &str,
    body: &Value,
) -> Result<(), String> {
    let worker = state.resolve_worker(place)?;
    state.client.post_json(&worker.address, path, body).await
}

async fn change_vm(
    state: &RunState,
    process: &ProcessRef,
    vm: Option<VmState>,
) -> Result<(), String> {
    let name = state.resolve_process(process).await?;
    match vm {
        Some(vm) => state.vms.borrow_mut().insert(name, vm),
        None => state.vms.borrow_mut().remove(&name),
    };
    state.post_vms().await
}

/// Restarts entries one after another, each after the previous one is ready again.
async fn restart_entries(state: &RunState, domain: Option<&DomainName>) -> Result<(), String> {
    let is_wanted = |name: &DomainName| domain.is_none_or(|domain| domain == name);
    for entry in state.topology.entries.iter().filter(|entry| is_wanted(&entry.domain)) {
        let name = &entry.name;
        send_signal(state, name, SignalKind::Terminate)?;
        start_when_stopped(state, name).await?;
        state.mark_unreachable(name);
        wait_until_ready(state, READY_TIMEOUT).await?;
    }
    Ok(())
}
