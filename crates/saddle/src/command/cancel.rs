//! `saddle cancel`: cancels a job.

use awc::http::Method;
use getopts::Options;
use model::job::JobRecord;
use wire::api;

use super::{CommandContext, CommandSpec, status};
use crate::client::{ApiCall, encode_path_segment};
use crate::error::{CommandError, CommandResult};
use crate::output::CommandOutput;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "cancel",
    summary: "Cancel a job",
    synopsis: &["JOB"],
    details: "Stops the tasks of a job and starts no more of them. A job that is over stays as it \
              is.",
    add_options: |_: &mut Options| {},
};

pub(super) async fn run(context: &CommandContext, output: &mut CommandOutput) -> CommandResult<()> {
    let [job] = context.expect_arguments("cancel")?;
    let path = format!("{}/{}", api::JOB_PATH, encode_path_segment(job));
    let answer = context.client()?.send(&ApiCall::new(Method::DELETE, path)).await;
    let record: JobRecord = answer.and_then(|answer| answer.parse()).map_err(|failure| {
        let error = CommandError::from(failure);
        if error.status == crate::status::ExitStatus::Unknown {
            error.with_next(format!(
                "run `saddle status {job}`, and cancel it again if it is not cancelled"
            ))
        } else {
            error
        }
    })?;
    if context.options.json {
        output.print_json(&record);
    } else {
        output.print(&status::describe_job(&record));
    }
    Ok(())
}
