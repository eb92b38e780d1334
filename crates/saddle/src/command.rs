//! The commands and their options.

use getopts::{Matches, Options};

use crate::client::EntryClient;
use crate::error::{CommandError, CommandResult};
use crate::option::{self, GlobalOptions};
use crate::output::CommandOutput;

mod apply;
mod cancel;
mod check;
mod domain;
mod explain;
mod get;
mod key;
mod request;
mod status;
mod submit;

/// Description of one command, for the help texts and the parser.
pub(crate) struct CommandSpec {
    pub(crate) name: &'static str,
    pub(crate) summary: &'static str,
    pub(crate) synopsis: &'static [&'static str],
    pub(crate) details: &'static str,
    add_options: fn(&mut Options),
}

/// All commands, in the order of the help text.
pub(crate) const COMMANDS: &[CommandSpec] = &[
    check::SPEC,
    apply::SPEC,
    get::SPEC,
    submit::SPEC,
    status::SPEC,
    cancel::SPEC,
    request::SPEC,
    explain::SPEC,
    domain::SPEC,
    key::SPEC,
];

impl CommandSpec {
    pub(crate) fn find(name: &str) -> Option<&'static Self> {
        COMMANDS.iter().find(|command| command.name == name)
    }

    /// Returns the command's options followed by the global ones.
    pub(crate) fn options(&self) -> Options {
        let mut options = Options::new();
        (self.add_options)(&mut options);
        option::add_global_options(&mut options);
        options
    }
}

/// Returns the first argument that is the name of a command, for messages.
pub(crate) fn find_command_name(arguments: &[String]) -> Option<&'static str> {
    arguments.iter().find_map(|argument| CommandSpec::find(argument)).map(|command| command.name)
}

/// Options and arguments of the command that runs.
pub(crate) struct CommandContext {
    pub(crate) options: GlobalOptions,
    pub(crate) matches: Matches,
    pub(crate) arguments: Vec<String>,
}

impl CommandContext {
    /// Builds the client; fails if no entry was given.
    pub(crate) fn client(&self) -> CommandResult<EntryClient> {
        let options = &self.options;
        if options.entries.is_empty() {
            let next = "give `--entry IP:PORT`, or set SADDLE_ENTRY";
            return Err(CommandError::usage("no entry was named", next).into());
        }
        Ok(EntryClient::new(options.entries.clone(), options.key.clone(), options.timeout))
    }

    /// Returns the arguments if there are exactly as many as the command takes.
    pub(crate) fn expect_arguments<const COUNT: usize>(
        &self,
        command: &str,
    ) -> CommandResult<[&str; COUNT]> {
        let arguments: Vec<&str> = self.arguments.iter().map(String::as_str).collect();
        let count = arguments.len();
        arguments.try_into().map_err(|_| {
            let message = format!("{count} arguments were given, but {COUNT} are taken");
            usage_error(command, message).into()
        })
    }

    /// Returns the number given for an option, if it is within the range.
    pub(crate) fn parse_number(
        &self,
        name: &str,
        min: u64,
        max: u64,
    ) -> CommandResult<Option<u64>> {
        let parse = |text: String| option::parse_number(&format!("--{name}"), &text, min, max);
        self.matches.opt_str(name).map(parse).transpose()
    }
}

/// Returns the error for a wrong command line, which refers to the command's help.
pub(crate) fn usage_error(command: &str, message: impl Into<String>) -> CommandError {
    CommandError::usage(message, format!("run `saddle {command} --help`"))
}

/// Runs a command.
pub(crate) async fn run_command(
    command: &CommandSpec,
    context: &CommandContext,
    output: &mut CommandOutput,
) -> CommandResult<()> {
    match command.name {
        "check" => check::run(context, output),
        "apply" => apply::run(context, output).await,
        "get" => get::run(context, output).await,
        "submit" => submit::run(context, output).await,
        "status" => status::run(context, output).await,
        "cancel" => cancel::run(context, output).await,
        "request" => request::run(context, output).await,
        "explain" => explain::run(context, output).await,
        "domain" => domain::run(context, output).await,
        "key" => key::run(context, output).await,
        name => Err(usage_error(name, "this command is not available").into()),
    }
}
