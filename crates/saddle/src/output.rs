//! The output of a command.

use std::fmt::Write;

use serde::Serialize;

use crate::error::CommandError;
use crate::status::ExitStatus;

/// Everything that a command prints, and its exit code.
#[derive(Clone, Debug, Default)]
pub struct CommandOutput {
    /// Standard output: results only; bytes, since answers to requests are printed unchanged.
    pub stdout: Vec<u8>,
    /// Standard error: failures, and notes that are not part of the result.
    pub stderr: String,
    /// Exit code.
    pub status: ExitStatus,
}

/// A failure in the form that `--json` prints on standard error.
#[derive(Serialize)]
struct FailureDocument<'a> {
    exit_code: u8,
    message: &'a str,
    next: &'a str,
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    problems: &'a [model::check::CheckProblem],
    #[serde(skip_serializing_if = "Option::is_none")]
    kind: Option<model::kind::ErrorKind>,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<u64>,
}

impl CommandOutput {
    /// Adds a text to standard output and ends its line.
    pub(crate) fn print(&mut self, text: &str) {
        self.print_bytes(text.as_bytes());
    }

    pub(crate) fn print_bytes(&mut self, bytes: &[u8]) {
        self.stdout.extend_from_slice(bytes);
        if !bytes.ends_with(b"\n") {
            self.stdout.push(b'\n');
        }
    }

    /// Adds a document as indented JSON to standard output.
    pub(crate) fn print_json(&mut self, document: &impl Serialize) {
        self.print(&to_json(document));
    }

    /// Adds a line to standard error.
    pub(crate) fn print_stderr(&mut self, text: &str) {
        self.stderr.push_str(text);
        self.stderr.push('\n');
    }

    /// Adds a failure to standard error and sets the exit code.
    pub(crate) fn fail(&mut self, command: Option<&str>, error: &CommandError, json: bool) {
        self.status = error.status;
        if json {
            let document = FailureDocument {
                exit_code: error.status.code(),
                message: &error.message,
                next: &error.next,
                problems: &error.problems,
                kind: error.kind,
                version: error.version,
            };
            self.print_stderr(&to_json(&document));
            return;
        }
        let program = command.map_or("saddle".to_owned(), |command| format!("saddle {command}"));
        self.print_stderr(&format!("{program}: {}: {}", error.status.meaning(), error.message));
        for problem in &error.problems {
            let _ = writeln!(self.stderr, "  {problem}");
        }
        self.print_stderr(&format!("next: {}", error.next));
    }
}

fn to_json(document: &impl Serialize) -> String {
    // Serialisation fails only for maps without string keys, which this program does not print.
    serde_json::to_string_pretty(document).unwrap_or_default()
}
