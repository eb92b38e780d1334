//! Values and keys of the rows in the platform's table that entries coordinate by.

use std::collections::BTreeMap;

use arcstr::ArcStr;
use model::authority::OwnerAuthority;
use model::name::{DomainName, EntryId, LimitName};
use model::resource::ResourceAmounts;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// A process of an entry as a member of its domain.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryMember {
    /// Identifier of the process; a restarted process has another one.
    pub entry: EntryId,
    /// Peer address of the process, `IP:PORT`.
    pub address: ArcStr,
    /// Name of the VM in the platform's list.
    pub vm: ArcStr,
}

/// List of members, stored inline up to the few entries that a domain has.
pub type MemberList = SmallVec<[EntryMember; 4]>;

/// Row `owner/<domain>`: the holder of a domain and the entries that may succeed it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OwnerRow {
    /// Authority of the holder.
    pub authority: OwnerAuthority,
    /// The holder; `None` after a release.
    pub holder: Option<EntryMember>,
    /// Grows with each claim, renewal and release, so that each changes the row.
    pub renewal: u64,
    /// Entries that may claim the row when it has not been renewed for
    /// [`OWNER_TTL_MS`](crate::owner::OWNER_TTL_MS). The holder knows all of them.
    pub voters: MemberList,
    /// Entries that joined and wait to become voters.
    pub candidates: MemberList,
}

/// Row `allot/<team>`: the split of a team's limit over the domains.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AllotmentRow {
    /// Allotment of each domain. The sum is at most the limit, except for a
    /// while after the limit was lowered.
    pub domains: BTreeMap<DomainName, ResourceAmounts>,
    /// What each domain requests beyond its allotment.
    #[serde(rename = "wanted")]
    pub requested: BTreeMap<DomainName, ResourceAmounts>,
    /// Limit that the split was made for, for operators who read the row.
    pub limit: Option<LimitName>,
}

/// Row `config/head`: the newest configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigHead {
    /// Version of the configuration, from 1.
    pub version: u64,
    /// Identifier of the change that produced this version.
    pub change_id: String,
    /// Name of the object in the platform's store that holds the configuration.
    pub object: String,
    /// SHA-256 of that object in hexadecimal digits.
    pub digest: String,
}

/// Row `confirm/<domain>`: the configuration that a domain has confirmed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfirmRow {
    /// Version of the configuration that the domain's owner enforces.
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
