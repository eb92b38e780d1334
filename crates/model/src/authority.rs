//! The fencing token that orders the owners of a failure domain.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Fencing token of a domain's owner; a worker refuses a lower one than it has seen.
///
/// The term grows with each claim in the platform's table. The handover number
/// grows with each direct handover inside a term; such a handover must work
/// while the platform is down.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct OwnerAuthority {
    /// Number of the claim, from 1; 0 stands for no owner.
    pub term: u64,
    /// Number of the handover inside the term, from 0.
    pub handover: u32,
}

impl fmt::Display for OwnerAuthority {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}.{}", self.term, self.handover)
    }
}

/// Error for a text that is not an authority of the form `TERM.HANDOVER`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AuthorityError;

impl std::str::FromStr for OwnerAuthority {
    type Err = AuthorityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (term, handover) = text.split_once('.').ok_or(AuthorityError)?;
        Ok(Self {
            term: term.parse().map_err(|_| AuthorityError)?,
            handover: handover.parse().map_err(|_| AuthorityError)?,
        })
    }
}
