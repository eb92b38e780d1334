//! Floods of request bodies that never end, against a real entry process with default settings.
//! The tests guard against an entry that runs out of memory or descriptors.

use std::time::Instant;

use actix_web::web::Bytes;
use cell::flood::{BodyFlood, BodyForm, FloodPart, ProcessWatch, SETTLE_TIME};
use cell::{NORTH_SECRET, TestCell, WAIT_TIMEOUT, client};
use serde_json::Value;

/// Memory in MB that an entry assumes without settings; a quarter of it is for bodies.
const MEMORY_MB: u64 = 256;
/// Descriptors that an entry assumes without settings.
const MAX_FDS: usize = 4_096;
/// Largest body that an entry accepts.
const BODY_BYTES: usize = 16 << 20;
/// Clients of a flood. Their bodies together take 671 MB.
const CONNECTIONS: usize = 40;
/// Length of the bodies in chunks of one byte, each of which takes six bytes to send.
const SMALL_CHUNKS_BYTES: usize = 262_144;

/// Sends a flood without a key to an entry, then an ordinary request.
async fn check_flood(parts: &[FloodPart]) {
    let cell = TestCell::start(1, 1, 1).await;
    let watch = ProcessWatch::start(cell.entries[0].id());
    let address = cell.address(0).parse().expect("an address");
    let flood = BodyFlood::send(address, "/v1/jobs", parts).await;
    let start = Instant::now();
    while cell.send_request(0, NORTH_SECRET, "ordinary").await.0 != 200 {
        assert!(start.elapsed() < WAIT_TIMEOUT, "an ordinary request is not answered");
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let usage = watch.usage().expect("the entry lives");
    println!("usage of the entry: {usage:?}");
    assert!(usage.peak_kb < MEMORY_MB * 1_024, "memory: {usage:?}");
    assert!(usage.descriptors < MAX_FDS, "descriptors: {usage:?}");
    drop(flood);
}

#[actix_rt::test]
async fn whole_bodies_fit_the_entry() {
    let part =
        FloodPart { form: BodyForm::Whole, connections: CONNECTIONS, body_bytes: BODY_BYTES };
    check_flood(&[part]).await;
}

#[actix_rt::test]
async fn bodies_in_pieces_fit_the_entry() {
    let part =
        FloodPart { form: BodyForm::Pieces, connections: CONNECTIONS, body_bytes: BODY_BYTES };
    check_flood(&[part]).await;
}

#[actix_rt::test]
async fn chunked_bodies_fit_the_entry() {
    let large = FloodPart {
        form: BodyForm::Chunks(65_536),
        connections: CONNECTIONS,
        body_bytes: BODY_BYTES,
    };
    let small = FloodPart {
        form: BodyForm::Chunks(1),
        connections: CONNECTIONS,
        body_bytes: SMALL_CHUNKS_BYTES,
    };
    check_flood(&[large, small]).await;
}

/// Guards against an entry with default settings that refuses a body of the full length, or reads
/// one that is too long.
#[actix_rt::test]
async fn full_bodies_are_read_and_longer_ones_refused() {
    let cell = TestCell::start(1, 1, 1).await;
    let send = async |length: usize| {
        let request = client().post(cell.url(0, "/v1/jobs")).bearer_auth(NORTH_SECRET);
        let mut answer = request.send_body(vec![b' '; length]).await.expect("an answer");
        let error: Value = answer.json().await.expect("an error");
        (answer.status().as_u16(), error["message"].to_string())
    };
    let (status, message) = send(BODY_BYTES).await;
    assert!(status == 400 && message.contains("EOF while parsing"), "{status} {message}");
    let (status, message) = send(BODY_BYTES + 1).await;
    assert!(status == 400 && message.contains("longer than 16777216"), "{status} {message}");
}

/// Guards against bodies without a valid key whose decoded form takes many times their length: an
/// empty list of two bytes takes 32 decoded.
#[actix_rt::test]
async fn jobs_without_a_key_are_not_decoded() {
    let cell = TestCell::start(1, 1, 1).await;
    let watch = ProcessWatch::start(cell.entries[0].id());
    let job = r#"{"id": "a", "queue": "reports", "tasks": 1, "amounts": {}, "payload": [[]"#;
    let lists = ",[]".repeat((BODY_BYTES - job.len() - 2) / 3);
    let body = Bytes::from(format!("{job}{lists}]}}"));
    // One for each of the entry's two threads.
    let send = || client().post(cell.url(0, "/v1/jobs")).send_body(body.clone());
    let (first, second) = futures_util::join!(send(), send());
    for sent in [first, second] {
        assert_eq!(sent.expect("an answer").status().as_u16(), 401);
    }
    let usage = watch.usage().expect("the entry lives");
    println!("usage of the entry: {usage:?}");
    assert!(usage.peak_kb < MEMORY_MB * 1_024, "memory: {usage:?}");
}
