//! Helpers for the tests and benches of the control service.
#![allow(dead_code)]

use runtrack_model::Fleet;
use runtrack_plan::{Applied, Load, Plan, PlanRequest, apply, fleet_at};
use runtrack_store::{Folder as Files, Store};
pub use runtrack_testkit::platform_fleet;
use runtrack_testkit::{Control, Proxy, ProxyConfig};
use std::collections::BTreeSet;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

pub const BINARY: &str = env!("CARGO_BIN_EXE_runtrack-control");

/// A fleet with static endpoints in pool `p`, given by port and state.
pub fn static_fleet(endpoints: &[(u16, &str)]) -> String {
    let mut text = platform_fleet(([127, 0, 0, 1], 1).into(), "");
    let list: String = endpoints
        .iter()
        .map(|(port, state)| {
            format!("[[pool.endpoint]]\nname = \"e{port}\"\naddress = \"127.0.0.1:{port}\"\nstate = \"{state}\"\n")
        })
        .collect();
    text = text.replace("platform = \"127.0.0.1:1\"", &list);
    text
}

pub fn proxy(control: &Control, id: &str, incremental: bool) -> Proxy {
    Proxy::start(ProxyConfig { control: control.xds, id: id.to_owned(), zone: String::new(), incremental })
}

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

/// Applies a plan for the wanted fleet with all risks accepted; returns the new serial.
pub fn apply_change(folder: &Path, wanted: &str) -> u64 {
    apply_staged_change(folder, wanted, &[], 0)
}

/// Like [`apply_change`], with a staged roll-out.
pub fn apply_staged_change(folder: &Path, wanted: &str, stages: &[u32], pause_ms: u64) -> u64 {
    let wanted = Fleet::from_toml(wanted).unwrap_or_else(|problems| panic!("{problems}"));
    let mut store = Store::open_or_create(Files::new(folder).expect("a folder"), "l").expect("a store");
    let from = fleet_at(&store, store.serial()).expect("a fleet");
    let request = PlanRequest {
        author: "nok",
        reason: "a test",
        now_ms: now_ms(),
        lifetime_ms: 60_000,
        lineage: "l",
        base: store.current(),
        load: &Load::default(),
        stages,
        pause_ms,
    };
    let plan = Plan::new(request, &from, &wanted);
    let high = plan.risks.iter().filter(|risk| risk.severity == runtrack_model::Severity::High);
    let accepted: BTreeSet<String> = high.map(|risk| risk.id.clone()).collect();
    match apply(&mut store, &plan, &accepted, "nok", now_ms()).expect("it applies") {
        Applied::Committed(serial) => serial,
        Applied::AlreadyApplied(serial) => panic!("applied before as {serial}"),
    }
}
