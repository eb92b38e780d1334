//! `saddle key`: grants and withdraws keys.

use getopts::Options;
use model::check::{NAME_RULE, is_valid_name};
use model::object::{KeyObject, ObjectSet, key_digest};

use super::{CommandContext, CommandSpec, usage_error};
use crate::error::{CommandError, CommandResult};
use crate::output::CommandOutput;
use crate::publish::{self, EditOutcome};
use crate::status::ExitStatus;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "key",
    summary: "Grant a key to a team, or withdraw a key",
    synopsis: &["grant TEAM [--name NAME]", "withdraw NAME"],
    details: "`grant` makes a random secret, publishes its digest and prints the secret once on \
              standard output;\nit is stored nowhere. `withdraw` makes a key stop working within \
              seconds.",
    add_options: |options: &mut Options| {
        options.optopt("", "name", "name of the key (default: the team's with a suffix)", "NAME");
    },
};

/// Most bytes of a team's name in a generated key name, which has at most 63 with its suffix.
const MAX_NAME_PREFIX_BYTES: usize = 54;

pub(super) async fn run(context: &CommandContext, output: &mut CommandOutput) -> CommandResult<()> {
    match context.expect_arguments("key")? {
        ["grant", team] => grant(context, team, output).await,
        ["withdraw", name] => {
            if context.matches.opt_present("name") {
                return Err(usage_error("key", "--name is taken by `grant` only").into());
            }
            withdraw(context, name, output).await
        }
        [other, _] => {
            let message = format!("`{other}` is not accepted; give `grant` or `withdraw`");
            Err(usage_error("key", message).into())
        }
    }
}

async fn grant(
    context: &CommandContext,
    team: &str,
    output: &mut CommandOutput,
) -> CommandResult<()> {
    let name = context.matches.opt_str("name").unwrap_or_else(|| generate_key_name(team));
    if !is_valid_name(&name) {
        let message = format!("--name: `{name}` is not a name; {NAME_RULE}");
        return Err(usage_error("key", message).into());
    }
    let client = context.client()?;
    let secret = format!("{}{}", publish::generate_id(), publish::generate_id());
    let key =
        KeyObject { name: name.as_str().into(), team: team.into(), digest: key_digest(&secret) };
    let edited = publish::edit_config(&client, |set, _| add_key(set, &key)).await;
    let reply = edited.map_err(|report| {
        let error = report.current_context().clone();
        if error.status != ExitStatus::Unknown {
            return report;
        }
        report.change_context(error.with_next(format!(
            "the secret was not printed; run `saddle key withdraw {name}`, then grant a new key"
        )))
    })?;
    if context.options.json {
        output.print_json(&serde_json::json!({ "key": name, "secret": secret, "change": reply }));
    } else {
        output.print(&secret);
        output.print_stderr(&format!(
            "key {name} of team {team}; this is the only copy of its secret"
        ));
        output.print_stderr(&publish::describe_reply(&reply));
    }
    if !reply.not_confirmed.is_empty() {
        output.status = ExitStatus::NotConfirmed;
    }
    Ok(())
}

fn generate_key_name(team: &str) -> String {
    let end = team.floor_char_boundary(MAX_NAME_PREFIX_BYTES);
    format!("{}-{:08x}", &team[..end], rand::random::<u32>())
}

fn add_key(set: &mut ObjectSet, key: &KeyObject) -> CommandResult<EditOutcome> {
    if !set.teams.iter().any(|team| team.name == key.team) {
        let message = format!("key {}: team: there is no team `{}`", key.name, key.team);
        return Err(CommandError::refused(message, "run `saddle get team` for the teams").into());
    }
    match set.keys.iter().find(|found| found.name == key.name) {
        // Only an earlier attempt of this command can have published this digest.
        Some(found) if found == key => Ok(EditOutcome::AlreadyDone),
        Some(found) => {
            let message =
                format!("key {}: name: team `{}` has a key of this name", key.name, found.team);
            let next = "give another `--name`, or withdraw that key first";
            Err(CommandError::refused(message, next).into())
        }
        None => {
            set.keys.push(key.clone());
            Ok(EditOutcome::Changed)
        }
    }
}

async fn withdraw(
    context: &CommandContext,
    name: &str,
    output: &mut CommandOutput,
) -> CommandResult<()> {
    let client = context.client()?;
    let remove = |set: &mut ObjectSet, maybe_applied| remove_key(set, name, maybe_applied);
    let reply = publish::edit_config(&client, remove).await?;
    publish::print_reply(&reply, context.options.json, output);
    Ok(())
}

fn remove_key(set: &mut ObjectSet, name: &str, maybe_applied: bool) -> CommandResult<EditOutcome> {
    let count = set.keys.len();
    set.keys.retain(|key| key.name.as_str() != name);
    if set.keys.len() < count {
        return Ok(EditOutcome::Changed);
    }
    if maybe_applied {
        return Ok(EditOutcome::AlreadyDone);
    }
    let message = format!("key {name}: name: there is no such key");
    Err(CommandError::refused(message, "run `saddle get key` for the keys").into())
}
