//! The named objects of the configuration, which operators edit and publish as a set.
//!
//! Objects refer to one another by name. [`crate::check`] checks the whole set
//! before it is published, see docs/design.md, section 6.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::Digest;
use smallvec::SmallVec;

use crate::name::{
    ClassName, DomainName, KeyName, LimitName, QueueName, RackName, ShareName, TeamName, WorkerName,
};
use crate::resource::ResourceAmounts;

mod parse;

/// The whole configuration of one cell.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObjectSet {
    /// Failure domains of the cell.
    pub domains: Vec<DomainObject>,
    /// Workers, each in one domain.
    pub workers: Vec<WorkerObject>,
    /// Teams that submit work.
    pub teams: Vec<TeamObject>,
    /// Keys, each of one team.
    pub keys: Vec<KeyObject>,
    /// Shares, at most one for each team.
    pub shares: Vec<ShareObject>,
    /// Limits, at most one for each team.
    pub limits: Vec<LimitObject>,
    /// Queues for requests and jobs.
    pub queues: Vec<QueueObject>,
    /// Job classes that queues refer to.
    pub classes: Vec<ClassObject>,
}

/// Whether a failure domain accepts work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DomainState {
    /// The domain accepts work.
    #[default]
    In,
    /// Operators have taken the domain out of service.
    Out,
}

/// A failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainObject {
    /// Name, unique among domains.
    pub name: DomainName,
    /// Region that the domain lies in.
    #[serde(default)]
    pub region: String,
    /// Whether the domain accepts work.
    #[serde(default)]
    pub state: DomainState,
}

/// A worker VM and the resources that it offers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerObject {
    /// Name, unique among workers.
    pub name: WorkerName,
    /// The failure domain that it is in.
    pub domain: DomainName,
    /// The rack that it is in.
    pub rack: RackName,
    /// Address of its HTTP endpoint, `IP:PORT`.
    pub address: String,
    /// Resources that it offers, request slots included.
    pub capacity: ResourceAmounts,
    /// Connections that its endpoint accepts, from 1 to 1024.
    #[serde(default = "default_connections")]
    pub connections: u32,
}

const fn default_connections() -> u32 {
    64
}

/// A team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamObject {
    /// Name, unique among teams.
    pub name: TeamName,
    /// The team that this one is part of, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<TeamName>,
}

/// A key with which callers of one team submit work.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyObject {
    /// Name, unique among keys.
    pub name: KeyName,
    /// The team whose work the key authorises.
    pub team: TeamName,
    /// SHA-256 of the secret, 64 hexadecimal digits.
    pub digest: String,
}

impl fmt::Debug for KeyObject {
    /// Leaves the digest out, so that logs cannot be used for a dictionary attack.
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.debug_struct("KeyObject")
            .field("name", &self.name)
            .field("team", &self.team)
            .field("digest", &"<redacted>")
            .finish()
    }
}

/// Returns the digest of a key's secret as the configuration stores it.
#[must_use]
pub fn key_digest(secret: &str) -> String {
    hex_digest(secret.as_bytes())
}

/// Returns the SHA-256 of `bytes` in hexadecimal digits.
#[must_use]
pub fn hex_digest(bytes: &[u8]) -> String {
    use fmt::Write;

    let digest = sha2::Sha256::digest(bytes);
    digest.iter().fold(String::with_capacity(64), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// A team's share of the fleet while the demand exceeds its capacity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShareObject {
    /// Name, unique among shares.
    pub name: ShareName,
    /// The team that holds the share.
    pub team: TeamName,
    /// Weight relative to other teams, from 1 to 10,000.
    pub weight: u32,
}

/// Upper limit of what a team may run across the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitObject {
    /// Name, unique among limits.
    pub name: LimitName,
    /// The team that the limit applies to.
    pub team: TeamName,
    /// Most resources in use at once; a resource that is left out is 0.
    pub amounts: ResourceAmounts,
}

/// How soon work of a queue has to start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum UrgencyLevel {
    /// A person waits for the result; the work starts within 1.7 s.
    Urgent,
    /// Ordinary work.
    #[default]
    Normal,
    /// Work that uses the capacity that other work leaves free.
    Batch,
}

/// A queue through which work is accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueObject {
    /// Name, unique among queues.
    pub name: QueueName,
    /// Team whose key is needed, and whose share and limit the work counts towards.
    pub team: TeamName,
    /// Whether work is accepted without a key.
    #[serde(default)]
    pub open: bool,
    /// Class of the work.
    pub class: ClassName,
    /// Most requests that may wait at once in one domain, from 1 to 100,000.
    #[serde(default = "default_bound")]
    pub bound: u32,
}

const fn default_bound() -> u32 {
    1000
}

/// Kind of work of a class, which decides how it is placed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClassKind {
    /// A request that occupies a slot of an endpoint until it is answered.
    Request,
    /// Long-running tasks, spread over racks.
    Service,
    /// Tasks that end by themselves and are packed onto few workers.
    #[default]
    Batch,
    /// Tasks that start all together or not at all.
    Gang,
}

/// A class of work, shared by queues.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassObject {
    /// Name, unique among classes.
    pub name: ClassName,
    /// Kind of work, which decides how it is placed.
    pub kind: ClassKind,
    /// How soon the work has to start.
    #[serde(default)]
    pub urgency: UrgencyLevel,
    /// What one request of the class uses besides its slot; unused for jobs.
    #[serde(default)]
    pub amounts: ResourceAmounts,
    /// Whether tasks may be checkpointed to make room.
    #[serde(default)]
    pub preemptible: bool,
}

impl ObjectSet {
    /// Returns the failure domains that accept work.
    pub fn domains_in_service(&self) -> impl Iterator<Item = &DomainObject> {
        self.domains.iter().filter(|domain| domain.state == DomainState::In)
    }
}

/// List of domains; up to 4 are stored without an allocation.
pub type DomainList = SmallVec<[DomainName; 4]>;
