//! Starts and stops an entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use actix::Actor;
use actix_web::{App, web};
use error_stack::{Report, ResultExt};
use link::intake::{self, ClientIntake};
use link::server::{self, BoundedServer};
use model::setting::EntrySettings;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::control::handle::{ControlActor, ControlCall, ControlHandle};
use crate::control::{self, ControlShared, peers};
use crate::http::{self, SharedTraffic, TrafficState};
use crate::metrics::EntryMetrics;
use crate::snapshot::ConfigSnapshot;

/// How long an idle connection of a caller is kept open.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);

/// Bytes that the system buffers for a connection of a caller; it reserves twice as many. A body
/// of 16 MB needs 64 round trips.
const RECEIVE_BUFFER_BYTES: u32 = 262_144;

/// Longest wait for the ownership to be handed over or released.
const MAX_HANDOVER_WAIT: Duration = Duration::from_secs(5);

/// The entry could not start; the report around it says why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartError;

impl std::fmt::Display for StartError {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str("the entry cannot start")
    }
}

impl std::error::Error for StartError {}

/// An entry that is running.
#[derive(Debug)]
pub struct RunningEntry {
    /// Address for callers and operators.
    pub http_address: SocketAddr,
    handle: ControlHandle,
    server: actix_web::dev::ServerHandle,
    arbiter: actix_rt::Arbiter,
    draining: Arc<AtomicBool>,
    stop: CancellationToken,
    metrics: Arc<EntryMetrics>,
    balancer_delay: Duration,
}

/// Starts an entry in the current actix system.
///
/// # Errors
/// [`StartError`] that names the address or setting at fault.
pub async fn start(settings: EntrySettings) -> Result<RunningEntry, Report<StartError>> {
    let seed = settings.seed.unwrap_or_else(rand::random);
    log::info!("entry starting name={} domain={} seed={seed}", settings.name, settings.domain);
    let metrics =
        EntryMetrics::new().map_err(|error| Report::new(StartError).attach(error.to_string()))?;
    let metrics = Arc::new(metrics);
    let stop = CancellationToken::new();
    let (publisher, snapshots) = watch::channel(Arc::new(ConfigSnapshot::default()));
    let arbiter = actix_rt::Arbiter::new();
    let (sender, receiver) = oneshot::channel();
    let (control_settings, control_metrics) = (settings.clone(), Arc::clone(&metrics));
    let control_stop = stop.clone();
    arbiter.spawn(async move {
        let peer_address = control_settings.peer_address.clone();
        let listener = TcpListener::bind(&peer_address).await;
        let listener = listener.map_err(|error| format!("peer_address {peer_address}: {error}"));
        let started = listener.map(|listener| {
            let control = ControlShared::new(
                control_settings,
                seed,
                control_metrics,
                publisher,
                control_stop,
            );
            control::start_loops(&control);
            control.spawn(peers::serve_peers(std::rc::Rc::clone(&control), listener));
            ControlHandle::new(ControlActor::new(control).start())
        });
        let _ = sender.send(started);
    });
    let handle = receiver
        .await
        .change_context(StartError)?
        .map_err(|reason| Report::new(StartError).attach(reason))?;
    let draining = Arc::new(AtomicBool::new(false));
    let limits = settings.limits();
    let callers = ClientIntake::new("callers", limits.body_bytes(), limits.caller_connections());
    let upkeep = intake::maintain(vec![callers.clone()], metrics.intake.clone());
    actix_rt::spawn(stop.clone().run_until_cancelled_owned(upkeep));
    let shared = SharedTraffic {
        callers: callers.clone(),
        control: handle.clone(),
        snapshots,
        metrics: Arc::clone(&metrics),
        draining: Arc::clone(&draining),
        outgoing_ip: settings.outgoing_ip,
        operator_digest: settings.operator_digest.clone(),
        entry: settings.name.clone(),
    };
    let address = settings.http_address.parse().change_context(StartError)?;
    let server_error = || format!("http_address {}", settings.http_address);
    let listener = server::bind(address, Some(RECEIVE_BUFFER_BYTES))
        .change_context(StartError)
        .attach_with(server_error)?;
    let http_address = listener.local_addr().change_context(StartError)?;
    let drain = Duration::from_secs(settings.drain_s);
    let server = BoundedServer::new(settings.threads.into(), limits.caller_connections(), drain)
        .listen(listener, &callers, KEEP_ALIVE_TIMEOUT, move || {
            let state = std::rc::Rc::new(TrafficState::new(shared.clone()));
            App::new().app_data(web::Data::new(state)).configure(http::configure_routes)
        })
        .change_context(StartError)
        .attach_with(server_error)?
        .run();
    let server_handle = server.handle();
    actix_rt::spawn(server);
    log::info!("entry serving http={http_address} peers={}", settings.peer_address);
    Ok(RunningEntry {
        http_address,
        handle,
        server: server_handle,
        arbiter,
        draining,
        stop,
        metrics,
        balancer_delay: Duration::from_millis(settings.balancer_delay_ms),
    })
}

impl RunningEntry {
    /// Shuts down gracefully.
    ///
    /// First the readiness check fails and the ownership is handed over, while
    /// requests are still served, because the balancer notices only after a delay.
    /// Then the listener is closed and requests in flight are finished.
    pub async fn shut_down(self) {
        log::info!("entry draining");
        self.draining.store(true, Ordering::Relaxed);
        self.handle.send(ControlCall::Drain);
        tokio::time::sleep(self.balancer_delay).await;
        let start = tokio::time::Instant::now();
        while self.handle.call(ControlCall::IsDrained).await == Some(false)
            && start.elapsed() < MAX_HANDOVER_WAIT
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.server.stop(true).await;
        // Leaves the control thread time to release the slots of the last requests.
        tokio::time::sleep(Duration::from_millis(100)).await;
        self.stop.cancel();
        self.arbiter.stop();
        self.metrics.shut_down();
        log::info!("entry stopped");
    }
}

/// Runs an entry until SIGTERM or SIGINT, then shuts it down.
///
/// # Errors
/// [`StartError`] if it cannot start.
pub async fn run(settings: EntrySettings) -> Result<(), Report<StartError>> {
    let entry = start(settings).await?;
    println!("listening on {}", entry.http_address);
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .change_context(StartError)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    entry.shut_down().await;
    Ok(())
}
