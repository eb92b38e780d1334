//! A small HTTP/1.1 server and client on loopback addresses.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

#[derive(Debug)]
pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// Number of the listener's life in which the connection was accepted.
    pub life: u64,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn param(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

pub enum Reply {
    Answer(u16, String),
    /// Nothing more is delivered on this connection; it stays open.
    Silent,
    /// The process that held the connection has crashed without a word. The connection is
    /// silent; once the process is up again, further bytes of the peer reset it.
    Dead,
}

pub trait Service: Send + Sync + 'static {
    fn serve(&self, request: &Request) -> Reply;
    /// Life in which a connection is accepted.
    fn life(&self) -> u64 {
        0
    }
    /// Whether the process is up.
    fn is_up(&self) -> bool {
        true
    }
}

pub fn listen(service: Arc<dyn Service>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let service = service.clone();
            std::thread::spawn(move || serve_connection(&service, stream));
        }
    });
    address
}

fn serve_connection(service: &Arc<dyn Service>, stream: TcpStream) {
    let life = if service.is_up() { service.life() } else { u64::MAX };
    let _ = stream.set_nodelay(true);
    let Ok(reader) = stream.try_clone() else { return };
    let mut reader = BufReader::new(reader);
    let mut stream = stream;
    loop {
        // Bytes for a process that is gone stay unread, so that closing resets.
        let Ok(count) = stream.peek(&mut [0]) else { return };
        if count == 0 {
            return;
        }
        if life != service.life() || !service.is_up() {
            while !service.is_up() {
                std::thread::sleep(Duration::from_millis(5));
            }
            return;
        }
        let Some(mut request) = read_request(&mut reader) else { return };
        request.life = life;
        match service.serve(&request) {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n\
                     content-length: {}\r\n\r\n",
                    body.len()
                );
                if stream.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Silent => {
                let mut rest = [0; 4096];
                while stream.read(&mut rest).is_ok_and(|count| count > 0) {}
                return;
            }
            Reply::Dead => {}
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let mut words = line.split_whitespace();
    words.next()?;
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(key, value)| (key.to_owned(), decode_percent(value)))
        .collect();
    let path = path.to_owned();
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Some(Request { path, query, headers, body, life: 0 })
}

fn read_headers(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (key, value) = line.split_once(':')?;
        headers.push((key.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> Option<String> {
    let find = |name: &str| headers.iter().find(|(key, _)| key == name).map(|(_, v)| v);
    let mut body = Vec::new();
    if find("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let start = body.len();
            body.resize(start + size, 0);
            reader.read_exact(&mut body[start..]).ok()?;
            reader.read_line(&mut line).ok()?;
            if size == 0 {
                break;
            }
        }
    } else {
        body.resize(find("content-length").and_then(|v| v.parse().ok()).unwrap_or(0), 0);
        reader.read_exact(&mut body).ok()?;
    }
    String::from_utf8(body).ok()
}

fn decode_percent(value: &str) -> String {
    let bytes = value.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| value.get(at + 1..at + 3)).flatten();
        if let Some(byte) = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            out.push(byte);
            at += 3;
        } else {
            out.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
            at += 1;
        }
    }
    String::from_utf8(out).unwrap_or_default()
}

/// Sends one request on a connection of its own; none without a complete answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    for (key, value) in headers {
        head += &format!("{key}: {value}\r\n");
    }
    head += "content-type: application/json\r\nconnection: close\r\n\r\n";
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, body))
}
