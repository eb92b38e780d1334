//! The stand-in for the platform's table, object store and VM list, as a program.

use std::process::ExitCode;

fn main() -> ExitCode {
    standin_common::run_program("standin-platform", standin_platform::start)
}
