//! `saddle get`: prints published objects.

use getopts::Options;
use serde_json::Value;

use super::{CommandContext, CommandSpec, usage_error};
use crate::error::{CommandError, CommandResult};
use crate::output::CommandOutput;
use crate::publish;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "get",
    summary: "Print published objects",
    synopsis: &["[KIND [NAME]]"],
    details: "Without KIND, prints the whole set as `saddle apply` takes it, and its version on \
              standard error;\nwith --json the version is part of the document. With KIND, lists \
              the names of that kind; with\nNAME, prints one object. KIND is domain, worker, \
              team, key, share, limit, queue or class.",
    add_options: |_: &mut Options| {},
};

/// Kinds of objects, each with the section of the object set that holds it.
const KINDS: [(&str, &str); 8] = [
    ("domain", "domains"),
    ("worker", "workers"),
    ("team", "teams"),
    ("key", "keys"),
    ("share", "shares"),
    ("limit", "limits"),
    ("queue", "queues"),
    ("class", "classes"),
];

pub(super) async fn run(context: &CommandContext, output: &mut CommandOutput) -> CommandResult<()> {
    let arguments: Vec<&str> = context.arguments.iter().map(String::as_str).collect();
    let (kind, name) = match arguments.as_slice() {
        [] => (None, None),
        [kind] => (Some(find_kind(kind)?), None),
        [kind, name] => (Some(find_kind(kind)?), Some(*name)),
        _ => return Err(usage_error("get", "more than KIND and NAME were given").into()),
    };
    let document = publish::fetch_config(&context.client()?).await?;
    let Some((kind, section)) = kind else {
        if context.options.json {
            output.print_json(&document);
        } else {
            output.print_json(&document.objects);
            output.print_stderr(&format!("version {}", document.version));
        }
        return Ok(());
    };
    let set = serde_json::to_value(&document.objects).unwrap_or_default();
    let objects = set[section].as_array().cloned().unwrap_or_default();
    match name {
        Some(name) => output.print_json(&find_object(kind, name, &objects)?),
        None if context.options.json => output.print_json(&objects),
        None if objects.is_empty() => output.print_stderr(&format!("there is no {kind}")),
        None => output.print(&list_names(&objects).join("\n")),
    }
    Ok(())
}

fn find_kind(text: &str) -> CommandResult<(&'static str, &'static str)> {
    let found = KINDS.into_iter().find(|(kind, section)| [*kind, *section].contains(&text));
    found.ok_or_else(|| {
        let kinds = KINDS.map(|(kind, _)| kind).join(", ");
        let message = format!("`{text}` is not a kind of object; accepted are {kinds}");
        usage_error("get", message).into()
    })
}

fn find_object(kind: &str, name: &str, objects: &[Value]) -> CommandResult<Value> {
    objects.iter().find(|object| object["name"] == name).cloned().ok_or_else(|| {
        let message = format!("there is no {kind} `{name}`");
        CommandError::refused(message, format!("run `saddle get {kind}` for the names")).into()
    })
}

fn list_names(objects: &[Value]) -> Vec<&str> {
    objects.iter().filter_map(|object| object["name"].as_str()).collect()
}
