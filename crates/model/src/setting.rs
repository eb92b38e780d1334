//! Settings of an entry process, read from a JSON file at start.

use serde::{Deserialize, Serialize};

use crate::name::DomainName;
use crate::vm::VmLimits;

mod parse;

/// Settings of one entry process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of this entry VM, for logs and rows of the platform's table.
    pub name: String,
    /// Failure domain that this process is in.
    pub domain: DomainName,
    /// Address for callers and operators, `IP:PORT`.
    pub http_address: String,
    /// Address for other entries, `IP:PORT`.
    pub peer_address: String,
    /// Address under which other entries reach this one, where it differs from `peer_address`.
    #[serde(default)]
    pub peer_advertise: Option<String>,
    /// Source IP of outgoing connections, for VMs with several addresses.
    #[serde(default)]
    pub outgoing_ip: Option<std::net::IpAddr>,
    /// SHA-256 of the operators' secret, 64 hexadecimal digits. Without it, anyone
    /// who can connect to this entry may read and publish the configuration.
    #[serde(default)]
    pub operator_digest: Option<String>,
    /// Peer addresses of entries of this and other domains, used until they have been discovered.
    #[serde(default)]
    pub peers: Vec<PeerAddress>,
    /// Address of the platform's HTTP service, `IP:PORT`.
    pub platform_address: String,
    /// Threads for traffic, from 1 to 64.
    #[serde(default = "default_threads")]
    pub threads: u16,
    /// Log level: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_level")]
    pub log_level: String,
    /// Seconds without a confirmation of the configuration by the platform until work that needs
    /// a key is refused, from 5 to 3,600.
    #[serde(default = "default_contact_bound")]
    pub config_contact_bound_s: u64,
    /// Seconds that a shutdown waits for requests in flight, from 1 to 600.
    #[serde(default = "default_drain")]
    pub drain_s: u64,
    /// Milliseconds between failing the readiness check and closing the listener, from 0 to 60,000.
    #[serde(default = "default_balancer")]
    pub balancer_delay_ms: u64,
    /// Memory of the VM in MB, of which a quarter is for request bodies, from 128 to 1,048,576.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// Descriptors that the process may have open, of which callers may use half, from 256 to
    /// 1,048,576.
    #[serde(default = "default_max_fds")]
    pub max_fds: u64,
    /// Seed of the random numbers; if it is left out, a random one is chosen and logged.
    #[serde(default)]
    pub seed: Option<u64>,
}

impl EntrySettings {
    /// Returns the limits of the VM, which bound what clients may occupy.
    #[must_use]
    pub const fn limits(&self) -> VmLimits {
        VmLimits { memory_mb: self.memory_mb, max_fds: self.max_fds }
    }
}

/// Address on which another entry accepts connections of its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerAddress {
    /// Failure domain of that entry.
    pub domain: DomainName,
    /// Its peer address, `IP:PORT`.
    pub address: String,
}

const fn default_threads() -> u16 {
    2
}

fn default_level() -> String {
    "info".to_owned()
}

// Network partitions between regions last for minutes and happen several times
// a year. Serving through them is worth that a configuration change may stay
// pending for as long.
const fn default_contact_bound() -> u64 {
    300
}

const fn default_drain() -> u64 {
    30
}

const fn default_balancer() -> u64 {
    1000
}

const fn default_memory_mb() -> u64 {
    VmLimits::DEFAULT.memory_mb
}

const fn default_max_fds() -> u64 {
    VmLimits::DEFAULT.max_fds
}
