//! A small HTTP/1.1 server and client.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn query(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }
}

/// What a handler returns: an answer, or none, after which the connection stays silent.
pub type Reply = Option<(u16, String)>;

/// Serves a listener, each connection in a thread of its own.
pub fn serve(listener: TcpListener, handler: impl Fn(Request) -> Reply + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Request) -> Reply) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    while let Some((first, headers, body)) = read_message(&mut input)? {
        let target = first.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decode_percent(value)))
            .collect();
        let request = Request { path: path.to_owned(), query, headers, body };
        let Some((status, body)) = handler(request) else {
            // The other side has to give up.
            let mut rest = Vec::new();
            let _ = input.read_to_end(&mut rest);
            return Ok(());
        };
        write!(
            output,
            "HTTP/1.1 {status} status\r\ncontent-type: application/json\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        )?;
    }
    Ok(())
}

type Message = (String, Vec<(String, String)>, String);

fn read_message(input: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if input.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        input.read_line(&mut line)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let find = |name: &str| headers.iter().find(|(known, _)| known == name).map(|(_, value)| value);
    let mut body = Vec::new();
    if let Some(length) = find("content-length").and_then(|length| length.parse().ok()) {
        body.resize(length, 0);
        input.read_exact(&mut body)?;
    } else if find("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            input.read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            let mut chunk = vec![0; length + 2];
            input.read_exact(&mut chunk)?;
            if length == 0 {
                break;
            }
            body.extend(&chunk[..length]);
        }
    }
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok(Some((first.trim_end().to_owned(), headers, body)))
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| std::str::from_utf8(bytes.get(at + 1..at + 3)?).ok())
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match code {
            Some(code) => {
                decoded.push(code);
                at += 3;
            }
            None => {
                decoded.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Sends a request and returns status and body; none if no answer came in time.
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
    let mut text = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    if headers.iter().all(|(name, _)| *name != "host") {
        text.push_str(&format!("host: {address}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("connection: close\r\n\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes()).ok()?;
    let (first, _, body) = read_message(&mut BufReader::new(stream)).ok()??;
    Some((first.split(' ').nth(1)?.parse().ok()?, body))
}
