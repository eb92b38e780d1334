//! Reads expectations.

use std::time::Duration;

use model::kind::RequestOutcome;
use pest::iterators::{Pair, Pairs};

use super::grammar::Rule;
use super::{ParseResult, ScriptBuilder, fail, only, read_duration, read_number, take};
use crate::script::{ApplyState, RunExpectation};

impl ScriptBuilder {
    pub(super) fn read_expect(&self, pair: Pair<'_, Rule>) -> ParseResult<RunExpectation> {
        let rule = pair.as_rule();
        let mut inner = pair.into_inner();
        Ok(match rule {
            Rule::count_expect => RunExpectation::Count {
                outcome: match take(&mut inner).as_str() {
                    "answered" => RequestOutcome::Answered,
                    "not-run" => RequestOutcome::NotRun,
                    _ => RequestOutcome::Unknown,
                },
                at_least: take(&mut inner).as_str() == "least",
                number: read_number(&take(&mut inner))?,
                domain: inner.next().map(|name| self.domain(&name)).transpose()?,
            },
            Rule::gap_expect => RunExpectation::Gap {
                domain: self.domain(&take(&mut inner))?,
                under: read_duration(take(&mut inner))?,
            },
            Rule::jobs_expect => {
                let within = inner.next().map(|within| read_duration(only(within))).transpose()?;
                RunExpectation::JobsDone { within: within.unwrap_or(Duration::from_secs(10)) }
            }
            Rule::race_expect => RunExpectation::RaceWon { within: read_within(&mut inner)? },
            Rule::apply_expect => {
                let name = take(&mut inner);
                let alias = Some(name.as_str().to_owned()).filter(|alias| alias != "last");
                if alias.as_ref().is_some_and(|alias| !self.changes.contains(alias)) {
                    return Err(fail(&name, "no change has this name"));
                }
                let state = match take(&mut inner).as_str() {
                    "accepted" => ApplyState::Accepted,
                    "pending" => ApplyState::Pending,
                    "conflict" => ApplyState::Conflict,
                    _ => ApplyState::Refused,
                };
                RunExpectation::Apply { alias, state, within: read_within(&mut inner)? }
            }
            Rule::status_expect => RunExpectation::Status {
                entry: self.entry(take(&mut inner))?,
                version: read_number(&take(&mut inner))?,
                within: read_within(&mut inner)?,
            },
            Rule::owner_expect => {
                let domain = self.domain(&take(&mut inner))?;
                let mut next = take(&mut inner);
                let negated = next.as_rule() == Rule::owner_not;
                if negated {
                    next = take(&mut inner);
                }
                let entry = self.entry(next)?;
                RunExpectation::Owner { domain, negated, entry, within: read_within(&mut inner)? }
            }
            _ => RunExpectation::Stopped {
                process: self.process(take(&mut inner))?,
                within: read_within(&mut inner)?,
                code: inner.next().map(|code| read_number(&code)).transpose()?,
            },
        })
    }
}

fn read_within(pairs: &mut Pairs<'_, Rule>) -> ParseResult<Duration> {
    read_duration(only(take(pairs)))
}
