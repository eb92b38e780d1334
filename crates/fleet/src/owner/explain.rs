//! Answers questions about jobs that are not submitted, from the planner's state.

use model::kind::ErrorKind;
use plan::explain::{ExplainContext, ExplainQuestion, UnknownName};
use tokio::sync::mpsc;

use crate::desk;
use crate::explain::{ExplainAnswer, ExplainCall};
use crate::limits;
use crate::owner::{OwnerPorts, SharedSession};

/// Answers questions one after the other until the ownership ends.
pub(crate) async fn serve_questions<P: OwnerPorts>(
    session: SharedSession<P>,
    mut calls: mpsc::Receiver<ExplainCall>,
) {
    while let Some(ExplainCall { question, reply }) = calls.recv().await {
        // The entry has given up on the question.
        if reply.is_closed() {
            continue;
        }
        if reply.send(explain(&session, question)).is_err() {
            log::debug!("question abandoned by the entry before its answer");
        }
        tokio::time::sleep(limits::EXPLAIN_PAUSE).await;
    }
}

fn explain<P: OwnerPorts>(session: &SharedSession<P>, question: ExplainQuestion) -> ExplainAnswer {
    let started = session.context.clock.now();
    let context = ExplainContext {
        dispatcher: &session.dispatcher.borrow(),
        storing_calls: &session.storing_calls.borrow(),
        storing_room: &session.storing_demands.borrow(),
        now_ms: started.0,
        unix_ms: desk::unix_ms(),
    };
    let queue = question.queue.clone();
    let answer = session.planner.borrow().explain(question, context);
    let took_ms = session.context.clock.now().since(started);
    log::info!("job explained queue={queue} known={} took_ms={took_ms}", answer.is_ok());
    answer.map(Box::new).map_err(|unknown| match unknown {
        UnknownName::Queue | UnknownName::Team => ErrorKind::NotFound,
    })
}
