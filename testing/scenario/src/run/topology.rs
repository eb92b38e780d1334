//! Names and addresses of the processes of one run.

use std::sync::atomic::{AtomicU16, Ordering};

use model::name::{DomainName, RackName, WorkerName};
use model::resource::ResourceAmounts;

use crate::script::{CellLayout, DomainLayout};

/// Port of the first run of this process; see [`AddressAllocator`].
const FIRST_PORT: u16 = 7000;
/// Number of ports that one run may use on each of its IP addresses.
const PORTS_PER_RUN: u16 = 4;
/// Number of runs of one test process with distinct ports; later runs reuse them.
const DISTINCT_RUNS: u16 = 1000;

static NEXT_RUN: AtomicU16 = AtomicU16::new(0);

/// Allocates loopback addresses that no other run on the machine uses.
///
/// The network is derived from the process id, because cargo-nextest starts one
/// process for each test. Runs of the same process have different ports.
struct AddressAllocator {
    network: [u8; 2],
    port: u16,
    host: u8,
}

impl AddressAllocator {
    fn new() -> Self {
        let pid = std::process::id();
        let [low, ..] = pid.to_le_bytes();
        let high = u8::try_from(16 + pid / 256 % 200).expect("at most 215");
        let run = NEXT_RUN.fetch_add(1, Ordering::Relaxed) % DISTINCT_RUNS;
        Self { network: [high, low], port: FIRST_PORT + run * PORTS_PER_RUN, host: 0 }
    }

    fn next_ip(&mut self) -> String {
        self.host += 1;
        format!("127.{}.{}.{}", self.network[0], self.network[1], self.host)
    }

    fn next_address(&mut self) -> String {
        format!("{}:{}", self.next_ip(), self.port)
    }
}

/// Name and addresses of one entry.
#[derive(Clone, Debug)]
pub struct EntryNode {
    /// Name of the process and of the proxy link to its peer address.
    pub name: String,
    /// Its domain.
    pub domain: DomainName,
    /// Its number in the domain, from 1.
    pub number: u32,
    /// IP address from which it opens connections.
    pub ip: String,
    /// Address on which it serves callers and operators.
    pub http: String,
    /// Address on which it serves other entries.
    pub peer: String,
    /// Address at which other entries reach it through the proxy.
    pub proxy_address: String,
}

/// Name, addresses and capacity of one worker.
#[derive(Clone, Debug)]
pub struct WorkerNode {
    /// Name of the worker, of its process and of the proxy link to it.
    pub name: WorkerName,
    /// Its domain.
    pub domain: DomainName,
    /// Its number in the domain, from 1.
    pub number: u32,
    /// Its rack.
    pub rack: RackName,
    /// Address on which it listens.
    pub address: String,
    /// Address at which entries reach it through the proxy.
    pub proxy_address: String,
    /// Its capacity.
    pub capacity: ResourceAmounts,
    /// Number of connections that it accepts.
    pub connections: u32,
}

/// Names and addresses of all processes of a cell.
#[derive(Clone, Debug)]
pub struct CellTopology {
    /// Address on which the platform stand-in listens.
    pub platform: String,
    /// Address at which entries reach the platform through the proxy.
    pub platform_proxy_address: String,
    /// Address on which the proxy accepts rules.
    pub proxy_admin: String,
    /// All entries.
    pub entries: Vec<EntryNode>,
    /// All workers.
    pub workers: Vec<WorkerNode>,
}

impl CellTopology {
    /// Assigns addresses to every process of a layout.
    pub fn assign_addresses(layout: &CellLayout) -> Self {
        let mut allocator = AddressAllocator::new();
        let mut topology = Self {
            platform: allocator.next_address(),
            platform_proxy_address: allocator.next_address(),
            proxy_admin: allocator.next_address(),
            entries: Vec::new(),
            workers: Vec::new(),
        };
        for domain in &layout.domains {
            let entries =
                (1..=domain.entries).map(|number| assign_entry(&mut allocator, domain, number));
            topology.entries.extend(entries);
            let workers =
                (1..=domain.workers).map(|number| assign_worker(&mut allocator, domain, number));
            topology.workers.extend(workers);
        }
        topology
    }

    /// Returns the total capacity of all workers.
    pub fn total_capacity(&self) -> ResourceAmounts {
        let capacities = self.workers.iter().map(|worker| worker.capacity);
        capacities.fold(ResourceAmounts::ZERO, ResourceAmounts::plus)
    }

    /// Returns the entries of a domain.
    pub fn domain_entries(&self, domain: &DomainName) -> impl Iterator<Item = &EntryNode> {
        self.entries.iter().filter(move |entry| entry.domain == *domain)
    }

    /// Finds an entry by its process name.
    pub fn find_entry(&self, name: &str) -> Option<&EntryNode> {
        self.entries.iter().find(|entry| entry.name == name)
    }
}

fn assign_entry(allocator: &mut AddressAllocator, domain: &DomainLayout, number: u32) -> EntryNode {
    let ip = allocator.next_ip();
    EntryNode {
        name: format!("{}-e{number}", domain.name),
        domain: domain.name.clone(),
        number,
        http: format!("{ip}:{}", allocator.port),
        peer: format!("{ip}:{}", allocator.port + 1),
        ip,
        proxy_address: allocator.next_address(),
    }
}

fn assign_worker(
    allocator: &mut AddressAllocator,
    domain: &DomainLayout,
    number: u32,
) -> WorkerNode {
    let rack = (number - 1) % domain.racks + 1;
    WorkerNode {
        name: WorkerName::from(format!("{}-w{number}", domain.name)),
        domain: domain.name.clone(),
        number,
        rack: RackName::from(format!("{}-r{rack}", domain.name)),
        address: allocator.next_address(),
        proxy_address: allocator.next_address(),
        capacity: ResourceAmounts {
            cpu_millis: domain.cores.saturating_mul(1000),
            memory_mb: domain.memory,
            accelerators: 0,
            slots: domain.slots,
        },
        connections: domain.connections,
    }
}
