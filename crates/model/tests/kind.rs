//! Tests that the table of error kinds is consistent, since callers decide by it.

use model::kind::{ErrorKind, RequestOutcome};

/// Guards against a kind that allows a retry after an unknown outcome, which could run
/// non-idempotent work twice. Only an unanswered configuration write may allow it.
#[test]
fn unknown_outcomes_do_not_allow_retries() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        if answer.retry && *kind != ErrorKind::WriteUnknown {
            assert_eq!(answer.outcome, RequestOutcome::NotRun, "{kind}");
        }
    }
}

/// Guards against two kinds with the same code; callers parse the code back into a kind.
#[test]
fn codes_are_unique() {
    for kind in ErrorKind::ALL {
        assert_eq!(ErrorKind::from_code(kind.code()), Some(*kind));
    }
}

/// Guards against a documented table that differs from the code; callers decide by the table.
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
