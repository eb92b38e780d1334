//! Summary of a run: request outcomes and gaps in service.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use model::kind::RequestOutcome;
use model::name::DomainName;
use wire::history::CallerEvent;

use crate::record::{RunHistory, RunnerEvent};

/// Numbers of requests by the last outcome of each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Requests with a complete answer.
    pub answered: u64,
    /// Requests that were refused and did not run.
    pub not_run: u64,
    /// Requests that may or may not have run.
    pub unknown: u64,
}

impl OutcomeCounts {
    /// Returns the number for one outcome.
    #[must_use]
    pub const fn get(&self, outcome: RequestOutcome) -> u64 {
        match outcome {
            RequestOutcome::Answered => self.answered,
            RequestOutcome::NotRun => self.not_run,
            RequestOutcome::Unknown => self.unknown,
        }
    }

    const fn add(&mut self, outcome: RequestOutcome) {
        match outcome {
            RequestOutcome::Answered => self.answered += 1,
            RequestOutcome::NotRun => self.not_run += 1,
            RequestOutcome::Unknown => self.unknown += 1,
        }
    }
}

/// Summary of one domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DomainSummary {
    /// Outcomes of the requests that were sent to entries of the domain.
    pub counts: OutcomeCounts,
    /// Longest time without an answered request while load was sent to the domain.
    pub gap: Duration,
}

/// Summary of one run, by domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunSummary {
    /// Domains that were sent load.
    pub domains: BTreeMap<DomainName, DomainSummary>,
}

impl RunSummary {
    /// Computes the summary from the histories.
    #[must_use]
    pub fn collect(history: &RunHistory) -> Self {
        let mut last: BTreeMap<&str, (&DomainName, RequestOutcome)> = BTreeMap::new();
        let mut answered: BTreeMap<&DomainName, Vec<u64>> = BTreeMap::new();
        for record in &history.callers {
            match &record.event {
                CallerEvent::Sent { request, domain, .. } => {
                    last.insert(request, (domain, RequestOutcome::Unknown));
                }
                CallerEvent::Received { request, outcome, .. } => {
                    let Some(state) = last.get_mut(request.as_str()) else { continue };
                    state.1 = *outcome;
                    if *outcome == RequestOutcome::Answered {
                        answered.entry(state.0).or_default().push(record.at_us);
                    }
                }
                _ => {}
            }
        }
        let mut summary = Self::default();
        for (domain, outcome) in last.into_values() {
            summary.domains.entry(domain.clone()).or_default().counts.add(outcome);
        }
        for (domain, intervals) in load_intervals(history) {
            let times = answered.get(domain).map(Vec::as_slice).unwrap_or_default();
            let gaps = intervals.iter().map(|interval| longest_gap(*interval, times));
            let gap = Duration::from_micros(gaps.max().unwrap_or_default());
            summary.domains.entry(domain.clone()).or_default().gap = gap;
        }
        summary
    }

    /// Returns the number of requests with an outcome, in one domain or in all.
    #[must_use]
    pub fn count(&self, outcome: RequestOutcome, domain: Option<&DomainName>) -> u64 {
        let wanted = self.domains.iter().filter(|(name, _)| domain.is_none_or(|it| it == *name));
        wanted.map(|(_, summary)| summary.counts.get(outcome)).sum()
    }
}

impl fmt::Display for RunSummary {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [answered, not_run, unknown] =
            [RequestOutcome::Answered, RequestOutcome::NotRun, RequestOutcome::Unknown]
                .map(|outcome| self.count(outcome, None));
        write!(out, "answered {answered}, not run {not_run}, unknown {unknown}")?;
        self.domains.iter().try_for_each(|(domain, summary)| {
            let DomainSummary { counts, gap } = summary;
            write!(
                out,
                "\ndomain {domain}: longest gap {} ms, answered {}, not run {}, unknown {}",
                gap.as_millis(),
                counts.answered,
                counts.not_run,
                counts.unknown
            )
        })
    }
}

/// Returns the intervals in which load was sent to each domain, overlaps merged.
fn load_intervals(history: &RunHistory) -> BTreeMap<&DomainName, Vec<(u64, u64)>> {
    let run_end = history.runner.last().map_or(0, |record| record.at_us);
    let mut ends: BTreeMap<u64, u64> = BTreeMap::new();
    for record in &history.runner {
        if let RunnerEvent::LoadEnded { load } = &record.event {
            ends.insert(*load, record.at_us);
        }
    }
    let mut intervals: BTreeMap<&DomainName, Vec<(u64, u64)>> = BTreeMap::new();
    for record in &history.runner {
        let RunnerEvent::LoadBegan { load, domain } = &record.event else { continue };
        let end = ends.get(load).copied().unwrap_or(run_end);
        let list = intervals.entry(domain).or_default();
        match list.last_mut() {
            Some(before) if record.at_us <= before.1 => before.1 = before.1.max(end),
            _ => list.push((record.at_us, end)),
        }
    }
    intervals
}

/// Returns the longest part of an interval, in microseconds, without any of `times`.
fn longest_gap((start, end): (u64, u64), times: &[u64]) -> u64 {
    let inside = times.iter().copied().filter(|at| (start..end).contains(at));
    let mut before = start;
    let mut longest = 0;
    for at in inside.chain([end]) {
        longest = longest.max(at - before);
        before = at;
    }
    longest
}
