//! The allotment rows of all teams, as the owner of one domain knows them.

use std::collections::BTreeMap;

use model::name::{DomainName, TeamName};
use model::resource::ResourceAmounts;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::{AllotmentView, plan_allotment};
use crate::row::AllotmentRow;

/// A team's limit and what the domain needs of it at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AllotmentNeed<'a> {
    /// The team's limit; [`ResourceAmounts::UNLIMITED`] without one.
    pub limit: ResourceAmounts,
    /// Capacity of every domain that takes work; domains that are out are absent.
    pub capacities: &'a BTreeMap<DomainName, ResourceAmounts>,
    /// What the team uses in the domain now, or may be using.
    pub used: ResourceAmounts,
    /// What pending work would use in addition to `used`.
    pub wanted: ResourceAmounts,
}

/// A write of a team's row, conditional on its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowWrite {
    /// Version that the row must have; 0 if it must not exist.
    pub version: u64,
    /// New value.
    pub row: AllotmentRow,
}

/// Result of a write of a team's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowResult {
    /// The row was written and has this version.
    Committed {
        /// Version of the row.
        version: u64,
    },
    /// The row did not have the expected version because another write came first.
    Conflict {
        /// Version of the current row; 0 if there is none.
        version: u64,
        /// The current row.
        row: Option<AllotmentRow>,
    },
    /// No reply: the write may have taken effect or may still do so.
    Unknown,
}

/// A write that was sent and may still take effect.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct UnsettledWrite {
    /// Version that the row must have for the write to take effect.
    version: u64,
    /// The domain's allotment in the written row.
    #[serde(rename = "entry")]
    allotment: ResourceAmounts,
}

/// The row of one team and the state of its writes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct TeamState {
    /// Last known version; `None` before the first read.
    version: Option<u64>,
    /// Last known row; `None` if there is none.
    row: Option<AllotmentRow>,
    /// What the domain may use at most by the last plan; unlimited only for a
    /// team without a limit.
    ceiling: ResourceAmounts,
    /// Whether this owner has written the row, so that no write of an earlier
    /// owner of the domain can take effect any more.
    is_fenced: bool,
    /// Whether the limit of the last plan is in force in this domain.
    in_force: bool,
    /// Whether the row has to be read before the next write.
    must_read: bool,
    /// The write that has no result yet.
    pending: Option<AllotmentRow>,
    /// Writes at the known version or later that may still take effect.
    unsettled: SmallVec<[UnsettledWrite; 2]>,
}

/// The allotments of one domain for all teams.
///
/// A new owner starts with an empty ledger and may use nothing of a team's limit
/// until it has written the row once: a write by which the previous owner gave
/// up a part may still be in flight and could take effect after this owner has
/// read the row. A successor by handover instead continues with the ledger of
/// its predecessor, see [`AllotmentLedger::copy_for_successor`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AllotmentLedger {
    domain: DomainName,
    teams: BTreeMap<TeamName, TeamState>,
}

impl AllotmentLedger {
    /// Creates the empty ledger of a new owner.
    #[must_use]
    pub const fn new(domain: DomainName) -> Self {
        Self { domain, teams: BTreeMap::new() }
    }

    /// Returns what the domain may use of the team's limit.
    #[must_use]
    pub fn usable_amounts(&self, team: &TeamName) -> ResourceAmounts {
        let Some(state) = self.teams.get(team) else { return ResourceAmounts::ZERO };
        if state.is_unlimited() {
            return ResourceAmounts::UNLIMITED;
        }
        if !state.is_fenced {
            return ResourceAmounts::ZERO;
        }
        let allotment = super::domain_allotment(state.row.as_ref(), &self.domain);
        let writes = state.unsettled.iter().map(|write| write.allotment);
        writes.fold(allotment.min(state.ceiling), ResourceAmounts::min)
    }

    /// Returns whether the team has no limit or this owner has written its row.
    ///
    /// Otherwise [`AllotmentLedger::usable_amounts`] returns zero only because the
    /// allotment is not certain yet, and no running work should be stopped for it.
    #[must_use]
    pub fn has_certain_amounts(&self, team: &TeamName) -> bool {
        self.teams.get(team).is_some_and(|state| state.is_unlimited() || state.is_fenced)
    }

    /// Returns whether the limit of the last plan is in force in this domain.
    #[must_use]
    pub fn is_in_force(&self, team: &TeamName) -> bool {
        self.teams.get(team).is_some_and(|state| state.in_force)
    }

    /// Returns whether the team's row has to be read before the next plan.
    #[must_use]
    pub fn needs_read(&self, team: &TeamName) -> bool {
        self.teams.get(team).is_none_or(|state| {
            !state.is_unlimited() && (state.version.is_none() || state.must_read)
        })
    }

    /// Plans the team's allotment for a need and returns the write to send, if any.
    ///
    /// A team has at most one write in flight; its result goes to
    /// [`AllotmentLedger::apply_write_result`].
    pub fn plan_write(&mut self, team: &TeamName, need: &AllotmentNeed<'_>) -> Option<RowWrite> {
        let state = self.teams.entry(team.clone()).or_default();
        let domain = &self.domain;
        let step = plan_allotment(&AllotmentView {
            domain,
            limit: need.limit,
            capacities: need.capacities,
            used: need.used,
            wanted: need.wanted,
            row: state.row.as_ref(),
        });
        state.ceiling = step.usable;
        let is_certain = state.is_unlimited() || state.is_fenced && state.unsettled.is_empty();
        state.in_force = step.in_force && is_certain;
        let version = state.version?;
        if state.is_unlimited() || state.pending.is_some() || state.must_read {
            return None;
        }
        // Writing the row again, even with the same content, advances its
        // version, so that no earlier write can take effect any more.
        let must_write = !state.is_fenced || !state.unsettled.is_empty();
        let unchanged = must_write.then(|| state.row.clone().unwrap_or_default());
        let row = step.write.or(unchanged)?;
        let allotment = super::domain_allotment(Some(&row), domain);
        state.unsettled.push(UnsettledWrite { version, allotment });
        state.pending = Some(row.clone());
        Some(RowWrite { version, row })
    }

    /// Applies the result of the write that [`AllotmentLedger::plan_write`] returned.
    ///
    /// What the write adds to the allotment becomes usable with the next plan,
    /// which compares it with the limit that is in force by then.
    pub fn apply_write_result(&mut self, team: &TeamName, result: RowResult) {
        let Some(state) = self.teams.get_mut(team) else { return };
        let Some(pending) = state.pending.take() else { return };
        match result {
            RowResult::Committed { version } => {
                state.is_fenced = true;
                if state.version.is_none_or(|known| known < version) {
                    state.set_row(version, Some(pending));
                }
            }
            RowResult::Conflict { version, row } => state.set_row(version, row),
            RowResult::Unknown => state.must_read = true,
        }
    }

    /// Applies a row that was read; ignores it if it is older than the known one.
    pub fn apply_read(&mut self, team: &TeamName, version: u64, row: Option<AllotmentRow>) {
        let state = self.teams.entry(team.clone()).or_default();
        state.must_read = false;
        if state.version.is_none_or(|known| known <= version) {
            state.set_row(version, row);
        }
    }

    /// Returns the ledger for a successor; this owner must not use its own any more.
    #[must_use]
    pub fn copy_for_successor(&self) -> Self {
        let mut ledger = self.clone();
        for state in ledger.teams.values_mut() {
            state.must_read |= state.pending.take().is_some();
        }
        ledger
    }

    /// Removes the teams that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&TeamName) -> bool) {
        self.teams.retain(|team, _| exists(team));
    }
}

impl TeamState {
    fn is_unlimited(&self) -> bool {
        self.ceiling == ResourceAmounts::UNLIMITED
    }

    fn set_row(&mut self, version: u64, row: Option<AllotmentRow>) {
        self.unsettled.retain(|write| write.version >= version);
        self.version = Some(version);
        self.row = row;
        self.must_read = false;
    }
}
