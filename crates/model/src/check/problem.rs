//! The list to which the rules add the problems that they find.

use std::fmt;

use super::CheckProblem;

/// Problems in the order in which the rules found them.
#[derive(Debug, Default)]
pub(crate) struct ProblemList(Vec<CheckProblem>);

impl ProblemList {
    /// Adds a problem with one field of one object.
    pub(crate) fn add(
        &mut self,
        object: impl fmt::Display,
        field: &str,
        message: impl fmt::Display,
    ) {
        self.0.push(CheckProblem {
            object: object.to_string(),
            field: field.to_owned(),
            message: message.to_string(),
        });
    }

    /// Returns whether no problem was found.
    pub(crate) const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the problems in the order in which they were added.
    pub(crate) fn into_inner(self) -> Vec<CheckProblem> {
        self.0
    }
}

/// Kind and name of an object, shown at the start of a problem.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ObjectLabel<'a>(pub(crate) &'static str, pub(crate) &'a str);

impl fmt::Display for ObjectLabel<'_> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self(kind, name) = self;
        if name.is_empty() {
            write!(out, "{kind} without name")
        } else {
            write!(out, "{kind} {name}")
        }
    }
}
