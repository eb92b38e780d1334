//! Stand-in for the platform's table, object store and VM list.
//!
//! The protocol is `wire::platform`; `docs/standins.md` describes settings and
//! fault injection.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::AsFd;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use actix_web::body::MessageBody;
use actix_web::dev::{Extensions, ServerHandle, ServiceRequest, ServiceResponse};
use actix_web::middleware::{self, Next};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use wire::platform::{self, ReadReply, TableRead, TableRow, TableTxn, TxnReply, VmList};

/// How long an idle connection stays open; longer than clients keep one, so that the stand-in
/// never closes it first.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_mins(2);

/// Largest accepted body in bytes; a configuration of the design size takes a few MiB.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Settings of one stand-in.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Writes that the table and object store accept together in a second.
    #[serde(default = "default_writes_per_s")]
    pub writes_per_s: u32,
    /// Reads that the table and object store accept together in a second.
    #[serde(default = "default_reads_per_s")]
    pub reads_per_s: u32,
    /// Delay until a change of the VM list is visible, in milliseconds.
    #[serde(default = "default_vm_lag_ms")]
    pub vm_lag_ms: u64,
}

const fn default_writes_per_s() -> u32 {
    400
}

const fn default_reads_per_s() -> u32 {
    2000
}

const fn default_vm_lag_ms() -> u64 {
    2000
}

/// Faults in force, set by `POST /admin/fault`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct PlatformFault {
    /// Closes every connection without an answer.
    down: bool,
    /// Delay of every call. Half of it passes before the call takes effect and half after
    /// it, so that both late writes and late replies occur.
    delay_ms: u64,
    /// Number of replies to committed transactions that are still to be lost.
    lose_replies: u32,
    /// Loses only replies to transactions that write a key with this prefix.
    lose_prefix: String,
}

/// Answer to `GET /admin/stats`.
#[derive(Debug, Serialize)]
struct PlatformStats {
    reads: u64,
    writes: u64,
    refused: u64,
    rows: usize,
}

/// Token bucket that holds at most the tokens of one second.
#[derive(Debug)]
struct TokenBucket {
    rate: f64,
    tokens: f64,
    filled_at: Instant,
    taken: u64,
    refused: u64,
}

impl TokenBucket {
    fn new(rate: u32) -> Self {
        let rate = f64::from(rate);
        Self { rate, tokens: rate, filled_at: Instant::now(), taken: 0, refused: 0 }
    }

    /// Takes `cost` tokens and returns true, or takes none and returns false if there are too few.
    fn take(&mut self, cost: usize) -> bool {
        let cost = u32::try_from(cost).unwrap_or(u32::MAX);
        let now = Instant::now();
        let earned = now.duration_since(self.filled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + earned).min(self.rate);
        self.filled_at = now;
        let granted = f64::from(cost) <= self.tokens;
        if granted {
            self.tokens -= f64::from(cost);
            self.taken += u64::from(cost);
        } else {
            self.refused += 1;
        }
        granted
    }
}

#[derive(Debug)]
struct PlatformState {
    /// Version and value of each row, by key.
    rows: BTreeMap<String, (u64, Value)>,
    version: u64,
    objects: HashMap<String, web::Bytes>,
    /// VM lists with the time they were set, oldest first; the first one is visible.
    vm_lists: VecDeque<(Instant, VmList)>,
    fault: PlatformFault,
    read_bucket: TokenBucket,
    write_bucket: TokenBucket,
    /// Open connections by number, so that a fault can close them.
    connections: HashMap<u64, Arc<TcpStream>>,
    next_connection: u64,
}

impl PlatformState {
    fn find_row(&self, key: &str) -> Option<TableRow> {
        let (version, value) = self.rows.get(key)?;
        Some(TableRow { key: key.to_owned(), version: *version, value: value.clone() })
    }

    /// Commits a transaction if all its checks hold; otherwise returns the rows that differ.
    fn commit(&mut self, txn: TableTxn) -> TxnReply {
        let conflicts: Vec<_> = txn
            .checks
            .iter()
            .map(|check| {
                let absent = TableRow { key: check.key.clone(), version: 0, value: Value::Null };
                (check.version, self.find_row(&check.key).unwrap_or(absent))
            })
            .filter(|(expected, row)| *expected != row.version)
            .map(|(_, row)| row)
            .collect();
        if !conflicts.is_empty() {
            return TxnReply { committed: false, version: 0, conflicts };
        }
        if !(txn.puts.is_empty() && txn.deletes.is_empty()) {
            self.version += 1;
        }
        for key in &txn.deletes {
            self.rows.remove(key);
        }
        for put in txn.puts {
            self.rows.insert(put.key, (self.version, put.value));
        }
        TxnReply { committed: true, version: self.version, conflicts }
    }

    fn read(&self, read: &TableRead) -> ReadReply {
        let mut rows = BTreeMap::new();
        for row in read.keys.iter().filter_map(|key| self.find_row(key)) {
            rows.insert(row.key.clone(), row);
        }
        for prefix in &read.prefixes {
            let range = self.rows.range(prefix.clone()..);
            for (key, (version, value)) in range.take_while(|(key, _)| key.starts_with(prefix)) {
                let row = TableRow { key: key.clone(), version: *version, value: value.clone() };
                rows.insert(key.clone(), row);
            }
        }
        ReadReply { rows: rows.into_values().collect() }
    }

    /// Returns whether the reply to a committed transaction with these keys must be lost, and
    /// counts it against the fault if so.
    fn take_lost_reply(&mut self, keys: &[String]) -> bool {
        let prefix = &self.fault.lose_prefix;
        let lost = self.fault.lose_replies > 0
            && (prefix.is_empty() || keys.iter().any(|key| key.starts_with(prefix)));
        if lost {
            self.fault.lose_replies -= 1;
        }
        lost
    }
}

#[derive(Debug)]
struct Platform {
    vm_lag: Duration,
    state: Mutex<PlatformState>,
}

impl Platform {
    fn lock_state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A registered connection, which handlers and faults can close without an answer.
struct ConnectionHandle {
    id: u64,
    stream: Arc<TcpStream>,
    platform: Arc<Platform>,
}

impl ConnectionHandle {
    fn register(platform: &Arc<Platform>, stream: &actix_web::rt::net::TcpStream) -> Option<Self> {
        // A duplicate of the descriptor, as the server owns the stream.
        let stream = Arc::new(TcpStream::from(stream.as_fd().try_clone_to_owned().ok()?));
        let mut state = platform.lock_state();
        state.next_connection += 1;
        let id = state.next_connection;
        state.connections.insert(id, stream.clone());
        drop(state);
        Some(Self { id, stream, platform: platform.clone() })
    }
}

impl Drop for ConnectionHandle {
    fn drop(&mut self) {
        self.platform.lock_state().connections.remove(&self.id);
    }
}

/// Closes the connection of a call; the returned response is never delivered.
fn close_connection(request: &HttpRequest) -> HttpResponse {
    if let Some(handle) = request.conn_data::<ConnectionHandle>() {
        let _ = handle.stream.shutdown(Shutdown::Both);
    }
    HttpResponse::ServiceUnavailable().force_close().finish()
}

/// Middleware that delays a call, or closes its connection while the platform is down.
async fn apply_fault(
    request: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse<impl MessageBody>, actix_web::Error> {
    let platform = request.app_data::<web::Data<Platform>>().expect("data is registered").clone();
    let delay = Duration::from_millis(platform.lock_state().fault.delay_ms);
    if !delay.is_zero() {
        actix_rt::time::sleep(delay / 2).await;
    }
    if platform.lock_state().fault.down {
        let closed = close_connection(request.request());
        return Ok(request.into_response(closed).map_into_right_body());
    }
    let reply = next.call(request).await?;
    if !delay.is_zero() {
        actix_rt::time::sleep(delay / 2).await;
    }
    Ok(reply.map_into_left_body())
}

async fn table_txn(
    platform: web::Data<Platform>,
    request: HttpRequest,
    txn: web::Json<TableTxn>,
) -> HttpResponse {
    let txn = txn.into_inner();
    let keys: Vec<_> = txn.puts.iter().map(|put| &put.key).chain(&txn.deletes).cloned().collect();
    let mut state = platform.lock_state();
    if !state.write_bucket.take(keys.len()) {
        return HttpResponse::TooManyRequests().finish();
    }
    let reply = state.commit(txn);
    if reply.committed && state.take_lost_reply(&keys) {
        drop(state);
        return close_connection(&request);
    }
    HttpResponse::Ok().json(reply)
}

async fn table_read(platform: web::Data<Platform>, read: web::Json<TableRead>) -> HttpResponse {
    let mut state = platform.lock_state();
    if !state.read_bucket.take((read.keys.len() + read.prefixes.len()).max(1)) {
        return HttpResponse::TooManyRequests().finish();
    }
    HttpResponse::Ok().json(state.read(&read))
}

async fn put_object(
    platform: web::Data<Platform>,
    name: web::Path<String>,
    body: web::Bytes,
) -> HttpResponse {
    let mut state = platform.lock_state();
    if !state.write_bucket.take(1) {
        return HttpResponse::TooManyRequests().finish();
    }
    state.objects.insert(name.into_inner(), body);
    HttpResponse::Ok().finish()
}

async fn get_object(platform: web::Data<Platform>, name: web::Path<String>) -> HttpResponse {
    let mut state = platform.lock_state();
    if !state.read_bucket.take(1) {
        return HttpResponse::TooManyRequests().finish();
    }
    match state.objects.get(name.as_str()) {
        Some(body) => HttpResponse::Ok().body(body.clone()),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn get_vms(platform: web::Data<Platform>) -> HttpResponse {
    let mut state = platform.lock_state();
    while state.vm_lists.get(1).is_some_and(|(at, _)| at.elapsed() >= platform.vm_lag) {
        state.vm_lists.pop_front();
    }
    HttpResponse::Ok().json(state.vm_lists.front().map(|(_, list)| list))
}

async fn set_vms(platform: web::Data<Platform>, list: web::Json<VmList>) -> HttpResponse {
    platform.lock_state().vm_lists.push_back((Instant::now(), list.into_inner()));
    HttpResponse::Ok().finish()
}

async fn set_fault(
    platform: web::Data<Platform>,
    request: HttpRequest,
    fault: web::Json<PlatformFault>,
) -> HttpResponse {
    let mut state = platform.lock_state();
    state.fault = fault.into_inner();
    if state.fault.down {
        // The connection of this call stays open for its own answer.
        let own_id = request.conn_data::<ConnectionHandle>().map(|handle| handle.id);
        for (_, stream) in state.connections.iter().filter(|(id, _)| Some(**id) != own_id) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
    HttpResponse::Ok().finish()
}

async fn get_stats(platform: web::Data<Platform>) -> HttpResponse {
    let state = platform.lock_state();
    HttpResponse::Ok().json(PlatformStats {
        reads: state.read_bucket.taken,
        writes: state.write_bucket.taken,
        refused: state.read_bucket.refused + state.write_bucket.refused,
        rows: state.rows.len(),
    })
}

fn register_routes(config: &mut web::ServiceConfig) {
    let object_path = format!("{}{{name:.*}}", platform::OBJECT_PREFIX);
    config
        .route("/admin/fault", web::post().to(set_fault))
        .route("/admin/vms", web::post().to(set_vms))
        .route("/admin/stats", web::get().to(get_stats))
        .service(
            web::scope("")
                .wrap(middleware::from_fn(apply_fault))
                .route(platform::TXN_PATH, web::post().to(table_txn))
                .route(platform::READ_PATH, web::post().to(table_read))
                .route(&object_path, web::put().to(put_object))
                .route(&object_path, web::get().to(get_object))
                .route(platform::VM_PATH, web::get().to(get_vms)),
        );
}

/// A running stand-in.
#[derive(Debug)]
pub struct RunningStandin {
    address: SocketAddr,
    handle: ServerHandle,
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
    /// Returns the address that it listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections at once, as in a crash.
    pub async fn stop(self) {
        self.handle.stop(false).await;
    }
}

/// Starts a stand-in with an empty table. Must be called inside an actix system.
///
/// # Errors
/// Returns the error of binding the address.
pub fn start(settings: PlatformSettings) -> std::io::Result<RunningStandin> {
    let platform = web::Data::new(Platform {
        vm_lag: Duration::from_millis(settings.vm_lag_ms),
        state: Mutex::new(PlatformState {
            rows: BTreeMap::new(),
            version: 0,
            objects: HashMap::new(),
            vm_lists: VecDeque::from([(Instant::now(), VmList::default())]),
            fault: PlatformFault::default(),
            read_bucket: TokenBucket::new(settings.reads_per_s),
            write_bucket: TokenBucket::new(settings.writes_per_s),
            connections: HashMap::new(),
            next_connection: 0,
        }),
    });
    let connection_platform = platform.clone().into_inner();
    let server = HttpServer::new(move || {
        App::new()
            .app_data(platform.clone())
            .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .configure(register_routes)
    })
    .on_connect(move |connection, extensions: &mut Extensions| {
        let stream = connection.downcast_ref::<actix_web::rt::net::TcpStream>();
        if let Some(handle) =
            stream.and_then(|stream| ConnectionHandle::register(&connection_platform, stream))
        {
            extensions.insert(handle);
        }
    })
    .workers(1)
    .worker_max_blocking_threads(1)
    .keep_alive(KEEP_ALIVE_TIMEOUT)
    // No limit, as clients open connections ahead of their first request.
    .client_request_timeout(Duration::ZERO)
    .disable_signals()
    .bind(settings.address)?;
    let address = server.addrs()[0];
    let server = server.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(RunningStandin { address, handle })
}
