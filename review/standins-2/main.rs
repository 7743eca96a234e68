//! Stand-ins of the second review: the operator, clients and endpoints as the pages describe them, and one scenario a case.
//! `standins-2 CASE FOLDER` writes `FOLDER/record.txt` and ends with 1 if the rule was broken, 0 if it held, 2 if it could
//! not run. With `TROUBLE=0` in the environment the disruption is left out.

mod ended_endpoints;
mod fleet;
mod http;
mod operator;

use std::path::PathBuf;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standins-2 CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = fleet::Record::new(&PathBuf::from(folder));
    record.say(&format!("case {case}, TROUBLE={}", u8::from(trouble)));
    std::panic::set_hook(Box::new(|_| {}));
    let ran = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| match case.as_str() {
        "ended-endpoints" => ended_endpoints::run(&record, trouble),
        other => fleet::quit(&format!("no case {other}")),
    }));
    let broken = ran.unwrap_or_else(|problem| {
        let problem =
            problem.downcast_ref::<fleet::Quit>().map_or("a stand-in failed", |quit| quit.0.as_str());
        record.say(&format!("can't run: {problem}"));
        std::process::exit(2);
    });
    record.say(if broken { "the rule was broken" } else { "the rule held" });
    std::process::exit(i32::from(broken));
}
