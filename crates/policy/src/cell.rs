//! The cell: workers, queues, jobs and teams of one failure domain.

use model::name::{DomainName, TeamName};
use model::resource::ResourceAmounts;
use model::time::ClockMillis;

use crate::event::{CellDecision, CellEvent};

/// All control state of one failure domain.
#[derive(Debug)]
pub struct Cell {
    domain: DomainName,
}

impl Cell {
    /// Creates the cell of a domain that knows no configuration yet.
    #[must_use]
    pub fn new(domain: DomainName, seed: u64) -> Self {
        let _ = seed;
        Self { domain }
    }

    /// Takes one event and returns what is decided now, in order.
    pub fn apply(&mut self, now: ClockMillis, event: CellEvent) -> Vec<CellDecision> {
        let _ = (&self.domain, now, event);
        Vec::new()
    }

    /// Returns what a team uses now: running, started and not confirmed, granted,
    /// and what may run on workers that have not reported.
    #[must_use]
    pub fn team_use(&self, team: &TeamName) -> ResourceAmounts {
        let _ = team;
        ResourceAmounts::ZERO
    }
}
