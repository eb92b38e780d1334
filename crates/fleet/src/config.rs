//! The configuration in force, as entries follow it in the operators' table.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use arcstr::ArcStr;
use model::name::{DomainName, QueueName, TeamName};
use plan::config::PlanConfig;

/// Decoded row of the operators' table.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRow {
    /// The whole configuration.
    Config(Box<FleetConfig>),
    /// A failure domain was taken out of service, or returned to it if the row was removed.
    DomainOut {
        /// The domain.
        domain: DomainName,
        /// Whether it is out of service.
        out: bool,
    },
    /// Unknown or malformed.
    Other,
}

/// The operators' configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    /// Version; higher ones are newer.
    pub version: u64,
    /// Routes from callers' paths to queues.
    pub routes: Vec<QueueRoute>,
    /// Pools of workers. A registration in any other pool names no worker of the fleet.
    pub pools: BTreeSet<ArcStr>,
    /// Teams by API key.
    pub keys: BTreeMap<ArcStr, TeamName>,
    /// Configuration of the planner.
    pub plan: PlanConfig,
    /// Longest body of a request, in bytes; 0 for no limit.
    pub body_bytes: usize,
}

/// Route of requests to a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueRoute {
    /// Host that callers name.
    pub host: ArcStr,
    /// Prefix of the path.
    pub prefix: ArcStr,
    /// The queue.
    pub queue: QueueName,
    /// Whether the queue takes requests without a key.
    pub public: bool,
}

/// The configuration in force and the domains that are out of service.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    /// The newest configuration; none before the first read.
    pub config: Option<Arc<FleetConfig>>,
    /// Domains that are out of service.
    pub domains_out: BTreeSet<DomainName>,
    /// Number of changes so far that decisions depend on.
    pub generation: u64,
}

impl ConfigView {
    /// Applies a row; a configuration with a lower version is ignored.
    pub fn apply_row(&mut self, row: OperatorRow) {
        let changed = match row {
            OperatorRow::Config(config) => {
                let known = self.config.as_ref().map_or(0, |config| config.version);
                let is_newer = self.config.is_none() || config.version > known;
                if is_newer {
                    log::info!("configuration in force version={} before={known}", config.version);
                    self.config = Some(Arc::from(config));
                }
                is_newer
            }
            OperatorRow::DomainOut { domain, out } => {
                let changed = if out {
                    self.domains_out.insert(domain.clone())
                } else {
                    self.domains_out.remove(&domain)
                };
                if changed {
                    log::info!("failure domain changed domain={domain} out={out}");
                }
                changed
            }
            OperatorRow::Other => false,
        };
        self.generation += u64::from(changed);
    }

    /// Applies a complete read of the operators' table; domains without a row are in service.
    pub fn replace_rows(&mut self, rows: Vec<OperatorRow>) {
        let previous = std::mem::take(&mut self.domains_out);
        let generation = self.generation;
        for row in rows {
            self.apply_row(row);
        }
        self.generation = generation + 1;
        if previous != self.domains_out {
            log::info!("failure domains out now={:?} before={previous:?}", self.domains_out);
        }
    }

    /// Returns whether workers of a pool belong to the fleet; without a configuration, all do.
    #[must_use]
    pub fn has_pool(&self, pool: &str) -> bool {
        self.config.as_ref().is_none_or(|config| config.pools.contains(pool))
    }

    /// Returns the planner's configuration with the domains that are out of service.
    #[must_use]
    pub fn planner_config(&self) -> Arc<PlanConfig> {
        let mut plan = self.config.as_ref().map(|config| config.plan.clone()).unwrap_or_default();
        plan.domains_out.clone_from(&self.domains_out);
        Arc::new(plan)
    }
}

impl FleetConfig {
    /// Returns the route of a request, which is the one with the longest matching prefix, and
    /// the rest of the path.
    #[must_use]
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&QueueRoute, &'a str)> {
        let route = self
            .routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(route.prefix.as_str()))
            .max_by_key(|route| route.prefix.len())?;
        Some((route, &path[route.prefix.len()..]))
    }
}
