//! Cost of a change of one endpoint: `cargo bench -p runtrack-balancer --bench membership`.

use runtrack_balancer::{Balancer, EndpointInfo, EndpointState, Event, Membership, Settings, ZoneId};
use std::hint::black_box;
use std::time::{Duration, Instant};

fn main() {
    println!("endpoints  drain and back, µs a change   leave and come, µs a change");
    for size in [150u64, 1_500, 15_000, 150_000] {
        let info = |n: u64, state| EndpointInfo {
            zone: ZoneId((n % 3) as u32),
            state,
            ..EndpointInfo::ready(n.wrapping_mul(0x9e37_79b9_7f4a_7c15))
        };
        let settings = Settings { balancers: 20, zones: 3, ..Settings::default() };
        let mut balancer = Balancer::new(settings, 7, Duration::ZERO).expect("valid settings");
        let mut out = Vec::new();
        let all = (0..size).map(|n| info(n, EndpointState::Ready)).collect();
        balancer.handle(Duration::ZERO, Event::Membership(Membership::Full(all)), &mut out);
        let mut time = |state| {
            let changes = 2_000u64.min(size);
            let began = Instant::now();
            for n in 0..changes {
                let n = n * 7919 % size;
                for state in [state, EndpointState::Ready] {
                    let delta = Membership::Delta(vec![info(n, state)]);
                    balancer.handle(Duration::from_secs(1), Event::Membership(delta), &mut out);
                    black_box(&out);
                    out.clear();
                }
            }
            began.elapsed().as_secs_f64() * 1e6 / (2 * changes) as f64
        };
        let (drain, leave) = (time(EndpointState::Draining), time(EndpointState::Removed));
        println!("{size:>9}  {drain:>27.2}  {leave:>27.2}");
    }
}
