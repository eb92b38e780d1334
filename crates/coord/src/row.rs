//! Values of the platform's rows that coordination reads and writes.

use std::collections::BTreeMap;

use arcstr::ArcStr;
use model::authority::OwnerAuthority;
use model::name::{DomainName, EntryId, LimitName};
use model::resource::ResourceAmounts;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// An entry as a member of its domain.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryMember {
    /// The process.
    pub entry: EntryId,
    /// Its peer address, `IP:PORT`.
    pub address: ArcStr,
    /// Name of the VM in the platform's list.
    pub vm: ArcStr,
}

/// Short list of members; a domain has a handful of entries.
pub type MemberList = SmallVec<[EntryMember; 4]>;

/// Row `owner/<domain>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OwnerRow {
    /// Authority of the holder.
    pub authority: OwnerAuthority,
    /// The holder; absent after a release.
    pub holder: Option<EntryMember>,
    /// Counts renewals, so that each changes the row.
    pub renewal: u64,
    /// Entries that may claim after `OWNER_TTL`; the holder knows them all.
    pub voters: MemberList,
    /// Entries that asked to become voters.
    pub candidates: MemberList,
}

/// Row `allot/<team>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AllotmentRow {
    /// What each domain may run of the team; the sum is at most the limit.
    pub domains: BTreeMap<DomainName, ResourceAmounts>,
    /// What each domain would use beyond its allotment.
    pub wanted: BTreeMap<DomainName, ResourceAmounts>,
    /// Limit that the split was made for, for operators who read the row.
    pub limit: Option<LimitName>,
}

/// Row `config/head`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigHead {
    /// Version, from 1.
    pub version: u64,
    /// Identifier of the change that wrote it.
    pub change_id: String,
    /// Name of the object that holds the body.
    pub object: String,
    /// SHA-256 of the body in hexadecimal digits.
    pub digest: String,
}

/// Row `confirm/<domain>`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfirmRow {
    /// Version that the domain's owner enforces.
    pub version: u64,
}

/// Returns the key of a domain's ownership row.
#[must_use]
pub fn owner_key(domain: &DomainName) -> String {
    format!("owner/{domain}")
}

/// Returns the key of a domain's confirmation row.
#[must_use]
pub fn confirm_key(domain: &DomainName) -> String {
    format!("confirm/{domain}")
}

/// Returns the key of a team's allotment row.
#[must_use]
pub fn allotment_key(team: &model::name::TeamName) -> String {
    format!("allot/{team}")
}

/// Key of the configuration head.
pub const CONFIG_HEAD_KEY: &str = "config/head";
