//! Help texts.

use std::fmt::Write;

use getopts::Options;

use crate::command::{COMMANDS, CommandSpec};
use crate::option;
use crate::status::ExitStatus;

/// Returns the help text of a command, or of the program.
pub(crate) fn help_for(command: Option<&CommandSpec>) -> String {
    command.map_or_else(program_help, command_help)
}

fn program_help() -> String {
    let mut text = "Operate an Amaranthsaddle cell and submit work to it.\n\n\
         Usage: saddle [OPTIONS] COMMAND [ARGUMENTS]\n\nCommands:\n"
        .to_owned();
    for command in COMMANDS {
        let _ = writeln!(text, "    {:<9}{}", command.name, command.summary);
    }
    text.push_str("\n`saddle COMMAND --help` describes a command.\n\nExit codes:\n");
    for status in ExitStatus::ALL {
        let _ = writeln!(text, "    {}  {}", status.code(), status.meaning());
    }
    let mut options = Options::new();
    option::add_global_options(&mut options);
    options.usage(text.trim_end())
}

fn command_help(command: &CommandSpec) -> String {
    let mut text = String::new();
    for (index, synopsis) in command.synopsis.iter().enumerate() {
        let lead = if index == 0 { "Usage:" } else { "      " };
        let _ = writeln!(text, "{lead} saddle {} {synopsis}", command.name);
    }
    let _ = write!(text, "\n{}", command.details);
    command.options().usage(&text)
}
