//! The split of a team's fleet-wide limit over failure domains.

use std::collections::BTreeMap;

use model::name::DomainName;
use model::resource::ResourceAmounts;

use crate::row::AllotmentRow;

/// What one domain knows when it looks at a team's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AllotmentView<'a> {
    /// The domain that looks.
    pub domain: &'a DomainName,
    /// The team's limit; [`ResourceAmounts::UNLIMITED`] without one.
    pub limit: ResourceAmounts,
    /// Capacity of every domain of the cell, for the first split.
    pub capacities: &'a BTreeMap<DomainName, ResourceAmounts>,
    /// What the domain uses now.
    pub used: ResourceAmounts,
    /// What waiting work would use beyond the allotment.
    pub wanted: ResourceAmounts,
    /// Version and value of the row; none if there is no row.
    pub row: Option<&'a AllotmentRow>,
}

/// What a domain does about a team's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AllotmentStep {
    /// What the domain may use from now on, before the row is written.
    pub usable: ResourceAmounts,
    /// The row to write, if it has to change. What it gives in addition is
    /// usable only once the write is known to have committed.
    pub write: Option<AllotmentRow>,
    /// Whether the sum of the row fits the limit, so that the limit is in force.
    pub in_force: bool,
}

/// Decides what a domain does about a team's row.
#[must_use]
pub fn next_step(view: &AllotmentView<'_>) -> AllotmentStep {
    let _ = view;
    AllotmentStep { usable: ResourceAmounts::ZERO, write: None, in_force: false }
}
