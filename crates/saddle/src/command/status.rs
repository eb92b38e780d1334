//! `saddle status`: prints the state of a job, or of an entry and its domain.

use std::fmt::Write;

use awc::http::Method;
use getopts::Options;
use model::job::{JobRecord, JobState};
use model::object::DomainState;
use wire::api::{self, StatusReply};

use super::{CommandContext, CommandSpec, usage_error};
use crate::client::{ApiCall, encode_path_segment};
use crate::error::CommandResult;
use crate::output::CommandOutput;
use crate::publish;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "status",
    summary: "Print the state of a job, or of an entry and the domains",
    synopsis: &["[JOB]"],
    details: "Without JOB, prints what the first entry that can be reached knows: the versions \
              that the owners of\nthe domains have confirmed, and the workers where that entry is \
              the owner.",
    add_options: |_: &mut Options| {},
};

pub(super) async fn run(context: &CommandContext, output: &mut CommandOutput) -> CommandResult<()> {
    let client = context.client()?;
    match context.arguments.as_slice() {
        [] => {
            let status = publish::fetch_status(&client).await?;
            if context.options.json {
                output.print_json(&status);
            } else {
                output.print(&describe_status(&status));
            }
        }
        [job] => {
            let path = format!("{}/{}", api::JOB_PATH, encode_path_segment(job));
            let answer = client.send(&ApiCall::new(Method::GET, path)).await;
            let record: JobRecord =
                answer.and_then(|answer| answer.parse()).map_err(publish::read_error)?;
            if context.options.json {
                output.print_json(&record);
            } else {
                output.print(&describe_job(&record));
            }
        }
        _ => return Err(usage_error("status", "more than one JOB was given").into()),
    }
    Ok(())
}

/// Describes a job and its progress in one line.
pub(super) fn describe_job(record: &JobRecord) -> String {
    let state = match record.state {
        JobState::Accepted => "accepted",
        JobState::Done => "done",
        JobState::Failed => "failed",
        JobState::Cancelled => "cancelled",
    };
    let spec = &record.spec;
    format!(
        "job {}: {state}, {} of {} tasks done (queue {}, team {}, domain {})",
        spec.id,
        record.done.len(),
        spec.tasks,
        spec.queue,
        record.team,
        record.domain
    )
}

fn describe_status(status: &StatusReply) -> String {
    let mut text = format!(
        "entry {} in domain {}: {}, authority {}, version {}, platform {}{}",
        status.name,
        status.domain,
        if status.is_owner { "owner" } else { "standby" },
        status.authority,
        status.config_version,
        if status.platform_reachable { "reachable" } else { "not reachable" },
        if status.draining { ", shutting down" } else { "" }
    );
    for domain in &status.domains {
        let state = match domain.state {
            DomainState::In => "in",
            DomainState::Out => "out",
        };
        let (name, confirmed) = (&domain.name, domain.confirmed);
        let _ = write!(text, "\n  domain {name}: {state}, version {confirmed} confirmed");
    }
    for worker in &status.workers {
        let _ = write!(
            text,
            "\n  worker {}: {}, {} tasks, {} slots in use",
            worker.name, worker.state, worker.tasks, worker.slots_used
        );
    }
    text
}
