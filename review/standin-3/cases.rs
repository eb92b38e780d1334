//! The cases. Each keeps to the limits that its `claim.txt` quotes.

use crate::cell::{Cell, KEY, OTHER_KEY, config};

const TENANTS: [(&str, &str); 2] = [("tenant-1", KEY), ("tenant-2", OTHER_KEY)];
/// `cancel_ms` of the pages.
const CANCEL_MS: u128 = 3_000;
/// `finish_s` of the pages, in milliseconds: jobs are asked for this long after the traffic.
const FINISH_MS: u64 = 14_000;
/// How long a job may have nothing running then, in milliseconds.
const IDLE_MS: u64 = 3_000;

pub fn run(case: &str, record: &str, trouble: bool) -> i32 {
    let run = match case {
        "wide-gang" => wide_gang,
        "filler" => filler,
        "late-write" => late_write,
        "tenant" => tenant,
        _ => return 2,
    };
    run(record, trouble).unwrap_or(2)
}

/// Waits until `finish_s` after the end of the traffic, and returns whether the job has nothing
/// running for the 3 s after it and is not shown as completed.
fn is_stuck(cell: &Cell, path: &str, id: &str) -> bool {
    cell.record.line("end of the traffic");
    cell.sleep_ms(FINISH_MS);
    let mut was_present = false;
    for _ in 0..IDLE_MS / 20 {
        was_present |= !cell.present(id).is_empty();
        cell.sleep_ms(20);
    }
    let states: Vec<_> = (0..cell.nodes.len()).map(|node| cell.state(node, path)).collect();
    let is_over = states.iter().any(|state| state == "completed");
    let starts = cell.history().iter().filter(|run| run.task.starts_with(id)).count();
    cell.record.line(&format!(
        "job {id}: {starts} starts so far, present in these 3 s: {was_present}, states {states:?}"
    ));
    !was_present && !is_over
}

/// A gang that needs all minions whole waits beside tasks that last; a small job follows.
fn wide_gang(record: &str, trouble: bool) -> Option<i32> {
    let cell = Cell::start(record, 16, 3, &config(1, &TENANTS))?;
    let desk = "00000000000000d1";
    let body = "{\"spec\":\"lasts\",\"steps\":[{\"count\":2,\"cpu\":4000,\"memMb\":4000,\
                \"estimateMs\":1000,\"longRunning\":true,\"antiAffinity\":1}]}";
    if !cell.submit(&format!("/quarterly-turnover/{desk}"), body)
        || !cell.wait_present(desk, 2, 10_000)
    {
        return None;
    }
    // The queue's usual jobs, in 3 s; one of twenty is a gang that cannot start while these tasks
    // last: it takes 30 of the 32 cores of each of the 16 minions.
    for index in 0..20 {
        let path = format!("/quarterly-turnover/{:016x}", 0xa000 + index);
        let step = "\"count\":32,\"cpu\":15000,\"memMb\":35000,\"estimateMs\":10000,\"gang\":true";
        let body = if trouble && index == 10 {
            format!(
                "{{\"spec\":\"10000\",\"steps\":[{{{step}}},{{{step},\"after\":[0]}},\
                 {{{step},\"after\":[1]}}]}}"
            )
        } else {
            "{\"spec\":\"800\",\"steps\":[{\"count\":2,\"cpu\":3000,\"memMb\":9000,\
             \"estimateMs\":1000}]}"
                .to_owned()
        };
        cell.submit(&path, &body);
        cell.sleep_ms(150);
    }
    let small = "00000000000000b1";
    let path = format!("/weekly-branch/{small}");
    let body = "{\"spec\":\"2200\",\"steps\":[{\"count\":4,\"cpu\":1800,\"memMb\":3700,\
                \"estimateMs\":2200}]}";
    if !cell.submit(&path, body) {
        return None;
    }
    let stuck = is_stuck(&cell, &path, small);
    Some(cell.finish(stuck, "an accepted job has nothing running on a fleet that is nearly idle"))
}

/// Tasks that last and have a target run on all minions but one; that one is lost, and a job whose
/// tasks fill follows.
fn filler(record: &str, trouble: bool) -> Option<i32> {
    let cell = Cell::start(record, 16, 3, &config(1, &TENANTS))?;
    let desk = "00000000000000d1";
    let body = "{\"spec\":\"lasts\",\"steps\":[{\"count\":15,\"cpu\":2000,\"memMb\":4000,\
                \"estimateMs\":1000,\"longRunning\":true,\"antiAffinity\":1,\"image\":\"desk\",\
                \"targetMs\":100}]}";
    if !cell.submit(&format!("/quarterly-turnover/{desk}"), body)
        || !cell.wait_present(desk, 15, 10_000)
    {
        return None;
    }
    let used: Vec<_> = cell.present(desk).into_iter().map(|(_, worker)| worker).collect();
    let free = cell.workers.iter().find(|worker| !used.contains(&worker.name))?;
    if trouble {
        cell.record.line(&format!("minion {} is lost for good", free.name));
        free.lose();
    }
    // Until its registration and its lease are gone.
    cell.sleep_ms(12_000);
    let fill = "00000000000000f1";
    let path = format!("/weekly-branch/{fill}");
    let body = "{\"spec\":\"2200\",\"steps\":[{\"count\":2,\"cpu\":1800,\"memMb\":3700,\
                \"estimateMs\":2200,\"fills\":true,\"image\":\"summary\"}]}";
    if !cell.submit(&path, body) {
        return None;
    }
    let stuck = is_stuck(&cell, &path, fill);
    Some(cell.finish(stuck, "an accepted job that fills never starts"))
}

/// A client hands a job in, gets no answer, leaves and cancels the job; the store does the write of
/// the job late.
fn late_write(record: &str, trouble: bool) -> Option<i32> {
    let cell = Cell::start(record, 16, 3, &config(1, &TENANTS))?;
    let id = "00000000000000c1";
    let path = format!("/weekly-branch/{id}");
    let body = "{\"spec\":\"2200\",\"steps\":[{\"count\":4,\"cpu\":1800,\"memMb\":3700,\
                \"estimateMs\":2200}]}";
    let usual = |number: u64| {
        let path = format!("/answer-sheet/{number:016x}");
        let body = "{\"spec\":\"800\",\"steps\":[{\"count\":2,\"cpu\":2600,\"memMb\":9600,\
                    \"estimateMs\":800}]}";
        cell.request(number as usize % cell.nodes.len(), "POST", &path, body);
    };
    for number in 0..10 {
        usual(0xa000 + number);
        cell.sleep_ms(100);
    }
    if trouble {
        let mut late = cell.store.late_writes.lock().unwrap();
        late.keys = Some(id.to_owned());
        late.delay = std::time::Duration::from_secs(6);
        cell.record.line("writes of rows of one job get no answer and are done 6 s later");
    }
    cell.sleep_ms(100);
    // The client leaves after a second, and cancels at another node.
    let (status, acknowledged) = std::thread::scope(|scope| {
        let store = cell.store.clone();
        let record = cell.record.clone();
        scope.spawn(move || {
            std::thread::sleep(std::time::Duration::from_millis(2_300));
            let mut late = store.late_writes.lock().unwrap();
            late.keys = None;
            record.line(&format!("the store answers all again; late {} of {}", late.late, late.all));
        });
        let traffic = scope.spawn(|| {
            for number in 0..20 {
                usual(0xb000 + number);
                cell.sleep_ms(100);
            }
        });
        cell.request_within(0, "POST", &path, body, 1_000);
        let status = cell.request(1, "DELETE", &path, "").0;
        let acknowledged = cell.epoch.elapsed().as_millis();
        traffic.join().ok();
        (status, acknowledged)
    });
    if status / 100 != 2 && status != 410 {
        cell.record.line("the cancelling was not acknowledged");
        return None;
    }
    cell.sleep_ms(13_000);
    cell.state(2, &path);
    let late_starts: Vec<_> = cell
        .history()
        .into_iter()
        .filter(|run| run.task.starts_with(id) && run.start_ms > acknowledged + CANCEL_MS)
        .collect();
    cell.record.line(&format!(
        "cancelling acknowledged with {status} at {acknowledged}; {} starts over {CANCEL_MS} ms later",
        late_starts.len()
    ));
    Some(cell.finish(!late_starts.is_empty(), "tasks start after the job's cancelling was acknowledged"))
}

/// A new version of the configuration does not name a tenant any more while a job of it runs.
fn tenant(record: &str, trouble: bool) -> Option<i32> {
    let cell = Cell::start(record, 16, 3, &config(1, &TENANTS))?;
    let id = "00000000000000e1";
    let path = format!("/weekly-branch/{id}");
    let step = "\"count\":4,\"cpu\":1800,\"memMb\":3700,\"estimateMs\":2200";
    let body =
        format!("{{\"spec\":\"4000\",\"steps\":[{{{step}}},{{{step},\"after\":[0]}}]}}");
    let status = cell.request_as(OTHER_KEY, 0, "POST", &path, &body, 3_000).0;
    if status / 100 != 2 || !cell.wait_present(id, 4, 5_000) {
        return None;
    }
    let tenants = if trouble { &TENANTS[..1] } else { &TENANTS[..] };
    let next = config(2, tenants);
    cell.record.line(&format!("operator: op/config = {next}"));
    cell.store.put("op", "config", &next);
    cell.sleep_ms(6_000);
    let stuck = is_stuck(&cell, &path, id);
    let done = cell.history().iter().filter(|run| run.end.is_some_and(|end| end.1 == "done")).count();
    Some(cell.finish(stuck && done < 8, "an accepted job stops halfway"))
}
