//! A flood of clients that send large request bodies, stop just before the end and stay connected.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, LocalSet};

/// Bytes of its body that a client never sends.
const WITHHELD_BYTES: usize = 1_000;
/// Pieces in which [`BodyForm::Pieces`] sends a body.
const PIECES: usize = 8;
/// Pause between two pieces of a body.
const PIECE_PAUSE: Duration = Duration::from_millis(100);
/// Time after which a client whose data is not taken sends no more and stays connected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes that a client writes at once.
const WRITE_BYTES: usize = 65_536;
/// Time for a process to work off what the flood has left in the buffers of the system.
pub const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Time between two samples of a process.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// How a client sends its body.
#[derive(Clone, Copy, Debug)]
pub enum BodyForm {
    /// With a declared length, at once.
    Whole,
    /// With a declared length, in pieces with pauses.
    Pieces,
    /// In chunks of a number of bytes.
    Chunks(usize),
}

/// The requests of one part of a flood.
#[derive(Clone, Copy, Debug)]
pub struct FloodPart {
    /// How the bodies are sent.
    pub form: BodyForm,
    /// Number of connections, each with one request.
    pub connections: usize,
    /// Length of each body in bytes; its last bytes are not sent.
    pub body_bytes: usize,
}

/// Connections of a flood, which stay open until it is dropped.
#[derive(Debug)]
pub struct BodyFlood {
    _streams: Vec<TcpStream>,
}

impl BodyFlood {
    /// Connects all clients and returns when each has sent its body, except for the last bytes,
    /// or cannot send more.
    pub async fn send(address: SocketAddr, path: &str, parts: &[FloodPart]) -> Self {
        let local = LocalSet::new();
        let clients: Vec<_> = parts
            .iter()
            .flat_map(|part| std::iter::repeat_n(*part, part.connections))
            .map(|part| local.spawn_local(send_body(address, path.to_owned(), part)))
            .collect();
        local.await;
        let mut streams = Vec::new();
        for client in clients {
            streams.extend(client.await.expect("a client does not panic"));
        }
        Self { _streams: streams }
    }
}

/// Sends one request; returns its connection, if there is one.
async fn send_body(address: SocketAddr, path: String, part: FloodPart) -> Option<TcpStream> {
    let connected = tokio::time::timeout(WRITE_TIMEOUT, TcpStream::connect(address)).await;
    let mut stream = connected.ok()?.ok()?;
    // A server that refuses or closes ends the client's writes, which is no failure of the flood.
    drop(write_body(&mut stream, &path, part).await);
    Some(stream)
}

async fn write_body(stream: &mut TcpStream, path: &str, part: FloodPart) -> io::Result<()> {
    let length = match part.form {
        BodyForm::Chunks(_) => "transfer-encoding: chunked".to_owned(),
        _ => format!("content-length: {}", part.body_bytes),
    };
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: site.example\r\ncontent-type: application/json\r\n{length}\r\n\r\n"
    );
    write(stream, head.as_bytes()).await?;
    let sent = part.body_bytes - WITHHELD_BYTES;
    match part.form {
        BodyForm::Whole => write_data(stream, sent).await,
        BodyForm::Pieces => {
            for _ in 0..PIECES {
                write_data(stream, sent / PIECES).await?;
                tokio::time::sleep(PIECE_PAUSE).await;
            }
            Ok(())
        }
        BodyForm::Chunks(size) => {
            let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
            let count = (WRITE_BYTES / chunk.len()).max(1);
            let block = chunk.repeat(count);
            for _ in 0..sent.div_ceil(size * count) {
                write(stream, block.as_bytes()).await?;
            }
            Ok(())
        }
    }
}

async fn write_data(stream: &mut TcpStream, mut bytes: usize) -> io::Result<()> {
    let block = vec![b'x'; WRITE_BYTES.min(bytes)];
    while bytes > 0 {
        let part = bytes.min(WRITE_BYTES);
        write(stream, &block[..part]).await?;
        bytes -= part;
    }
    Ok(())
}

async fn write(stream: &mut TcpStream, data: &[u8]) -> io::Result<()> {
    tokio::time::timeout(WRITE_TIMEOUT, stream.write_all(data)).await?
}

/// Peak memory of a process and the most descriptors that it had open while it was watched.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUsage {
    /// Peak resident memory in kilobytes (`VmHWM`).
    pub peak_kb: u64,
    /// Most open descriptors.
    pub descriptors: usize,
}

/// Watches a process until it is asked for the usage.
#[derive(Debug)]
pub struct ProcessWatch {
    id: u32,
    descriptors: Rc<Cell<usize>>,
    sampler: JoinHandle<()>,
}

impl ProcessWatch {
    /// Starts to watch a process; needs a local task set, such as that of an actix system.
    #[must_use]
    pub fn start(id: u32) -> Self {
        let descriptors = Rc::new(Cell::new(0));
        let most = descriptors.clone();
        let sampler = tokio::task::spawn_local(async move {
            while let Some(count) = count_descriptors(id) {
                most.set(most.get().max(count));
                tokio::time::sleep(SAMPLE_INTERVAL).await;
            }
        });
        Self { id, descriptors, sampler }
    }

    /// Returns the usage so far, or none if the process has ended.
    #[must_use]
    pub fn usage(&self) -> Option<ProcessUsage> {
        let descriptors = self.descriptors.get().max(count_descriptors(self.id)?);
        Some(ProcessUsage { peak_kb: read_peak_kb(self.id)?, descriptors })
    }
}

impl Drop for ProcessWatch {
    fn drop(&mut self) {
        self.sampler.abort();
    }
}

fn count_descriptors(id: u32) -> Option<usize> {
    Some(std::fs::read_dir(format!("/proc/{id}/fd")).ok()?.count())
}

/// Reads the peak resident memory; a process that has ended has none.
fn read_peak_kb(id: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.split_whitespace().next()?.parse().ok()
}
