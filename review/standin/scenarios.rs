//! The scenarios of the scripts, and the checks of the rules.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::cell::{Cell, SIGKILL, SIGTERM};
use crate::minion::{Behaviour, Past};
use crate::record::Record;

pub struct Context {
    pub program: String,
    pub record: Arc<Record>,
    pub trouble: bool,
    pub seed: u64,
}

type Outcome = Result<Vec<String>, String>;

pub fn run(scenario: &str, context: &Context) -> Outcome {
    match scenario {
        "occurrence" => occurrence(context),
        "scheduled" => scheduled(context),
        "unlisted" => unlisted(context),
        "cancelled" => cancelled(context),
        "ends" => ends(context),
        "reborn" => reborn(context),
        other => Err(format!("no scenario {other}")),
    }
}

fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

fn start(context: &Context, minions: usize, behaviour: Behaviour) -> Result<Cell, String> {
    Cell::start(context.record.clone(), &context.program, minions, 4, context.seed, behaviour)
}

/// Breaches of TWICE: two runs of a task at once on minions that are up, or a start after a run
/// has ended `done`, if that end is taken note of.
fn find_twice(past: &[Past]) -> Vec<String> {
    let mut by_task: BTreeMap<&str, Vec<&Past>> = BTreeMap::new();
    for run in past {
        by_task.entry(&run.task).or_default().push(run);
    }
    let mut broken = Vec::new();
    for (task, runs) in by_task {
        for first in &runs {
            for second in &runs {
                if second.run <= first.run || second.start_ms < first.start_ms {
                    continue;
                }
                let is_done = first.how == "done" && first.noted_ms.is_some();
                let ended = first.end_ms.unwrap_or(u64::MAX);
                if is_done && second.start_ms > ended {
                    broken.push(format!(
                        "TWICE: {task} run {} on {} ended done at {} ms, was taken note of at {} \
                         ms; run {} started on {} at {} ms",
                        first.run,
                        first.minion,
                        ended,
                        first.noted_ms.unwrap_or(0),
                        second.run,
                        second.minion,
                        second.start_ms
                    ));
                } else if second.start_ms < ended {
                    broken.push(format!(
                        "TWICE: {task} run {} on {} until {ended} ms; run {} started on {} at {} ms",
                        first.run, first.minion, second.run, second.minion, second.start_ms
                    ));
                }
            }
        }
    }
    broken
}

/// Scheduled jobs whose second time runs longer than the third, and a planned restart of the
/// entry that owns the fleet between the end of the third and the begin of the fourth.
fn occurrence(context: &Context) -> Outcome {
    let behaviour: Behaviour = Arc::new(|task, _, _| {
        let is_long = task.split('.').nth(1) == Some("1");
        (if is_long { 9_000 } else { 700 }, "done")
    });
    let cell = start(context, 4, behaviour)?;
    let ids: Vec<String> = (0..5).map(|index| format!("a{index:015x}")).collect();
    let start_ms = crate::unix_ms() + 2_000;
    for (index, id) in ids.iter().enumerate() {
        let body = format!(
            "{{\"spec\":\"sheet\",\"maxRuns\":4,\"startAtMs\":{start_ms},\"intervalMs\":1500,\
             \"steps\":[{{\"count\":1,\"cpu\":2600,\"memMb\":9600,\"estimateMs\":1000}}]}}"
        );
        if !cell.submit(index, id, &body) {
            return Err(format!("{id} is not accepted"));
        }
    }
    // The third time is due 3.0 s after the first and ends 0.7 s later; the fourth is due at 4.5.
    let at = start_ms + 4_200;
    sleep_ms(at.saturating_sub(crate::unix_ms()));
    if context.trouble {
        let owner = cell.owner().ok_or("no owner")?;
        cell.signal(owner, SIGTERM);
        cell.restart(owner)?;
    }
    let mut broken = Vec::new();
    let mut completed = BTreeSet::new();
    let until = Instant::now() + Duration::from_secs(35);
    while completed.len() < ids.len() && Instant::now() < until {
        for (index, id) in
            ids.iter().enumerate().filter(|(_, id)| !completed.contains(*id)).collect::<Vec<_>>()
        {
            let Some((200, body)) = cell.request(index, "GET", id, "") else { continue };
            let state = body.str("state");
            if state != "completed" {
                if state == "failed" || state == "canceled" {
                    broken.push(format!("LOST: {id} is shown as {state} without cause"));
                }
                continue;
            }
            completed.insert(id.clone());
            let past = cell.past();
            for occurrence in 0..4 {
                let task = format!("{id}.{occurrence}.0.0");
                let runs: Vec<_> = past.iter().filter(|run| run.task == task).collect();
                if !runs.iter().any(|run| run.how == "done") {
                    let runs: Vec<_> = runs.iter().map(|run| (run.run, run.how)).collect();
                    broken.push(format!(
                        "MIXED: {id} is shown as completed, and {task} has not ended done: {runs:?}"
                    ));
                }
            }
        }
        sleep_ms(250);
    }
    for id in ids.iter().filter(|id| !completed.contains(*id)) {
        let past = cell.past();
        let now = context.record.now_ms();
        let prefix = format!("{id}.");
        let last = past.iter().filter(|run| run.task.starts_with(&prefix));
        let last = last.map(|run| run.end_ms.unwrap_or(now)).max().unwrap_or(0);
        let waiting: Vec<_> = (0..4)
            .map(|occurrence| format!("{id}.{occurrence}.0.0"))
            .filter(|task| !past.iter().any(|run| run.task == *task && run.how == "done"))
            .collect();
        if now - last > 3_000 && !waiting.is_empty() {
            broken.push(format!(
                "LOST: {waiting:?} have not ended done, the minions are empty, and nothing of the \
                 job has run for {} ms",
                now - last
            ));
        }
    }
    Ok(broken)
}

/// Scheduled jobs whose tasks are at work when the entry that owns the fleet is restarted as
/// planned.
fn scheduled(context: &Context) -> Outcome {
    let behaviour: Behaviour = Arc::new(|_, _, _| (4_000, "done"));
    let cell = start(context, 4, behaviour)?;
    let ids: Vec<String> = (0..6).map(|index| format!("f{index:015x}")).collect();
    let start_ms = crate::unix_ms() + 1_500;
    for (index, id) in ids.iter().enumerate() {
        let body = format!(
            "{{\"spec\":\"sheet\",\"maxRuns\":2,\"startAtMs\":{start_ms},\"intervalMs\":8000,\
             \"steps\":[{{\"count\":2,\"cpu\":2600,\"memMb\":9600,\"estimateMs\":4000}}]}}"
        );
        if !cell.submit(index, id, &body) {
            return Err(format!("{id} is not accepted"));
        }
    }
    let at = start_ms + 2_000;
    sleep_ms(at.saturating_sub(crate::unix_ms()));
    if context.trouble {
        let owner = cell.owner().ok_or("no owner")?;
        cell.signal(owner, SIGTERM);
        cell.restart(owner)?;
    }
    cell.wait(40, "all jobs are completed", || {
        ids.iter().enumerate().all(|(index, id)| {
            let answer = cell.request(index, "GET", id, "");
            answer.is_some_and(|(_, body)| body.str("state") == "completed")
        })
    })?;
    sleep_ms(2_000);
    Ok(find_twice(&cell.past()))
}

/// The store goes down while a new minion gets its first tasks, and registrations expire.
fn unlisted(context: &Context) -> Outcome {
    const HEARTBEAT_MS: u64 = 1_500;
    let behaviour: Behaviour =
        Arc::new(|task, _, _| (if task.starts_with('1') { 20_000 } else { 5_000 }, "done"));
    let began = Instant::now();
    let mut cell = start(context, 4, behaviour.clone())?;
    let store = cell.store.clone();
    std::thread::spawn(move || loop {
        sleep_ms(20);
        store.expire(Duration::from_millis(3 * HEARTBEAT_MS));
    });
    // The fleet is full, and eight tasks of another job wait.
    for (id, count) in [("0000000000000000", 128), ("1000000000000000", 8)] {
        let body = format!(
            "{{\"spec\":\"sheet\",\"steps\":[{{\"count\":{count},\"cpu\":1000,\"memMb\":1000,\
             \"estimateMs\":4000}}]}}"
        );
        if !cell.submit(0, id, &body) {
            return Err(format!("{id} is not accepted"));
        }
        sleep_ms(300);
    }
    // The minions of before write their heartbeats 0.7 s after the new one.
    let phase = (began.elapsed().as_millis() as u64 + 700) % HEARTBEAT_MS;
    sleep_ms(HEARTBEAT_MS - phase);
    let minion = cell.add_minion(behaviour);
    cell.wait(3, "the new minion has work", || minion.present_count() > 0)?;
    if context.trouble {
        context.record.line("the store goes down");
        cell.store.lock().down = true;
        sleep_ms(4_500);
        cell.store.lock().down = false;
        context.record.line("the store is back");
    }
    cell.wait(45, "the waiting job is completed", || {
        let answer = cell.request(0, "GET", "1000000000000000", "");
        answer.is_some_and(|(_, body)| body.str("state") == "completed")
    })?;
    sleep_ms(2_000);
    Ok(find_twice(&cell.past()))
}

const CANCEL_MS: u64 = 3_000;
const KILL_GRACE_MS: u64 = 900;
const CONTACT_MS: u64 = 3_000;

/// Clients cancel their jobs soon after the acknowledgement, while a share of the store's writes
/// are done and not answered.
fn cancelled(context: &Context) -> Outcome {
    const PHASES: u64 = 4;
    const PERIOD_MS: u64 = 15_000;
    const LOST_MS: u64 = 4_500;
    let behaviour: Behaviour = Arc::new(|_, _, _| (6_000, "done"));
    let cell = Arc::new(start(context, 4, behaviour)?);
    let cancels: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
    let over = Arc::new(AtomicBool::new(false));
    let traffic = {
        let (cell, cancels, over, record) =
            (cell.clone(), cancels.clone(), over.clone(), context.record.clone());
        std::thread::spawn(move || {
            let mut clients = Vec::new();
            let mut index = 0_usize;
            while !over.load(Ordering::SeqCst) {
                index += 1;
                let (cell, cancels, record) = (cell.clone(), cancels.clone(), record.clone());
                clients.push(std::thread::spawn(move || {
                    let id = format!("b{index:015x}");
                    let body = "{\"spec\":\"sheet\",\"steps\":[\
                        {\"count\":1,\"cpu\":300,\"memMb\":500,\"estimateMs\":3000},\
                        {\"count\":1,\"cpu\":300,\"memMb\":500,\"estimateMs\":3000,\"after\":[0]}]}";
                    if !cell.submit(index, &id, body) {
                        return;
                    }
                    sleep_ms(100);
                    for attempt in 1..6 {
                        match cell.request(index + attempt, "DELETE", &id, "") {
                            Some((200..=299 | 410, _)) => {
                                cancels.lock().unwrap().insert(id, record.now_ms());
                                return;
                            }
                            _ => sleep_ms(100),
                        }
                    }
                }));
                sleep_ms(25);
            }
            for client in clients {
                let _ = client.join();
            }
        })
    };
    let mut phases = Vec::new();
    for _ in 0..PHASES {
        let begin = Instant::now();
        if context.trouble {
            let from = context.record.now_ms();
            context.record.line("the store loses the answers of some writes from now on");
            cell.store.lock().lost_per_mille = 50;
            sleep_ms(LOST_MS);
            cell.store.lock().lost_per_mille = 0;
            let lost = cell.store.lock().lost_writes;
            phases.push((from, context.record.now_ms()));
            context.record.line(&format!("the store answers all writes again; lost {lost}"));
        }
        std::thread::sleep(Duration::from_millis(PERIOD_MS).saturating_sub(begin.elapsed()));
    }
    over.store(true, Ordering::SeqCst);
    traffic.join().map_err(|_| "the clients failed")?;
    sleep_ms(8_000);
    // In touch: no disruption of the store in the contactMs before.
    let is_calm = |at: u64| phases.iter().all(|(from, to)| at < *from || at > to + CONTACT_MS);
    let now = context.record.now_ms();
    let cancels = cancels.lock().unwrap();
    let mut broken = Vec::new();
    for run in cell.past() {
        let id = run.task.split('.').next().unwrap_or("");
        let Some(acked) = cancels.get(id) else { continue };
        let (from, to) = (run.start_ms, run.end_ms.unwrap_or(now));
        if from > acked + CANCEL_MS && is_calm(from) {
            broken.push(format!(
                "UNASKED: {} run {} starts at {from} ms, its job's cancelling was acknowledged at \
                 {acked} ms",
                run.task, run.run
            ));
        }
        // The first calm moment with a calm stretch of cancel_ms + killGraceMs before it.
        let stretch = CANCEL_MS + KILL_GRACE_MS;
        let calm = (acked + stretch..to).find(|at| {
            *at > from && phases.iter().all(|(f, t)| *at < *f || *at > t + CONTACT_MS + stretch)
        });
        if let Some(calm) = calm {
            broken.push(format!(
                "UNASKED: {} run {} ({from} to {to} ms) runs on at {calm} ms, its job's \
                 cancelling was acknowledged at {acked} ms",
                run.task, run.run
            ));
        }
    }
    context.record.line(&format!("jobs cancelled: {}", cancels.len()));
    Ok(broken)
}

/// More than 500 runs end on one minion while the fleet has no owner.
fn ends(context: &Context) -> Outcome {
    const JOBS: usize = 12;
    const TASKS: usize = 53;
    let behaviour: Behaviour = Arc::new(|_, _, _| (4_000, "done"));
    let cell = start(context, 2, behaviour)?;
    let ids: Vec<String> = (0..JOBS).map(|index| format!("c{index:015x}")).collect();
    for (index, id) in ids.iter().enumerate() {
        let body = format!(
            "{{\"spec\":\"sheet\",\"steps\":[{{\"count\":{TASKS},\"cpu\":50,\"memMb\":100,\
             \"estimateMs\":4000}}]}}"
        );
        if !cell.submit(index, id, &body) {
            return Err(format!("{id} is not accepted"));
        }
        // Without the disruption, the ends come apart by this and are taken note of in turn.
        sleep_ms(120);
    }
    cell.wait(3, "all tasks run", || {
        cell.minions.iter().map(|minion| minion.present_count()).sum::<usize>() == JOBS * TASKS
    })?;
    if context.trouble {
        // Shortly before the first run ends.
        let first = cell.past().iter().map(|run| run.start_ms).min().unwrap_or(0);
        sleep_ms((first + 3_850).saturating_sub(context.record.now_ms()));
        let owner = cell.owner().ok_or("no owner")?;
        cell.signal(owner, SIGKILL);
        // The process comes back after 3.5 s (`for_s` of the site's node_kill).
        sleep_ms(3_500);
        cell.restart(owner)?;
    }
    cell.wait(40, "all jobs are completed", || {
        ids.iter().enumerate().all(|(index, id)| {
            let answer = cell.request(index, "GET", id, "");
            answer.is_some_and(|(_, body)| body.str("state") == "completed")
        })
    })?;
    sleep_ms(3_000);
    Ok(find_twice(&cell.past()))
}

/// Minions lose power one after the other and start again under their ids.
fn reborn(context: &Context) -> Outcome {
    const CRASHES: usize = 6;
    let behaviour: Behaviour = Arc::new(|_, _, _| (300, "done"));
    let cell = Arc::new(start(context, 8, behaviour)?);
    let over = Arc::new(AtomicBool::new(false));
    let traffic = {
        let (cell, over) = (cell.clone(), over.clone());
        std::thread::spawn(move || {
            let mut clients = Vec::new();
            let mut index = 0_usize;
            while !over.load(Ordering::SeqCst) {
                index += 1;
                let cell = cell.clone();
                clients.push(std::thread::spawn(move || {
                    let id = format!("d{index:015x}");
                    let body = "{\"spec\":\"sheet\",\"steps\":[\
                        {\"count\":1,\"cpu\":1000,\"memMb\":1000,\"estimateMs\":300}]}";
                    cell.submit(index, &id, body);
                }));
                sleep_ms(270);
            }
            for client in clients {
                let _ = client.join();
            }
        })
    };
    sleep_ms(5_000);
    for _ in 0..CRASHES {
        if context.trouble {
            // The minion that started the last run.
            let last = cell.past().last().map(|run| run.minion.clone()).ok_or("no run")?;
            let minion = cell.minions.iter().find(|minion| minion.id == last).ok_or("no minion")?;
            minion.crash_and_restart(Duration::from_millis(500));
        }
        sleep_ms(7_000);
    }
    over.store(true, Ordering::SeqCst);
    traffic.join().map_err(|_| "the clients failed")?;
    sleep_ms(6_000);
    Ok(find_twice(&cell.past()))
}
