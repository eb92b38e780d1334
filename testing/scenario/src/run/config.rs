//! The configuration objects of a cell, and operators' changes to them.

use std::collections::BTreeMap;

use model::name::{ClassName, KeyName, LimitName, ShareName, TeamName};
use model::object::{
    self, ClassKind, ClassObject, DomainObject, KeyObject, LimitObject, ObjectSet, QueueObject,
    ShareObject, TeamObject, UrgencyLevel, WorkerObject,
};
use model::resource::ResourceAmounts;

use super::topology::CellTopology;
use crate::script::{AmountPatch, CellLayout, ConfigChange, QueueLayout};

/// Returns the secret of a key, as callers present it.
pub fn key_secret(key: &KeyName) -> String {
    format!("secret-of-{key}")
}

/// Returns `base` with the amounts that the patch names replaced.
pub fn patch_amounts(base: ResourceAmounts, patch: AmountPatch) -> ResourceAmounts {
    ResourceAmounts {
        cpu_millis: patch.cpu.unwrap_or(base.cpu_millis),
        memory_mb: patch.memory.unwrap_or(base.memory_mb),
        accelerators: patch.accelerators.unwrap_or(base.accelerators),
        slots: patch.slots.unwrap_or(base.slots),
    }
}

fn key_object(name: &KeyName, team: &TeamName) -> KeyObject {
    let digest = object::key_digest(&key_secret(name));
    KeyObject { name: name.clone(), team: team.clone(), digest }
}

fn class_name(kind: ClassKind, urgency: UrgencyLevel) -> ClassName {
    ClassName::from(format!("{kind:?}-{urgency:?}").to_lowercase())
}

/// Builds the first configuration of a cell.
///
/// For a resource that a limit leaves out, it is the capacity of the whole fleet.
pub fn build_objects(layout: &CellLayout, topology: &CellTopology) -> ObjectSet {
    let domains = layout.domains.iter().map(|domain| DomainObject {
        name: domain.name.clone(),
        region: String::new(),
        state: object::DomainState::In,
    });
    let workers = topology.workers.iter().map(|worker| WorkerObject {
        name: worker.name.clone(),
        domain: worker.domain.clone(),
        rack: worker.rack.clone(),
        address: worker.proxy_address.clone(),
        capacity: worker.capacity,
        connections: worker.connections,
    });
    let mut set = ObjectSet {
        domains: domains.collect(),
        workers: workers.collect(),
        queues: layout.queues.iter().map(queue_object).collect(),
        classes: class_objects(layout),
        ..ObjectSet::default()
    };
    for team in &layout.teams {
        set.teams.push(TeamObject { name: team.name.clone(), parent: None });
        set.keys.extend(team.keys.iter().map(|key| key_object(key, &team.name)));
        // An object set is valid only if each team with a queue has a share and a
        // limit. The defaults are equal shares and the capacity of the whole fleet.
        set_share(&mut set, &team.name, team.share.unwrap_or(1));
        set_limit(&mut set, &team.name, team.limit.unwrap_or_default(), topology.total_capacity());
    }
    set
}

fn queue_object(queue: &QueueLayout) -> QueueObject {
    QueueObject {
        name: queue.name.clone(),
        team: queue.team.clone(),
        open: queue.open,
        class: class_name(queue.class, queue.urgency),
        bound: queue.bound.unwrap_or(1000),
    }
}

fn class_objects(layout: &CellLayout) -> Vec<ClassObject> {
    let classes = layout.queues.iter().map(|queue| ClassObject {
        name: class_name(queue.class, queue.urgency),
        kind: queue.class,
        urgency: queue.urgency,
        amounts: ResourceAmounts::ZERO,
        preemptible: queue.class == ClassKind::Batch,
    });
    let distinct: BTreeMap<ClassName, ClassObject> =
        classes.map(|class| (class.name.clone(), class)).collect();
    distinct.into_values().collect()
}

fn set_share(set: &mut ObjectSet, team: &TeamName, weight: u32) {
    set.shares.retain(|share| share.team != *team);
    let name = ShareName::from(team.as_str());
    set.shares.push(ShareObject { name, team: team.clone(), weight });
}

fn set_limit(set: &mut ObjectSet, team: &TeamName, patch: AmountPatch, fleet: ResourceAmounts) {
    let present = set.limits.iter().find(|limit| limit.team == *team);
    let amounts = patch_amounts(present.map_or(fleet, |limit| limit.amounts), patch);
    set.limits.retain(|limit| limit.team != *team);
    let name = LimitName::from(team.as_str());
    set.limits.push(LimitObject { name, team: team.clone(), amounts });
}

/// Applies one operator's change to an object set.
pub fn edit_objects(set: &mut ObjectSet, change: &ConfigChange, fleet: ResourceAmounts) {
    match change {
        ConfigChange::Withdraw(key) => set.keys.retain(|object| object.name != *key),
        ConfigChange::Grant(key, team) => {
            set.keys.retain(|object| object.name != *key);
            set.keys.push(key_object(key, team));
        }
        ConfigChange::Limit(team, patch) => set_limit(set, team, *patch, fleet),
        ConfigChange::Share(team, weight) => set_share(set, team, *weight),
        ConfigChange::Domain(name, state) => {
            let found = set.domains.iter_mut().filter(|domain| domain.name == *name);
            found.for_each(|domain| domain.state = *state);
        }
    }
}
