//! Slow, broken and malicious proxies. Other proxies see no delay, memory stays bounded, and each
//! misbehaving one gets a clear error.

mod common;

use common::*;
use runtrack_testkit::{
    Control, Discovery, Scripted, ScriptedDelta, connect, delta_request, request, target, until,
};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tonic::Code;

/// Number of endpoints in the pool; a push of them is about 60 KB.
const ENDPOINTS: u16 = 1000;

fn address(n: u16) -> std::net::SocketAddr {
    ([127, 0, 0, 1], 10_000 + n).into()
}

async fn start(settings: &str) -> (Discovery, Control) {
    let list = (0..ENDPOINTS).map(|n| target(&format!("e{n:04}"), address(n), "")).collect();
    let discovery = Discovery::start(list).await;
    let control = Control::start(BINARY, &platform_fleet(discovery.address, ""), settings, false).await;
    (discovery, control)
}

/// A relay to the service that passes responses at one byte per second.
async fn trickle(to: std::net::SocketAddr) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let far = TcpStream::connect(to).await.expect("the service is up");
            let (mut near_read, mut near_write) = near.into_split();
            let (mut far_read, mut far_write) = far.into_split();
            tokio::spawn(async move { tokio::io::copy(&mut near_read, &mut far_write).await });
            tokio::spawn(async move {
                let mut byte = [0; 1];
                // The handshake passes at full speed.
                let mut passed = 0;
                while far_read.read_exact(&mut byte).await.is_ok()
                    && near_write.write_all(&byte).await.is_ok()
                {
                    passed += 1;
                    if passed > 2000 {
                        tokio::time::sleep(Duration::from_secs(1)).await;
                    }
                }
            });
        }
    });
    at
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_and_rejecting_proxies_delay_no_other_and_use_bounded_memory() {
    let (discovery, control) = start("").await;
    let healthy = proxy(&control, "good", true);
    until("the list", || healthy.with(|s| s.ready("p").len() == usize::from(ENDPOINTS))).await;

    // Ten streams that never read, five of each xDS variant.
    let mut unresponsive = Vec::new();
    for n in 0..5 {
        let whole = Scripted::open(connect(control.xds).await).await;
        whole.send(request(&format!("mute{n}"), "eds", &["p"]));
        let delta = ScriptedDelta::open(connect(control.xds).await).await;
        delta.send(delta_request(&format!("mute{n}"), "eds", &["p"]));
        unresponsive.push((whole, delta));
    }
    // One stream that reads a byte per second.
    let slow = connect(trickle(control.xds).await).await;
    let slow = Scripted::open(slow).await;
    slow.send(request("slow", "eds", &["p"]));
    // One stream that rejects every response.
    let mut rejecting = ScriptedDelta::open(connect(control.xds).await).await;
    rejecting.send(delta_request("angry", "eds", &["p"]));
    let rejecting = tokio::spawn(async move {
        while let Ok(response) = rejecting.next().await {
            rejecting.answer(&response, Some("never"));
        }
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = control.memory_kib();
    let mut worst = Duration::ZERO;
    for n in 0..40 {
        let changed = Instant::now();
        discovery.drain(&format!("e{n:04}"));
        let left = usize::from(ENDPOINTS) - n - 1;
        until("the good one is told", || healthy.with(|s| s.ready("p").len() == left)).await;
        worst = worst.max(changed.elapsed());
    }
    assert!(worst < Duration::from_secs(2), "told after {worst:?}, past the grace");
    let grown = control.memory_kib().saturating_sub(before);
    assert!(grown < 32 << 10, "{grown} KiB more for twelve bad readers of 40 states of some 60 KB");
    let status = control.status().await;
    let of = |node: &str| {
        let all = status["proxies"].as_array().expect("a list");
        all.iter()
            .find(|p| p["node"] == node)
            .cloned()
            .unwrap_or_else(|| panic!("{node} is shown: {status}"))
    };
    assert_eq!(of("angry")["types"][0]["rejected"]["detail"], "never");
    assert_eq!(of("mute0")["types"][0]["behind"], true);
    assert_eq!(of("good")["types"][0]["rejected"], serde_json::Value::Null);
    rejecting.abort();

    // The same status over CSDS, for one node.
    use envoy_types::pb::envoy::service::status::v3 as csds;
    use envoy_types::pb::envoy::r#type::matcher::v3::{
        NodeMatcher, StringMatcher, string_matcher::MatchPattern,
    };
    let of = |id: &str| csds::ClientStatusRequest {
        node_matchers: vec![NodeMatcher {
            node_id: Some(StringMatcher {
                match_pattern: Some(MatchPattern::Exact(id.to_owned())),
                ..Default::default()
            }),
            ..Default::default()
        }],
        ..Default::default()
    };
    let channel = connect(control.xds).await;
    let mut client =
        csds::client_status_discovery_service_client::ClientStatusDiscoveryServiceClient::new(channel);
    // The proxy has applied the last change, but its acknowledgement may still be in flight.
    let end = Instant::now() + runtrack_testkit::WAIT_TIMEOUT;
    loop {
        let healthy = client.fetch_client_status(of("good")).await.expect("served").into_inner();
        let types: Vec<i32> =
            healthy.config[0].generic_xds_configs.iter().map(|c| c.config_status).collect();
        let synced = (healthy.config.len(), &types) == (1, &vec![csds::ConfigStatus::Synced as i32; 4]);
        assert!(synced || Instant::now() < end, "{types:?}");
        if synced {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let unresponsive = client.fetch_client_status(of("mute0")).await.expect("served").into_inner();
    assert!(
        unresponsive
            .config
            .iter()
            .all(|c| c.generic_xds_configs[0].config_status == csds::ConfigStatus::Stale as i32)
    );
    assert_eq!(unresponsive.config.len(), 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn clients_over_a_limit_get_an_error_and_others_are_served() {
    let (discovery, control) = start("").await;
    let healthy = proxy(&control, "good", false);
    until("the list", || healthy.with(|s| s.ready("p").len() == usize::from(ENDPOINTS))).await;

    // A subscription to 100,000 names.
    let mut over_subscribed = ScriptedDelta::open(connect(control.xds).await).await;
    let names: Vec<String> = (0..100_000).map(|n| format!("name-{n}")).collect();
    over_subscribed.send(delta_request(
        "greedy",
        "eds",
        &names.iter().map(String::as_str).collect::<Vec<_>>(),
    ));
    let refused = over_subscribed.next().await.expect_err("too many names");
    assert_eq!(refused.code(), Code::ResourceExhausted);
    assert!(refused.message().contains("20000 names"), "{refused}");

    // An unknown resource type, and a node without an id.
    let mut unknown_type = Scripted::open(connect(control.xds).await).await;
    let mut nothing = request("odd", "eds", &["p"]);
    nothing.type_url = "type.googleapis.com/nothing".to_owned();
    unknown_type.send(nothing);
    let refused = unknown_type.next().await.expect_err("no such type");
    assert_eq!(
        (refused.code(), refused.message().contains("is not served")),
        (Code::InvalidArgument, true)
    );
    let mut nameless = Scripted::open(connect(control.xds).await).await;
    nameless.send(request("", "eds", &["p"]));
    assert!(nameless.next().await.expect_err("nameless").message().contains("node.id"));

    // Bytes that are not HTTP/2.
    let mut garbage = TcpStream::connect(control.xds).await.expect("up");
    garbage.write_all(&[0x5a; 4096]).await.expect("taken");
    let mut rest = Vec::new();
    let ended = tokio::time::timeout(runtrack_testkit::WAIT_TIMEOUT, garbage.read_to_end(&mut rest)).await;
    assert!(ended.is_ok(), "it is closed");

    // 1008 streams of one node.
    let (mut streams, mut refused) = (Vec::new(), 0);
    for _ in 0..63 {
        let channel = connect(control.xds).await;
        for _ in 0..16 {
            let stream = Scripted::open(channel.clone()).await;
            stream.send(request("thousand", "cds", &[]));
            streams.push(stream);
        }
    }
    for stream in &mut streams {
        if let Err(status) = stream.next().await {
            assert_eq!(status.code(), Code::ResourceExhausted, "{status}");
            refused += 1;
        }
    }
    assert_eq!((streams.len(), streams.len() - refused), (1008, 12));

    // A client that sends requests without pause.
    let mut flooding = Scripted::open(connect(control.xds).await).await;
    for n in 0..20_000 {
        flooding.send(request("hasty", "eds", &[if n % 2 == 0 { "p" } else { "q" }]));
    }
    let refused = loop {
        if let Err(status) = flooding.next().await {
            break status;
        }
    };
    assert!(refused.message().contains("requests a second"), "{refused}");

    discovery.drain("e0000");
    until("the good one is told", || healthy.with(|s| s.ready("p").len() == usize::from(ENDPOINTS) - 1))
        .await;
    assert_eq!(healthy.with(|s| s.streams), 1, "on the stream that it had");
    let ended = control.status().await["ended"].to_string();
    assert!(ended.contains("20000 names") && ended.contains("hasty"), "{ended}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_beyond_the_limit_are_closed_at_once_and_others_go_on() {
    let control =
        Control::start(BINARY, &static_fleet(&[(7001, "ready")]), "[limits]\nconnections = 4\n", false)
            .await;
    let mut first = Scripted::open(connect(control.xds).await).await;
    first.send(request("first", "cds", &[]));
    first.next().await.expect("clusters");
    // Clients that connect and send nothing: with the first proxy, three of them fill the four connections allowed.
    let mut strangers = Vec::new();
    let mut closed = 0;
    for _ in 0..20 {
        let mut stranger = TcpStream::connect(control.xds).await.expect("the system accepts");
        // An accepted connection receives HTTP/2 SETTINGS; a rejected one is closed or reset.
        stranger.write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0").await.expect("sent");
        let mut byte = [0; 1];
        match tokio::time::timeout(runtrack_testkit::WAIT_TIMEOUT, stranger.read(&mut byte))
            .await
            .expect("an end")
        {
            Ok(1) => strangers.push(stranger),
            _ => closed += 1,
        }
    }
    assert_eq!((strangers.len(), closed), (3, 17));
    control.reload(
        &static_fleet(&[(7002, "ready")])
            .replace("\"1s\"", "\"900ms\"")
            .replace("[[pool]]", "[[pool]]\nmax_pending = 9"),
    );
    assert_eq!(first.next().await.expect("a change").resources.len(), 1);
    // One closes: its slot becomes free once the service has detected that.
    strangers.pop();
    let end = tokio::time::Instant::now() + runtrack_testkit::WAIT_TIMEOUT;
    let mut late = loop {
        match Scripted::try_open(connect(control.xds).await).await {
            Ok(late) => break late,
            Err(e) => assert!(tokio::time::Instant::now() < end, "never free: {e}"),
        }
    };
    late.send(request("late", "cds", &[]));
    late.next().await.expect("clusters");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_nodes_on_the_list_may_connect() {
    let settings = "[[access]]\nid = \"kiosk-*\"\ncluster = \"test\"\n";
    let control = Control::start(BINARY, &static_fleet(&[(7001, "ready")]), settings, false).await;
    let mut stranger = Scripted::open(connect(control.xds).await).await;
    stranger.send(request("stranger", "cds", &[]));
    assert_eq!(stranger.next().await.expect_err("not listed").code(), Code::PermissionDenied);
    let mut kiosk = Scripted::open(connect(control.xds).await).await;
    kiosk.send(request("kiosk-17", "cds", &[]));
    assert_eq!(kiosk.next().await.expect("listed").resources.len(), 1);
}
