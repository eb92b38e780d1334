//! TCP proxy that injects network faults by rules.
//!
//! `docs/standins.md` describes settings, rules and effects.

use std::cell::Cell;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use actix_web::dev::ServerHandle;
use actix_web::{App, HttpResponse, HttpServer, web};
use serde::Deserialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// How long an idle admin connection stays open; longer than clients keep one, so that the
/// proxy never closes it first.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_mins(2);

/// Maximum number of bytes in one chunk.
const MAX_CHUNK_BYTES: usize = 8 << 10;

/// Maximum number of chunks that a direction holds while they are delayed or frozen; further
/// bytes stay with the sender, as with a full network buffer.
const MAX_HELD_CHUNKS: usize = 64;

/// Settings of one proxy.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxySettings {
    /// Address of the admin API.
    pub admin: SocketAddr,
    /// Links to forward.
    pub links: Vec<LinkSettings>,
}

/// A link: an address on which connections are accepted and the target they are forwarded to.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkSettings {
    /// Name by which rules refer to the link.
    pub name: String,
    /// Address on which connections are accepted.
    pub listen: SocketAddr,
    /// Address to which they are forwarded.
    pub target: SocketAddr,
}

/// What a rule does to the connections that it applies to.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum RuleEffect {
    /// Discards bytes; connections that lost some are reset when the rule ends.
    Cut,
    /// Holds bytes until the rule ends.
    Freeze,
    /// Delays bytes by `delay_ms`.
    Delay,
    /// Resets open and new connections, whatever the direction.
    Reset,
    /// Discards bytes to the client only, as a cut of that direction.
    DropReplies,
}

/// Directions that a rule applies to.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum RuleDirection {
    #[default]
    Both,
    ToTarget,
    ToClient,
}

/// A rule, set by `POST /admin/rules`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FaultRule {
    /// Addresses of the clients that it applies to; none for all.
    from: Option<Vec<IpAddr>>,
    /// Names of the links that it applies to; none for all.
    links: Option<Vec<String>>,
    effect: RuleEffect,
    #[serde(default, rename = "way")]
    direction: RuleDirection,
    #[serde(default)]
    delay_ms: u64,
}

/// A direction of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToTarget,
    ToClient,
}

impl Direction {
    const fn opposite(self) -> Self {
        match self {
            Self::ToTarget => Self::ToClient,
            Self::ToClient => Self::ToTarget,
        }
    }
}

/// What happens to the bytes of one direction.
///
/// In ascending order of severity: if several rules apply, the most severe treatment counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Treatment {
    Pass,
    Delay(Duration),
    Hold,
    Discard,
    Reset,
}

impl FaultRule {
    fn applies_to(&self, link: &str, client: IpAddr) -> bool {
        self.from.as_ref().is_none_or(|from| from.contains(&client))
            && self.links.as_ref().is_none_or(|links| links.iter().any(|name| name == link))
    }

    fn select_treatment(&self, direction: Direction) -> Treatment {
        let is_matching = match self.direction {
            RuleDirection::Both => true,
            RuleDirection::ToTarget => direction == Direction::ToTarget,
            RuleDirection::ToClient => direction == Direction::ToClient,
        };
        match self.effect {
            RuleEffect::Reset => Treatment::Reset,
            RuleEffect::DropReplies if direction == Direction::ToClient => Treatment::Discard,
            RuleEffect::Cut if is_matching => Treatment::Discard,
            RuleEffect::Freeze if is_matching => Treatment::Hold,
            RuleEffect::Delay if is_matching => {
                Treatment::Delay(Duration::from_millis(self.delay_ms))
            }
            _ => Treatment::Pass,
        }
    }
}

type RuleReceiver = watch::Receiver<Vec<FaultRule>>;

/// A proxied connection: what rules match it by, and which of its directions lost bytes.
#[derive(Debug)]
struct Connection {
    link: Arc<LinkSettings>,
    client: IpAddr,
    rules: RuleReceiver,
    /// Whether bytes were discarded, by direction in the order of [`Direction`].
    has_lost: [Cell<bool>; 2],
}

impl Connection {
    fn select_treatment(&self, direction: Direction) -> Treatment {
        self.rules
            .borrow()
            .iter()
            .filter(|rule| rule.applies_to(&self.link.name, self.client))
            .map(|rule| rule.select_treatment(direction))
            .max()
            .unwrap_or(Treatment::Pass)
    }

    fn record_loss(&self, direction: Direction) {
        self.has_lost[direction as usize].set(true);
    }

    /// Returns whether the connection has to be reset under the present rules.
    ///
    /// A connection that lost bytes must not go on without them, as TCP never
    /// delivers a stream with a gap.
    fn must_reset(&self) -> bool {
        [Direction::ToTarget, Direction::ToClient].into_iter().any(|direction| {
            match self.select_treatment(direction) {
                Treatment::Reset => true,
                Treatment::Discard => false,
                _ => self.has_lost[direction as usize].get(),
            }
        })
    }

    /// Waits until bytes of a direction are no longer held; returns true if they pass and false
    /// if they are discarded.
    async fn wait_until_released(&self, direction: Direction) -> bool {
        let mut rules = self.rules.clone();
        loop {
            rules.mark_unchanged();
            match self.select_treatment(direction) {
                Treatment::Pass | Treatment::Delay(_) => return true,
                Treatment::Discard => return false,
                Treatment::Hold | Treatment::Reset => {
                    if rules.changed().await.is_err() {
                        return false;
                    }
                }
            }
        }
    }

    /// Waits until the connection has to be reset, or the proxy stops.
    async fn wait_for_reset(&self) {
        let mut rules = self.rules.clone();
        loop {
            rules.mark_unchanged();
            if self.must_reset() {
                return;
            }
            if rules.changed().await.is_err() {
                return;
            }
        }
    }

    /// Waits until bytes to the target pass; what arrives before is discarded or held, as the
    /// rules say.
    ///
    /// The connection to the target is made only then: a target must not notice clients that a
    /// cut separates from it.
    async fn wait_until_passable(&self, client: &mut TcpStream) {
        let mut rules = self.rules.clone();
        let mut buffer = [0; 1024];
        loop {
            rules.mark_unchanged();
            let changed = match self.select_treatment(Direction::ToTarget) {
                Treatment::Hold | Treatment::Reset => rules.changed().await,
                Treatment::Discard => tokio::select! {
                    changed = rules.changed() => changed,
                    count = client.read(&mut buffer) => {
                        self.record_loss(Direction::ToTarget);
                        match count {
                            Ok(1..) => Ok(()),
                            _ => rules.changed().await,
                        }
                    }
                },
                Treatment::Pass | Treatment::Delay(_) => return,
            };
            if changed.is_err() {
                return;
            }
        }
    }
}

/// What the reader of a direction passes to its writer.
#[derive(Debug)]
enum ChunkContent {
    Bytes(Vec<u8>),
    End,
    Failure,
}

/// Reads chunks and passes each on with the instant from which it may be written.
async fn read_chunks(
    connection: &Connection,
    direction: Direction,
    mut source: ReadHalf<'_>,
    chunks: mpsc::Sender<(Instant, ChunkContent)>,
) {
    let mut buffer = vec![0; MAX_CHUNK_BYTES];
    loop {
        let content = match source.read(&mut buffer).await {
            Ok(0) => ChunkContent::End,
            Ok(count) => ChunkContent::Bytes(buffer[..count].to_vec()),
            Err(_) => ChunkContent::Failure,
        };
        let is_last = !matches!(content, ChunkContent::Bytes(_));
        let delay = match connection.select_treatment(direction) {
            Treatment::Delay(delay) => delay,
            _ => Duration::ZERO,
        };
        if chunks.send((Instant::now() + delay, content)).await.is_err() || is_last {
            return;
        }
    }
}

/// Writes chunks as the rules allow; returns an error if the connection has failed.
async fn write_chunks(
    connection: &Connection,
    direction: Direction,
    mut sink: WriteHalf<'_>,
    mut chunks: mpsc::Receiver<(Instant, ChunkContent)>,
) -> std::io::Result<()> {
    while let Some((due, content)) = chunks.recv().await {
        tokio::time::sleep_until(due).await;
        if !connection.wait_until_released(direction).await {
            connection.record_loss(direction);
            continue;
        }
        let written = match content {
            ChunkContent::Bytes(bytes) => sink.write_all(&bytes).await,
            ChunkContent::End => sink.shutdown().await,
            ChunkContent::Failure => return Err(std::io::ErrorKind::ConnectionReset.into()),
        };
        if written.is_err() {
            // The receiver has reset its connection. Its reset travels in the opposite direction,
            // where a rule may hold or discard it.
            if connection.wait_until_released(direction.opposite()).await {
                return written;
            }
            connection.record_loss(direction.opposite());
            std::future::pending::<()>().await;
        }
    }
    if connection.has_lost[direction as usize].get() {
        // The end of the stream was discarded too: the connection stays open until the rule ends
        // and resets it.
        std::future::pending::<()>().await;
    }
    Ok(())
}

/// Forwards one direction until its end or a failure.
async fn forward_direction(
    connection: &Connection,
    direction: Direction,
    source: ReadHalf<'_>,
    sink: WriteHalf<'_>,
) -> std::io::Result<()> {
    let (sender, receiver) = mpsc::channel(MAX_HELD_CHUNKS);
    let ((), written) = tokio::join!(
        read_chunks(connection, direction, source, sender),
        write_chunks(connection, direction, sink, receiver),
    );
    written
}

/// Forwards both directions until both have ended or one has failed.
async fn forward(
    connection: &Connection,
    client: &mut TcpStream,
    target: &mut Option<TcpStream>,
) -> std::io::Result<()> {
    connection.wait_until_passable(client).await;
    if connection.must_reset() {
        return Err(std::io::ErrorKind::ConnectionReset.into());
    }
    let target = target.insert(TcpStream::connect(connection.link.target).await?);
    target.set_nodelay(true)?;
    let (client_read, client_write) = client.split();
    let (target_read, target_write) = target.split();
    tokio::try_join!(
        forward_direction(connection, Direction::ToTarget, client_read, target_write),
        forward_direction(connection, Direction::ToClient, target_read, client_write),
    )?;
    Ok(())
}

/// Serves a connection; closes it by a reset if it failed or a rule demands it.
async fn serve_connection(connection: Connection, mut client: TcpStream) {
    let mut target = None;
    let ended = tokio::select! {
        biased;
        () = connection.wait_for_reset() => false,
        result = forward(&connection, &mut client, &mut target) => result.is_ok(),
    };
    if !ended {
        // With a linger time of zero, closing sends a reset.
        let _ = client.set_zero_linger();
        if let Some(target) = target {
            let _ = target.set_zero_linger();
        }
    }
}

async fn accept_connections(
    link: Arc<LinkSettings>,
    listener: TcpListener,
    rules: RuleReceiver,
    stopping: CancellationToken,
) {
    loop {
        let Ok((client, address)) = listener.accept().await else {
            // Out of file descriptors, most likely; the pause lets connections end.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = client.set_nodelay(true);
        let connection = Connection {
            link: link.clone(),
            client: address.ip(),
            rules: rules.clone(),
            has_lost: [Cell::new(false), Cell::new(false)],
        };
        let stopping = stopping.clone();
        actix_rt::spawn(async move {
            stopping.run_until_cancelled(serve_connection(connection, client)).await;
        });
    }
}

#[derive(Debug)]
struct ProxyAdmin {
    links: Vec<Arc<LinkSettings>>,
    rules: watch::Sender<Vec<FaultRule>>,
}

/// Replaces all rules; refuses them if one names an unknown link.
async fn set_rules(admin: web::Data<ProxyAdmin>, rules: web::Json<Vec<FaultRule>>) -> HttpResponse {
    let mut names = rules.iter().flat_map(|rule| rule.links.iter().flatten());
    if let Some(name) = names.find(|name| admin.links.iter().all(|link| link.name != **name)) {
        return HttpResponse::BadRequest().body(format!("no link has the name {name:?}"));
    }
    admin.rules.send_replace(rules.into_inner());
    HttpResponse::Ok().finish()
}

/// A running proxy.
#[derive(Debug)]
pub struct RunningStandin {
    address: SocketAddr,
    handle: ServerHandle,
    stopping: CancellationToken,
}

impl standin_common::RunningServer for RunningStandin {
    fn address(&self) -> SocketAddr {
        self.address
    }

    async fn stop(self) {
        self.stop().await;
    }
}

impl RunningStandin {
    /// Returns the address of the admin API.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all listeners and connections at once.
    pub async fn stop(self) {
        self.stopping.cancel();
        self.handle.stop(false).await;
    }
}

/// Starts a proxy without rules. Must be called inside an actix system.
///
/// # Errors
/// Returns the error of binding an address.
pub fn start(settings: ProxySettings) -> std::io::Result<RunningStandin> {
    let (rules, receiver) = watch::channel(Vec::new());
    let stopping = CancellationToken::new();
    let links: Vec<_> = settings.links.into_iter().map(Arc::new).collect();
    let mut listeners = Vec::new();
    for link in &links {
        let add_link_name = |error| std::io::Error::other(format!("link {:?}: {error}", link.name));
        let listener = std::net::TcpListener::bind(link.listen).map_err(add_link_name)?;
        listener.set_nonblocking(true)?;
        listeners.push((link.clone(), TcpListener::from_std(listener)?));
    }
    let admin = web::Data::new(ProxyAdmin { links, rules });
    let server = HttpServer::new(move || {
        App::new().app_data(admin.clone()).route("/admin/rules", web::post().to(set_rules))
    })
    .workers(1)
    .worker_max_blocking_threads(1)
    .keep_alive(KEEP_ALIVE_TIMEOUT)
    .client_request_timeout(Duration::ZERO)
    .disable_signals()
    .bind(settings.admin)?;
    let address = server.addrs()[0];
    let server = server.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    for (link, listener) in listeners {
        let (rules, stopping) = (receiver.clone(), stopping.clone());
        actix_rt::spawn(async move {
            let accept = accept_connections(link, listener, rules, stopping.clone());
            stopping.run_until_cancelled(accept).await;
        });
    }
    Ok(RunningStandin { address, handle, stopping })
}
