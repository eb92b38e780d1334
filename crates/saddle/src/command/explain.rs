//! `saddle explain`: tells where a job would go on the platform's daemon, without submitting it.

use std::fmt::Write;

use awc::http::Method;
use getopts::Options;
use model::kind::ErrorBody;
use model::resource::ResourceAmounts;
use plan::explain::{
    ExpectedOutcome, ExplainedStep, ExplainedTeam, Explanation, RefusalReason, UnusableWorkers,
    WaitReason,
};
use plan::order::RankClass;
use plan::preempt::PreemptionVerdict;
use serde_json::{Value, json};

use super::{CommandContext, CommandSpec, usage_error};
use crate::client::{ApiCall, CallFailure, EntryClient};
use crate::error::{CommandError, CommandResult};
use crate::option;
use crate::output::CommandOutput;
use crate::publish;
use crate::status::ExitStatus;

/// Path of the questions on the metrics port of the platform's daemon.
const EXPLAIN_PATH: &str = "/explain";
/// HTTP status with which an entry says that it cannot answer at present.
const UNAVAILABLE_STATUS: u16 = 503;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "explain",
    summary: "Tell where a job would go on the platform, and why",
    synopsis: &["--queue NAME [--team NAME] FILE"],
    details: "FILE holds a job in the platform's form. Nothing is submitted or reserved. `--entry` \
              names the metrics\nport of an entry of the platform's daemon, which has the owner \
              answer. No key is sent. The entries of a\ncell do not answer this command.",
    add_options: |options: &mut Options| {
        options.optopt("", "queue", "queue that would take the job", "NAME");
        options.optopt("", "team", "team that would be charged; none for an open queue", "NAME");
    },
};

pub(super) async fn run(context: &CommandContext, output: &mut CommandOutput) -> CommandResult<()> {
    let [file] = context.expect_arguments("explain")?;
    let queue = context
        .matches
        .opt_str("queue")
        .ok_or_else(|| usage_error("explain", "--queue was not given"))?;
    let question = json!({
        "queue": queue,
        "team": context.matches.opt_str("team"),
        "job": read_job(file)?,
    });
    let call = ApiCall::new(Method::POST, EXPLAIN_PATH).with_json(&question);
    // Checks that an entry was named. The key stays here: the metrics port asks for none.
    context.client()?;
    let options = &context.options;
    let client = EntryClient::new(options.entries.clone(), None, options.timeout);
    let answer = client.send(&call).await.map_err(answer_error)?;
    let explanation: Explanation = answer.parse().map_err(answer_error)?;
    if options.json {
        let document: Value = answer.parse().map_err(answer_error)?;
        output.print_json(&document);
    } else {
        output.print(&describe(&explanation));
    }
    Ok(())
}

fn read_job(file: &str) -> CommandResult<Value> {
    let text = option::read_file(file)?;
    let refuse = |message: String| {
        let next = "write a job in the platform's form, such as `{\"steps\": [{\"count\": 1, \
                    \"cpu\": 1000, \"memMb\": 100, \"estimateMs\": 500}]}`";
        CommandError::refused(format!("`{file}`: {message}"), next)
    };
    let job: Value = serde_json::from_str(&text).map_err(|error| refuse(error.to_string()))?;
    if job.is_object() { Ok(job) } else { Err(refuse("not a JSON object".to_owned()).into()) }
}

/// Converts the failure of a question, which changes nothing, into an error.
fn answer_error(failure: CallFailure) -> CommandError {
    match failure {
        CallFailure::Refused { body, .. } if is_unavailable(&body) => {
            CommandError { status: ExitStatus::Unreachable, ..CommandError::from_body(body) }
        }
        failure => publish::read_error(failure),
    }
}

const fn is_unavailable(body: &ErrorBody) -> bool {
    body.kind.answer().status == UNAVAILABLE_STATUS
}

fn describe(explanation: &Explanation) -> String {
    let Explanation { queue, pool, priority, .. } = explanation;
    let mut text = format!(
        "{}\nqueue {queue}: priority {priority}, pool {pool}, configuration {}",
        describe_outcome(explanation),
        explanation.config_version
    );
    text.push_str(&explanation.team.as_ref().map_or_else(
        || "\nteam: none, so no share and no limit".to_owned(),
        |team| format!("\n{}", describe_team(team)),
    ));
    let _ = write!(
        text,
        "\nrank: {}, due in {} ms",
        rank_name(explanation.rank),
        explanation.due_in_ms
    );
    if explanation.ordered_due_in_ms != explanation.due_in_ms {
        let _ = write!(text, ", ordered as if due in {} ms", explanation.ordered_due_in_ms);
    }
    let room_wait = explanation
        .room_wait_ms
        .map_or_else(|| "not measured yet".to_owned(), |wait_ms| format!("{wait_ms} ms"));
    let _ = write!(text, "\nexpected wait: {room_wait} for capacity");
    if let Some(wait_ms) = explanation.call_wait_ms {
        let _ = write!(text, ", {wait_ms} ms for the calls for advice");
    }
    if explanation.short_of_room {
        text.push_str("; the pool is short of capacity");
    }
    for step in &explanation.steps {
        describe_step(step, &mut text);
    }
    if explanation.further_steps > 0 {
        let _ = write!(text, "\n{} further steps are not shown", explanation.further_steps);
    }
    text
}

fn describe_outcome(explanation: &Explanation) -> String {
    match explanation.outcome {
        ExpectedOutcome::Starts => "the job would start now".to_owned(),
        ExpectedOutcome::AsksForAdvice => {
            "there is room; the job would wait for a call for advice first".to_owned()
        }
        ExpectedOutcome::Waits => "the job would be accepted and wait".to_owned(),
        ExpectedOutcome::NotDue => {
            format!("the job would be accepted; it is due in {} ms", explanation.begins_in_ms)
        }
        ExpectedOutcome::CannotRun => {
            "the job would be accepted, but no registered worker can run one of its steps"
                .to_owned()
        }
        ExpectedOutcome::Refused => describe_refusal(explanation),
    }
}

fn describe_refusal(explanation: &Explanation) -> String {
    let Some(refusal) = explanation.refusal else {
        return "the job would be refused".to_owned();
    };
    let reason = match refusal.reason {
        RefusalReason::Calls => "its calls for advice could not be made in time",
        RefusalReason::Room => "there would be no capacity in time",
        RefusalReason::Share => "its team is beyond its share and others wait",
    };
    let retry = refusal
        .retry_after_s
        .map_or_else(String::new, |(first, last)| format!(", Retry-After {first} to {last} s"));
    format!(
        "the job would be refused: {reason} (wait {} ms, limit {} ms{retry})",
        refusal.wait_ms, refusal.limit_ms
    )
}

fn describe_team(team: &ExplainedTeam) -> String {
    let share = if team.beyond_share { "beyond" } else { "within" };
    let used = |name: &str, used: u64, unreported: u64, limit: Option<u64>| {
        let limit = limit.map_or_else(|| "unlimited".to_owned(), |limit| limit.to_string());
        let unreported =
            if unreported > 0 { format!(" + {unreported} unreported") } else { String::new() };
        format!("{name} {used}{unreported} of {limit}")
    };
    let ExplainedTeam { used: runs, unreported, limit, .. } = team;
    format!(
        "team {}: {share} its share of {} jobs/s; uses {}, {}, {}",
        team.name,
        team.weight,
        used("cpu_millis", runs.cpu_millis, unreported.cpu_millis, limit.cpu_millis),
        used("memory_mb", runs.memory_mb, unreported.memory_mb, limit.memory_mb),
        used("accelerators", runs.accelerators, unreported.accelerators, limit.accelerators),
    )
}

const fn rank_name(class: RankClass) -> &'static str {
    match class {
        RankClass::OnTime => "on time",
        RankClass::Late => "late",
        RankClass::BeyondShare => "beyond the share",
        RankClass::Deferrable => "on time, can wait",
        RankClass::Expired => "expired",
    }
}

fn describe_step(step: &ExplainedStep, text: &mut String) {
    let kind = if step.gang { "a gang of " } else { "" };
    let ResourceAmounts { cpu_millis, memory_mb, accelerators, .. } = step.amounts;
    let _ = write!(
        text,
        "\nstep {}: {kind}{} tasks, each cpu_millis {cpu_millis}, memory_mb {memory_mb}",
        step.step, step.tasks
    );
    if accelerators > 0 {
        let _ = write!(text, ", accelerators {accelerators}");
    }
    let workers = step.workers;
    let label = step
        .label
        .as_ref()
        .map_or_else(String::new, |label| format!("{} with label {label}, ", workers.with_label));
    let _ = write!(
        text,
        "\n  workers: {} in the pool, {label}{} usable{}, {} with room; usable ones: {} slow, {} \
         usual, {} quick",
        workers.in_pool,
        workers.usable,
        describe_unusable(workers.unusable),
        workers.with_room,
        workers.slow,
        workers.usual,
        workers.quick
    );
    if let Some(tasks) = step.team_allows {
        let _ = write!(text, "\n  limit of the team: {tasks} tasks now");
    }
    if let Some(factor) = step.least_speed {
        let _ = write!(text, "\n  speed needed: {factor:.2} of the usual");
    }
    if let Some(advice) = step.advice {
        let share = advice.eligible_share.map_or_else(
            || "the share of eligible workers is not known yet".to_owned(),
            |share| format!("{:.0} % of the workers were eligible", share * 100.0),
        );
        let _ = write!(text, "\n  advice: a call of {} ms, {share}", advice.call_ms);
    }
    let _ = write!(text, "\n  room now: {} tasks", step.startable);
    for place in &step.first_workers {
        let rack = place.rack.as_ref().map_or_else(String::new, |rack| format!("rack {rack}, "));
        let (worker, speed, tasks) = (&place.worker, place.speed.name(), place.tasks);
        let _ = write!(text, "\n    {worker} ({rack}{speed}): {tasks}");
    }
    if let Some(reason) = step.waits_for {
        let _ = write!(text, "\n  waits for: {}", describe_wait(reason, step));
    }
    if let Some(verdict) = describe_preemption(step.preemption) {
        let _ = write!(text, "\n  preemption: {verdict}");
    }
    for run in &step.preempted {
        let (worker, task, priority) = (&run.worker, &run.task, run.priority);
        let _ = write!(text, "\n    {worker}: task {task} of priority {priority}");
    }
}

/// Names the counts that are not 0.
fn describe_unusable(workers: UnusableWorkers) -> String {
    let counts = [
        (workers.draining, "draining"),
        (workers.silent, "silent"),
        (workers.unreported, "unreported"),
        (workers.domain_out, "in a domain that is out"),
        (workers.quarantined, "quarantined"),
        (workers.held, "not listed yet"),
    ];
    let named = counts.iter().filter(|(count, _)| *count > 0);
    let named: Vec<_> = named.map(|(count, reason)| format!("{count} {reason}")).collect();
    if named.is_empty() { String::new() } else { format!(" (not: {})", named.join(", ")) }
}

fn describe_wait(reason: WaitReason, step: &ExplainedStep) -> String {
    match reason {
        WaitReason::NoWorker => "a worker that can run it; none is registered".to_owned(),
        WaitReason::EarlierSteps => {
            let steps: Vec<_> = step.after.iter().map(u32::to_string).collect();
            format!("the steps before it ({})", steps.join(", "))
        }
        WaitReason::TeamLimit => "the limit of its team".to_owned(),
        WaitReason::NoUsableWorker => "a usable worker".to_owned(),
        WaitReason::NoRoom => "room".to_owned(),
    }
}

const fn describe_preemption(verdict: PreemptionVerdict) -> Option<&'static str> {
    match verdict {
        PreemptionVerdict::NotNeeded => None,
        PreemptionVerdict::SwitchedOff => Some("switched off"),
        PreemptionVerdict::NotUrgent => Some("none, the step is not urgent enough"),
        PreemptionVerdict::NotShort => Some("none, the pool is not short of capacity"),
        PreemptionVerdict::InTimeWithout => Some("none, capacity becomes free in time"),
        PreemptionVerdict::TooLate => Some("none, a stop would end too late"),
        PreemptionVerdict::NoVictims => Some("none, no run may be stopped"),
        PreemptionVerdict::Preempts => Some("these runs would be stopped"),
    }
}
