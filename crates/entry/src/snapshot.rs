//! The configuration in force, indexed for look-ups by the traffic threads.

use std::collections::HashMap;
use std::sync::Arc;

use model::kind::ErrorKind;
use model::name::{ClassName, QueueName, TeamName};
use model::object::{self, ClassKind, ClassObject, ObjectSet, QueueObject};
use wire::peer::PeerRefusal;

/// An immutable, indexed configuration version, shared by all threads.
#[derive(Debug, Default)]
pub struct ConfigSnapshot {
    /// The version, 0 before the first configuration.
    pub version: u64,
    /// All objects of this version.
    pub objects: Arc<ObjectSet>,
    keys: HashMap<String, TeamName>,
    queues: HashMap<QueueName, QueueObject>,
    classes: HashMap<ClassName, ClassObject>,
}

/// A queue that a caller may use, with its class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueAccess {
    /// Team whose allotment the work uses.
    pub team: TeamName,
    /// The queue.
    pub queue: QueueObject,
    /// The queue's class.
    pub class: ClassObject,
    /// Digest of the key; empty for an open queue, which needs no key.
    pub digest: String,
}

impl ConfigSnapshot {
    /// Indexes the objects of a version.
    #[must_use]
    pub fn new(version: u64, objects: Arc<ObjectSet>) -> Self {
        let keys = objects.keys.iter().map(|key| (key.digest.clone(), key.team.clone())).collect();
        let queues =
            objects.queues.iter().map(|queue| (queue.name.clone(), queue.clone())).collect();
        let classes =
            objects.classes.iter().map(|class| (class.name.clone(), class.clone())).collect();
        Self { version, objects, keys, queues, classes }
    }

    /// Returns the team of the key whose secret has this digest.
    #[must_use]
    pub fn team_of(&self, digest: &str) -> Option<&TeamName> {
        self.keys.get(digest)
    }

    /// Checks that a caller with this key may use a queue, and returns its access.
    ///
    /// # Errors
    /// A refusal of kind `not-found`, `bad-key` or `wrong-team`.
    pub fn authorize(&self, queue: &str, secret: Option<&str>) -> Result<QueueAccess, PeerRefusal> {
        self.authorize_digest(queue, &secret.map(object::key_digest).unwrap_or_default())
    }

    /// Does the same as [`Self::authorize`] for the digest of a key; empty means no key.
    ///
    /// # Errors
    /// A refusal of kind `not-found`, `bad-key` or `wrong-team`.
    pub fn authorize_digest(&self, queue: &str, digest: &str) -> Result<QueueAccess, PeerRefusal> {
        let queue = self.queues.get(queue).ok_or_else(|| {
            PeerRefusal::new(ErrorKind::NotFound, format!("there is no queue `{queue}`"))
        })?;
        let class = self.classes.get(&queue.class).ok_or_else(|| {
            PeerRefusal::new(ErrorKind::Internal, "the queue's class is not in the configuration")
        })?;
        let access = |digest: &str| QueueAccess {
            team: queue.team.clone(),
            queue: queue.clone(),
            class: class.clone(),
            digest: digest.to_owned(),
        };
        if queue.open {
            return Ok(access(""));
        }
        match self.keys.get(digest) {
            Some(team) if *team == queue.team => Ok(access(digest)),
            Some(_) => Err(PeerRefusal::new(
                ErrorKind::WrongTeam,
                format!("the key belongs to another team than queue `{}`", queue.name),
            )),
            None => Err(PeerRefusal::new(
                ErrorKind::BadKey,
                "no valid key; send `authorization: Bearer KEY` with a key of the queue's team",
            )),
        }
    }

    /// Returns whether the queue accepts requests; otherwise it accepts jobs.
    #[must_use]
    pub fn accepts_requests(access: &QueueAccess) -> bool {
        access.class.kind == ClassKind::Request
    }
}
