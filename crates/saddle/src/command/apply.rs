//! `saddle apply`: publishes a whole object set.

use getopts::Options;

use super::{CommandContext, CommandSpec, check};
use crate::error::CommandResult;
use crate::output::CommandOutput;
use crate::publish;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "apply",
    summary: "Check an object set and publish it",
    synopsis: &["FILE [--base VERSION]"],
    details: "Publishes the objects of FILE in place of all published ones. With --base it is \
              refused unless\nVERSION is still the published version; without it, the version \
              read at the start counts, and\nchanges that FILE does not contain are replaced. \
              Prints the version, and which domains have\nnot confirmed it.",
    add_options: |options: &mut Options| {
        options.optopt("", "base", "version that FILE is based on; 0 for the first one", "VERSION");
    },
};

pub(super) async fn run(context: &CommandContext, output: &mut CommandOutput) -> CommandResult<()> {
    let [file] = context.expect_arguments("apply")?;
    let base = context.parse_number("base", 0, u64::MAX - 1)?;
    let client = context.client()?;
    let objects = check::read_set(file)?;
    let base = match base {
        Some(base) => base,
        None => publish::fetch_config(&client).await?.version,
    };
    let reply = publish::publish_set(&client, base, &objects).await?;
    publish::print_reply(&reply, context.options.json, output);
    Ok(())
}
