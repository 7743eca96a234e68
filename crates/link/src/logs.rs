//! JSON lines on standard error, one event a line.

use slog::{Drain, Level, LevelFilter, Logger, o};
use std::io;
use std::sync::Mutex;

/// A logger that writes a JSON object a line, with the program and the machine in each.
pub fn json_logger(program: &'static str, node: &str) -> Logger {
    let drain = slog_json::Json::new(io::stderr())
        .add_key_value(o!(
            "level" => slog::FnValue(|record: &slog::Record<'_>| record.level().as_short_str()),
            "event" => slog::FnValue(|record: &slog::Record<'_>| record.msg().to_string()),
        ))
        .build();
    let drain = LevelFilter::new(Mutex::new(drain), Level::Info).fuse();
    Logger::root(drain, o!("program" => program, "node" => node.to_owned()))
}
