//! Measures the resource usage of each role as the cell grows.

use std::time::{Duration, Instant};

use crate::cell::{self, MeasuredCell};
use crate::forward::{self, ByteCount};
use crate::load::{self, LoadTarget};
use crate::usage::{self, ProcessUsage};

/// Length of each measurement window.
const WINDOW_LENGTH: Duration = Duration::from_secs(3);
/// Time between a change of the cell and the next measurement window.
const SETTLE_DELAY: Duration = Duration::from_secs(1);
/// Workers of one domain at the design size.
const WORKERS_PER_DOMAIN: usize = 210;
/// Workers of the whole fleet at the design size.
const FLEET_WORKERS: usize = 2_300;
/// Teams of the whole fleet at the design size.
const FLEET_TEAMS: usize = 76;
/// Domains of the whole fleet at the design size.
const FLEET_DOMAINS: usize = 11;

/// A cell with one domain, whose first worker and platform are behind byte counters.
struct DomainProbe {
    cell: MeasuredCell,
    worker_bytes: ByteCount,
    platform_bytes: ByteCount,
}

/// Resource usage and counters of a cell at one instant.
///
/// `byte_counts` are those of the first worker and of the platform, and
/// `platform_counts` are the reads and writes of the platform.
#[derive(Clone, Copy)]
struct UsageReading {
    at: Instant,
    owner: ProcessUsage,
    standby: ProcessUsage,
    fleet: ProcessUsage,
    byte_counts: (f64, f64),
    platform_counts: (f64, f64),
}

/// Result of one measurement window: processor time of the owner in ms/s.
struct WindowRates {
    owner_ms: f64,
}

impl DomainProbe {
    async fn read_usage(&self) -> UsageReading {
        UsageReading {
            at: Instant::now(),
            owner: self.cell.entries[0].usage(),
            standby: self.cell.entries[1].usage(),
            fleet: self.cell.fleet.usage(),
            byte_counts: (self.worker_bytes.read(), self.platform_bytes.read()),
            platform_counts: self.cell.platform_counts().await,
        }
    }

    /// Measures one window under a load, and prints a row of rates.
    async fn measure_window(&self, label: &str, load: impl Future<Output = ()>) -> WindowRates {
        tokio::time::sleep(SETTLE_DELAY).await;
        let before = self.read_usage().await;
        let ((), ()) = futures_util::join!(tokio::time::sleep(WINDOW_LENGTH), load);
        let after = self.read_usage().await;
        let seconds = (after.at - before.at).as_secs_f64();
        let rate = |late: f64, early: f64| (late - early) / seconds;
        let owner_ms = after.owner.rate_since(&before.owner);
        println!(
            "{label}\t{owner_ms:.1}\t{:.1}\t{:.1}\t{:.1}\t{:.1}\t{:.0}\t{:.0}\t{:.1}\t{:.1}",
            after.owner.rss_mb,
            after.standby.rate_since(&before.standby),
            after.standby.rss_mb,
            after.fleet.rate_since(&before.fleet),
            rate(after.byte_counts.0, before.byte_counts.0),
            rate(after.byte_counts.1, before.byte_counts.1),
            rate(after.platform_counts.0, before.platform_counts.0),
            rate(after.platform_counts.1, before.platform_counts.1),
        );
        WindowRates { owner_ms }
    }
}

/// Prints the header of a table whose first column is `name`.
fn print_header(name: &str) {
    println!(
        "\n{name}\towner ms/s\towner MB\tstandby ms/s\tstandby MB\tfleet ms/s\tworker B/s\t\
         platform B/s\treads/s\twrites/s"
    );
}

/// Prints the owner's processor time per unit of the first column.
fn print_slope(name: &str, points: &[(f64, f64)]) {
    let (slope, base) = usage::fit_line(points);
    println!("slope of the owner's ms/s: {slope:.4} per {name}, {base:.1} at none");
}

/// Measures one domain at growing sizes and loads, and prints the results.
pub async fn measure_domain() {
    println!(
        "command: measure capacity domain; fixed parameters, seed 7, windows of \
         {WINDOW_LENGTH:?}, platform 400 writes/s and 2000 reads/s; worker B/s is one worker's \
         control connection, platform B/s that of all entries"
    );
    let mut probe = start_probe().await;
    measure_workers(&mut probe).await;
    measure_teams(&mut probe).await;
    measure_requests(&probe).await;
    measure_starts(&probe).await;
    measure_tasks(&probe).await;
}

/// Starts a domain of 10 workers, 6 teams, an owner and a standby.
async fn start_probe() -> DomainProbe {
    let run = cell::run_number();
    let listen = cell::address(run, 2, 7000);
    let platform_bytes = forward::start_forwarder(&listen, &cell::address(run, 1, 7000)).await;
    let worker = cell::worker_address(run, 0);
    let worker_bytes = forward::start_forwarder(&cell::address(run, 3, 9000), &worker).await;
    let mut cell = MeasuredCell::start(WORKERS_PER_DOMAIN, 0, Some(listen));
    cell.add_entry(0);
    cell.publish_objects(&cell::build_objects(run, &[10], 6, Some(&cell::address(run, 3, 9000))))
        .await;
    cell.wait_until_running(10, 0).await;
    cell.add_entry(0);
    DomainProbe { cell, worker_bytes, platform_bytes }
}

/// Publishes another number of workers and teams, and waits for the workers' reports.
async fn resize_cell(probe: &mut DomainProbe, workers: usize, teams: usize) {
    let run = probe.cell.run;
    let first = cell::address(run, 3, 9000);
    probe.cell.publish_objects(&cell::build_objects(run, &[workers], teams, Some(&first))).await;
    probe.cell.wait_until_running(workers, 0).await;
}

async fn measure_workers(probe: &mut DomainProbe) {
    print_header("workers");
    let mut points = Vec::new();
    for count in [10, 50, 105, WORKERS_PER_DOMAIN] {
        resize_cell(probe, count, 6).await;
        let window = probe.measure_window(&count.to_string(), std::future::ready(())).await;
        points.push((count as f64, window.owner_ms));
    }
    print_slope("worker", &points);
}

async fn measure_teams(probe: &mut DomainProbe) {
    print_header("teams");
    let mut points = Vec::new();
    for count in [6, 25, FLEET_TEAMS] {
        resize_cell(probe, WORKERS_PER_DOMAIN, count).await;
        let window = probe.measure_window(&count.to_string(), std::future::ready(())).await;
        points.push((count as f64, window.owner_ms));
    }
    print_slope("team", &points);
}

async fn measure_requests(probe: &DomainProbe) {
    for (name, entry) in [("requests/s at the owner", 0), ("requests/s at the standby", 1)] {
        print_header(name);
        let mut points = Vec::new();
        for rate in [50_u32, 200, 400] {
            let target = LoadTarget {
                url: format!("http://{}/v1/queues/sheets/request", probe.cell.http_address(entry)),
                headers: vec![("authorization".to_owned(), "Bearer secret-0".to_owned())],
            };
            let load = async {
                let interval = Duration::from_millis(100);
                let figures =
                    load::send_requests(&target, rate / 10, interval, WINDOW_LENGTH).await;
                assert_eq!(figures.failed, 0, "requests failed");
            };
            let window = probe.measure_window(&rate.to_string(), load).await;
            points.push((f64::from(rate), window.owner_ms));
        }
        print_slope("request/s", &points);
    }
}

async fn measure_starts(probe: &DomainProbe) {
    print_header("starts/s");
    let mut points = Vec::new();
    for rate in [2, 10, 29] {
        let address = probe.cell.http_address(0);
        let prefix = format!("start-{rate}");
        let load = load::submit_jobs(&address, &prefix, rate, WINDOW_LENGTH);
        let window = probe.measure_window(&rate.to_string(), load).await;
        points.push((f64::from(rate), window.owner_ms));
    }
    print_slope("start/s", &points);
}

async fn measure_tasks(probe: &DomainProbe) {
    print_header("tasks a worker");
    let mut points = Vec::new();
    let address = probe.cell.http_address(0);
    let mut total = 0;
    for tasks_per_worker in [0, 10, 26] {
        while total < WORKERS_PER_DOMAIN * tasks_per_worker {
            load::submit_job(&address, &format!("long-{total}"), 105, 0).await;
            total += 105;
        }
        probe.cell.wait_until_running(WORKERS_PER_DOMAIN, total as u64).await;
        let window =
            probe.measure_window(&tasks_per_worker.to_string(), std::future::ready(())).await;
        points.push((tasks_per_worker as f64, window.owner_ms));
    }
    print_slope("task a worker", &points);
}

/// Measures the platform usage by domains and the cost of changes, and prints the results.
pub async fn measure_fleet() {
    println!(
        "command: measure capacity fleet; fixed parameters, seed 7, windows of \
         {WINDOW_LENGTH:?}, workers that only report"
    );
    let mut cell = MeasuredCell::start(0, FLEET_WORKERS, None);
    println!("\ndomains\tentries\tteams\treads/s\twrites/s");
    for domains in [1, 2, 5, FLEET_DOMAINS] {
        while cell.entries.len() < domains {
            cell.add_entry(cell.entries.len());
        }
        cell.publish_objects(&cell::build_objects(cell.run, &vec![4; domains], FLEET_TEAMS, None))
            .await;
        measure_platform_window(&cell, domains).await;
    }
    cell.add_entry(0);
    measure_platform_window(&cell, FLEET_DOMAINS).await;
    println!(
        "\nobjects: workers\tbytes of the set\tmedian ms from PUT to 200\tlongest\t\
         publisher's ms of processor time a change\tanother owner's\tstandby's\tpublisher's ms/s when idle"
    );
    for workers in [50, 500, FLEET_WORKERS] {
        measure_changes(&mut cell, workers).await;
    }
}

/// Measures and prints the reads and writes on the platform in one idle window.
async fn measure_platform_window(cell: &MeasuredCell, domains: usize) {
    tokio::time::sleep(SETTLE_DELAY * 2).await;
    let (start, before) = (Instant::now(), cell.platform_counts().await);
    tokio::time::sleep(WINDOW_LENGTH).await;
    let after = cell.platform_counts().await;
    let seconds = start.elapsed().as_secs_f64();
    println!(
        "{domains}\t{}\t{FLEET_TEAMS}\t{:.1}\t{:.1}",
        cell.entries.len(),
        (after.0 - before.0) / seconds,
        (after.1 - before.1) / seconds
    );
}

/// Measures and prints the latency and the processor time of configuration changes.
///
/// The processor time of an idle window is subtracted. The entries are the owner
/// that gets the changes, the owner of another domain, and a standby.
async fn measure_changes(cell: &mut MeasuredCell, workers: usize) {
    const CHANGE_COUNT: usize = 5;
    let sizes: Vec<_> = (0..FLEET_DOMAINS)
        .map(|index| workers / FLEET_DOMAINS + usize::from(index < workers % FLEET_DOMAINS))
        .collect();
    let objects = cell::build_objects(cell.run, &sizes, FLEET_TEAMS, None);
    cell.publish_objects(&objects).await;
    tokio::time::sleep(SETTLE_DELAY * 2).await;
    let read_usages =
        |cell: &MeasuredCell| [0, 1, FLEET_DOMAINS].map(|entry| cell.entries[entry].usage());
    let idle_start = read_usages(cell);
    tokio::time::sleep(WINDOW_LENGTH).await;
    let before = read_usages(cell);
    let (start, mut times) = (Instant::now(), Vec::new());
    for _ in 0..CHANGE_COUNT {
        let (status, took) = cell.publish_objects(&objects).await;
        assert_eq!(status, 200, "a change was not confirmed");
        times.push(took.as_secs_f64() * 1000.0);
        tokio::time::sleep(Duration::from_millis(600)).await;
    }
    let seconds = start.elapsed().as_secs_f64();
    let after = read_usages(cell);
    times.sort_by(f64::total_cmp);
    let cost = [0, 1, 2].map(|entry| {
        let base = before[entry].rate_since(&idle_start[entry]) * seconds;
        (after[entry].cpu_since(&before[entry]) - base) / CHANGE_COUNT as f64
    });
    println!(
        "{workers}\t{}\t{:.0}\t{:.0}\t{:.1}\t{:.1}\t{:.1}\t{:.1}",
        objects.to_string().len(),
        times[CHANGE_COUNT / 2],
        times[CHANGE_COUNT - 1],
        cost[0],
        cost[1],
        cost[2],
        before[0].rate_since(&idle_start[0])
    );
}
