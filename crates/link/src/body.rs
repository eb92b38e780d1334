//! Reads request bodies within a bound over all bodies that a process holds.
//!
//! Clients are not under control: they may send many large bodies at once, stop just before the
//! end, and stay connected. Every body therefore reserves its memory before it is read, and has
//! limits on its length and time. When the memory is used up, the body that has been incomplete
//! for longest is aborted, so that new small bodies find room (docs/design/request-bodies.md).

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::future::poll_fn;
use std::ops::Deref;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use tokio::time::{Instant, Sleep};

use crate::connection::ConnectionHandle;
use crate::intake::ClientIntake;

/// Default of [`BodyLimits::progress_timeout`]. Callers wait 3 s for an answer.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(5);
/// Default of [`BodyLimits::whole_timeout`]. A body of 16 MB takes 13 s on a link of 10 Mbit/s.
const WHOLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Capacity that a body without declared length gets first; ordinary requests fit.
const FIRST_CAPACITY: usize = 4_096;
/// Bodies up to this length are small.
const SMALL_BODY_BYTES: usize = 65_536;
/// Part of the budget that only small bodies may use, as its divisor.
const SMALL_BODY_DIVISOR: usize = 8;

/// Limits of one body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// Longest body in bytes.
    pub max_bytes: usize,
    /// Longest time in which nothing arrives.
    pub progress_timeout: Duration,
    /// Longest time until the body is complete.
    pub whole_timeout: Duration,
}

impl BodyLimits {
    /// Returns the limits of bodies of at most so many bytes.
    #[must_use]
    pub const fn new(max_bytes: usize) -> Self {
        Self { max_bytes, progress_timeout: PROGRESS_TIMEOUT, whole_timeout: WHOLE_TIMEOUT }
    }
}

/// Why a body was not received. Nothing was done for its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body is longer than this many bytes.
    TooLong(usize),
    /// There was no room for the body, or it or its connection gave way to another one.
    NoRoom,
    /// Nothing arrived for too long, or the whole body took too long.
    TooSlow,
    /// The connection failed, or the encoding is wrong.
    Broken(String),
}

impl fmt::Display for BodyError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong(limit) => write!(out, "body: longer than {limit} bytes"),
            Self::NoRoom => out.write_str("no room for the body; retry later"),
            Self::TooSlow => out.write_str("body: did not arrive in time"),
            Self::Broken(error) => write!(out, "body: {error}"),
        }
    }
}

impl std::error::Error for BodyError {}

/// Bound over the memory of all bodies; clones share it, also between threads.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    state: Arc<Mutex<BudgetState>>,
}

#[derive(Debug)]
struct BudgetState {
    limit: usize,
    held: usize,
    /// Bytes of aborted bodies that their tasks have not released yet.
    releasing: usize,
    next_id: u64,
    /// Incomplete bodies in the order in which they began.
    incomplete: BTreeMap<u64, IncompleteBody>,
    /// Bodies that wait for room, the first one first; also some that have stopped waiting.
    waiting: VecDeque<u64>,
}

#[derive(Debug, Default)]
struct IncompleteBody {
    bytes: usize,
    aborted: bool,
    /// Whether the body waits for room.
    waiting: bool,
    /// Wakes the task that reads the body when it is aborted or there may be room.
    waker: Option<Waker>,
}

impl BudgetState {
    /// Returns the limit for the sum of all bodies if a body of this size is to be held.
    const fn limit_for(&self, bytes: usize) -> usize {
        if bytes > SMALL_BODY_BYTES {
            self.limit - self.limit / SMALL_BODY_DIVISOR
        } else {
            self.limit
        }
    }

    /// Wakes the first body that waits for room.
    fn wake_first(&mut self) {
        while let Some(id) = self.waiting.pop_front() {
            let Some(body) = self.incomplete.get_mut(&id) else { continue };
            // A wake-up spent on a body that no longer waits would be missed by the next one.
            if std::mem::take(&mut body.waiting) {
                if let Some(waker) = body.waker.take() {
                    waker.wake();
                }
                return;
            }
        }
    }

    /// Aborts bodies that began before this one until `short` bytes will be released; returns
    /// whether these bodies hold that many.
    fn abort_before(&mut self, id: u64, short: usize) -> bool {
        let older = || self.incomplete.range(..id).filter(|(_, body)| !body.aborted);
        if older().map(|(_, body)| body.bytes).sum::<usize>() < short {
            return false;
        }
        let mut released = 0;
        for (_, body) in self.incomplete.range_mut(..id) {
            if released >= short {
                break;
            }
            if !body.aborted && body.bytes > 0 {
                body.aborted = true;
                released += body.bytes;
                if let Some(waker) = body.waker.take() {
                    waker.wake();
                }
            }
        }
        self.releasing += released;
        true
    }
}

impl BodyBudget {
    /// Creates a budget of so many bytes.
    #[must_use]
    pub fn new(limit: u64) -> Self {
        let state = BudgetState {
            limit: usize::try_from(limit).unwrap_or(usize::MAX),
            held: 0,
            releasing: 0,
            next_id: 0,
            incomplete: BTreeMap::new(),
            waiting: VecDeque::new(),
        };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Returns the bytes that all bodies hold.
    #[must_use]
    pub fn held(&self) -> usize {
        self.lock().held
    }

    /// Begins a body, which holds nothing yet.
    #[must_use]
    pub fn begin(&self) -> BodyRoom {
        let mut state = self.lock();
        let id = state.next_id;
        state.next_id += 1;
        state.incomplete.insert(id, IncompleteBody::default());
        drop(state);
        BodyRoom { budget: self.clone(), id, bytes: 0 }
    }

    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Memory that one body holds; released when it is dropped.
#[derive(Debug)]
pub struct BodyRoom {
    budget: BodyBudget,
    id: u64,
    bytes: usize,
}

impl BodyRoom {
    /// Reserves further bytes, and waits for bodies that were aborted for them.
    ///
    /// # Errors
    /// [`BodyError::NoRoom`] if this body was aborted, or if no older body could give way.
    pub fn poll_grow(
        &mut self,
        context: &mut Context<'_>,
        bytes: usize,
    ) -> Poll<Result<(), BodyError>> {
        let mut state = self.budget.lock();
        if state.incomplete.get(&self.id).is_none_or(|body| body.aborted) {
            return Poll::Ready(Err(BodyError::NoRoom));
        }
        let limit = state.limit_for(self.bytes + bytes);
        let needed = state.held + bytes;
        if needed <= limit {
            self.bytes += bytes;
            state.held = needed;
            if let Some(body) = state.incomplete.get_mut(&self.id) {
                body.bytes = self.bytes;
                body.waiting = false;
            }
            state.wake_first();
            return Poll::Ready(Ok(()));
        }
        let short = (needed - limit).saturating_sub(state.releasing);
        if short > 0 && !state.abort_before(self.id, short) {
            return Poll::Ready(Err(BodyError::NoRoom));
        }
        if let Some(body) = state.incomplete.get_mut(&self.id) {
            body.waker = Some(context.waker().clone());
            if !std::mem::replace(&mut body.waiting, true) {
                state.waiting.push_back(self.id);
            }
        }
        Poll::Pending
    }

    /// Is ready once the body is aborted.
    pub fn poll_aborted(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let mut state = self.budget.lock();
        match state.incomplete.get_mut(&self.id) {
            Some(body) if body.aborted => Poll::Ready(()),
            Some(body) => {
                if !body.waker.as_ref().is_some_and(|waker| waker.will_wake(context.waker())) {
                    body.waker = Some(context.waker().clone());
                }
                Poll::Pending
            }
            None => Poll::Pending,
        }
    }

    /// Marks the body as complete: it cannot be aborted any more.
    ///
    /// # Errors
    /// [`BodyError::NoRoom`] if it was aborted before.
    pub fn complete(&mut self) -> Result<(), BodyError> {
        let mut state = self.budget.lock();
        match state.incomplete.get(&self.id) {
            Some(body) if body.aborted => Err(BodyError::NoRoom),
            _ => {
                state.incomplete.remove(&self.id);
                Ok(())
            }
        }
    }
}

impl Drop for BodyRoom {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        state.held -= self.bytes;
        if state.incomplete.remove(&self.id).is_some_and(|body| body.aborted) {
            state.releasing -= self.bytes;
        }
        state.wake_first();
    }
}

/// A complete body with the memory that it holds.
#[derive(Debug)]
pub struct ReceivedBody {
    bytes: Bytes,
    _room: BodyRoom,
}

impl ReceivedBody {
    /// Returns the bytes; clones of them must not outlive the body for long.
    #[must_use]
    pub const fn bytes(&self) -> &Bytes {
        &self.bytes
    }
}

impl Deref for ReceivedBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a body, with its length if the client declared one.
///
/// While the body waits for room, its connection is not read.
///
/// # Errors
/// [`BodyError`], after which the connection should be closed.
pub async fn read_body<S, E>(
    payload: &mut S,
    declared: Option<u64>,
    limits: BodyLimits,
    intake: &ClientIntake,
    connection: Option<&ConnectionHandle>,
) -> Result<ReceivedBody, BodyError>
where
    S: Stream<Item = Result<Bytes, E>> + Unpin,
    E: fmt::Display,
{
    let max = u64::try_from(limits.max_bytes).unwrap_or(u64::MAX);
    let result = if declared.is_some_and(|length| length > max) {
        Err(BodyError::TooLong(limits.max_bytes))
    } else {
        if let Some(connection) = connection {
            connection.read_body();
        }
        BodyReader::new(payload, limits, &intake.bodies, connection).read(declared).await
    };
    if let Err(error) = &result {
        intake.counts.record_body_error(error);
    }
    result
}

/// Reads one body.
struct BodyReader<'a, S> {
    payload: &'a mut S,
    connection: Option<&'a ConnectionHandle>,
    limits: BodyLimits,
    room: BodyRoom,
    data: Vec<u8>,
    started: Instant,
    progressed: Instant,
    /// Fires at the earliest time at which the body may be too slow; set on the first wait, which
    /// ordinary bodies do not need.
    timer: Option<Pin<Box<Sleep>>>,
}

impl<'a, S, E> BodyReader<'a, S>
where
    S: Stream<Item = Result<Bytes, E>> + Unpin,
    E: fmt::Display,
{
    fn new(
        payload: &'a mut S,
        limits: BodyLimits,
        budget: &BodyBudget,
        connection: Option<&'a ConnectionHandle>,
    ) -> Self {
        let now = Instant::now();
        Self {
            payload,
            connection,
            limits,
            room: budget.begin(),
            data: Vec::new(),
            started: now,
            progressed: now,
            timer: None,
        }
    }

    async fn read(mut self, declared: Option<u64>) -> Result<ReceivedBody, BodyError> {
        if let Some(length) = declared.and_then(|length| usize::try_from(length).ok()) {
            self.grow(length).await?;
        }
        while let Some(chunk) = poll_fn(|context| self.poll_chunk(context)).await? {
            let length = self.data.len() + chunk.len();
            if length > self.limits.max_bytes {
                return Err(BodyError::TooLong(self.limits.max_bytes));
            }
            if length > self.data.capacity() {
                let doubled = (self.data.capacity() * 2).max(FIRST_CAPACITY);
                self.grow(doubled.min(self.limits.max_bytes).max(length)).await?;
            }
            self.data.extend_from_slice(&chunk);
            self.progressed = Instant::now();
        }
        self.room.complete()?;
        if self.connection.is_some_and(|connection| !connection.serve()) {
            return Err(BodyError::NoRoom);
        }
        Ok(ReceivedBody { bytes: self.data.into(), _room: self.room })
    }

    /// Reserves and allocates memory up to a capacity.
    async fn grow(&mut self, capacity: usize) -> Result<(), BodyError> {
        let bytes = capacity - self.data.capacity();
        let mut paused = false;
        poll_fn(|context| {
            let grown = self.room.poll_grow(context, bytes);
            if grown.is_pending() {
                if !paused {
                    paused = true;
                    self.pause(true);
                }
                if self.poll_too_slow(context).is_ready() {
                    return Poll::Ready(Err(BodyError::NoRoom));
                }
            }
            grown
        })
        .await?;
        if paused {
            self.pause(false);
        }
        self.data.reserve_exact(capacity - self.data.len());
        Ok(())
    }

    fn pause(&self, paused: bool) {
        if let Some(connection) = self.connection {
            connection.pause(paused);
        }
    }

    fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<Result<Option<Bytes>, BodyError>> {
        if self.room.poll_aborted(context).is_ready() {
            return Poll::Ready(Err(BodyError::NoRoom));
        }
        match self.payload.poll_next_unpin(context) {
            Poll::Ready(chunk) => {
                let chunk = chunk.transpose();
                Poll::Ready(chunk.map_err(|error| BodyError::Broken(error.to_string())))
            }
            Poll::Pending => self.poll_too_slow(context).map(Err),
        }
    }

    /// Is ready once the body has taken too long.
    fn poll_too_slow(&mut self, context: &mut Context<'_>) -> Poll<BodyError> {
        let until = (self.progressed + self.limits.progress_timeout)
            .min(self.started + self.limits.whole_timeout);
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(until)));
        while timer.as_mut().poll(context).is_ready() {
            if Instant::now() >= until {
                return Poll::Ready(BodyError::TooSlow);
            }
            timer.as_mut().reset(until);
        }
        Poll::Pending
    }
}
