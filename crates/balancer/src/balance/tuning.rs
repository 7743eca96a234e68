//! Tuning constants of the balancer: weights, bounds and times.
//!
//! "Decays" means exponential decay with the given time constant: a value falls to 1/e of itself.

use std::time::Duration;

/// Endpoints sampled for a call, the d of SQ(d); two gives most of the gain.
pub(super) const CHOICES: usize = 2;
/// Draws per choice, eligible or not, so that the work for a request does not grow with the fleet.
pub(super) const MAX_DRAWS: usize = 16;
/// Penalty of one failure in calls in flight; without it, endpoints that fail fast would win every sample.
pub(super) const FAILURE_PENALTY: f64 = 1.0;
/// Bound on an endpoint's penalty, so that it recovers within some seconds.
pub(super) const MAX_PENALTY: f64 = 12.0;
/// A lower penalty counts as zero: a residue would lose every tie and exclude an idle endpoint for good.
pub(super) const MIN_PENALTY: f64 = 0.5;
/// Time constant of the penalty, long enough for a series of failures to add up.
pub(super) const PENALTY_SECONDS: f64 = 4.0;
/// Excess latency, as a multiple of the baseline, that is ignored.
pub(super) const EXCESS_LATENCY_FREE: f64 = 0.5;
/// Weight of one answer in an endpoint's excess latency and in the fraction of late answers.
pub(super) const ANSWER_WEIGHT: f64 = 0.15;
/// Least time constant of excess latency, so that a slow endpoint is tried again ...
pub(super) const MIN_DECAY_SECONDS: f64 = 6.0;
/// ... extended to the time of this many calls to one endpoint. With hundreds of callers, each calls an
/// endpoint once in seconds; forgetting it in between, all of them together would keep it busy.
pub(super) const DECAY_CALLS: f64 = 8.0;
pub(super) const MAX_DECAY_SECONDS: f64 = 60.0;
/// Occupancy by which an endpoint of another zone must be lower: crossing zones costs time and money.
pub(super) const CROSS_ZONE_MARGIN: f64 = 1.0;
/// Retry tokens per new request. All tiers retry, so the product over the tiers must stay near one.
pub(super) const RETRY_TOKENS_EARNED: f64 = 0.2;
/// Retry tokens that can be saved up, for a fault that hits many calls at once.
pub(super) const MAX_RETRY_TOKENS: f64 = 10.0;
/// Fraction of the cold overload factor that all balancers together may use.
pub(super) const COLD_SAFETY: f64 = 0.5;
/// Time constant of request rates.
pub(super) const RATE_SECONDS: f64 = 5.0;
/// Time constant of the proven rate of warm endpoints.
pub(super) const PROVEN_RATE_SECONDS: f64 = 30.0;
/// Mean deviations over the mean latency after which an attempt counts as lost. Few answers take this long,
/// even where work is heavy-tailed ...
pub(super) const LOST_DEVIATIONS: f64 = 8.0;
/// ... and after which it is hedged while losses are suspected.
pub(super) const HEDGE_DEVIATIONS: f64 = 2.0;
/// Lost attempts, less `ANSWER_CREDIT` per answer, from which loss is suspected: above one in ten attempts.
pub(super) const LOSS_THRESHOLD: f64 = 1.5;
pub(super) const ANSWER_CREDIT: f64 = 0.1;
pub(super) const MAX_LOSS: f64 = 6.0;
/// Time constant of the loss level, after which idle connections are trusted again.
pub(super) const LOSS_SECONDS: f64 = 15.0;
/// Evidence of an answer on an idle connection against such connections being dropped.
pub(super) const IDLE_ANSWER_CREDIT: f64 = 0.25;
/// Above this fraction of late answers, missing answers are attributed to overload.
pub(super) const MAX_LATE_FRACTION: f64 = 0.3;
/// Concurrency limit of an endpoint before any answer.
pub(super) const INITIAL_LIMIT: f64 = 3.0;
/// In slow start, until the first late answer, timely ones add a call each up to this limit; otherwise a few
/// endpoints would delay a first surge for seconds. Not for new processes, which a rollout would overload;
/// less with many balancers, which add up. Could hurt where answers stay timely until a queue overflows.
pub(super) const SLOW_START_LIMIT: f64 = 8.0;
/// Beyond that, gain of an answer that takes less than half of the late threshold: a quarter per round trip,
/// as finding the limit of endpoints that hold hundreds would take too long at one call per round trip.
pub(super) const SLOW_START_GAIN: f64 = 0.25;
/// Fraction by which a late answer lowers the limit; a round trip of timely ones adds one call.
pub(super) const LIMIT_DECREASE: f64 = 0.07;
/// Fraction of the objective after which an answer is late.
pub(super) const LATE_OBJECTIVE_FRACTION: f64 = 0.8;
/// Initial calls of all balancers per endpoint. Each window starts at its share, since a hundred balancers
/// would start with an overload. Until the first late answer each timely one adds a share.
pub(super) const INITIAL_WINDOW: f64 = 4.0;
/// A timely answer adds this many shares over the window; a late one subtracts `WINDOW_DECREASE`. Where an
/// endpoint holds 1.5 calls of all balancers, one answer in two may be late; with 3 calls, one in three.
pub(super) const WINDOW_INCREASE: f64 = 0.75;
/// Less than one call: where a balancer has one or two in flight, single slow answers are mostly chance.
pub(super) const WINDOW_DECREASE: f64 = 0.5;
/// Bound on a window as a multiple of its recent use (RFC 7661): unused room says nothing about what
/// endpoints can hold, and would let a slowdown fill them up.
pub(super) const HEADROOM: f64 = 1.5;
/// Time constant of a window's recent maximum.
pub(super) const PEAK_SECONDS: f64 = 10.0;
/// Calls of all balancers per endpoint beyond which two windows at their floor of one call are too many.
pub(super) const MAX_FLOOR_CALLS: f64 = 8.0;
/// An answer is also late beyond this multiple of its class's baseline; service times vary.
pub(super) const LATE_MULTIPLE: f64 = 2.5;
/// Seconds below which no answer is late: shorter ones build no queue, and a few times a baseline of
/// microseconds is noise. Hides an overload only where all answers take less.
pub(super) const MIN_LATE_SECONDS: f64 = 0.005;
/// Balancers that share each endpoint. With more, each learns too little of an endpoint (i44da9d) and its
/// idle connections fill the endpoints' tables, which takes capacity. The sum of n unequal loads varies by
/// 1/sqrt(n): with nine, where some balancers carry several times the mean, by a third.
pub(super) const SUBSET_CALLERS: f64 = 9.0;
/// Least subset of a zone, so that a sample finds a choice among failing endpoints.
pub(super) const MIN_SUBSET: f64 = 4.0;
/// Offset between consecutive balancers on the ring: the golden ratio spaces any run of them evenly.
pub(super) const GOLDEN_RATIO_STEP: f64 = 0.618_033_988_75;
/// Time constant of the value of refused requests.
pub(super) const REFUSED_SECONDS: f64 = 2.0;
/// Least value of a client's retry, otherwise that of a late answer: part of its objective has passed.
pub(super) const MIN_RETRY_VALUE: f64 = 0.1;
/// Interval of queue checks, in addition to one whenever a call ends.
pub(super) const QUEUE_RECHECK: Duration = Duration::from_millis(20);
/// Fraction of the objective for which queued requests are sent in FIFO order.
pub(super) const FIFO_FRACTION: f64 = 0.25;
/// A tenant is over its share beyond this multiple of the median tenant's use of its own share.
pub(super) const TENANT_SLACK: f64 = 1.5;
/// First delay before a failed subscription is retried, plus or minus half of it; doubles ...
pub(super) const BACKOFF_SECONDS: f64 = 0.5;
/// ... up to this: with the jitter the delay stays within the 6 s after which discovery data counts as
/// delivered (PROTOCOL, "Figures"). Not much shorter, since refused calls take discovery's time too, and
/// many callers that retry sooner would keep each other out.
pub(super) const MAX_BACKOFF_SECONDS: f64 = 4.0;
