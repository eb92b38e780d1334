//! Reads scenario files.
//!
//! The grammar is in `script.pest`. Names are resolved here, so that a
//! misspelt domain or team is reported with its line before anything is run.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use model::kind::RequestOutcome;
use model::name::{DomainName, KeyName, QueueName, TeamName};
use model::object::{ClassKind, DomainState, UrgencyLevel};
use pest::Parser;
use pest::error::{Error, ErrorVariant, LineColLocation};
use pest::iterators::{Pair, Pairs};
use wire::platform::VmState;

use crate::script::{
    AmountPatch, ApplyPlan, ApplyState, CellLayout, ConfigChange, DomainLayout, EntryRef,
    FaultKind, FaultPlan, FaultWay, JobPlan, LinkSide, LoadPlan, PlaceKind, PlaceRef,
    PlatformFault, ProcessRef, QueueLayout, RunExpectation, ScenarioScript, ScriptStep, SignalKind,
    StepAction, TeamLayout, WorkerFault,
};

use grammar::{Rule, ScriptParser};

mod grammar {
    #[derive(pest_derive::Parser)]
    #[grammar = "script.pest"]
    pub struct ScriptParser;
}

/// Deadline of requests whose load names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(5);
/// Most VMs of a cell: each takes two hosts of one loopback network of 254.
const MAX_VMS: u32 = 120;

/// Says where and why a scenario file cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScriptError {
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    text: String,
}

impl fmt::Display for ScriptError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(&self.text)
    }
}

impl std::error::Error for ScriptError {}

impl From<Error<Rule>> for ScriptError {
    fn from(error: Error<Rule>) -> Self {
        let (line, column) = match error.line_col {
            LineColLocation::Pos(place) | LineColLocation::Span(place, _) => place,
        };
        let error = error.renamed_rules(|rule| match rule {
            Rule::unit => "the unit `ms` or `s`".to_owned(),
            Rule::bound_kind => "`least` or `most`".to_owned(),
            Rule::ready => "`ready`".to_owned(),
            _ => format!("{rule:?}").replace('_', " "),
        });
        Self { line, column, text: error.to_string() }
    }
}

type ParseResult<T> = Result<T, ScriptError>;

/// Reads a scenario.
///
/// # Errors
/// Returns the place and a message if the text does not follow the grammar or
/// names a domain, team, queue, key or VM that the scenario does not have.
pub fn parse_script(text: &str) -> ParseResult<ScenarioScript> {
    let mut pairs = ScriptParser::parse(Rule::script, text)?;
    let mut builder = ScriptBuilder::default();
    let script = pairs.next().map(Pair::into_inner).into_iter().flatten();
    for pair in script.filter(|pair| pair.as_rule() != Rule::EOI) {
        builder.read_statement(pair)?;
    }
    Ok(builder.script)
}

fn fail(pair: &Pair<'_, Rule>, message: impl Into<String>) -> ScriptError {
    let variant = ErrorVariant::CustomError { message: message.into() };
    Error::new_from_span(variant, pair.as_span()).into()
}

fn read_number<T: FromStr>(pair: &Pair<'_, Rule>) -> ParseResult<T> {
    pair.as_str().parse().map_err(|_| fail(pair, "number is out of range"))
}

fn read_positive<T: FromStr + Default + PartialEq>(pair: &Pair<'_, Rule>) -> ParseResult<T> {
    let number = read_number(pair)?;
    if number == T::default() { Err(fail(pair, "number must not be 0")) } else { Ok(number) }
}

fn read_duration(pair: Pair<'_, Rule>) -> ParseResult<Duration> {
    let mut inner = pair.into_inner();
    let number: u64 = read_number(&take(&mut inner))?;
    let duration = match take(&mut inner).as_str() {
        "ms" => Duration::from_millis(number),
        _ => Duration::from_secs(number),
    };
    Ok(duration)
}

fn take<'i>(pairs: &mut Pairs<'i, Rule>) -> Pair<'i, Rule> {
    pairs.next().expect("the grammar requires this part")
}

fn only(pair: Pair<'_, Rule>) -> Pair<'_, Rule> {
    take(&mut pair.into_inner())
}

fn read_amounts(patch: &mut AmountPatch, pair: Pair<'_, Rule>) -> ParseResult<()> {
    let mut inner = pair.into_inner();
    let key = take(&mut inner);
    let number = read_number(&take(&mut inner))?;
    let field = match key.as_str() {
        "slots" => &mut patch.slots,
        "cpu" => &mut patch.cpu,
        "memory" => &mut patch.memory,
        _ => &mut patch.accelerators,
    };
    *field = Some(number);
    Ok(())
}

fn read_limit(pairs: Pairs<'_, Rule>) -> ParseResult<AmountPatch> {
    let mut patch = AmountPatch::default();
    for pair in pairs {
        read_amounts(&mut patch, pair)?;
    }
    Ok(patch)
}

/// Collects the statements of one file and knows the names declared so far.
#[derive(Default)]
struct ScriptBuilder {
    script: ScenarioScript,
    processes: BTreeSet<String>,
    faults: BTreeSet<String>,
    changes: BTreeSet<String>,
    granted: BTreeMap<KeyName, TeamName>,
}

impl ScriptBuilder {
    fn cell(&self) -> &CellLayout {
        &self.script.cell
    }

    fn read_statement(&mut self, pair: Pair<'_, Rule>) -> ParseResult<()> {
        match pair.as_rule() {
            Rule::domain => self.read_domain(pair),
            Rule::team => self.read_team(pair),
            Rule::queue => self.read_queue(pair),
            Rule::option => self.read_option(pair),
            _ => self.read_step(pair),
        }
    }

    fn read_domain(&mut self, pair: Pair<'_, Rule>) -> ParseResult<()> {
        let whole = pair.clone();
        let mut inner = pair.into_inner();
        let name = take(&mut inner);
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
            return Err(fail(&name, "domain is declared twice"));
        }
        for option in inner {
            let mut parts = option.into_inner();
            let key = take(&mut parts);
            let number = take(&mut parts);
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
            return Err(fail(
                &whole,
                format!("the cell has more than {MAX_VMS} entries and workers"),
            ));
        }
        Ok(())
    }

    fn read_team(&mut self, pair: Pair<'_, Rule>) -> ParseResult<()> {
        let mut inner = pair.into_inner();
        let name = take(&mut inner);
        let mut team = TeamLayout {
            name: TeamName::from(name.as_str()),
            keys: Vec::new(),
            share: None,
            limit: None,
        };
        if self.cell().teams.iter().any(|known| known.name == team.name) {
            return Err(fail(&name, "team is declared twice"));
        }
        for part in inner {
            match part.as_rule() {
                Rule::key_option => team.keys.push(KeyName::from(only(part).as_str())),
                Rule::share_option => team.share = Some(read_positive(&only(part))?),
                _ => team.limit = Some(read_limit(part.into_inner())?),
            }
        }
        if team.keys.is_empty() {
            team.keys.push(KeyName::from(name.as_str()));
        }
        let known = |key| self.cell().teams.iter().any(|other| other.keys.contains(key));
        if team.keys.iter().any(known) {
            return Err(fail(&name, "a key of this team is declared twice"));
        }
        self.script.cell.teams.push(team);
        Ok(())
    }

    fn read_queue(&mut self, pair: Pair<'_, Rule>) -> ParseResult<()> {
        let mut inner = pair.into_inner();
        let name = take(&mut inner);
        let mut queue = QueueLayout {
            name: QueueName::from(name.as_str()),
            team: self.team(&take(&mut inner))?,
            open: false,
            class: ClassKind::Request,
            urgency: UrgencyLevel::Normal,
            bound: None,
        };
        if self.cell().queues.iter().any(|known| known.name == queue.name) {
            return Err(fail(&name, "queue is declared twice"));
        }
        for part in inner {
            match part.as_rule() {
                Rule::open => queue.open = true,
                Rule::class => queue.class = class_kind(only(part).as_str()),
                Rule::urgency => queue.urgency = urgency_level(only(part).as_str()),
                _ => queue.bound = Some(read_positive(&only(part))?),
            }
        }
        self.script.cell.queues.push(queue);
        Ok(())
    }

    fn read_option(&mut self, pair: Pair<'_, Rule>) -> ParseResult<()> {
        let mut inner = pair.into_inner();
        let key = take(&mut inner);
        let duration = Some(read_duration(take(&mut inner))?);
        let options = &mut self.script.cell.options;
        match key.as_str() {
            "contact-bound" => options.contact_bound = duration,
            "drain" => options.drain = duration,
            _ => options.balancer_delay = duration,
        }
        Ok(())
    }

    fn read_step(&mut self, pair: Pair<'_, Rule>) -> ParseResult<()> {
        let line = pair.line_col().0;
        let text = pair.as_str().trim().to_owned();
        let action = self.read_action(only(pair))?;
        self.script.steps.push(ScriptStep { line, text, action });
        Ok(())
    }

    fn read_action(&mut self, pair: Pair<'_, Rule>) -> ParseResult<StepAction> {
        Ok(match pair.as_rule() {
            Rule::load => StepAction::Load(self.read_load(pair)?),
            Rule::job => StepAction::Job(self.read_job(pair)?),
            Rule::wait_ready => {
                let mut inner = pair.into_inner();
                take(&mut inner);
                StepAction::WaitReady(read_duration(take(&mut inner))?)
            }
            Rule::wait => StepAction::Wait(read_duration(only(pair))?),
            Rule::name_step => self.read_name(pair)?,
            Rule::signal => self.read_signal(pair)?,
            Rule::fault => StepAction::Fault(self.read_fault(pair)?),
            Rule::heal => self.read_heal(pair)?,
            Rule::platform => StepAction::Platform(read_platform(only(pair))?),
            Rule::apply => StepAction::Apply(self.read_apply(pair)?),
            Rule::race => {
                let plans = pair.into_inner().map(|part| self.read_apply(part));
                StepAction::Race(plans.collect::<ParseResult<_>>()?)
            }
            Rule::worker_step => self.read_worker_step(pair)?,
            Rule::rolling => {
                let domain = pair.into_inner().next();
                StepAction::RollingRestart(domain.map(|name| self.domain(&name)).transpose()?)
            }
            Rule::vm => self.read_vm(pair)?,
            _ => StepAction::Expect(self.read_expect(only(pair))?),
        })
    }

    fn read_load(&self, pair: Pair<'_, Rule>) -> ParseResult<LoadPlan> {
        let whole = pair.clone();
        let mut inner = pair.into_inner();
        let queue = self.queue(&take(&mut inner))?;
        let team_name = take(&mut inner);
        let team = self.team(&team_name)?;
        let mut plan = LoadPlan {
            queue,
            key: Some(self.first_key(&team)),
            team,
            domain: self.domain(&take(&mut inner))?,
            rate: 0,
            run: Duration::ZERO,
            answer: 100,
            idempotent: true,
            length: Duration::ZERO,
            deadline: DEFAULT_DEADLINE,
            retry: 0,
        };
        for part in inner {
            match part.as_rule() {
                Rule::key_option => plan.key = Some(self.key_of(&plan.team, &only(part))?),
                Rule::no_key => plan.key = None,
                Rule::load_rate => plan.rate = read_positive(&only(only(part)))?,
                Rule::run_option => plan.run = read_duration(only(part))?,
                Rule::answer => plan.answer = read_number(&only(only(part)))?,
                Rule::idempotent => plan.idempotent = true,
                Rule::non_idempotent => plan.idempotent = false,
                Rule::length => plan.length = read_duration(only(part))?,
                Rule::deadline => plan.deadline = read_duration(only(part))?,
                _ => plan.retry = read_number(&only(part))?,
            }
        }
        if plan.rate == 0 || plan.length.is_zero() {
            return Err(fail(&whole, "a load needs `rate N/s` and `for DURATION`"));
        }
        Ok(plan)
    }

    fn read_job(&self, pair: Pair<'_, Rule>) -> ParseResult<JobPlan> {
        let mut inner = pair.into_inner();
        let team = self.team(&take(&mut inner))?;
        let mut plan = JobPlan {
            key: self.first_key(&team),
            team,
            queue: self.queue(&take(&mut inner))?,
            domain: None,
            tasks: 1,
            amounts: AmountPatch::default(),
            run: Duration::from_secs(1),
        };
        for part in inner {
            match part.as_rule() {
                Rule::key_option => plan.key = self.key_of(&plan.team, &only(part))?,
                Rule::tasks => plan.tasks = read_positive(&only(part))?,
                Rule::amount => read_amounts(&mut plan.amounts, part)?,
                Rule::run_option => plan.run = read_duration(only(part))?,
                _ => plan.domain = Some(self.domain(&only(part))?),
            }
        }
        Ok(plan)
    }

    fn read_name(&mut self, pair: Pair<'_, Rule>) -> ParseResult<StepAction> {
        let mut inner = pair.into_inner();
        let process = self.process(take(&mut inner))?;
        let alias = only(take(&mut inner)).as_str().to_owned();
        self.processes.insert(alias.clone());
        Ok(StepAction::Name(process, alias))
    }

    fn read_signal(&mut self, pair: Pair<'_, Rule>) -> ParseResult<StepAction> {
        let mut inner = pair.into_inner();
        let kind = match take(&mut inner).as_str() {
            "kill" => SignalKind::Kill,
            "pause" => SignalKind::Pause,
            "resume" => SignalKind::Resume,
            "terminate" => SignalKind::Terminate,
            _ => SignalKind::Start,
        };
        let process = self.process(take(&mut inner))?;
        let alias = inner.next().map(|alias| only(alias).as_str().to_owned());
        self.processes.extend(alias.clone());
        Ok(StepAction::Signal { kind, process, alias })
    }

    fn read_fault(&mut self, pair: Pair<'_, Rule>) -> ParseResult<FaultPlan> {
        let whole = pair.clone();
        let mut inner = pair.into_inner();
        let kind = take(&mut inner).as_str();
        let left = self.side(take(&mut inner))?;
        let right = self.side(take(&mut inner))?;
        let (mut way, mut delay, mut alias) = (FaultWay::Both, None, None);
        for part in inner {
            match part.as_rule() {
                Rule::way if only(part.clone()).as_str() == "to-target" => way = FaultWay::ToTarget,
                Rule::way => way = FaultWay::ToClient,
                Rule::duration => delay = Some(read_duration(part)?),
                _ => alias = Some(only(part).as_str().to_owned()),
            }
        }
        let kind = match (kind, delay) {
            ("delay", Some(delay)) => FaultKind::Delay(delay),
            ("delay", None) => return Err(fail(&whole, "`delay` needs a duration")),
            (_, Some(_)) => return Err(fail(&whole, "only `delay` takes a duration")),
            ("cut", None) => FaultKind::Cut,
            ("freeze", None) => FaultKind::Freeze,
            ("reset", None) => FaultKind::Reset,
            (_, None) => FaultKind::DropReplies,
        };
        self.faults.extend(alias.clone());
        Ok(FaultPlan { kind, left, right, way, alias })
    }

    fn read_heal(&self, pair: Pair<'_, Rule>) -> ParseResult<StepAction> {
        let name = only(pair);
        match name.as_str() {
            "all" => Ok(StepAction::Heal(None)),
            text if self.faults.contains(text) => Ok(StepAction::Heal(Some(text.to_owned()))),
            _ => Err(fail(&name, "no network fault has this name")),
        }
    }

    fn read_apply(&mut self, pair: Pair<'_, Rule>) -> ParseResult<ApplyPlan> {
        let mut inner = pair.into_inner();
        let change = self.read_change(only(take(&mut inner)))?;
        let (mut via, mut alias) = (None, None);
        for part in inner {
            match part.as_rule() {
                Rule::entry_ref => via = Some(self.entry(part)?),
                _ => alias = Some(only(part).as_str().to_owned()),
            }
        }
        self.changes.extend(alias.clone());
        Ok(ApplyPlan { change, via, alias })
    }

    fn read_change(&mut self, pair: Pair<'_, Rule>) -> ParseResult<ConfigChange> {
        let rule = pair.as_rule();
        let mut inner = pair.into_inner();
        let name = take(&mut inner);
        Ok(match rule {
            Rule::withdraw => ConfigChange::Withdraw(self.key(&name)?),
            Rule::grant => {
                let key = KeyName::from(name.as_str());
                let team = self.team(&take(&mut inner))?;
                self.granted.insert(key.clone(), team.clone());
                ConfigChange::Grant(key, team)
            }
            Rule::limit_change => ConfigChange::Limit(self.team(&name)?, read_limit(inner)?),
            Rule::share_change => {
                ConfigChange::Share(self.team(&name)?, read_positive(&take(&mut inner))?)
            }
            _ => {
                let state = match take(&mut inner).as_str() {
                    "in" => DomainState::In,
                    _ => DomainState::Out,
                };
                ConfigChange::Domain(self.domain(&name)?, state)
            }
        })
    }

    fn read_worker_step(&self, pair: Pair<'_, Rule>) -> ParseResult<StepAction> {
        let mut inner = pair.into_inner();
        let worker = self.worker(take(&mut inner))?;
        let part = take(&mut inner);
        if part.as_rule() == Rule::leave {
            return Ok(StepAction::Leave(worker));
        }
        let mut fault = WorkerFault::default();
        for flag in part.into_inner() {
            let whole = flag.clone();
            let mut parts = flag.into_inner();
            let name = take(&mut parts);
            let delay = parts.next().map(read_duration).transpose()?;
            match (name.as_str(), delay) {
                ("answer-delay", Some(delay)) => fault.answer_delay = delay,
                ("answer-delay", None) => {
                    return Err(fail(&whole, "`answer-delay` needs a duration"));
                }
                (_, Some(_)) => {
                    return Err(fail(&whole, "only `answer-delay` takes a duration"));
                }
                ("truncate-answers", None) => fault.truncate_answers = true,
                ("swap-ids", None) => fault.swap_ids = true,
                ("fail-tasks", None) => fault.fail_tasks = true,
                (_, None) => fault = WorkerFault::default(),
            }
        }
        Ok(StepAction::WorkerFault(worker, fault))
    }

    fn read_vm(&self, pair: Pair<'_, Rule>) -> ParseResult<StepAction> {
        let mut inner = pair.into_inner();
        let process = self.process(take(&mut inner))?;
        let state = match take(&mut inner).as_str() {
            "live" => Some(VmState::Live),
            "leaving" => Some(VmState::Leaving),
            _ => None,
        };
        Ok(StepAction::Vm(process, state))
    }

    fn read_expect(&self, pair: Pair<'_, Rule>) -> ParseResult<RunExpectation> {
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

    fn domain(&self, pair: &Pair<'_, Rule>) -> ParseResult<DomainName> {
        let name = DomainName::from(pair.as_str());
        let known = self.cell().domains.iter().any(|domain| domain.name == name);
        if known { Ok(name) } else { Err(fail(pair, "no domain has this name")) }
    }

    fn team(&self, pair: &Pair<'_, Rule>) -> ParseResult<TeamName> {
        let name = TeamName::from(pair.as_str());
        let known = self.cell().teams.iter().any(|team| team.name == name);
        if known { Ok(name) } else { Err(fail(pair, "no team has this name")) }
    }

    fn queue(&self, pair: &Pair<'_, Rule>) -> ParseResult<QueueName> {
        let name = QueueName::from(pair.as_str());
        let known = self.cell().queues.iter().any(|queue| queue.name == name);
        if known { Ok(name) } else { Err(fail(pair, "no queue has this name")) }
    }

    fn key(&self, pair: &Pair<'_, Rule>) -> ParseResult<KeyName> {
        let name = KeyName::from(pair.as_str());
        let known = self.cell().teams.iter().any(|team| team.keys.contains(&name))
            || self.granted.contains_key(&name);
        if known { Ok(name) } else { Err(fail(pair, "no team has a key of this name")) }
    }

    fn key_of(&self, team: &TeamName, pair: &Pair<'_, Rule>) -> ParseResult<KeyName> {
        let key = self.key(pair)?;
        let mut layouts = self.cell().teams.iter();
        let declared = layouts.any(|layout| layout.name == *team && layout.keys.contains(&key));
        if declared || self.granted.get(&key) == Some(team) {
            Ok(key)
        } else {
            Err(fail(pair, "the key belongs to another team"))
        }
    }

    fn first_key(&self, name: &TeamName) -> KeyName {
        let team = self.cell().teams.iter().find(|team| team.name == *name);
        team.and_then(|team| team.keys.first().cloned()).unwrap_or_default()
    }

    fn place(&self, pair: Pair<'_, Rule>, is_worker: bool) -> ParseResult<PlaceRef> {
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

    fn worker(&self, pair: Pair<'_, Rule>) -> ParseResult<PlaceRef> {
        self.place(only(pair), true)
    }

    fn entry(&self, pair: Pair<'_, Rule>) -> ParseResult<EntryRef> {
        let inner = only(pair);
        if inner.as_rule() == Rule::place {
            return self.place(inner, false).map(EntryRef::Place);
        }
        if self.processes.contains(inner.as_str()) {
            return Ok(EntryRef::Alias(inner.as_str().to_owned()));
        }
        Err(fail(&inner, "no process has this name"))
    }

    fn process(&self, pair: Pair<'_, Rule>) -> ParseResult<ProcessRef> {
        let inner = only(pair);
        match inner.as_rule() {
            Rule::worker_ref => self.worker(inner).map(ProcessRef::Worker),
            _ => self.entry(inner).map(ProcessRef::Entry),
        }
    }

    fn side(&self, pair: Pair<'_, Rule>) -> ParseResult<LinkSide> {
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

fn read_within(pairs: &mut Pairs<'_, Rule>) -> ParseResult<Duration> {
    read_duration(only(take(pairs)))
}

fn read_platform(pair: Pair<'_, Rule>) -> ParseResult<PlatformFault> {
    Ok(match pair.as_rule() {
        Rule::platform_down => PlatformFault::Down,
        Rule::platform_up => PlatformFault::Up,
        Rule::platform_slow => PlatformFault::Slow(read_duration(only(pair))?),
        _ => {
            let mut inner = pair.into_inner();
            let count = read_positive(&take(&mut inner))?;
            let prefix = inner.next().map(|prefix| prefix.as_str().to_owned());
            PlatformFault::LoseReplies { count, prefix }
        }
    })
}

fn class_kind(text: &str) -> ClassKind {
    match text {
        "request" => ClassKind::Request,
        "service" => ClassKind::Service,
        "gang" => ClassKind::Gang,
        _ => ClassKind::Batch,
    }
}

fn urgency_level(text: &str) -> UrgencyLevel {
    match text {
        "urgent" => UrgencyLevel::Urgent,
        "normal" => UrgencyLevel::Normal,
        _ => UrgencyLevel::Batch,
    }
}
