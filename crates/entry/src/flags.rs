//! Parses the command-line flags of the daemon.

use getopts::Options;

/// Command given on the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FlagCommand {
    /// Run with the settings in this file.
    Run(String),
    /// Check the settings in this file and exit.
    CheckSettings(String),
    /// Print this text and exit.
    Print(String),
}

/// Parses the arguments after the program's name.
///
/// # Errors
/// A message that names the wrong or missing flag and where help is found.
pub fn parse(arguments: &[String]) -> Result<FlagCommand, String> {
    let mut options = Options::new();
    options.optopt("s", "settings", "JSON file with the settings of this process", "FILE");
    options.optflag("", "check-settings", "check the settings, print every problem and exit");
    options.optflag("h", "help", "print this text");
    options.optflag("V", "version", "print the version");
    let matches = options.parse(arguments).map_err(|error| format!("{error}; see --help"))?;
    if matches.opt_present("help") {
        let brief = "Usage: amaranthsaddle-entry --settings FILE [--check-settings]";
        return Ok(FlagCommand::Print(options.usage(brief)));
    }
    if matches.opt_present("version") {
        let text = concat!("amaranthsaddle-entry ", env!("CARGO_PKG_VERSION"), "\n");
        return Ok(FlagCommand::Print(text.to_owned()));
    }
    if let Some(extra) = matches.free.first() {
        return Err(format!("unexpected argument `{extra}`; see --help"));
    }
    let file = matches
        .opt_str("settings")
        .ok_or("--settings FILE is missing; docs/configuration.md describes the file")?;
    if matches.opt_present("check-settings") {
        return Ok(FlagCommand::CheckSettings(file));
    }
    Ok(FlagCommand::Run(file))
}
