//! The command-line client `saddle` for operators and callers.
//!
//! The `main` of the binary only calls [`run`], so that tests can run whole
//! commands inside their own actix system. Commands and exit codes are
//! described in [docs/cli.md](https://example.org/amaranthsaddle/docs/cli.md).

pub mod client;
mod command;
pub mod environment;
mod error;
mod help;
mod option;
mod output;
mod publish;
pub mod status;

pub use output::CommandOutput;

use crate::command::CommandContext;
use crate::environment::CliEnvironment;
use crate::error::{CommandError, CommandResult};

/// Runs one command and returns what it prints and its exit code.
///
/// `arguments` are those after the program's name. This function itself prints
/// nothing. It must run inside an actix system, because awc spawns local tasks.
pub async fn run(arguments: &[String], environment: &CliEnvironment) -> CommandOutput {
    let mut output = CommandOutput::default();
    let name = command::find_command_name(arguments);
    if let Err(report) = parse_and_run(arguments, environment, &mut output).await {
        let json = arguments.iter().any(|argument| argument == "--json");
        output.fail(name, report.current_context(), json);
    }
    output
}

async fn parse_and_run(
    arguments: &[String],
    environment: &CliEnvironment,
    output: &mut CommandOutput,
) -> CommandResult<()> {
    let line = option::CommandLine::parse(arguments)?;
    if line.has_help_option() {
        output.print(&help::help_for(line.command));
        return Ok(());
    }
    let Some(command) = line.command else {
        return Err(CommandError::usage("no command was given", "run `saddle --help`").into());
    };
    let options = line.global_options(environment)?;
    let context = CommandContext { options, matches: line.matches, arguments: line.arguments };
    command::run_command(command, &context, output).await
}
