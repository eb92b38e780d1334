//! Explanations of where a job would go.

#[allow(dead_code, reason = "each test file uses a part of the helpers")]
mod support;

use model::name::WorkerName;
use model::resource::ResourceAmounts;
use plan::advice::{AdviceDispatcher, CallTimes};
use plan::config::{PlanConfig, TeamRule};
use plan::decision::PlanDecision;
use plan::explain::{
    ExpectedOutcome, ExplainContext, ExplainQuestion, Explanation, RefusalReason, UnknownName,
    WaitReason,
};
use plan::job::StepSpec;
use plan::order::RankClass;
use plan::preempt::PreemptionVerdict;
use plan::room::PendingRoom;
use plan::worker::StartAnswer;
use support::{PlannerFixture, WORKER_CPU, config, cpu, job, present_run, step, worker};

fn question(queue: &str, steps: Vec<StepSpec>) -> ExplainQuestion {
    ExplainQuestion { queue: queue.into(), team: Some("red".into()), steps, schedule: None }
}

fn ask(fixture: &PlannerFixture, question: ExplainQuestion) -> Result<Explanation, UnknownName> {
    let (dispatcher, storing_calls) = (AdviceDispatcher::default(), CallTimes::default());
    let storing_room = PendingRoom::default();
    let context = ExplainContext {
        dispatcher: &dispatcher,
        storing_calls: &storing_calls,
        storing_room: &storing_room,
        now_ms: fixture.now_ms,
        unix_ms: fixture.now_ms,
    };
    fixture.planner.explain(question, context)
}

fn explain(fixture: &PlannerFixture, queue: &str, steps: Vec<StepSpec>) -> Explanation {
    ask(fixture, question(queue, steps)).expect("known names")
}

/// Returns a step whose tasks save their progress and take long.
fn long_step(count: u32, cpu_millis: u64) -> StepSpec {
    StepSpec { checkpoint: true, estimate_ms: 20_000, ..step(count, cpu(cpu_millis)) }
}

/// Returns a planner whose workers are full of long batch work, with more of it waiting for 3 s.
fn full_fixture() -> PlannerFixture {
    let mut fixture = PlannerFixture::new(4, config());
    fixture.add(job("long", "batch", vec![long_step(8, WORKER_CPU / 2)]));
    fixture.add(job("more", "batch", vec![long_step(200, WORKER_CPU / 2)]));
    let orders = fixture.run_starts(StartAnswer::Started);
    assert_eq!(orders.len(), 8);
    for _ in 0..30 {
        fixture.now_ms += 100;
        for index in 0..4 {
            let name = worker(index).name;
            let here = orders.iter().filter(|order| order.worker == name);
            fixture.report(&name, here.map(present_run).collect(), Vec::new());
        }
        fixture.decide();
    }
    fixture
}

fn all_questions() -> Vec<ExplainQuestion> {
    let gang = StepSpec { gang: true, ..step(3, cpu(6_000)) };
    let labelled = StepSpec { label: Some("r1".into()), ..step(2, cpu(500)) };
    let later = StepSpec { after: [0].into_iter().collect(), ..step(1, cpu(500)) };
    let steps = vec![step(9, cpu(1_000)), later, gang, labelled];
    ["urgent", "normal", "batch", "advised"]
        .into_iter()
        .map(|queue| question(queue, steps.clone()))
        .collect()
}

/// Guards against a question that changes what is decided: two planners in the same state, of which
/// one is asked before each decision, must decide the same, with room, without it, and while runs of
/// an earlier owner are unreported.
#[test]
fn asking_changes_no_decision() {
    let history = |is_asked: bool| {
        let mut fixture = full_fixture();
        let mut log: Vec<PlanDecision> = Vec::new();
        for round in 0..40_usize {
            if is_asked {
                for question in all_questions() {
                    ask(&fixture, question).expect("known names");
                }
            }
            let queue = ["urgent", "normal", "advised"][round % 3];
            let gang = round.is_multiple_of(4);
            let tasks = StepSpec { gang, ..step(2, cpu(3_000)) };
            fixture.add(job(&format!("job{round}"), queue, vec![tasks]));
            if round == 20 {
                fixture.planner.inherit_workers([].into(), ResourceAmounts::ZERO);
            }
            fixture.now_ms += 60;
            log.extend(fixture.decide());
        }
        let examined = (
            fixture.planner.examined_worker_count(),
            fixture.planner.examined_step_count(),
            fixture.planner.examined_job_count(),
        );
        (log, examined, format!("{:?}", fixture.planner))
    };
    let (asked, unasked) = (history(true), history(false));
    assert!(!asked.0.is_empty(), "the planners decide something");
    assert_eq!(asked, unasked);
}

/// Guards against an explanation of another placement than the one that follows.
#[test]
fn tasks_start_where_the_explanation_says() {
    let mut fixture = PlannerFixture::new(6, config());
    fixture.add(job("first", "normal", vec![step(3, cpu(2_500))]));
    fixture.run_starts(StartAnswer::Started);
    let gang = StepSpec { gang: true, same_rack: true, ..step(4, cpu(3_000)) };
    for (index, step) in [step(5, cpu(2_000)), gang].into_iter().enumerate() {
        let explanation = explain(&fixture, "normal", vec![step.clone()]);
        assert_eq!(explanation.outcome, ExpectedOutcome::Starts);
        let named: Vec<WorkerName> = explanation.steps[0]
            .first_workers
            .iter()
            .flat_map(|place| vec![place.worker.clone(); place.tasks as usize])
            .collect();
        fixture.add(job(&format!("next{index}"), "normal", vec![step]));
        let starts = fixture.run_starts(StartAnswer::Started);
        let started: Vec<_> = starts.into_iter().map(|order| order.worker).collect();
        assert_eq!(named, started);
    }
}

/// Guards against workers that are counted as usable for a step, or are missing from the counts.
#[test]
fn workers_are_counted_by_what_keeps_them_away() {
    let mut config = config();
    config.domains_out.insert("south".into());
    let mut fixture = PlannerFixture::new(8, config);
    let mut draining = worker(0);
    draining.draining = true;
    fixture.planner.set_worker(draining);
    fixture.planner.set_silent(&worker(2).name, true);
    let labelled = StepSpec { label: Some("r0".into()), ..step(1, cpu(1_000)) };
    let explanation = explain(&fixture, "normal", vec![step(1, cpu(1_000)), labelled]);
    let [all, labelled] = &explanation.steps[..] else { panic!("two steps: {explanation:?}") };
    assert_eq!((all.workers.in_pool, all.workers.with_label, all.workers.usable), (8, 8, 2));
    let unusable = all.workers.unusable;
    assert_eq!((unusable.draining, unusable.silent, unusable.domain_out), (1, 1, 4));
    assert_eq!((labelled.workers.with_label, labelled.workers.usable), (2, 0));
    assert_eq!(labelled.waits_for, Some(WaitReason::NoUsableWorker));
    let missing = StepSpec { label: Some("no-such".into()), ..step(1, cpu(1_000)) };
    let explanation = explain(&fixture, "normal", vec![missing]);
    assert_eq!(explanation.outcome, ExpectedOutcome::CannotRun);
    assert_eq!(explanation.steps[0].waits_for, Some(WaitReason::NoWorker));
}

/// Guards against a step that is said to start although its team is at its limit, and against a team
/// beyond its share that is not shown as such.
#[test]
fn limit_and_share_of_the_team_are_shown() {
    let mut config: PlanConfig = config();
    let limit = ResourceAmounts { cpu_millis: 5_000, ..ResourceAmounts::UNLIMITED };
    config.teams.insert("red".into(), TeamRule { weight: 1, limit });
    let mut fixture = PlannerFixture::new(4, config);
    for index in 0..3 {
        fixture.add(job(&format!("j{index}"), "normal", vec![step(1, cpu(1_000))]));
    }
    fixture.run_starts(StartAnswer::Started);
    let explanation = explain(&fixture, "normal", vec![step(4, cpu(1_000))]);
    let team = explanation.team.expect("the team");
    assert_eq!((team.limit.cpu_millis, team.limit.memory_mb), (Some(5_000), None));
    assert_eq!((team.used.cpu_millis, team.weight), (3_000, 1));
    assert!(team.beyond_share);
    assert_eq!(explanation.rank, RankClass::BeyondShare);
    let step_view = &explanation.steps[0];
    assert_eq!((step_view.team_allows, step_view.startable), (Some(2), 2));
    assert_eq!(step_view.waits_for, Some(WaitReason::TeamLimit));
    let mut unknown = question("normal", vec![step(1, cpu(1_000))]);
    unknown.team = Some("green".into());
    assert_eq!(ask(&fixture, unknown), Err(UnknownName::Team));
    assert_eq!(ask(&fixture, question("none", Vec::new())), Err(UnknownName::Queue));
}

/// Guards against an urgent job whose preemptions are not those that are then ordered.
#[test]
fn preempted_runs_are_named() {
    let mut fixture = full_fixture();
    let explanation = explain(&fixture, "urgent", vec![step(2, cpu(4_000))]);
    assert_eq!(explanation.outcome, ExpectedOutcome::Waits);
    assert!(explanation.short_of_room);
    let urgent = &explanation.steps[0];
    assert_eq!(urgent.preemption, PreemptionVerdict::Preempts);
    let named: Vec<_> = urgent.preempted.iter().map(|run| run.task.clone()).collect();
    let same = explain(&fixture, "batch", vec![step(2, cpu(4_000))]);
    assert_eq!(same.steps[0].preemption, PreemptionVerdict::NotUrgent);
    fixture.add(job("now", "urgent", vec![step(2, cpu(4_000))]));
    fixture.now_ms += 100;
    let stops = support::stops(fixture.decide());
    let stopped: Vec<_> = stops.into_iter().map(|stop| stop.task.to_string()).collect();
    assert_eq!((named.len(), named), (2, stopped));
}

/// Guards against a job that is said to wait although it would be refused.
#[test]
fn a_refusal_and_its_wait_are_shown() {
    let mut fixture = full_fixture();
    fixture.add(job("short", "batch", vec![step(400, cpu(4_000))]));
    fixture.decide();
    let explanation = explain(&fixture, "batch", vec![step(8, cpu(4_000))]);
    assert_eq!(explanation.outcome, ExpectedOutcome::Refused, "{explanation:?}");
    let refusal = explanation.refusal.expect("a refusal");
    assert_eq!(refusal.reason, RefusalReason::Room);
    assert!(refusal.wait_ms > refusal.limit_ms, "{refusal:?}");
    assert!(refusal.retry_after_s.is_some_and(|(first, last)| first <= last));
    assert_eq!(explanation.room_wait_ms, Some(refusal.wait_ms));
}

/// Guards against a question whose steps keep the owner from its decisions, and against a step that
/// seems to start while others of its job have to be done first.
#[test]
fn later_and_further_steps_do_not_start() {
    let fixture = PlannerFixture::new(2, config());
    let later = StepSpec { after: [0].into_iter().collect(), ..step(1, cpu(1_000)) };
    let steps = [vec![step(1, cpu(1_000))], vec![later; 2_000]].concat();
    let explanation = explain(&fixture, "advised", steps);
    assert_eq!(explanation.outcome, ExpectedOutcome::AsksForAdvice);
    assert_eq!((explanation.steps.len(), explanation.further_steps), (4, 1_997));
    assert_eq!(explanation.steps[1].waits_for, Some(WaitReason::EarlierSteps));
    assert_eq!(explanation.steps[1].startable, 0);
    let advice = explanation.steps[0].advice.expect("advice");
    assert_eq!((advice.call_ms, advice.eligible_share), (12, None));
}
