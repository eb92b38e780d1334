//! `saddle submit`: submits a job.

use awc::http::Method;
use getopts::Options;
use model::check::{NAME_RULE, is_valid_name};
use model::job::{JobRecord, JobSpec};
use model::resource::ResourceAmounts;
use serde_json::{Map, Value};
use wire::api::{self, SubmitReply};

use super::{CommandContext, CommandSpec, usage_error};
use crate::client::{ApiCall, CallFailure, EntryClient, ResendRule, encode_path_segment};
use crate::error::{CommandError, CommandResult};
use crate::option;
use crate::output::CommandOutput;
use crate::publish;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "submit",
    summary: "Submit a job",
    synopsis: &["FILE", "--queue QUEUE --tasks N --cpu-millis N [OPTIONS]"],
    details: "Submits the job in FILE, or one described by options, and prints its id. The id is \
              minted when\nit is left out. The same job is never accepted twice: when a reply is \
              lost, the job is looked up.",
    add_options: |options: &mut Options| {
        options.optopt("", "id", "id of the job (default: minted)", "ID");
        options.optopt("", "queue", "queue that the job is submitted to", "QUEUE");
        options.optopt("", "tasks", "number of tasks, 1 to 10000", "N");
        options.optopt("", "cpu-millis", "thousandths of a core a task", "N");
        options.optopt("", "memory-mb", "mebibytes of memory a task", "N");
        options.optopt("", "accelerators", "accelerators a task", "N");
        options.optopt("", "run-ms", "declared run time of a task; 0 for unknown", "N");
        options.optopt("", "payload", "input passed to every task", "JSON");
    },
};

/// Options that describe a job; they are not accepted together with a file.
const JOB_OPTIONS: [&str; 7] =
    ["queue", "tasks", "cpu-millis", "memory-mb", "accelerators", "run-ms", "payload"];

/// Largest accepted amount of a resource, more than any worker has; larger numbers are mistakes.
const MAX_AMOUNT: u64 = 1 << 40;

pub(super) async fn run(context: &CommandContext, output: &mut CommandOutput) -> CommandResult<()> {
    let spec = match context.arguments.as_slice() {
        [] => from_options(context)?,
        [file] => from_file(context, file)?,
        _ => return Err(usage_error("submit", "more than one FILE was given").into()),
    };
    check_spec(&spec)?;
    let reply = send_job(&context.client()?, &spec).await?;
    if context.options.json {
        output.print_json(&reply);
    } else {
        output.print(reply.job.as_str());
        output.print_stderr(&format!("accepted; runs in domain {}", reply.domain));
    }
    Ok(())
}

fn from_file(context: &CommandContext, file: &str) -> CommandResult<JobSpec> {
    if let Some(option) = JOB_OPTIONS.iter().find(|option| context.matches.opt_present(option)) {
        let message = format!("--{option} was given together with FILE");
        return Err(usage_error("submit", message).into());
    }
    let text = option::read_file(file)?;
    let refuse = |error: serde_json::Error| {
        let message = format!("`{file}` is not a job: {error}");
        CommandError::refused(message, "correct the field; docs/cli.md shows a job")
    };
    let mut fields: Map<String, Value> = serde_json::from_str(&text).map_err(refuse)?;
    if let Some(id) = context.matches.opt_str("id") {
        fields.insert("id".to_owned(), id.into());
    }
    fields.entry("id").or_insert_with(|| publish::generate_id().into());
    Ok(serde_json::from_value(Value::Object(fields)).map_err(refuse)?)
}

fn from_options(context: &CommandContext) -> CommandResult<JobSpec> {
    let missing =
        |option: &str| usage_error("submit", format!("neither FILE nor --{option} was given"));
    let amount = |name| context.parse_number(name, 0, MAX_AMOUNT).map(Option::unwrap_or_default);
    let queue = context.matches.opt_str("queue").ok_or_else(|| missing("queue"))?;
    let tasks = context.parse_number("tasks", 1, 10_000)?.ok_or_else(|| missing("tasks"))?;
    let cpu_millis =
        context.parse_number("cpu-millis", 0, MAX_AMOUNT)?.ok_or_else(|| missing("cpu-millis"))?;
    let payload = match context.matches.opt_str("payload") {
        Some(text) => serde_json::from_str(&text).map_err(|error| {
            usage_error("submit", format!("--payload: the text is not JSON: {error}"))
        })?,
        None => Value::Null,
    };
    Ok(JobSpec {
        id: context.matches.opt_str("id").unwrap_or_else(publish::generate_id).into(),
        queue: queue.into(),
        tasks: u32::try_from(tasks).unwrap_or(u32::MAX),
        amounts: ResourceAmounts {
            cpu_millis,
            memory_mb: amount("memory-mb")?,
            accelerators: amount("accelerators")?,
            slots: 0,
        },
        run_ms: amount("run-ms")?,
        payload,
    })
}

fn check_spec(spec: &JobSpec) -> CommandResult<()> {
    let label = format!("job {}", spec.id);
    let refuse = |field: &str, message: String| {
        let next = "correct the field and submit the job again";
        Err(CommandError::refused(format!("{label}: {field}: {message}"), next).into())
    };
    if !is_valid_name(spec.id.as_str()) {
        return refuse("id", format!("`{}` is not an id; {NAME_RULE}", spec.id));
    }
    if !is_valid_name(spec.queue.as_str()) {
        return refuse("queue", format!("`{}` is not a name; {NAME_RULE}", spec.queue));
    }
    if !(1..=10_000).contains(&spec.tasks) {
        return refuse("tasks", format!("{} is out of range; accepted is 1 to 10000", spec.tasks));
    }
    if spec.amounts.is_zero() {
        return refuse("amounts", "every amount is 0; at least one must be above 0".to_owned());
    }
    Ok(())
}

/// Sends a job once; after a lost reply the job is looked up and not sent again.
///
/// Another entry may pass the job on to another domain, where the same id would
/// be accepted a second time.
async fn send_job(client: &EntryClient, spec: &JobSpec) -> CommandResult<SubmitReply> {
    let mut call = ApiCall::new(Method::POST, api::JOB_PATH).with_json(spec);
    call.resend = ResendRule::Never;
    match client.send(&call).await.and_then(|answer| answer.parse()) {
        Ok(reply) => Ok(reply),
        Err(CallFailure::Lost(reason)) => look_up_job(client, spec, &reason).await,
        Err(CallFailure::Refused { body, .. })
            if body.outcome == model::kind::RequestOutcome::Unknown =>
        {
            look_up_job(client, spec, &body.message).await
        }
        Err(failure) => Err(CommandError::from(failure).into()),
    }
}

async fn look_up_job(
    client: &EntryClient,
    spec: &JobSpec,
    reason: &str,
) -> CommandResult<SubmitReply> {
    let path = format!("{}/{}", api::JOB_PATH, encode_path_segment(spec.id.as_str()));
    let found = client.send(&ApiCall::new(Method::GET, path)).await;
    match found.and_then(|answer| answer.parse::<JobRecord>()) {
        Ok(record) if record.spec == *spec => {
            Ok(SubmitReply { job: record.spec.id, domain: record.domain })
        }
        Ok(_) => {
            let message = format!("job {}: id: another job has this id", spec.id);
            Err(CommandError::refused(message, "submit it with another `--id`").into())
        }
        Err(_) => {
            let message = format!("it is not known whether job {} was accepted: {reason}", spec.id);
            let next = format!(
                "run `saddle status {0}` in a few seconds; only if it is still not found, submit \
                 the job again with `--id {0}`",
                spec.id
            );
            Err(CommandError::unknown(message, next).into())
        }
    }
}
