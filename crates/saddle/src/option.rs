//! Parsing of the command line: global options and those of one command.

use std::net::SocketAddr;
use std::time::Duration;

use getopts::{Matches, Options, ParsingStyle};

use crate::command::CommandSpec;
use crate::environment::CliEnvironment;
use crate::error::{CommandError, CommandResult};

/// Default of `--timeout-ms`; longer than the default deadline of a request at an entry, 10 s.
const DEFAULT_TIMEOUT_MS: u64 = 12_000;

/// Largest accepted value of `--timeout-ms`.
const MAX_TIMEOUT_MS: u64 = 600_000;

/// Values of the options that every command takes.
#[derive(Debug)]
pub(crate) struct GlobalOptions {
    pub(crate) entries: Vec<SocketAddr>,
    pub(crate) key: Option<String>,
    pub(crate) json: bool,
    pub(crate) timeout: Duration,
}

/// A command line, split at the name of the command.
pub(crate) struct CommandLine {
    pub(crate) command: Option<&'static CommandSpec>,
    pub(crate) matches: Matches,
    pub(crate) arguments: Vec<String>,
    global_matches: Matches,
}

/// Adds the options that every command takes.
pub(crate) fn add_global_options(options: &mut Options) {
    options.optmulti(
        "",
        "entry",
        "entry to send to; repeat it to name others, which are tried in turn when one cannot be \
         reached (default: SADDLE_ENTRY, several separated by commas)",
        "IP:PORT",
    );
    options.optopt("", "key", "secret of the caller's key; shows in process lists", "SECRET");
    options.optopt(
        "",
        "key-file",
        "file with the secret of the caller's key (default: SADDLE_KEY)",
        "FILE",
    );
    options.optflag("", "json", "print results and failures as JSON");
    options.optopt(
        "",
        "timeout-ms",
        "longest wait for one answer, 1 to 600000 (default 12000)",
        "N",
    );
    options.optflag("h", "help", "print this text");
}

impl CommandLine {
    pub(crate) fn parse(arguments: &[String]) -> CommandResult<Self> {
        let mut options = Options::new();
        options.parsing_style(ParsingStyle::StopAtFirstFree);
        add_global_options(&mut options);
        let global_matches = options.parse(arguments).map_err(|error| {
            CommandError::usage(error.to_string(), "run `saddle --help` for the options")
        })?;
        let Some((name, rest)) = global_matches.free.split_first() else {
            let matches = global_matches.clone();
            return Ok(Self { command: None, matches, arguments: Vec::new(), global_matches });
        };
        let command = CommandSpec::find(name).ok_or_else(|| {
            let message = format!("there is no command `{name}`");
            CommandError::usage(message, "run `saddle --help` for the list of commands")
        })?;
        let matches = command.options().parse(rest).map_err(|error| {
            let next = format!("run `saddle {name} --help` for its options");
            CommandError::usage(error.to_string(), next)
        })?;
        let arguments = matches.free.clone();
        Ok(Self { command: Some(command), matches, arguments, global_matches })
    }

    pub(crate) fn has_help_option(&self) -> bool {
        self.global_matches.opt_present("help") || self.matches.opt_present("help")
    }

    /// Returns the global options from before and after the command's name and the environment.
    pub(crate) fn global_options(
        &self,
        environment: &CliEnvironment,
    ) -> CommandResult<GlobalOptions> {
        let timeout = match self.option_text("timeout-ms") {
            Some(text) => parse_number("--timeout-ms", &text, 1, MAX_TIMEOUT_MS)?,
            None => DEFAULT_TIMEOUT_MS,
        };
        Ok(GlobalOptions {
            entries: self.entries(environment)?,
            key: self.key(environment)?,
            json: self.global_matches.opt_present("json") || self.matches.opt_present("json"),
            timeout: Duration::from_millis(timeout),
        })
    }

    fn option_text(&self, name: &str) -> Option<String> {
        self.matches.opt_str(name).or_else(|| self.global_matches.opt_str(name))
    }

    fn entries(&self, environment: &CliEnvironment) -> CommandResult<Vec<SocketAddr>> {
        let mut texts = self.global_matches.opt_strs("entry");
        texts.extend(self.matches.opt_strs("entry"));
        let mut source = "--entry";
        if texts.is_empty() {
            source = "SADDLE_ENTRY";
            let entry = environment.entry.as_deref().unwrap_or_default();
            texts = entry.split(',').map(|text| text.trim().to_owned()).collect();
            texts.retain(|text| !text.is_empty());
        }
        let parse = |text: &String| {
            text.parse().map_err(|_| {
                let message = format!("{source}: `{text}` is not an address");
                let next = "give IP:PORT, such as 127.0.0.1:8000; host names are not resolved";
                CommandError::usage(message, next).into()
            })
        };
        texts.iter().map(parse).collect()
    }

    fn key(&self, environment: &CliEnvironment) -> CommandResult<Option<String>> {
        let key = match (self.option_text("key"), self.option_text("key-file")) {
            (Some(_), Some(_)) => {
                let message = "--key and --key-file were both given";
                return Err(CommandError::usage(message, "give one of them").into());
            }
            (Some(key), None) => Some(key),
            (None, Some(file)) => Some(read_file(&file)?.trim().to_owned()),
            (None, None) => environment.key.clone(),
        };
        if key
            .as_ref()
            .is_some_and(|key| key.is_empty() || !key.bytes().all(|b| b.is_ascii_graphic()))
        {
            let message = "the key's secret is empty or has characters that are not accepted";
            let next = "give the secret as `saddle key grant` printed it, without spaces";
            return Err(CommandError::usage(message, next).into());
        }
        Ok(key)
    }
}

/// Parses the number given for an option and checks its range.
pub(crate) fn parse_number(option: &str, text: &str, min: u64, max: u64) -> CommandResult<u64> {
    text.parse().ok().filter(|number| (min..=max).contains(number)).ok_or_else(|| {
        let message = format!("{option}: `{text}` is not accepted");
        CommandError::usage(message, format!("give a whole number from {min} to {max}")).into()
    })
}

/// Reads a file whose name was given on the command line.
pub(crate) fn read_file(file: &str) -> CommandResult<String> {
    std::fs::read_to_string(file).map_err(|error| {
        let message = format!("file `{file}` cannot be read: {error}");
        CommandError::refused(message, "give the name of a readable UTF-8 file").into()
    })
}
