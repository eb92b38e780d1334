//! Validation of a whole object set before it is published.

use std::fmt;

use serde::{Deserialize, Serialize};

pub use self::name::{NAME_RULE, is_valid_name};
use self::problem::ProblemList;
use crate::object::ObjectSet;

pub(crate) mod name;
pub(crate) mod problem;
pub(crate) mod range;
mod reference;

/// One problem of an object set or of the settings of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CheckProblem {
    /// Kind and name of the object, such as `queue sheets`.
    pub object: String,
    /// The field, such as `team`.
    pub field: String,
    /// What is wrong and what is accepted.
    pub message: String,
}

impl fmt::Display for CheckProblem {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}: {}: {}", self.object, self.field, self.message)
    }
}

/// Returns every problem of the set; an empty list means that it may be published.
///
/// No rule stops at its first problem, so that operators see everything that is
/// wrong and can correct the set in one pass.
#[must_use]
pub fn check_set(set: &ObjectSet) -> Vec<CheckProblem> {
    let mut problems = ProblemList::default();
    name::check_names(set, &mut problems);
    reference::check_references(set, &mut problems);
    reference::check_parents(set, &mut problems);
    reference::check_team_objects(set, &mut problems);
    range::check_ranges(set, &mut problems);
    problems.into_inner()
}
