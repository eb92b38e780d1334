//! The client whose calls may be kept to the connection of an earlier answer.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use link::failure::CallFailure;
use link::http;
use link::pinned::PinnedClient;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Reads one request from a connection and answers it.
fn answer(stream: &mut TcpStream) {
    let mut buffer = [0; 1_024];
    let length = stream.read(&mut buffer).expect("a request");
    assert!(length > 0, "the connection was closed without a request");
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").expect("the client reads");
}

/// Guards against a call for an earlier process that reaches its successor: when the connection is
/// gone, the call must fail without a new one.
#[actix_rt::test]
async fn a_call_on_a_closed_connection_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let url = format!("http://{}/", listener.local_addr().expect("bound"));
    let server = std::thread::spawn(move || {
        let (mut first, _) = listener.accept().expect("a connection");
        answer(&mut first);
        answer(&mut first);
        drop(first);
        let (mut second, _) = listener.accept().expect("a connection");
        answer(&mut second);
    });
    let client = PinnedClient::new(None);
    let send = async |client: &awc::Client| {
        http::exchange(client.post(&url), Vec::new(), TIMEOUT).await.map(|answer| answer.status)
    };
    assert!(send(client.connecting()).await.is_ok());
    assert!(send(client.connected()).await.is_ok(), "the connection is open");
    let refused = loop {
        // Until the client has noticed that the connection was closed, the call is lost on it.
        let error = send(client.connected()).await.expect_err("the connection is closed");
        if *error.current_context() == CallFailure::NotDone {
            break error;
        }
    };
    assert_eq!(*refused.current_context(), CallFailure::NotDone);
    assert!(send(client.connecting()).await.is_ok(), "a new connection is made");
    server.join().expect("the server saw two connections");
}
