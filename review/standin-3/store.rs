//! The table service: rows, transactions and the feed of changes.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Reply, Request};
use crate::json::{Json, encode_base64, quote};

type RowName = (String, String, String);

#[derive(Default)]
struct Rows {
    /// Value in base64, none after a removal, and version.
    rows: BTreeMap<RowName, (Option<String>, u64)>,
    version: u64,
}

/// Writes that are not answered, and done later if their condition still holds then.
#[derive(Default)]
pub struct LateWrites {
    /// Texts with which the keys of their rows begin; none for no such writes.
    pub keys: Option<String>,
    pub delay: Duration,
    /// Writes so far while there are such, and those of them that were late.
    pub all: u64,
    pub late: u64,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
    pub late_writes: Mutex<LateWrites>,
}

/// Time that a transaction takes.
const TX_TIME: Duration = Duration::from_millis(4);
/// Most rows in one answer.
const MAX_ROWS: usize = 500;

impl Store {
    pub fn new() -> Self {
        Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            late_writes: Mutex::default(),
        }
    }

    /// Writes a row as the operator or a worker.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.set(table, key, Some(encode_base64(value.as_bytes())));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.set(table, key, None);
    }

    fn set(&self, table: &str, key: &str, value: Option<String>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert((table.to_owned(), String::new(), key.to_owned()), (value, version));
        self.changed.notify_all();
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis() + 1
    }

    fn format_rows(rows: &[(RowName, Option<String>, u64)]) -> String {
        let rows: Vec<_> = rows
            .iter()
            .map(|((table, part, key), value, version)| {
                let value = match value {
                    Some(value) => format!("\"value\":{}", quote(value)),
                    None => "\"tombstone\":true".to_owned(),
                };
                format!(
                    "{{\"table\":{},\"part\":{},\"key\":{},{value},\"ver\":{version}}}",
                    quote(table),
                    quote(part),
                    quote(key)
                )
            })
            .collect();
        format!("[{}]", rows.join(","))
    }

    pub fn handle(self: &Arc<Self>, request: &Request) -> Reply {
        match request.path.as_str() {
            "/amaranthsaddle/rows-tx" => match self.lateness(&request.body) {
                None => self.transact(&request.body),
                Some(delay) => {
                    let (store, body) = (self.clone(), request.body.clone());
                    std::thread::spawn(move || {
                        std::thread::sleep(delay);
                        store.transact(&body)
                    });
                    None
                }
            },
            "/amaranthsaddle/rows-get" => Some(self.read(request)),
            "/amaranthsaddle/rows-feed" => Some(self.follow(request)),
            _ => Some((404, "{}".to_owned())),
        }
    }

    /// Returns by how much a transaction is late; none if it is done and answered now.
    fn lateness(&self, body: &str) -> Option<Duration> {
        let mut late = self.late_writes.lock().unwrap();
        let keys = late.keys.clone()?;
        let body = Json::parse(body)?;
        late.all += 1;
        let is_late =
            body.get("writes").list().iter().any(|row| row.get("key").text().starts_with(&keys));
        late.late += u64::from(is_late);
        is_late.then_some(late.delay)
    }

    fn transact(&self, body: &str) -> Reply {
        std::thread::sleep(TX_TIME);
        let Some(body) = Json::parse(body) else { return Some((400, "{}".to_owned())) };
        let name = |row: &Json| {
            let text = |field| row.get(field).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let all = ["expected", "writes", "remove"].map(|field| body.get(field).list());
        let names: Vec<_> = all.iter().flat_map(|rows| rows.iter().map(name)).collect();
        let is_forbidden = |name: &RowName| name.0 == "op" || name.0 == "servers";
        if all[1].iter().chain(all[2]).map(name).any(|name| is_forbidden(&name)) {
            return Some((403, "{}".to_owned()));
        }
        if names.len() > 100 || names.iter().any(|name| name.1 != names[0].1) {
            return Some((400, "{}".to_owned()));
        }
        let mut rows = self.rows.lock().unwrap();
        let present = |rows: &Rows, name: &RowName| match rows.rows.get(name) {
            Some((Some(value), version)) => (Some(value.clone()), *version),
            _ => (None, 0),
        };
        if all[0].iter().any(|row| present(&rows, &name(row)).1 != row.get("ver").number()) {
            let current: Vec<_> = all[0]
                .iter()
                .map(|row| {
                    let (value, version) = present(&rows, &name(row));
                    (name(row), value, version)
                })
                .collect();
            let text = Self::format_rows(&current);
            let version = rows.version;
            return Some((
                412,
                format!("{{\"rows\":{text},\"ver\":{version},\"nowMs\":{}}}", self.now_ms()),
            ));
        }
        rows.version += 1;
        let version = rows.version;
        for row in all[1] {
            rows.rows.insert(name(row), (Some(row.get("value").text().to_owned()), version));
        }
        for row in all[2] {
            if rows.rows.get(&name(row)).is_some_and(|(value, _)| value.is_some()) {
                rows.rows.insert(name(row), (None, version));
            }
        }
        drop(rows);
        self.changed.notify_all();
        Some((200, format!("{{\"ver\":{version},\"nowMs\":{}}}", self.now_ms())))
    }

    fn read(&self, request: &Request) -> (u16, String) {
        let (table, part) = (request.query("table"), request.query("part"));
        let (from, to) = (request.query("from"), request.query("to"));
        let limit = request.query("limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let rows = self.rows.lock().unwrap();
        let mut found: Vec<_> = rows
            .rows
            .iter()
            .filter(|((in_table, in_part, key), (value, _))| {
                in_table == table
                    && in_part == part
                    && key.as_str() >= from
                    && (to.is_empty() || key.as_str() < to)
                    && value.is_some()
            })
            .map(|(name, (value, version))| (name.clone(), value.clone(), *version))
            .collect();
        let has_more = found.len() > limit;
        found.truncate(limit);
        let text = Self::format_rows(&found);
        let version = rows.version;
        let now_ms = self.now_ms();
        let body = format!(
            "{{\"rows\":{text},\"hasMore\":{has_more},\"ver\":{version},\"nowMs\":{now_ms}}}"
        );
        (200, body)
    }

    fn follow(&self, request: &Request) -> (u16, String) {
        let table = request.query("table");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.query("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let mut found: Vec<_> = rows
                .rows
                .iter()
                .filter(|((in_table, ..), (_, version))| in_table == table && *version > after)
                .map(|(name, (value, version))| (name.clone(), value.clone(), *version))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                found.sort_by_key(|(.., version)| *version);
                let text = Self::format_rows(&found);
                let version = rows.version;
                return (
                    200,
                    format!("{{\"rows\":{text},\"ver\":{version},\"nowMs\":{}}}", self.now_ms()),
                );
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }
}
