//! The behaviour of the worker stand-in on which the safety tests rely.

use std::time::Duration;

use awc::ClientResponse;
use serde_json::{Value, json};
use standin_worker::RunningStandin;

struct TestWorker {
    running: RunningStandin,
    client: awc::Client,
    boot: Value,
}

impl TestWorker {
    /// Starts a worker with four cores and two slots, and sends it a first call under term 1.
    async fn start(extra: Value) -> Self {
        let mut settings = json!({
            "name": "w1", "domain": "d1", "address": "127.0.0.1:0",
            "capacity": {"cpu_millis": 4000, "slots": 2},
        });
        settings.as_object_mut().unwrap().extend(extra.as_object().unwrap().clone());
        let running = standin_worker::start(serde_json::from_value(settings).unwrap()).unwrap();
        let mut worker = Self { running, client: awc::Client::new(), boot: Value::Null };
        worker.boot = worker.renew(1, None).await["boot"].clone();
        worker
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.running.address())
    }

    async fn post(&self, path: &str, body: Value) -> Value {
        let mut reply = self.client.post(self.url(path)).send_json(&body).await.unwrap();
        assert_eq!(reply.status(), 200, "{path}");
        serde_json::from_slice(&reply.body().await.unwrap()).unwrap_or_default()
    }

    async fn renew(&self, term: u64, not_after: Option<u64>) -> Value {
        let authority = json!({"term": term, "handover": 0});
        let call = json!({
            "authority": authority, "boot": self.boot, "not_after": not_after,
            "ack": 0, "full": true,
        });
        self.post("/v1/renew", call).await
    }

    /// Extends the lease to `millis` from now and returns the worker's clock.
    async fn extend_lease(&self, millis: u64) -> u64 {
        let clock = self.renew(1, None).await["clock"].as_u64().unwrap();
        self.renew(1, Some(clock + millis)).await;
        clock
    }

    /// Starts a task under term 1 with changes to the call and returns the refusal.
    async fn start_task(&self, index: u32, changes: Value) -> Value {
        let mut call = json!({
            "authority": {"term": 1, "handover": 0}, "boot": self.boot, "not_after": 60_000,
            "task": {"job": "j", "index": index}, "attempt": 1, "team": "t",
            "amounts": {"cpu_millis": 3000}, "payload": null,
        });
        call.as_object_mut().unwrap().extend(changes.as_object().unwrap().clone());
        self.post("/v1/start", call).await["refusal"].clone()
    }

    /// Sends a request on a connection of its own.
    async fn request(&self, id: &str, authority: &str, body: Value) -> ClientResponse {
        self.request_until(60_000, id, authority, body).await
    }

    /// Sends a request whose grant is void at an instant of the worker's clock.
    async fn request_until(
        &self,
        not_after: u64,
        id: &str,
        authority: &str,
        body: Value,
    ) -> ClientResponse {
        awc::Client::new()
            .post(self.url("/v1/request"))
            .insert_header(("x-request-id", id))
            .insert_header(("x-attempt", "1"))
            .insert_header(("x-authority", authority))
            .insert_header(("x-boot", self.boot.as_str().unwrap()))
            .insert_header(("x-not-after", not_after.to_string()))
            .insert_header(("x-team", "t"))
            .send_json(&body)
            .await
            .unwrap()
    }

    /// Sends a request and expects a refusal with this reason and the mark that nothing was run.
    async fn assert_refused(&self, authority: &str, reason: &str) {
        let mut reply = self.request("refused", authority, json!({})).await;
        assert_eq!(reply.status(), 503);
        assert_eq!(reply.headers().get("x-not-run").unwrap(), "1");
        assert_eq!(reply.json::<Value>().await.unwrap(), json!({"reason": reason}));
    }
}

async fn sleep(millis: u64) {
    actix_rt::time::sleep(Duration::from_millis(millis)).await;
}

/// Guards against an earlier owner that resumes after a pause: once the worker has seen a higher
/// authority, a lower one must neither start work nor extend the lease.
#[actix_web::test]
async fn lower_authority_is_refused() {
    let worker = TestWorker::start(json!({})).await;
    worker.extend_lease(1500).await;
    let second = worker.renew(2, None).await;
    assert_eq!(second["authority"]["term"], 2);
    let refused = worker.renew(1, Some(60_000)).await;
    assert_eq!(refused["authority"]["term"], 2);
    assert_eq!(worker.start_task(0, json!({})).await, "stale-authority");
    worker.assert_refused("1.9", "stale-authority").await;
    let by_handover = json!({"authority": {"term": 2, "handover": 1}});
    assert_eq!(worker.start_task(1, by_handover).await, Value::Null);
    let before = json!({"authority": {"term": 2, "handover": 0}});
    assert_eq!(worker.start_task(2, before).await, "stale-authority");
    sleep(1700).await;
    assert_eq!(worker.renew(2, None).await["running"], 0);
}

/// Guards against calls that were delayed in the network or meant for an earlier boot: they must
/// start neither a task nor a lease.
#[actix_web::test]
async fn late_calls_are_void() {
    let worker = TestWorker::start(json!({})).await;
    assert_eq!(worker.start_task(0, json!({})).await, "no-lease");
    worker.renew(1, Some(0)).await;
    assert_eq!(worker.start_task(0, json!({})).await, "no-lease");
    let clock = worker.extend_lease(60_000).await;
    assert_eq!(worker.start_task(0, json!({"not_after": clock})).await, "expired");
    assert_eq!(worker.start_task(0, json!({"boot": "other"})).await, "wrong-boot");
    assert_eq!(worker.start_task(0, json!({})).await, Value::Null);
    assert_eq!(worker.start_task(0, json!({})).await, "duplicate");
    assert_eq!(worker.start_task(1, json!({})).await, "no-capacity");
    let mut rebooted = TestWorker::start(json!({})).await;
    assert_ne!(rebooted.boot, worker.boot);
    rebooted.boot = worker.boot.clone();
    rebooted.renew(1, Some(60_000)).await;
    rebooted.boot = rebooted.renew(1, None).await["boot"].clone();
    assert_eq!(rebooted.start_task(0, json!({})).await, "no-lease");
}

/// Guards against a task that runs twice: an owner that cannot reach a worker restarts its tasks
/// elsewhere when the lease has expired, so that they must have stopped here by then, without any
/// call. The lease must never move backwards.
#[actix_web::test]
async fn expired_lease_stops_tasks() {
    let history = tempfile::NamedTempFile::new().unwrap();
    let worker = TestWorker::start(json!({"history": history.path()})).await;
    worker.extend_lease(1200).await;
    worker.extend_lease(100).await;
    assert_eq!(worker.start_task(0, json!({})).await, Value::Null);
    sleep(300).await;
    assert_eq!(worker.renew(1, None).await["running"], 1, "the lease moved backwards");
    let under_way = async { worker.request("r", "1.0", json!({"run_ms": 2000})).await.status() };
    let expire = async {
        sleep(1200).await;
        // Read from the history file: a call would make the worker check its clock.
        let records = std::fs::read_to_string(history.path()).unwrap();
        assert!(records.lines().last().unwrap().contains(r#""end":"lease-expired""#), "{records}");
        assert_eq!(worker.start_task(1, json!({})).await, "no-lease");
        worker.assert_refused("1.0", "no-lease").await;
    };
    let (status, ()) = tokio::join!(under_way, expire);
    assert_eq!(status, 200);
    let ended = &worker.renew(1, None).await["ended"];
    assert_eq!(ended[0]["end"], "lease-expired");
}

/// Guards against overload: requests beyond the slots or connections must be refused before
/// anything is run, as must all requests while the worker is leaving. A closed connection must
/// no longer count.
#[actix_web::test]
async fn full_worker_refuses_requests() {
    let worker = TestWorker::start(json!({})).await;
    worker.extend_lease(60_000).await;
    let run = |id| worker.request(id, "1.0", json!({"run_ms": 1500}));
    let refusal = async {
        sleep(300).await;
        worker.assert_refused("1.0", "no-capacity").await;
        assert_eq!(worker.renew(1, None).await["slots_used"], 2);
    };
    let (first, second, ()) = tokio::join!(run("a"), run("b"), refusal);
    assert_eq!((first.status().as_u16(), second.status().as_u16()), (200, 200));
    worker.post("/admin/leave", json!({})).await;
    worker.assert_refused("1.0", "leaving").await;

    let narrow = TestWorker::start(json!({"connections": 1})).await;
    narrow.extend_lease(60_000).await;
    let refusal = async {
        sleep(300).await;
        narrow.assert_refused("1.0", "no-capacity").await;
    };
    let (only, ()) = tokio::join!(narrow.request("a", "1.0", json!({"run_ms": 1500})), refusal);
    assert_eq!(only.status(), 200);
    drop(only);
    sleep(300).await;
    let next = narrow.request("b", "1.0", json!({})).await;
    assert_eq!(next.status(), 200, "a closed connection still counts");
}

/// Guards against an overcommitted VM: a request continues when its caller disconnects, so that it
/// must keep its slot until it ends.
#[actix_web::test]
async fn disconnected_request_keeps_its_slot() {
    let worker = TestWorker::start(json!({})).await;
    worker.extend_lease(60_000).await;
    let request = worker.request("a", "1.0", json!({"run_ms": 1500}));
    assert!(actix_rt::time::timeout(Duration::from_millis(300), request).await.is_err());
    sleep(100).await;
    assert_eq!(worker.renew(1, None).await["slots_used"], 1);
    sleep(1700).await;
    assert_eq!(worker.renew(1, None).await["slots_used"], 0);
}

/// Guards against tests of bad answers that test nothing: good answers must match their
/// identifier and digest, and those with faults must not.
#[actix_web::test]
async fn answers_and_their_faults() {
    let worker = TestWorker::start(json!({})).await;
    worker.extend_lease(60_000).await;
    let body = json!({"answer_bytes": 1000});
    let mut good = worker.request("good", "1.0", body.clone()).await;
    let bytes = good.body().await.unwrap();
    assert_eq!((bytes.len(), &bytes[..5]), (1000, &b"good."[..]));
    let digest = model::object::key_digest(std::str::from_utf8(&bytes).unwrap());
    assert_eq!(good.headers().get("x-answer-digest").unwrap(), digest.as_str());
    assert_eq!(good.headers().get("x-request-id").unwrap(), "good");
    worker.post("/admin/fault", json!({"swap_ids": true})).await;
    let swapped = worker.request("other", "1.0", body.clone()).await;
    assert_eq!(swapped.headers().get("x-request-id").unwrap(), "good");
    worker.post("/admin/fault", json!({"truncate_answers": true})).await;
    let mut cut = worker.request("cut", "1.0", body).await;
    // awc reports the early end of the connection as the end of the body.
    assert_eq!(cut.headers().get("content-length").unwrap(), "1000");
    assert_eq!(cut.body().await.unwrap().len(), 500);
}

/// Guards against overcommitment by lost grants: a request that arrives late must not run, as its
/// owner has granted the slot again, and reports must show which team uses each slot.
#[actix_rt::test]
async fn late_request_is_refused_and_slots_are_reported_by_team() {
    let worker = TestWorker::start(json!({})).await;
    let clock = worker.extend_lease(30_000).await;
    let mut late = worker.request_until(clock, "late", "1.0", json!({})).await;
    assert_eq!(late.json::<Value>().await.unwrap(), json!({"reason": "expired"}));
    let run = worker.request("r", "1.0", json!({"run_ms": 600}));
    let report = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        worker.renew(1, None).await["slots_by_team"].clone()
    };
    let (_, slots) = tokio::join!(run, report);
    assert_eq!(slots, json!([{"team": "t", "slots": 1}]));
    assert_eq!(worker.renew(1, None).await["slots_by_team"], json!([]));
}

/// Guards against tests of moved or throttled work that test nothing: a checkpoint must end a
/// task, a throttled task must take longer, and usage must be reported with its lag.
#[actix_rt::test]
async fn checkpoint_ends_and_throttle_slows() {
    let worker = TestWorker::start(json!({ "usage_lag_ms": 300 })).await;
    worker.extend_lease(30_000).await;
    let small = json!({"amounts": {"cpu_millis": 1000}, "payload": {"usage": {"cpu_millis": 700}}});
    worker.start_task(0, small).await;
    let slow = json!({"amounts": {"cpu_millis": 1000}, "payload": {"run_ms": 1000}});
    worker.start_task(1, slow).await;
    let stop = |index: u32, mode: &str| {
        let authority = json!({"term": 1, "handover": 0});
        json!({"authority": authority, "task": {"job": "j", "index": index}, "mode": mode})
    };
    worker.post("/v1/stop", stop(1, "throttle")).await;
    let first_usage = worker.renew(1, None).await["tasks"][0]["usage"].clone();
    assert_eq!(first_usage["cpu_millis"], 0, "usage is reported with a lag");
    sleep(1200).await;
    let report = worker.renew(1, None).await;
    assert_eq!(report["running"], 2, "the throttled task goes on beyond its run time");
    assert_eq!(report["tasks"][0]["usage"]["cpu_millis"], 700);
    worker.post("/v1/stop", stop(0, "checkpoint")).await;
    sleep(1500).await;
    let ended = worker.renew(1, None).await["ended"].clone();
    assert_eq!(ended[0]["end"], "checkpointed");
    assert_eq!(ended[1]["end"], "done");
}
