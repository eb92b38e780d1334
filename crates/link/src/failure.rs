//! Failures of calls, classified by whether the call may have taken effect.

use std::fmt;

use error_stack::{AttachmentKind, FrameKind, Report};

/// Whether the other side may have acted on a call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The call did not reach the other side, or the other side refused it before acting.
    NotDone,
    /// The call was sent and no usable answer arrived; it may have taken effect.
    Unknown,
}

impl fmt::Display for CallFailure {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::NotDone => "the call had no effect",
            Self::Unknown => "the call got no answer and may have taken effect",
        })
    }
}

impl std::error::Error for CallFailure {}

/// Formats a failure and all of its details on one line, for log lines.
#[must_use]
pub fn format_one_line(report: &Report<CallFailure>) -> String {
    let mut text = report.current_context().to_string();
    for frame in report.frames() {
        if let FrameKind::Attachment(AttachmentKind::Printable(detail)) = frame.kind() {
            text.push_str("; ");
            text.push_str(&detail.to_string());
        }
    }
    text
}
