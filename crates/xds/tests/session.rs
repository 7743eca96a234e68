//! The session machine, without sockets or clocks: what is told, when, and in which order.

use runtrack_xds::{Body, Cache, Change, Limits, Request, ResourceType, Response, Session, SessionError};
use std::collections::BTreeMap;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn set(kind: ResourceType, name: &str, body: &str) -> Change {
    Change::Set(kind, name.to_owned(), body.as_bytes().to_vec().into())
}

fn remove(kind: ResourceType, name: &str) -> Change {
    Change::Remove(kind, name.to_owned())
}

/// Two pools and a listener.
fn cache() -> Cache {
    let mut cache = Cache::new(7);
    cache.apply(
        NOW,
        [
            set(ResourceType::Cluster, "a", "cluster a"),
            set(ResourceType::Cluster, "b", "cluster b"),
            set(ResourceType::Endpoint, "a", "endpoints a"),
            set(ResourceType::Endpoint, "b", "endpoints b"),
            set(ResourceType::Listener, "l", "listener"),
            set(ResourceType::Route, "l", "routes"),
        ],
    );
    cache
}

fn whole() -> Session {
    Session::new("7.1".to_owned(), false, None, Limits::default())
}

fn delta() -> Session {
    Session::new("7.1".to_owned(), true, None, Limits::default())
}

fn ask(kind: ResourceType, names: &[&str]) -> Request {
    Request {
        type_url: kind.url().to_owned(),
        names: names.iter().map(|name| (*name).to_owned()).collect(),
        ..Request::default()
    }
}

fn ack(response: &Response, names: &[&str]) -> Request {
    Request {
        nonce: response.nonce.clone(),
        version: response.version.clone(),
        ..ask(response.kind, names)
    }
}

fn nack(response: &Response, names: &[&str]) -> Request {
    Request { error: Some("no".to_owned()), version: String::new(), ..ack(response, names) }
}

/// Everything there is to tell.
fn drain(session: &mut Session, cache: &Cache, now: Duration) -> Vec<Response> {
    let mut all = Vec::new();
    while let Some(response) = session.poll(cache, now).expect("no refusal") {
        all.push(response);
        assert!(all.len() < 10_000, "it never ends");
    }
    all
}

fn one(session: &mut Session, cache: &Cache) -> Response {
    let mut all = drain(session, cache, NOW);
    assert_eq!(all.len(), 1, "{all:?}");
    all.remove(0)
}

/// The resources' bodies, however they are wrapped.
fn holds(response: &Response, body: &str) -> bool {
    response.resources.iter().any(|bytes| bytes.windows(body.len()).any(|w| w == body.as_bytes()))
}

fn kinds(responses: &[Response]) -> Vec<ResourceType> {
    responses.iter().map(|r| r.kind).collect()
}

#[test]
fn all_types_come_in_make_before_break_order() {
    for mut session in [whole(), delta()] {
        let cache = cache();
        // Asked for in the opposite order.
        session.request(&cache, NOW, ask(ResourceType::Route, &["l"])).expect("taken");
        session.request(&cache, NOW, ask(ResourceType::Listener, &[])).expect("taken");
        session.request(&cache, NOW, ask(ResourceType::Endpoint, &["a", "b"])).expect("taken");
        session.request(&cache, NOW, ask(ResourceType::Cluster, &[])).expect("taken");
        let told = drain(&mut session, &cache, NOW);
        assert_eq!(kinds(&told), ResourceType::ALL);
        assert_eq!(told[0].resources.len(), 2);
        assert_eq!(drain(&mut session, &cache, NOW), [], "told once");
    }
}

#[test]
fn only_what_changed_is_told() {
    let mut cache = cache();
    let mut session = delta();
    session.request(&cache, NOW, ask(ResourceType::Endpoint, &["a", "b"])).expect("taken");
    let first = one(&mut session, &cache);
    session.request(&cache, NOW, ack(&first, &[])).expect("taken");
    cache.apply(
        NOW,
        [
            set(ResourceType::Endpoint, "b", "endpoints b, changed"),
            set(ResourceType::Endpoint, "a", "endpoints a"),
        ],
    );
    let next = one(&mut session, &cache);
    assert!(holds(&next, "endpoints b, changed") && next.resources.len() == 1, "{next:?}");
    cache.apply(NOW, [set(ResourceType::Cluster, "a", "another type")]);
    assert_eq!(drain(&mut session, &cache, NOW), [], "nothing that it asked for");
}

#[test]
fn a_state_of_the_world_answer_for_endpoints_holds_only_what_changed() {
    let mut cache = cache();
    let mut session = whole();
    session.request(&cache, NOW, ask(ResourceType::Endpoint, &["a", "b"])).expect("taken");
    let first = one(&mut session, &cache);
    session.request(&cache, NOW, ack(&first, &["a", "b"])).expect("taken");
    cache.apply(NOW, [set(ResourceType::Endpoint, "b", "endpoints b, changed")]);
    assert_eq!(one(&mut session, &cache).resources.len(), 1);
}

#[test]
fn a_slow_reader_gets_the_newest_state_once() {
    let mut cache = cache();
    for mut session in [whole(), delta()] {
        session.request(&cache, NOW, ask(ResourceType::Endpoint, &["a"])).expect("taken");
        one(&mut session, &cache);
        for n in 0..1000 {
            cache.apply(NOW, [set(ResourceType::Endpoint, "a", &format!("endpoints a, state {n}!"))]);
        }
        assert!(holds(&one(&mut session, &cache), "state 999!"));
    }
}

#[test]
fn one_encoding_serves_all_sessions() {
    let mut cache = cache();
    let encoded = cache.encodings();
    cache.apply(NOW, [set(ResourceType::Endpoint, "a", "changed")]);
    let mut told = Vec::new();
    for number in 0..100 {
        let mut session = Session::new(format!("7.{number}"), true, None, Limits::default());
        session.request(&cache, NOW, ask(ResourceType::Endpoint, &["a"])).expect("taken");
        told.push(one(&mut session, &cache));
    }
    assert_eq!(cache.encodings(), encoded + 1);
    let place = told[0].resources[0].as_ptr();
    assert!(told.iter().all(|r| r.resources[0].as_ptr() == place), "the same bytes, not copies");
}

#[test]
fn names_that_do_not_exist_are_told_as_gone_and_come_when_they_do() {
    let mut cache = cache();
    let mut session = delta();
    session.request(&cache, NOW, ask(ResourceType::Endpoint, &["later"])).expect("taken");
    assert_eq!(one(&mut session, &cache).removed, ["later"]);
    cache.apply(NOW, [set(ResourceType::Endpoint, "later", "here")]);
    assert!(holds(&one(&mut session, &cache), "here"));
}

#[test]
fn what_is_unknown_yet_is_neither_told_nor_taken_away() {
    let mut cache = cache();
    cache.apply(NOW, [Change::Unknown(ResourceType::Endpoint, "p".to_owned())]);
    let mut again = delta();
    let held = BTreeMap::from([("p".to_owned(), "old".to_owned())]);
    let request = Request { initial_versions: held, ..ask(ResourceType::Endpoint, &["p"]) };
    again.request(&cache, NOW, request).expect("taken");
    assert_eq!(drain(&mut again, &cache, NOW), [], "the proxy keeps what it has");
    cache.apply(NOW, [set(ResourceType::Endpoint, "p", "known now")]);
    assert!(holds(&one(&mut again, &cache), "known now"));
}

#[test]
fn a_reconnection_with_versions_gets_what_it_lacks() {
    let cache = cache();
    let mut before = delta();
    before.request(&cache, NOW, ask(ResourceType::Cluster, &[])).expect("taken");
    one(&mut before, &cache);
    // Another run of the service, with another epoch: the same content has the same version.
    let mut cache = Cache::new(8);
    cache.apply(
        NOW,
        [
            set(ResourceType::Cluster, "a", "cluster a"),
            set(ResourceType::Cluster, "b", "cluster b, changed"),
        ],
    );
    let versions = |body: &str| {
        let mut other = Cache::new(1);
        other.apply(NOW, [set(ResourceType::Cluster, "x", body)]);
        let mut probe = delta();
        probe.request(&other, NOW, ask(ResourceType::Cluster, &[])).expect("taken");
        let response = one(&mut probe, &other);
        // `Resource.version` is its field 1.
        let bytes = &response.resources[0];
        String::from_utf8_lossy(&bytes[2..2 + usize::from(bytes[1])]).into_owned()
    };
    let held = BTreeMap::from([
        ("a".to_owned(), versions("cluster a")),
        ("b".to_owned(), versions("cluster b")),
        ("gone".to_owned(), "whatever".to_owned()),
    ]);
    let mut after = Session::new("8.1".to_owned(), true, None, Limits::default());
    after
        .request(&cache, NOW, Request { initial_versions: held, ..ask(ResourceType::Cluster, &[]) })
        .expect("taken");
    let told = one(&mut after, &cache);
    assert_eq!(told.removed, ["gone"]);
    assert_eq!(told.resources.len(), 1);
    assert!(holds(&told, "cluster b, changed"));
}

#[test]
fn a_whole_reconnection_with_the_same_state_is_told_nothing_and_with_another_everything() {
    let cache = cache();
    let mut before = whole();
    before.request(&cache, NOW, ask(ResourceType::Cluster, &[])).expect("taken");
    let version = one(&mut before, &cache).version;
    let mut other = Cache::new(8);
    other.apply(
        NOW,
        [set(ResourceType::Cluster, "a", "cluster a"), set(ResourceType::Cluster, "b", "cluster b")],
    );
    let mut same = Session::new("8.1".to_owned(), false, None, Limits::default());
    same.request(&other, NOW, Request { version: version.clone(), ..ask(ResourceType::Cluster, &[]) })
        .expect("taken");
    assert_eq!(drain(&mut same, &other, NOW), []);
    other.apply(NOW, [set(ResourceType::Cluster, "b", "cluster b, changed")]);
    let mut stale = Session::new("8.2".to_owned(), false, None, Limits::default());
    stale.request(&other, NOW, Request { version, ..ask(ResourceType::Cluster, &[]) }).expect("taken");
    assert_eq!(one(&mut stale, &other).resources.len(), 2);
}

#[test]
fn a_version_from_the_future_is_answered_and_noted() {
    let cache = cache();
    let mut session = whole();
    let request =
        Request { version: "99.4-0123456789abcdef".to_owned(), ..ask(ResourceType::Cluster, &[]) };
    session.request(&cache, NOW, request).expect("taken");
    assert_eq!(one(&mut session, &cache).resources.len(), 2);
    assert!(session.type_statuses(&cache)[0].from_future);
}

#[test]
fn a_nonce_of_another_stream_acknowledges_nothing() {
    for mut session in [whole(), delta()] {
        let cache = cache();
        session.request(&cache, NOW, ask(ResourceType::Endpoint, &["a"])).expect("taken");
        let told = one(&mut session, &cache);
        let foreign = Request { nonce: "6.9-1".to_owned(), ..ack(&told, &["a", "b"]) };
        session.request(&cache, NOW, foreign).expect("taken");
        let type_status = &session.type_statuses(&cache)[0];
        assert_eq!((type_status.stale, type_status.acked.is_none()), (1, true), "{type_status:?}");
        session.request(&cache, NOW, ack(&told, &["a"])).expect("taken");
        assert!(session.type_statuses(&cache)[0].acked.is_some());
    }
}

#[test]
fn a_first_request_with_a_nonce_from_before_is_a_new_subscription() {
    let cache = cache();
    let mut session = whole();
    let request = Request {
        nonce: "6.9-1".to_owned(),
        version: "6.3".to_owned(),
        ..ask(ResourceType::Endpoint, &["a"])
    };
    session.request(&cache, NOW, request).expect("taken");
    assert_eq!(one(&mut session, &cache).resources.len(), 1);
}

#[test]
fn an_older_nonce_does_not_change_the_names() {
    let mut cache = cache();
    let mut session = whole();
    session.request(&cache, NOW, ask(ResourceType::Endpoint, &["a"])).expect("taken");
    let first = one(&mut session, &cache);
    cache.apply(NOW, [set(ResourceType::Endpoint, "a", "second")]);
    let second = one(&mut session, &cache);
    session.request(&cache, NOW, ack(&first, &[])).expect("taken");
    assert_eq!(session.type_statuses(&cache)[0].names, 1, "the answer to the older one has no say");
    session.request(&cache, NOW, ack(&second, &["a", "b"])).expect("taken");
    assert!(holds(&one(&mut session, &cache), "endpoints b"));
}

/// Hard case 2: a drain that comes while an update is half acknowledged.
#[test]
fn a_drain_is_told_whatever_is_acknowledged() {
    for mut session in [whole(), delta()] {
        let mut cache = cache();
        session.request(&cache, NOW, ask(ResourceType::Cluster, &[])).expect("taken");
        let clusters = one(&mut session, &cache);
        session.request(&cache, NOW, ask(ResourceType::Endpoint, &["a", "b"])).expect("taken");
        let endpoints = one(&mut session, &cache);
        session.request(&cache, NOW, ack(&clusters, &[])).expect("taken");
        // The clusters are acknowledged, the endpoints are not.
        cache.apply(NOW, [set(ResourceType::Endpoint, "a", "a drains")]);
        let drain_a = one(&mut session, &cache);
        assert!(holds(&drain_a, "a drains"));
        // The first is rejected, the second one drains.
        session.request(&cache, NOW, nack(&endpoints, &["a", "b"])).expect("taken");
        cache.apply(NOW, [set(ResourceType::Endpoint, "b", "b drains")]);
        let told = drain(&mut session, &cache, NOW);
        assert!(told.iter().any(|r| holds(r, "b drains")), "{told:?}");
    }
}

#[test]
fn one_bad_resource_does_not_keep_the_others_from_the_proxy() {
    let mut cache = Cache::new(1);
    let names: Vec<String> = (0..16).map(|n| format!("p{n:02}")).collect();
    cache.apply(NOW, names.iter().map(|n| set(ResourceType::Endpoint, n, &format!("body of {n}"))));
    let mut session = delta();
    let wanted: Vec<&str> = names.iter().map(String::as_str).collect();
    session.request(&cache, NOW, ask(ResourceType::Endpoint, &wanted)).expect("taken");
    // The proxy rejects whatever holds p07, as a whole.
    let mut taken = std::collections::BTreeSet::new();
    let mut responses = 0;
    while let Some(response) = session.poll(&cache, NOW).expect("no refusal") {
        responses += 1;
        assert!(responses < 100, "it never ends");
        let bad = holds(&response, "body of p07");
        if !bad {
            taken.extend(names.iter().filter(|n| holds(&response, &format!("body of {n}"))).cloned());
        }
        let answer = if bad { nack(&response, &[]) } else { ack(&response, &[]) };
        session.request(&cache, NOW, answer).expect("taken");
    }
    assert_eq!(taken.len(), 15);
    assert_eq!(responses, 9, "the whole, then halves down to the bad one");
    let type_status = &session.type_statuses(&cache)[0];
    assert_eq!(type_status.rejections, 5);
}

#[test]
fn a_rejection_is_kept_with_its_detail_and_not_sent_again() {
    let mut cache = cache();
    let mut session = whole();
    session.request(&cache, NOW, ask(ResourceType::Cluster, &[])).expect("taken");
    let told = one(&mut session, &cache);
    session.request(&cache, NOW, nack(&told, &[])).expect("taken");
    assert_eq!(drain(&mut session, &cache, NOW), [], "the same would be rejected again");
    let rejected = session.type_statuses(&cache)[0].rejected.clone().expect("kept");
    assert_eq!((rejected.detail.as_str(), rejected.version), ("no", told.version));
    cache.apply(NOW, [set(ResourceType::Cluster, "a", "mended")]);
    let next = one(&mut session, &cache);
    session.request(&cache, NOW, ack(&next, &[])).expect("taken");
    assert_eq!(session.type_statuses(&cache)[0].rejected, None);
}

/// Hard case 4: a proxy that rejects everything costs bounded responses.
#[test]
fn a_proxy_that_rejects_everything_comes_to_rest() {
    let mut cache = Cache::new(1);
    let names: Vec<String> = (0..1000).map(|n| format!("p{n}")).collect();
    cache.apply(NOW, names.iter().map(|n| set(ResourceType::Endpoint, n, n)));
    let mut session = delta();
    let wanted: Vec<&str> = names.iter().map(String::as_str).collect();
    session.request(&cache, NOW, ask(ResourceType::Endpoint, &wanted)).expect("taken");
    let mut responses = 0;
    while let Some(response) = session.poll(&cache, NOW).expect("no refusal") {
        responses += 1;
        assert!(responses < 2200, "it never comes to rest");
        session.request(&cache, NOW, nack(&response, &[])).expect("taken");
    }
}

fn watch_all(session: &mut Session, cache: &Cache, incremental: bool) {
    for kind in ResourceType::ALL {
        let names: &[&str] = match kind {
            ResourceType::Endpoint => &["a", "b"],
            ResourceType::Route => &["l"],
            _ => &[],
        };
        session.request(cache, NOW, ask(kind, names)).expect("taken");
    }
    for response in drain(session, cache, NOW) {
        // An incremental acknowledgement that names something subscribes to it anew.
        let names: &[&str] = match response.kind {
            ResourceType::Endpoint if !incremental => &["a", "b"],
            ResourceType::Route if !incremental => &["l"],
            _ => &[],
        };
        session.request(cache, NOW, ack(&response, names)).expect("taken");
    }
    assert_eq!(drain(session, cache, NOW), []);
}

#[test]
fn a_removal_waits_until_what_refers_to_it_is_acknowledged() {
    let mut cache = cache();
    let mut session = delta();
    watch_all(&mut session, &cache, true);
    cache.apply(
        NOW,
        [
            set(ResourceType::Route, "l", "routes to a alone"),
            remove(ResourceType::Endpoint, "b"),
            remove(ResourceType::Cluster, "b"),
        ],
    );
    let told = drain(&mut session, &cache, NOW);
    assert_eq!(kinds(&told), [ResourceType::Route], "the pool stays while routes to it may be in use");
    assert!(session.has_pending_removals());
    session.request(&cache, NOW, ack(&told[0], &[])).expect("taken");
    let told = drain(&mut session, &cache, NOW);
    assert_eq!(kinds(&told), [ResourceType::Endpoint]);
    session.request(&cache, NOW, ack(&told[0], &[])).expect("taken");
    let told = drain(&mut session, &cache, NOW);
    assert_eq!((kinds(&told), &told[0].removed[..]), (vec![ResourceType::Cluster], &["b".to_owned()][..]));
}

#[test]
fn a_whole_answer_keeps_what_may_not_go_yet() {
    let mut cache = cache();
    let mut session = whole();
    watch_all(&mut session, &cache, false);
    cache.apply(
        NOW,
        [
            set(ResourceType::Cluster, "c", "cluster c"),
            set(ResourceType::Route, "l", "routes to c"),
            remove(ResourceType::Endpoint, "b"),
            remove(ResourceType::Cluster, "b"),
        ],
    );
    let told = drain(&mut session, &cache, NOW);
    assert_eq!(kinds(&told), [ResourceType::Cluster, ResourceType::Route]);
    assert!(holds(&told[0], "cluster b") && holds(&told[0], "cluster c"), "the new one beside the old one");
    session.request(&cache, NOW, ack(&told[0], &[])).expect("taken");
    session.request(&cache, NOW, ack(&told[1], &["l"])).expect("taken");
    let told = drain(&mut session, &cache, NOW);
    assert_eq!(kinds(&told), [ResourceType::Cluster]);
    assert!(!holds(&told[0], "cluster b") && holds(&told[0], "cluster c"));
}

#[test]
fn a_rejected_route_keeps_its_old_pool_until_the_hold_ends() {
    let mut cache = cache();
    let mut session = delta();
    watch_all(&mut session, &cache, true);
    cache.apply(NOW, [set(ResourceType::Route, "l", "bad routes"), remove(ResourceType::Cluster, "b")]);
    let told = drain(&mut session, &cache, NOW);
    session.request(&cache, NOW, nack(&told[0], &[])).expect("taken");
    assert_eq!(drain(&mut session, &cache, NOW), [], "its old routes still lead there");
    let later = NOW + Limits::default().max_removal_delay;
    assert_eq!(kinds(&drain(&mut session, &cache, later)), [ResourceType::Cluster], "but not for ever");
}

#[test]
fn a_stream_of_one_type_puts_removals_off_by_a_stated_time() {
    let mut cache = cache();
    let mut session = Session::new("7.1".to_owned(), true, Some(ResourceType::Cluster), Limits::default());
    session.request(&cache, NOW, Request::default()).expect("its type goes without saying");
    let told = one(&mut session, &cache);
    session.request(&cache, NOW, ack(&told, &[])).expect("taken");
    cache.apply(NOW, [remove(ResourceType::Cluster, "b")]);
    assert_eq!(drain(&mut session, &cache, NOW), []);
    let later = NOW + Limits::default().single_type_removal_delay;
    assert_eq!(drain(&mut session, &cache, later)[0].removed, ["b"]);
    let other = session.request(&cache, NOW, ask(ResourceType::Route, &[]));
    assert!(matches!(other, Err(SessionError::WrongType(..))), "{other:?}");
}

#[test]
fn what_comes_back_before_its_removal_was_told_is_never_taken_away() {
    let mut cache = cache();
    let mut session = delta();
    watch_all(&mut session, &cache, true);
    cache.apply(NOW, [remove(ResourceType::Cluster, "b")]);
    cache.apply(NOW, [set(ResourceType::Cluster, "b", "cluster b is back")]);
    let told = drain(&mut session, &cache, NOW);
    assert!(told.iter().all(|r| r.removed.is_empty()), "{told:?}");
    assert!(holds(&told[0], "cluster b is back"));
}

#[test]
fn a_changed_cluster_brings_its_endpoints_again() {
    let mut cache = cache();
    let mut session = delta();
    watch_all(&mut session, &cache, true);
    cache.apply(NOW, [set(ResourceType::Cluster, "a", "cluster a, changed")]);
    let told = drain(&mut session, &cache, NOW);
    assert_eq!(kinds(&told), [ResourceType::Cluster, ResourceType::Endpoint]);
    assert!(holds(&told[1], "endpoints a") && told[1].resources.len() == 1);
}

#[test]
fn unsubscribing_ends_what_is_told() {
    let mut cache = cache();
    let mut session = delta();
    session.request(&cache, NOW, ask(ResourceType::Endpoint, &["a", "b"])).expect("taken");
    one(&mut session, &cache);
    let less = Request { unsubscribe: vec!["a".to_owned()], ..ask(ResourceType::Endpoint, &[]) };
    session.request(&cache, NOW, less).expect("taken");
    cache.apply(NOW, [set(ResourceType::Endpoint, "a", "changed")]);
    assert_eq!(drain(&mut session, &cache, NOW), []);
    session.request(&cache, NOW, ask(ResourceType::Endpoint, &["a"])).expect("taken");
    assert!(holds(&one(&mut session, &cache), "changed"), "subscribed anew, told anew");
}

#[test]
fn a_name_given_up_under_a_wildcard_is_told_again() {
    let cache = cache();
    let mut session = delta();
    session.request(&cache, NOW, ask(ResourceType::Cluster, &["*", "a"])).expect("taken");
    one(&mut session, &cache);
    let less = Request { unsubscribe: vec!["a".to_owned()], ..ask(ResourceType::Cluster, &[]) };
    session.request(&cache, NOW, less).expect("taken");
    assert!(holds(&one(&mut session, &cache), "cluster a"), "it is still among all");
}

#[test]
fn what_is_for_grpc_clients_by_name_is_not_among_all() {
    let mut cache = cache();
    let body = Body { by_name_only: true, ..Body::from(b"api listener".to_vec()) };
    cache.apply(NOW, [Change::Set(ResourceType::Listener, "api".to_owned(), body)]);
    let mut all = delta();
    all.request(&cache, NOW, ask(ResourceType::Listener, &[])).expect("taken");
    assert!(!holds(&one(&mut all, &cache), "api listener"));
    let mut named = whole();
    named.request(&cache, NOW, ask(ResourceType::Listener, &["api"])).expect("taken");
    assert!(holds(&one(&mut named, &cache), "api listener"));
}

#[test]
fn proxies_of_a_zone_get_its_form() {
    let mut cache = cache();
    let zones = BTreeMap::from([("north".to_owned(), b"from the north".to_vec().into())]);
    let body = Body { zones, ..Body::from(b"from anywhere".to_vec()) };
    cache.apply(NOW, [Change::Set(ResourceType::Endpoint, "a".to_owned(), body)]);
    for (zone, wanted) in [("north", "from the north"), ("south", "from anywhere")] {
        let mut session = whole();
        session.set_zone(zone);
        session.request(&cache, NOW, ask(ResourceType::Endpoint, &["a"])).expect("taken");
        assert!(holds(&one(&mut session, &cache), wanted));
    }
}

#[test]
fn large_states_come_in_parts() {
    let mut cache = Cache::new(1);
    let body = "x".repeat(1000);
    cache.apply(NOW, (0..5000).map(|n| set(ResourceType::Cluster, &format!("c{n}"), &body)));
    let mut session = delta();
    session.request(&cache, NOW, ask(ResourceType::Cluster, &[])).expect("taken");
    let told = drain(&mut session, &cache, NOW);
    assert_eq!(told.iter().map(|r| r.resources.len()).sum::<usize>(), 5000);
    assert!(told.len() >= 75, "{} parts", told.len());
    let largest = told.iter().map(|r| r.resources.iter().map(|b| b.len()).sum::<usize>()).max();
    assert!(largest < Some(Limits::default().max_response_bytes + 2000), "{largest:?}");
}

/// Hard case 4: a proxy that subscribes to 100,000 names.
#[test]
fn too_many_names_are_refused_clearly() {
    let cache = cache();
    let mut session = delta();
    let names: Vec<String> = (0..100_000).map(|n| format!("n{n}")).collect();
    let request = Request { names, ..ask(ResourceType::Endpoint, &[]) };
    let refused = session.request(&cache, NOW, request).expect_err("too many");
    assert!(refused.to_string().contains("20000 names"), "{refused}");
    let long = Request { names: vec!["n".repeat(3 << 20)], ..ask(ResourceType::Endpoint, &[]) };
    assert!(delta().request(&cache, NOW, long).is_err());
}

#[test]
fn unknown_types_are_refused() {
    let cache = cache();
    let request = Request { type_url: "type.googleapis.com/nothing".to_owned(), ..Request::default() };
    assert!(matches!(whole().request(&cache, NOW, request), Err(SessionError::UnknownType(_))));
}

#[test]
fn a_session_too_far_behind_begins_anew() {
    let mut cache = cache();
    let mut session = delta();
    watch_all(&mut session, &cache, true);
    for n in 0..20_000 {
        let name = format!("c{n}");
        cache.apply(NOW, [set(ResourceType::Cluster, &name, "x")]);
        cache.apply(NOW, [remove(ResourceType::Cluster, &name)]);
    }
    assert_eq!(session.poll(&cache, NOW), Err(SessionError::TooFarBehind));
}

mod properties {
    use super::*;
    use proptest::prelude::*;

    #[derive(Clone, Debug)]
    enum Step {
        Set(usize, usize, u8),
        Remove(usize, usize),
        Poll,
        Ack,
        Nack,
        Late(u64),
    }

    fn steps() -> impl Strategy<Value = Vec<Step>> {
        let step = prop_oneof![
            4 => (0..4usize, 0..5usize, any::<u8>()).prop_map(|(k, n, b)| Step::Set(k, n, b)),
            2 => (0..4usize, 0..5usize).prop_map(|(k, n)| Step::Remove(k, n)),
            4 => Just(Step::Poll),
            4 => Just(Step::Ack),
            1 => Just(Step::Nack),
            1 => (1..40u64).prop_map(Step::Late),
        ];
        proptest::collection::vec(step, 1..80)
    }

    /// What a proxy that keeps to the protocol holds after each response.
    #[derive(Default)]
    struct Model([BTreeMap<String, Vec<u8>>; 4]);

    impl Model {
        fn take(&mut self, response: &Response, incremental: bool) {
            let held = &mut self.0[response.kind as usize];
            if !incremental && response.kind.requires_full_state() {
                held.clear();
            }
            for bytes in &response.resources {
                let all = (0..5).map(|n| format!("n{n}"));
                let name = all
                    .into_iter()
                    .find(|n| bytes.windows(n.len() + 1).any(|w| w == format!("{n}=").as_bytes()));
                held.insert(name.expect("bodies begin with their names"), bytes.to_vec());
            }
            for name in &response.removed {
                held.remove(name);
            }
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

        /// Whatever happens in between, once all is acknowledged and the waits are over the proxy holds just
        /// what is served.
        #[test]
        fn the_last_state_always_arrives(steps in steps(), incremental in any::<bool>()) {
            let mut cache = Cache::new(1);
            let mut session = Session::new("1.1".to_owned(), incremental, None, Limits::default());
            let names = ["n0", "n1", "n2", "n3", "n4"];
            for kind in ResourceType::ALL {
                session.request(&cache, NOW, ask(kind, if kind.requires_full_state() { &[] } else { &names })).expect("taken");
            }
            let mut model = Model::default();
            let mut now = NOW;
            let mut open: Vec<Response> = Vec::new();
            let answer = |session: &mut Session, cache: &Cache, now, response: &Response, good: bool| {
                let names: &[&str] = if incremental || response.kind.requires_full_state() { &[] } else { &names };
                let request = if good { ack(response, names) } else { nack(response, names) };
                session.request(cache, now, request).expect("taken");
            };
            for step in steps {
                match step {
                    Step::Set(k, n, b) => {
                        cache.apply(now, [set(ResourceType::ALL[k], names[n], &format!("n{n}={b}"))]);
                    }
                    Step::Remove(k, n) => {
                        cache.apply(now, [remove(ResourceType::ALL[k], names[n])]);
                    }
                    Step::Late(s) => now += Duration::from_secs(s),
                    Step::Poll => if let Some(response) = session.poll(&cache, now).expect("no refusal") {
                        model.take(&response, incremental);
                        open.push(response);
                    },
                    Step::Ack => if !open.is_empty() {
                        let response = open.remove(0);
                        answer(&mut session, &cache, now, &response, true);
                    },
                    Step::Nack => if !open.is_empty() {
                        let response = open.remove(0);
                        answer(&mut session, &cache, now, &response, false);
                    },
                }
            }
            // All is answered, in order, until there is nothing more; then the longest wait passes.
            let mut told = 0;
            for _ in 0..2 {
                loop {
                    while !open.is_empty() {
                        let response = open.remove(0);
                        answer(&mut session, &cache, now, &response, true);
                    }
                    match session.poll(&cache, now).expect("no refusal") {
                        Some(response) => {
                            told += 1;
                            prop_assert!(told < 10_000, "it never ends");
                            model.take(&response, incremental);
                            open.push(response);
                        }
                        None => break,
                    }
                }
                now += Limits::default().max_removal_delay;
            }
            for kind in ResourceType::ALL {
                let served: Vec<&str> = cache.names(kind).collect();
                let held: Vec<&str> = model.0[kind as usize].keys().map(String::as_str).collect();
                // A state-of-the-world answer can't take endpoints or routes away: the clusters and listeners do.
                if incremental || kind.requires_full_state() {
                    prop_assert_eq!(&served, &held, "{:?}", kind);
                }
                for name in served {
                    let bytes = &model.0[kind as usize][name];
                    let body = cache.get(kind, name).expect("served");
                    prop_assert!(bytes.windows(body.len()).any(|w| w == body.as_ref()), "{:?} {}", kind, name);
                }
            }
        }
    }
}

// ---- several instances that agree on a log ----

/// An instance of a cluster of epoch 7 that has come to this index.
fn instance(index: u64, changes: impl IntoIterator<Item = Change>) -> Cache {
    let mut cache = Cache::new(0);
    cache.begin_update(7, index);
    cache.apply(NOW, changes);
    cache.finish_update();
    cache
}

fn at(index: u64) -> Cache {
    let pools = if index > 10 { vec!["a", "b"] } else { vec!["a"] };
    instance(
        index,
        pools
            .into_iter()
            .map(|pool| set(ResourceType::Cluster, pool, &format!("cluster {pool} {}", index / 10))),
    )
}

/// A later instance's view reached by the earlier one.
fn go_on(cache: &mut Cache, index: u64, changes: impl IntoIterator<Item = Change>) {
    cache.begin_update(7, index);
    cache.apply(NOW, changes);
}

#[test]
fn a_proxy_that_moves_to_an_instance_that_lags_is_told_nothing_until_that_has_caught_up() {
    let mut before = whole();
    before.request(&at(12), NOW, ask(ResourceType::Cluster, &[])).expect("taken");
    let held = one(&mut before, &at(12)).version;
    let (mut late, mut session) = (at(9), whole());
    let claim = Request { version: held.clone(), ..ask(ResourceType::Cluster, &[]) };
    session.request(&late, NOW, claim.clone()).expect("taken");
    assert_eq!(drain(&mut session, &late, NOW), [], "what it knows is older");
    assert_eq!(session.awaited_index(&late), Some(12));
    go_on(
        &mut late,
        12,
        ["a", "b"].map(|pool| set(ResourceType::Cluster, pool, &format!("cluster {pool} 1"))),
    );
    assert_eq!(drain(&mut session, &late, NOW), [], "it is on its way there");
    late.finish_update();
    assert_eq!(drain(&mut session, &late, NOW), [], "the proxy holds just this");
    go_on(&mut late, 13, [set(ResourceType::Cluster, "b", "cluster b 2")]);
    late.finish_update();
    let response = one(&mut session, &late);
    assert!(
        holds(&response, "cluster b 2") && response.version.starts_with("7.13."),
        "{}",
        response.version
    );
    // Another cluster's index says nothing here.
    let mut stranger = whole();
    stranger.request(&at(9), NOW, Request { version: "8.99.1-00".to_owned(), ..claim }).expect("taken");
    assert_eq!(drain(&mut stranger, &at(9), NOW).len(), 1);
}

#[test]
fn an_incremental_proxy_that_moves_keeps_what_a_lagging_instance_does_not_know() {
    let mut before = delta();
    before.request(&at(12), NOW, ask(ResourceType::Cluster, &[])).expect("taken");
    let first = one(&mut before, &at(12));
    assert_eq!(first.resources.len(), 2);
    let version = |pool: &str| {
        let entry = format!("cluster {pool} 1");
        let bytes =
            first.resources.iter().find(|bytes| bytes.windows(entry.len()).any(|w| w == entry.as_bytes()));
        let text = String::from_utf8_lossy(bytes.expect("told")).into_owned();
        let from = text.find("7.12-").expect("it names the index");
        text[from..from + "7.12-0123456789abcdef".len()].to_owned()
    };
    let held: BTreeMap<String, String> = ["a", "b"].map(|pool| (pool.to_owned(), version(pool))).into();
    let (mut late, mut session) = (at(9), delta());
    session
        .request(&late, NOW, Request { initial_versions: held, ..ask(ResourceType::Cluster, &[]) })
        .expect("taken");
    assert_eq!(drain(&mut session, &late, NOW), [], "neither the old `a` nor that `b` is gone");
    go_on(
        &mut late,
        12,
        ["a", "b"].map(|pool| set(ResourceType::Cluster, pool, &format!("cluster {pool} 1"))),
    );
    late.finish_update();
    assert_eq!(drain(&mut session, &late, NOW), [], "it holds just this, whoever told it");
    go_on(&mut late, 14, [remove(ResourceType::Cluster, "b")]);
    late.finish_update();
    assert_eq!(one(&mut session, &late).removed, ["b"]);
}

#[test]
fn an_instance_that_has_heard_nothing_yet_says_nothing_and_does_not_wait_for_ever_with_more() {
    let (mut empty, mut session) = (Cache::new(0), whole());
    empty.begin_update(0, 0);
    let claim = Request { version: "7.12.3-00".to_owned(), ..ask(ResourceType::Cluster, &[]) };
    session.request(&empty, NOW, claim).expect("taken");
    assert_eq!(drain(&mut session, &empty, NOW), []);
    go_on(&mut empty, 9, [set(ResourceType::Cluster, "a", "old")]);
    empty.finish_update();
    assert_eq!(drain(&mut session, &empty, NOW), [], "now that the epoch is known so is the claim");
    let refused = (0..100).map(|_| session.request(&empty, NOW, ask(ResourceType::Endpoint, &["a"])));
    assert_eq!(refused.filter(Result::is_err).count(), 100 - 63, "requests that wait are bounded");
}
