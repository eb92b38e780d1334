//! Parsing of the declarations of domains, teams, queues and options.

use model::name::{DomainName, KeyName, QueueName, TeamName};
use model::object::{ClassKind, UrgencyLevel};
use pest::iterators::Pair;

use super::grammar::Rule;
use super::{
    MAX_VMS, ParseResult, ScriptBuilder, error_at, next_part, read_duration, read_limit,
    read_number, read_positive, single_part,
};
use crate::script::{DomainLayout, QueueLayout, TeamLayout};

impl ScriptBuilder {
    pub(super) fn read_domain(&mut self, pair: Pair<'_, Rule>) -> ParseResult<()> {
        let whole = pair.clone();
        let mut inner = pair.into_inner();
        let name = next_part(&mut inner);
        let mut domain = DomainLayout {
            name: DomainName::from(name.as_str()),
            entries: 1,
            workers: 1,
            slots: 8,
            cores: 32,
            memory: 65_536,
            connections: 64,
            racks: 1,
        };
        if self.cell().domains.iter().any(|known| known.name == domain.name) {
            return Err(error_at(&name, "domain is declared twice"));
        }
        for option in inner {
            let mut parts = option.into_inner();
            let key = next_part(&mut parts);
            let number = next_part(&mut parts);
            match key.as_str() {
                "entries" => domain.entries = read_positive(&number)?,
                "workers" => domain.workers = read_number(&number)?,
                "slots" => domain.slots = read_number(&number)?,
                "cores" => domain.cores = read_number(&number)?,
                "memory" => domain.memory = read_number(&number)?,
                "connections" => domain.connections = read_positive(&number)?,
                _ => domain.racks = read_positive(&number)?,
            }
        }
        self.script.cell.domains.push(domain);
        let count = |domain: &DomainLayout| domain.entries.saturating_add(domain.workers);
        let vms = self.cell().domains.iter().map(count).fold(0, u32::saturating_add);
        if vms > MAX_VMS {
            return Err(error_at(
                &whole,
                format!("the cell has more than {MAX_VMS} entries and workers"),
            ));
        }
        Ok(())
    }

    pub(super) fn read_team(&mut self, pair: Pair<'_, Rule>) -> ParseResult<()> {
        let mut inner = pair.into_inner();
        let name = next_part(&mut inner);
        let mut team = TeamLayout {
            name: TeamName::from(name.as_str()),
            keys: Vec::new(),
            share: None,
            limit: None,
        };
        if self.cell().teams.iter().any(|known| known.name == team.name) {
            return Err(error_at(&name, "team is declared twice"));
        }
        for part in inner {
            match part.as_rule() {
                Rule::key_option => team.keys.push(KeyName::from(single_part(part).as_str())),
                Rule::share_option => team.share = Some(read_positive(&single_part(part))?),
                _ => team.limit = Some(read_limit(part.into_inner())?),
            }
        }
        if team.keys.is_empty() {
            team.keys.push(KeyName::from(name.as_str()));
        }
        let known = |key| self.cell().teams.iter().any(|other| other.keys.contains(key));
        if team.keys.iter().any(known) {
            return Err(error_at(&name, "a key of this team is declared twice"));
        }
        self.script.cell.teams.push(team);
        Ok(())
    }

    pub(super) fn read_queue(&mut self, pair: Pair<'_, Rule>) -> ParseResult<()> {
        let mut inner = pair.into_inner();
        let name = next_part(&mut inner);
        let mut queue = QueueLayout {
            name: QueueName::from(name.as_str()),
            team: self.resolve_team(&next_part(&mut inner))?,
            open: false,
            class: ClassKind::Request,
            urgency: UrgencyLevel::Normal,
            bound: None,
        };
        if self.cell().queues.iter().any(|known| known.name == queue.name) {
            return Err(error_at(&name, "queue is declared twice"));
        }
        for part in inner {
            match part.as_rule() {
                Rule::open => queue.open = true,
                Rule::class => queue.class = parse_class_kind(single_part(part).as_str()),
                Rule::urgency => queue.urgency = parse_urgency(single_part(part).as_str()),
                _ => queue.bound = Some(read_positive(&single_part(part))?),
            }
        }
        self.script.cell.queues.push(queue);
        Ok(())
    }

    pub(super) fn read_option(&mut self, pair: Pair<'_, Rule>) -> ParseResult<()> {
        let mut inner = pair.into_inner();
        let key = next_part(&mut inner);
        let duration = Some(read_duration(next_part(&mut inner))?);
        let options = &mut self.script.cell.options;
        match key.as_str() {
            "contact-bound" => options.contact_bound = duration,
            "drain" => options.drain = duration,
            _ => options.balancer_delay = duration,
        }
        Ok(())
    }
}

fn parse_class_kind(text: &str) -> ClassKind {
    match text {
        "request" => ClassKind::Request,
        "service" => ClassKind::Service,
        "gang" => ClassKind::Gang,
        _ => ClassKind::Batch,
    }
}

fn parse_urgency(text: &str) -> UrgencyLevel {
    match text {
        "urgent" => UrgencyLevel::Urgent,
        "normal" => UrgencyLevel::Normal,
        _ => UrgencyLevel::Batch,
    }
}
