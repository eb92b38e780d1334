//! Tests of who may read and publish the configuration.

use serde_json::json;

const SECRET: &str = "operators-secret";

/// Guards against access to the configuration without the operators' secret, by
/// which anyone could grant themselves a key for any team.
#[actix_rt::test]
async fn configuration_needs_the_operators_secret() {
    let platform = standin_platform::start(
        serde_json::from_value(json!({ "address": "127.0.0.1:0" })).expect("valid settings"),
    )
    .expect("a free port");
    let settings = json!({
        "name": "entry", "domain": "a",
        "http_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0",
        "platform_address": platform.address().to_string(),
        "operator_digest": model::object::key_digest(SECRET), "balancer_delay_ms": 0,
    });
    let entry = entry::daemon::start(serde_json::from_value(settings).expect("valid settings"));
    let entry = entry.await.expect("the entry starts");
    let url = format!("http://{}/v1/config", entry.http_address);
    let set = json!({ "domains": [{ "name": "a" }] });
    for (secret, status) in [("", 401), ("wrong", 401), (SECRET, 200)] {
        let client = awc::Client::builder().bearer_auth(secret).finish();
        let put = client
            .put(&url)
            .insert_header(("x-base-version", "0"))
            .insert_header(("x-change-id", "c1"));
        assert_eq!(put.send_json(&set).await.expect("an answer").status(), status, "{secret}");
        let get = client.get(&url).send().await.expect("an answer");
        assert_eq!(get.status(), status, "{secret}");
    }
    entry.shut_down().await;
    platform.stop().await;
}
