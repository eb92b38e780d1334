//! Parsing of steps other than expectations.

use std::time::Duration;

use model::name::KeyName;
use model::object::DomainState;
use pest::iterators::Pair;
use wire::platform::VmState;

use super::grammar::Rule;
use super::{
    DEFAULT_REQUEST_DEADLINE, ParseResult, ScriptBuilder, error_at, next_part, read_amount,
    read_duration, read_limit, read_number, read_positive, single_part,
};
use crate::script::{
    AmountPatch, ApplyPlan, ConfigChange, FaultKind, FaultPlan, FaultWay, JobPlan, LoadPlan,
    PlatformFault, ScriptStep, SignalKind, StepAction, WorkerFault,
};

impl ScriptBuilder {
    pub(super) fn read_step(&mut self, pair: Pair<'_, Rule>) -> ParseResult<()> {
        let line = pair.line_col().0;
        let text = pair.as_str().trim().to_owned();
        let action = self.read_action(single_part(pair))?;
        self.script.steps.push(ScriptStep { line, text, action });
        Ok(())
    }

    fn read_action(&mut self, pair: Pair<'_, Rule>) -> ParseResult<StepAction> {
        Ok(match pair.as_rule() {
            Rule::load => StepAction::Load(self.read_load(pair)?),
            Rule::job => StepAction::Job(self.read_job(pair)?),
            Rule::wait_ready => {
                let mut inner = pair.into_inner();
                next_part(&mut inner);
                StepAction::WaitReady(read_duration(next_part(&mut inner))?)
            }
            Rule::wait => StepAction::Wait(read_duration(single_part(pair))?),
            Rule::name_step => self.read_name_step(pair)?,
            Rule::signal => self.read_signal(pair)?,
            Rule::fault => StepAction::Fault(self.read_fault(pair)?),
            Rule::heal => self.read_heal(pair)?,
            Rule::platform => StepAction::Platform(read_platform(single_part(pair))?),
            Rule::apply => StepAction::Apply(self.read_apply(pair)?),
            Rule::race => {
                let plans = pair.into_inner().map(|part| self.read_apply(part));
                StepAction::Race(plans.collect::<ParseResult<_>>()?)
            }
            Rule::worker_step => self.read_worker_step(pair)?,
            Rule::rolling => {
                let domain = pair.into_inner().next();
                StepAction::RollingRestart(
                    domain.map(|name| self.resolve_domain(&name)).transpose()?,
                )
            }
            Rule::vm => self.read_vm(pair)?,
            _ => StepAction::Expect(self.read_expect(single_part(pair))?),
        })
    }

    fn read_load(&self, pair: Pair<'_, Rule>) -> ParseResult<LoadPlan> {
        let whole = pair.clone();
        let mut inner = pair.into_inner();
        let queue = self.resolve_queue(&next_part(&mut inner))?;
        let team_name = next_part(&mut inner);
        let team = self.resolve_team(&team_name)?;
        let mut plan = LoadPlan {
            queue,
            key: Some(self.first_team_key(&team)),
            team,
            domain: self.resolve_domain(&next_part(&mut inner))?,
            rate: 0,
            run: Duration::ZERO,
            answer: 100,
            idempotent: true,
            length: Duration::ZERO,
            deadline: DEFAULT_REQUEST_DEADLINE,
            retry: 0,
        };
        for part in inner {
            match part.as_rule() {
                Rule::key_option => {
                    plan.key = Some(self.resolve_team_key(&plan.team, &single_part(part))?);
                }
                Rule::no_key => plan.key = None,
                Rule::load_rate => plan.rate = read_positive(&single_part(single_part(part)))?,
                Rule::run_option => plan.run = read_duration(single_part(part))?,
                Rule::answer => plan.answer = read_number(&single_part(single_part(part)))?,
                Rule::idempotent => plan.idempotent = true,
                Rule::non_idempotent => plan.idempotent = false,
                Rule::length => plan.length = read_duration(single_part(part))?,
                Rule::deadline => plan.deadline = read_duration(single_part(part))?,
                _ => plan.retry = read_number(&single_part(part))?,
            }
        }
        if plan.rate == 0 || plan.length.is_zero() {
            return Err(error_at(&whole, "a load needs `rate N/s` and `for DURATION`"));
        }
        Ok(plan)
    }

    fn read_job(&self, pair: Pair<'_, Rule>) -> ParseResult<JobPlan> {
        let mut inner = pair.into_inner();
        let team = self.resolve_team(&next_part(&mut inner))?;
        let mut plan = JobPlan {
            key: self.first_team_key(&team),
            team,
            queue: self.resolve_queue(&next_part(&mut inner))?,
            domain: None,
            tasks: 1,
            amounts: AmountPatch::default(),
            run: Duration::from_secs(1),
        };
        for part in inner {
            match part.as_rule() {
                Rule::key_option => {
                    plan.key = self.resolve_team_key(&plan.team, &single_part(part))?;
                }
                Rule::tasks => plan.tasks = read_positive(&single_part(part))?,
                Rule::amount => read_amount(&mut plan.amounts, part)?,
                Rule::run_option => plan.run = read_duration(single_part(part))?,
                _ => plan.domain = Some(self.resolve_domain(&single_part(part))?),
            }
        }
        Ok(plan)
    }

    fn read_name_step(&mut self, pair: Pair<'_, Rule>) -> ParseResult<StepAction> {
        let mut inner = pair.into_inner();
        let process = self.resolve_process(next_part(&mut inner))?;
        let alias = single_part(next_part(&mut inner)).as_str().to_owned();
        self.process_aliases.insert(alias.clone());
        Ok(StepAction::Name(process, alias))
    }

    fn read_signal(&mut self, pair: Pair<'_, Rule>) -> ParseResult<StepAction> {
        let mut inner = pair.into_inner();
        let kind = match next_part(&mut inner).as_str() {
            "kill" => SignalKind::Kill,
            "pause" => SignalKind::Pause,
            "resume" => SignalKind::Resume,
            "terminate" => SignalKind::Terminate,
            _ => SignalKind::Start,
        };
        let process = self.resolve_process(next_part(&mut inner))?;
        let alias = inner.next().map(|alias| single_part(alias).as_str().to_owned());
        self.process_aliases.extend(alias.clone());
        Ok(StepAction::Signal { kind, process, alias })
    }

    fn read_fault(&mut self, pair: Pair<'_, Rule>) -> ParseResult<FaultPlan> {
        let whole = pair.clone();
        let mut inner = pair.into_inner();
        let kind = next_part(&mut inner).as_str();
        let left = self.resolve_side(next_part(&mut inner))?;
        let right = self.resolve_side(next_part(&mut inner))?;
        let (mut way, mut delay, mut alias) = (FaultWay::Both, None, None);
        for part in inner {
            match part.as_rule() {
                Rule::way if single_part(part.clone()).as_str() == "to-target" => {
                    way = FaultWay::ToTarget;
                }
                Rule::way => way = FaultWay::ToClient,
                Rule::duration => delay = Some(read_duration(part)?),
                _ => alias = Some(single_part(part).as_str().to_owned()),
            }
        }
        let kind = match (kind, delay) {
            ("delay", Some(delay)) => FaultKind::Delay(delay),
            ("delay", None) => return Err(error_at(&whole, "`delay` needs a duration")),
            (_, Some(_)) => return Err(error_at(&whole, "only `delay` takes a duration")),
            ("cut", None) => FaultKind::Cut,
            ("freeze", None) => FaultKind::Freeze,
            ("reset", None) => FaultKind::Reset,
            (_, None) => FaultKind::DropReplies,
        };
        self.fault_aliases.extend(alias.clone());
        Ok(FaultPlan { kind, left, right, way, alias })
    }

    fn read_heal(&self, pair: Pair<'_, Rule>) -> ParseResult<StepAction> {
        let name = single_part(pair);
        match name.as_str() {
            "all" => Ok(StepAction::Heal(None)),
            text if self.fault_aliases.contains(text) => {
                Ok(StepAction::Heal(Some(text.to_owned())))
            }
            _ => Err(error_at(&name, "no network fault has this name")),
        }
    }

    fn read_apply(&mut self, pair: Pair<'_, Rule>) -> ParseResult<ApplyPlan> {
        let mut inner = pair.into_inner();
        let change = self.read_change(single_part(next_part(&mut inner)))?;
        let (mut via, mut alias) = (None, None);
        for part in inner {
            match part.as_rule() {
                Rule::entry_ref => via = Some(self.resolve_entry(part)?),
                _ => alias = Some(single_part(part).as_str().to_owned()),
            }
        }
        self.change_aliases.extend(alias.clone());
        Ok(ApplyPlan { change, via, alias })
    }

    fn read_change(&mut self, pair: Pair<'_, Rule>) -> ParseResult<ConfigChange> {
        let rule = pair.as_rule();
        let mut inner = pair.into_inner();
        let name = next_part(&mut inner);
        Ok(match rule {
            Rule::withdraw => ConfigChange::Withdraw(self.resolve_key(&name)?),
            Rule::grant => {
                let key = KeyName::from(name.as_str());
                let team = self.resolve_team(&next_part(&mut inner))?;
                self.granted_keys.insert(key.clone(), team.clone());
                ConfigChange::Grant(key, team)
            }
            Rule::limit_change => {
                ConfigChange::Limit(self.resolve_team(&name)?, read_limit(inner)?)
            }
            Rule::share_change => ConfigChange::Share(
                self.resolve_team(&name)?,
                read_positive(&next_part(&mut inner))?,
            ),
            _ => {
                let state = match next_part(&mut inner).as_str() {
                    "in" => DomainState::In,
                    _ => DomainState::Out,
                };
                ConfigChange::Domain(self.resolve_domain(&name)?, state)
            }
        })
    }

    fn read_worker_step(&self, pair: Pair<'_, Rule>) -> ParseResult<StepAction> {
        let mut inner = pair.into_inner();
        let worker = self.resolve_worker(next_part(&mut inner))?;
        let part = next_part(&mut inner);
        if part.as_rule() == Rule::leave {
            return Ok(StepAction::Leave(worker));
        }
        let mut fault = WorkerFault::default();
        for flag in part.into_inner() {
            let whole = flag.clone();
            let mut parts = flag.into_inner();
            let name = next_part(&mut parts);
            let delay = parts.next().map(read_duration).transpose()?;
            match (name.as_str(), delay) {
                ("answer-delay", Some(delay)) => fault.answer_delay = delay,
                ("answer-delay", None) => {
                    return Err(error_at(&whole, "`answer-delay` needs a duration"));
                }
                (_, Some(_)) => {
                    return Err(error_at(&whole, "only `answer-delay` takes a duration"));
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
        let process = self.resolve_process(next_part(&mut inner))?;
        let state = match next_part(&mut inner).as_str() {
            "live" => Some(VmState::Live),
            "leaving" => Some(VmState::Leaving),
            _ => None,
        };
        Ok(StepAction::Vm(process, state))
    }
}

fn read_platform(pair: Pair<'_, Rule>) -> ParseResult<PlatformFault> {
    Ok(match pair.as_rule() {
        Rule::platform_down => PlatformFault::Down,
        Rule::platform_up => PlatformFault::Up,
        Rule::platform_slow => PlatformFault::Slow(read_duration(single_part(pair))?),
        _ => {
            let mut inner = pair.into_inner();
            let count = read_positive(&next_part(&mut inner))?;
            let prefix = inner.next().map(|prefix| prefix.as_str().to_owned());
            PlatformFault::LoseReplies { count, prefix }
        }
    })
}
