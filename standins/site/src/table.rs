//! Rows, transactions and changes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Names a row: table, part and key.
pub type RowName = (String, String, String);

/// Tables that only operators and workers write.
const READ_ONLY_TABLES: [&str; 2] = ["op", "servers"];

/// One entry of a transaction.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct TxRow {
    /// Table.
    pub table: String,
    /// Part.
    pub part: String,
    /// Key.
    pub key: String,
    /// Version that the row must have.
    pub ver: u64,
    /// New value in base64.
    pub value: String,
}

impl TxRow {
    fn name(&self) -> RowName {
        (self.table.clone(), self.part.clone(), self.key.clone())
    }
}

/// A transaction.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct TxBody {
    /// Rows with their versions.
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
    /// Part.
    pub part: String,
    /// Key.
    pub key: String,
    /// Value in base64.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
    /// Version; 0 for a row that does not exist.
    pub ver: u64,
    /// Whether the row was removed.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub tombstone: bool,
}

/// What became of a transaction.
#[derive(Clone, Debug)]
pub enum TxResult {
    /// Done at this version.
    Committed(u64),
    /// Not done; the present rows.
    Conflict(Vec<RowBody>),
    /// It names too many entries, several parts, or a foreign table.
    Refused(u16),
}

/// All rows, and the order in which they changed.
#[derive(Debug, Default)]
pub struct RowTable {
    rows: BTreeMap<RowName, (String, u64)>,
    changes: Vec<(u64, RowName)>,
    /// Newest version.
    pub version: u64,
    /// Changes up to this version are forgotten.
    pub truncated_version: u64,
}

/// Entries that one transaction may have.
const MAX_TRANSACTION_ROWS: usize = 100;

impl RowTable {
    /// Writes a row as an operator or a worker does.
    pub fn put(&mut self, table: &str, key: &str, value: String) {
        self.version += 1;
        self.write((table.to_owned(), String::new(), key.to_owned()), Some(value));
    }

    /// Removes a row as an operator or the service does.
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

    /// Makes changes under conditions.
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

    /// Returns the rows of a part from `from` up to, and without, `to`, and whether there are more.
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
        let more = rows.len() > limit;
        rows.truncate(limit);
        (rows, more)
    }

    /// Returns the changed rows of a table; none if the changes are forgotten.
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
