//! The platform's table, object store and VM list as JSON over HTTP.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Path of table transactions (`POST`).
pub const TXN_PATH: &str = "/table/txn";
/// Path of table reads (`POST`).
pub const READ_PATH: &str = "/table/read";
/// Prefix of object paths (`GET` and `PUT`).
pub const OBJECT_PREFIX: &str = "/objects/";
/// Path of the VM list (`GET`).
pub const VM_PATH: &str = "/vms";

/// Precondition of a transaction: a row must be at a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowCheck {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; 0 means that it must not exist.
    pub version: u64,
}

/// Writes a row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowPut {
    /// Key of the row.
    pub key: String,
    /// New value.
    pub value: serde_json::Value,
}

/// A transaction, which does all of its writes if all checks hold, and otherwise none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TableTxn {
    /// Versions that rows must have.
    pub checks: Vec<RowCheck>,
    /// Rows to write.
    pub puts: Vec<RowPut>,
    /// Keys of rows to delete.
    pub deletes: Vec<String>,
}

/// A row with its version; versions are unique over all rows and grow with each write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TableRow {
    /// Key of the row.
    pub key: String,
    /// Version, from 1.
    pub version: u64,
    /// Value of the row.
    pub value: serde_json::Value,
}

/// Answer to a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TxnReply {
    /// Whether the writes were done.
    pub committed: bool,
    /// Version given to every row written by this transaction; 0 if not committed.
    #[serde(default)]
    pub version: u64,
    /// Current rows whose check failed; a row that does not exist has version 0 and value null.
    #[serde(default)]
    pub conflicts: Vec<TableRow>,
}

impl TxnReply {
    /// Returns the version and value of the row whose check failed, for a
    /// transaction with one check; version 0 and `None` if it does not exist.
    #[must_use]
    pub fn into_conflict<T: DeserializeOwned>(self) -> (u64, Option<T>) {
        let present = self.conflicts.into_iter().next();
        let version = present.as_ref().map_or(0, |row| row.version);
        (version, present.and_then(|row| serde_json::from_value(row.value).ok()))
    }
}

/// A read of single rows and of all rows under prefixes, from one snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TableRead {
    /// Keys of rows to read.
    pub keys: Vec<String>,
    /// Key prefixes; all rows whose key starts with one of them are read.
    pub prefixes: Vec<String>,
}

/// Answer to a read, in key order; rows that do not exist are left out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReadReply {
    /// The rows found.
    pub rows: Vec<TableRow>,
}

/// Whether a VM is expected to stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The platform will remove the VM soon.
    Leaving,
}

/// One VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmEntry {
    /// Name of the VM: a worker's name, or an entry's name from its settings.
    pub name: String,
    /// Whether the VM is expected to stay.
    pub state: VmState,
}

/// The platform's list of live and leaving VMs; it may be out of date.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmList {
    /// The VMs, in no particular order.
    pub vms: Vec<VmEntry>,
}
