//! Usage, allotments and weights of teams.

use std::collections::BTreeSet;

use model::name::TeamName;
use model::resource::ResourceAmounts;
use model::time::ClockMillis;

use crate::hold::{HoldId, TaskHold, VictimKey};
use crate::map::FixedMap;

/// Position of a team in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct TeamIndex(pub(crate) u32);

/// One team, with what it uses in the domain and may use there.
#[derive(Clone, Debug)]
pub(crate) struct TeamAccount {
    pub(crate) name: TeamName,
    /// Whether the configuration in force lists the team.
    pub(crate) configured: bool,
    /// Weight of its share; 1 if none is configured.
    pub(crate) weight: u32,
    pub(crate) allotment: Option<ResourceAmounts>,
    /// Reserved by tasks and granted requests.
    pub(crate) used: ResourceAmounts,
    /// Part of `used` that is reserved by tasks which were ordered to stop.
    pub(crate) stopping: ResourceAmounts,
    /// Tasks that were not ordered to stop, those to stop first in front.
    pub(crate) running: BTreeSet<VictimKey>,
    /// Tasks of `running` whose class is preemptible.
    pub(crate) preemptible: BTreeSet<VictimKey>,
    /// When more allotment was last requested for the team.
    pub(crate) allotment_requested_at: Option<ClockMillis>,
    /// Preemptions in flight for the team, one for each request or task that gets the room.
    pub(crate) preemptions_in_flight: usize,
    /// No tasks to preempt for the team are searched before this instant, by cause.
    pub(crate) next_preemption_at: [ClockMillis; 3],
}

/// All teams that the cell has seen, by position and name.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamLedger {
    pub(crate) teams: Vec<TeamAccount>,
    by_name: FixedMap<TeamName, TeamIndex>,
}

impl TeamLedger {
    pub(crate) fn find(&self, name: &TeamName) -> Option<TeamIndex> {
        self.by_name.get(name).copied()
    }

    /// Returns the position of a team; adds one that is not configured if it is new.
    pub(crate) fn intern(&mut self, name: &TeamName) -> TeamIndex {
        if let Some(index) = self.find(name) {
            return index;
        }
        let index = TeamIndex(u32::try_from(self.teams.len()).unwrap_or(u32::MAX));
        self.teams.push(TeamAccount {
            name: name.clone(),
            configured: false,
            weight: 1,
            allotment: None,
            used: ResourceAmounts::ZERO,
            stopping: ResourceAmounts::ZERO,
            running: BTreeSet::new(),
            preemptible: BTreeSet::new(),
            allotment_requested_at: None,
            preemptions_in_flight: 0,
            next_preemption_at: [ClockMillis(0); 3],
        });
        self.by_name.insert(name.clone(), index);
        index
    }

    pub(crate) fn get(&self, index: TeamIndex) -> &TeamAccount {
        &self.teams[index.0 as usize]
    }

    pub(crate) fn get_mut(&mut self, index: TeamIndex) -> &mut TeamAccount {
        &mut self.teams[index.0 as usize]
    }

    pub(crate) fn indices(&self) -> impl Iterator<Item = TeamIndex> + use<> {
        (0..u32::try_from(self.teams.len()).unwrap_or(u32::MAX)).map(TeamIndex)
    }

    /// Counts a hold for its team.
    pub(crate) fn add_hold(&mut self, id: HoldId, hold: &TaskHold) {
        let team = self.get_mut(hold.team);
        team.used = team.used.plus(hold.amounts);
        if hold.stop.is_some() {
            team.stopping = team.stopping.plus(hold.amounts);
            return;
        }
        team.running.insert(hold.victim_key(id));
        if hold.class.preemptible {
            team.preemptible.insert(hold.victim_key(id));
        }
    }

    /// Removes a hold from its team. The hold must be as it was when it was added.
    pub(crate) fn remove_hold(&mut self, id: HoldId, hold: &TaskHold) {
        let team = self.get_mut(hold.team);
        team.used = team.used.minus(hold.amounts);
        if hold.stop.is_some() {
            team.stopping = team.stopping.minus(hold.amounts);
        }
        team.running.remove(&hold.victim_key(id));
        team.preemptible.remove(&hold.victim_key(id));
    }

    /// Returns the dominant share of a team divided by its weight.
    pub(crate) fn weighted_share(&self, index: TeamIndex, total: ResourceAmounts) -> f64 {
        let team = self.get(index);
        team.used.dominant_share(total) / f64::from(team.weight.max(1))
    }
}
