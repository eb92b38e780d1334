//! `saddle domain`: takes a failure domain out of service or back in.

use getopts::Options;
use model::object::{DomainState, ObjectSet};

use super::{CommandContext, CommandSpec, usage_error};
use crate::error::{CommandError, CommandResult};
use crate::output::CommandOutput;
use crate::publish::{self, EditOutcome};

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "domain",
    summary: "Take a failure domain out of service, or back in",
    synopsis: &["out NAME", "in NAME"],
    details: "No task starts in a domain that is out; its running tasks are checkpointed and \
              move to the other\ndomains. Changes of other operators made at the same time are \
              kept.",
    add_options: |_: &mut Options| {},
};

pub(super) async fn run(context: &CommandContext, output: &mut CommandOutput) -> CommandResult<()> {
    let [direction, name] = context.expect_arguments("domain")?;
    let state = match direction {
        "in" => DomainState::In,
        "out" => DomainState::Out,
        other => {
            let message = format!("`{other}` is not accepted; give `in` or `out`");
            return Err(usage_error("domain", message).into());
        }
    };
    let client = context.client()?;
    let reply = publish::edit_config(&client, |set, _| set_state(set, name, state)).await?;
    publish::print_reply(&reply, context.options.json, output);
    Ok(())
}

fn set_state(set: &mut ObjectSet, name: &str, state: DomainState) -> CommandResult<EditOutcome> {
    let names: Vec<String> = set.domains.iter().map(|domain| domain.name.to_string()).collect();
    let domain = set.domains.iter_mut().find(|domain| domain.name.as_str() == name);
    let Some(domain) = domain else {
        let message = format!("domain {name}: name: there is no such domain");
        let next = format!("give one of the domains: {}", names.join(", "));
        return Err(CommandError::refused(message, next).into());
    };
    if domain.state == state {
        return Ok(EditOutcome::AlreadyDone);
    }
    domain.state = state;
    Ok(EditOutcome::Changed)
}
