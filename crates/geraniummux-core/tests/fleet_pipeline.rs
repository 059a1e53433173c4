//! Which pipelined requests start before their turn.

use geraniummux_core::fleet::{Pipeline, PipelineOptions, PipelinedKind, ReadAheadRequest};
use proptest::prelude::*;
use std::collections::BTreeSet;

const OPTIONS: PipelineOptions = PipelineOptions { max_ahead: 8, max_bytes: 10_000 };
const HEAD_BYTES: u64 = 100;

fn request(kind: PipelinedKind, response_bytes: u64) -> ReadAheadRequest {
    ReadAheadRequest { kind, head_bytes: HEAD_BYTES, response_bytes }
}

/// Returns a connection with a request in service, and requests of these kinds behind it.
fn pipeline(current: PipelinedKind, ahead: &[PipelinedKind]) -> Pipeline {
    let mut pipeline = Pipeline::new(OPTIONS);
    assert!(!pipeline.take(current));
    for kind in ahead {
        pipeline.read_ahead(request(*kind, 0));
    }
    pipeline
}

fn start_all(pipeline: &mut Pipeline) -> Vec<u64> {
    std::iter::from_fn(|| pipeline.start_next()).collect()
}

fn finish_current(pipeline: &mut Pipeline) {
    pipeline.on_answered();
    assert!(pipeline.on_written());
}

/// Guards against idempotent requests that wait for each other.
#[test]
fn start_next_concurrent_requests_start_in_order() {
    let mut pipeline = pipeline(PipelinedKind::Concurrent, &[PipelinedKind::Concurrent; 3]);
    assert_eq!(start_all(&mut pipeline), [1, 2, 3]);
    assert_eq!(pipeline.started_ahead(), 3);
    finish_current(&mut pipeline);
    assert!(pipeline.take(PipelinedKind::Concurrent));
    assert_eq!(pipeline.started_ahead(), 2);
}

/// Guards against a request that may run only once and starts before those before it are answered, and against
/// requests that start before it is answered.
#[test]
fn start_next_barrier_runs_alone() {
    let ahead = [PipelinedKind::Concurrent, PipelinedKind::Barrier, PipelinedKind::Concurrent];
    let mut pipeline = pipeline(PipelinedKind::Concurrent, &ahead);
    assert_eq!(start_all(&mut pipeline), [1]);
    assert!(pipeline.on_response(1, 10));
    finish_current(&mut pipeline);
    assert!(pipeline.take(PipelinedKind::Concurrent));
    assert!(start_all(&mut pipeline).is_empty(), "behind the last one before the barrier");
    finish_current(&mut pipeline);
    assert!(start_all(&mut pipeline).is_empty(), "before the barrier is in service");
    assert!(!pipeline.take(PipelinedKind::Barrier));
    assert!(start_all(&mut pipeline).is_empty(), "behind the barrier");
    pipeline.on_answered();
    assert!(start_all(&mut pipeline).is_empty(), "before the response is written");
    assert!(pipeline.on_written());
    assert!(!pipeline.take(PipelinedKind::Concurrent));
}

/// Guards against requests that start behind one whose response closes the connection: the caller sends them
/// again.
#[test]
fn start_next_nothing_starts_behind_the_last() {
    let ahead = [PipelinedKind::Last, PipelinedKind::Concurrent];
    let mut behind = pipeline(PipelinedKind::Concurrent, &ahead);
    assert_eq!(start_all(&mut behind), [1]);
    let mut current = pipeline(PipelinedKind::Last, &[PipelinedKind::Concurrent]);
    assert!(start_all(&mut current).is_empty());
}

/// Guards against heads that are parsed although they can't start, and against reading without bound.
#[test]
fn may_look_ahead_ends_at_barriers_and_limits() {
    for kind in [PipelinedKind::Barrier, PipelinedKind::Last] {
        assert!(!pipeline(kind, &[]).may_look_ahead());
        assert!(!pipeline(PipelinedKind::Concurrent, &[kind]).may_look_ahead());
    }
    let mut pipeline = pipeline(PipelinedKind::Concurrent, &[PipelinedKind::Concurrent; 7]);
    assert!(pipeline.may_look_ahead() && !pipeline.is_full());
    pipeline.read_ahead(request(PipelinedKind::Concurrent, 0));
    assert!(!pipeline.may_look_ahead() && pipeline.is_full());
    assert_eq!(start_all(&mut pipeline).len(), OPTIONS.max_ahead);
    assert!(!Pipeline::new(OPTIONS).may_look_ahead(), "an idle connection");
}

/// Guards against responses of expected sizes that need more memory than a connection has.
#[test]
fn start_next_reserves_memory_for_responses() {
    let mut pipeline = pipeline(PipelinedKind::Concurrent, &[]);
    for _ in 0..4 {
        pipeline.read_ahead(request(PipelinedKind::Concurrent, 4_000));
    }
    assert_eq!(start_all(&mut pipeline), [1, 2]);
    // The response is smaller than expected.
    assert!(pipeline.on_response(2, 0));
    assert_eq!(start_all(&mut pipeline), [3]);
}

/// Guards against held responses that are larger than expected and exceed the memory, and against one that is
/// dropped although hyper waits for it.
#[test]
fn on_response_larger_than_expected_is_dropped() {
    let mut pipeline = pipeline(PipelinedKind::Concurrent, &[PipelinedKind::Concurrent; 3]);
    assert_eq!(start_all(&mut pipeline), [1, 2, 3]);
    assert!(pipeline.on_response(1, 9_000));
    assert!(!pipeline.on_response(2, 9_000));
    assert_eq!(pipeline.started_ahead(), 3, "it has run and must be answered");
    finish_current(&mut pipeline);
    assert!(pipeline.take(PipelinedKind::Concurrent));
    finish_current(&mut pipeline);
    assert!(pipeline.take(PipelinedKind::Concurrent));
    finish_current(&mut pipeline);
    assert!(pipeline.take(PipelinedKind::Concurrent));
    assert!(pipeline.on_response(3, 90_000), "the request is in service");
}

/// Guards against requests that start next to one that may run only once according to routes that took effect after
/// it was read.
#[test]
fn take_as_barrier_after_a_change_of_routes() {
    let mut pipeline = pipeline(PipelinedKind::Concurrent, &[PipelinedKind::Concurrent; 2]);
    finish_current(&mut pipeline);
    assert!(!pipeline.take(PipelinedKind::Barrier));
    assert!(start_all(&mut pipeline).is_empty());
}

/// Guards against a response that counts as written while it is not there.
#[test]
fn on_written_without_response_keeps_the_request_in_service() {
    let mut pipeline = pipeline(PipelinedKind::Concurrent, &[]);
    assert!(!pipeline.on_written());
    assert!(pipeline.is_in_service() && pipeline.is_unanswered());
    pipeline.on_answered();
    assert!(pipeline.is_in_service() && !pipeline.is_unanswered());
    assert!(pipeline.on_written() && !pipeline.is_in_service());
}

fn any_kind() -> impl Strategy<Value = PipelinedKind> {
    prop_oneof![4 => Just(PipelinedKind::Concurrent), 1 => Just(PipelinedKind::Barrier)]
}

proptest! {
    /// Guards against orders of completion in which a connection gets stuck, exceeds a limit, runs a barrier next to
    /// another request, or takes a request out of order.
    #[test]
    fn pipeline_any_order_of_completion(
        requests in prop::collection::vec((any_kind(), 0_u64..6_000, 0_u64..12_000), 20),
        choices in prop::collection::vec(any::<prop::sample::Index>(), 100),
    ) {
        let mut pipeline = Pipeline::new(OPTIONS);
        let mut choices = choices.into_iter().cycle();
        // Positions of the requests that run and whose responses are held.
        let (mut running, mut held) = (BTreeSet::new(), BTreeSet::new());
        let (mut read, mut taken) = (0, 0);
        while taken < requests.len() {
            // The request in service.
            prop_assert!(!pipeline.is_in_service());
            let current = taken;
            let (kind, ..) = requests[current];
            let was_started = pipeline.take(kind);
            prop_assert_eq!(was_started, running.contains(&current) || held.contains(&current));
            if kind == PipelinedKind::Barrier {
                prop_assert!(!was_started && running.is_empty() && held.is_empty());
            }
            held.remove(&current);
            running.insert(current);
            taken += 1;
            read = read.max(taken);
            while running.contains(&current) {
                while read < requests.len() && pipeline.may_look_ahead() {
                    let (kind, expected, _) = requests[read];
                    pipeline.read_ahead(request(kind, expected));
                    read += 1;
                }
                for position in start_all(&mut pipeline) {
                    let position = position as usize;
                    prop_assert_eq!(requests[position].0, PipelinedKind::Concurrent);
                    prop_assert!((current..position).all(|p| requests[p].0 == PipelinedKind::Concurrent));
                    prop_assert!(running.insert(position) && !held.contains(&position));
                }
                prop_assert!(running.len() + held.len() <= 1 + OPTIONS.max_ahead);
                // Any of those that run ends.
                let i = choices.next().unwrap().index(running.len());
                let ended = *running.iter().nth(i).unwrap();
                running.remove(&ended);
                if ended == current {
                    finish_current(&mut pipeline);
                } else {
                    // A response that is dropped has been started all the same.
                    pipeline.on_response(ended as u64, requests[ended].2);
                    held.insert(ended);
                }
            }
        }
        prop_assert!(running.is_empty() && held.is_empty());
    }
}
