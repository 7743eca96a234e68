//! Bodies on their way to the client: whole only once their end is said.

use bytes::Bytes;
use http_body_util::BodyExt;
use runtrack_proxy::{BodyAborted, StreamSender, stream};
use tokio::task::{LocalSet, spawn_local};

/// What a client gets of a body, and whether it looks whole.
fn relayed(feed: impl AsyncFnOnce(StreamSender) + 'static) -> (Vec<u8>, bool) {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (sender, mut body) = stream();
        let feeding = spawn_local(feed(sender));
        let mut read = Vec::new();
        let whole = loop {
            match body.frame().await {
                Some(Ok(frame)) => read.extend_from_slice(&frame.into_data().expect("data")),
                Some(Err(BodyAborted)) => break false,
                None => break true,
            }
        };
        let _ = feeding.await; // it may have panicked on purpose
        (read, whole)
    })
}

async fn half(sender: &StreamSender) {
    sender.send(Bytes::from_static(b"half")).await.expect("the client reads");
}

#[test]
fn a_finished_body_is_complete() {
    let got = relayed(async |sender| {
        half(&sender).await;
        sender.finish();
    });
    assert_eq!(got, (b"half".to_vec(), true));
}

#[test]
fn an_early_return_truncates_the_body() {
    assert_eq!(relayed(async |sender| half(&sender).await), (b"half".to_vec(), false));
}

#[test]
fn a_panic_truncates_the_body() {
    let got = relayed(async |sender| {
        half(&sender).await;
        panic!("planted by the test");
    });
    assert_eq!(got, (b"half".to_vec(), false));
}

#[test]
fn an_aborted_task_truncates_the_body() {
    let got = relayed(async |sender| {
        let feeding = spawn_local(async move {
            half(&sender).await;
            std::future::pending::<()>().await;
        });
        tokio::task::yield_now().await; // it has handed on what it has
        feeding.abort();
    });
    assert_eq!(got, (b"half".to_vec(), false));
}
