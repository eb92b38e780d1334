//! Which configuration an entry has in force and what it may do with it.

use std::sync::Arc;

use model::object::ObjectSet;
use model::time::ClockMillis;

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
    pub fn offer(&mut self, version: u64, objects: Arc<ObjectSet>) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        self.objects = objects;
        true
    }

    /// Notes that the platform confirmed the version in force as the newest in a
    /// read that was sent at `sent_at`.
    pub fn confirm_contact(&mut self, sent_at: ClockMillis) {
        self.contact = self.contact.max(Some(sent_at));
    }

    /// Tells whether keyed work may be accepted and tasks started.
    #[must_use]
    pub fn is_fresh(&self, now: ClockMillis) -> bool {
        self.contact.is_some_and(|contact| now.since(contact) < self.bound_ms)
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
