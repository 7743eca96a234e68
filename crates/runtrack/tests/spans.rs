//! The log line with the mean time of served calls by stage.

use runtrack::net::spans::Spans;
use std::time::Duration;

#[test]
fn spans_are_means_in_microseconds_by_stage() {
    let mut spans = Spans::default();
    spans.add([10, 20, 30, 40, 50].map(Duration::from_micros));
    spans.add([30, 20, 10, 0, 50].map(Duration::from_micros));
    let line = "served 2, mean us: read 20 decided 20 connected 20 answer begun 20 whole 50";
    assert_eq!(spans.to_string(), line);
    let none = "served 0, mean us: read 0 decided 0 connected 0 answer begun 0 whole 0";
    assert_eq!(Spans::default().to_string(), none);
}
