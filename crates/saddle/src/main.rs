//! The `saddle` binary.

use std::io::Write;
use std::process::ExitCode;

use saddle::environment::CliEnvironment;

fn main() -> ExitCode {
    let arguments: Vec<String> =
        std::env::args_os().skip(1).map(|text| text.to_string_lossy().into_owned()).collect();
    let environment = CliEnvironment::from_process();
    let output = actix_rt::System::new().block_on(saddle::run(&arguments, &environment));
    // Errors are ignored: a closed pipe must not cause a panic after a change was committed.
    let _ = std::io::stdout().write_all(&output.stdout);
    let _ = std::io::stderr().write_all(output.stderr.as_bytes());
    ExitCode::from(output.status.code())
}
