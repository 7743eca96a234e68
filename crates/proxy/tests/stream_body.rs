//! Streamed response bodies: complete only if the sender finished them explicitly.

use bytes::Bytes;
use http_body_util::BodyExt;
use runtrack_proxy::{BodyAborted, StreamSender, stream};
use tokio::task::{LocalSet, spawn_local};

/// The bytes that a client receives of a body, and whether the body is complete for the client.
fn receive(send: impl AsyncFnOnce(StreamSender) + 'static) -> (Vec<u8>, bool) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().build().expect("failed to build the runtime");
    LocalSet::new().block_on(&runtime, async {
        let (sender, mut body) = stream();
        let sending = spawn_local(send(sender));
        let mut read = Vec::new();
        let complete = loop {
            match body.frame().await {
                Some(Ok(frame)) => read.extend_from_slice(&frame.into_data().expect("not a data frame")),
                Some(Err(BodyAborted)) => break false,
                None => break true,
            }
        };
        let _ = sending.await; // the test may cause a panic
        (read, complete)
    })
}

async fn send_half(sender: &StreamSender) {
    sender.send(Bytes::from_static(b"half")).await.expect("the client has disconnected");
}

#[test]
fn a_finished_body_is_complete() {
    let received = receive(async |sender| {
        send_half(&sender).await;
        sender.finish();
    });
    assert_eq!(received, (b"half".to_vec(), true));
}

#[test]
fn an_early_return_truncates_the_body() {
    assert_eq!(receive(async |sender| send_half(&sender).await), (b"half".to_vec(), false));
}

#[test]
fn a_panic_truncates_the_body() {
    let received = receive(async |sender| {
        send_half(&sender).await;
        panic!("caused by the test");
    });
    assert_eq!(received, (b"half".to_vec(), false));
}

#[test]
fn an_aborted_task_truncates_the_body() {
    let received = receive(async |sender| {
        let sending = spawn_local(async move {
            send_half(&sender).await;
            std::future::pending::<()>().await;
        });
        tokio::task::yield_now().await; // lets the task send its bytes
        sending.abort();
    });
    assert_eq!(received, (b"half".to_vec(), false));
}
