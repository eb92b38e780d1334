//! Finds the objects and processes that a scenario names.

use model::name::{DomainName, KeyName, QueueName, TeamName};
use pest::iterators::Pair;

use super::grammar::Rule;
use super::{ParseResult, ScriptBuilder, fail, only, read_positive, take};
use crate::script::{EntryRef, LinkSide, PlaceKind, PlaceRef, ProcessRef};

impl ScriptBuilder {
    pub(super) fn domain(&self, pair: &Pair<'_, Rule>) -> ParseResult<DomainName> {
        let name = DomainName::from(pair.as_str());
        let known = self.cell().domains.iter().any(|domain| domain.name == name);
        if known { Ok(name) } else { Err(fail(pair, "no domain has this name")) }
    }

    pub(super) fn team(&self, pair: &Pair<'_, Rule>) -> ParseResult<TeamName> {
        let name = TeamName::from(pair.as_str());
        let known = self.cell().teams.iter().any(|team| team.name == name);
        if known { Ok(name) } else { Err(fail(pair, "no team has this name")) }
    }

    pub(super) fn queue(&self, pair: &Pair<'_, Rule>) -> ParseResult<QueueName> {
        let name = QueueName::from(pair.as_str());
        let known = self.cell().queues.iter().any(|queue| queue.name == name);
        if known { Ok(name) } else { Err(fail(pair, "no queue has this name")) }
    }

    pub(super) fn key(&self, pair: &Pair<'_, Rule>) -> ParseResult<KeyName> {
        let name = KeyName::from(pair.as_str());
        let known = self.cell().teams.iter().any(|team| team.keys.contains(&name))
            || self.granted.contains_key(&name);
        if known { Ok(name) } else { Err(fail(pair, "no team has a key of this name")) }
    }

    pub(super) fn key_of(&self, team: &TeamName, pair: &Pair<'_, Rule>) -> ParseResult<KeyName> {
        let key = self.key(pair)?;
        let mut layouts = self.cell().teams.iter();
        let declared = layouts.any(|layout| layout.name == *team && layout.keys.contains(&key));
        if declared || self.granted.get(&key) == Some(team) {
            Ok(key)
        } else {
            Err(fail(pair, "the key belongs to another team"))
        }
    }

    pub(super) fn first_key(&self, name: &TeamName) -> KeyName {
        let team = self.cell().teams.iter().find(|team| team.name == *name);
        team.and_then(|team| team.keys.first().cloned()).unwrap_or_default()
    }

    pub(super) fn place(&self, pair: Pair<'_, Rule>, is_worker: bool) -> ParseResult<PlaceRef> {
        let mut inner = pair.into_inner();
        let name = take(&mut inner);
        let domain = self.domain(&name)?;
        let last = take(&mut inner);
        let kind = match last.as_str() {
            "owner" | "standby" if is_worker => {
                return Err(fail(&last, "a worker is given by its number"));
            }
            "owner" => PlaceKind::Owner,
            "standby" => PlaceKind::Standby,
            _ => PlaceKind::Number(read_positive(&last)?),
        };
        let layout = self.cell().domains.iter().find(|layout| layout.name == domain);
        let count = layout.map_or(0, |it| if is_worker { it.workers } else { it.entries });
        if matches!(kind, PlaceKind::Number(number) if number > count) {
            return Err(fail(&last, format!("the domain has only {count} of these")));
        }
        Ok(PlaceRef { domain, kind })
    }

    pub(super) fn worker(&self, pair: Pair<'_, Rule>) -> ParseResult<PlaceRef> {
        self.place(only(pair), true)
    }

    pub(super) fn entry(&self, pair: Pair<'_, Rule>) -> ParseResult<EntryRef> {
        let inner = only(pair);
        if inner.as_rule() == Rule::place {
            return self.place(inner, false).map(EntryRef::Place);
        }
        if self.processes.contains(inner.as_str()) {
            return Ok(EntryRef::Alias(inner.as_str().to_owned()));
        }
        Err(fail(&inner, "no process has this name"))
    }

    pub(super) fn process(&self, pair: Pair<'_, Rule>) -> ParseResult<ProcessRef> {
        let inner = only(pair);
        match inner.as_rule() {
            Rule::worker_ref => self.worker(inner).map(ProcessRef::Worker),
            _ => self.entry(inner).map(ProcessRef::Entry),
        }
    }

    pub(super) fn side(&self, pair: Pair<'_, Rule>) -> ParseResult<LinkSide> {
        let inner = only(pair);
        Ok(match inner.as_rule() {
            Rule::platform_side => LinkSide::Platform,
            Rule::workers_side => LinkSide::Workers,
            Rule::worker_ref => LinkSide::Worker(self.worker(inner)?),
            Rule::entry_side => LinkSide::Entry(self.entry(inner)?),
            _ => LinkSide::Domain(self.domain(&inner)?),
        })
    }
}
