//! Tests of connections that give way to others.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_rt::net::{TcpListener, TcpStream};
use actix_web::{App, HttpResponse, web};
use bytes::Bytes;
use futures_util::stream;
use futures_util::task::noop_waker;
use link::body::{self, BodyError, BodyLimits};
use link::connection::{BoundedStream, ConnectionHandle, ConnectionTable};
use link::intake::{self, ClientIntake, IntakeCounts, IntakeMetrics};
use link::server::{self, BoundedServer};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt, ReadBuf};

/// Start of the answer to a client whose connection was given up.
const REFUSED: &str = "HTTP/1.1 503";

/// Returns both ends of a connection, that of the client first.
async fn connect() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let (client, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    (client.expect("the listener accepts"), accepted.expect("the client connects").0)
}

/// Returns a table for one connection.
fn table() -> ConnectionTable {
    ConnectionTable::new(1, Arc::new(IntakeCounts::default()))
}

/// Polls a connection as the server does; returns whether it is to be closed.
fn is_closed(stream: &mut BoundedStream) -> bool {
    let mut bytes = [0; 16];
    let waker = noop_waker();
    let mut context = Context::from_waker(&waker);
    let read = Pin::new(stream).poll_read(&mut context, &mut ReadBuf::new(&mut bytes));
    matches!(read, Poll::Ready(Err(_)))
}

/// Closes the server's end and returns everything that the client got.
async fn received(stream: BoundedStream, mut client: TcpStream) -> String {
    drop(stream);
    let mut text = String::new();
    client.read_to_string(&mut text).await.expect("the connection was closed in order");
    text
}

/// Reads a body of which nothing arrives, as far as its handler gets at once.
async fn wait_for_body(intake: &ClientIntake, handle: &ConnectionHandle) {
    let mut payload = stream::pending::<Result<Bytes, BodyError>>();
    let limits = BodyLimits::new(10);
    let body = body::read_body(&mut payload, Some(1), limits, intake, Some(handle));
    assert!(futures_util::poll!(Box::pin(body)).is_pending());
}

/// Admits another connection from elsewhere; the existing one gives way if it may.
async fn admit_another(table: &ConnectionTable) -> io::Result<BoundedStream> {
    table.admit(connect().await.1)
}

/// Guards against a request that runs although its client is told that it does not: the connection
/// was given up after the last bytes of the request were read.
#[tokio::test]
async fn a_request_whose_connection_was_given_up_is_not_served() {
    let table = table();
    let (client, io) = connect().await;
    let mut stream = table.admit(io).expect("there is room");
    let handle = stream.handle();
    let _other = admit_another(&table).await.expect("the first one gives way");
    assert!(!handle.begin(), "a handler may take the request");
    assert!(is_closed(&mut stream));
    // The server answers the request by itself.
    assert_eq!(received(stream, client).await, "");
}

/// Guards against the same fault while the body is read.
#[tokio::test]
async fn a_body_whose_connection_was_given_up_is_not_received() {
    let intake = ClientIntake::new("test", 400_000, 1);
    let table = &intake.connections;
    let stream = table.admit(connect().await.1).expect("there is room");
    let handle = stream.handle();
    assert!(handle.begin());
    let mut payload = Box::pin(stream::once(async {
        drop(admit_another(table).await.expect("the first one gives way"));
        Ok::<_, BodyError>(Bytes::from_static(b"x"))
    }));
    let limits = BodyLimits::new(10);
    let body = body::read_body(&mut payload, Some(1), limits, &intake, Some(&handle)).await;
    assert_eq!(body.err(), Some(BodyError::NoRoom));
}

/// Guards against a refusal of a request that its handler passed on without reading the body.
#[tokio::test]
async fn only_a_handler_that_waits_for_the_body_gives_way() {
    let intake = ClientIntake::new("test", 400_000, 1);
    let (client, io) = connect().await;
    let mut stream = intake.connections.admit(io).expect("there is room");
    let handle = stream.handle();
    assert!(handle.begin());
    assert!(admit_another(&intake.connections).await.is_err(), "the handler may pass it on");
    wait_for_body(&intake, &handle).await;
    let _other = admit_another(&intake.connections).await.expect("the first one gives way");
    assert!(is_closed(&mut stream));
    assert!(received(stream, client).await.starts_with(REFUSED));
}

/// Guards against an answer that is lost, or has a refusal in its middle, because its connection
/// gives way between the end of the handler and the end of the answer.
#[tokio::test]
async fn a_connection_does_not_give_way_before_its_answer_is_sent() {
    let intake = ClientIntake::new("test", 400_000, 1);
    let table = &intake.connections;
    let (client, io) = connect().await;
    let mut stream = table.admit(io).expect("there is room");
    let handle = stream.handle();
    assert!(handle.begin() && handle.serve());
    assert!(!handle.finish());
    assert!(admit_another(table).await.is_err(), "the answer is not encoded");
    stream.write_all(b"first ").await.expect("the client reads");
    stream.flush().await.expect("the client reads");
    assert!(admit_another(table).await.is_err(), "a part of the answer is not encoded");
    handle.end_output();
    // A second request was read together with the first one, and its body is incomplete.
    assert!(handle.begin());
    wait_for_body(&intake, &handle).await;
    assert!(admit_another(table).await.is_err(), "a part of the answer is not written");
    assert!(!is_closed(&mut stream));
    stream.write_all(b"second").await.expect("the client reads");
    stream.flush().await.expect("the client reads");
    let _other = admit_another(table).await.expect("the first one gives way");
    assert!(is_closed(&mut stream));
    let text = received(stream, client).await;
    assert!(text.starts_with(&format!("first second{REFUSED}")), "got {text:?}");
}

/// Guards against a connection that is kept although it is idle after its answer, and against
/// clients that are not told that they were given up then.
#[tokio::test]
async fn a_connection_gives_way_after_its_answer() {
    let table = table();
    let (client, io) = connect().await;
    let mut stream = table.admit(io).expect("there is room");
    let handle = stream.handle();
    assert!(handle.begin() && handle.serve());
    assert!(!handle.finish());
    handle.end_output();
    stream.write_all(b"answer").await.expect("the client reads");
    stream.flush().await.expect("the client reads");
    let _other = admit_another(&table).await.expect("the first one gives way");
    assert!(is_closed(&mut stream));
    assert!(received(stream, client).await.starts_with(&format!("answer{REFUSED}")));
}

/// Guards against clients that take nothing of their answers and so keep all others out: such a
/// connection does not give way. It ends without a refusal, because its request was served.
#[tokio::test]
async fn an_answer_that_is_not_taken_has_a_time_limit() {
    let intake = ClientIntake::new("test", 400_000, 1);
    let (client, io) = connect().await;
    let mut stream = intake.connections.admit(io).expect("there is room");
    let handle = stream.handle();
    assert!(handle.begin() && handle.serve());
    assert!(!handle.finish());
    let metrics = IntakeMetrics::new(&opentelemetry::global::meter("test"));
    let upkeep = tokio::spawn(intake::maintain(vec![intake.clone()], metrics));
    let closed = async {
        while intake.connections.open() > 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), closed).await.expect("the connection is closed");
    upkeep.abort();
    assert!(is_closed(&mut stream));
    assert_eq!(received(stream, client).await, "");
}

/// Sends a request and reads the answer until a marker, so that the connection stays open.
async fn exchange(stream: &mut TcpStream, path: &str, marker: &str) -> String {
    let request = format!("GET {path} HTTP/1.1\r\nhost: test\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("the server reads");
    let mut received = Vec::new();
    while !received.ends_with(marker.as_bytes()) {
        let read = stream.read_buf(&mut received).await.expect("the server answers");
        assert!(read > 0, "the answer ends early: {} bytes", received.len());
    }
    String::from_utf8(received).expect("text")
}

/// Guards against a server that does not learn that an answer was sent: the connection would
/// never be idle, and at the limit all others would be refused.
#[actix_rt::test]
async fn the_server_records_that_an_answer_was_sent() {
    let intake = ClientIntake::new("test", 400_000, 1);
    let address = "127.0.0.1:0".parse().expect("an address");
    let listener = server::bind(address, None).expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let application = || {
        let long = async || HttpResponse::Ok().body(format!("{}end", "x".repeat(3_000_000)));
        App::new()
            .route("/empty", web::get().to(HttpResponse::Ok))
            .route("/long", web::get().to(long))
    };
    let server = BoundedServer::new(1, 8, Duration::from_secs(1))
        .listen(listener, &intake, Duration::from_secs(5), application)
        .expect("the listener is usable")
        .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    let mut idle = Vec::new();
    for (path, marker) in [("/empty", "\r\n\r\n"), ("/long", "end"), ("/empty", "\r\n\r\n")] {
        let mut stream = TcpStream::connect(address).await.expect("the server accepts");
        for _ in 0..2 {
            let answer = exchange(&mut stream, path, marker).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{path}: {}", &answer[..20]);
        }
        idle.push(stream);
    }
    handle.stop(false).await;
}
