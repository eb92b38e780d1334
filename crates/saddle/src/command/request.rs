//! `saddle request`: sends a request to a queue and prints the endpoint's answer.

use std::time::Duration;

use awc::http::Method;
use getopts::Options;
use model::check::{NAME_RULE, is_valid_name};
use model::kind::ErrorKind;
use wire::api;

use super::{CommandContext, CommandSpec, usage_error};
use crate::client::{ApiAnswer, ApiCall, ResendRule};
use crate::error::{CommandError, CommandResult};
use crate::output::CommandOutput;
use crate::status::ExitStatus;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "request",
    summary: "Send a request to a queue and print its answer",
    synopsis: &["QUEUE [--body TEXT] [--id ID] [--non-idempotent] [--deadline-ms N]"],
    details: "Prints the body of the endpoint's answer unchanged. A request marked \
              --non-idempotent is never\nsent again once it may have reached an entry.",
    add_options: |options: &mut Options| {
        options.optopt("", "body", "body of the request (default: empty)", "TEXT");
        options.optopt("", "id", "id of the request within the team (default: minted)", "ID");
        options.optflag("", "non-idempotent", "the work must not run twice");
        options.optopt("", "deadline-ms", "longest wait for the answer, 1 to 600000", "N");
    },
};

/// Deadline in milliseconds that entries use if none is given, see docs/design.md, section 7.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// Milliseconds beyond the deadline for the entry to report that it has passed.
const DEADLINE_TIMEOUT_MARGIN_MS: u64 = 1000;

pub(super) async fn run(context: &CommandContext, output: &mut CommandOutput) -> CommandResult<()> {
    let [queue] = context.expect_arguments("request")?;
    if !is_valid_name(queue) {
        let message = format!("`{queue}` is not the name of a queue; {NAME_RULE}");
        return Err(usage_error("request", message).into());
    }
    let id = context.matches.opt_str("id");
    if let Some(id) = &id
        && !is_valid_name(id)
    {
        let message = format!("--id: `{id}` is not an id; {NAME_RULE}");
        return Err(usage_error("request", message).into());
    }
    let deadline = context.parse_number("deadline-ms", 1, 600_000)?;
    let mut client = context.client()?;
    if let Some(deadline) = deadline {
        client =
            client.with_min_timeout(Duration::from_millis(deadline + DEADLINE_TIMEOUT_MARGIN_MS));
    }
    let call = build_call(context, queue, id.as_deref(), deadline);
    let answer = client.send(&call).await.map_err(|failure| {
        let error = CommandError::from(failure);
        match (error.status, error.kind) {
            (_, Some(ErrorKind::DuplicateRequest)) => error,
            (ExitStatus::Unknown, _) => explain_unknown_request(error, &call),
            _ => error,
        }
    })?;
    check_answer_id(&answer, &call, id.as_deref())?;
    if context.options.json {
        output.print_json(&serde_json::json!({
            "id": answer.request_id,
            "status": answer.status.as_u16(),
            "body": String::from_utf8_lossy(&answer.body),
        }));
    } else {
        output.print_bytes(&answer.body);
    }
    Ok(())
}

fn build_call(
    context: &CommandContext,
    queue: &str,
    id: Option<&str>,
    deadline: Option<u64>,
) -> ApiCall {
    let mut call = ApiCall::new(Method::POST, format!("{}{queue}/request", api::QUEUE_PREFIX));
    call.resend_within = Some(Duration::from_millis(deadline.unwrap_or(DEFAULT_DEADLINE_MS)));
    call.body = context.matches.opt_str("body").unwrap_or_default().into_bytes();
    if let Some(id) = id {
        call = call.with_header(api::REQUEST_ID_HEADER, id);
    }
    if let Some(deadline) = deadline {
        call = call.with_header(api::DEADLINE_HEADER, deadline.to_string());
    }
    if context.matches.opt_present("non-idempotent") {
        call.resend = ResendRule::Never;
        call = call.with_header(api::IDEMPOTENT_HEADER, "false");
    }
    call
}

/// Adds to an error with an unknown outcome whether the request may be sent again.
///
/// Entries detect duplicate ids only of requests that were marked non-idempotent.
fn explain_unknown_request(error: CommandError, call: &ApiCall) -> CommandError {
    let has_id = call.headers.iter().any(|(name, _)| *name == api::REQUEST_ID_HEADER);
    error.with_next(if has_id && call.resend == ResendRule::Never {
        "the request may have run; the same command cannot run it twice, and answers \
         `duplicate-request` if it was dispatched"
    } else {
        "the request may have run; send it again only if running it twice does no harm"
    })
}

/// Returns an error if the answer has the id of another request.
fn check_answer_id(answer: &ApiAnswer, call: &ApiCall, id: Option<&str>) -> CommandResult<()> {
    match (id, &answer.request_id) {
        (Some(id), Some(found)) if id != found => {
            let message = format!("the answer belongs to request `{found}`, not to `{id}`");
            Err(explain_unknown_request(CommandError::unknown(message, ""), call).into())
        }
        _ => Ok(()),
    }
}
