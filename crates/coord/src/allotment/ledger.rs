//! The rows of all teams as the owner of one domain knows them.

use std::collections::BTreeMap;

use model::name::{DomainName, TeamName};
use model::resource::ResourceAmounts;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::{AllotmentView, plan_allotment};
use crate::row::AllotmentRow;

/// What an owner needs of a team's limit at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AllotmentNeed<'a> {
    /// The team's limit; [`ResourceAmounts::UNLIMITED`] without one.
    pub limit: ResourceAmounts,
    /// Capacity of every domain that takes work; one that is out is absent.
    pub capacities: &'a BTreeMap<DomainName, ResourceAmounts>,
    /// What the domain uses now, or may be using.
    pub used: ResourceAmounts,
    /// What waiting work would use in addition to `used`.
    pub wanted: ResourceAmounts,
}

/// A write of a team's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowWrite {
    /// Version that the row must have; 0 if it must not exist.
    pub version: u64,
    /// New value.
    pub row: AllotmentRow,
}

/// How a write of a team's row ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowResult {
    /// The row was written and has this version.
    Committed {
        /// Version of the row.
        version: u64,
    },
    /// Another write came first.
    Conflict {
        /// Version of the present row; 0 if there is none.
        version: u64,
        /// The present row.
        row: Option<AllotmentRow>,
    },
    /// No reply: the write may have taken effect or may still do so.
    Unknown,
}

/// A write that was asked for and whose effect is not known.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct UnsettledWrite {
    version: u64,
    entry: ResourceAmounts,
}

/// The row of one team.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct TeamRow {
    /// Version last known; none before the first read.
    version: Option<u64>,
    row: Option<AllotmentRow>,
    /// Upper bound of use by the last plan; unlimited only for a team without limit.
    ceiling: ResourceAmounts,
    /// Whether this owner has written the row, so that no write of an earlier
    /// owner of the domain can take effect any more.
    is_fenced: bool,
    in_force: bool,
    must_read: bool,
    /// The write that has no result yet.
    pending: Option<AllotmentRow>,
    unsettled: SmallVec<[UnsettledWrite; 2]>,
}

/// The allotments of one domain, team by team.
///
/// A new owner starts with an empty book and may use nothing of a team's limit
/// until it has written the row once: a write by which the previous owner gave
/// a part away may still be under way, and could take effect after a mere read.
/// A successor by handover goes on with the book of its predecessor instead,
/// see [`AllotmentLedger::copy_for_successor`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AllotmentLedger {
    domain: DomainName,
    teams: BTreeMap<TeamName, TeamRow>,
}

impl AllotmentLedger {
    /// Creates the empty book of a new owner.
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
        let entry = super::domain_allotment(state.row.as_ref(), &self.domain);
        let writes = state.unsettled.iter().map(|write| write.entry);
        writes.fold(entry.min(state.ceiling), ResourceAmounts::min)
    }

    /// Tells whether the row is known well enough for [`AllotmentLedger::usable_amounts`]
    /// to be more than nothing; before that, no running work should be stopped.
    #[must_use]
    pub fn is_settled(&self, team: &TeamName) -> bool {
        self.teams.get(team).is_some_and(|state| state.is_unlimited() || state.is_fenced)
    }

    /// Tells whether the limit of the last plan is in force in this domain.
    #[must_use]
    pub fn is_in_force(&self, team: &TeamName) -> bool {
        self.teams.get(team).is_some_and(|state| state.in_force)
    }

    /// Tells whether the row has to be read before the next plan.
    #[must_use]
    pub fn needs_read(&self, team: &TeamName) -> bool {
        self.teams.get(team).is_none_or(|state| {
            !state.is_unlimited() && (state.version.is_none() || state.must_read)
        })
    }

    /// Takes what the owner needs and returns the write to send, if there is one.
    ///
    /// There is at most one write at a time for a team; its end is reported to
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
        let is_settled = state.is_unlimited() || state.is_fenced && state.unsettled.is_empty();
        state.in_force = step.in_force && is_settled;
        let version = state.version?;
        if state.is_unlimited() || state.pending.is_some() || state.must_read {
            return None;
        }
        // A write that may still take effect at this version is ruled out by
        // writing the row again, even with the same content.
        let must_write = !state.is_fenced || !state.unsettled.is_empty();
        let same = must_write.then(|| state.row.clone().unwrap_or_default());
        let row = step.write.or(same)?;
        let entry = super::domain_allotment(Some(&row), domain);
        state.unsettled.push(UnsettledWrite { version, entry });
        state.pending = Some(row.clone());
        Some(RowWrite { version, row })
    }

    /// Takes the result of the write that [`AllotmentLedger::plan_write`] returned.
    ///
    /// What a write adds becomes usable with the next plan, which compares it
    /// with the limit that holds by then.
    pub fn apply_write_result(&mut self, team: &TeamName, result: RowResult) {
        let Some(state) = self.teams.get_mut(team) else { return };
        let Some(pending) = state.pending.take() else { return };
        match result {
            RowResult::Committed { version } => {
                state.is_fenced = true;
                if state.version.is_none_or(|known| known < version) {
                    state.take(version, Some(pending));
                }
            }
            RowResult::Conflict { version, row } => state.take(version, row),
            RowResult::Unknown => state.must_read = true,
        }
    }

    /// Takes the row as it was read; an older row than the known one is ignored.
    pub fn apply_read(&mut self, team: &TeamName, version: u64, row: Option<AllotmentRow>) {
        let state = self.teams.entry(team.clone()).or_default();
        state.must_read = false;
        if state.version.is_none_or(|known| known <= version) {
            state.take(version, row);
        }
    }

    /// Returns the book for a successor; this owner must not use its own any more.
    #[must_use]
    pub fn copy_for_successor(&self) -> Self {
        let mut ledger = self.clone();
        for state in ledger.teams.values_mut() {
            state.must_read |= state.pending.take().is_some();
        }
        ledger
    }

    /// Drops the teams that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&TeamName) -> bool) {
        self.teams.retain(|team, _| exists(team));
    }
}

impl TeamRow {
    fn is_unlimited(&self) -> bool {
        self.ceiling == ResourceAmounts::UNLIMITED
    }

    fn take(&mut self, version: u64, row: Option<AllotmentRow>) {
        self.unsettled.retain(|write| write.version >= version);
        self.version = Some(version);
        self.row = row;
        self.must_read = false;
    }
}
