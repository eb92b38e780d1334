//! Calls to other entries, and the server that answers theirs.

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arcstr::ArcStr;
use capnp::capability::Rc as CapRc;
use coord::owner::OwnerEvent;
use coord::row::EntryMember;
use model::authority::OwnerAuthority;
use model::job::JobRecord;
use model::kind::ErrorKind;
use model::name::{DomainName, EntryId, JobId, TeamName};
use model::object::ObjectSet;
use model::time::ClockMillis;
use tokio::net::TcpListener;
use wire::peer::{HandoverRequest, HandoverState, PeerInfo, PeerRefusal};
use wire::peer_capnp::peer;

use crate::control::{Control, KnownOwner, config, jobs, ownership, requests, status};

/// Interval between pings to each peer of this domain and each known owner.
const PING_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a ping.
const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// Entries of other domains are pinged once in this many rounds, unless they own their domain.
const FOREIGN_PING_ROUNDS: u64 = 8;
/// Timeout of the read of a configuration from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Pings the peers periodically until the process stops.
///
/// The answers show which peers are alive, who owns which domain and whether a
/// peer has a newer configuration, all without the platform.
pub async fn ping_loop(control: Control) {
    let mut round = 0_u64;
    loop {
        for address in ping_targets(&control, round) {
            control.spawn(ping_peer(Rc::clone(&control), address));
        }
        round += 1;
        tokio::time::sleep(PING_INTERVAL).await;
    }
}

fn ping_targets(control: &Control, round: u64) -> Vec<ArcStr> {
    let state = control.state();
    let own_domain = &control.settings.domain;
    let mut addresses: HashSet<ArcStr> = HashSet::new();
    for peer in &control.settings.peers {
        if peer.domain == *own_domain || round.is_multiple_of(FOREIGN_PING_ROUNDS) {
            addresses.insert(ArcStr::from(peer.address.as_str()));
        }
    }
    for owner in state.owners.values() {
        addresses.insert(owner.address.clone());
    }
    for member in state.ownership.known_members() {
        addresses.insert(member.address.clone());
    }
    addresses.remove(&control.member.address);
    addresses.into_iter().collect()
}

async fn ping_peer(control: Control, address: ArcStr) {
    let sent_at = control.now();
    let Ok(info) = control.peers.info(&address, PING_TIMEOUT).await else {
        // A peer that never answered counts as unreachable from its first failure.
        control.state_mut().peer_answered_at.entry(address).or_insert(ClockMillis(0));
        return;
    };
    let now = control.now();
    control.state_mut().peer_answered_at.insert(address.clone(), now);
    record_info(&control, &info, &address);
    if info.domain == control.settings.domain {
        let event = OwnerEvent::PeerAnswered {
            entry: info.entry,
            address: address.to_string(),
            sent_at,
            authority: info.highest_authority,
            may_hold: info.may_hold,
        };
        ownership::handle_event(&control, event);
    }
    if info.config_version > control.state().config.version() {
        fetch_newer_config(&control, &address).await;
    }
}

fn record_info(control: &Control, info: &PeerInfo, address: &ArcStr) {
    let owner = if info.is_owner { address.clone() } else { info.owner_address.as_str().into() };
    if !owner.is_empty() {
        let owner = KnownOwner { authority: info.authority, address: owner };
        config::record_owner(control, info.domain.clone(), owner);
    }
}

async fn fetch_newer_config(control: &Control, address: &str) {
    let above = control.state().config.version();
    match control.peers.fetch_config(address, above, FETCH_TIMEOUT).await {
        Ok(Some((version, body))) => match serde_json::from_str::<ObjectSet>(&body) {
            Ok(objects) => {
                config::apply_version(control, version, objects);
            }
            Err(error) => log::warn!("peer {address} sent a malformed configuration: {error}"),
        },
        Ok(None) => {}
        Err(report) => log::debug!("configuration cannot be read from {address}: {report:#}"),
    }
}

/// Accepts connections of peers until the process stops.
pub async fn serve_peers(control: Control, listener: TcpListener) {
    let server = CapRc::new(PeerServer { control: Rc::clone(&control) });
    loop {
        match listener.accept().await {
            Ok((stream, _)) => control.spawn(link::peer::serve_peer(CapRc::clone(&server), stream)),
            Err(error) => {
                log::warn!("a peer's connection cannot be accepted: {error}");
                tokio::time::sleep(PING_INTERVAL).await;
            }
        }
    }
}

/// Server of the peer protocol.
#[derive(Debug)]
pub struct PeerServer {
    control: Control,
}

type CallResult = Result<(), capnp::Error>;

impl peer::Server for PeerServer {
    async fn info(
        self: CapRc<Self>,
        _params: peer::InfoParams,
        mut results: peer::InfoResults,
    ) -> CallResult {
        let info = status::peer_info(&self.control);
        wire::peer::write_info(results.get().init_info(), &info);
        Ok(())
    }

    async fn place(
        self: CapRc<Self>,
        params: peer::PlaceParams,
        mut results: peer::PlaceResults,
    ) -> CallResult {
        let placement = wire::peer::read_placement(params.get()?.get_placement()?)?;
        let reply = match requests::place_locally(&self.control, &placement) {
            Ok(waiting) => waiting.await.unwrap_or_else(|_| {
                Err(PeerRefusal::new(ErrorKind::NoOwner, "the ownership ended"))
            }),
            Err(refusal) => Err(refusal),
        };
        match reply {
            Ok(grant) => {
                results.get().set_granted(true);
                wire::peer::write_grant(results.get().init_grant(), &grant);
            }
            Err(refusal) => {
                wire::peer::write_refusal(results.get().init_refusal(), &refusal);
            }
        }
        Ok(())
    }

    async fn release(
        self: CapRc<Self>,
        params: peer::ReleaseParams,
        _results: peer::ReleaseResults,
    ) -> CallResult {
        let params = params.get()?;
        let authority = wire::peer::read_authority(params.get_authority()?);
        let ended = params.get_answered();
        requests::release_slot_locally(&self.control, params.get_grant_id(), authority, ended);
        Ok(())
    }

    async fn submit(
        self: CapRc<Self>,
        params: peer::SubmitParams,
        mut results: peer::SubmitResults,
    ) -> CallResult {
        let text = params.get()?.get_record()?.to_str()?;
        let record: JobRecord =
            serde_json::from_str(text).map_err(|error| capnp::Error::failed(error.to_string()))?;
        if self.control.leased_authority().is_some()
            && record.domain == self.control.settings.domain
        {
            let caller = Rc::clone(&self.control);
            self.control.spawn(jobs::accept_notified_job(caller, record.spec.id));
            results.get().set_accepted(true);
        } else {
            let refusal = PeerRefusal::new(ErrorKind::NoOwner, "not the owner of the domain");
            wire::peer::write_refusal(results.get().init_refusal(), &refusal);
        }
        Ok(())
    }

    async fn cancel(
        self: CapRc<Self>,
        params: peer::CancelParams,
        mut results: peer::CancelResults,
    ) -> CallResult {
        let params = params.get()?;
        let job = JobId::from(params.get_job()?.to_str()?);
        let team = TeamName::from(params.get_team()?.to_str()?);
        match jobs::cancel::cancel_locally(&self.control, &job, &team).await {
            Ok(()) => results.get().set_accepted(true),
            Err(refusal) => wire::peer::write_refusal(results.get().init_refusal(), &refusal),
        }
        Ok(())
    }

    async fn job_status(
        self: CapRc<Self>,
        params: peer::JobStatusParams,
        mut results: peer::JobStatusResults,
    ) -> CallResult {
        let job = JobId::from(params.get()?.get_job()?.to_str()?);
        let state = self.control.state();
        let record = state.domain.as_ref().and_then(|domain| {
            domain.cell.job_record(&job).or_else(|| domain.jobs.record(job.as_str()))
        });
        if let Some(record) = record {
            let text = serde_json::to_string(&record)
                .map_err(|error| capnp::Error::failed(error.to_string()))?;
            results.get().set_record(text.as_str());
            results.get().set_found(true);
        }
        Ok(())
    }

    async fn promise(
        self: CapRc<Self>,
        params: peer::PromiseParams,
        mut results: peer::PromiseResults,
    ) -> CallResult {
        let params = params.get()?;
        let domain = DomainName::from(params.get_domain()?.to_str()?);
        let holder = EntryId::from(params.get_holder()?.to_str()?);
        let authority = wire::peer::read_authority(params.get_authority()?);
        let ttl = u64::from(params.get_ttl_ms());
        let now = self.control.now();
        let given = domain == self.control.settings.domain
            && self
                .control
                .state_mut()
                .ownership
                .handle_promise_request(now, &holder, authority, ttl);
        results.get().set_given(given);
        Ok(())
    }

    async fn handover(
        self: CapRc<Self>,
        params: peer::HandoverParams,
        mut results: peer::HandoverResults,
    ) -> CallResult {
        let text = params.get()?.get_state()?.to_str()?;
        let request: HandoverRequest =
            serde_json::from_str(text).map_err(|error| capnp::Error::failed(error.to_string()))?;
        let accepted = match request {
            HandoverRequest::Prepare { to, authority } => {
                prepare_handover(&self.control, &to, authority)
            }
            HandoverRequest::TakeOver(state) => accept_handover(&self.control, *state),
        };
        results.get().set_accepted(accepted);
        Ok(())
    }

    async fn fetch_config(
        self: CapRc<Self>,
        params: peer::FetchConfigParams,
        mut results: peer::FetchConfigResults,
    ) -> CallResult {
        let above = params.get()?.get_above();
        let (version, objects) = {
            let state = self.control.state();
            (state.config.version(), Arc::clone(state.config.objects()))
        };
        if version > above {
            let body = serde_json::to_string(&*objects)
                .map_err(|error| capnp::Error::failed(error.to_string()))?;
            results.get().set_version(version);
            results.get().set_body(body.as_str());
        }
        Ok(())
    }

    async fn offer_config(
        self: CapRc<Self>,
        params: peer::OfferConfigParams,
        _results: peer::OfferConfigResults,
    ) -> CallResult {
        let params = params.get()?;
        let version = params.get_version();
        if version > self.control.state().config.version() {
            let objects = serde_json::from_str(params.get_body()?.to_str()?)
                .map_err(|error| capnp::Error::failed(error.to_string()))?;
            config::apply_version(&self.control, version, objects);
        }
        Ok(())
    }
}

/// Prepares for a handover to this entry; returns whether it is prepared.
fn prepare_handover(control: &Control, to: &EntryMember, authority: OwnerAuthority) -> bool {
    let now = control.now();
    if control.state().draining {
        return false;
    }
    control.state_mut().ownership.prepare_handover(now, to, authority)
}

/// Accepts the ownership from an owner that stops; returns whether it was accepted.
fn accept_handover(control: &Control, mut state: HandoverState) -> bool {
    let now = control.now();
    if control.state().draining {
        return false;
    }
    let actions = {
        let mut control_state = control.state_mut();
        let row = Box::new(state.row.clone());
        let ownership = &mut control_state.ownership;
        ownership.accept_handover(now, state.authority, state.row_version, row, state.lease_age_ms)
    };
    if actions.is_empty() {
        return false;
    }
    let objects = std::mem::take(&mut state.objects);
    config::apply_version(control, state.config_version, objects);
    control.state_mut().config.record_confirmation(now - state.contact_age_ms);
    // The state is installed when the lease begins, possibly only after promises of voters.
    control.state_mut().pending_handover = Some(state);
    ownership::execute_actions(control, actions);
    true
}
