//! The entry daemon as a program: reads flags and settings and runs the daemon.

use std::process::ExitCode;

use entry::flags::{self, FlagCommand};
use entry::{daemon, logging};
use model::setting::EntrySettings;

/// Exit code for wrong flags or settings.
const EXIT_USAGE: u8 = 1;
/// Exit code for a failed start.
const EXIT_START: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match flags::parse(&arguments) {
        Ok(FlagCommand::Print(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Ok(FlagCommand::CheckSettings(file)) => match read_settings(&file) {
            Ok(_) => {
                println!("{file}: the settings are valid");
                ExitCode::SUCCESS
            }
            Err(code) => code,
        },
        Ok(FlagCommand::Run(file)) => match read_settings(&file) {
            Ok(settings) => run(settings),
            Err(code) => code,
        },
        Err(message) => {
            eprintln!("amaranthsaddle-entry: {message}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn read_settings(file: &str) -> Result<EntrySettings, ExitCode> {
    let fail = |message: String| {
        eprintln!("amaranthsaddle-entry: {message}");
        ExitCode::from(EXIT_USAGE)
    };
    let text = std::fs::read_to_string(file).map_err(|error| fail(format!("{file}: {error}")))?;
    EntrySettings::parse(&text).map_err(|problems| {
        let lines: Vec<_> = problems.iter().map(|problem| format!("{file}: {problem}")).collect();
        fail(lines.join("\n"))
    })
}

fn run(settings: EntrySettings) -> ExitCode {
    if let Err(error) = logging::install(&settings.log_level, &settings.name) {
        eprintln!("amaranthsaddle-entry: log_level: {error}");
        return ExitCode::from(EXIT_USAGE);
    }
    match actix_rt::System::new().block_on(daemon::run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("amaranthsaddle-entry: {report:?}");
            ExitCode::from(EXIT_START)
        }
    }
}
