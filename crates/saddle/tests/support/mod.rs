//! A simulated entry with the configuration, job and request API, and with fault injection.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::io::Read;
use std::net::{SocketAddr, TcpListener};

use actix_web::web::{Bytes, Data, Path};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use model::job::{JobRecord, JobSpec};
use model::kind::{ErrorBody, ErrorKind};
use model::name::DomainName;
use model::object::ObjectSet;
use saddle::CommandOutput;
use saddle::environment::CliEnvironment;
use wire::api::{ApplyReply, ConfigDocument, DomainStatus, StatusReply};

/// State of the simulated entry, and the faults to inject.
#[derive(Default)]
pub struct EntryState {
    pub document: Option<ConfigDocument>,
    /// Change ids of all `PUT`s that arrived.
    pub changes: Vec<String>,
    /// Number of times that a version was committed.
    pub commits: u32,
    /// Number of the next `PUT`s that are committed but not answered.
    pub unanswered_puts: u32,
    /// Versions that another operator commits after each `PUT` without an answer.
    pub competing_commits_after_loss: u64,
    /// Number of the next reads that return version 1, as from an entry that lags behind.
    pub stale_reads: u32,
    /// Number of the next reads without a change id, as while an entry does not know it yet.
    pub reads_without_change_id: u32,
    /// Number of the next `PUT`s before which another operator commits a version.
    pub competing_edits: u32,
    /// Domains that the answer to a `PUT` lists as not confirmed.
    pub not_confirmed: Vec<DomainName>,
    /// Jobs that were submitted.
    pub jobs: Vec<JobSpec>,
    /// Number of the next jobs that are accepted but not answered.
    pub unanswered_jobs: u32,
    /// Requests that arrived: body, id and `x-idempotent`.
    pub requests: Vec<(String, String, String)>,
    /// Kind of error with which all requests are refused, if any.
    pub refuse_requests: Option<ErrorKind>,
    /// `authorization` headers of the requests that arrived.
    pub keys: Vec<String>,
}

type SharedState = Data<std::sync::Mutex<EntryState>>;

pub struct TestEntry {
    pub address: SocketAddr,
    pub state: SharedState,
}

impl TestEntry {
    /// Starts an entry whose version 1 is an example set.
    pub fn start(example: &str) -> Self {
        let objects = ObjectSet::parse(example).expect("example parses");
        let document = ConfigDocument { version: 1, change_id: "first".to_owned(), objects };
        let state = EntryState { document: Some(document), ..EntryState::default() };
        let state: SharedState = Data::new(std::sync::Mutex::new(state));
        let shared = state.clone();
        let server = HttpServer::new(move || {
            App::new()
                .app_data(shared.clone())
                .route("/v1/config", web::get().to(get_config))
                .route("/v1/config", web::put().to(put_config))
                .route("/v1/status", web::get().to(get_status))
                .route("/v1/jobs", web::post().to(post_job))
                .route("/v1/jobs/{id}", web::get().to(get_job))
                .route("/v1/jobs/{id}", web::delete().to(get_job))
                .route("/v1/queues/{queue}/request", web::post().to(post_request))
        })
        .workers(1)
        .disable_signals()
        .bind("127.0.0.1:0")
        .expect("a loopback port is free");
        let address = server.addrs()[0];
        actix_rt::spawn(server.run());
        Self { address, state }
    }

    pub fn with<T>(&self, use_state: impl FnOnce(&mut EntryState) -> T) -> T {
        use_state(&mut self.state.lock().expect("no handler panicked"))
    }
}

/// Returns an address that refuses connections.
pub fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    listener.local_addr().expect("the listener has an address")
}

/// Starts a listener that reads the start of each request and closes without an answer.
pub fn closing_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener has an address");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let _ = stream.and_then(|mut stream| stream.read(&mut [0; 4096]));
        }
    });
    address
}

/// Runs a command line, given as one string, against the entries.
pub async fn run(entries: &[SocketAddr], words: &str) -> CommandOutput {
    let mut arguments: Vec<String> = words.split_whitespace().map(str::to_owned).collect();
    for entry in entries {
        arguments.extend(["--entry".to_owned(), entry.to_string()]);
    }
    saddle::run(&arguments, &CliEnvironment::default()).await
}

pub fn stdout(output: &CommandOutput) -> String {
    String::from_utf8(output.stdout.clone()).expect("output is UTF-8")
}

/// Returns the exit code and both outputs, with addresses replaced for snapshots.
pub fn transcript(output: &CommandOutput, entries: &[SocketAddr]) -> String {
    let mut text = format!(
        "exit {}\n--- stdout\n{}--- stderr\n{}",
        output.status.code(),
        stdout(output),
        output.stderr
    );
    for (index, entry) in entries.iter().enumerate() {
        text = text.replace(&entry.to_string(), &format!("ENTRY-{}", index + 1));
    }
    text
}

fn refuse(body: &ErrorBody) -> HttpResponse {
    let status = actix_web::http::StatusCode::from_u16(body.kind.answer().status);
    HttpResponse::build(status.expect("the table has valid codes")).json(body)
}

/// Closes the connection without an answer, after the work was done.
fn cut_reply() -> HttpResponse {
    let error = std::io::Error::other("reply lost");
    let stream = futures_util::stream::once(async { Err::<Bytes, _>(error) });
    HttpResponse::Ok().streaming(stream)
}

fn header(request: &HttpRequest, name: &str) -> String {
    let value = request.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

async fn get_config(state: SharedState) -> HttpResponse {
    let mut state = state.lock().expect("no handler panicked");
    let mut document = state.document.clone().expect("a set is published");
    if document.version > 1 && state.stale_reads > 0 {
        state.stale_reads -= 1;
        document.version = 1;
        "first".clone_into(&mut document.change_id);
    }
    if document.version > 1 && state.reads_without_change_id > 0 {
        state.reads_without_change_id -= 1;
        document.change_id.clear();
    }
    HttpResponse::Ok().json(document)
}

async fn put_config(request: HttpRequest, body: Bytes, state: SharedState) -> HttpResponse {
    let mut state = state.lock().expect("no handler panicked");
    let change_id = header(&request, "x-change-id");
    state.changes.push(change_id.clone());
    let not_confirmed = state.not_confirmed.clone();
    let is_overtaken = state.competing_edits > 0;
    state.competing_edits = state.competing_edits.saturating_sub(1);
    let document = state.document.as_mut().expect("a set is published");
    if is_overtaken {
        document.version += 1;
        "competing".clone_into(&mut document.change_id);
    }
    if document.change_id != change_id {
        if header(&request, "x-base-version") != document.version.to_string() {
            let mut body = ErrorBody::new(ErrorKind::Conflict, "another change came first");
            body.version = Some(document.version);
            return refuse(&body);
        }
        document.objects = serde_json::from_slice(&body).expect("the body is a set");
        document.version += 1;
        document.change_id.clone_from(&change_id);
        state.commits += 1;
    }
    if state.unanswered_puts > 0 {
        state.unanswered_puts -= 1;
        let competing_commits = state.competing_commits_after_loss;
        if let Some(document) = state.document.as_mut().filter(|_| competing_commits > 0) {
            document.version += competing_commits;
            "competing".clone_into(&mut document.change_id);
        }
        return cut_reply();
    }
    let document = state.document.as_ref().expect("a set is published");
    let names = document.objects.domains.iter().map(|domain| domain.name.clone());
    let reply = ApplyReply {
        version: document.version,
        change_id,
        in_force: names.filter(|name| !not_confirmed.contains(name)).collect(),
        not_confirmed,
    };
    if reply.not_confirmed.is_empty() {
        HttpResponse::Ok().json(reply)
    } else {
        HttpResponse::Accepted().json(reply)
    }
}

async fn get_status(state: SharedState) -> HttpResponse {
    let state = state.lock().expect("no handler panicked");
    let document = state.document.as_ref().expect("a set is published");
    let domains = document.objects.domains.iter().map(|domain| DomainStatus {
        name: domain.name.clone(),
        state: domain.state,
        confirmed: document.version,
    });
    HttpResponse::Ok().json(StatusReply {
        name: "entry-1".to_owned(),
        domain: "addis-bole".into(),
        is_owner: true,
        authority: "3.0".to_owned(),
        config_version: document.version,
        platform_reachable: true,
        draining: false,
        domains: domains.collect(),
        workers: Vec::new(),
    })
}

async fn post_job(body: Bytes, state: SharedState) -> HttpResponse {
    let mut state = state.lock().expect("no handler panicked");
    let spec: JobSpec = serde_json::from_slice(&body).expect("the body is a job");
    let job = spec.id.clone();
    state.jobs.push(spec);
    if state.unanswered_jobs > 0 {
        state.unanswered_jobs -= 1;
        return cut_reply();
    }
    HttpResponse::Created().json(wire::api::SubmitReply { job, domain: "addis-bole".into() })
}

async fn get_job(id: Path<String>, state: SharedState) -> HttpResponse {
    let state = state.lock().expect("no handler panicked");
    match state.jobs.iter().find(|spec| spec.id.as_str() == *id) {
        Some(spec) => HttpResponse::Ok().json(JobRecord {
            spec: spec.clone(),
            team: "branch-summaries".into(),
            domain: "addis-bole".into(),
            state: model::job::JobState::Accepted,
            done: vec![0, 1],
        }),
        None => refuse(&ErrorBody::new(ErrorKind::NotFound, format!("there is no job `{id}`"))),
    }
}

async fn post_request(request: HttpRequest, body: Bytes, state: SharedState) -> HttpResponse {
    let mut state = state.lock().expect("no handler panicked");
    let id = header(&request, "x-request-id");
    let body = String::from_utf8_lossy(&body).into_owned();
    state.keys.push(header(&request, "authorization"));
    state.requests.push((body.clone(), id.clone(), header(&request, "x-idempotent")));
    if let Some(kind) = state.refuse_requests {
        return refuse(&ErrorBody::new(kind, "refused by the test"));
    }
    HttpResponse::Ok()
        .insert_header(("x-outcome", "answered"))
        .insert_header(("x-request-id", id))
        .body(format!("answer to {body}"))
}
