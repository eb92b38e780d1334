//! Connections to other entries over Cap'n Proto RPC.
//!
//! Cap'n Proto connections are not `Send`, so a pool stays on one thread and its
//! calls must run inside a `tokio::task::LocalSet`.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use error_stack::Report;
use model::authority::OwnerAuthority;
use model::kind::ErrorKind;
use tokio::net::{TcpSocket, TcpStream};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};
use wire::peer::{PeerInfo, PeerRefusal, SlotGrant, SlotPlacement};
use wire::peer_capnp::{peer, refusal};

use crate::failure::CallFailure;
use crate::http::CallResult;

/// Longest wait for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for calls in flight to finish on a connection that was removed from the pool.
const CLOSE_DELAY: Duration = Duration::from_secs(15);

/// A connection to a peer, with the task that runs its RPC.
struct PeerConnection {
    client: peer::Client,
    task: tokio::task::JoinHandle<()>,
}

/// Connections to peers, opened on the first call and removed after a failure.
#[derive(Clone)]
pub struct PeerPool {
    source: Option<IpAddr>,
    connections: Rc<RefCell<HashMap<String, PeerConnection>>>,
}

impl std::fmt::Debug for PeerPool {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.debug_struct("PeerPool").field("source", &self.source).finish_non_exhaustive()
    }
}

impl PeerPool {
    /// Creates an empty pool whose connections use the source address `source`, if given.
    #[must_use]
    pub fn new(source: Option<IpAddr>) -> Self {
        Self { source, connections: Rc::default() }
    }

    /// Returns the client of an open connection, or of a new one.
    async fn reuse_or_connect(&self, address: &str) -> CallResult<peer::Client> {
        if let Some(connection) = self.connections.borrow().get(address)
            && !connection.task.is_finished()
        {
            return Ok(connection.client.clone());
        }
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect(address, self.source)).await;
        let stream = connected
            .map_err(|_| format!("no connection in {CONNECT_TIMEOUT:?}"))
            .and_then(|stream| stream.map_err(|error| error.to_string()))
            .map_err(|reason| Report::new(CallFailure::NotDone).attach(reason))?;
        let connection = start_rpc(stream);
        let client = connection.client.clone();
        let replaced = self.connections.borrow_mut().insert(address.to_owned(), connection);
        close_after_delay(replaced);
        Ok(client)
    }

    fn remove_connection(&self, address: &str) {
        let removed = self.connections.borrow_mut().remove(address);
        close_after_delay(removed);
    }

    /// Runs one call with a timeout and removes its connection from the pool if it fails.
    async fn call<T, F, C>(&self, address: &str, timeout: Duration, start_call: F) -> CallResult<T>
    where
        F: FnOnce(peer::Client) -> C,
        C: Future<Output = Result<T, capnp::Error>>,
    {
        let client = self.reuse_or_connect(address).await?;
        let reason = match tokio::time::timeout(timeout, start_call(client)).await {
            Ok(Ok(value)) => return Ok(value),
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!("no answer in {timeout:?}"),
        };
        self.remove_connection(address);
        Err(Report::new(CallFailure::Unknown).attach(reason))
    }

    /// Reads what a peer reports about itself.
    ///
    /// # Errors
    /// Either failure means only that the peer did not answer.
    pub async fn info(&self, address: &str, timeout: Duration) -> CallResult<PeerInfo> {
        self.call(address, timeout, |client| async move {
            let reply = client.info_request().send().promise.await?;
            wire::peer::read_info(reply.get()?.get_info()?)
        })
        .await
    }

    /// Requests a slot from an owner.
    ///
    /// # Errors
    /// After [`CallFailure::Unknown`] the slot may have been granted; the owner
    /// frees it again when the worker does not report it in use.
    pub async fn place(
        &self,
        address: &str,
        placement: &SlotPlacement,
        timeout: Duration,
    ) -> CallResult<Result<SlotGrant, PeerRefusal>> {
        self.call(address, timeout, |client| async move {
            let mut request = client.place_request();
            wire::peer::write_placement(request.get().init_placement(), placement);
            let reply = request.send().promise.await?;
            let reply = reply.get()?;
            if reply.get_granted() {
                return Ok(Ok(wire::peer::read_grant(reply.get_grant()?)?));
            }
            Ok(Err(wire::peer::read_refusal(reply.get_refusal()?)?))
        })
        .await
    }

    /// Releases a slot.
    ///
    /// # Errors
    /// After either failure the owner frees the slot by the worker's report.
    pub async fn release(
        &self,
        address: &str,
        grant: u64,
        authority: OwnerAuthority,
        answered: bool,
        timeout: Duration,
    ) -> CallResult<()> {
        self.call(address, timeout, |client| async move {
            let mut request = client.release_request();
            let mut params = request.get();
            params.set_grant_id(grant);
            params.set_answered(answered);
            wire::peer::write_authority(params.init_authority(), authority);
            request.send().promise.await?;
            Ok(())
        })
        .await
    }

    /// Notifies an owner of a stored job, given as the JSON of its record.
    ///
    /// # Errors
    /// After either failure the owner finds the job when it reads the table.
    pub async fn submit(
        &self,
        address: &str,
        record: &str,
        timeout: Duration,
    ) -> CallResult<Result<(), PeerRefusal>> {
        self.call(address, timeout, |client| async move {
            let mut request = client.submit_request();
            request.get().set_record(record);
            let reply = request.send().promise.await?;
            let reply = reply.get()?;
            read_accepted(reply.get_accepted(), reply.get_refusal())
        })
        .await
    }

    /// Requests that an owner cancels a job of a team.
    ///
    /// # Errors
    /// After [`CallFailure::Unknown`] the job may have been cancelled; the call may be repeated.
    pub async fn cancel(
        &self,
        address: &str,
        job: &str,
        team: &str,
        timeout: Duration,
    ) -> CallResult<Result<(), PeerRefusal>> {
        self.call(address, timeout, |client| async move {
            let mut request = client.cancel_request();
            request.get().set_job(job);
            request.get().set_team(team);
            let reply = request.send().promise.await?;
            let reply = reply.get()?;
            read_accepted(reply.get_accepted(), reply.get_refusal())
        })
        .await
    }

    /// Reads the JSON of a job's record from an owner; `None` if it does not know the job.
    ///
    /// # Errors
    /// Either failure means only that the owner did not answer.
    pub async fn job_status(
        &self,
        address: &str,
        job: &str,
        timeout: Duration,
    ) -> CallResult<Option<String>> {
        self.call(address, timeout, |client| async move {
            let mut request = client.job_status_request();
            request.get().set_job(job);
            let reply = request.send().promise.await?;
            let reply = reply.get()?;
            if !reply.get_found() {
                return Ok(None);
            }
            Ok(Some(reply.get_record()?.to_str()?.to_owned()))
        })
        .await
    }

    /// Requests a voter's promise not to claim a domain for `ttl_ms`; returns whether it gave it.
    ///
    /// # Errors
    /// After [`CallFailure::Unknown`] the voter may have promised; the promise expires by itself.
    pub async fn promise(
        &self,
        address: &str,
        domain: &str,
        holder: &str,
        authority: OwnerAuthority,
        ttl_ms: u32,
        timeout: Duration,
    ) -> CallResult<bool> {
        self.call(address, timeout, |client| async move {
            let mut request = client.promise_request();
            let mut params = request.get();
            params.set_domain(domain);
            params.set_holder(holder);
            params.set_ttl_ms(ttl_ms);
            wire::peer::write_authority(params.init_authority(), authority);
            let reply = request.send().promise.await?;
            Ok(reply.get()?.get_given())
        })
        .await
    }

    /// Sends the JSON of a [`wire::peer::HandoverRequest`]; returns whether the peer accepted it.
    ///
    /// # Errors
    /// After [`CallFailure::Unknown`] the peer may have accepted it and taken over.
    pub async fn handover(
        &self,
        address: &str,
        state: &str,
        timeout: Duration,
    ) -> CallResult<bool> {
        self.call(address, timeout, |client| async move {
            let mut request = client.handover_request();
            request.get().set_state(state);
            let reply = request.send().promise.await?;
            Ok(reply.get()?.get_accepted())
        })
        .await
    }

    /// Reads a configuration newer than version `above`: its version and the JSON of the set.
    ///
    /// # Errors
    /// Either failure means only that nothing was read.
    pub async fn fetch_config(
        &self,
        address: &str,
        above: u64,
        timeout: Duration,
    ) -> CallResult<Option<(u64, String)>> {
        self.call(address, timeout, |client| async move {
            let mut request = client.fetch_config_request();
            request.get().set_above(above);
            let reply = request.send().promise.await?;
            let reply = reply.get()?;
            let version = reply.get_version();
            if version <= above {
                return Ok(None);
            }
            Ok(Some((version, reply.get_body()?.to_str()?.to_owned())))
        })
        .await
    }

    /// Sends a configuration, as the JSON of its set, to a peer.
    ///
    /// # Errors
    /// After either failure the peer reads it from the platform.
    pub async fn offer_config(
        &self,
        address: &str,
        version: u64,
        body: &str,
        timeout: Duration,
    ) -> CallResult<()> {
        self.call(address, timeout, |client| async move {
            let mut request = client.offer_config_request();
            request.get().set_version(version);
            request.get().set_body(body);
            request.send().promise.await?;
            Ok(())
        })
        .await
    }
}

fn read_accepted(
    accepted: bool,
    refusal: capnp::Result<refusal::Reader<'_>>,
) -> capnp::Result<Result<(), PeerRefusal>> {
    if accepted { Ok(Ok(())) } else { Ok(Err(wire::peer::read_refusal(refusal?)?)) }
}

/// Returns the refusal of a request whose owner could not be reached.
#[must_use]
pub fn refuse_unreachable_owner(address: &str) -> PeerRefusal {
    PeerRefusal::new(ErrorKind::NoOwner, format!("the owner at {address} could not be reached"))
}

async fn connect(address: &str, source: Option<IpAddr>) -> std::io::Result<TcpStream> {
    let target: SocketAddr = address
        .parse()
        .map_err(|_| std::io::Error::new(std::io::ErrorKind::InvalidInput, "not an IP:PORT"))?;
    let socket = if target.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Some(ip) = source {
        socket.bind(SocketAddr::new(ip, 0))?;
    }
    let stream = socket.connect(target).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

fn start_rpc(stream: TcpStream) -> PeerConnection {
    let network = build_network(stream, rpc_twoparty_capnp::Side::Client);
    let mut system = RpcSystem::new(Box::new(network), None);
    let client: peer::Client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = system.await {
            log::debug!("peer connection closed: {error}");
        }
    });
    PeerConnection { client, task }
}

/// Closes a removed connection after [`CLOSE_DELAY`], so that calls in flight can finish.
fn close_after_delay(connection: Option<PeerConnection>) {
    if let Some(connection) = connection {
        tokio::task::spawn_local(async move {
            tokio::time::sleep(CLOSE_DELAY).await;
            connection.task.abort();
        });
    }
}

type PeerNetwork = twoparty::VatNetwork<
    futures_util::io::BufReader<tokio_util::compat::Compat<tokio::net::tcp::OwnedReadHalf>>,
>;

fn build_network(stream: TcpStream, side: rpc_twoparty_capnp::Side) -> PeerNetwork {
    let (reader, writer) = stream.into_split();
    twoparty::VatNetwork::new(
        futures_util::io::BufReader::new(reader.compat()),
        futures_util::io::BufWriter::new(writer.compat_write()),
        side,
        capnp::message::ReaderOptions::new(),
    )
}

/// Serves one accepted connection until it closes.
pub async fn serve_peer<S: peer::Server>(server: Rc<S>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot disable Nagle's algorithm on a peer connection: {error}");
    }
    let network = build_network(stream, rpc_twoparty_capnp::Side::Server);
    let client: peer::Client = capnp_rpc::new_client_from_rc(server);
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    if let Err(error) = system.await {
        log::debug!("peer connection closed: {error}");
    }
}
