//! Tests of the bound over request bodies.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream::{self, StreamExt};
use futures_util::task::noop_waker;
use link::body::{self, BodyBudget, BodyError, BodyLimits, BodyRoom};
use link::intake::ClientIntake;

/// Largest body of the tests.
const MAX_BYTES: usize = 100_000;
/// Limits of the tests, with times that are short for a test and long for a machine under load.
const LIMITS: BodyLimits = BodyLimits {
    max_bytes: MAX_BYTES,
    progress_timeout: Duration::from_millis(200),
    whole_timeout: Duration::from_millis(600),
};

fn grow(room: &mut BodyRoom, bytes: usize) -> Poll<Result<(), BodyError>> {
    room.poll_grow(&mut Context::from_waker(&noop_waker()), bytes)
}

/// Records that its waker was used.
#[derive(Default)]
struct WakeFlag(AtomicBool);

impl Wake for WakeFlag {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::Relaxed);
    }
}

fn is_aborted(room: &mut BodyRoom) -> bool {
    room.poll_aborted(&mut Context::from_waker(&noop_waker())).is_ready()
}

/// Guards against bodies that hold more than the budget together, and against small ones that
/// find no room beside stalled ones.
#[test]
fn the_oldest_incomplete_body_gives_way() {
    let budget = BodyBudget::new(30_000);
    let mut rooms: Vec<_> = (0..3).map(|_| budget.begin()).collect();
    for room in &mut rooms {
        assert_eq!(grow(room, 10_000), Poll::Ready(Ok(())));
    }
    let mut small = budget.begin();
    assert_eq!(grow(&mut small, 2_000), Poll::Pending);
    let aborted: Vec<_> = rooms.iter_mut().map(is_aborted).collect();
    assert_eq!(aborted, [true, false, false]);
    // The memory is not used twice: it counts until the aborted body has released it.
    assert_eq!((grow(&mut small, 2_000), budget.held()), (Poll::Pending, 30_000));
    assert_eq!(grow(&mut rooms[0], 1), Poll::Ready(Err(BodyError::NoRoom)));
    drop(rooms.remove(0));
    assert_eq!((grow(&mut small, 2_000), budget.held()), (Poll::Ready(Ok(())), 22_000));
    assert!(!rooms.iter_mut().any(is_aborted), "more bodies were aborted than needed");
}

/// Guards against a body that waits although there is room, because the wake-up went to one that
/// had found room by itself.
#[test]
fn each_waiting_body_is_woken() {
    let budget = BodyBudget::new(30_000);
    let mut rooms: Vec<_> = (0..3).map(|_| budget.begin()).collect();
    for room in &mut rooms {
        assert_eq!(grow(room, 10_000), Poll::Ready(Ok(())));
    }
    let flags: Vec<_> = (0..3).map(|_| Arc::new(WakeFlag::default())).collect();
    let poll = |room: &mut BodyRoom, flag: &Arc<WakeFlag>| {
        let waker = Waker::from(flag.clone());
        room.poll_grow(&mut Context::from_waker(&waker), 10_000)
    };
    let mut waiting: Vec<_> = (0..3).map(|_| budget.begin()).collect();
    for (room, flag) in waiting.iter_mut().zip(&flags) {
        assert_eq!(poll(room, flag), Poll::Pending);
    }
    let is_woken = |index: usize| flags[index].0.swap(false, Ordering::Relaxed);
    drop(rooms.remove(0));
    assert!(is_woken(0) && !is_woken(1));
    // The second one is polled for another reason, before the first one, and takes the room.
    assert_eq!(poll(&mut waiting[1], &flags[1]), Poll::Ready(Ok(())));
    assert!(is_woken(2) && !is_woken(1), "the wake-up went to a body that does not wait");
    assert_eq!(poll(&mut waiting[0], &flags[0]), Poll::Pending);
    drop(rooms.remove(0));
    assert!(is_woken(0));
}

/// Guards against complete bodies that are aborted, and against a body that waits for room that
/// none of the others will release.
#[test]
fn complete_bodies_stay() {
    let budget = BodyBudget::new(30_000);
    let mut complete = budget.begin();
    assert_eq!(grow(&mut complete, 29_000), Poll::Ready(Ok(())));
    assert_eq!(complete.complete(), Ok(()));
    let mut late = budget.begin();
    assert_eq!(grow(&mut late, 2_000), Poll::Ready(Err(BodyError::NoRoom)));
    assert!(!is_aborted(&mut complete));
    drop(complete);
    assert_eq!(grow(&mut late, 2_000), Poll::Ready(Ok(())));
    drop(late);
    assert_eq!(budget.held(), 0);
}

/// Guards against large bodies that leave no room for ordinary ones once they are complete.
#[test]
fn a_part_is_kept_for_small_bodies() {
    let budget = BodyBudget::new(800_000);
    let mut large = budget.begin();
    assert_eq!(grow(&mut large, 700_000), Poll::Ready(Ok(())));
    assert_eq!(large.complete(), Ok(()));
    assert_eq!(grow(&mut budget.begin(), 70_000), Poll::Ready(Err(BodyError::NoRoom)));
    assert_eq!(grow(&mut budget.begin(), 60_000), Poll::Ready(Ok(())));
}

/// Reads a body that arrives in these chunks and is not ended by the client if `open`.
async fn read(
    intake: &ClientIntake,
    declared: Option<u64>,
    chunks: Vec<Bytes>,
    open: bool,
) -> Result<usize, BodyError> {
    let chunks = stream::iter(chunks).map(Ok::<_, BodyError>);
    let mut payload =
        if open { chunks.chain(stream::pending()).left_stream() } else { chunks.right_stream() };
    let body = body::read_body(&mut payload, declared, LIMITS, intake, None).await?;
    assert!(intake.bodies.held() >= body.len(), "a body is held that is not counted");
    Ok(body.len())
}

/// Guards against a body that is read although it is too long, or refused although it is not,
/// and against memory that stays reserved afterwards.
#[tokio::test]
async fn lengths_are_checked() {
    let intake = ClientIntake::new("test", 400_000, 1);
    let whole = vec![Bytes::from(vec![b'x'; MAX_BYTES])];
    assert_eq!(read(&intake, Some(100_000), whole.clone(), false).await, Ok(MAX_BYTES));
    assert_eq!(read(&intake, None, whole.clone(), false).await, Ok(MAX_BYTES));
    assert_eq!(read(&intake, Some(0), Vec::new(), false).await, Ok(0));
    let too_long = Err(BodyError::TooLong(MAX_BYTES));
    // Refused by its declared length alone: a read would wait.
    assert_eq!(read(&intake, Some(100_001), Vec::new(), true).await, too_long);
    let longer = [whole, vec![Bytes::from_static(b"x")]].concat();
    assert_eq!(read(&intake, None, longer, true).await, too_long);
    assert_eq!(intake.bodies.held(), 0);
}

/// Guards against many chunks of one byte that take more memory than their sum, and against a body
/// in such chunks that is refused although it would fit.
#[tokio::test]
async fn small_chunks_are_gathered() {
    let intake = ClientIntake::new("test", 40_000, 1);
    let chunks = vec![Bytes::from_static(b"x"); 20_000];
    assert_eq!(read(&intake, None, chunks, false).await, Ok(20_000));
    assert_eq!(intake.bodies.held(), 0);
}

/// Guards against clients that hold memory without sending anything, or by sending little.
#[tokio::test]
async fn bodies_have_time_limits() {
    let intake = ClientIntake::new("test", 400_000, 1);
    let stalled = read(&intake, Some(10), vec![Bytes::from_static(b"x")], true).await;
    assert_eq!(stalled, Err(BodyError::TooSlow));

    let start = Instant::now();
    let mut drip = Box::pin(stream::unfold((), |()| async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        Some((Ok::<_, BodyError>(Bytes::from_static(b"x")), ()))
    }));
    let dripped = body::read_body(&mut drip, Some(1_000), LIMITS, &intake, None).await;
    assert_eq!(dripped.err(), Some(BodyError::TooSlow));
    assert!(start.elapsed() >= LIMITS.whole_timeout, "a body that made progress was given up");
    assert_eq!(intake.bodies.held(), 0);
}
