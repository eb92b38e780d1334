//! The client for the platform's table, object store and VM list.

use std::net::IpAddr;
use std::time::Duration;

use error_stack::Report;
use wire::platform::{ReadReply, TableRead, TableTxn, TxnReply, VmList};

use crate::failure::CallFailure;
use crate::http::{self, CallResult};

/// A client for the platform; cheap to clone within one thread.
#[derive(Clone)]
pub struct PlatformClient {
    client: awc::Client,
    address: String,
}

impl std::fmt::Debug for PlatformClient {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.debug_struct("PlatformClient").field("address", &self.address).finish_non_exhaustive()
    }
}

impl PlatformClient {
    /// Creates a client for the platform at `address` (`IP:PORT`), whose
    /// connections use the source address `source`, if given.
    #[must_use]
    pub fn new(address: &str, source: Option<IpAddr>) -> Self {
        Self { client: http::build_client(source), address: address.to_owned() }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Runs a transaction.
    ///
    /// # Errors
    /// [`CallFailure::Unknown`] if the transaction may have committed; the rows
    /// have to be read to find out.
    pub async fn transact(&self, txn: &TableTxn, timeout: Duration) -> CallResult<TxnReply> {
        http::post_json(&self.client, &self.url(wire::platform::TXN_PATH), txn, timeout).await
    }

    /// Reads rows from one snapshot.
    ///
    /// # Errors
    /// Both kinds of [`CallFailure`] mean only that nothing was read.
    pub async fn read(&self, read: &TableRead, timeout: Duration) -> CallResult<ReadReply> {
        http::post_json(&self.client, &self.url(wire::platform::READ_PATH), read, timeout).await
    }

    /// Stores an object; objects never change, so it is safe to store one twice.
    ///
    /// # Errors
    /// After both kinds of [`CallFailure`] it is safe to store the object again.
    pub async fn put_object(&self, name: &str, body: String, timeout: Duration) -> CallResult<()> {
        let url = self.url(&format!("{}{name}", wire::platform::OBJECT_PREFIX));
        http::with_timeout(timeout, async {
            let reply = self.client.put(url).send_body(body).await;
            let answer = reply.map_err(|error| {
                Report::new(http::classify_error(&error)).attach(error.to_string())
            })?;
            if answer.status().is_success() {
                return Ok(());
            }
            Err(Report::new(CallFailure::Unknown).attach(format!("status {}", answer.status())))
        })
        .await
    }

    /// Reads an object as text.
    ///
    /// # Errors
    /// Both kinds of [`CallFailure`] mean only that nothing was read.
    pub async fn get_object(&self, name: &str, timeout: Duration) -> CallResult<String> {
        let url = self.url(&format!("{}{name}", wire::platform::OBJECT_PREFIX));
        http::with_timeout(timeout, async {
            let reply = self.client.get(url).send().await;
            let mut answer = reply.map_err(|error| {
                Report::new(http::classify_error(&error)).attach(error.to_string())
            })?;
            let body = answer
                .body()
                .limit(http::MAX_BODY_BYTES)
                .await
                .map_err(|error| Report::new(CallFailure::Unknown).attach(error.to_string()))?;
            if !answer.status().is_success() {
                let status = answer.status();
                return Err(Report::new(CallFailure::NotDone).attach(format!("status {status}")));
            }
            String::from_utf8(body.to_vec())
                .map_err(|error| Report::new(CallFailure::Unknown).attach(error.to_string()))
        })
        .await
    }

    /// Reads the platform's list of VMs, which may be out of date.
    ///
    /// # Errors
    /// Both kinds of [`CallFailure`] mean only that nothing was read.
    pub async fn list_vms(&self, timeout: Duration) -> CallResult<VmList> {
        http::get_json(&self.client, &self.url(wire::platform::VM_PATH), timeout).await
    }
}
