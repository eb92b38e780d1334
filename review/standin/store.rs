//! The platform's metadata store: rows, transactions and the feed of changes.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{Reply, Request, Service};
use crate::json::{base64_decode, base64_encode, num, obj, text, Json};

type Name = (String, String, String);

/// Time that a transaction takes (`txMs`).
const TX_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
pub struct Rows {
    rows: BTreeMap<Name, (String, u64)>,
    changes: Vec<(u64, Name)>,
    version: u64,
    /// Share of the write calls that are done and not answered, in thousandths.
    pub lost_per_mille: u64,
    pub lost_writes: u64,
    /// When each minion last wrote its registration.
    beats: BTreeMap<String, Instant>,
    /// The store refuses every call with 503.
    pub down: bool,
    random: u64,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
    /// A partition carries out one transaction after the other.
    parts: Mutex<BTreeMap<String, Arc<Mutex<()>>>>,
}

impl Store {
    pub fn new(seed: u64) -> Arc<Self> {
        let rows = Rows { random: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1, ..Rows::default() };
        Arc::new(Self {
            rows: Mutex::new(rows),
            changed: Condvar::new(),
            started: Instant::now(),
            parts: Mutex::default(),
        })
    }

    pub fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap()
    }

    /// Writes a row as the operator or a minion does.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        let mut rows = self.lock();
        rows.version += 1;
        if table == "servers" {
            rows.beats.insert(key.to_owned(), Instant::now());
        }
        let name = (table.to_owned(), String::new(), key.to_owned());
        rows.write(name, Some(base64_encode(value.render().as_bytes())));
        self.changed.notify_all();
    }

    /// Removes the registrations of minions that have not written for three heartbeats.
    pub fn expire(&self, silence: Duration) {
        let mut rows = self.lock();
        let silent = |at: &Instant| at.elapsed() > silence;
        let names: Vec<_> =
            rows.beats.iter().filter(|(_, at)| silent(at)).map(|(key, _)| key.clone()).collect();
        for key in names {
            rows.beats.remove(&key);
            rows.version += 1;
            rows.write(("servers".to_owned(), String::new(), key), None);
        }
        self.changed.notify_all();
    }

    /// Returns the content of a row.
    pub fn read(&self, table: &str, part: &str, key: &str) -> Option<Json> {
        let rows = self.lock();
        let (value, _) = rows.rows.get(&(table.to_owned(), part.to_owned(), key.to_owned()))?;
        Json::parse(&String::from_utf8(base64_decode(value)).ok()?)
    }

    fn now_ms(&self) -> Json {
        num(self.started.elapsed().as_millis() as u64 + 1)
    }

    fn transact(&self, body: &Json) -> Reply {
        let rows_of = |key: &str| -> Vec<(Name, u64, String)> {
            let row = |row: &Json| {
                let name = (row.str("table"), row.str("part"), row.str("key"));
                (name, row.int("ver").unwrap_or(0), row.str("value"))
            };
            body.items(key).iter().map(row).collect()
        };
        let (expected, writes, removes) =
            (rows_of("expected"), rows_of("writes"), rows_of("remove"));
        let all = || expected.iter().chain(&writes).chain(&removes);
        if all().count() > 100 {
            return Reply::Answer(400, "{}".to_owned());
        }
        if writes.iter().chain(&removes).any(|(name, ..)| name.0 == "op" || name.0 == "servers") {
            return Reply::Answer(403, "{}".to_owned());
        }
        let part = all().next().map(|(name, ..)| name.1.clone()).unwrap_or_default();
        if all().any(|(name, ..)| name.1 != part) {
            return Reply::Answer(400, "{}".to_owned());
        }
        let turn = self.parts.lock().unwrap().entry(part).or_default().clone();
        let _turn = turn.lock().unwrap();
        std::thread::sleep(TX_TIME);
        let mut rows = self.lock();
        if rows.down {
            return Reply::Answer(503, "{}".to_owned());
        }
        let present = |rows: &Rows, name: &Name| rows.rows.get(name).map_or(0, |(_, ver)| *ver);
        let (status, answer) = if expected.iter().any(|(name, ver, _)| present(&rows, name) != *ver)
        {
            let found = expected.iter().map(|(name, ..)| rows.render(name, false)).collect();
            let ver = num(rows.version);
            (412, obj(vec![("rows", Json::Arr(found)), ("ver", ver), ("nowMs", self.now_ms())]))
        } else {
            rows.version += 1;
            for (name, _, value) in writes {
                rows.write(name, Some(value));
            }
            for (name, ..) in removes {
                if rows.rows.contains_key(&name) {
                    rows.write(name, None);
                }
            }
            (200, obj(vec![("ver", num(rows.version)), ("nowMs", self.now_ms())]))
        };
        let lost = rows.lost_per_mille > 0 && rows.draw() % 1000 < rows.lost_per_mille;
        rows.lost_writes += u64::from(lost);
        drop(rows);
        self.changed.notify_all();
        if lost {
            Reply::Silent
        } else {
            Reply::Answer(status, answer.render())
        }
    }

    fn get(&self, request: &Request) -> Reply {
        let rows = self.lock();
        if rows.down {
            return Reply::Answer(503, "{}".to_owned());
        }
        let param = |name: &str| request.param(name).unwrap_or("").to_owned();
        let (table, part, from, to) = (param("table"), param("part"), param("from"), param("to"));
        let limit = request.param("limit").and_then(|v| v.parse().ok()).unwrap_or(500).min(500);
        let inside: Vec<_> = rows
            .rows
            .range((table.clone(), part.clone(), from)..)
            .map(|(name, _)| name)
            .take_while(|name| name.0 == table && name.1 == part && (to.is_empty() || name.2 < to))
            .take(limit + 1)
            .collect();
        let found = inside.iter().take(limit).map(|name| rows.render(name, false)).collect();
        let answer = obj(vec![
            ("rows", Json::Arr(found)),
            ("hasMore", Json::Bool(inside.len() > limit)),
            ("ver", num(rows.version)),
            ("nowMs", self.now_ms()),
        ]);
        Reply::Answer(200, answer.render())
    }

    fn feed(&self, request: &Request) -> Reply {
        let table = request.param("table").unwrap_or("");
        let after: u64 = request.param("after").and_then(|v| v.parse().ok()).unwrap_or(0);
        let wait: u64 = request.param("waitMs").and_then(|v| v.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut rows = self.lock();
        loop {
            if rows.down {
                return Reply::Answer(503, "{}".to_owned());
            }
            let start = rows.changes.partition_point(|(version, _)| *version <= after);
            let changed: Vec<_> = rows.changes[start..]
                .iter()
                .filter(|(_, name)| name.0 == table)
                .map(|(_, name)| rows.render(name, true))
                .collect();
            let now = Instant::now();
            if !changed.is_empty() || now >= until {
                let answer = obj(vec![
                    ("rows", Json::Arr(changed)),
                    ("ver", num(rows.version)),
                    ("nowMs", self.now_ms()),
                ]);
                return Reply::Answer(200, answer.render());
            }
            rows = self.changed.wait_timeout(rows, until - now).unwrap().0;
        }
    }
}

impl Rows {
    fn write(&mut self, name: Name, value: Option<String>) {
        match value {
            Some(value) => self.rows.insert(name.clone(), (value, self.version)),
            None => self.rows.remove(&name),
        };
        self.changes.push((self.version, name));
    }

    fn render(&self, name: &Name, feed: bool) -> Json {
        let mut fields =
            vec![("table", text(&name.0)), ("part", text(&name.1)), ("key", text(&name.2))];
        match self.rows.get(name) {
            Some((value, ver)) => fields.extend([("value", text(value)), ("ver", num(*ver))]),
            None if feed => {
                fields.extend([("ver", num(self.version)), ("tombstone", Json::Bool(true))]);
            }
            None => fields.push(("ver", num(0))),
        }
        obj(fields)
    }

    fn draw(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random >> 11
    }
}

impl Service for Store {
    fn serve(&self, request: &Request) -> Reply {
        match request.path.as_str() {
            "/amaranthsaddle/rows-tx" => match Json::parse(&request.body) {
                Some(body) => self.transact(&body),
                None => Reply::Answer(400, "{}".to_owned()),
            },
            "/amaranthsaddle/rows-get" => self.get(request),
            "/amaranthsaddle/rows-feed" => self.feed(request),
            _ => Reply::Answer(404, "{}".to_owned()),
        }
    }
}
