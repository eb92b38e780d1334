//! `saddle check`: checks a file without any entry.

use getopts::Options;
use model::check;
use model::object::ObjectSet;
use model::setting::EntrySettings;
use wire::api::CheckReply;

use super::{CommandContext, CommandSpec};
use crate::error::{CommandError, CommandResult};
use crate::option;
use crate::output::CommandOutput;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "check",
    summary: "Check a file of objects or settings offline",
    synopsis: &["FILE [--settings]"],
    details: "Lists every problem of an object set, or of the settings of an entry. No entry is \
              contacted.",
    add_options: |options: &mut Options| {
        options.optflag("", "settings", "the file holds the settings of an entry");
    },
};

pub(super) fn run(context: &CommandContext, output: &mut CommandOutput) -> CommandResult<()> {
    let [file] = context.expect_arguments("check")?;
    let summary = if context.matches.opt_present("settings") {
        let text = option::read_file(file)?;
        let settings = EntrySettings::parse(&text)
            .map_err(|problems| CommandError::problems(&format!("`{file}`"), problems))?;
        format!("`{file}` passes: settings of entry {}", settings.name)
    } else {
        let set = read_set(file)?;
        format!(
            "`{file}` passes: {} domains, {} workers, {} teams, {} keys, {} queues",
            set.domains.len(),
            set.workers.len(),
            set.teams.len(),
            set.keys.len(),
            set.queues.len()
        )
    };
    if context.options.json {
        output.print_json(&CheckReply::default());
    } else {
        output.print(&summary);
    }
    Ok(())
}

/// Reads an object set that passes the check.
pub(super) fn read_set(file: &str) -> CommandResult<ObjectSet> {
    let text = option::read_file(file)?;
    let subject = format!("`{file}`");
    let set =
        ObjectSet::parse(&text).map_err(|problems| CommandError::problems(&subject, problems))?;
    let problems = check::check_set(&set);
    if problems.is_empty() {
        Ok(set)
    } else {
        Err(CommandError::problems(&subject, problems).into())
    }
}
