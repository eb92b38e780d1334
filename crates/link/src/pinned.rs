//! HTTP client with one connection, for calls that only the process of an earlier answer may get.
//!
//! A process that starts again at its address does not have the connections of its predecessor.
//! A call that must not reach the successor is therefore sent on the connection of an answer of
//! the predecessor, or not at all.

use std::cell::Cell;
use std::fmt;
use std::io;
use std::net::IpAddr;
use std::rc::Rc;

use actix_service::Service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connector};
use awc::http::Uri;

use crate::http;

/// Client with at most one connection to one server. Its calls must not overlap.
pub struct PinnedClient {
    client: awc::Client,
    may_connect: Rc<Cell<bool>>,
}

impl PinnedClient {
    /// Creates a client whose connections use the source address `source`, if given.
    #[must_use]
    pub fn new(source: Option<IpAddr>) -> Self {
        let may_connect = Rc::new(Cell::new(true));
        let is_allowed = may_connect.clone();
        let tcp = Connector::default().service();
        let gate = actix_service::fn_service(move |info: ConnectInfo<Uri>| {
            let connection = is_allowed.get().then(|| tcp.call(info));
            async move {
                match connection {
                    Some(connection) => connection.await,
                    None => Err(ConnectError::Io(io::ErrorKind::NotConnected.into())),
                }
            }
        });
        let connector = http::configure(awc::Connector::new().connector(gate), source);
        let client = awc::ClientBuilder::new().connector(connector).disable_timeout().finish();
        Self { client, may_connect }
    }

    /// Returns the client for a call on a new connection, if there is none.
    #[must_use]
    pub fn connecting(&self) -> &awc::Client {
        self.may_connect.set(true);
        &self.client
    }

    /// Returns the client for a call on the present connection only. Without one, the call fails
    /// with [`crate::failure::CallFailure::NotDone`].
    #[must_use]
    pub fn connected(&self) -> &awc::Client {
        self.may_connect.set(false);
        &self.client
    }
}

impl fmt::Debug for PinnedClient {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("PinnedClient").finish_non_exhaustive()
    }
}
