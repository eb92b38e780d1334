//! Rust types of the messages between entries, with their Cap'n Proto encoding.

use coord::allotment::AllotmentLedger;
use coord::row::{EntryMember, OwnerRow};
use model::authority::OwnerAuthority;
use model::job::JobRecord;
use model::kind::ErrorKind;
use model::name::{BootId, DomainName, EntryId, QueueName, RequestId, TeamName, WorkerName};
use model::object::ObjectSet;
use model::time::ClockMillis;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::peer_capnp::{authority, grant, info, placement, refusal};

/// A request for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotPlacement {
    /// Team whose key was presented; the queue's team for a queue open to all.
    pub team: TeamName,
    /// Queue that the request was sent to.
    pub queue: QueueName,
    /// Digest of the key; empty without one.
    pub key_digest: String,
    /// Identifier of the request, for the owner's log.
    pub request: RequestId,
    /// Longest time in milliseconds that the owner may queue the request.
    pub wait_ms: u32,
    /// Entry that dispatches the request.
    pub entry: EntryId,
    /// Workers that failed earlier attempts.
    pub avoid: SmallVec<[WorkerName; 4]>,
    /// Version of the configuration in force at the sender.
    pub config_version: u64,
}

/// A granted slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotGrant {
    /// Number of the grant, by which the slot is released.
    pub id: u64,
    /// Worker whose slot is granted.
    pub worker: WorkerName,
    /// Address of its endpoint.
    pub address: String,
    /// Authority under which the slot was granted.
    pub authority: OwnerAuthority,
    /// Domain of the worker.
    pub domain: DomainName,
    /// Boot of the worker that the grant is for.
    pub boot: BootId,
    /// Instant of the worker's clock at which the grant expires.
    pub not_after: ClockMillis,
}

/// A refusal by an owner; nothing was run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerRefusal {
    /// Why the owner refused.
    pub kind: ErrorKind,
    /// Explanation for a person.
    pub message: String,
}

impl PeerRefusal {
    /// Builds a refusal.
    #[must_use]
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into() }
    }
}

/// What an entry reports about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerInfo {
    /// The process of the entry.
    pub entry: EntryId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Version of the configuration in force at the entry.
    pub config_version: u64,
    /// Whether it owns its domain now.
    pub is_owner: bool,
    /// The owner of its domain as it knows it; empty if it knows none.
    pub owner_entry: EntryId,
    /// Peer address of that owner.
    pub owner_address: String,
    /// Authority of that owner.
    pub authority: OwnerAuthority,
    /// Whether it is shutting down.
    pub draining: bool,
    /// The highest authority over its domain that it has seen; never decreases.
    pub highest_authority: OwnerAuthority,
    /// Whether it holds its domain or is prepared to take it over.
    pub may_hold: bool,
}

/// Request of a domain's holder to the process that is to take the domain over.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HandoverRequest {
    /// Prepare to take the domain over.
    Prepare {
        /// The process that replaced a dead member and is to take over, with
        /// that member's address and VM.
        to: EntryMember,
        /// Authority of the handover.
        authority: OwnerAuthority,
    },
    /// Take the domain over.
    TakeOver(Box<HandoverState>),
}

/// State that a successor needs to take over while the platform cannot be read.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HandoverState {
    /// Authority of the successor.
    pub authority: OwnerAuthority,
    /// Version of the ownership row.
    pub row_version: u64,
    /// The ownership row.
    pub row: OwnerRow,
    /// Milliseconds since the instant from which the predecessor's lease is counted.
    pub lease_age_ms: u64,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// The configuration in force.
    pub objects: ObjectSet,
    /// Milliseconds since the platform last confirmed that version.
    pub contact_age_ms: u64,
    /// Jobs that are not finished.
    pub jobs: Vec<JobRecord>,
    /// What each team may run in the domain.
    pub allotments: AllotmentLedger,
}

/// Result of decoding a message.
pub type DecodeResult<T> = Result<T, capnp::Error>;

fn read_text(reader: capnp::Result<capnp::text::Reader<'_>>) -> DecodeResult<&str> {
    Ok(reader?.to_str()?)
}

/// Encodes an authority.
pub fn write_authority(mut builder: authority::Builder<'_>, authority: OwnerAuthority) {
    builder.set_term(authority.term);
    builder.set_handover(authority.handover);
}

/// Decodes an authority.
#[must_use]
pub fn read_authority(reader: authority::Reader<'_>) -> OwnerAuthority {
    OwnerAuthority { term: reader.get_term(), handover: reader.get_handover() }
}

/// Encodes a request for a slot.
///
/// # Panics
/// Panics if the list of workers to avoid has 2^32 workers or more.
pub fn write_placement(mut builder: placement::Builder<'_>, placement: &SlotPlacement) {
    builder.set_team(placement.team.as_str());
    builder.set_queue(placement.queue.as_str());
    builder.set_key_digest(placement.key_digest.as_str());
    builder.set_request_id(placement.request.as_str());
    builder.set_wait_ms(placement.wait_ms);
    builder.set_entry(placement.entry.as_str());
    builder.set_config_version(placement.config_version);
    let length = u32::try_from(placement.avoid.len()).expect("fewer than 2^32 workers");
    let mut list = builder.init_avoid(length);
    for (index, worker) in (0..).zip(&placement.avoid) {
        list.set(index, worker.as_str());
    }
}

/// Decodes a request for a slot.
///
/// # Errors
/// An error if the message is malformed.
pub fn read_placement(reader: placement::Reader<'_>) -> DecodeResult<SlotPlacement> {
    let mut avoid = SmallVec::new();
    for worker in reader.get_avoid()? {
        avoid.push(WorkerName::from(worker?.to_str()?));
    }
    Ok(SlotPlacement {
        team: read_text(reader.get_team())?.into(),
        queue: read_text(reader.get_queue())?.into(),
        key_digest: read_text(reader.get_key_digest())?.to_owned(),
        request: read_text(reader.get_request_id())?.into(),
        wait_ms: reader.get_wait_ms(),
        entry: read_text(reader.get_entry())?.into(),
        avoid,
        config_version: reader.get_config_version(),
    })
}

/// Encodes a grant.
pub fn write_grant(mut builder: grant::Builder<'_>, grant: &SlotGrant) {
    builder.set_id(grant.id);
    builder.set_worker(grant.worker.as_str());
    builder.set_address(grant.address.as_str());
    builder.set_domain(grant.domain.as_str());
    builder.set_boot(grant.boot.as_str());
    builder.set_not_after(grant.not_after.0);
    write_authority(builder.init_authority(), grant.authority);
}

/// Decodes a grant.
///
/// # Errors
/// An error if the message is malformed.
pub fn read_grant(reader: grant::Reader<'_>) -> DecodeResult<SlotGrant> {
    Ok(SlotGrant {
        id: reader.get_id(),
        worker: read_text(reader.get_worker())?.into(),
        address: read_text(reader.get_address())?.to_owned(),
        authority: read_authority(reader.get_authority()?),
        domain: read_text(reader.get_domain())?.into(),
        boot: read_text(reader.get_boot())?.into(),
        not_after: ClockMillis(reader.get_not_after()),
    })
}

/// Encodes a refusal.
pub fn write_refusal(mut builder: refusal::Builder<'_>, refusal: &PeerRefusal) {
    builder.set_kind(refusal.kind.code());
    builder.set_message(refusal.message.as_str());
}

/// Decodes a refusal; an unknown kind becomes an internal error.
///
/// # Errors
/// An error if the message is malformed.
pub fn read_refusal(reader: refusal::Reader<'_>) -> DecodeResult<PeerRefusal> {
    let kind = ErrorKind::from_code(read_text(reader.get_kind())?).unwrap_or(ErrorKind::Internal);
    Ok(PeerRefusal::new(kind, read_text(reader.get_message())?))
}

/// Encodes what an entry reports about itself.
pub fn write_info(mut builder: info::Builder<'_>, info: &PeerInfo) {
    builder.set_entry(info.entry.as_str());
    builder.set_domain(info.domain.as_str());
    builder.set_config_version(info.config_version);
    builder.set_is_owner(info.is_owner);
    builder.set_owner_entry(info.owner_entry.as_str());
    builder.set_owner_address(info.owner_address.as_str());
    builder.set_draining(info.draining);
    builder.set_may_hold(info.may_hold);
    write_authority(builder.reborrow().init_authority(), info.authority);
    write_authority(builder.init_highest_authority(), info.highest_authority);
}

/// Decodes what an entry reports about itself.
///
/// # Errors
/// An error if the message is malformed.
pub fn read_info(reader: info::Reader<'_>) -> DecodeResult<PeerInfo> {
    Ok(PeerInfo {
        entry: read_text(reader.get_entry())?.into(),
        domain: read_text(reader.get_domain())?.into(),
        config_version: reader.get_config_version(),
        is_owner: reader.get_is_owner(),
        owner_entry: read_text(reader.get_owner_entry())?.into(),
        owner_address: read_text(reader.get_owner_address())?.to_owned(),
        authority: read_authority(reader.get_authority()?),
        draining: reader.get_draining(),
        highest_authority: read_authority(reader.get_highest_authority()?),
        may_hold: reader.get_may_hold(),
    })
}
