//! The behaviour of the platform stand-in on which the safety tests rely.

use awc::error::SendRequestError;
use serde_json::{Value, json};
use standin_platform::RunningStandin;

fn start(settings: &Value) -> RunningStandin {
    standin_platform::start(serde_json::from_value(settings.clone()).unwrap()).unwrap()
}

async fn post(
    running: &RunningStandin,
    path: &str,
    body: Value,
) -> Result<(u16, Value), SendRequestError> {
    let url = format!("http://{}{path}", running.address());
    let mut reply = awc::Client::new().post(url).send_json(&body).await?;
    let body = reply.body().await.unwrap();
    Ok((reply.status().as_u16(), serde_json::from_slice(&body).unwrap_or_default()))
}

/// Guards against two owners: if two writers claim one row, the second must conflict. A version
/// that is used again after a delete would let a late writer overwrite a row it never read.
#[actix_web::test]
async fn compare_and_swap() {
    let running = start(&json!({"address": "127.0.0.1:0"}));
    let put = |version: u64, value: u64| json!({"checks": [{"key": "a", "version": version}], "puts": [{"key": "a", "value": value}]});
    let (_, first) = post(&running, "/table/txn", put(0, 1)).await.unwrap();
    assert_eq!(first, json!({"committed": true, "version": 1, "conflicts": []}));
    let (_, second) = post(&running, "/table/txn", put(0, 2)).await.unwrap();
    let present = json!([{"key": "a", "version": 1, "value": 1}]);
    assert_eq!(second, json!({"committed": false, "version": 0, "conflicts": present}));
    post(&running, "/table/txn", json!({"deletes": ["a"]})).await.unwrap();
    let (_, third) = post(&running, "/table/txn", put(0, 3)).await.unwrap();
    assert_eq!(third["version"], 3);
}

/// Guards against tests of lost replies that test nothing: the write must take effect, and its
/// caller must get no answer.
#[actix_web::test]
async fn lost_reply_takes_effect() {
    let running = start(&json!({"address": "127.0.0.1:0"}));
    let fault = json!({"lose_replies": 1, "lose_prefix": "config/"});
    post(&running, "/admin/fault", fault).await.unwrap();
    let put = |key: &str| json!({"puts": [{"key": key, "value": 1}]});
    assert!(post(&running, "/table/txn", put("other")).await.is_ok());
    assert!(post(&running, "/table/txn", put("config/head")).await.is_err());
    let (_, read) = post(&running, "/table/read", json!({"prefixes": ["config/"]})).await.unwrap();
    assert_eq!(read["rows"][0]["key"], "config/head");
    assert!(post(&running, "/table/txn", put("config/head")).await.is_ok());
}

/// Guards against a transaction above the rate that takes partial effect: callers repeat a call
/// after 429, so that it must have had none.
#[actix_web::test]
async fn rate_limit_refuses_whole_transaction() {
    let running = start(&json!({"address": "127.0.0.1:0", "writes_per_s": 2}));
    let put = |key: &str| json!({"key": key, "value": 1});
    let puts = json!({"puts": [put("a"), put("b"), put("c")]});
    assert_eq!(post(&running, "/table/txn", puts).await.unwrap().0, 429);
    let (_, read) = post(&running, "/table/read", json!({"prefixes": [""]})).await.unwrap();
    assert_eq!(read["rows"], json!([]));
    let puts = json!({"puts": [put("a"), put("b")]});
    assert_eq!(post(&running, "/table/txn", puts.clone()).await.unwrap().0, 200);
    assert_eq!(post(&running, "/table/txn", puts).await.unwrap().0, 429);
}

/// Guards against an outage that spares calls in flight or loses rows: open connections must
/// close as new ones do, and a call that was cut off must leave the table as it was.
#[actix_web::test]
async fn down_closes_connections() {
    let running = start(&json!({"address": "127.0.0.1:0"}));
    post(&running, "/admin/fault", json!({"delay_ms": 2000})).await.unwrap();
    let late = post(&running, "/table/txn", json!({"puts": [{"key": "a", "value": 1}]}));
    let outage = async {
        actix_rt::time::sleep(std::time::Duration::from_millis(200)).await;
        post(&running, "/admin/fault", json!({"down": true})).await.unwrap();
        assert!(post(&running, "/table/read", json!({"keys": ["a"]})).await.is_err());
    };
    let (late, ()) = tokio::join!(late, outage);
    assert!(late.is_err());
    actix_rt::time::sleep(std::time::Duration::from_millis(1200)).await;
    post(&running, "/admin/fault", json!({})).await.unwrap();
    let (_, read) = post(&running, "/table/read", json!({"keys": ["a"]})).await.unwrap();
    assert_eq!(read["rows"], json!([]));
}

/// Guards against an object store that changes objects, and against a VM list without lag, with
/// which an owner that wrongly trusts a fresh list would pass its tests.
#[actix_web::test]
async fn objects_are_kept_and_the_vm_list_lags() {
    let running = start(&json!({"address": "127.0.0.1:0", "vm_lag_ms": 400}));
    let url = |path: &str| format!("http://{}{path}", running.address());
    let client = awc::Client::new();
    assert!(client.get(url("/objects/o1")).send().await.unwrap().status().is_client_error());
    let stored = client.put(url("/objects/o1")).send_body("body").await.unwrap();
    assert!(stored.status().is_success());
    let body = client.get(url("/objects/o1")).send().await.unwrap().body().await.unwrap();
    assert_eq!(&body[..], b"body");
    let list = json!({"vms": [{"name": "w1", "state": "leaving"}]});
    post(&running, "/admin/vms", list.clone()).await.unwrap();
    let vms = async || {
        let mut reply = client.get(url("/vms")).send().await.unwrap();
        reply.json::<Value>().await.unwrap()
    };
    assert_eq!(vms().await, json!({"vms": []}), "a change shows late");
    actix_web::rt::time::sleep(std::time::Duration::from_millis(700)).await;
    assert_eq!(vms().await, list);
}
