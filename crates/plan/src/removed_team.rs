//! Limits of teams that the configuration does not name any more.
//!
//! A team is removed while accepted jobs of it are unfinished. Its keys stop working, so that it submits
//! nothing more, but what was accepted is done, within the limit that held last.

use std::collections::BTreeMap;

use model::name::TeamName;
use model::resource::ResourceAmounts;

use crate::config::PlanConfig;
use crate::job::JobSpec;
use crate::planner::Planner;

/// Limit of a team that the configuration does not name.
#[derive(Clone, Copy, Debug)]
struct RemovedLimit {
    limit: ResourceAmounts,
    /// When the job was accepted from which the limit is known, in milliseconds since the Unix epoch;
    /// none if it is that of an earlier configuration.
    accepted_ms: Option<u64>,
}

/// Limits of teams that have unfinished jobs and that the configuration does not name.
#[derive(Clone, Debug, Default)]
pub(crate) struct RemovedTeams {
    limits: BTreeMap<TeamName, RemovedLimit>,
}

impl RemovedTeams {
    /// Keeps the limits of teams that `earlier` names and `config` does not, if `has_jobs` says that
    /// they are needed, and forgets those that are not.
    pub(crate) fn replace_config(
        &mut self,
        earlier: &PlanConfig,
        config: &PlanConfig,
        has_jobs: impl Fn(&TeamName) -> bool,
    ) {
        for (team, rule) in &earlier.teams {
            let removed = RemovedLimit { limit: rule.limit, accepted_ms: None };
            self.limits.insert(team.clone(), removed);
        }
        self.limits.retain(|team, _| !config.teams.contains_key(team) && has_jobs(team));
    }

    /// Learns the limit under which a job was accepted, if the limit of its team is known from no
    /// configuration and from no job that was accepted later.
    fn learn_limit(&mut self, team: &TeamName, spec: &JobSpec) {
        let accepted = RemovedLimit {
            limit: spec.accepted_limit.unwrap_or(ResourceAmounts::UNLIMITED),
            accepted_ms: Some(spec.accepted_ms),
        };
        let known = self.limits.entry(team.clone()).or_insert(accepted);
        if known.accepted_ms.is_some_and(|known_ms| known_ms < spec.accepted_ms) {
            *known = accepted;
        }
    }
}

impl Planner {
    /// Keeps the limit of an accepted job's team if the configuration does not name the team.
    pub(crate) fn keep_limit(&mut self, spec: &JobSpec) {
        if let Some(team) = &spec.team
            && !self.config.teams.contains_key(team)
        {
            self.removed_teams.learn_limit(team, spec);
        }
    }

    /// Returns what the runs of a team may use: its limit in the configuration, or else the last one
    /// that is known.
    pub(crate) fn team_limit(&self, team: &TeamName) -> ResourceAmounts {
        let rule = self.config.teams.get(team).map(|rule| rule.limit);
        let removed = || self.removed_teams.limits.get(team).map(|removed| removed.limit);
        rule.or_else(removed).unwrap_or(ResourceAmounts::UNLIMITED)
    }
}
