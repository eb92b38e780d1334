//! Parsing of expectations.

use std::time::Duration;

use model::kind::RequestOutcome;
use pest::iterators::{Pair, Pairs};

use super::grammar::Rule;
use super::{
    ParseResult, ScriptBuilder, error_at, next_part, read_duration, read_number, single_part,
};
use crate::script::{ApplyState, RunExpectation};

impl ScriptBuilder {
    pub(super) fn read_expect(&self, pair: Pair<'_, Rule>) -> ParseResult<RunExpectation> {
        let rule = pair.as_rule();
        let mut inner = pair.into_inner();
        Ok(match rule {
            Rule::count_expect => RunExpectation::Count {
                outcome: match next_part(&mut inner).as_str() {
                    "answered" => RequestOutcome::Answered,
                    "not-run" => RequestOutcome::NotRun,
                    _ => RequestOutcome::Unknown,
                },
                at_least: next_part(&mut inner).as_str() == "least",
                number: read_number(&next_part(&mut inner))?,
                domain: inner.next().map(|name| self.resolve_domain(&name)).transpose()?,
            },
            Rule::gap_expect => RunExpectation::Gap {
                domain: self.resolve_domain(&next_part(&mut inner))?,
                under: read_duration(next_part(&mut inner))?,
            },
            Rule::jobs_expect => {
                let within =
                    inner.next().map(|within| read_duration(single_part(within))).transpose()?;
                RunExpectation::JobsDone { within: within.unwrap_or(Duration::from_secs(10)) }
            }
            Rule::race_expect => RunExpectation::RaceWon { within: read_within(&mut inner)? },
            Rule::apply_expect => {
                let name = next_part(&mut inner);
                let alias = Some(name.as_str().to_owned()).filter(|alias| alias != "last");
                if alias.as_ref().is_some_and(|alias| !self.change_aliases.contains(alias)) {
                    return Err(error_at(&name, "no change has this name"));
                }
                let state = match next_part(&mut inner).as_str() {
                    "accepted" => ApplyState::Accepted,
                    "pending" => ApplyState::Pending,
                    "conflict" => ApplyState::Conflict,
                    _ => ApplyState::Refused,
                };
                RunExpectation::Apply { alias, state, within: read_within(&mut inner)? }
            }
            Rule::status_expect => RunExpectation::Status {
                entry: self.resolve_entry(next_part(&mut inner))?,
                version: read_number(&next_part(&mut inner))?,
                within: read_within(&mut inner)?,
            },
            Rule::owner_expect => {
                let domain = self.resolve_domain(&next_part(&mut inner))?;
                let mut next = next_part(&mut inner);
                let negated = next.as_rule() == Rule::owner_not;
                if negated {
                    next = next_part(&mut inner);
                }
                let entry = self.resolve_entry(next)?;
                RunExpectation::Owner { domain, negated, entry, within: read_within(&mut inner)? }
            }
            _ => RunExpectation::Stopped {
                process: self.resolve_process(next_part(&mut inner))?,
                within: read_within(&mut inner)?,
                code: inner.next().map(|code| read_number(&code)).transpose()?,
            },
        })
    }
}

fn read_within(pairs: &mut Pairs<'_, Rule>) -> ParseResult<Duration> {
    read_duration(single_part(next_part(pairs)))
}
