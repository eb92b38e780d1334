//! The site's HTTP servers, in a thread of their own.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, LazyLock, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use actix_rt::net::TcpStream;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::json;

use crate::advice::{AdviceService, MAX_WORKERS};
use crate::table::{RowTable, TxBody, TxResult};
use crate::worker::{HistoryRun, SiteWorker, StartBody};

/// Time between two checks by a call that waits for changes or ends.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Returns the registration of a worker; even ones are in the domain `north`, odd ones in `south`.
/// A draining one may say in how many milliseconds it leaves.
fn build_registration(
    index: usize,
    address: SocketAddr,
    state: &str,
    remaining_ms: Option<u64>,
) -> serde_json::Value {
    let zone = if index.is_multiple_of(2) { "north" } else { "south" };
    json!({
        "service": "pool", "address": address.to_string(), "zone": zone, "version": "v1",
        "slots": 8, "state": state, "remainingMs": remaining_ms, "coldLeftMs": 0, "seq": 1,
        "capacity": { "cpu": 4000, "memMb": 4000, "gpu": 0 }, "labels": ["a", "r1"],
    })
}

/// Returns the site's steady clock, in milliseconds.
fn steady_ms() -> u128 {
    static STARTED: LazyLock<Instant> = LazyLock::new(Instant::now);
    STARTED.elapsed().as_millis() + 1
}

/// Which transactions get no answer and are held back.
#[derive(Clone, Copy, Debug, Default)]
pub enum HeldWrites {
    /// None.
    #[default]
    None,
    /// Those that write a row of this key.
    Key(&'static str),
    /// Those that write rows of jobs, their progress or their cancellations.
    Jobs,
}

/// Tables of what [`HeldWrites::Jobs`] holds back.
const JOB_TABLES: [&str; 3] = ["jobs", "inbox", "progress"];

/// Faults that a test injects.
#[derive(Clone, Copy, Debug, Default)]
#[expect(clippy::struct_excessive_bools, reason = "each is an independent fault")]
pub struct SiteFaults {
    /// The table service refuses every call with status 503.
    pub store_down: bool,
    /// The table service refuses transactions with status 503, and still serves reads.
    pub writes_refused: bool,
    /// The table service carries transactions out but answers with status 500.
    pub answers_lost: bool,
    /// Delay between a transaction and its answer.
    pub write_delay: Duration,
    /// Transactions that get no answer, and are carried out when the test releases them, if their
    /// conditions hold then.
    pub held_writes: HeldWrites,
    /// Workers neither carry starts out nor answer them.
    pub starts_unanswered: bool,
    /// Delay between a read of rows and its answer, which may then be out of date.
    pub read_delay: Duration,
}

/// State of the site.
#[derive(Debug, Default)]
pub struct SiteState {
    /// The table service.
    pub table: RowTable,
    /// Workers, in the order of their ports.
    pub workers: Vec<SiteWorker>,
    /// The advice service.
    pub advice: AdviceService,
    /// Faults in force.
    pub faults: SiteFaults,
    /// Transactions that [`SiteFaults::held_writes`] has held back.
    pub held_transactions: Vec<TxBody>,
}

/// A running site.
#[derive(Debug)]
pub struct RunningSite {
    state: Arc<Mutex<SiteState>>,
    /// Port of the table service, then those of the workers and of the advice service.
    ports: Arc<Vec<u16>>,
    /// Number of workers.
    workers: usize,
    /// Address of the table service.
    pub address: SocketAddr,
    handle: actix_web::dev::ServerHandle,
}

/// What the HTTP handlers share.
#[derive(Clone)]
struct SiteData {
    state: Arc<Mutex<SiteState>>,
    /// Port of the table service, then those of the workers and of the advice service; the port of
    /// a call selects its handler.
    ports: Arc<Vec<u16>>,
    /// Number of workers.
    workers: usize,
}

/// Most machines that call the advice service, each on a port of its own.
const MAX_ADVICE_CALLERS: usize = 12;

/// Incarnation of the worker to which a connection was made; 0 for the services.
struct ConnectedIncarnation(u64);

impl SiteData {
    /// Returns the position of a port: 0 for the table service, then the workers, then the ports of
    /// the advice service.
    fn index_of(&self, port: u16) -> usize {
        self.ports.iter().position(|known| *known == port).unwrap_or(0)
    }

    fn incarnation_of(&self, index: usize) -> u64 {
        let state = self.lock();
        let worker = index.checked_sub(1).and_then(|position| state.workers.get(position));
        worker.map_or(0, |worker| worker.incarnation)
    }

    fn lock(&self) -> MutexGuard<'_, SiteState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RunningSite {
    /// Starts a site with this number of workers on free ports of the loopback address.
    ///
    /// # Panics
    /// Panics if no port can be bound.
    #[must_use]
    pub fn start(workers: usize) -> Self {
        let site = Self::start_unregistered(workers);
        for index in 0..workers {
            site.register_worker(index);
        }
        site
    }

    /// Starts a site whose workers do not register yet.
    ///
    /// # Panics
    /// Panics if no port can be bound.
    #[must_use]
    pub fn start_unregistered(workers: usize) -> Self {
        let listen = || TcpListener::bind("127.0.0.1:0").expect("a free port");
        let listeners: Vec<_> = (0..=workers + MAX_ADVICE_CALLERS).map(|_| listen()).collect();
        let addresses: Vec<_> =
            listeners.iter().map(|socket| socket.local_addr().expect("bound")).collect();
        let state = Arc::new(Mutex::new(SiteState::default()));
        let ports: Arc<Vec<u16>> = Arc::new(addresses.iter().map(SocketAddr::port).collect());
        let data = SiteData { state: state.clone(), ports: ports.clone(), workers };
        let (sender, receiver) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let data = web::Data::new(data);
                let connecting = data.clone();
                let mut server = HttpServer::new(move || {
                    App::new()
                        .app_data(data.clone())
                        .app_data(web::PayloadConfig::new(4 << 20))
                        .default_service(web::route().to(serve))
                })
                .workers(1)
                .on_connect(move |io, extensions| {
                    let stream = io.downcast_ref::<TcpStream>();
                    let address = stream.and_then(|stream| stream.local_addr().ok());
                    let index = address.map_or(0, |address| connecting.index_of(address.port()));
                    extensions.insert(ConnectedIncarnation(connecting.incarnation_of(index)));
                })
                .disable_signals();
                for listener in listeners {
                    server = server.listen(listener).expect("the socket listens");
                }
                let server = server.run();
                sender.send(server.handle()).expect("the test waits");
                server.await.expect("the site serves");
            });
        });
        let handle = receiver.recv().expect("the site starts");
        let names = (1..=workers).map(|index| format!("i-{index:08x}"));
        let started = names.map(|name| SiteWorker::new(name, 1, Instant::now()));
        let site = Self { state, ports, workers, address: addresses[0], handle };
        site.lock().workers = started.collect();
        site
    }

    /// Returns the address of the advice service for one calling machine.
    ///
    /// # Panics
    /// Panics if there are not as many machines.
    #[must_use]
    pub fn advice_address(&self, caller: usize) -> SocketAddr {
        assert!(caller < MAX_ADVICE_CALLERS, "too many calling machines");
        SocketAddr::new(self.address.ip(), self.ports[self.workers + 1 + caller])
    }

    /// Writes the registration of a worker, by its position.
    ///
    /// # Panics
    /// Panics if there is no such worker.
    pub fn register_worker(&self, position: usize) {
        self.write_registration(position, "ready", None);
    }

    fn write_registration(&self, position: usize, state: &str, remaining_ms: Option<u64>) {
        let index = position + 1;
        let address = SocketAddr::new(self.address.ip(), self.ports[index]);
        let registration = build_registration(index, address, state, remaining_ms);
        let mut state = self.lock();
        let name = state.workers[position].name.clone();
        state.table.put("servers", &name, STANDARD.encode(registration.to_string()));
    }

    /// Registers a worker as draining, with the time until it leaves in milliseconds if it says so.
    ///
    /// # Panics
    /// Panics if there is no worker of this name.
    pub fn drain_worker(&self, name: &str, remaining_ms: Option<u64>) {
        self.write_registration(self.position_of(name), "draining", remaining_ms);
    }

    /// Takes a worker away with everything that runs there, and its registration.
    ///
    /// # Panics
    /// Panics if there is no worker of this name.
    pub fn remove_worker(&self, name: &str) {
        let position = self.position_of(name);
        let mut state = self.lock();
        state.workers[position].leave();
        state.table.remove("servers", name);
    }

    fn position_of(&self, name: &str) -> usize {
        let position = self.lock().workers.iter().position(|worker| worker.name == name);
        position.expect("the worker exists")
    }

    /// Starts a worker again under its name, by its position. It knows nothing of before, and its
    /// earlier connections stay silent.
    ///
    /// # Panics
    /// Panics if there is no such worker.
    pub fn restart_worker(&self, position: usize) {
        self.lock().workers[position].restart();
    }

    /// Locks the state, to inspect or change it.
    ///
    /// # Panics
    /// Never; the lock is taken even if a thread panicked while it held it.
    pub fn lock(&self) -> MutexGuard<'_, SiteState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a row of the operators' table.
    pub fn write_operator_row(&self, key: &str, value: &serde_json::Value) {
        self.lock().table.put("op", key, STANDARD.encode(value.to_string()));
    }

    /// Carries out the transactions that were held back, as far as their conditions hold, and holds
    /// no further ones; returns how many took effect.
    #[must_use]
    pub fn release_transactions(&self) -> usize {
        let mut state = self.lock();
        state.faults.held_writes = HeldWrites::None;
        let held = std::mem::take(&mut state.held_transactions);
        let results = held.iter().map(|body| state.table.transact(body));
        results.filter(|result| matches!(result, TxResult::Committed(_))).count()
    }

    /// Returns all runs of all workers, after ending those that are due.
    #[must_use]
    pub fn history(&self) -> Vec<HistoryRun> {
        let mut state = self.lock();
        for worker in &mut state.workers {
            worker.end_due_runs();
        }
        state.workers.iter().flat_map(|worker| worker.history.clone()).collect()
    }
}

impl Drop for RunningSite {
    fn drop(&mut self) {
        // Not awaited: the thread ends with the test's process at the latest.
        drop(self.handle.stop(false));
    }
}

async fn serve(request: HttpRequest, body: web::Bytes, site: web::Data<SiteData>) -> HttpResponse {
    let index = site.index_of(request.app_config().local_addr().port());
    let call = request.path().trim_start_matches("/amaranthsaddle/").to_owned();
    let connected = request.conn_data::<ConnectedIncarnation>().map_or(0, |connected| connected.0);
    if connected != site.incarnation_of(index) {
        return std::future::pending().await;
    }
    match (index, call.as_str()) {
        (0, "rows-tx") => {
            let delay = site.lock().faults.write_delay;
            if hold_transaction(&body, &site) {
                return std::future::pending().await;
            }
            let answer = transact(&body, &site);
            tokio::time::sleep(delay).await;
            answer
        }
        (0, "rows-get") => read(&request, &site).await,
        (0, "rows-feed") => follow(&request, &site).await,
        (0, _) => HttpResponse::NotFound().finish(),
        (_, "advise") if index > site.workers => advise(index, &body, &site).await,
        _ if index > site.workers => HttpResponse::NotFound().finish(),
        (_, "run-start") if site.lock().faults.starts_unanswered => std::future::pending().await,
        (_, "run-start") => start(index - 1, &body, &site),
        (_, "run-stop") => stop(index - 1, &body, &site),
        (_, "pace") => pace(index - 1, &body, &site),
        (_, "hold") => hold(index - 1, &body, &site).await,
        _ => HttpResponse::NotFound().finish(),
    }
}

/// Keeps a transaction for later if it is one of those to be held; returns whether it is.
fn hold_transaction(body: &[u8], site: &SiteData) -> bool {
    let mut state = site.lock();
    let held_writes = state.faults.held_writes;
    let Ok(body) = serde_json::from_slice::<TxBody>(body) else { return false };
    let is_held = body.writes.iter().any(|row| match held_writes {
        HeldWrites::None => false,
        HeldWrites::Key(key) => row.key == key,
        HeldWrites::Jobs => JOB_TABLES.contains(&row.table.as_str()),
    });
    if is_held {
        state.held_transactions.push(body);
    }
    is_held
}

fn transact(body: &[u8], site: &SiteData) -> HttpResponse {
    let mut state = site.lock();
    if state.faults.store_down || state.faults.writes_refused {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let Ok(body) = serde_json::from_slice::<TxBody>(body) else {
        return HttpResponse::BadRequest().finish();
    };
    let result = state.table.transact(&body);
    if state.faults.answers_lost {
        return HttpResponse::InternalServerError().finish();
    }
    match result {
        TxResult::Committed(version) => {
            HttpResponse::Ok().json(json!({ "ver": version, "nowMs": steady_ms() }))
        }
        TxResult::Conflict(rows) => HttpResponse::PreconditionFailed()
            .json(json!({ "rows": rows, "ver": 0, "nowMs": steady_ms() })),
        TxResult::Refused(403) => HttpResponse::Forbidden().finish(),
        TxResult::Refused(_) => HttpResponse::BadRequest().finish(),
    }
}

/// Query of the call `rows-get`.
#[derive(Deserialize)]
struct ReadQuery {
    table: String,
    part: String,
    #[serde(default)]
    from: String,
    to: Option<String>,
    #[serde(default = "default_read_limit")]
    limit: usize,
}

const fn default_read_limit() -> usize {
    500
}

async fn read(request: &HttpRequest, site: &SiteData) -> HttpResponse {
    let Ok(query) = web::Query::<ReadQuery>::from_query(request.query_string()) else {
        return HttpResponse::BadRequest().finish();
    };
    let (rows, has_more, version, delay) = {
        let state = site.lock();
        if state.faults.store_down {
            return HttpResponse::ServiceUnavailable().finish();
        }
        let range = (query.from.as_str(), query.to.as_deref());
        let (rows, has_more) = state.table.read(&query.table, &query.part, range, query.limit);
        (rows, has_more, state.table.version, state.faults.read_delay)
    };
    tokio::time::sleep(delay).await;
    HttpResponse::Ok()
        .json(json!({ "rows": rows, "hasMore": has_more, "ver": version, "nowMs": steady_ms() }))
}

/// Query of the call `rows-feed`, a long poll for changes after a version.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct FeedQuery {
    table: String,
    after: u64,
    wait_ms: u64,
}

async fn follow(request: &HttpRequest, site: &SiteData) -> HttpResponse {
    let Ok(query) = web::Query::<FeedQuery>::from_query(request.query_string()) else {
        return HttpResponse::BadRequest().finish();
    };
    let until = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        {
            let state = site.lock();
            if state.faults.store_down {
                return HttpResponse::ServiceUnavailable().finish();
            }
            let Some(rows) = state.table.changes(&query.table, query.after) else {
                return HttpResponse::Gone().finish();
            };
            if !rows.is_empty() || Instant::now() >= until {
                let version = state.table.version;
                return HttpResponse::Ok()
                    .json(json!({ "rows": rows, "ver": version, "nowMs": steady_ms() }));
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Body of the call `advise`.
#[derive(Deserialize)]
struct AdviseBody {
    step: String,
    workers: Vec<String>,
}

/// Answers a call to the advice service once it has worked on it. A caller that has gone away
/// does not shorten the work.
async fn advise(caller: usize, body: &[u8], site: &SiteData) -> HttpResponse {
    let Ok(body) = serde_json::from_slice::<AdviseBody>(body) else {
        return HttpResponse::BadRequest().finish();
    };
    if body.workers.len() > MAX_WORKERS {
        return HttpResponse::BadRequest().finish();
    }
    let now = Instant::now();
    let answered_at = site.lock().advice.admit(caller, &body.step, body.workers.len(), now);
    let Some(answered_at) = answered_at else {
        return HttpResponse::TooManyRequests().finish();
    };
    tokio::time::sleep_until(answered_at.into()).await;
    let mut state = site.lock();
    let SiteState { workers, advice, .. } = &mut *state;
    let mut good = Vec::new();
    for worker in workers.iter().filter(|worker| body.workers.contains(&worker.name)) {
        if advice.is_good(&body.step, &worker.name) {
            let life = worker.incarnation;
            let ticket = advice.issue_ticket(&body.step, &worker.name, life, Instant::now());
            good.push((worker.name.clone(), ticket));
        }
    }
    HttpResponse::Ok().json(json!({ "good": good }))
}

fn start(index: usize, body: &[u8], site: &SiteData) -> HttpResponse {
    let Ok(body) = serde_json::from_slice::<StartBody>(body) else {
        return HttpResponse::BadRequest().finish();
    };
    let mut state = site.lock();
    let SiteState { workers, advice, .. } = &mut *state;
    let worker = &mut workers[index];
    let has_ticket = |worker: &SiteWorker| {
        let now = Instant::now();
        advice.accepts(&body.task, &worker.name, worker.incarnation, &body.ticket, now)
    };
    match worker.start(&body, has_ticket) {
        Ok(()) => HttpResponse::Ok().json(json!({ "clockMs": worker.clock_ms() })),
        Err(reason) => {
            HttpResponse::Conflict().json(json!({ "clockMs": worker.clock_ms(), "reason": reason }))
        }
    }
}

/// Body of the call `run-stop`.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct StopBody {
    task: String,
    run: u32,
    fencing_token: u64,
}

fn stop(index: usize, body: &[u8], site: &SiteData) -> HttpResponse {
    let Ok(body) = serde_json::from_slice::<StopBody>(body) else {
        return HttpResponse::BadRequest().finish();
    };
    let mut state = site.lock();
    let worker = &mut state.workers[index];
    if !worker.accept_token(body.fencing_token) {
        return HttpResponse::Conflict().json(json!({ "reason": "fence" }));
    }
    worker.stop(&body.task, body.run);
    HttpResponse::Ok().json(json!({ "clockMs": worker.clock_ms() }))
}

/// Body of the call `pace`.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct PaceBody {
    task: String,
    run: u32,
    percent: u32,
    fencing_token: u64,
}

fn pace(index: usize, body: &[u8], site: &SiteData) -> HttpResponse {
    let Ok(body) = serde_json::from_slice::<PaceBody>(body) else {
        return HttpResponse::BadRequest().finish();
    };
    let mut state = site.lock();
    let worker = &mut state.workers[index];
    if !worker.accept_token(body.fencing_token) {
        return HttpResponse::Conflict().json(json!({ "reason": "fence" }));
    }
    worker.pace(&body.task, body.run, body.percent);
    HttpResponse::Ok().json(json!({ "clockMs": worker.clock_ms() }))
}

/// Body of the call `hold`.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct HoldBody {
    fencing_token: u64,
    acked_upto: u64,
    deadline_ms: Option<u64>,
    #[serde(default)]
    wait_ms: u64,
}

/// Answers the call `hold`, a poll that also extends the lease; waits for an end if asked to.
/// There is no answer if the worker starts again meanwhile, or is mute.
async fn hold(index: usize, body: &[u8], site: &SiteData) -> HttpResponse {
    let Ok(body) = serde_json::from_slice::<HoldBody>(body) else {
        return HttpResponse::BadRequest().finish();
    };
    let until = Instant::now() + Duration::from_millis(body.wait_ms);
    let incarnation = site.incarnation_of(index + 1);
    loop {
        let may_wait = Instant::now() < until;
        let answer = try_hold(&mut site.lock().workers[index], &body, incarnation, may_wait);
        match answer {
            HoldAnswer::Answered(response) => return response,
            HoldAnswer::Waiting => tokio::time::sleep(POLL_INTERVAL).await,
            HoldAnswer::Unanswered => return std::future::pending().await,
        }
    }
}

/// Result of one look at the worker for a waiting call `hold`.
enum HoldAnswer {
    Answered(HttpResponse),
    Waiting,
    Unanswered,
}

fn try_hold(
    worker: &mut SiteWorker,
    body: &HoldBody,
    incarnation: u64,
    may_wait: bool,
) -> HoldAnswer {
    if worker.incarnation != incarnation || worker.is_mute {
        return HoldAnswer::Unanswered;
    }
    if !worker.accept_token(body.fencing_token) {
        let fenced = HttpResponse::Conflict().json(json!({ "reason": "fence" }));
        return HoldAnswer::Answered(fenced);
    }
    // The lease may have expired before the call.
    worker.end_due_runs();
    worker.acknowledge(body.acked_upto);
    if let Some(deadline_ms) = body.deadline_ms {
        worker.extend_lease(deadline_ms);
    }
    worker.end_due_runs();
    if worker.has_unacknowledged_ends() || !may_wait {
        return HoldAnswer::Answered(HttpResponse::Ok().json(worker.report()));
    }
    HoldAnswer::Waiting
}
