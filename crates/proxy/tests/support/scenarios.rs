//! Scenarios that run without a mutant in one test, and with a mutant of the proxy, which must be detected, in another.

use super::{
    Action, FakeEndpoint, Fleet, RawClient, Script, chunk, event, reply, request, route, stream_head,
};
use hyper::StatusCode;
use std::cell::RefCell;
use std::rc::Rc;

/// Body of the proxy's error response after an endpoint failed.
pub const FAILED: &str = "the endpoint failed";

/// The response that a client got, and the number of endpoints that its request reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observed {
    pub status: StatusCode,
    pub body: String,
    pub runs: usize,
}

/// A non-idempotent request to which the first endpoint responds with these bytes; another endpoint would succeed.
pub async fn send_non_idempotent(bytes: &str, mutant: Option<&str>) -> Observed {
    first_response("non_idempotent", bytes, mutant).await
}

/// The same with an idempotent request.
pub async fn send_idempotent(bytes: &str, mutant: Option<&str>) -> Observed {
    first_response("idempotent", bytes, mutant).await
}

async fn first_response(kind: &str, bytes: &str, mutant: Option<&str>) -> Observed {
    let script: Script = Rc::new(RefCell::new(
        vec![vec![Action::Send(bytes.to_owned())], vec![reply("200 OK", "fine")]].into(),
    ));
    let one = FakeEndpoint::start_shared("i-1", script.clone()).await;
    let other = FakeEndpoint::start_shared("i-2", script).await;
    let routes = [route("r", kind, 3, false)];
    let fleet = Fleet::start_with_mutant(&routes, &[&one, &other], "bounds.retrySlack=560\n", mutant).await;
    let response = fleet.send("/r/x", "a1", &[], "x").await;
    let runs = one.received.borrow().len() + other.received.borrow().len();
    Observed { status: response.status, body: response.body, runs }
}

/// A truncated stream that can't be resumed; returns whether it was complete for its client.
pub async fn truncated_stream(mutant: Option<&str>) -> bool {
    let actions = vec![stream_head("s1"), chunk(&event(1)), Action::Close];
    let endpoint = FakeEndpoint::start("i-1", vec![actions]).await;
    let routes = [route("r", "streaming", 3, false)];
    let fleet = Fleet::start_with_mutant(&routes, &[&endpoint], "bounds.retrySlack=56\n", mutant).await;
    fleet.send("/r/x", "a1", &[], "x").await.complete
}

/// Clients that send requests to a suspended proxy, one on an existing connection and one on a new one, and disconnect
/// before it resumes. Returns the ids of the requests that reach the endpoint, including one before and one after.
pub async fn disconnect_while_suspended(mutant: Option<&str>) -> Vec<String> {
    let endpoint = FakeEndpoint::start("i-1", vec![]).await;
    let routes = [route("r", "non_idempotent", 3, false)];
    let fleet = Fleet::start_with_mutant(&routes, &[&endpoint], "bounds.retrySlack=56\n", mutant).await;
    let mut kept = RawClient::connect(&fleet).await;
    kept.write(&request("/r/x", "before", "", "x")).await;
    kept.read_until("unscripted").await;
    fleet.suspend().await;
    let mut fresh = RawClient::connect(&fleet).await;
    kept.write(&request("/r/x", "kept", "", "x")).await;
    fresh.write(&request("/r/x", "fresh", "", "x")).await;
    kept.disconnect().await;
    fresh.disconnect().await;
    fleet.resume();
    assert_eq!(fleet.send("/r/x", "after", &[], "x").await.status, StatusCode::OK);
    let received = endpoint.received.borrow();
    received.iter().filter_map(|received| received.header("x-attempt-id").map(str::to_owned)).collect()
}

/// A non-idempotent request to endpoints that reset the connection after they have read the request.
pub async fn reset_after_dispatch(mutant: Option<&str>) -> Observed {
    let script: Script = Rc::new(RefCell::new(vec![vec![Action::Reset], vec![Action::Reset]].into()));
    let one = FakeEndpoint::start_shared("i-1", script.clone()).await;
    let other = FakeEndpoint::start_shared("i-2", script).await;
    let routes = [route("r", "non_idempotent", 3, false)];
    let fleet = Fleet::start_with_mutant(&routes, &[&one, &other], "bounds.retrySlack=560\n", mutant).await;
    let response = fleet.send("/r/x", "a1", &[], "x").await;
    Observed {
        status: response.status,
        body: response.body,
        runs: one.received.borrow().len() + other.received.borrow().len(),
    }
}
