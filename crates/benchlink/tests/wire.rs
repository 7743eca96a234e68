//! Tests of the wire protocol: parsing, formatting, and errors for malformed lines.

use runtrack_balancer::wire::{DiscoveryUpdate, EndpointNames, Line, format_action, parse_line};
use runtrack_balancer::*;
use std::io::Write;
use std::process::{Command, Output, Stdio};
use std::time::Duration;

const CONF: &str = r#"{"balancers":2,"classes":[{"deadlineMs":1000.0,"lateValue":0.5,"name":"a","objectiveMs":300.0,"semantics":"safe","worth":3.0},{"deadlineMs":900,"group":"cell","objectiveMs":300,"repeatWindowMs":400,"semantics":"keyed"}],"discovery":"subscribe","limits":{"cancelling":true,"maxAttempts":6,"openCap":20000},"me":1,"myZone":1,"rules":{"askWithinMs":10000,"coldShare":0.4,"drainGraceMs":250,"fallMs":1000,"fallMultiple":2.5,"graceToAnswerMs":16,"warmWithinMs":8200},"stage":0,"telemetry":{"fields":["outstanding","novel"],"via":"on_probe"},"weightKind":"live","brandNew":[1,2]}"#;

fn read(text: &str) -> Result<Line, wire::WireError> {
    parse_line(7, text, &mut EndpointNames::default())
}

fn event(text: &str) -> Event {
    match read(text) {
        Ok(Line::Event { event, .. }) => event,
        other => panic!("{other:?}"),
    }
}

/// Runs the adapter on an input; returns its exit status and output.
fn host(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_weirwharf-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().expect("piped").write_all(input.as_bytes()).expect("the adapter reads");
    child.wait_with_output().expect("the adapter ends")
}

fn replies(input: &str) -> String {
    let output = host(input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).expect("text")
}

#[test]
fn settings_are_parsed_and_unknown_keys_ignored() {
    let Ok(Line::StartInstance { instance: 3, seed: 9, settings }) = read(&format!("spawn 3 9 {CONF}"))
    else {
        panic!("no spawn");
    };
    assert_eq!((settings.balancers, settings.balancer_index, settings.zone), (2, 1, ZoneId(1)));
    assert_eq!(settings.discovery, Discovery::Subscribe);
    assert_eq!(settings.classes[0].value, 3.0);
    let window = Duration::from_millis(400);
    assert_eq!(settings.classes[1].semantics, Semantics::Keyed { scope: DedupScope::Cell, window });
    assert_eq!(settings.load_reports.delivery, ReportDelivery::Probe);
    assert_eq!(settings.load_reports.fields, [LoadField::Outstanding, LoadField::Other]);
    assert_eq!(settings.weight_kind, WeightKind::Live);
    assert!(settings.propagates_deadline);
}

#[test]
fn every_setting_is_converted() {
    let conf = r#"{"areas":["a","b"],"balancers":4,"blend":{"ninesPart":0.4,"ninesWanted":2.0,"whole":0.2,"worstClass":0.15,"worstTenant":0.05,"worstWindow":0.2},"classes":[{"aimStretch":1.5,"deadlineMs":1000,"objectiveMs":300,"semantics":"unsafe"}],"clients":{"marksRetry":true},"costs":{"connection":0.1,"discovery":0.2,"handshake":0.3,"waste":0.4},"countedBy":"work","discovery":"automatic","familyInfo":{"passesDeadline":false,"warmKeys":true},"limits":{"cpuUsPerRequest":10.0,"cpuUsPerS":248580,"idleCloseMs":10000.0,"maxAttempts":3,"openCap":331440},"me":3,"myZone":1,"rules":{"coldShare":0.14,"drainGraceMs":500,"fallMs":1500,"fallMultiple":4,"graceToAnswerMs":20,"warmWithinMs":22000},"stage":1,"tiers":["x","y","z"]}"#;
    let Ok(Line::StartInstance { settings, .. }) = read(&format!("spawn 0 1 {conf}")) else {
        panic!("no spawn")
    };
    assert_eq!((settings.zones, settings.tier, settings.tiers), (2, 1, 3));
    let score_weights = ScoreWeights {
        overall: 0.2,
        worst_window: 0.2,
        worst_class: 0.15,
        worst_tenant: 0.05,
        availability_nines: 0.4,
        target_nines: 2.0,
        value_basis: ValueBasis::Work,
    };
    assert_eq!(settings.score_weights, score_weights);
    assert_eq!(settings.classes[0].objective_work_factor, 1.5);
    assert!(settings.clients_mark_retries && settings.warm_keys && !settings.propagates_deadline);
    let costs = &settings.costs;
    assert_eq!((costs.connection, costs.discovery, costs.handshake, costs.waste), (0.1, 0.2, 0.3, 0.4));
    let limits = &settings.limits;
    assert_eq!((limits.cpu_per_s, limits.max_open_requests), (Duration::from_micros(248_580), 331_440));
    assert_eq!(limits.cpu_per_request, Duration::from_micros(10));
    assert_eq!(limits.idle_timeout, Duration::from_secs(10));
}

#[test]
fn missing_optional_settings_have_defaults() {
    let Ok(Line::StartInstance { settings, .. }) = read(&format!("spawn 3 9 {CONF}")) else {
        panic!("no spawn")
    };
    assert_eq!(settings.score_weights, ScoreWeights::default());
    assert_eq!((settings.zones, settings.tiers), (1, 1));
    assert_eq!(settings.limits.cpu_per_request, Duration::ZERO);
    assert!(settings.tenants.is_empty() && !settings.clients_mark_retries);
}

#[test]
fn outcome_after_client_left_is_accepted() {
    let spawn = format!("spawn 0 1 {CONF}");
    let input = format!(
        "turn 2\n{spawn}\ntable 0 1\nm e:1 1 0 0 Ready 1 -\ntargets 0 C 1 0\norder 0 t/x - - 0 500 0 0\nflush\n\
         turn 9\naborted 0 t/x\nflush\nturn 12\nresult 0 t/x 444 10 1 e:1 0 -\naborted 0 t/x\n\
         targets 0 X - -\nflush\n"
    );
    let replies = replies(&input);
    assert_eq!(replies.matches("next\n").count(), 3);
    assert!(replies.contains("revoke 0 t/x 0\n") && !replies.contains("die"), "{replies}");
}

#[test]
fn invalid_settings_name_the_key() {
    for (old, new, key) in [
        (r#""balancers":2,"#, "", "balancers"),
        (r#""coldShare":0.4,"#, "", "coldShare"),
        (r#""maxAttempts":6"#, r#""maxAttempts":"six""#, "conf.limits.maxAttempts"),
        (r#""semantics":"safe""#, r#""semantics":"risky""#, "conf.classes[0].semantics"),
        (r#""coldShare":0.4"#, r#""coldShare":4.0"#, "cold_share"),
        (r#""fallMs":1000"#, r#""fallMs":-1"#, "fallMs"),
    ] {
        let conf = CONF.replace(old, new);
        assert_ne!(conf, CONF);
        let error = read(&format!("spawn 0 1 {conf}")).expect_err(key).to_string();
        assert!(error.starts_with("line 7: field `conf"), "{error}");
        assert!(error.contains(key), "{error} must name {key}");
    }
}

#[test]
fn events_are_parsed() {
    let Event::Request(request) = event("order 3 t/x 12.0 91f03b7c55d20a64 7 240.5 2 1") else { panic!() };
    assert_eq!(request.work_hint, Some(Duration::from_millis(12)));
    assert_eq!(request.key, Some(0x91f0_3b7c_55d2_0a64));
    assert_eq!(request.time_left, Duration::from_micros(240_500));
    assert_eq!((request.tenant, request.class), (TenantId(2), ClassId(1)));
    assert!(request.client_retry && request.write);
    let Event::Request(request) = event("order 3 t/x 12.0 - 0 240 - 0") else { panic!() };
    assert_eq!((request.work_hint, request.key, request.tenant), (None, None, TenantId(0)));
    let Event::AttemptEnded(ended) = event("result 3 t/x 521 18.5 0 10.0.0.1:80 2 1.5,7") else { panic!() };
    assert_eq!(
        (ended.outcome, ended.attempt, ended.finished),
        (Outcome::ConnectFailed, AttemptNo(2), false)
    );
    assert_eq!(ended.report, Some(vec![1.5, 7.0]));
    assert_eq!(event("timeout_fired 3 9223372036854775808"), Event::Timer(TimerToken(1 << 63)));
    assert_eq!(
        event("neighbour_says 3 1 aGkgNw=="),
        Event::PeerMessage { from: 1, payload: b"hi 7".to_vec() }
    );
    assert!(matches!(event("opened 3 t/x 1 10.0.0.1:80 4"), Event::StreamStarted { .. }));
    assert!(matches!(event("sampled 3 10.0.0.1:80 200 4 -"), Event::ProbeEnded { report: None, .. }));
    assert!(matches!(read("targets 3 X - -"), Ok(Line::Discovery { update: DiscoveryUpdate::Failed, .. })));
    let Ok(Line::ListEntry(entry)) = read("m 10.0.0.1:80 1 0 4 Terminating 1.5 6100.0") else { panic!() };
    assert_eq!((entry.state, entry.cell), (EndpointState::Draining, CellId(4)));
    assert_eq!(entry.started_at, Some(Duration::from_millis(6100)));
}

#[test]
fn malformed_lines_report_line_field_and_problem() {
    for (text, field) in [
        ("", "message"),
        ("hello 3", "message"),
        ("turn", "clock"),
        ("turn -4", "clock"),
        ("turn NaN", "clock"),
        ("turn 1 2", "end of line"),
        ("order x t/x - - 0 1 0 0", "sidecar"),
        ("order 3 t/x - zz 0 1 0 0", "item"),
        ("order 3 t/x - - 0 - 0 0", "patienceLeftMs"),
        ("order 3 t/x - - 0 1 0", "kind"),
        ("result 3 t/x 299 1 0 a:1 0 -", "how"),
        ("result 3 t/x 200 1 2 a:1 0 -", "noMore"),
        ("result 3 t/x 200 1 1 a:1 -1 -", "copy"),
        ("result 3 t/x 200 1 1 a:1 0 1,,2", "report"),
        ("m a:1 0 0 0 Fine 1 -", "health"),
        ("table 16 0", "bank"),
        ("targets 3 Q 1 0", "mode"),
        ("timeout_fired 3 99999999999999999999", "ctx"),
        ("neighbour_says 3 1 ???", "payload"),
    ] {
        let error = read(text).expect_err(text);
        assert_eq!((error.line, error.field.as_str()), (7, field), "{text}: {error}");
    }
}

#[test]
fn actions_are_formatted() {
    let mut names = EndpointNames::default();
    let endpoint = names.id("10.0.0.1:80");
    let request = RequestId(1);
    let print = |action| format_action(3, &action, "t/x", &names);
    let timeout = Duration::from_micros(80_500);
    assert_eq!(print(Action::Send { request, endpoint, timeout }), "try 3 t/x 80.5 10.0.0.1:80");
    let timeout = Duration::ZERO;
    assert_eq!(print(Action::Send { request, endpoint, timeout }), "try 3 t/x 0.001 10.0.0.1:80");
    assert_eq!(print(Action::Refuse { request, retry_after: None }), "not_now 3 t/x -");
    let retry_after = Some(Duration::from_millis(40));
    assert_eq!(print(Action::Refuse { request, retry_after }), "not_now 3 t/x 40");
    assert_eq!(print(Action::Fail { request }), "surrender 3 t/x");
    assert_eq!(print(Action::Cancel { request, attempt: AttemptNo(2) }), "revoke 3 t/x 2");
    let after = Duration::from_millis(500);
    assert_eq!(print(Action::SetTimer { token: TimerToken(77), after }), "after 3 77 500");
    assert_eq!(print(Action::Watch(true)), "tail 3 1");
    assert_eq!(print(Action::FetchList), "lookup 3");
    assert_eq!(print(Action::Probe { endpoint }), "ask_load 3 10.0.0.1:80");
    assert_eq!(print(Action::CloseIdle { endpoint }), "release 3 10.0.0.1:80");
    assert_eq!(print(Action::Log("two\nlines".to_owned())), "trace 3 two lines");
}

#[test]
fn adapter_answers_batches_and_ends_with_input() {
    let spawn = format!("spawn 0 1 {CONF}");
    let input = format!(
        "turn 1\nflush\nturn 2\n{spawn}\ntable 0 1\nm e:1 1 0 0 Ready 1 -\ntargets 0 C 1 0\nflush\n\
         turn 3\norder 0 t/x - - 0 500 0 0\nflush\n"
    );
    let replies = replies(&input);
    assert_eq!(replies.matches("next\n").count(), 3);
    assert!(replies.contains("try 0 t/x 500 e:1\n"), "{replies}");
}

#[test]
fn list_number_refers_to_latest_list() {
    let spawn = format!("spawn 0 1 {CONF}");
    let input = format!(
        "turn 2\n{spawn}\ntable 0 1\nm e:1 1 0 0 Ready 1 -\ntargets 0 C 1 0\ntable 0 1\n\
         m e:2 1 0 0 Ready 1 -\ntargets 0 F 2 0\norder 0 t/x - - 0 500 0 0\nflush\n"
    );
    assert!(replies(&input).contains("try 0 t/x 500 e:2\n"));
}

#[test]
fn instance_can_stop_and_start_within_one_batch() {
    let start = format!("spawn 0 1 {CONF}\ntable 0 1\nm e:1 1 0 0 Ready 1 -\ntargets 0 C 1 0\n");
    let input = format!(
        "turn 2\n{start}order 0 t/x - - 0 500 0 0\ndetach 0\n{start}order 0 t/y - - 0 500 0 0\nflush\n\
         turn 900\naborted 0 t/x\nflush\n"
    );
    let replies = replies(&input);
    assert!(replies.contains("try 0 t/x") && replies.contains("try 0 t/y"), "{replies}");
}

#[test]
fn invalid_input_ends_the_adapter_with_one_error_line() {
    for (input, says) in [
        ("turn 1\nnonsense\nflush\n".to_owned(), "line 2: field `message`"),
        ("flush\n".to_owned(), "line 1: field `message`"),
        ("turn 1\ntimeout_fired 5 1\nflush\n".to_owned(), "line 2: field `sidecar`"),
        (format!("turn 1\nspawn 0 1 {CONF}\ntargets 0 D 1 4\nflush\n"), "line 3: field `bank`"),
        ("turn 1\ntable 0 2\nm e:1 0 0 0 Ready 1 -\nflush\n".to_owned(), "line 4: field `message`"),
        ("turn 1\n".to_owned(), "input ends inside a batch"),
        ("turn 1\ndetach 4\nflush\n".to_owned(), "line 2: field `sidecar`"),
        ("turn 1\nspawn 0 1 {}\nflush\n".to_owned(), "balancers"),
        (format!("turn 1\nspawn 0 1 {CONF}\norder 0 t/x - - 0 9 0 2\nflush\n"), "line 3: field `kind`"),
        (format!("turn 1\nspawn 0 1 {CONF}\norder 0 t/x - - 0 9 1 0\nflush\n"), "line 3: field `customer`"),
        (format!("turn 1\nspawn 0 1 {CONF}\norder 0 t/x - - 0 inf 0 0\nflush\n"), "patienceLeftMs"),
    ] {
        let output = host(&input);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(1), "{input}");
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
        assert!(stderr.contains(says), "{stderr} must contain {says}");
    }
}

#[test]
fn endpoint_has_the_same_id_at_every_host() {
    let (mut one, mut two) = (EndpointNames::default(), EndpointNames::default());
    let (a, b) = (one.id("10.18.74.7:11203"), one.id("10.18.74.7:11204"));
    two.id("10.144.17.242:11244");
    assert_eq!((two.id("10.18.74.7:11204"), two.id("10.18.74.7:11203")), (b, a));
    assert_ne!(a, b);
    assert_eq!(two.name(a), "10.18.74.7:11203");
}
