//! Requests: queue limits, order of service, refusals and grants.

mod support;

use std::sync::Arc;

use model::kind::ErrorKind;
use model::object::DomainState;
use model::time::ClockMillis;
use policy::event::{CellDecision, CellEvent, SlotRequest};
use policy::rules::PolicyRules;
use support::{TestCell, amounts, grants, object_set, with_weight};

fn refusals(decisions: &[CellDecision]) -> Vec<(u64, ErrorKind)> {
    let refusal = |decision: &CellDecision| match decision {
        CellDecision::RefuseRequest { ticket, kind } => Some((*ticket, *kind)),
        _ => None,
    };
    decisions.iter().filter_map(refusal).collect()
}

/// Fills the two slots of the only worker and returns the cell.
fn full_cell() -> TestCell {
    let mut cell = TestCell::with_set(object_set(1, amounts(8, 32, 0, 2)));
    assert_eq!(grants(&cell.request_slot(1, "a-ask", 60_000)).len(), 1);
    assert_eq!(grants(&cell.request_slot(2, "a-ask", 60_000)).len(), 1);
    cell
}

/// Guards against requests that are all sent to one worker while others are idle.
#[test]
fn requests_spread_over_workers() {
    let mut cell = TestCell::with_workers(3);
    let mut workers: Vec<_> = (1..=3)
        .flat_map(|ticket| grants(&cell.request_slot(ticket, "a-ask", 1_000)))
        .map(|grant| grant.1)
        .collect();
    workers.sort();
    assert_eq!(workers, ["w0", "w1", "w2"].map(Into::into));
}

/// Guards against a worker that is overloaded because a grant reserves only a slot and not
/// the amounts of the request's class.
#[test]
fn grants_reserve_class_amounts() {
    let mut cell = TestCell::with_set(object_set(1, amounts(2, 32, 0, 8)));
    for ticket in 1..=3 {
        cell.request_slot(ticket, "a-ask", 60_000);
    }
    assert_eq!(cell.team_usage("a"), amounts(2, 2, 0, 2));
}

/// Guards against queues that grow without a limit.
#[test]
fn full_queue_refuses() {
    let mut cell = full_cell();
    for ticket in 3..13 {
        assert!(cell.request_slot(ticket, "a-ask", 60_000).is_empty());
    }
    assert_eq!(refusals(&cell.request_slot(13, "a-ask", 60_000)), [(13, ErrorKind::QueueFull)]);
    assert!(cell.request_slot(14, "b-ask", 60_000).is_empty(), "another queue has its own bound");
}

/// Guards against requests that stay queued or are granted after their latest start.
#[test]
fn expired_requests_are_refused() {
    let mut cell = full_cell();
    cell.request_slot(3, "a-ask", 500);
    assert!(cell.advance(500).is_empty(), "the latest start itself is in time");
    assert_eq!(refusals(&cell.advance(1)), [(3, ErrorKind::DeadlineNotMet)]);
    assert!(grants(&cell.end_request(1)).is_empty());
}

/// Guards against requests that wait in queues which take jobs, do not exist, or are
/// removed while they wait.
#[test]
fn unknown_queues_are_refused() {
    let mut cell = full_cell();
    assert_eq!(refusals(&cell.request_slot(3, "z-ask", 500)), [(3, ErrorKind::NotFound)]);
    assert_eq!(refusals(&cell.request_slot(4, "a-batch", 500)), [(4, ErrorKind::NotFound)]);
    cell.request_slot(5, "c-ask", 5_000);
    let mut set = object_set(1, amounts(8, 32, 0, 2));
    set.queues.retain(|queue| queue.name.as_str() != "c-ask");
    let decisions = cell.apply_event(CellEvent::Config(Arc::new(set)));
    assert_eq!(refusals(&decisions), [(5, ErrorKind::NotFound)]);
}

/// Guards against waiting requests that are served in another order than by urgency, then
/// weighted share of their team, then arrival.
#[test]
fn urgency_then_share_then_arrival() {
    let set = with_weight(object_set(1, amounts(8, 32, 0, 6)), "b", 4);
    let mut cell = TestCell::with_set(set);
    for (ticket, queue) in
        [(1, "a-ask"), (2, "a-ask"), (3, "b-ask"), (4, "b-ask"), (5, "c-ask"), (6, "c-ask")]
    {
        assert_eq!(grants(&cell.request_slot(ticket, queue, 60_000)).len(), 1);
    }
    for (ticket, queue) in [(10, "a-ask"), (11, "c-ask"), (12, "b-ask"), (13, "a-now")] {
        assert!(cell.request_slot(ticket, queue, 60_000).is_empty());
    }
    let mut next = |ticket| grants(&cell.end_request(ticket)).first().map(|grant| grant.0);
    assert_eq!(next(1), Some(13), "urgent first");
    assert_eq!(next(2), Some(12), "b uses twice as much as a, but weighs four times as much");
    assert_eq!(next(13), Some(10), "a uses nothing");
    assert_eq!(next(10), Some(11));
}

/// Guards against requests that wait until their deadline although the rate at which
/// their queue is served shows on arrival that they cannot start in time.
#[test]
fn late_requests_are_refused_early() {
    for (early_refusal, expected) in
        [(true, vec![(30, ErrorKind::DeadlineNotMet)]), (false, vec![])]
    {
        let rules = PolicyRules { early_refusal, ..PolicyRules::ALL };
        let mut cell = TestCell::with_rules(object_set(1, amounts(8, 32, 0, 1)), rules);
        for ticket in 1..=10 {
            cell.request_slot(ticket, "a-ask", 600_000);
        }
        for ticket in 1..=9 {
            cell.now += 1_000;
            cell.end_request(ticket);
            cell.request_slot(ticket + 10, "a-ask", 600_000);
        }
        assert_eq!(refusals(&cell.request_slot(30, "a-ask", 2_000)), expected);
        assert!(refusals(&cell.request_slot(31, "a-ask", 600_000)).is_empty() == early_refusal);
    }
}

/// Guards against retries that return to the worker on which the request just failed,
/// while others are free.
#[test]
fn avoided_workers_are_a_last_resort() {
    let mut cell = TestCell::with_workers(2);
    let request = |ticket, avoid: &[&str], now| {
        CellEvent::RequestArrived(SlotRequest {
            ticket,
            queue: "a-ask".into(),
            start_by: ClockMillis(now + 1_000),
            avoid: avoid.iter().map(|name| (*name).into()).collect(),
        })
    };
    for ticket in 1..=3 {
        let decisions = cell.apply_event(request(ticket, &["w0"], cell.now));
        assert_eq!(grants(&decisions), [(ticket, "w1".into())]);
    }
    let decisions = cell.apply_event(request(4, &["w0", "w1"], cell.now));
    assert_eq!(grants(&decisions).len(), 1, "all workers are avoided");
}

/// Guards against requests that wait or are granted in a domain that is out.
#[test]
fn domain_out_refuses_waiting_and_new_requests() {
    let mut cell = full_cell();
    cell.request_slot(3, "a-ask", 60_000);
    let mut set = object_set(1, amounts(8, 32, 0, 2));
    set.domains[0].state = DomainState::Out;
    let decisions = cell.apply_event(CellEvent::Config(Arc::new(set.clone())));
    assert_eq!(refusals(&decisions), [(3, ErrorKind::DomainOut)]);
    assert!(cell.end_request(1).is_empty());
    assert_eq!(refusals(&cell.request_slot(4, "a-ask", 60_000)), [(4, ErrorKind::DomainOut)]);
    set.domains[0].state = DomainState::In;
    cell.apply_event(CellEvent::Config(Arc::new(set)));
    assert_eq!(grants(&cell.request_slot(5, "a-ask", 60_000)).len(), 1);
}

/// Guards against slots that are freed because a report requested before the grant does
/// not count them yet.
#[test]
fn older_report_frees_no_slot() {
    let mut cell = TestCell::with_set(object_set(1, amounts(8, 32, 0, 2)));
    let old = cell.worker_update("w0", Some(Vec::new()));
    cell.now += 10;
    cell.request_slot(1, "a-ask", 1_000);
    cell.request_slot(2, "a-ask", 1_000);
    cell.apply_event(CellEvent::WorkerReported(old));
    assert!(grants(&cell.request_slot(3, "a-ask", 60_000)).is_empty());
    // An entry that was killed never ends its requests; a report long after their latest
    // start shows that none of them runs.
    cell.now += 10_000;
    let decisions = cell.report("w0", Vec::new());
    assert_eq!(grants(&decisions), [(3, "w0".into())]);
}

/// Guards against slots that are granted twice, or count for no team, because an earlier
/// owner granted them and the new one knows only the worker's count of used slots.
#[test]
fn slots_of_an_earlier_owner_count() {
    let set = object_set(1, amounts(8, 32, 0, 2));
    let mut cell = TestCell::with_rules(set.clone(), PolicyRules::ALL);
    cell.cell = policy::cell::Cell::new("d".into(), 1, 1_000);
    cell.apply_event(CellEvent::Config(Arc::new(set)));
    cell.set_allotment("a", amounts(8, 32, 0, 2));
    let mut update = cell.worker_update("w0", Some(Vec::new()));
    update.slots_used = 1;
    cell.apply_event(CellEvent::WorkerReported(update));
    assert_eq!(cell.team_usage("a"), amounts(1, 1, 0, 1));
    assert_eq!(grants(&cell.request_slot(1, "a-ask", 1_000)).len(), 1);
    assert!(grants(&cell.request_slot(2, "a-ask", 60_000)).is_empty());
    cell.now += 2_000;
    let mut update = cell.worker_update("w0", None);
    update.slots_used = 0;
    let decisions = cell.apply_event(CellEvent::WorkerReported(update));
    assert_eq!(grants(&decisions).len(), 1, "the slot came free");
}

/// Guards against a team that waits at its allotment without a request for more, and
/// against such requests in every event.
#[test]
fn request_waits_for_allotment() {
    let mut cell = TestCell::with_workers(1);
    cell.set_allotment("a", amounts(1, 1, 0, 1));
    cell.request_slot(1, "a-ask", 60_000);
    let allotment_requests = |decisions: &[CellDecision]| {
        decisions.iter().filter(|one| matches!(one, CellDecision::RequestAllotment { .. })).count()
    };
    assert_eq!(allotment_requests(&cell.request_slot(2, "a-ask", 60_000)), 1);
    assert_eq!(
        allotment_requests(&cell.request_slot(3, "a-ask", 60_000)),
        0,
        "not again within 200 ms"
    );
    assert_eq!(allotment_requests(&cell.advance(200)), 1);
    let decisions = cell.set_allotment("a", amounts(2, 2, 0, 2));
    assert_eq!(grants(&decisions), [(2, "w0".into())]);
}

/// Guards against a team without an allotment that runs work, as if it had no limit.
#[test]
fn team_without_allotment_runs_nothing() {
    let mut cell = TestCell::with_set(object_set(1, amounts(8, 32, 0, 2)));
    cell.cell = policy::cell::Cell::new("d".into(), 1, 0);
    cell.apply_event(CellEvent::Config(Arc::new(object_set(1, amounts(8, 32, 0, 2)))));
    cell.report("w0", Vec::new());
    assert!(grants(&cell.request_slot(1, "a-ask", 1_000)).is_empty());
}
