//! Rules about the names of objects.

use std::collections::HashSet;

use super::problem::{ObjectLabel, ProblemList};
use crate::object::ObjectSet;

/// Longest name in bytes; names become parts of the platform's row keys and paths.
const MAX_NAME_BYTES: usize = 63;

/// Accepted form of a name, for messages.
pub const NAME_RULE: &str = "1 to 63 characters are accepted: lower-case letters, digits, \
     `.`, `_` and `-`, with a letter or digit first";

/// Returns whether a text is a valid name, `[a-z0-9][a-z0-9._-]{0,62}`.
#[must_use]
pub fn is_valid_name(text: &str) -> bool {
    let is_letter_or_digit = |byte: &u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    let bytes = text.as_bytes();
    bytes.len() <= MAX_NAME_BYTES
        && bytes.first().is_some_and(is_letter_or_digit)
        && bytes.iter().all(|byte| is_letter_or_digit(byte) || b"._-".contains(byte))
}

/// Checks the names of every kind of object for form and uniqueness.
pub(super) fn check_names(set: &ObjectSet, problems: &mut ProblemList) {
    check_names_of_kind("domain", set.domains.iter().map(|domain| domain.name.as_str()), problems);
    check_names_of_kind("worker", set.workers.iter().map(|worker| worker.name.as_str()), problems);
    check_names_of_kind("team", set.teams.iter().map(|team| team.name.as_str()), problems);
    check_names_of_kind("key", set.keys.iter().map(|key| key.name.as_str()), problems);
    check_names_of_kind("share", set.shares.iter().map(|share| share.name.as_str()), problems);
    check_names_of_kind("limit", set.limits.iter().map(|limit| limit.name.as_str()), problems);
    check_names_of_kind("queue", set.queues.iter().map(|queue| queue.name.as_str()), problems);
    check_names_of_kind("class", set.classes.iter().map(|class| class.name.as_str()), problems);
    for worker in &set.workers {
        if !is_valid_name(worker.rack.as_str()) {
            let label = ObjectLabel("worker", worker.name.as_str());
            let message = format!("`{}` is not a rack name; {NAME_RULE}", worker.rack);
            problems.add(label, "rack", message);
        }
    }
}

fn check_names_of_kind<'a>(
    kind: &'static str,
    names: impl Iterator<Item = &'a str>,
    problems: &mut ProblemList,
) {
    let mut seen = HashSet::new();
    for (index, name) in names.enumerate() {
        let position = index + 1;
        if name.is_empty() {
            problems.add(
                format_args!("{kind} number {position}"),
                "name",
                format_args!("is empty; {NAME_RULE}"),
            );
        } else if !is_valid_name(name) {
            let message = format!("`{name}` is not a name; {NAME_RULE}");
            problems.add(ObjectLabel(kind, name), "name", message);
        }
        if !name.is_empty() && !seen.insert(name) {
            let message = format!(
                "{kind} number {position} has a name that an earlier {kind} has; each {kind} \
                 needs a name of its own"
            );
            problems.add(ObjectLabel(kind, name), "name", message);
        }
    }
}
