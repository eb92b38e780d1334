//! The table service: rows, transactions and the feed of changes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Names a row: table, partition and key.
pub type RowName = (String, String, String);

/// Tables that transactions may not write: the operators' and the workers' table.
const READ_ONLY_TABLES: [&str; 2] = ["op", "servers"];

/// A row in a transaction: expected at a version, written or removed.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct TxRow {
    /// Table.
    pub table: String,
    /// Partition, which the protocol calls a part.
    pub part: String,
    /// Key.
    pub key: String,
    /// Version that an expected row must have; 0 if it must not exist.
    pub ver: u64,
    /// New value in base64, of a row that is written.
    pub value: String,
}

impl TxRow {
    fn name(&self) -> RowName {
        (self.table.clone(), self.part.clone(), self.key.clone())
    }
}

/// Body of the call `rows-tx`: changes that are made together or not at all.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct TxBody {
    /// Rows that must have these versions.
    pub expected: Vec<TxRow>,
    /// Rows to write.
    pub writes: Vec<TxRow>,
    /// Rows to remove.
    pub remove: Vec<TxRow>,
}

/// A row in an answer.
#[derive(Clone, Debug, Serialize)]
pub struct RowBody {
    /// Table.
    pub table: String,
    /// Partition.
    pub part: String,
    /// Key.
    pub key: String,
    /// Value in base64; none if the row does not exist.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
    /// Version; 0 for a row that does not exist.
    pub ver: u64,
    /// Whether the row was removed.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub tombstone: bool,
}

/// Result of a transaction.
#[derive(Clone, Debug)]
pub enum TxResult {
    /// Committed at this version.
    Committed(u64),
    /// Not committed, as an expected version was different; the present rows.
    Conflict(Vec<RowBody>),
    /// Refused with this HTTP status: it has too many rows, names several partitions, or
    /// writes a table that it may not write.
    Refused(u16),
}

/// All rows of all tables, and their changes in order.
#[derive(Debug, Default)]
pub struct RowTable {
    rows: BTreeMap<RowName, (String, u64)>,
    changes: Vec<(u64, RowName)>,
    /// Newest version; every committed transaction and every write by an operator or worker adds 1.
    pub version: u64,
    /// Changes up to this version are no longer available; tests raise it to force readers of
    /// the feed to read whole tables.
    pub truncated_version: u64,
}

/// Maximum number of rows that one transaction may name, expected ones included.
const MAX_TRANSACTION_ROWS: usize = 100;

impl RowTable {
    /// Writes a row as an operator or a worker does.
    pub fn put(&mut self, table: &str, key: &str, value: String) {
        self.version += 1;
        self.write((table.to_owned(), String::new(), key.to_owned()), Some(value));
    }

    /// Removes a row as an operator does, or as the service does when a registration expires.
    pub fn remove(&mut self, table: &str, key: &str) {
        self.version += 1;
        self.write((table.to_owned(), String::new(), key.to_owned()), None);
    }

    fn write(&mut self, name: RowName, value: Option<String>) {
        match value {
            Some(value) => self.rows.insert(name.clone(), (value, self.version)),
            None => self.rows.remove(&name),
        };
        self.changes.push((self.version, name));
    }

    /// Carries a transaction out if all expected versions match.
    pub fn transact(&mut self, body: &TxBody) -> TxResult {
        let rows: Vec<_> = body.expected.iter().chain(&body.writes).chain(&body.remove).collect();
        if rows.len() > MAX_TRANSACTION_ROWS {
            return TxResult::Refused(400);
        }
        if rows.iter().any(|row| row.part != rows[0].part) {
            return TxResult::Refused(400);
        }
        let changed = body.writes.iter().chain(&body.remove);
        if changed.clone().any(|row| READ_ONLY_TABLES.contains(&row.table.as_str())) {
            return TxResult::Refused(403);
        }
        let version = |row: &TxRow| self.rows.get(&row.name()).map_or(0, |(_, ver)| *ver);
        if body.expected.iter().any(|row| version(row) != row.ver) {
            let present = body.expected.iter().map(|row| self.read_row(&row.name()));
            return TxResult::Conflict(present.collect());
        }
        self.version += 1;
        for row in &body.writes {
            self.write(row.name(), Some(row.value.clone()));
        }
        for row in &body.remove {
            if self.rows.contains_key(&row.name()) {
                self.write(row.name(), None);
            }
        }
        TxResult::Committed(self.version)
    }

    fn read_row(&self, name: &RowName) -> RowBody {
        let found = self.rows.get(name);
        RowBody {
            table: name.0.clone(),
            part: name.1.clone(),
            key: name.2.clone(),
            value: found.map(|(value, _)| value.clone()),
            ver: found.map_or(0, |(_, ver)| *ver),
            tombstone: false,
        }
    }

    /// Returns the rows of a partition from `from` up to, and without, `to`, and whether the
    /// limit left any out.
    #[must_use]
    pub fn read(
        &self,
        table: &str,
        part: &str,
        (from, to): (&str, Option<&str>),
        limit: usize,
    ) -> (Vec<RowBody>, bool) {
        let inside = self.rows.keys().filter(|(row_table, row_part, key)| {
            row_table == table
                && row_part == part
                && key.as_str() >= from
                && to.is_none_or(|to| key.as_str() < to)
        });
        let mut rows: Vec<_> = inside.take(limit + 1).map(|name| self.read_row(name)).collect();
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        (rows, has_more)
    }

    /// Returns the rows of a table that changed after a version; none if the feed does not
    /// reach back that far.
    #[must_use]
    pub fn changes(&self, table: &str, after: u64) -> Option<Vec<RowBody>> {
        if after < self.truncated_version {
            return None;
        }
        let changed =
            self.changes.iter().filter(|(version, name)| *version > after && name.0 == table).map(
                |(version, name)| {
                    let row = self.read_row(name);
                    RowBody { tombstone: row.value.is_none(), ver: row.ver.max(*version), ..row }
                },
            );
        Some(changed.collect())
    }
}
