//! Runs all workers of a measurement in one process.

use actix_web::dev::Extensions;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use model::authority::OwnerAuthority;
use model::resource::ResourceAmounts;
use model::time::ClockMillis;
use standin_worker::WorkerSettings;
use wire::worker::{RENEW_PATH, RenewCall, WorkerReport};

use crate::cell;

/// Capacity of each worker.
pub const WORKER_CAPACITY: ResourceAmounts =
    ResourceAmounts { cpu_millis: 32_000, memory_mb: 65_536, accelerators: 0, slots: 8 };

/// Serves full worker stand-ins, and light ones that only report that nothing runs.
///
/// All light workers share one thread, so that a whole fleet of 2,300 workers fits
/// in one process.
pub async fn serve_workers(run: u8, full_workers: usize, light_workers: usize) {
    let mut running = Vec::new();
    for index in 0..full_workers {
        let settings = WorkerSettings {
            name: cell::worker_name(index).into(),
            domain: cell::domain_name(0).into(),
            address: cell::worker_address(run, index).parse().expect("a worker address is valid"),
            capacity: WORKER_CAPACITY,
            connections: 1024,
            history: None,
            usage_lag_ms: 1000,
        };
        running.push(standin_worker::start(settings).expect("a worker can be started"));
    }
    if light_workers > 0 {
        start_light_workers(run, full_workers, light_workers);
    }
    println!("listening");
    std::future::pending::<()>().await;
}

fn start_light_workers(run: u8, first: usize, count: usize) {
    let started = std::time::Instant::now();
    let mut server = HttpServer::new(move || {
        App::new().route(
            RENEW_PATH,
            web::post().to(move |request: HttpRequest, call: web::Json<RenewCall>| async move {
                let address = request.conn_data::<String>().cloned().unwrap_or_default();
                let clock = u64::try_from(started.elapsed().as_millis()).unwrap_or_default();
                HttpResponse::Ok().json(empty_report(call.authority, &address, clock))
            }),
        )
    })
    .on_connect(|connection, extensions: &mut Extensions| {
        let stream = connection.downcast_ref::<actix_web::rt::net::TcpStream>();
        if let Some(Ok(address)) = stream.map(actix_web::rt::net::TcpStream::local_addr) {
            extensions.insert(address.to_string());
        }
    })
    .workers(1)
    .keep_alive(std::time::Duration::from_mins(2))
    .disable_signals();
    for index in first..first + count {
        server = server.bind(cell::worker_address(run, index)).expect("the address is free");
    }
    actix_rt::spawn(server.run());
}

fn empty_report(authority: OwnerAuthority, address: &str, clock: u64) -> WorkerReport {
    WorkerReport {
        authority,
        boot: format!("light-{address}").as_str().into(),
        clock: ClockMillis(clock),
        tasks: Some(Vec::new()),
        running: 0,
        ended: Vec::new(),
        slots_used: 0,
        slots_by_team: Vec::new(),
        leaving: false,
    }
}
