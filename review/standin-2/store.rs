//! The platform's store as PROTOCOL.md describes it: rows, transactions and the feed.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Answer, Request};
use crate::json::{Json, int, obj, text};

type Name = (String, String, String);

/// Time of one transaction; those of one part are carried out one after the other.
const TX_TIME: Duration = Duration::from_millis(4);
const MAX_ENTRIES: usize = 100;
const MAX_CALL_BYTES: usize = 1 << 20;
const MAX_ROWS: usize = 500;
/// Largest value of a row, as the settings say under `rowBytes`.
pub const ROW_BYTES: usize = 65_536;
/// History that the feed keeps, as the settings say under `retentionS`.
const RETENTION: Duration = Duration::from_secs(20);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Name, (String, u64)>,
    changes: Vec<(u64, Instant, Name)>,
    version: u64,
    dropped: u64,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    parts: Mutex<HashMap<String, Arc<Mutex<()>>>>,
    started: Instant,
    /// Transactions refused because a value was larger than `ROW_BYTES`.
    pub too_large: Mutex<u64>,
}

impl Store {
    pub fn new() -> Self {
        Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            parts: Mutex::default(),
            started: Instant::now(),
            too_large: Mutex::default(),
        }
    }

    /// Writes a row as the operator or a minion does.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let name = (table.to_owned(), String::new(), key.to_owned());
        rows.write(name, Some(encode_base64(value.write().as_bytes())));
        self.changed.notify_all();
    }

    fn now_ms(&self) -> u64 {
        1_000_000 + self.started.elapsed().as_millis() as u64
    }

    pub fn handle(&self, request: &Request) -> Answer {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/amaranthsaddle/rows-tx") => self.transact(request),
            ("GET", "/amaranthsaddle/rows-get") => self.read(request),
            ("GET", "/amaranthsaddle/rows-feed") => self.feed(request),
            _ => (404, "{}".to_owned()),
        }
    }

    fn page(&self, rows: Vec<Json>, version: u64, has_more: bool) -> String {
        obj([
            ("rows", Json::Arr(rows)),
            ("hasMore", Json::Bool(has_more)),
            ("ver", int(version)),
            ("nowMs", int(self.now_ms())),
        ])
        .write()
    }

    fn transact(&self, request: &Request) -> Answer {
        let refuse = |status| (status, "{}".to_owned());
        let Some(body) = Json::parse(&request.body) else { return refuse(400) };
        let names = |field: &str| -> Vec<Name> { body.get(field).list().iter().map(name).collect() };
        let (expected, writes, removes) = (names("expected"), names("writes"), names("remove"));
        let all: Vec<_> = expected.iter().chain(&writes).chain(&removes).collect();
        if all.is_empty() || all.len() > MAX_ENTRIES || request.body.len() > MAX_CALL_BYTES {
            return refuse(400);
        }
        let part = &all[0].1;
        if all.iter().any(|(_, other, _)| other != part) {
            return refuse(400);
        }
        if writes.iter().chain(&removes).any(|(table, _, _)| table == "op" || table == "servers") {
            return refuse(403);
        }
        let values: Vec<_> =
            body.get("writes").list().iter().map(|entry| entry.get("value").text()).collect();
        if values.iter().any(|value| decoded_length(value) > ROW_BYTES) {
            *self.too_large.lock().unwrap() += 1;
            return refuse(400);
        }
        let queue = self.parts.lock().unwrap().entry(part.clone()).or_default().clone();
        let _turn = queue.lock().unwrap();
        thread::sleep(TX_TIME);
        let mut rows = self.rows.lock().unwrap();
        let versions = body.get("expected").list().iter().map(|entry| entry.get("ver").int());
        if expected.iter().zip(versions).any(|(name, version)| rows.version_of(name) != version) {
            let present = expected.iter().map(|name| rows.describe(name)).collect();
            return (412, self.page(present, rows.version, false));
        }
        rows.version += 1;
        for (name, value) in writes.into_iter().zip(values) {
            rows.write(name, Some(value.to_owned()));
        }
        for name in removes {
            if rows.rows.contains_key(&name) {
                rows.write(name, None);
            }
        }
        self.changed.notify_all();
        (200, self.page(Vec::new(), rows.version, false))
    }

    fn read(&self, request: &Request) -> Answer {
        let rows = self.rows.lock().unwrap();
        let query = |key| request.query(key).unwrap_or("");
        let from = (query("table").to_owned(), query("part").to_owned(), query("from").to_owned());
        let limit = request.query("limit").and_then(|text| text.parse().ok()).unwrap_or(MAX_ROWS);
        let to = request.query("to");
        let mut found = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (name, (value, _)) in rows.rows.range(from.clone()..) {
            if name.0 != from.0 || name.1 != from.1 || to.is_some_and(|to| name.2.as_str() >= to) {
                break;
            }
            bytes += value.len();
            if found.len() >= limit.min(MAX_ROWS) || (bytes > MAX_CALL_BYTES && !found.is_empty()) {
                has_more = true;
                break;
            }
            found.push(rows.describe(name));
        }
        (200, self.page(found, rows.version, has_more))
    }

    fn feed(&self, request: &Request) -> Answer {
        let table = request.query("table").unwrap_or("");
        let after: u64 = request.query("after").and_then(|text| text.parse().ok()).unwrap_or(0);
        let wait: u64 = request.query("waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut rows = self.rows.lock().unwrap();
        loop {
            if after < rows.dropped {
                return (410, "{}".to_owned());
            }
            let mut newest: BTreeMap<&Name, u64> = BTreeMap::new();
            for (version, _, name) in rows.changes.iter().filter(|(version, ..)| *version > after) {
                if name.0 == table {
                    newest.insert(name, *version);
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if !newest.is_empty() || left.is_zero() {
                let mut ordered: Vec<_> = newest.into_iter().collect();
                ordered.sort_by_key(|(_, version)| *version);
                let found = ordered.into_iter().map(|(name, version)| {
                    let mut row = rows.describe(name);
                    if let Json::Obj(fields) = &mut row
                        && !rows.rows.contains_key(name)
                    {
                        fields.retain(|(key, _)| key != "ver");
                        fields.push(("ver".to_owned(), int(version)));
                        fields.push(("tombstone".to_owned(), Json::Bool(true)));
                    }
                    row
                });
                let found = found.collect();
                return (200, self.page(found, rows.version, false));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }
}

impl Rows {
    fn version_of(&self, name: &Name) -> u64 {
        self.rows.get(name).map_or(0, |(_, version)| *version)
    }

    fn describe(&self, name: &Name) -> Json {
        let mut fields = vec![
            ("table".to_owned(), text(&*name.0)),
            ("part".to_owned(), text(&*name.1)),
            ("key".to_owned(), text(&*name.2)),
            ("ver".to_owned(), int(self.version_of(name))),
        ];
        if let Some((value, _)) = self.rows.get(name) {
            fields.push(("value".to_owned(), text(&**value)));
        }
        Json::Obj(fields)
    }

    fn write(&mut self, name: Name, value: Option<String>) {
        match value {
            Some(value) => self.rows.insert(name.clone(), (value, self.version)),
            None => self.rows.remove(&name),
        };
        self.changes.push((self.version, Instant::now(), name));
        let old = self.changes.iter().take_while(|(_, at, _)| at.elapsed() > RETENTION).count();
        if old > 1_000 {
            self.dropped = self.changes[old - 1].0;
            self.changes.drain(..old);
        }
    }
}

fn name(entry: &Json) -> Name {
    let field = |key| entry.get(key).text().to_owned();
    (field("table"), field("part"), field("key"))
}

fn decoded_length(value: &str) -> usize {
    value.len() / 4 * 3 - value.bytes().rev().take_while(|byte| *byte == b'=').count()
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index)) as usize & 63];
            out.push(if index <= chunk.len() { digit as char } else { '=' });
        }
    }
    out
}
