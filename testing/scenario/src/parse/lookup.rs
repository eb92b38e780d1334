//! Resolution of the names of objects and processes in a scenario.

use model::name::{DomainName, KeyName, QueueName, TeamName};
use pest::iterators::Pair;

use super::grammar::Rule;
use super::{ParseResult, ScriptBuilder, error_at, next_part, read_positive, single_part};
use crate::script::{EntryRef, LinkSide, PlaceKind, PlaceRef, ProcessRef};

impl ScriptBuilder {
    pub(super) fn resolve_domain(&self, pair: &Pair<'_, Rule>) -> ParseResult<DomainName> {
        let name = DomainName::from(pair.as_str());
        let known = self.cell().domains.iter().any(|domain| domain.name == name);
        if known { Ok(name) } else { Err(error_at(pair, "no domain has this name")) }
    }

    pub(super) fn resolve_team(&self, pair: &Pair<'_, Rule>) -> ParseResult<TeamName> {
        let name = TeamName::from(pair.as_str());
        let known = self.cell().teams.iter().any(|team| team.name == name);
        if known { Ok(name) } else { Err(error_at(pair, "no team has this name")) }
    }

    pub(super) fn resolve_queue(&self, pair: &Pair<'_, Rule>) -> ParseResult<QueueName> {
        let name = QueueName::from(pair.as_str());
        let known = self.cell().queues.iter().any(|queue| queue.name == name);
        if known { Ok(name) } else { Err(error_at(pair, "no queue has this name")) }
    }

    pub(super) fn resolve_key(&self, pair: &Pair<'_, Rule>) -> ParseResult<KeyName> {
        let name = KeyName::from(pair.as_str());
        let known = self.cell().teams.iter().any(|team| team.keys.contains(&name))
            || self.granted_keys.contains_key(&name);
        if known { Ok(name) } else { Err(error_at(pair, "no team has a key of this name")) }
    }

    pub(super) fn resolve_team_key(
        &self,
        team: &TeamName,
        pair: &Pair<'_, Rule>,
    ) -> ParseResult<KeyName> {
        let key = self.resolve_key(pair)?;
        let mut layouts = self.cell().teams.iter();
        let declared = layouts.any(|layout| layout.name == *team && layout.keys.contains(&key));
        if declared || self.granted_keys.get(&key) == Some(team) {
            Ok(key)
        } else {
            Err(error_at(pair, "the key belongs to another team"))
        }
    }

    pub(super) fn first_team_key(&self, name: &TeamName) -> KeyName {
        let team = self.cell().teams.iter().find(|team| team.name == *name);
        team.and_then(|team| team.keys.first().cloned()).unwrap_or_default()
    }

    pub(super) fn resolve_place(
        &self,
        pair: Pair<'_, Rule>,
        is_worker: bool,
    ) -> ParseResult<PlaceRef> {
        let mut inner = pair.into_inner();
        let name = next_part(&mut inner);
        let domain = self.resolve_domain(&name)?;
        let last = next_part(&mut inner);
        let kind = match last.as_str() {
            "owner" | "standby" if is_worker => {
                return Err(error_at(&last, "a worker is given by its number"));
            }
            "owner" => PlaceKind::Owner,
            "standby" => PlaceKind::Standby,
            _ => PlaceKind::Number(read_positive(&last)?),
        };
        let layout = self.cell().domains.iter().find(|layout| layout.name == domain);
        let count = layout.map_or(0, |it| if is_worker { it.workers } else { it.entries });
        if matches!(kind, PlaceKind::Number(number) if number > count) {
            return Err(error_at(&last, format!("the domain has only {count} of these")));
        }
        Ok(PlaceRef { domain, kind })
    }

    pub(super) fn resolve_worker(&self, pair: Pair<'_, Rule>) -> ParseResult<PlaceRef> {
        self.resolve_place(single_part(pair), true)
    }

    pub(super) fn resolve_entry(&self, pair: Pair<'_, Rule>) -> ParseResult<EntryRef> {
        let inner = single_part(pair);
        if inner.as_rule() == Rule::place {
            return self.resolve_place(inner, false).map(EntryRef::Place);
        }
        if self.process_aliases.contains(inner.as_str()) {
            return Ok(EntryRef::Alias(inner.as_str().to_owned()));
        }
        Err(error_at(&inner, "no process has this name"))
    }

    pub(super) fn resolve_process(&self, pair: Pair<'_, Rule>) -> ParseResult<ProcessRef> {
        let inner = single_part(pair);
        match inner.as_rule() {
            Rule::worker_ref => self.resolve_worker(inner).map(ProcessRef::Worker),
            _ => self.resolve_entry(inner).map(ProcessRef::Entry),
        }
    }

    pub(super) fn resolve_side(&self, pair: Pair<'_, Rule>) -> ParseResult<LinkSide> {
        let inner = single_part(pair);
        Ok(match inner.as_rule() {
            Rule::platform_side => LinkSide::Platform,
            Rule::workers_side => LinkSide::Workers,
            Rule::worker_ref => LinkSide::Worker(self.resolve_worker(inner)?),
            Rule::entry_side => LinkSide::Entry(self.resolve_entry(inner)?),
            _ => LinkSide::Domain(self.resolve_domain(&inner)?),
        })
    }
}
