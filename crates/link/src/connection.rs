//! Connections of clients: their number, what they buffer, and which one gives way.
//!
//! actix-http reads a connection as long as data arrives, up to 128 KB, and decodes all of it at
//! once, so that chunks of one byte take up to 1 MB for each connection. It has no time limit for
//! the head of a second request. A [`BoundedStream`] gives it a few kilobytes at a time and is
//! closed when the connection is overdue or has to give way.

use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use actix_rt::net::TcpStream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

use crate::intake::{self, IntakeCounts};

/// Most bytes that are decoded at once. Ordinary requests fit; 4 KB hold 682 chunks of one byte,
/// which take 32 KB as a list.
const READ_BYTES: usize = 4_096;
/// Longest head of a request, and most bytes that are read ahead of the request being served.
const HEAD_BYTES: usize = 16_384;
/// Longest time for the head of a request.
pub(crate) const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a connection is kept after a refusal, so that the client can read it.
pub(crate) const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time in which a client takes nothing of its answer. Connections with such an answer do
/// not give way, so that clients that never read could otherwise keep all others out.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Answer to a client whose connection is given up. Its request is not complete and never runs.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\n\
    retry-after: 1\r\nx-outcome: not-run\r\ncontent-length: 0\r\n\r\n";

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ConnectionPhase {
    /// Its request was refused before the body was read.
    Refused,
    /// The head or body of a request is incomplete.
    Receiving,
    /// Kept open between two requests.
    Idle,
    /// A complete request is being served or its answer is being sent; the connection never gives
    /// way.
    Serving,
}

/// What the handler of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HandlerState {
    /// No handler has taken the request that is received.
    None,
    /// A handler has taken the request and may have passed it on.
    Called,
    /// The handler waits for the body before it does anything else.
    Reading,
}

/// How far the answers of a connection were sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OutputState {
    /// Nothing is to be sent.
    Sent,
    /// The handler has returned an answer, a part of which is not encoded.
    Encoding,
    /// The answer is encoded, but a part of it was not written.
    Encoded,
}

#[derive(Debug)]
struct OpenConnection {
    phase: ConnectionPhase,
    /// When the phase began.
    since: Instant,
    /// When data arrived last, at the latest when the phase began.
    progressed: Instant,
    handler: HandlerState,
    /// Bytes read since a handler took a request, or since the connection began.
    unhandled_bytes: usize,
    paused: bool,
    output: OutputState,
    /// When the answer was returned or a part of it was written last.
    output_progressed: Instant,
    /// Whether the connection was given up.
    closed: bool,
    /// Wakes the task of the connection.
    waker: Option<Waker>,
}

impl OpenConnection {
    /// Returns whether no request is passed on and no answer is owed.
    fn may_give_way(&self) -> bool {
        let is_served = match self.phase {
            ConnectionPhase::Serving => true,
            ConnectionPhase::Receiving => self.handler == HandlerState::Called,
            ConnectionPhase::Refused | ConnectionPhase::Idle => false,
        };
        !is_served && self.output == OutputState::Sent
    }

    fn enter(&mut self, phase: ConnectionPhase) {
        let now = Instant::now();
        (self.phase, self.since, self.progressed) = (phase, now, now);
    }

    fn wake(&mut self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    fn close(&mut self) {
        self.closed = true;
        self.wake();
    }
}

#[derive(Debug)]
struct TableState {
    limit: usize,
    next_id: u64,
    /// Connections that were not given up.
    live: usize,
    connections: BTreeMap<u64, OpenConnection>,
}

impl TableState {
    /// Gives up the connection that delays its client's requests least: a refused one, else the
    /// incomplete one without progress for longest, else the one that is idle for longest.
    fn give_up_one(&mut self) -> bool {
        let connections = self.connections.values_mut();
        let candidates =
            connections.filter(|connection| !connection.closed && connection.may_give_way());
        let chosen = candidates.min_by_key(|connection| (connection.phase, connection.progressed));
        let Some(connection) = chosen else { return false };
        connection.close();
        self.live -= 1;
        true
    }
}

/// Connections of one kind of clients; clones share it, also between threads.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    state: Arc<Mutex<TableState>>,
    counts: Arc<IntakeCounts>,
}

impl ConnectionTable {
    /// Creates a table for so many connections.
    #[must_use]
    pub fn new(limit: u64, counts: Arc<IntakeCounts>) -> Self {
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let state = TableState { limit, next_id: 0, live: 0, connections: BTreeMap::new() };
        Self { state: Arc::new(Mutex::new(state)), counts }
    }

    /// Returns the number of connections, without those that are being closed.
    #[must_use]
    pub fn open(&self) -> usize {
        self.lock().live
    }

    /// Admits a connection; another one gives way at the limit.
    ///
    /// # Errors
    /// The connection is refused if requests of all others are being served.
    pub fn admit(&self, io: TcpStream) -> io::Result<BoundedStream> {
        let mut state = self.lock();
        if state.live >= state.limit {
            if !state.give_up_one() {
                intake::add(&self.counts.connections_refused);
                // The refusal is a courtesy: the client may have closed the connection already.
                drop(io.try_write(REFUSAL));
                return Err(io::ErrorKind::ConnectionRefused.into());
            }
            intake::add(&self.counts.connections_replaced);
        }
        let (id, now) = (state.next_id, Instant::now());
        state.next_id += 1;
        state.live += 1;
        state.connections.insert(
            id,
            OpenConnection {
                phase: ConnectionPhase::Receiving,
                since: now,
                progressed: now,
                handler: HandlerState::None,
                unhandled_bytes: 0,
                paused: false,
                output: OutputState::Sent,
                output_progressed: now,
                closed: false,
                waker: None,
            },
        );
        drop(state);
        let handle = ConnectionHandle { table: self.clone(), id };
        Ok(BoundedStream { io, handle, must_yield: false })
    }

    /// Closes connections whose time is over.
    pub(crate) fn close_overdue(&self, now: Instant) {
        let mut state = self.lock();
        let mut closed = 0;
        for connection in state.connections.values_mut() {
            let until = match connection.phase {
                ConnectionPhase::Refused => connection.since + LINGER_TIMEOUT,
                _ if connection.output != OutputState::Sent => {
                    connection.output_progressed + ANSWER_TIMEOUT
                }
                ConnectionPhase::Receiving if connection.handler == HandlerState::None => {
                    connection.since + HEAD_TIMEOUT
                }
                // A body has a timer of its own, and an idle connection that of the server.
                _ => continue,
            };
            if !connection.closed && now >= until {
                connection.close();
                closed += 1;
            }
        }
        state.live -= closed;
        drop(state);
        self.counts.connections_overdue.fetch_add(closed as u64, Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection as the handlers of its requests see it.
#[derive(Clone, Debug)]
pub struct ConnectionHandle {
    table: ConnectionTable,
    id: u64,
}

impl ConnectionHandle {
    /// Records that a handler is to take a request, whose body may be incomplete; returns whether
    /// it may. If not, the connection was given up, and the request must be refused.
    #[must_use]
    pub fn begin(&self) -> bool {
        self.update_open(|connection| {
            if connection.closed {
                connection.enter(ConnectionPhase::Refused);
                return false;
            }
            connection.enter(ConnectionPhase::Receiving);
            connection.handler = HandlerState::Called;
            connection.unhandled_bytes = 0;
            true
        })
    }

    /// Records that the handler waits for the body, so that the request can still be refused.
    pub(crate) fn read_body(&self) {
        self.update(|connection| connection.handler = HandlerState::Reading);
    }

    /// Records that the request is complete; returns whether it may be served. If not, the
    /// connection was given up, and the request must be refused.
    #[must_use]
    pub fn serve(&self) -> bool {
        self.update_open(|connection| {
            if !connection.closed {
                connection.enter(ConnectionPhase::Serving);
            }
            !connection.closed
        })
    }

    /// Records that the handler has returned an answer; returns whether the connection has to be
    /// closed, because the body was not read to the end.
    #[must_use]
    pub fn finish(&self) -> bool {
        let mut refused = false;
        self.update(|connection| {
            refused = connection.phase != ConnectionPhase::Serving;
            if refused {
                connection.enter(ConnectionPhase::Refused);
            }
            connection.handler = HandlerState::None;
            connection.unhandled_bytes = 0;
            connection.paused = false;
            (connection.output, connection.output_progressed) =
                (OutputState::Encoding, Instant::now());
        });
        refused
    }

    /// Records that the whole answer is encoded.
    pub fn end_output(&self) {
        self.update(|connection| {
            if connection.output == OutputState::Encoding {
                connection.output = OutputState::Encoded;
            }
        });
    }

    /// Records that everything that was encoded is written.
    fn record_flush(&self) {
        self.update(|connection| {
            if connection.output != OutputState::Encoded {
                return;
            }
            connection.output = OutputState::Sent;
            if connection.phase == ConnectionPhase::Serving
                && connection.handler == HandlerState::None
            {
                // A part of the next request may have been read before the answer was written.
                connection.enter(match connection.unhandled_bytes {
                    0 => ConnectionPhase::Idle,
                    _ => ConnectionPhase::Receiving,
                });
            }
            connection.wake();
        });
    }

    /// Stops or resumes the reading of the connection.
    pub(crate) fn pause(&self, paused: bool) {
        self.update(|connection| {
            connection.paused = paused;
            if !paused {
                connection.wake();
            }
        });
    }

    /// Changes the connection unless it has ended; returns the result of the change, or false.
    fn update_open(&self, change: impl FnOnce(&mut OpenConnection) -> bool) -> bool {
        self.table.lock().connections.get_mut(&self.id).is_some_and(change)
    }

    fn update(&self, change: impl FnOnce(&mut OpenConnection)) {
        if let Some(connection) = self.table.lock().connections.get_mut(&self.id) {
            change(connection);
        }
    }

    /// Returns whether the connection may be read now.
    fn poll_may_read(&self, context: &Context<'_>) -> Poll<io::Result<()>> {
        let mut state = self.table.lock();
        let Some(connection) = state.connections.get_mut(&self.id) else {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        };
        if connection.closed {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        if !connection.waker.as_ref().is_some_and(|waker| waker.will_wake(context.waker())) {
            connection.waker = Some(context.waker().clone());
        }
        if connection.unhandled_bytes < HEAD_BYTES && !connection.paused {
            return Poll::Ready(Ok(()));
        }
        if connection.phase == ConnectionPhase::Receiving
            && connection.handler == HandlerState::None
        {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        Poll::Pending
    }

    fn record_read(&self, bytes: usize) {
        self.update(|connection| match connection.phase {
            ConnectionPhase::Refused => {}
            ConnectionPhase::Receiving if connection.handler != HandlerState::None => {
                connection.progressed = Instant::now();
            }
            phase => {
                if phase == ConnectionPhase::Idle && bytes > 0 {
                    connection.enter(ConnectionPhase::Receiving);
                }
                connection.progressed = Instant::now();
                connection.unhandled_bytes += bytes;
            }
        });
    }

    /// Returns whether the connection was given up without an answer: a request may have been
    /// sent, but was not read to its end and not passed on. A refusal in the middle of an earlier
    /// answer would destroy it.
    fn owes_refusal(&self) -> bool {
        let state = self.table.lock();
        state.connections.get(&self.id).is_some_and(|connection| {
            connection.closed
                && connection.phase != ConnectionPhase::Refused
                && connection.may_give_way()
        })
    }
}

/// A connection that is read a little at a time and can be closed from outside.
#[derive(Debug)]
pub struct BoundedStream {
    io: TcpStream,
    handle: ConnectionHandle,
    /// Whether the next read has to wait until what was read is decoded. After a read that did not
    /// fill its buffer, the next one finds no data in any case.
    must_yield: bool,
}

impl BoundedStream {
    /// Returns the handle for handlers.
    #[must_use]
    pub fn handle(&self) -> ConnectionHandle {
        self.handle.clone()
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if std::mem::take(&mut self.must_yield) {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        if let Err(error) = ready!(self.handle.poll_may_read(context)) {
            if self.handle.owes_refusal() {
                // As above: the client may be gone.
                drop(self.io.try_write(REFUSAL));
            }
            return Poll::Ready(Err(error));
        }
        let room = buffer.remaining().min(READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(room));
        ready!(Pin::new(&mut self.io).poll_read(context, &mut part))?;
        let read = part.filled().len();
        buffer.advance(read);
        self.must_yield = read == room;
        self.handle.record_read(read);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.io).poll_write(context, data))?;
        self.handle.update(|connection| connection.output_progressed = Instant::now());
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.io).poll_flush(context))?;
        self.handle.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }
}

impl Drop for BoundedStream {
    fn drop(&mut self) {
        let mut state = self.handle.table.lock();
        if state.connections.remove(&self.handle.id).is_some_and(|connection| !connection.closed) {
            state.live -= 1;
        }
    }
}
