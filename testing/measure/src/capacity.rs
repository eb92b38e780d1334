//! What each role uses against the size of the cell.

use std::time::{Duration, Instant};

use crate::cell::{self, MeasuredCell};
use crate::forward::{self, ByteCount};
use crate::load::{self, LoadTarget};
use crate::usage::{self, ProcessUsage};

/// Length of each window of measurement.
const WINDOW: Duration = Duration::from_secs(3);
/// Time that the cell is left alone after a change of size.
const SETTLE: Duration = Duration::from_secs(1);
/// Workers of one domain at the design size.
const DOMAIN_WORKERS: usize = 210;
/// Workers, teams and domains at the design size.
const FLEET: usize = 2_300;
const TEAMS: usize = 76;
const DOMAINS: usize = 11;

struct Probe {
    cell: MeasuredCell,
    worker_bytes: ByteCount,
    platform_bytes: ByteCount,
}

#[derive(Clone, Copy)]
struct Reading {
    at: Instant,
    owner: ProcessUsage,
    standby: ProcessUsage,
    fleet: ProcessUsage,
    bytes: (f64, f64),
    platform: (f64, f64),
}

/// Rates of one window: processor time in ms/s, bytes/s, reads and writes/s, memory in MB.
struct Window {
    owner_ms: f64,
}

impl Probe {
    async fn read(&self) -> Reading {
        Reading {
            at: Instant::now(),
            owner: self.cell.entries[0].usage(),
            standby: self.cell.entries[1].usage(),
            fleet: self.cell.fleet.usage(),
            bytes: (self.worker_bytes.read(), self.platform_bytes.read()),
            platform: self.cell.platform_counts().await,
        }
    }

    async fn window(&self, label: &str, load: impl Future<Output = ()>) -> Window {
        tokio::time::sleep(SETTLE).await;
        let before = self.read().await;
        let ((), ()) = futures_util::join!(tokio::time::sleep(WINDOW), load);
        let after = self.read().await;
        let seconds = (after.at - before.at).as_secs_f64();
        let rate = |late: f64, early: f64| (late - early) / seconds;
        let owner_ms = after.owner.rate_since(&before.owner);
        println!(
            "{label}\t{owner_ms:.1}\t{:.1}\t{:.1}\t{:.1}\t{:.1}\t{:.0}\t{:.0}\t{:.1}\t{:.1}",
            after.owner.rss_mb,
            after.standby.rate_since(&before.standby),
            after.standby.rss_mb,
            after.fleet.rate_since(&before.fleet),
            rate(after.bytes.0, before.bytes.0),
            rate(after.bytes.1, before.bytes.1),
            rate(after.platform.0, before.platform.0),
            rate(after.platform.1, before.platform.1),
        );
        Window { owner_ms }
    }
}

fn header(name: &str) {
    println!(
        "\n{name}\towner ms/s\towner MB\tstandby ms/s\tstandby MB\tfleet ms/s\tworker B/s\t\
         platform B/s\treads/s\twrites/s"
    );
}

fn slope(name: &str, points: &[(f64, f64)]) {
    let (slope, base) = usage::line(points);
    println!("slope of the owner's ms/s: {slope:.4} per {name}, {base:.1} at none");
}

/// Measures one domain against its size and load, and prints.
pub async fn domain() {
    println!(
        "command: measure capacity domain; fixed parameters, seed 7, windows of {WINDOW:?}, platform \
         400 writes/s and 2000 reads/s; worker B/s is one worker's control connection, \
         platform B/s that of all entries"
    );
    let mut probe = start().await;
    workers(&mut probe).await;
    teams(&mut probe).await;
    requests(&probe).await;
    starts(&probe).await;
    tasks(&probe).await;
}

async fn start() -> Probe {
    let run = cell::run_number();
    let listen = cell::address(run, 2, 7000);
    let platform_bytes = forward::start(&listen, &cell::address(run, 1, 7000)).await;
    let worker = cell::worker_address(run, 0);
    let worker_bytes = forward::start(&cell::address(run, 3, 9000), &worker).await;
    let mut cell = MeasuredCell::start(DOMAIN_WORKERS, 0, Some(listen));
    cell.add_entry(0);
    cell.publish(&cell::objects(run, &[10], 6, Some(&cell::address(run, 3, 9000)))).await;
    cell.until_running(10, 0).await;
    cell.add_entry(0);
    Probe { cell, worker_bytes, platform_bytes }
}

async fn resize(probe: &mut Probe, workers: usize, teams: usize) {
    let run = probe.cell.run;
    let first = cell::address(run, 3, 9000);
    probe.cell.publish(&cell::objects(run, &[workers], teams, Some(&first))).await;
    probe.cell.until_running(workers, 0).await;
}

async fn workers(probe: &mut Probe) {
    header("workers");
    let mut points = Vec::new();
    for count in [10, 50, 105, DOMAIN_WORKERS] {
        resize(probe, count, 6).await;
        let window = probe.window(&count.to_string(), std::future::ready(())).await;
        points.push((count as f64, window.owner_ms));
    }
    slope("worker", &points);
}

async fn teams(probe: &mut Probe) {
    header("teams");
    let mut points = Vec::new();
    for count in [6, 25, TEAMS] {
        resize(probe, DOMAIN_WORKERS, count).await;
        let window = probe.window(&count.to_string(), std::future::ready(())).await;
        points.push((count as f64, window.owner_ms));
    }
    slope("team", &points);
}

async fn requests(probe: &Probe) {
    for (name, entry) in [("requests/s at the owner", 0), ("requests/s at the standby", 1)] {
        header(name);
        let mut points = Vec::new();
        for rate in [50_u32, 200, 400] {
            let target = LoadTarget {
                url: format!("http://{}/v1/queues/sheets/request", probe.cell.http_address(entry)),
                headers: vec![("authorization".to_owned(), "Bearer secret-0".to_owned())],
            };
            let load = async {
                let gap = Duration::from_millis(100);
                let figures = load::requests(&target, rate / 10, gap, WINDOW).await;
                assert_eq!(figures.failed, 0, "requests failed");
            };
            let window = probe.window(&rate.to_string(), load).await;
            points.push((f64::from(rate), window.owner_ms));
        }
        slope("request/s", &points);
    }
}

async fn starts(probe: &Probe) {
    header("starts/s");
    let mut points = Vec::new();
    for rate in [2, 10, 29] {
        let address = probe.cell.http_address(0);
        let prefix = format!("start-{rate}");
        let load = load::job_stream(&address, &prefix, rate, WINDOW);
        let window = probe.window(&rate.to_string(), load).await;
        points.push((f64::from(rate), window.owner_ms));
    }
    slope("start/s", &points);
}

async fn tasks(probe: &Probe) {
    header("tasks a worker");
    let mut points = Vec::new();
    let address = probe.cell.http_address(0);
    let mut total = 0;
    for each in [0, 10, 26] {
        while total < DOMAIN_WORKERS * each {
            load::submit(&address, &format!("long-{total}"), 105, 0).await;
            total += 105;
        }
        probe.cell.until_running(DOMAIN_WORKERS, total as u64).await;
        let window = probe.window(&each.to_string(), std::future::ready(())).await;
        points.push((each as f64, window.owner_ms));
    }
    slope("task a worker", &points);
}

/// Measures platform use against domains and entries and the cost of changes, and prints.
pub async fn fleet() {
    println!(
        "command: measure capacity fleet; fixed parameters, seed 7, windows of {WINDOW:?}, workers \
         that only report"
    );
    let mut cell = MeasuredCell::start(0, FLEET, None);
    println!("\ndomains\tentries\tteams\treads/s\twrites/s");
    for domains in [1, 2, 5, DOMAINS] {
        while cell.entries.len() < domains {
            cell.add_entry(cell.entries.len());
        }
        cell.publish(&cell::objects(cell.run, &vec![4; domains], TEAMS, None)).await;
        platform_window(&cell, domains).await;
    }
    cell.add_entry(0);
    platform_window(&cell, DOMAINS).await;
    println!(
        "\nobjects: workers\tbytes of the set\tmedian ms from PUT to 200\tlongest\t\
         publisher's ms of processor time a change\tanother owner's\tstandby's\tpublisher's ms/s when idle"
    );
    for workers in [50, 500, FLEET] {
        changes(&mut cell, workers).await;
    }
}

async fn platform_window(cell: &MeasuredCell, domains: usize) {
    tokio::time::sleep(SETTLE * 2).await;
    let (start, before) = (Instant::now(), cell.platform_counts().await);
    tokio::time::sleep(WINDOW).await;
    let after = cell.platform_counts().await;
    let seconds = start.elapsed().as_secs_f64();
    println!(
        "{domains}\t{}\t{TEAMS}\t{:.1}\t{:.1}",
        cell.entries.len(),
        (after.0 - before.0) / seconds,
        (after.1 - before.1) / seconds
    );
}

async fn changes(cell: &mut MeasuredCell, workers: usize) {
    const COUNT: usize = 5;
    let sizes: Vec<_> = (0..DOMAINS)
        .map(|index| workers / DOMAINS + usize::from(index < workers % DOMAINS))
        .collect();
    let set = cell::objects(cell.run, &sizes, TEAMS, None);
    cell.publish(&set).await;
    tokio::time::sleep(SETTLE * 2).await;
    let read = |cell: &MeasuredCell| [0, 1, DOMAINS].map(|entry| cell.entries[entry].usage());
    let quiet = read(cell);
    tokio::time::sleep(WINDOW).await;
    let before = read(cell);
    let (start, mut times) = (Instant::now(), Vec::new());
    for _ in 0..COUNT {
        let (status, took) = cell.publish(&set).await;
        assert_eq!(status, 200, "a change was not confirmed");
        times.push(took.as_secs_f64() * 1000.0);
        tokio::time::sleep(Duration::from_millis(600)).await;
    }
    let seconds = start.elapsed().as_secs_f64();
    let after = read(cell);
    times.sort_by(f64::total_cmp);
    let cost = [0, 1, 2].map(|entry| {
        let base = before[entry].rate_since(&quiet[entry]) * seconds;
        (after[entry].cpu_since(&before[entry]) - base) / COUNT as f64
    });
    println!(
        "{workers}\t{}\t{:.0}\t{:.0}\t{:.1}\t{:.1}\t{:.1}\t{:.1}",
        set.to_string().len(),
        times[COUNT / 2],
        times[COUNT - 1],
        cost[0],
        cost[1],
        cost[2],
        before[0].rate_since(&quiet[0])
    );
}
