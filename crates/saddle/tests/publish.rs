//! Tests that a change is published at most once, and reported truthfully, when replies are lost
//! and other operators publish at the same time.

mod support;

use std::fmt::Write;

use support::{TestEntry, closed_address, closing_address, run, stdout, transcript};

const MESKEL: &str = include_str!("../../../examples/meskel.json");
const FILE: &str = "../../examples/meskel.json";

/// Guards against a retry with a new change id after a lost reply, which would be refused as a
/// conflict with the first send, or applied twice.
#[actix_rt::test]
async fn lost_reply_is_retried_with_the_same_change_id() {
    let entry = TestEntry::start(MESKEL);
    entry.with(|state| state.unanswered_puts = 2);
    let output = run(&[entry.address], &format!("apply {FILE} --base 1")).await;
    insta::assert_snapshot!(transcript(&output, &[entry.address]));
    entry.with(|state| {
        assert_eq!(state.commits, 1);
        assert_eq!(state.changes.len(), 3);
        assert!(state.changes.iter().all(|change| *change == state.changes[0]));
    });
    run(&[entry.address], &format!("apply {FILE} --base 2")).await;
    entry.with(|state| assert_ne!(state.changes[3], state.changes[0]));
}

/// Guards against a committed change that is reported as refused: its reply is lost, and another
/// operator commits the next version before the retry.
#[actix_rt::test]
async fn change_that_was_overtaken_after_a_lost_reply_is_unknown() {
    let entry = TestEntry::start(MESKEL);
    entry.with(|state| (state.unanswered_puts, state.competing_commits_after_loss) = (1, 1));
    let output = run(&[entry.address], &format!("apply {FILE} --base 1")).await;
    insta::assert_snapshot!(transcript(&output, &[entry.address]));
    entry.with(|state| assert_eq!(state.commits, 1));
}

/// Guards against an unknown outcome that can be determined: the reply is lost, but the next
/// version is the change of another operator, so this change is not committed.
#[actix_rt::test]
async fn lost_change_is_a_conflict_when_another_took_its_version() {
    let entry = TestEntry::start(MESKEL);
    entry.with(|state| state.competing_edits = 1);
    let entries = [closing_address(), entry.address];
    let output = run(&entries, &format!("apply {FILE} --base 1")).await;
    assert_eq!(output.status.code(), 4, "{}", output.stderr);
    entry.with(|state| assert_eq!(state.commits, 0));
}

/// Guards against edits that are based on a version known to be outdated: after a conflict the
/// entry still returns the old version for some reads.
#[actix_rt::test]
async fn lagging_entry_is_read_again_after_a_conflict() {
    let entry = TestEntry::start(MESKEL);
    entry.with(|state| (state.competing_edits, state.stale_reads) = (1, 2));
    let output = run(&[entry.address], "domain out addis-yeka").await;
    assert_eq!(output.status.code(), 0, "{}", output.stderr);
    entry.with(|state| assert_eq!((state.commits, state.changes.len()), (1, 2)));
}

/// Guards against an unknown outcome when every reply to a write is lost: the change id of the
/// published version shows that the change is committed.
#[actix_rt::test]
async fn change_is_found_by_its_id_when_no_reply_arrives() {
    let entry = TestEntry::start(MESKEL);
    entry.with(|state| state.unanswered_puts = 100);
    let output = run(&[entry.address], &format!("apply {FILE}")).await;
    assert_eq!(
        (output.status.code(), stdout(&output).as_str()),
        (0, "version 2 is in force everywhere\n")
    );
    entry.with(|state| state.unanswered_puts = 100);
    let output = run(&[entry.address], "domain out addis-yeka").await;
    assert_eq!(
        (output.status.code(), stdout(&output).as_str()),
        (0, "version 3 is in force everywhere\n")
    );
    entry.with(|state| assert_eq!(state.commits, 2));
}

/// Guards against a false conflict: an entry that does not know the change id of a new version
/// yet sends an empty one, which must not count as the id of another change.
#[actix_rt::test]
async fn change_without_a_known_id_is_not_called_a_conflict() {
    for (reads, code) in [(2, 0), (100, 5)] {
        let entry = TestEntry::start(MESKEL);
        entry.with(|state| (state.unanswered_puts, state.reads_without_change_id) = (100, reads));
        let output = run(&[entry.address], &format!("apply {FILE} --base 1")).await;
        assert_eq!(output.status.code(), code, "{reads} reads: {}", output.stderr);
    }
}

/// Guards against `apply` overwriting the change of another operator.
#[actix_rt::test]
async fn apply_reports_a_conflict() {
    let entry = TestEntry::start(MESKEL);
    entry.with(|state| state.competing_edits = 1);
    let output = run(&[entry.address], &format!("apply {FILE} --base 1")).await;
    insta::assert_snapshot!(transcript(&output, &[entry.address]));
    entry.with(|state| assert_eq!(state.commits, 0));
}

/// Guards against an edit that fails at the first conflict with another operator, and against
/// one that is repeated without end.
#[actix_rt::test]
async fn edits_are_repeated_after_conflicts_within_a_bound() {
    let entry = TestEntry::start(MESKEL);
    entry.with(|state| state.competing_edits = 2);
    let output = run(&[entry.address], "domain out addis-yeka").await;
    assert_eq!(
        (output.status.code(), stdout(&output).as_str()),
        (0, "version 4 is in force everywhere\n")
    );
    entry.with(|state| state.competing_edits = 100);
    let output = run(&[entry.address], "domain in addis-yeka").await;
    assert_eq!(output.status.code(), 4);
    entry.with(|state| assert_eq!((state.commits, state.changes.len()), (1, 9)));
}

/// Guards against a committed change that is reported as in force in a domain whose owner has
/// not confirmed it.
#[actix_rt::test]
async fn domains_that_have_not_confirmed_are_named() {
    let entry = TestEntry::start(MESKEL);
    entry.with(|state| state.not_confirmed = vec!["addis-arada".into()]);
    let output = run(&[entry.address], "domain out addis-yeka").await;
    insta::assert_snapshot!(transcript(&output, &[entry.address]));
}

/// Guards against a published secret (only its digest may reach the entry), and against a
/// withdrawal that leaves the key in place.
#[actix_rt::test]
async fn granted_key_is_stored_as_digest_and_withdrawn() {
    let entry = TestEntry::start(MESKEL);
    let output = run(&[entry.address], "key grant audit --name audit-2").await;
    let secret = stdout(&output).trim().to_owned();
    assert_eq!(secret.len(), 64);
    let find = |name: &str| {
        entry.with(|state| {
            let document = state.document.as_ref().expect("a set is published");
            document.objects.keys.iter().find(|key| key.name.as_str() == name).cloned()
        })
    };
    let key = find("audit-2").expect("the key is published");
    assert_eq!(key.digest, model::object::key_digest(&secret));
    let output = run(&[entry.address], "key grant audit --name audit-2").await;
    assert_eq!((output.status.code(), output.stdout.len()), (2, 0));
    let output = run(&[entry.address], "key withdraw audit-2").await;
    assert_eq!(output.status.code(), 0);
    assert_eq!(find("audit-2"), None);
}

/// Guards against errors about unknown names that do not state the wrong name or how to find
/// the existing ones.
#[actix_rt::test]
async fn unknown_names_are_refused() {
    let entry = TestEntry::start(MESKEL);
    let mut texts = String::new();
    for words in [
        "domain out addis",
        "key grant nobody --name k",
        "key withdraw nothing",
        "get queue none",
        "get thing",
        "status none",
    ] {
        let output = run(&[entry.address], words).await;
        let _ = write!(texts, "$ saddle {words}\n{}\n", transcript(&output, &[entry.address]));
    }
    insta::assert_snapshot!(texts);
    entry.with(|state| assert_eq!(state.changes.len(), 0));
}

/// Guards against commands that give up at the first entry when it refuses the connection, or
/// closes it without an answer to an idempotent call.
#[actix_rt::test]
async fn next_entry_is_tried() {
    let entry = TestEntry::start(MESKEL);
    let entries = [closed_address(), closing_address(), entry.address];
    let output = run(&entries, "get domain").await;
    assert_eq!(stdout(&output), "addis-bole\naddis-kirkos\naddis-arada\naddis-yeka\n");
    let output = run(&entries, "domain out addis-yeka").await;
    assert_eq!(output.status.code(), 0);
    let closed = [closed_address(), closed_address()];
    let output = run(&closed, "domain out addis-yeka").await;
    insta::assert_snapshot!(transcript(&output, &closed));
}

/// Guards against output of `get` that `apply` does not accept, so that operators could not edit
/// the set.
#[actix_rt::test]
async fn printed_set_can_be_applied() {
    let entry = TestEntry::start(MESKEL);
    let output = run(&[entry.address], "get").await;
    assert_eq!(output.stderr, "version 1\n");
    let file = tempfile::NamedTempFile::new().expect("a file can be made");
    std::fs::write(file.path(), &output.stdout).expect("the file can be written");
    let output = run(&[entry.address], &format!("apply --base 1 {}", file.path().display())).await;
    assert_eq!(output.status.code(), 0, "{}", output.stderr);
}
