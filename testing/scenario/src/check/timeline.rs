//! Timeline of configuration changes: which ones may be in force at an instant.

use std::collections::BTreeMap;

use model::name::{DomainName, KeyName, QueueName, TeamName};
use model::object::{DomainState, ObjectSet};
use model::resource::ResourceAmounts;
use wire::history::{OperatorEvent, OperatorRecord};

use super::SETTLE_US;

/// One configuration change of an operator and its result.
#[derive(Debug)]
pub struct ConfigChange<'a> {
    /// When it was first sent, in microseconds.
    pub sent: u64,
    /// When it was first answered with 200, in microseconds.
    pub accepted: Option<u64>,
    /// Version under which it was committed, if known.
    pub version: Option<u64>,
    /// The whole object set that was sent.
    pub objects: &'a ObjectSet,
    send_count: usize,
    rejection_count: usize,
}

impl ConfigChange<'_> {
    /// Returns true if every attempt was refused, so that it can never be in force.
    fn is_rejected(&self) -> bool {
        self.version.is_none() && self.rejection_count >= self.send_count
    }

    /// Returns the team of a key, if the set has the key.
    pub fn key_team(&self, key: &str) -> Option<&TeamName> {
        let found = self.objects.keys.iter().find(|object| object.name == KeyName::from(key));
        found.map(|object| &object.team)
    }

    /// Returns the team of a queue and whether it takes work without a key.
    pub fn queue_team(&self, queue: &str) -> Option<(&TeamName, bool)> {
        let found = self.objects.queues.iter().find(|it| it.name == QueueName::from(queue));
        found.map(|object| (&object.team, object.open))
    }

    fn is_domain_out(&self, domain: &DomainName) -> bool {
        let found = self.objects.domains.iter().find(|object| object.name == *domain);
        found.is_some_and(|object| object.state == DomainState::Out)
    }

    fn team_limit(&self, team: &TeamName) -> ResourceAmounts {
        let found = self.objects.limits.iter().find(|object| object.team == *team);
        found.map_or(ResourceAmounts::UNLIMITED, |object| object.amounts)
    }
}

/// All configuration changes of a run.
#[derive(Debug)]
pub struct ConfigTimeline<'a> {
    changes: Vec<ConfigChange<'a>>,
}

impl<'a> ConfigTimeline<'a> {
    /// Collects the changes from the operators' history.
    pub fn build(records: &'a [OperatorRecord]) -> Self {
        let mut changes: BTreeMap<&str, ConfigChange<'a>> = BTreeMap::new();
        for record in records {
            match &record.event {
                OperatorEvent::Sent { change_id, objects } => {
                    let change = changes.entry(change_id).or_insert(ConfigChange {
                        sent: record.at_us,
                        accepted: None,
                        version: None,
                        objects,
                        send_count: 0,
                        rejection_count: 0,
                    });
                    change.send_count += 1;
                }
                OperatorEvent::Received { change_id, status, version, .. } => {
                    let Some(change) = changes.get_mut(change_id.as_str()) else { continue };
                    match status {
                        200 => {
                            change.accepted = change.accepted.or(Some(record.at_us));
                            change.version = Some(*version);
                        }
                        202 => change.version = Some(*version),
                        // Errors with these statuses guarantee that nothing was changed.
                        400..500 | 503 => change.rejection_count += 1,
                        _ => {}
                    }
                }
                OperatorEvent::Observed { .. } => {}
            }
        }
        Self { changes: changes.into_values().collect() }
    }

    /// Returns the latest change whose time to take effect was over at `at`.
    pub fn settled_change(&self, at: u64) -> Option<&ConfigChange<'a>> {
        let is_settled = |change: &&ConfigChange<'_>| {
            change.accepted.is_some_and(|accepted| accepted + SETTLE_US < at)
        };
        self.changes.iter().filter(is_settled).max_by_key(|change| change.version)
    }

    /// Returns every change that may be in force at `at`.
    ///
    /// These are the settled change and all later ones that were not refused. A
    /// change of unknown version that was sent before the settled one cannot have
    /// been committed after it, because its base version was older.
    pub fn possible_changes(&self, at: u64) -> Vec<&ConfigChange<'a>> {
        let settled = self.settled_change(at);
        let is_later = |change: &ConfigChange<'_>| match (settled, change.version) {
            (None, _) => true,
            (Some(base), Some(version)) => Some(version) >= base.version,
            (Some(base), None) => change.sent > base.sent,
        };
        let is_possible = |change: &&ConfigChange<'_>| {
            change.sent <= at && !change.is_rejected() && is_later(change)
        };
        self.changes.iter().filter(is_possible).collect()
    }

    /// Returns the highest limit of a team that may be in force at `at`.
    pub fn highest_limit(&self, team: &TeamName, at: u64) -> ResourceAmounts {
        let limits = self.possible_changes(at).into_iter().map(|change| change.team_limit(team));
        limits.reduce(ResourceAmounts::max).unwrap_or(ResourceAmounts::ZERO)
    }

    /// Returns true if a domain is out of service at `at` under every possible change.
    pub fn is_certainly_out(&self, domain: &DomainName, at: u64) -> bool {
        self.settled_change(at).is_some()
            && self.possible_changes(at).iter().all(|change| change.is_domain_out(domain))
    }

    /// Returns the first instant at which each accepted change counts as settled.
    pub fn settle_instants(&self) -> impl Iterator<Item = u64> + '_ {
        self.changes.iter().filter_map(|change| change.accepted).map(|at| at + SETTLE_US + 1)
    }
}
