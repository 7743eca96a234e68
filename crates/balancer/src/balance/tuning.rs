//! The figures of the balancer: weights, bounds and times, each with the reason for its size.

use std::time::Duration;

/// Endpoints sampled for a call: the paper's d; two gives most of the gain.
pub(super) const CHOICES: usize = 2;
/// Endpoints of a pool looked at for one choice, open or not: work a request must not grow with the fleet.
pub(super) const DRAWS: usize = 16;
/// A failure weighs like this many calls in flight, or quick errors would win every sample.
pub(super) const FAILURE_HEAT: f64 = 1.0;
/// Failures weigh no more than this together, so that an endpoint cools within some seconds.
pub(super) const MAX_HEAT: f64 = 12.0;
/// Less heat than this is none: a trace of it would lose every tie and bar an idle endpoint for good.
pub(super) const MIN_HEAT: f64 = 0.5;
/// Seconds in which the weight of failures falls to a third: long enough for a streak to add up.
pub(super) const HEAT_SECONDS: f64 = 4.0;
/// An endpoint's answers may take longer than the unhurried mean by this multiple of it before that counts.
pub(super) const DRAG_FREE: f64 = 0.5;
/// Weight of one answer in an endpoint's drag, and in the share of late answers.
pub(super) const DRAG_WEIGHT: f64 = 0.15;
/// Seconds in which drag is forgotten to a third, so that a slow endpoint is tried again.
pub(super) const DRAG_SECONDS: f64 = 6.0;
/// Or the time of so many calls to one endpoint, where that is longer: of hundreds of callers each meets an
/// endpoint once in seconds, would have forgotten it by then, and all of them together would keep it busy.
pub(super) const DRAG_CALLS: f64 = 8.0;
pub(super) const MAX_DRAG_SECONDS: f64 = 60.0;
/// Occupancy by which an endpoint of another zone must be better: a crossing costs time and money.
pub(super) const CROSS_MARGIN: f64 = 1.0;
/// Retries that each new request earns; all tiers retry, so the product must stay near one.
pub(super) const RETRY_EARN: f64 = 0.2;
/// Retries that can be saved up, for a fault that strikes many calls at once.
pub(super) const RETRY_SAVED: f64 = 10.0;
/// Share of the multiple at which a cold endpoint falls that all balancers together may use.
pub(super) const COLD_CAUTION: f64 = 0.5;
/// Seconds over which rates are averaged.
pub(super) const RATE_SECONDS: f64 = 5.0;
/// Seconds for which a warm endpoint's proven rate is believed without new proof.
pub(super) const PROOF_SECONDS: f64 = 30.0;
/// An attempt's answer may never come once it is out for the mean and so many mean distances from it: few
/// answers take as long even where work is heavy-tailed ...
pub(super) const SILENT_SPREADS: f64 = 8.0;
/// ... or already after so many, while endpoints are known to be silent.
pub(super) const OVERDUE_SPREADS: f64 = 2.0;
/// Silences less those that answers refute, before they are acted on: above one in ten attempts.
pub(super) const SILENCE_ACTS: f64 = 1.5;
pub(super) const SILENCE_REFUTED: f64 = 0.1;
pub(super) const MAX_SILENCE: f64 = 6.0;
/// Seconds in which silence is forgotten to a third, so that old connections are trusted again.
pub(super) const SILENCE_SECONDS: f64 = 15.0;
/// What an answer on an old connection says against its kind being dropped unseen.
pub(super) const STALE_REFUTED: f64 = 0.25;
/// Above this share of late answers silence is taken for a jam.
pub(super) const LATE_SHARE: f64 = 0.3;
/// Own calls in flight at an endpoint that is not known yet: the paper's C before any measurement.
pub(super) const LIMIT_START: f64 = 3.0;
/// Until its first late answer each timely one adds a call, up to so many: or few endpoints would hold a
/// first surge up for seconds. Not where they are newly started: through a release those would be crowded.
/// Of many balancers each adds less, or they add up to a jam. It could hurt where answers stay timely until
/// a queue overflows.
pub(super) const LIMIT_OPEN: f64 = 8.0;
/// From there, until the first late answer, each that takes less than half of what is late adds this much: a
/// quarter a round, or endpoints that hold hundreds would be found out one call a round.
pub(super) const LIMIT_ROUND: f64 = 0.25;
/// One late answer takes this share of the limit; each round of timely ones adds one call.
pub(super) const LIMIT_CUT: f64 = 0.07;
/// Part of the objective that an answer may take before the endpoint counts as overfull.
pub(super) const LATE_PART: f64 = 0.8;
/// Calls of all balancers at each endpoint before any measurement; own windows start at their part of that,
/// or a hundred balancers would open with a jam. Until the first late answer each timely one adds a part.
pub(super) const WINDOW_START: f64 = 4.0;
/// A timely answer adds this many parts over the window, a late one takes the cut. So where each endpoint
/// holds 1.5 calls of all balancers, one answer in two may be late; where twice as many, one in three.
pub(super) const WINDOW_GAIN: f64 = 0.75;
/// Less than a call: where a balancer has one or two out, single slow answers are mostly chance.
pub(super) const WINDOW_CUT: f64 = 0.5;
/// A window that is not used falls to so many times the most that was out of late (RFC 7661): room that was
/// never tried out says nothing of what endpoints can hold, and would let a slowdown fill them up.
pub(super) const WINDOW_SPARE: f64 = 1.5;
/// Seconds in which the most that was out is forgotten to a third.
pub(super) const USED_SECONDS: f64 = 10.0;
/// Calls of all balancers at each endpoint beyond which floors of one call are too many.
pub(super) const FLOOR_CALLS: f64 = 8.0;
/// An answer is also late beyond this multiple of its class's unhurried mean: work times spread.
pub(super) const LATE_MULTIPLE: f64 = 2.5;
/// But never within this: what is over so soon keeps no queue to speak of, and a few times a mean of
/// microseconds is the noise of any machine. It would hide a jam only where all answers take less.
pub(super) const MIN_LATE: f64 = 0.005;
/// Balancers that share each endpoint. One that uses many learns too little of each (i44da9d); its idle
/// connections fill their tables, which takes capacity. The sum of n unlike loads is uneven by the root of n
/// less: with nine, where some balancers carry several times the mean, by a third of it.
pub(super) const PART_CALLERS: f64 = 9.0;
/// Endpoints of a zone that a caller uses at least, so that d samples still find a choice among failing ones.
pub(super) const MIN_PART: f64 = 4.0;
/// Step from one balancer's place on the ring to the next one's: the golden ratio spaces any run evenly.
pub(super) const PLACE_STEP: f64 = 0.618_033_988_75;
/// Seconds in which the value of a refused request fades to a third.
pub(super) const MISSED_SECONDS: f64 = 2.0;
/// A client's repeat has spent some of its objective: it counts as a late answer does, or at least so much.
pub(super) const MIN_REPEAT: f64 = 0.1;
/// Held requests are looked at again this often, besides whenever a call ends.
pub(super) const HOLD_RECHECK: Duration = Duration::from_millis(20);
/// Part of their objective for which held requests wait in the order of their coming.
pub(super) const PATIENT_PART: f64 = 0.25;
/// A tenant is over its share beyond this multiple of what the median tenant uses of its own.
pub(super) const SHARE_SLACK: f64 = 1.5;
/// First wait before discovery is asked again after a failure, up to half of it sooner or later; doubles ...
pub(super) const ASK_BACKOFF: f64 = 0.5;
/// ... up to this: what discovery has to tell counts as told after 6 s (PROTOCOL, "Figures"), and with half
/// as much again the wait is no longer. Nor much shorter: calls that are refused take their part of
/// discovery's time, and many callers that came again sooner would keep each other out for good.
pub(super) const MAX_ASK_BACKOFF: f64 = 4.0;
