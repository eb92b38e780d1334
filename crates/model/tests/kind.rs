//! The table of error kinds must stay consistent for callers that decide by it.

use model::kind::{ErrorKind, RequestOutcome};

/// A retry after an unknown outcome could run non-idempotent work twice, so no
/// kind but an unanswered configuration write may allow it.
#[test]
fn unknown_outcomes_do_not_invite_retries() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        if answer.retry && *kind != ErrorKind::WriteUnknown {
            assert_eq!(answer.outcome, RequestOutcome::NotRun, "{kind}");
        }
    }
}

/// Callers parse the code back into a kind; two kinds with one code would be confused.
#[test]
fn codes_are_unique() {
    for kind in ErrorKind::ALL {
        assert_eq!(ErrorKind::from_code(kind.code()), Some(*kind));
    }
}

/// Guards the documented table: callers are told to decide by it.
#[test]
fn documented_table_is_that_of_the_code() {
    let page = include_str!("../../../docs/errors.md");
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        let retry = if answer.retry { "yes" } else { "no" };
        let outcome = answer.outcome.as_str();
        let row = format!("| `{kind}` | {} | {retry} | {outcome} | ", answer.status);
        assert!(page.contains(&row), "docs/errors.md lacks: {row}");
    }
}
