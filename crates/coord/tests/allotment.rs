//! Guards against a team that uses more than its limit over all domains.

use std::collections::{BTreeMap, BTreeSet};

use coord::allotment::{self, AllotmentLedger, AllotmentNeed, AllotmentView, RowResult, RowWrite};
use coord::row::AllotmentRow;
use model::name::{DomainName, TeamName};
use model::resource::ResourceAmounts;
use proptest::collection;
use proptest::prelude::*;
use proptest::test_runner::Config;

fn cpu(cpu_millis: u64) -> ResourceAmounts {
    ResourceAmounts { cpu_millis, ..ResourceAmounts::ZERO }
}

fn amounts(by_domain: Amounts<'_>) -> BTreeMap<DomainName, ResourceAmounts> {
    by_domain.iter().map(|(name, amount)| (DomainName::from(*name), cpu(*amount))).collect()
}

/// Amounts by domain name.
type Amounts<'a> = &'a [(&'a str, u64)];

/// Plans the allotment of domain `a`; returns what is usable, the row to write,
/// and whether the limit is in force.
///
/// Checks that planning again with the written row changes nothing.
fn plan(
    limit: u64,
    capacities: Amounts<'_>,
    (used, wanted): (u64, u64),
    row: Option<(Amounts<'_>, Amounts<'_>)>,
) -> (u64, Option<AllotmentRow>, bool) {
    let (domain, capacities) = (DomainName::from("a"), amounts(capacities));
    let row = row.map(|(domains, requested)| AllotmentRow {
        domains: amounts(domains),
        requested: amounts(requested),
        limit: None,
    });
    let view = AllotmentView {
        domain: &domain,
        limit: cpu(limit),
        capacities: &capacities,
        used: cpu(used),
        wanted: cpu(wanted),
        row: row.as_ref(),
    };
    let first = allotment::plan_allotment(&view);
    if let Some(written) = &first.write {
        let again = allotment::plan_allotment(&AllotmentView { row: Some(written), ..view });
        assert_eq!(again.write, None, "not idempotent");
    }
    (first.usable.cpu_millis, first.write, first.in_force)
}

fn row(domains: Amounts<'_>, requested: Amounts<'_>) -> AllotmentRow {
    AllotmentRow { domains: amounts(domains), requested: amounts(requested), limit: None }
}

/// Guards against a first split whose sum exceeds the limit, and against use of
/// it before it is written.
#[test]
fn first_split_follows_capacity() {
    let capacities = [("a", 300), ("b", 200), ("c", 200)];
    let split = row(&[("a", 42), ("b", 28), ("c", 28)], &[]);
    assert_eq!(plan(100, &capacities, (0, 0), None), (0, Some(split), true));
}

/// Guards against a domain that takes more than is unassigned, requests more
/// than a chunk (a 16th of the limit), or gives up what it needs itself.
#[test]
fn demand_moves_chunks() {
    let capacities = [("a", 1), ("b", 1)];
    let take = plan(160, &capacities, (50, 3), Some((&[("a", 50), ("b", 60)], &[])));
    assert_eq!(take, (50, Some(row(&[("a", 60), ("b", 60)], &[])), true));
    let request = plan(160, &capacities, (80, 30), Some((&[("a", 80), ("b", 70)], &[])));
    assert_eq!(request, (80, Some(row(&[("a", 90), ("b", 70)], &[("a", 10)])), true));
    let give = plan(160, &capacities, (50, 0), Some((&[("a", 90), ("b", 70)], &[("b", 10)])));
    assert_eq!(give, (80, Some(row(&[("a", 80), ("b", 70)], &[("b", 10)])), true));
    let short = plan(160, &capacities, (80, 6), Some((&[("a", 90), ("b", 70)], &[("b", 10)])));
    assert_eq!(short, (86, Some(row(&[("a", 86), ("b", 70)], &[("b", 10)])), true));
    let enough = plan(160, &capacities, (50, 0), Some((&[("a", 80), ("b", 70)], &[("b", 10)])));
    assert_eq!(enough, (80, None, true));
}

/// Guards against a lowered limit that is reported in force while more than it
/// is in use, and against an allotment that is written below the use.
#[test]
fn lowered_limit_waits_for_the_use() {
    let capacities = [("a", 1), ("b", 1)];
    let allotments: &[(&str, u64)] = &[("a", 60), ("b", 40)];
    assert_eq!(plan(50, &capacities, (26, 0), Some((allotments, &[]))), (25, None, false));
    let lowered = Some(row(&[("a", 25), ("b", 40)], &[]));
    assert_eq!(plan(50, &capacities, (25, 0), Some((allotments, &[]))), (25, lowered, false));
    let fits: &[(&str, u64)] = &[("a", 25), ("b", 25)];
    assert!(!plan(50, &capacities, (26, 0), Some((fits, &[]))).2);
    assert!(plan(50, &capacities, (25, 0), Some((fits, &[]))).2);
}

/// Guards against the use of a domain's allotment by others while the domain is
/// out but still runs work.
#[test]
fn domain_out_keeps_its_allotment_while_used() {
    let allotments: &[(&str, u64)] = &[("a", 50), ("b", 50)];
    let requested = Some(row(allotments, &[("a", 6)]));
    assert_eq!(plan(100, &[("a", 1)], (50, 9), Some((allotments, &[]))), (50, requested, true));
    assert_eq!(plan(100, &[("b", 1)], (9, 0), Some((allotments, &[]))), (0, None, true));
    let left = Some(row(&[("b", 50)], &[]));
    assert_eq!(plan(100, &[("b", 1)], (0, 0), Some((allotments, &[]))), (0, left, true));
}

/// Guards against a team without a limit that has to wait for its row.
#[test]
fn team_without_limit_needs_no_row() {
    let (team, capacities) = (TeamName::from("t"), amounts(&[("a", 1)]));
    let mut ledger = AllotmentLedger::new(DomainName::from("a"));
    let limit = ResourceAmounts::UNLIMITED;
    let need = AllotmentNeed { limit, capacities: &capacities, used: cpu(5), wanted: cpu(5) };
    assert_eq!(ledger.plan_write(&team, &need), None);
    assert_eq!((ledger.usable_amounts(&team), ledger.needs_read(&team)), (limit, false));
    assert_eq!(ledger.plan_write(&team, &AllotmentNeed { limit: cpu(9), ..need }), None);
    assert_eq!((ledger.usable_amounts(&team), ledger.needs_read(&team)), (cpu(0), true));
}

/// Guards against a new owner that uses what its predecessor gave up.
///
/// A write of the predecessor may still be in flight when the new owner reads
/// the row. Only a write of its own makes the allotment certain; before it, the
/// limit must not be reported in force either.
#[test]
fn new_owner_writes_before_it_uses() {
    let (team, capacities) = (TeamName::from("t"), amounts(&[("a", 1), ("b", 1)]));
    let mut ledger = AllotmentLedger::new(DomainName::from("a"));
    let need =
        AllotmentNeed { limit: cpu(100), capacities: &capacities, used: cpu(0), wanted: cpu(0) };
    let known_row = row(&[("a", 50), ("b", 50)], &[]);
    ledger.apply_read(&team, 3, Some(known_row.clone()));
    let write = ledger.plan_write(&team, &need);
    assert_eq!(write, Some(RowWrite { version: 3, row: known_row }));
    assert_eq!((ledger.usable_amounts(&team), ledger.is_in_force(&team)), (cpu(0), false));
    ledger.apply_write_result(&team, RowResult::Committed { version: 4 });
    assert_eq!(ledger.plan_write(&team, &need), None);
    assert_eq!((ledger.usable_amounts(&team), ledger.is_in_force(&team)), (cpu(50), true));
}

/// Guards against use of what a write without a reply may still give up, until a
/// later write makes sure that it cannot take effect.
#[test]
fn unanswered_write_bounds_the_use() {
    let (team, capacities) = (TeamName::from("t"), amounts(&[("a", 1), ("b", 1)]));
    let mut ledger = AllotmentLedger::new(DomainName::from("a"));
    let need =
        AllotmentNeed { limit: cpu(160), capacities: &capacities, used: cpu(0), wanted: cpu(0) };
    let requested = row(&[("a", 90), ("b", 70)], &[("b", 10)]);
    ledger.apply_read(&team, 3, Some(row(&[("a", 90), ("b", 70)], &[])));
    ledger.plan_write(&team, &need);
    ledger.apply_write_result(&team, RowResult::Committed { version: 4 });
    ledger.apply_read(&team, 5, Some(requested.clone()));
    assert!(ledger.plan_write(&team, &need).is_some());
    ledger.apply_write_result(&team, RowResult::Unknown);
    let busy = AllotmentNeed { used: cpu(80), wanted: cpu(10), ..need };
    assert_eq!(ledger.plan_write(&team, &busy), None, "the row has to be read first");
    ledger.apply_read(&team, 5, Some(requested));
    let again = ledger.plan_write(&team, &busy).expect("the first write may still take effect");
    assert_eq!((again.version, ledger.usable_amounts(&team)), (5, cpu(80)));
    ledger.apply_write_result(&team, RowResult::Committed { version: 6 });
    ledger.plan_write(&team, &busy);
    assert_eq!(ledger.usable_amounts(&team), cpu(90));
}

/// One step of one domain.
#[derive(Clone, Debug)]
enum DomainStep {
    /// Sets the demand of pending work.
    Want(u64),
    /// Starts pending work as far as it is usable.
    Start(u64),
    /// Ends running work.
    End(u64),
    /// Plans a write of the row.
    Plan,
    /// Reads the row.
    Read,
    /// Delivers a write in flight to the platform; its reply may be lost.
    Deliver { pick: usize, replied: bool },
    /// Reports that a write got no reply while it may still be in flight.
    LoseReply,
    /// Replaces the owner by one that starts with an empty ledger.
    NewOwner,
    /// Replaces the owner by a successor that continues with the ledger.
    HandOver,
    /// Puts the newest configuration in force.
    ApplyConfig,
}

/// One step of the model.
#[derive(Clone, Debug)]
enum FleetStep {
    /// A step of the domain with this index.
    Domain(usize, DomainStep),
    /// A new configuration with a limit and at most one domain that is out.
    Configure { limit: u64, out: Option<usize> },
}

/// The owner of one domain and what the team uses there.
struct Owner {
    ledger: AllotmentLedger,
    /// Index of the configuration in force in this domain.
    config_index: usize,
    /// Index of the last configuration whose limit was in force here.
    confirmed_index: usize,
    used: u64,
    wanted: u64,
    /// Number of the write that the ledger waits for.
    pending_write: Option<u64>,
}

struct InFlightWrite {
    domain: usize,
    number: u64,
    write: RowWrite,
}

/// Several domains, the row of one team in the platform, and writes in flight.
struct Fleet {
    team: TeamName,
    names: Vec<DomainName>,
    owners: Vec<Owner>,
    /// Limit and capacities of each configuration, the newest last.
    configs: Vec<(u64, BTreeMap<DomainName, ResourceAmounts>)>,
    version: u64,
    row: Option<AllotmentRow>,
    writes: Vec<InFlightWrite>,
    /// Number of the last write.
    last_write: u64,
}

impl Fleet {
    fn new(size: usize, limit: u64) -> Self {
        let names: Vec<_> = (0..size).map(|index| DomainName::from(format!("d{index}"))).collect();
        let owner = |name: &DomainName| Owner {
            ledger: AllotmentLedger::new(name.clone()),
            config_index: 0,
            confirmed_index: 0,
            used: 0,
            wanted: 0,
            pending_write: None,
        };
        let owners = names.iter().map(owner).collect();
        let capacities = names.iter().zip(1..).map(|(name, part)| (name.clone(), cpu(part)));
        let configs = vec![(limit, capacities.collect())];
        let team = TeamName::from("t");
        Self {
            team,
            names,
            owners,
            configs,
            version: 0,
            row: None,
            writes: Vec::new(),
            last_write: 0,
        }
    }

    fn apply(&mut self, step: &FleetStep) {
        match step {
            FleetStep::Configure { limit, out } => {
                let mut capacities = self.configs[0].1.clone();
                capacities
                    .retain(|name, _| out.is_none_or(|out| self.names.get(out) != Some(name)));
                self.configs.push((*limit, capacities));
            }
            FleetStep::Domain(index, step) => self.apply_to(index % self.names.len(), step),
        }
    }

    fn apply_to(&mut self, index: usize, step: &DomainStep) {
        let (team, newest) = (self.team.clone(), self.configs.len() - 1);
        let owner = &mut self.owners[index];
        match *step {
            DomainStep::Want(wanted) => owner.wanted = wanted,
            DomainStep::Start(amount) => {
                let free = owner.ledger.usable_amounts(&team).cpu_millis.saturating_sub(owner.used);
                let started = amount.min(free).min(owner.wanted);
                owner.used += started;
                owner.wanted -= started;
            }
            DomainStep::End(amount) => owner.used = owner.used.saturating_sub(amount),
            DomainStep::Plan => self.plan(index),
            DomainStep::Read => owner.ledger.apply_read(&team, self.version, self.row.clone()),
            DomainStep::Deliver { pick, replied } => self.deliver(pick, replied),
            DomainStep::LoseReply if owner.pending_write.is_some() => {
                owner.pending_write = None;
                owner.ledger.apply_write_result(&team, RowResult::Unknown);
            }
            DomainStep::LoseReply => {}
            DomainStep::NewOwner | DomainStep::HandOver => {
                owner.pending_write = None;
                let empty = AllotmentLedger::new(self.names[index].clone());
                let is_new = matches!(step, DomainStep::NewOwner);
                owner.ledger = if is_new { empty } else { owner.ledger.copy_for_successor() };
            }
            DomainStep::ApplyConfig => {
                owner.config_index = newest;
                self.plan(index);
            }
        }
    }

    fn plan(&mut self, index: usize) {
        let owner = &mut self.owners[index];
        let (limit, capacities) = &self.configs[owner.config_index];
        let (used, wanted) = (cpu(owner.used), cpu(owner.wanted));
        let need = AllotmentNeed { limit: cpu(*limit), capacities, used, wanted };
        if let Some(write) = owner.ledger.plan_write(&self.team, &need) {
            self.last_write += 1;
            owner.pending_write = Some(self.last_write);
            self.writes.push(InFlightWrite { domain: index, number: self.last_write, write });
        }
        if owner.ledger.is_in_force(&self.team) {
            owner.confirmed_index = owner.config_index;
        }
    }

    fn deliver(&mut self, pick: usize, replied: bool) {
        if self.writes.is_empty() {
            return;
        }
        let InFlightWrite { domain, number, write } = self.writes.remove(pick % self.writes.len());
        let result = if write.version == self.version {
            self.version += 1;
            self.row = Some(write.row);
            RowResult::Committed { version: self.version }
        } else {
            RowResult::Conflict { version: self.version, row: self.row.clone() }
        };
        let owner = &mut self.owners[domain];
        if owner.pending_write == Some(number) {
            owner.pending_write = None;
            owner
                .ledger
                .apply_write_result(&self.team, if replied { result } else { RowResult::Unknown });
        }
    }

    /// Checks that what all domains use or may use fits the largest limit that
    /// may still be in force in one of them.
    fn check(&self) -> Result<(), String> {
        let confirmed = self.owners.iter().map(|owner| owner.confirmed_index).min().unwrap_or(0);
        let limit = self.configs[confirmed..].iter().map(|config| config.0).max().unwrap_or(0);
        let may_use =
            |owner: &Owner| owner.used.max(owner.ledger.usable_amounts(&self.team).cpu_millis);
        let sum: u64 = self.owners.iter().map(may_use).sum();
        if sum > limit {
            Err(format!("{sum} in use of {limit}, row {:?}", self.row))
        } else {
            Ok(())
        }
    }

    /// Runs rounds without faults, enough of them that nothing changes any more at the end.
    ///
    /// Checks that the newest limit is in force everywhere and that no demand
    /// waits while a part of the limit is free.
    fn settle(&mut self) -> Result<(), String> {
        for _ in 0..40 * self.names.len() {
            for index in 0..self.names.len() {
                while !self.writes.is_empty() {
                    self.deliver(0, true);
                }
                self.apply_to(index, &DomainStep::LoseReply);
                self.apply_to(index, &DomainStep::Read);
                self.apply_to(index, &DomainStep::ApplyConfig);
                let owner = &mut self.owners[index];
                if owner.ledger.has_certain_amounts(&self.team) {
                    owner.used = owner.used.min(owner.ledger.usable_amounts(&self.team).cpu_millis);
                }
                self.check()?;
            }
        }
        let newest = self.configs.len() - 1;
        let (limit, capacities) = &self.configs[newest];
        let allotment = |index: usize| {
            allotment::domain_allotment(self.row.as_ref(), &self.names[index]).cpu_millis
        };
        let available: BTreeSet<usize> = (0..self.names.len())
            .filter(|index| capacities.contains_key(&self.names[*index]))
            .collect();
        let sum: u64 = (0..self.names.len()).map(allotment).sum();
        let spare = |index: &usize| {
            allotment(*index).saturating_sub(self.owners[*index].used + self.owners[*index].wanted)
        };
        let has_unmet_demand =
            available.iter().any(|i| self.owners[*i].used + self.owners[*i].wanted > allotment(*i));
        let is_free = sum < *limit || available.iter().any(|index| spare(index) > 0);
        if self.owners.iter().any(|owner| owner.confirmed_index != newest) {
            return Err("the last limit did not come into force".to_owned());
        }
        if has_unmet_demand && is_free {
            Err(format!("demand waits: {:?}", self.row))
        } else {
            Ok(())
        }
    }
}

fn any_step() -> impl Strategy<Value = FleetStep> {
    let step = prop_oneof![
        2 => (0_u64..200).prop_map(DomainStep::Want),
        3 => (1_u64..80).prop_map(DomainStep::Start),
        2 => (1_u64..80).prop_map(DomainStep::End),
        6 => Just(DomainStep::Plan),
        4 => Just(DomainStep::Read),
        6 => (0_usize..8, any::<bool>())
            .prop_map(|(pick, replied)| DomainStep::Deliver { pick, replied }),
        2 => Just(DomainStep::LoseReply),
        1 => Just(DomainStep::NewOwner),
        1 => Just(DomainStep::HandOver),
        2 => Just(DomainStep::ApplyConfig),
    ];
    prop_oneof![
        24 => (0_usize..4, step).prop_map(|(domain, step)| FleetStep::Domain(domain, step)),
        1 => (0_u64..300, proptest::option::of(0_usize..4))
            .prop_map(|(limit, out)| FleetStep::Configure { limit, out }),
    ]
}

proptest! {
    #![proptest_config(Config { cases: cases(), failure_persistence: None, ..Config::default() })]

    /// Guards against use above the limit under any interleaving of plans,
    /// changes of owners, lost replies and changes of the limit.
    #[test]
    fn use_fits_the_limit(
        size in 1_usize..5,
        limit in 0_u64..300,
        steps in collection::vec(any_step(), 0..300),
    ) {
        let mut fleet = Fleet::new(size, limit);
        for step in &steps {
            fleet.apply(step);
            fleet.check().map_err(TestCaseError::fail)?;
        }
        fleet.settle().map_err(TestCaseError::fail)?;
    }
}

/// Returns the number of cases; `COORD_CASES` sets another one for long runs.
fn cases() -> u32 {
    std::env::var("COORD_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(512)
}
