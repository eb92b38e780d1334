//! Rules about references between objects.

use std::collections::{HashMap, HashSet};

use super::problem::{ObjectLabel, ProblemList};
use crate::object::ObjectSet;

/// Reports references to objects that the set does not have.
pub(super) fn check_references(set: &ObjectSet, problems: &mut ProblemList) {
    let domains: HashSet<&str> = set.domains.iter().map(|domain| domain.name.as_str()).collect();
    let classes: HashSet<&str> = set.classes.iter().map(|class| class.name.as_str()).collect();
    let teams = team_names(set);

    let mut require = |label: ObjectLabel<'_>, field: &str, known: &HashSet<&str>, name: &str| {
        if !known.contains(name) {
            let message = format!(
                "there is no {field} `{name}`; accepted is the name of a {field} of this set"
            );
            problems.add(label, field, message);
        }
    };
    for worker in &set.workers {
        let label = ObjectLabel("worker", worker.name.as_str());
        require(label, "domain", &domains, worker.domain.as_str());
    }
    for key in &set.keys {
        require(ObjectLabel("key", key.name.as_str()), "team", &teams, key.team.as_str());
    }
    for share in &set.shares {
        require(ObjectLabel("share", share.name.as_str()), "team", &teams, share.team.as_str());
    }
    for limit in &set.limits {
        require(ObjectLabel("limit", limit.name.as_str()), "team", &teams, limit.team.as_str());
    }
    for queue in &set.queues {
        let label = ObjectLabel("queue", queue.name.as_str());
        require(label, "team", &teams, queue.team.as_str());
        require(label, "class", &classes, queue.class.as_str());
    }
}

/// Reports parents that do not exist, and each cycle of parents once.
pub(super) fn check_parents(set: &ObjectSet, problems: &mut ProblemList) {
    let teams = team_names(set);
    let parents: HashMap<&str, &str> = set
        .teams
        .iter()
        .filter_map(|team| Some((team.name.as_str(), team.parent.as_ref()?.as_str())))
        .collect();
    let mut visited = HashSet::new();
    for team in &set.teams {
        let name = team.name.as_str();
        if let Some(parent) = &team.parent
            && !teams.contains(parent.as_str())
        {
            let message = format!(
                "there is no team `{parent}`; accepted is the name of another team of this set, \
                 or no parent"
            );
            problems.add(ObjectLabel("team", name), "parent", message);
        }
        if let Some(cycle) = find_cycle(name, &parents, &mut visited) {
            let first = cycle[0];
            let message = format!(
                "the parents form a cycle: {} -> {first}; accepted are parents that lead to a \
                 team without parent",
                cycle.join(" -> ")
            );
            problems.add(ObjectLabel("team", first), "parent", message);
        }
    }
}

/// Returns the teams of a cycle among the parents of `start`, if there is a new one.
///
/// The search stops at a team that was visited before, so that each team is
/// visited once and the check stays linear. Teams that only lead into the cycle
/// are left out.
fn find_cycle<'a>(
    start: &'a str,
    parents: &HashMap<&'a str, &'a str>,
    visited: &mut HashSet<&'a str>,
) -> Option<Vec<&'a str>> {
    let mut path = Vec::new();
    let mut positions = HashMap::new();
    let mut team = start;
    loop {
        if let Some(position) = positions.get(team) {
            return Some(path.split_off(*position));
        }
        if !visited.insert(team) {
            return None;
        }
        positions.insert(team, path.len());
        path.push(team);
        team = parents.get(team)?;
    }
}

/// Reports teams with several shares or limits, and teams with a queue but no share or limit.
pub(super) fn check_team_objects(set: &ObjectSet, problems: &mut ProblemList) {
    let shares = set.shares.iter().map(|share| (share.name.as_str(), share.team.as_str()));
    let shares = index_by_team("share", shares, problems);
    let limits = set.limits.iter().map(|limit| (limit.name.as_str(), limit.team.as_str()));
    let limits = index_by_team("limit", limits, problems);

    let teams = team_names(set);
    let mut reported = HashSet::new();
    for queue in &set.queues {
        let team = queue.team.as_str();
        if !teams.contains(team) || !reported.insert(team) {
            continue;
        }
        for (kind, found) in [("limit", &limits), ("share", &shares)] {
            if !found.contains_key(team) {
                let message = format!(
                    "is missing, but the team has queue `{}`; a team with a queue needs exactly \
                     one {kind} object that names it",
                    queue.name
                );
                problems.add(ObjectLabel("team", team), kind, message);
            }
        }
    }
}

/// Indexes the names of shares or limits by team and reports a second one of the same team.
fn index_by_team<'a>(
    kind: &'static str,
    objects: impl Iterator<Item = (&'a str, &'a str)>,
    problems: &mut ProblemList,
) -> HashMap<&'a str, &'a str> {
    let mut found = HashMap::new();
    for (name, team) in objects {
        if let Some(first) = found.get(team) {
            let message = format!(
                "team `{team}` already has {kind} `{first}`; at most one {kind} a team is accepted"
            );
            problems.add(ObjectLabel(kind, name), "team", message);
        } else {
            found.insert(team, name);
        }
    }
    found
}

fn team_names(set: &ObjectSet) -> HashSet<&str> {
    set.teams.iter().map(|team| team.name.as_str()).collect()
}
