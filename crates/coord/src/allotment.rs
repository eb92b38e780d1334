//! The split of a team's fleet-wide limit over failure domains.
//!
//! A domain changes only its own entry of a row, by compare-and-swap, and never
//! raises it above what the sum over all domains leaves of the limit
//! (docs/design.md, section 5).

mod ledger;

use std::collections::BTreeMap;

use model::name::DomainName;
use model::resource::ResourceAmounts;

pub use self::ledger::{AllotmentLedger, AllotmentNeed, RowResult, RowWrite};
use crate::row::AllotmentRow;

/// Chunks of a limit in which allotments move.
pub const ALLOTMENT_CHUNKS: u64 = 16;

/// What one domain knows when it looks at a team's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AllotmentView<'a> {
    /// The domain that looks.
    pub domain: &'a DomainName,
    /// The team's limit; [`ResourceAmounts::UNLIMITED`] without one.
    pub limit: ResourceAmounts,
    /// Capacity of every domain that takes work; one that is out is absent.
    pub capacities: &'a BTreeMap<DomainName, ResourceAmounts>,
    /// What the domain uses now, or may be using.
    pub used: ResourceAmounts,
    /// What waiting work would use in addition to `used`.
    pub wanted: ResourceAmounts,
    /// Value of the row; none if there is no row.
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
    /// Whether the sum of the row fits the limit and the domain's use fits its
    /// entry, so that the limit is in force in this domain.
    pub in_force: bool,
}

/// Decides what a domain does about a team's row.
///
/// Calling it again on the row that it returned changes nothing.
#[must_use]
pub fn plan_allotment(view: &AllotmentView<'_>) -> AllotmentStep {
    if view.limit == ResourceAmounts::UNLIMITED {
        return AllotmentStep { usable: view.limit, write: None, in_force: true };
    }
    let row = view.row.cloned().unwrap_or_else(|| first_split(view));
    let splits: [ResourceSplit; 4] = std::array::from_fn(|index| split_of(view, &row, index));
    let moves = splits.each_ref().map(ResourceSplit::settle);
    let usable = ResourceAmounts::from_array(moves.each_ref().map(|step| step.usable));
    let entry = ResourceAmounts::from_array(moves.each_ref().map(|step| step.entry));
    let mark = ResourceAmounts::from_array(moves.each_ref().map(|step| step.mark));

    let mut next = row;
    set_amounts(&mut next.domains, view.domain, entry);
    set_amounts(&mut next.wanted, view.domain, mark);
    let committed = domain_allotment(view.row, view.domain);
    AllotmentStep {
        usable: if view.row.is_some() { usable } else { ResourceAmounts::ZERO },
        write: (view.row != Some(&next)).then_some(next),
        in_force: fits_limit(view) && view.used.fits_in(committed),
    }
}

/// Returns a domain's entry of a row.
#[must_use]
pub fn domain_allotment(row: Option<&AllotmentRow>, domain: &DomainName) -> ResourceAmounts {
    row.and_then(|row| row.domains.get(domain)).copied().unwrap_or_default()
}

fn set_amounts(
    entries: &mut BTreeMap<DomainName, ResourceAmounts>,
    domain: &DomainName,
    amounts: ResourceAmounts,
) {
    if amounts.is_zero() {
        entries.remove(domain);
    } else {
        entries.insert(domain.clone(), amounts);
    }
}

fn fits_limit(view: &AllotmentView<'_>) -> bool {
    let entries = view.row.into_iter().flat_map(|row| row.domains.values());
    entries.fold(ResourceAmounts::ZERO, |sum, entry| sum.plus(*entry)).fits_in(view.limit)
}

/// Splits a limit that has no row yet in proportion to capacity.
fn first_split(view: &AllotmentView<'_>) -> AllotmentRow {
    let mut row = AllotmentRow::default();
    for domain in view.capacities.keys() {
        let part = std::array::from_fn(|index| part_of(view, domain, index));
        set_amounts(&mut row.domains, domain, ResourceAmounts::from_array(part));
    }
    row
}

/// Returns a domain's part of the limit of one resource, in proportion to its
/// capacity and rounded down, so that the parts never exceed the limit.
fn part_of(view: &AllotmentView<'_>, domain: &DomainName, index: usize) -> u64 {
    let amount = |amounts: &ResourceAmounts| u128::from(amounts.as_array()[index]);
    let total: u128 = view.capacities.values().map(amount).sum();
    let own = view.capacities.get(domain).map_or(0, amount);
    let limit = amount(&view.limit);
    (limit * own).checked_div(total).and_then(|part| u64::try_from(part).ok()).unwrap_or(0)
}

fn split_of(view: &AllotmentView<'_>, row: &AllotmentRow, index: usize) -> ResourceSplit {
    let amount = |amounts: ResourceAmounts| amounts.as_array()[index];
    let others = |entries: &BTreeMap<DomainName, ResourceAmounts>, only_present: bool| {
        entries
            .iter()
            .filter(|(domain, _)| *domain != view.domain)
            .filter(|(domain, _)| !only_present || view.capacities.contains_key(*domain))
            .fold(0_u64, |sum, (_, entry)| sum.saturating_add(amount(*entry)))
    };
    let limit = amount(view.limit);
    ResourceSplit {
        limit,
        chunk: (limit / ALLOTMENT_CHUNKS).max(1),
        entry: amount(domain_allotment(Some(row), view.domain)),
        others: others(&row.domains, false),
        marks: others(&row.wanted, true),
        part: part_of(view, view.domain, index),
        used: amount(view.used),
        demand: amount(view.used.plus(view.wanted)),
        is_present: view.capacities.contains_key(view.domain),
    }
}

/// The split of one resource from the view of one domain.
#[derive(Debug)]
struct ResourceSplit {
    limit: u64,
    chunk: u64,
    /// The domain's own entry.
    entry: u64,
    /// Sum of the entries of all other domains, also of those that are out.
    others: u64,
    /// Sum of the marks of other domains that take work.
    marks: u64,
    part: u64,
    used: u64,
    demand: u64,
    is_present: bool,
}

/// What a domain does about one resource.
#[derive(Debug)]
struct ResourceStep {
    usable: u64,
    entry: u64,
    mark: u64,
}

impl ResourceSplit {
    fn settle(&self) -> ResourceStep {
        if !self.is_present {
            let entry = if self.used == 0 { 0 } else { self.entry };
            return ResourceStep { usable: 0, entry, mark: 0 };
        }
        if self.entry.saturating_add(self.others) <= self.limit {
            return self.exchange(self.entry);
        }
        let target = self.entry.min(self.part);
        if self.used > target {
            return ResourceStep { usable: target, entry: self.entry, mark: 0 };
        }
        if target.saturating_add(self.others) > self.limit {
            return ResourceStep { usable: target, entry: target, mark: 0 };
        }
        self.exchange(target)
    }

    /// Takes what is unassigned or gives what others lack, when the sum fits the limit.
    fn exchange(&self, entry: u64) -> ResourceStep {
        let unassigned = self.limit - entry - self.others;
        if self.demand > entry {
            let lacking = (self.demand - entry).div_ceil(self.chunk).saturating_mul(self.chunk);
            let raised = entry + lacking.min(unassigned);
            let mark = if self.demand > raised { self.chunk } else { 0 };
            return ResourceStep { usable: entry, entry: raised, mark };
        }
        let lacking = self.marks.saturating_sub(unassigned);
        let lowered = entry - lacking.min(entry - self.demand);
        ResourceStep { usable: lowered, entry: lowered, mark: 0 }
    }
}
