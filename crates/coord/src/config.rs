//! Which configuration an entry has in force and what it may do with it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use model::name::DomainName;
use model::object::ObjectSet;
use model::time::ClockMillis;

use crate::row::ConfirmRow;

/// The configuration that an entry has in force.
#[derive(Clone, Debug)]
pub struct ConfigTracker {
    version: u64,
    objects: Arc<ObjectSet>,
    contact: Option<ClockMillis>,
    bound_ms: u64,
}

impl ConfigTracker {
    /// Creates a tracker with the empty set, version 0.
    #[must_use]
    pub fn new(bound_ms: u64) -> Self {
        Self { version: 0, objects: Arc::default(), contact: None, bound_ms }
    }

    /// Takes a version; returns whether it is newer and is now in force.
    pub fn apply_version(&mut self, version: u64, objects: Arc<ObjectSet>) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        self.objects = objects;
        true
    }

    /// Notes that the platform confirmed the version in force as the newest in a
    /// read that was sent at `sent_at`.
    pub fn record_confirmation(&mut self, sent_at: ClockMillis) {
        self.contact = self.contact.max(Some(sent_at));
    }

    /// Tells whether keyed work may be accepted and tasks started.
    #[must_use]
    pub fn is_confirmed(&self, now: ClockMillis) -> bool {
        self.contact.is_some_and(|contact| now.since(contact) < self.bound_ms)
    }

    /// Returns the milliseconds since the platform last confirmed the version in force.
    #[must_use]
    pub fn confirmation_age(&self, now: ClockMillis) -> Option<u64> {
        self.contact.map(|contact| now.since(contact))
    }

    /// Returns the version in force, 0 before the first.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the set in force.
    #[must_use]
    pub fn objects(&self) -> &Arc<ObjectSet> {
        &self.objects
    }
}

/// Where a version is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigConfirmation {
    /// Domains whose owner enforces the version or a later one.
    pub in_force: BTreeSet<DomainName>,
    /// Domains whose owner has not confirmed it.
    pub not_confirmed: BTreeSet<DomainName>,
}

impl ConfigConfirmation {
    /// Tells whether the change is accepted, so that the answer is 200 and not 202.
    #[must_use]
    pub fn is_accepted(&self) -> bool {
        self.not_confirmed.is_empty()
    }
}

/// Tells in which domains the version of the head is in force.
///
/// `rows` holds the rows `confirm/<domain>` that exist. A domain of either set
/// has to confirm: one that the change removes may still run work under the
/// old set, one that it adds may already have an owner that waits.
#[must_use]
pub fn compute_confirmation(
    head: u64,
    rows: &BTreeMap<DomainName, ConfirmRow>,
    old: &ObjectSet,
    new: &ObjectSet,
) -> ConfigConfirmation {
    let mut confirmation = ConfigConfirmation::default();
    for domain in old.domains.iter().chain(&new.domains) {
        let confirmed = rows.get(&domain.name).is_some_and(|row| row.version >= head);
        let names =
            if confirmed { &mut confirmation.in_force } else { &mut confirmation.not_confirmed };
        names.insert(domain.name.clone());
    }
    confirmation
}
