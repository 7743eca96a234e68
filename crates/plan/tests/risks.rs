//! Each risk with its figures and weight, and no risk where there is none.

use runtrack_model::{Fleet, Severity};
use runtrack_plan::{Load, PoolLoad, Risk, RiskContext, assess_risks};

const NOW: u64 = 1_796_000_000_000;

const FLEET: &str = r#"
[rules]
drain_grace = "2s"
warm_within = "30s"
cold_share = 0.25

[[class]]
name = "quote"
semantics = "safe"
objective = "2s"
deadline = "3s"

[[class]]
name = "post"
semantics = "unsafe"
objective = "600ms"
deadline = "3s"

[[class]]
name = "key"
semantics = "keyed"
group = "cell"
window = "10s"
deadline = "3s"

[[pool]]
name = "q"
max_requests = 100
endpoint = [
  { name = "q1", address = "127.0.0.1:1", zone = "" },
  { name = "q2", address = "127.0.0.1:2", zone = "" },
  { name = "q3", address = "127.0.0.1:3", zone = "" },
  { name = "q4", address = "127.0.0.1:4", zone = "" },
  { name = "q5", address = "127.0.0.1:5", zone = "", state = "draining" },
]

[[pool]]
name = "other"
endpoint = [{ name = "o1", address = "127.0.0.1:9" }]

[[listener]]
name = "l"
address = "127.0.0.1:8080"

[[listener.route]]
name = "quote"
prefix = "/quote"
class = "quote"
pool = "q"

[[listener.route]]
name = "post"
prefix = "/post"
class = "post"
pool = "q"

[[listener.route]]
name = "key"
prefix = "/key"
class = "key"
pool = "q"
"#;

/// The risks of replacing texts in the fleet's file, with this load, so many milliseconds after it was applied.
fn found(edits: &[(&str, &str)], load: &Load, applied_at_ms: u64) -> Vec<Risk> {
    let mut text = FLEET.to_owned();
    for (old, new) in edits {
        assert!(text.contains(old), "{old}");
        text = text.replacen(old, new, 1);
    }
    let read = |text: &str| Fleet::from_toml(text).unwrap_or_else(|problems| panic!("{problems}"));
    assess_risks(
        &read(FLEET),
        &read(&text),
        RiskContext { load, applied_at_ms: NOW - applied_at_ms, now_ms: NOW },
    )
}

fn of(edits: &[(&str, &str)]) -> Vec<Risk> {
    found(edits, &Load::default(), 3_600_000)
}

fn one<'r>(risks: &'r [Risk], id: &str) -> &'r Risk {
    risks.iter().find(|risk| risk.id == id).unwrap_or_else(|| panic!("{id} is not among {risks:#?}"))
}

fn drained(n: u32) -> (String, String) {
    let line = format!("address = \"127.0.0.1:{n}\", zone = \"\" }}");
    (line.clone(), line.replace(" }", ", state = \"draining\" }"))
}

fn drain(which: &[u32]) -> Vec<Risk> {
    let edits: Vec<(String, String)> = which.iter().map(|&n| drained(n)).collect();
    let edits: Vec<(&str, &str)> = edits.iter().map(|(old, new)| (old.as_str(), new.as_str())).collect();
    of(&edits)
}

#[test]
fn nothing_changed_and_harmless_changes_risk_nothing() {
    assert_eq!(of(&[]), []);
    assert_eq!(of(&[("max_requests = 100", "max_requests = 200")]), []);
    assert_eq!(of(&[("semantics = \"safe\"", "semantics = \"unsafe\"")]), []);
    assert_eq!(of(&[("drain_grace = \"2s\"", "drain_grace = \"3s\"")]), []);
    // What has drained for an hour may go.
    assert_eq!(
        of(&[("  { name = \"q5\", address = \"127.0.0.1:5\", zone = \"\", state = \"draining\" },\n", "")]),
        []
    );
}

#[test]
fn capacity_that_goes_weighs_by_its_part_where_no_load_is_known() {
    let one_of_four = drain(&[1]);
    let risk = one(&one_of_four, "capacity-lost/pool.q");
    assert_eq!((risk.severity, risk.figures["lost_part"]), (Severity::Medium, 0.25));
    let two = drain(&[1, 2]);
    assert_eq!(one(&two, "capacity-lost/pool.q").severity, Severity::High);
    assert!(two.iter().all(|risk| !risk.id.starts_with("pool-")), "{two:?}");
}

#[test]
fn capacity_that_goes_weighs_by_the_use_of_what_is_left_where_the_load_is_known() {
    let (old, new) = drained(1);
    let with = |requests_per_s| {
        let q = PoolLoad {
            requests_per_s: Some(requests_per_s),
            capacity_per_s: Some(100.0),
            ..PoolLoad::default()
        };
        let load = Load { pools: [("q".to_owned(), q)].into(), ..Load::default() };
        let risks = found(&[(&old, &new)], &load, 3_600_000);
        let risk = one(&risks, "capacity-lost/pool.q").clone();
        (risk.severity, risk.figures["use_after"])
    };
    assert_eq!(with(150.0), (Severity::Low, 0.5));
    assert_eq!(with(270.0), (Severity::Medium, 0.9));
    assert_eq!(with(330.0), (Severity::High, 1.1));
}

#[test]
fn a_pool_left_with_one_endpoint_or_none_is_a_high_risk() {
    assert_eq!(one(&drain(&[1, 2, 3]), "pool-thin/pool.q").severity, Severity::High);
    let none = drain(&[1, 2, 3, 4]);
    let risk = one(&none, "pool-emptied/pool.q");
    assert_eq!((risk.severity, risk.figures["ready_before"]), (Severity::High, 4.0));
    assert_eq!(none.len(), 1, "one word for it is enough: {none:?}");
}

#[test]
fn a_pool_left_in_one_zone_is_told() {
    let zoned = FLEET
        .replace("[[class]]\nname = \"quote\"", "[zones]\na = {}\nb = {}\n\n[[class]]\nname = \"quote\"")
        .replace("127.0.0.1:1\", zone = \"\"", "127.0.0.1:1\", zone = \"a\"");
    let (old, new) =
        ("127.0.0.1:1\", zone = \"a\" }", "127.0.0.1:1\", zone = \"a\", state = \"draining\" }");
    let read = |text: &str| Fleet::from_toml(text).unwrap_or_else(|problems| panic!("{problems}"));
    let seen = RiskContext { load: &Load::default(), applied_at_ms: 0, now_ms: NOW };
    let risks = assess_risks(&read(&zoned), &read(&zoned.replace(old, new)), seen);
    assert_eq!(one(&risks, "pool-thin/pool.q").severity, Severity::Medium);
}

#[test]
fn what_loses_protection_is_a_high_risk() {
    let safe = of(&[("semantics = \"unsafe\"", "semantics = \"safe\"")]);
    assert_eq!(one(&safe, "protection-lost/class.post").severity, Severity::High);
    let wider = of(&[("group = \"cell\"", "group = \"zone\"")]);
    assert_eq!(one(&wider, "protection-lost/class.key").severity, Severity::High);
    let longer = of(&[("window = \"10s\"", "window = \"20s\"")]);
    assert_eq!(one(&longer, "protection-lost/class.key").severity, Severity::High);
    assert_eq!(of(&[("window = \"10s\"", "window = \"5s\"")]), []);
    let by_route = of(&[("class = \"post\"", "class = \"quote\"")]);
    assert_eq!(one(&by_route, "protection-lost/listener.l.route.post").severity, Severity::High);
}

#[test]
fn drains_that_are_skipped_or_cut_short_are_told() {
    let gone = of(&[("  { name = \"q1\", address = \"127.0.0.1:1\", zone = \"\" },\n", "")]);
    assert_eq!(one(&gone, "drain-short/pool.q.endpoint.q1").severity, Severity::Medium);
    let moved = of(&[("127.0.0.1:1\"", "127.0.0.1:11\"")]);
    assert_eq!(one(&moved, "drain-short/pool.q.endpoint.q1").severity, Severity::Medium);
    let edit = ("  { name = \"q5\", address = \"127.0.0.1:5\", zone = \"\", state = \"draining\" },\n", "");
    let early = found(&[edit], &Load::default(), 500);
    let risk = one(&early, "drain-short/pool.q.endpoint.q5");
    assert_eq!((risk.figures["drained_s"], risk.figures["grace_s"]), (0.5, 2.0));
    let grace = of(&[("drain_grace = \"2s\"", "drain_grace = \"1s\"")]);
    assert_eq!(one(&grace, "drain-short/rules").severity, Severity::Medium);
}

#[test]
fn endpoints_that_start_cold_together_are_told_with_what_the_pool_can_do_meanwhile() {
    let fresh = format!(", zone = \"\", started_ms = {NOW} }}");
    let new: Vec<String> =
        (6..=9).map(|n| format!("  {{ name = \"q{n}\", address = \"127.0.0.1:{n}6\"{fresh},\n")).collect();
    let end = "  { name = \"q5\"";
    let risks = of(&[(end, &format!("{}{end}", new.concat()))]);
    let risk = one(&risks, "cold-together/pool.q");
    assert_eq!(
        (risk.severity, risk.figures["cold_part"], risk.figures["capacity_part"]),
        (Severity::High, 0.5, 0.625)
    );
    let one_more = of(&[(end, &format!("{}{end}", new[0]))]);
    assert_eq!(one(&one_more, "cold-together/pool.q").figures["cold_part"], 0.2);
    let warm = new[0].replace(&NOW.to_string(), &(NOW - 60_000).to_string());
    assert_eq!(of(&[(end, &format!("{warm}{end}"))]), [], "it started a minute ago");
}

#[test]
fn limits_under_present_use_are_a_high_risk() {
    let edit = ("max_requests = 100", "max_requests = 60");
    assert_eq!(one(&of(&[edit]), "limit-lowered/pool.q.max_requests").severity, Severity::Low);
    let half = of(&[("max_requests = 100", "max_requests = 50")]);
    assert_eq!(one(&half, "limit-lowered/pool.q.max_requests").severity, Severity::Medium);
    let with = |requests| {
        let q = PoolLoad { requests: Some(requests), ..PoolLoad::default() };
        let load = Load { pools: [("q".to_owned(), q)].into(), ..Load::default() };
        one(&found(&[edit], &load, 3_600_000), "limit-lowered/pool.q.max_requests").severity
    };
    assert_eq!((with(60), with(61)), (Severity::Low, Severity::High));
}

#[test]
fn a_route_that_can_no_longer_match_is_a_high_risk_and_a_new_one_a_medium_one() {
    let wide = "[[listener.route]]\nname = \"all\"\nclass = \"post\"\npool = \"q\"\n\n[[listener.route]]\nname = \"quote\"";
    let risks = of(&[("[[listener.route]]\nname = \"quote\"", wide)]);
    for route in ["quote", "post", "key"] {
        assert_eq!(
            one(&risks, &format!("route-shadowed/listener.l.route.{route}")).severity,
            Severity::High
        );
    }
    let late = "prefix = \"/key\"\nclass = \"key\"\npool = \"q\"\n\n[[listener.route]]\nname = \"late\"\nprefix = \"/key/late\"\nclass = \"post\"\npool = \"q\"";
    let risks = of(&[("prefix = \"/key\"\nclass = \"key\"\npool = \"q\"", late)]);
    let risk = one(&risks, "route-shadowed/listener.l.route.late");
    assert_eq!(risk.severity, Severity::Medium);
    assert!(risk.what.contains("key"), "{}", risk.what);
}

#[test]
fn traffic_that_goes_elsewhere_is_counted_by_requests_where_they_are_known() {
    let edit = ("class = \"quote\"\npool = \"q\"", "class = \"quote\"\npools = { q = 9, other = 1 }");
    let risks = of(&[edit]);
    let risk = one(&risks, "traffic-moved/class.quote");
    assert!((risk.figures["moved_part"] - 0.1).abs() < 1e-9, "{risk:?}");
    assert_eq!(risk.severity, Severity::Low);

    let second = "prefix = \"/key\"\nclass = \"quote\"\npool = \"other\"";
    let edit = ("prefix = \"/key\"\nclass = \"key\"\npool = \"q\"", second);
    let load = Load {
        routes: [("l.key".to_owned(), 30.0), ("l.quote".to_owned(), 10.0)].into(),
        ..Load::default()
    };
    let risks = found(&[edit], &load, 3_600_000);
    assert_eq!(one(&risks, "traffic-moved/class.key").figures["moved_part"], 1.0);
    assert!(risks.iter().all(|risk| risk.id != "traffic-moved/class.quote"), "quotes go where they went");
}

#[test]
fn listeners_that_go_or_move_and_pools_from_elsewhere_are_high_risks() {
    let moved = of(&[("127.0.0.1:8080", "127.0.0.1:8081")]);
    assert_eq!(one(&moved, "listener-gone/listener.l").severity, Severity::High);
    let edit = ("endpoint = [{ name = \"o1\", address = \"127.0.0.1:9\" }]", "platform = \"127.0.0.1:9\"");
    assert_eq!(one(&of(&[edit]), "pool-replaced/pool.other").severity, Severity::High);
}

#[test]
fn shorter_times_of_a_class_are_told() {
    let half = of(&[("objective = \"2s\"\ndeadline = \"3s\"", "objective = \"1s\"\ndeadline = \"2s\"")]);
    assert_eq!(one(&half, "class-time/class.quote.objective").severity, Severity::Medium);
    assert_eq!(one(&half, "class-time/class.quote.deadline").severity, Severity::Low);
}

#[test]
fn severities_are_raised_by_the_file_and_never_lowered() {
    let raise = |to: &str| {
        ("[rules]", format!("[risks]\nlimit-lowered = \"{to}\"\npool-emptied = \"low\"\n\n[rules]"))
    };
    let (rules, high) = raise("high");
    let risks = of(&[(rules, &high), ("max_requests = 100", "max_requests = 90")]);
    assert_eq!(one(&risks, "limit-lowered/pool.q.max_requests").severity, Severity::High);
    let (old, new): (Vec<String>, Vec<String>) = (1..=4).map(drained).unzip();
    let mut edits: Vec<(&str, &str)> =
        old.iter().zip(&new).map(|(o, n)| (o.as_str(), n.as_str())).collect();
    edits.push((rules, &high));
    assert_eq!(one(&of(&edits), "pool-emptied/pool.q").severity, Severity::High, "not lowered");
}

#[test]
fn a_risk_that_does_not_exist_is_no_setting() {
    let text = FLEET.replace("[rules]", "[risks]\npool-emptid = \"high\"\n\n[rules]");
    let problems = Fleet::from_toml(&text).expect_err("no such risk").to_string();
    assert!(problems.starts_with("3:") && problems.contains("did you mean `pool-emptied`"), "{problems}");
}
