//! The behaviour of the proxy on which the failure tests rely.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use standin_proxy::RunningStandin;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;

/// Longest wait for what must arrive; long, as the machine may be busy.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long nothing must arrive before a connection counts as silent.
const SILENCE_PERIOD: Duration = Duration::from_millis(200);

/// A proxy in front of a target that echoes every byte and also reports it to the test.
struct TestProxy {
    running: RunningStandin,
    listen: SocketAddr,
    received: mpsc::UnboundedReceiver<u8>,
    accepted: Rc<Cell<u32>>,
}

impl TestProxy {
    /// Starts a proxy in a loopback network of its own, as tests run in parallel.
    async fn start(network: u8) -> Self {
        let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let listen: SocketAddr = format!("127.77.{network}.1:7000").parse().unwrap();
        let links =
            json!([{"name": "l", "listen": listen, "target": target.local_addr().unwrap()}]);
        let settings = json!({"admin": "127.0.0.1:0", "links": links});
        let running = standin_proxy::start(serde_json::from_value(settings).unwrap()).unwrap();
        let (sender, received) = mpsc::unbounded_channel();
        let accepted = Rc::new(Cell::new(0));
        let counter = accepted.clone();
        actix_rt::spawn(async move {
            while let Ok((mut stream, _)) = target.accept().await {
                counter.set(counter.get() + 1);
                let sender = sender.clone();
                actix_rt::spawn(async move {
                    while let Ok(byte) = stream.read_u8().await {
                        sender.send(byte).unwrap();
                        let _ = stream.write_u8(byte).await;
                    }
                });
            }
        });
        Self { running, listen, received, accepted }
    }

    async fn connect(&self, host: u8) -> TcpStream {
        let mut from = self.listen;
        from.set_ip(format!("127.77.{}.{host}", self.network()).parse().unwrap());
        from.set_port(0);
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind(from).unwrap();
        socket.connect(self.listen).await.unwrap()
    }

    fn network(&self) -> u8 {
        let SocketAddr::V4(listen) = self.listen else { unreachable!() };
        listen.ip().octets()[2]
    }

    async fn set_rules(&self, rules: Value) {
        let url = format!("http://{}/admin/rules", self.running.address());
        let reply = awc::Client::new().post(url).send_json(&rules).await.unwrap();
        assert_eq!(reply.status(), 200);
    }

    /// Returns the next byte that the target received.
    async fn next_received(&mut self) -> Option<u8> {
        tokio::time::timeout(ARRIVAL_TIMEOUT, self.received.recv()).await.ok().flatten()
    }
}

async fn is_silent(stream: &mut TcpStream) -> bool {
    tokio::time::timeout(SILENCE_PERIOD, stream.read_u8()).await.is_err()
}

async fn is_reset(stream: &mut TcpStream) -> bool {
    let read = tokio::time::timeout(ARRIVAL_TIMEOUT, stream.read_u8()).await;
    read.is_ok_and(|read| read.is_err())
}

async fn echoes(stream: &mut TcpStream, byte: u8) -> bool {
    stream.write_u8(byte).await.unwrap();
    let read = tokio::time::timeout(ARRIVAL_TIMEOUT, stream.read_u8()).await;
    read.is_ok_and(|read| read.is_ok_and(|read| read == byte))
}

/// Guards against a cut that separates too much or too little: it must hold for one client only,
/// for its open and its new connections, and the bytes sent during it must be lost for good.
#[actix_web::test]
async fn cut_by_source() {
    let mut proxy = TestProxy::start(1).await;
    let (mut cut, mut idle, mut other) =
        (proxy.connect(2).await, proxy.connect(2).await, proxy.connect(3).await);
    assert!(echoes(&mut cut, 1).await && echoes(&mut idle, 2).await && echoes(&mut other, 3).await);
    proxy.set_rules(json!([{"from": ["127.77.1.2"], "effect": "cut"}])).await;
    let mut late = proxy.connect(2).await;
    cut.write_u8(4).await.unwrap();
    late.write_u8(5).await.unwrap();
    assert!(is_silent(&mut cut).await && is_silent(&mut late).await);
    assert!(echoes(&mut other, 6).await);
    assert_eq!(proxy.accepted.get(), 3, "the target saw a connection from behind the cut");
    proxy.set_rules(json!([])).await;
    assert!(is_reset(&mut cut).await && is_reset(&mut late).await);
    assert!(echoes(&mut idle, 7).await && echoes(&mut other, 8).await);
    for expected in [1, 2, 3, 6, 7, 8] {
        assert_eq!(proxy.next_received().await, Some(expected));
    }
}

/// Guards against one-way faults that cut both directions: the target must receive a request
/// although its reply is lost, or tests of lost replies test nothing.
#[actix_web::test]
async fn one_way_cut_and_dropped_replies() {
    let mut proxy = TestProxy::start(2).await;
    for effect in [
        json!([{"effect": "drop-replies", "links": ["l"]}]),
        json!([{"effect": "cut", "way": "to-client"}]),
    ] {
        proxy.set_rules(effect).await;
        let mut stream = proxy.connect(2).await;
        stream.write_u8(1).await.unwrap();
        assert!(is_silent(&mut stream).await);
        assert_eq!(proxy.next_received().await, Some(1));
        proxy.set_rules(json!([])).await;
        assert!(is_reset(&mut stream).await);
    }
    let mut stream = proxy.connect(2).await;
    assert!(echoes(&mut stream, 2).await);
    assert_eq!(proxy.next_received().await, Some(2));
    proxy.set_rules(json!([{"effect": "cut", "way": "to-target"}])).await;
    stream.write_u8(3).await.unwrap();
    assert!(is_silent(&mut stream).await && proxy.received.is_empty());
}

/// Guards against frozen or delayed bytes that are lost: they must arrive late and complete.
#[actix_web::test]
async fn freeze_and_delay() {
    let mut proxy = TestProxy::start(3).await;
    let mut stream = proxy.connect(2).await;
    assert!(echoes(&mut stream, 1).await);
    proxy.set_rules(json!([{"effect": "freeze"}])).await;
    stream.write_u8(2).await.unwrap();
    assert!(is_silent(&mut stream).await);
    assert_eq!(proxy.next_received().await, Some(1));
    assert!(proxy.received.is_empty());
    proxy.set_rules(json!([])).await;
    assert_eq!(stream.read_u8().await.unwrap(), 2);
    proxy.set_rules(json!([{"effect": "delay", "way": "to-client", "delay_ms": 1000}])).await;
    stream.write_u8(3).await.unwrap();
    assert!(is_silent(&mut stream).await);
    assert_eq!(stream.read_u8().await.unwrap(), 3);
}

/// Guards against resets that miss connections or go on too long: a reset must hit open and new
/// connections while its rule is in force, and none after it.
#[actix_web::test]
async fn reset() {
    let proxy = TestProxy::start(4).await;
    let mut open = proxy.connect(2).await;
    assert!(echoes(&mut open, 1).await);
    proxy.set_rules(json!([{"effect": "reset"}])).await;
    assert!(is_reset(&mut open).await);
    assert!(is_reset(&mut proxy.connect(2).await).await);
    proxy.set_rules(json!([])).await;
    assert!(echoes(&mut proxy.connect(2).await, 2).await);
}
