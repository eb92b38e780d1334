//! The split of a team's fleet-wide limit over failure domains.
//!
//! The row of a team in the platform's table contains an allotment for each
//! domain. A domain changes only its own allotment, by compare-and-swap, and
//! never raises it above what the other allotments leave of the limit
//! (docs/design.md, section 5).

mod ledger;

use std::collections::BTreeMap;

use model::name::DomainName;
use model::resource::ResourceAmounts;

pub use self::ledger::{AllotmentLedger, AllotmentNeed, RowResult, RowWrite};
use crate::row::AllotmentRow;

/// Number of equal chunks of a limit in which amounts move between domains.
pub const ALLOTMENT_CHUNKS: u64 = 16;

/// What a domain knows when it plans its allotment of a team's limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AllotmentView<'a> {
    /// The domain that plans.
    pub domain: &'a DomainName,
    /// The team's limit; [`ResourceAmounts::UNLIMITED`] without one.
    pub limit: ResourceAmounts,
    /// Capacity of every domain that takes work; domains that are out are absent.
    pub capacities: &'a BTreeMap<DomainName, ResourceAmounts>,
    /// What the team uses in the domain now, or may be using.
    pub used: ResourceAmounts,
    /// What pending work would use in addition to `used`.
    pub wanted: ResourceAmounts,
    /// Value of the row; `None` if there is no row.
    pub row: Option<&'a AllotmentRow>,
}

/// What a domain may use of a team's limit, and the change of the team's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AllotmentStep {
    /// What the domain may use from now on, before the row is written.
    pub usable: ResourceAmounts,
    /// The row to write, if it has to change. What it adds to the domain's
    /// allotment is usable only once the write is known to have committed.
    pub write: Option<AllotmentRow>,
    /// Whether the limit is in force in this domain: the sum of all allotments
    /// fits the limit and the domain's use fits its own allotment.
    pub in_force: bool,
}

/// Decides what a domain may use of a team's limit and how it changes the team's row.
///
/// Applied again to the row that it returned, it changes nothing.
#[must_use]
pub fn plan_allotment(view: &AllotmentView<'_>) -> AllotmentStep {
    if view.limit == ResourceAmounts::UNLIMITED {
        return AllotmentStep { usable: view.limit, write: None, in_force: true };
    }
    let row = view.row.cloned().unwrap_or_else(|| initial_row(view));
    let splits: [ResourceSplit; 4] = std::array::from_fn(|index| resource_split(view, &row, index));
    let steps = splits.each_ref().map(ResourceSplit::plan_step);
    let usable = ResourceAmounts::from_array(steps.each_ref().map(|step| step.usable));
    let allotment = ResourceAmounts::from_array(steps.each_ref().map(|step| step.allotment));
    let requested = ResourceAmounts::from_array(steps.each_ref().map(|step| step.requested));

    let mut next = row;
    set_amounts(&mut next.domains, view.domain, allotment);
    set_amounts(&mut next.requested, view.domain, requested);
    let committed = domain_allotment(view.row, view.domain);
    AllotmentStep {
        usable: if view.row.is_some() { usable } else { ResourceAmounts::ZERO },
        write: (view.row != Some(&next)).then_some(next),
        in_force: fits_limit(view) && view.used.fits_in(committed),
    }
}

/// Returns a domain's allotment in a row; zero if the row has none.
#[must_use]
pub fn domain_allotment(row: Option<&AllotmentRow>, domain: &DomainName) -> ResourceAmounts {
    row.and_then(|row| row.domains.get(domain)).copied().unwrap_or_default()
}

fn set_amounts(
    allotments: &mut BTreeMap<DomainName, ResourceAmounts>,
    domain: &DomainName,
    amounts: ResourceAmounts,
) {
    if amounts.is_zero() {
        allotments.remove(domain);
    } else {
        allotments.insert(domain.clone(), amounts);
    }
}

fn fits_limit(view: &AllotmentView<'_>) -> bool {
    let allotments = view.row.into_iter().flat_map(|row| row.domains.values());
    allotments
        .fold(ResourceAmounts::ZERO, |sum, allotment| sum.plus(*allotment))
        .fits_in(view.limit)
}

/// Returns the first row of a team: its limit split in proportion to capacity.
fn initial_row(view: &AllotmentView<'_>) -> AllotmentRow {
    let mut row = AllotmentRow::default();
    for domain in view.capacities.keys() {
        let part = std::array::from_fn(|index| proportional_part(view, domain, index));
        set_amounts(&mut row.domains, domain, ResourceAmounts::from_array(part));
    }
    row
}

/// Returns a domain's part of the limit of one resource in proportion to its
/// capacity, rounded down so that the sum of the parts never exceeds the limit.
fn proportional_part(view: &AllotmentView<'_>, domain: &DomainName, index: usize) -> u64 {
    let amount = |amounts: &ResourceAmounts| u128::from(amounts.as_array()[index]);
    let total: u128 = view.capacities.values().map(amount).sum();
    let own = view.capacities.get(domain).map_or(0, amount);
    let limit = amount(&view.limit);
    (limit * own).checked_div(total).and_then(|part| u64::try_from(part).ok()).unwrap_or(0)
}

fn resource_split(view: &AllotmentView<'_>, row: &AllotmentRow, index: usize) -> ResourceSplit {
    let amount = |amounts: ResourceAmounts| amounts.as_array()[index];
    let sum_others = |allotments: &BTreeMap<DomainName, ResourceAmounts>, only_available: bool| {
        allotments
            .iter()
            .filter(|(domain, _)| *domain != view.domain)
            .filter(|(domain, _)| !only_available || view.capacities.contains_key(*domain))
            .fold(0_u64, |sum, (_, allotment)| sum.saturating_add(amount(*allotment)))
    };
    let limit = amount(view.limit);
    ResourceSplit {
        limit,
        chunk: (limit / ALLOTMENT_CHUNKS).max(1),
        allotment: amount(domain_allotment(Some(row), view.domain)),
        other_allotments: sum_others(&row.domains, false),
        other_requests: sum_others(&row.requested, true),
        proportional_part: proportional_part(view, view.domain, index),
        used: amount(view.used),
        demand: amount(view.used.plus(view.wanted)),
        takes_work: view.capacities.contains_key(view.domain),
    }
}

/// The split of the limit of one resource, from the view of one domain.
#[derive(Debug)]
struct ResourceSplit {
    limit: u64,
    /// Unit in which the domain takes or requests amounts.
    chunk: u64,
    /// The domain's own allotment.
    allotment: u64,
    /// Sum of the allotments of all other domains, including those that are out.
    other_allotments: u64,
    /// Sum of what the other domains that take work request.
    other_requests: u64,
    /// The domain's part of the limit in proportion to its capacity.
    proportional_part: u64,
    used: u64,
    /// What the domain uses and what its pending work would use.
    demand: u64,
    /// Whether the domain takes work; otherwise it is out.
    takes_work: bool,
}

/// What a domain may use of one resource, and its new values in the row.
#[derive(Debug)]
struct ResourceStep {
    usable: u64,
    allotment: u64,
    /// What the domain requests of the others.
    requested: u64,
}

impl ResourceSplit {
    /// Plans the domain's amounts of the resource.
    ///
    /// A domain that is out may use nothing and keeps its allotment until
    /// nothing of it is in use. When the allotments exceed the limit, because it
    /// was lowered, the domain goes down to its part of the limit at once, but
    /// writes the lower allotment only when its use fits.
    fn plan_step(&self) -> ResourceStep {
        if !self.takes_work {
            let allotment = if self.used == 0 { 0 } else { self.allotment };
            return ResourceStep { usable: 0, allotment, requested: 0 };
        }
        if self.allotment.saturating_add(self.other_allotments) <= self.limit {
            return self.rebalance(self.allotment);
        }
        let target = self.allotment.min(self.proportional_part);
        if self.used > target {
            return ResourceStep { usable: target, allotment: self.allotment, requested: 0 };
        }
        if target.saturating_add(self.other_allotments) > self.limit {
            return ResourceStep { usable: target, allotment: target, requested: 0 };
        }
        self.rebalance(target)
    }

    /// Takes unassigned amounts for unmet demand, or gives up unused ones that
    /// other domains request. The sum of all allotments must fit the limit.
    fn rebalance(&self, allotment: u64) -> ResourceStep {
        let unassigned = self.limit - allotment - self.other_allotments;
        if self.demand > allotment {
            let shortfall =
                (self.demand - allotment).div_ceil(self.chunk).saturating_mul(self.chunk);
            let raised = allotment + shortfall.min(unassigned);
            let requested = if self.demand > raised { self.chunk } else { 0 };
            return ResourceStep { usable: allotment, allotment: raised, requested };
        }
        let shortfall = self.other_requests.saturating_sub(unassigned);
        let lowered = allotment - shortfall.min(allotment - self.demand);
        ResourceStep { usable: lowered, allotment: lowered, requested: 0 }
    }
}
