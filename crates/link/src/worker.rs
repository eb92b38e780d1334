//! The client for the workers' control protocol.

use std::net::IpAddr;
use std::time::Duration;

use wire::worker::{RenewCall, StartCall, StartReply, StopCall, StopReply, WorkerReport};

use crate::http::{self, CallResult};

/// A client for the control calls of all workers; cheap to clone within one thread.
#[derive(Clone)]
pub struct WorkerClient {
    client: awc::Client,
}

impl std::fmt::Debug for WorkerClient {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.debug_struct("WorkerClient").finish_non_exhaustive()
    }
}

impl WorkerClient {
    /// Creates a client whose connections use the source address `source`, if given.
    #[must_use]
    pub fn new(source: Option<IpAddr>) -> Self {
        Self { client: http::build_client(source) }
    }

    /// Renews a worker's lease and returns its report.
    ///
    /// # Errors
    /// After [`crate::failure::CallFailure::Unknown`] the lease may have been extended.
    pub async fn renew(
        &self,
        address: &str,
        call: &RenewCall,
        timeout: Duration,
    ) -> CallResult<WorkerReport> {
        let url = format!("http://{address}{}", wire::worker::RENEW_PATH);
        http::post_json(&self.client, &url, call, timeout).await
    }

    /// Starts a task.
    ///
    /// # Errors
    /// After [`crate::failure::CallFailure::Unknown`] the task may be running.
    pub async fn start(
        &self,
        address: &str,
        call: &StartCall,
        timeout: Duration,
    ) -> CallResult<StartReply> {
        let url = format!("http://{address}{}", wire::worker::START_PATH);
        http::post_json(&self.client, &url, call, timeout).await
    }

    /// Stops, checkpoints or throttles a task.
    ///
    /// # Errors
    /// After [`crate::failure::CallFailure::Unknown`] the order may have been carried out.
    pub async fn stop(
        &self,
        address: &str,
        call: &StopCall,
        timeout: Duration,
    ) -> CallResult<StopReply> {
        let url = format!("http://{address}{}", wire::worker::STOP_PATH);
        http::post_json(&self.client, &url, call, timeout).await
    }
}
