//! Tests that the checker reports each broken promise and nothing in histories that
//! come close to breaking one, and that summaries are computed correctly.
//!
//! The modules are numbered after the promises in `scenario::check`.

mod builder;

use builder::{HistoryBuilder, accept_change, amounts, task_id};
use model::name::DomainName;
use model::object::DomainState;
use scenario::check;
use wire::history::WorkerEvent;
use wire::worker::RefusalReason;

/// Guards against a checker that reports violations in a correct run.
#[test]
fn clean_history() {
    let mut history = HistoryBuilder::new();
    history.answered_request(1000, "r1", "w1").answered_request(1000, "r2", "w3");
    history
        .accepted_job(2000, "j")
        .task_started(2100, "j", 0, 1, "w1")
        .task_ended(2600, "j", 0, 1, "w1");
    history.task_started(2700, "j", 0, 2, "w3").task_ended(3000, "j", 0, 2, "w3");
    history
        .process_started(500, "a-e1")
        .version_observed(1000, "a-e1", 1)
        .version_observed(9000, "a-e1", 1);
    history.assert_broken(&[]);
}

/// Guards against a run that passes because one of its histories cannot be read.
#[test]
fn unreadable_history() {
    let dir = HistoryBuilder::new().write_files();
    std::fs::write(dir.path().join("worker-w9.jsonl"), "{}\n").expect("the file can be written");
    let error = check::check_histories(dir.path()).expect_err("the record is not complete");
    assert!(error.to_string().contains("worker-w9.jsonl:1:"), "{error}");
}

/// Guards against a run that passes because one of its histories is missing.
#[test]
fn missing_history() {
    let dir = HistoryBuilder::new().write_files();
    std::fs::remove_file(dir.path().join("callers.jsonl")).expect("the file can be deleted");
    let error = check::check_histories(dir.path()).expect_err("a history is missing");
    assert!(error.to_string().contains("callers.jsonl"), "{error}");
}

/// Guards against violations that do not show the records that prove them.
#[test]
fn violation_names_its_records() {
    let mut history = HistoryBuilder::new();
    history
        .accepted_job(1000, "j")
        .task_started(1100, "j", 0, 1, "w1")
        .task_started(1200, "j", 0, 2, "w2");
    let violations = history.violations();
    let text = violations[0].to_string();
    assert!(text.starts_with("promise 2 broken at 1200000 us"), "{text}");
    assert!(text.contains(r#""at_us":1100000"#) && text.contains(r#""at_us":1200000"#), "{text}");
}

mod promise_1 {
    use super::*;

    /// Guards against tasks that reserve more than a worker's capacity.
    #[test]
    fn amounts_above_capacity() {
        let mut history = HistoryBuilder::new();
        history.without_limit().accepted_job(1000, "j");
        for index in 0..5 {
            history.task_started(1100, "j", index, 1, "w1");
        }
        history.assert_broken(&[1]);
    }

    /// Guards against a check that still counts tasks that have ended.
    #[test]
    fn ended_tasks_hold_nothing() {
        let mut history = HistoryBuilder::new();
        history.without_limit().accepted_job(1000, "j");
        for index in 0..8 {
            let at = 1100 + u64::from(index) * 100;
            history.task_started(at, "j", index, 1, "w1").task_ended(at + 50, "j", index, 1, "w1");
        }
        history.assert_broken(&[]);
    }

    /// Guards against more requests at once than a worker has slots.
    #[test]
    fn slots_above_capacity() {
        let mut history = HistoryBuilder::new();
        history.without_limit();
        for request in ["r1", "r2", "r3", "r4", "r5"] {
            history
                .sent(1000, request)
                .request_started(1100, request, 1, "w1")
                .request_ended(1200, request, 1, "w1");
            history.answered(1300, request);
        }
        history.assert_broken(&[1]);
    }

    /// Guards against more connections than a worker accepts.
    #[test]
    fn connections_above_bound() {
        let mut history = HistoryBuilder::new();
        history.sent(1000, "r1");
        history.worker_event(
            1100,
            "w1",
            WorkerEvent::RequestStarted {
                request: "r1".to_owned(),
                attempt: 1,
                team: "north".into(),
                connections: 9,
                slots_used: 1,
            },
        );
        history.request_ended(1200, "r1", 1, "w1").answered(1300, "r1");
        history.assert_broken(&[1]);
    }
}

mod promise_2 {
    use super::*;

    /// Guards against a task that is started on a second worker while it still runs.
    #[test]
    fn overlapping_attempts() {
        let mut history = HistoryBuilder::new();
        history
            .accepted_job(1000, "j")
            .task_started(1100, "j", 0, 1, "w1")
            .task_started(1500, "j", 0, 2, "w2");
        history.task_ended(1600, "j", 0, 1, "w1").task_ended(1700, "j", 0, 2, "w2");
        history.assert_broken(&[2]);
    }

    /// Guards against a check that compares only consecutive attempts of a task.
    ///
    /// The first attempt outlasts the second and overlaps the third.
    #[test]
    fn long_run_overlaps_a_later_one() {
        let mut history = HistoryBuilder::new();
        history.without_limit().accepted_job(1000, "j").task_started(1100, "j", 0, 1, "w1");
        history.task_started(1200, "j", 0, 2, "w2").task_ended(1300, "j", 0, 2, "w2");
        history.task_started(1400, "j", 0, 3, "w3").task_ended(1500, "j", 0, 3, "w3");
        history.task_ended(1600, "j", 0, 1, "w1");
        assert_eq!(history.violations().len(), 2);
        history.assert_broken(&[2]);
    }

    /// Guards against a check that treats the tasks of a killed worker as running.
    #[test]
    fn killed_worker_runs_nothing() {
        let mut history = HistoryBuilder::new();
        history.accepted_job(1000, "j").task_started(1100, "j", 0, 1, "w1").kill(1200, "w1");
        history.task_started(9700, "j", 0, 2, "w2");
        history.assert_broken(&[]);
    }

    /// Guards against a check that treats the tasks of a paused worker as running,
    /// and against one that misses that they go on after it is resumed.
    #[test]
    fn paused_worker_runs_nothing() {
        for (end, broken) in [(12_100, &[][..]), (13_000, &[2][..])] {
            let mut history = HistoryBuilder::new();
            history.accepted_job(1000, "j").task_started(1100, "j", 0, 1, "w1").pause(2000, "w1");
            history.task_started(11_000, "j", 0, 2, "w2").resume(12_000, "w1");
            history.task_ended(end, "j", 0, 1, "w1").task_ended(14_000, "j", 0, 2, "w2");
            history.assert_broken(broken);
        }
    }
}

mod promise_3 {
    use super::*;

    /// Guards against a request that runs with a key of another team.
    #[test]
    fn key_of_another_team() {
        let mut history = HistoryBuilder::new();
        history.sent_with(1000, "r1", Some("south-key"), "sheets", true);
        history
            .request_started(1100, "r1", 1, "w1")
            .request_ended(1200, "r1", 1, "w1")
            .answered_with_status(1300, "r1", 502);
        history.assert_broken(&[3]);
    }

    /// Guards against a request without a key that runs and is answered.
    #[test]
    fn no_key() {
        let mut history = HistoryBuilder::new();
        history.sent_with(1000, "r1", None, "sheets", true);
        history
            .request_started(1100, "r1", 1, "w1")
            .request_ended(1200, "r1", 1, "w1")
            .answered(1300, "r1");
        assert_eq!(history.violations().len(), 2);
        history.assert_broken(&[3]);
    }

    /// Guards against a check that requires a key in open queues.
    #[test]
    fn open_queue_needs_no_key() {
        let mut history = HistoryBuilder::new();
        history.sent_with(1000, "r1", None, "open", true);
        history
            .request_started(1100, "r1", 1, "w1")
            .request_ended(1200, "r1", 1, "w1")
            .answered(1300, "r1");
        history.assert_broken(&[]);
    }

    /// Guards against a key that works more than 5 s after its withdrawal was
    /// accepted, and against a check that reports it earlier.
    #[test]
    fn withdrawn_key() {
        for (sent, broken) in [(7000, &[][..]), (7200, &[3][..])] {
            let mut history = HistoryBuilder::new();
            history.change_sent(2000, "c2", |set| {
                set.keys.retain(|key| key.name.as_str() != "north-key");
            });
            accept_change(&mut history, 2100, "c2", 2);
            history.answered_request(sent, "r1", "w1");
            history.assert_broken(broken);
        }
    }

    /// Guards against a check that treats a pending withdrawal as accepted.
    #[test]
    fn pending_withdrawal() {
        let mut history = HistoryBuilder::new();
        history.change_sent(2000, "c2", |set| set.keys.clear()).change_answered(2100, "c2", 202, 2);
        history.answered_request(60_000, "r1", "w1");
        history.assert_broken(&[]);
    }

    /// Guards against a job that runs with a withdrawn key.
    #[test]
    fn job_with_withdrawn_key() {
        let mut history = HistoryBuilder::new();
        history.change_sent(2000, "c2", |set| set.keys.clear());
        accept_change(&mut history, 2100, "c2", 2);
        history.accepted_job(8000, "j").task_started(8100, "j", 0, 1, "w1");
        history.assert_broken(&[3]);
    }

    /// Guards against a request that runs although no caller sent it.
    #[test]
    fn work_of_nobody() {
        let mut history = HistoryBuilder::new();
        history.request_started(1000, "r1", 1, "w1").request_ended(1100, "r1", 1, "w1");
        history.assert_broken(&[3]);
    }
}

mod promise_4 {
    use super::*;

    /// Guards against a team that exceeds its limit only in the sum over all workers.
    #[test]
    fn above_limit_over_all_workers() {
        let mut history = HistoryBuilder::new();
        history
            .accepted_job(1000, "j")
            .task_started(1100, "j", 0, 1, "w1")
            .task_started(1100, "j", 1, 1, "w2");
        history.task_started(1100, "j", 2, 1, "w3").task_started(1200, "j", 3, 1, "w3");
        history.assert_broken(&[4]);
    }

    /// Guards against a check of limits that ignores the slots of requests.
    #[test]
    fn slots_above_limit() {
        let mut history = HistoryBuilder::new();
        for (request, worker) in [("r1", "w1"), ("r2", "w2"), ("r3", "w3"), ("r4", "w3")] {
            history
                .sent(1000, request)
                .request_started(1100, request, 1, worker)
                .request_ended(1200, request, 1, worker);
            history.answered(1300, request);
        }
        history.assert_broken(&[4]);
    }

    /// Guards against work above a lowered limit that goes on more than 5 s after the
    /// limit was accepted, and against a check that reports it earlier.
    #[test]
    fn lowered_limit() {
        for (end, broken) in [(7000, &[][..]), (9000, &[4][..])] {
            let mut history = HistoryBuilder::new();
            history
                .accepted_job(1000, "j")
                .task_started(1100, "j", 0, 1, "w1")
                .task_started(1100, "j", 1, 1, "w2");
            history.change_sent(2000, "c2", |set| set.limits[0].amounts = amounts(1, 1000));
            accept_change(&mut history, 2100, "c2", 2);
            history.task_ended(1500, "j", 0, 1, "w1").task_ended(end, "j", 1, 1, "w2");
            history.task_started(1600, "j", 2, 1, "w1").task_ended(end, "j", 2, 1, "w1");
            history.assert_broken(broken);
        }
    }

    /// Guards against a check that reports work under a raised limit that is pending,
    /// and against one that allows work under a raised limit that was refused.
    #[test]
    fn raised_limit() {
        for (status, broken) in [(202, &[][..]), (409, &[4][..])] {
            let mut history = HistoryBuilder::new();
            history.change_sent(2000, "c2", |set| set.limits[0].amounts = amounts(9, 9000));
            history.change_answered(2100, "c2", status, if status == 202 { 2 } else { 0 });
            history.accepted_job(2200, "j");
            for (index, worker) in [(0, "w1"), (1, "w2"), (2, "w3"), (3, "w3")] {
                history.task_started(2300, "j", index, 1, worker);
            }
            history.assert_broken(broken);
        }
    }
}

mod promise_5 {
    use super::*;

    fn set_state(set: &mut model::object::ObjectSet, state: DomainState) {
        let domain = set.domains.iter_mut().find(|it| it.name == DomainName::from("a"));
        domain.expect("the set has domain a").state = state;
    }

    /// Guards against starts in a domain more than 5 s after it was taken out, and
    /// against a check that reports earlier starts or those in other domains.
    #[test]
    fn start_in_domain_that_is_out() {
        let cases = [(7000, "w1", &[][..]), (7200, "w1", &[5][..]), (7200, "w3", &[][..])];
        for (at, worker, broken) in cases {
            let mut history = HistoryBuilder::new();
            history.change_sent(2000, "c2", |set| set_state(set, DomainState::Out));
            accept_change(&mut history, 2100, "c2", 2);
            history.accepted_job(1000, "j").task_started(at, "j", 0, 1, worker);
            history.assert_broken(broken);
        }
    }

    /// Guards against requests in a domain that is out, and against a check that
    /// misses them because a later change, which keeps the domain out, is pending.
    #[test]
    fn request_in_domain_that_is_out() {
        let mut history = HistoryBuilder::new();
        history.change_sent(2000, "c2", |set| set_state(set, DomainState::Out));
        accept_change(&mut history, 2100, "c2", 2);
        history
            .change_sent(3000, "c3", |set| set_state(set, DomainState::Out))
            .change_answered(3100, "c3", 202, 3);
        history.answered_request(7200, "r1", "w1");
        history.assert_broken(&[5]);
    }

    /// Guards against a check that reports starts after the domain was put back in.
    #[test]
    fn start_after_domain_is_back() {
        let mut history = HistoryBuilder::new();
        history.change_sent(2000, "c2", |set| set_state(set, DomainState::Out));
        accept_change(&mut history, 2100, "c2", 2);
        history.change_sent(9000, "c3", |set| set_state(set, DomainState::In));
        history.answered_request(9100, "r1", "w1");
        history.assert_broken(&[]);
    }
}

mod promise_6 {
    use super::*;

    /// Guards against an answer whose body differs from what the worker sent.
    #[test]
    fn other_digest() {
        let mut history = HistoryBuilder::new();
        history
            .sent(1000, "r1")
            .request_started(1100, "r1", 1, "w1")
            .request_ended(1200, "r1", 1, "w1");
        history.answered_with_digest(1300, "r1", "digest of r2");
        history.assert_broken(&[6]);
    }

    /// Guards against the answer of another request, which callers record with an
    /// empty digest.
    #[test]
    fn body_of_another_request() {
        let mut history = HistoryBuilder::new();
        history
            .sent(1000, "r1")
            .request_started(1100, "r1", 1, "w1")
            .request_ended(1200, "r1", 1, "w1");
        history.answered_with_digest(1300, "r1", "");
        history.assert_broken(&[6]);
    }

    /// Guards against an answer to a request that no worker ran.
    #[test]
    fn answer_from_nowhere() {
        let mut history = HistoryBuilder::new();
        history.sent(1000, "r1").answered(1300, "r1");
        history.assert_broken(&[6]);
    }
}

mod promise_7 {
    use super::*;

    /// Guards against a request that is refused as not run although it ran.
    #[test]
    fn refused_but_run() {
        let mut history = HistoryBuilder::new();
        history.sent_and_run(1000, "r1", "w1").answered_with_status(1300, "r1", 503);
        history.assert_broken(&[7]);
    }

    /// Guards against a check that reports the refusal of a retry because the first
    /// attempt ran, or the refusal of a request that did not run.
    #[test]
    fn refused_after_a_run() {
        let mut history = HistoryBuilder::new();
        history.sent_and_run(1000, "r1", "w1").answered_with_status(1300, "r1", 0);
        history.sent(1500, "r1").answered_with_status(1600, "r1", 503);
        history.sent(2000, "r2").answered_with_status(2100, "r2", 503);
        history.assert_broken(&[]);
    }

    /// Guards against a job that runs although it was refused, and against a check
    /// that reports a job whose submission had an unknown outcome.
    #[test]
    fn refused_job_ran() {
        for (status, broken) in [(503, &[7][..]), (409, &[][..]), (504, &[][..]), (0, &[][..])] {
            let mut history = HistoryBuilder::new();
            history.job_with_status(1000, "j", status);
            history.task_started(1100, "j", 0, 1, "w1").task_ended(1200, "j", 0, 1, "w1");
            history.assert_broken(broken);
        }
    }
}

mod promise_8 {
    use super::*;

    /// Guards against a non-idempotent request that runs twice, and against a check
    /// that reports an idempotent one.
    #[test]
    fn run_twice() {
        for (idempotent, broken) in [(true, &[][..]), (false, &[8][..])] {
            let mut history = HistoryBuilder::new();
            history.sent_with(1000, "r1", Some("north-key"), "sheets", idempotent);
            history.request_started(1100, "r1", 1, "w1").request_ended(1200, "r1", 1, "w1");
            history
                .request_started(1300, "r1", 2, "w3")
                .request_ended(1400, "r1", 2, "w3")
                .answered(1500, "r1");
            history.assert_broken(broken);
        }
    }
}

mod promise_9 {
    use super::*;

    /// Guards against new work on a worker more than 5 s after it announced that it is
    /// leaving, and against a check that reports earlier work.
    #[test]
    fn work_on_leaving_worker() {
        for (at, broken) in [(6900, &[][..]), (7100, &[9][..])] {
            let mut history = HistoryBuilder::new();
            history.worker_event(2000, "w1", WorkerEvent::Leaving).answered_request(at, "r1", "w1");
            history.accepted_job(at, "j").task_started(at, "j", 0, 1, "w1");
            history.assert_broken(broken);
        }
    }

    /// Guards against a check that misses work sent to a leaving worker because the
    /// worker refused it.
    #[test]
    fn refused_by_leaving_worker() {
        let mut history = HistoryBuilder::new();
        let refused =
            WorkerEvent::StartRefused { task: task_id("j", 0), reason: RefusalReason::Leaving };
        history.worker_event(2000, "w1", WorkerEvent::Leaving).worker_event(8000, "w1", refused);
        history.assert_broken(&[9]);
    }
}

mod promise_10 {
    use super::*;

    /// Guards against a request that is interrupted by a planned stop of its entry.
    #[test]
    fn interrupted_by_stop() {
        let mut history = HistoryBuilder::new();
        history
            .sent_via(1900, "r1", "a-e1")
            .terminate(2000, "a-e1")
            .answered_with_status(2500, "r1", 0);
        history.process_exited(3000, "a-e1", Some(0));
        history.assert_broken(&[10]);
    }

    /// Guards against an entry that refuses connections before its process has exited.
    #[test]
    fn refused_during_stop() {
        let mut history = HistoryBuilder::new();
        history
            .terminate(2000, "a-e1")
            .sent_via(2500, "r1", "a-e1")
            .answered_with_status(2600, "r1", 0);
        history.process_exited(3000, "a-e1", Some(0));
        history.assert_broken(&[10]);
    }

    /// Guards against a planned stop that ends with a crash.
    #[test]
    fn stop_with_other_code() {
        let mut history = HistoryBuilder::new();
        history.answered_request(1000, "r1", "w1").terminate(2000, "a-e1").process_exited(
            3000,
            "a-e1",
            Some(101),
        );
        history.assert_broken(&[10]);
    }

    /// Guards against a check that reports connections that were not lost to the
    /// planned stop.
    ///
    /// They are lost before it, through another entry, during a pause, after the
    /// exit, and to a kill.
    #[test]
    fn other_interruptions() {
        let mut history = HistoryBuilder::new();
        history.sent_via(1000, "r1", "a-e1").answered_with_status(1100, "r1", 0);
        history
            .sent_via(1900, "r2", "a-e2")
            .terminate(2000, "a-e1")
            .answered_with_status(2500, "r2", 0);
        history
            .sent_via(2600, "r3", "a-e1")
            .pause(2650, "a-e2")
            .answered_with_status(2700, "r3", 0);
        history.resume(2800, "a-e2").process_exited(3000, "a-e1", Some(0));
        history.sent_via(3100, "r4", "a-e1").answered_with_status(3200, "r4", 0);
        history.sent_via(5000, "r5", "a-e2").terminate(5100, "a-e2").kill(5200, "a-e2");
        history.answered_with_status(5300, "r5", 0);
        history.assert_broken(&[]);
    }
}

mod promise_11 {
    use super::*;

    /// Guards against an entry that reverts to an earlier version.
    #[test]
    fn version_goes_down() {
        let mut history = HistoryBuilder::new();
        history
            .process_started(500, "a-e1")
            .version_observed(1000, "a-e1", 3)
            .version_observed(1500, "a-e1", 2);
        history.assert_broken(&[11]);
    }

    /// Guards against a check that compares versions across a restart of an entry.
    #[test]
    fn restarted_entry_begins_again() {
        let mut history = HistoryBuilder::new();
        history.process_started(500, "a-e1").version_observed(1000, "a-e1", 1).kill(1100, "a-e1");
        history
            .process_started(1200, "a-e1")
            .version_observed(1500, "a-e1", 0)
            .version_observed(3000, "a-e1", 1);
        history.assert_broken(&[]);
    }

    /// Returns a history in which an entry has version 1 at `at`, in milliseconds,
    /// although version 2 was accepted at 2100 ms.
    fn lagging_entry(at: u64) -> HistoryBuilder {
        let mut history = HistoryBuilder::new();
        history.process_started(500, "a-e1").change_sent(2000, "c2", |set| set.shares.clear());
        accept_change(&mut history, 2100, "c2", 2);
        history.version_observed(at, "a-e1", 1);
        history
    }

    /// Guards against an entry that lacks a version more than 5 s after it was
    /// accepted, and against a check that reports it earlier.
    #[test]
    fn version_too_old() {
        lagging_entry(7000).assert_broken(&[]);
        lagging_entry(7200).assert_broken(&[11]);
    }

    /// Guards against a check that reports an entry that lags behind because it was
    /// cut off from the platform, paused or restarted, and against one that excuses
    /// an entry that was merely cut off from other entries or has recovered.
    #[test]
    fn excused_entries() {
        let mut history = lagging_entry(9000);
        history.fault_began(1000, "f", "a-e1", true);
        history.assert_broken(&[]);
        history.fault_ended(3000, "f");
        history.assert_broken(&[11]);

        let mut history = lagging_entry(9000);
        history.fault_began(1000, "f", "a-e1", false);
        history.assert_broken(&[11]);
        history.platform_changed(2500, r#"{"down":true}"#);
        history.assert_broken(&[]);

        let mut history = lagging_entry(9000);
        history.pause(2000, "a-e1").resume(5000, "a-e1");
        history.assert_broken(&[]);

        let mut history = lagging_entry(9000);
        history.kill(5000, "a-e1").process_started(5100, "a-e1");
        history.assert_broken(&[]);
    }
}

mod figures {
    use std::time::Duration;

    use super::*;

    fn gap_of(history: &HistoryBuilder) -> Duration {
        history.summary().domains[&DomainName::from("a")].gap
    }

    /// Guards against gaps that ignore the time before the first or after the last
    /// answer, and against gaps that include time without load.
    #[test]
    fn gap_includes_both_ends() {
        let mut history = HistoryBuilder::new();
        history
            .load_between(1, 1000, 5000)
            .answered_request(1970, "r1", "w1")
            .answered_request(2970, "r2", "w1");
        assert_eq!(gap_of(&history), Duration::from_secs(2));
        history.answered_request(4000, "r3", "w1");
        assert_eq!(gap_of(&history), Duration::from_millis(1030));
        history.load_between(2, 20_000, 20_500).answered_request(20_100, "r4", "w1");
        assert_eq!(gap_of(&history), Duration::from_millis(1030));
    }

    /// Guards against a gap that counts as over because of a refusal.
    #[test]
    fn refusals_do_not_end_a_gap() {
        let mut history = HistoryBuilder::new();
        history.load_between(1, 1000, 5000).load_between(2, 3000, 7000);
        history.sent(2000, "r1").answered_with_status(2010, "r1", 503);
        assert_eq!(gap_of(&history), Duration::from_secs(6));
    }

    /// Guards against a request that is counted once for each of its attempts.
    #[test]
    fn last_outcome_counts() {
        let mut history = HistoryBuilder::new();
        history
            .sent(1000, "r1")
            .answered_with_status(1100, "r1", 0)
            .sent(1200, "r1")
            .answered_with_status(1300, "r1", 503);
        history.answered_request(1000, "r2", "w1").sent(1000, "r3");
        let counts = history.summary().domains[&DomainName::from("a")].counts;
        assert_eq!((counts.answered, counts.not_run, counts.unknown), (1, 1, 1));
    }
}
