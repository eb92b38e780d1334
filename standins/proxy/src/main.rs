//! The TCP proxy that injects network faults, as a program.

use std::process::ExitCode;

fn main() -> ExitCode {
    standin_common::run_program("standin-proxy", standin_proxy::start)
}
