//! The report: a line for each day, the aims and whether they are met, and the summary as one JSON line.

use crate::day::{Day, LAST, PARTS};
use crate::loss::{Loss, round};
use crate::pool::Comparison;
use crate::results::{Results, SharedDay};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// The part of the day before the last one.
const BEFORE_LAST: usize = LAST - 1;
/// The greatest part of the class mean's excess loss that an estimator may have.
const MAX_EXCESS: f64 = 0.25;
/// The greatest bias of a quantile, as a logarithm.
const MAX_BIAS: f64 = 0.2;

fn mean_bias(day: &Day) -> [f64; 2] {
    let loss = &day.losses.learned[LAST];
    loss.mean(loss.bias)
}

/// With a third of the jobs cut off, no quantile may be off by more than a fifth.
fn is_unbiased(day: &Day) -> bool {
    mean_bias(day).iter().all(|bias| bias.abs() < MAX_BIAS)
}

/// Whether nine tenths of the runs are below the quantile 0.9.
fn is_calibrated(day: &Day) -> bool {
    let loss = &day.losses.learned[LAST];
    (0.87..0.93).contains(&loss.mean(loss.below)[1])
}

fn has_low_excess(day: &Day, part: usize) -> bool {
    day.excess(part).iter().all(|excess| *excess < MAX_EXCESS)
}

/// Whether a dispatcher that joins and shares is nearly as good as the others, and better than one that does not share.
fn joins_well(results: &Results, dispatchers: u16) -> bool {
    let sharing = &results.day(dispatchers, true).losses;
    let alone = &results.day(dispatchers, false).losses;
    let joined = sharing.joined[2].mean_error()[0];
    joined < 1.5 * sharing.others[2].mean_error()[0] && joined < 0.8 * alone.joined[2].mean_error()[0]
}

/// Whether the large jobs gain by backfilling, and the small ones lose 5 % at most.
fn backfilling_pays(comparison: &Comparison) -> bool {
    let Comparison { first_fit, backfill } = comparison;
    backfill.large > first_fit.large && backfill.small >= 0.95 * first_fit.small
}

fn follows_and_returns(slowdown: &Value) -> bool {
    let median = |figure: &str| slowdown[figure][0].as_f64();
    median("follows_s") < Some(8.0) && median("returns_s") < Some(10.0)
}

/// Each aim with whether it is met.
pub fn aims(results: &Results) -> Value {
    let groups = [3, 10, 30];
    let shares_well = groups.iter().all(|n| has_low_excess(results.day(*n, true), LAST));
    let halves = [10, 30]
        .iter()
        .all(|n| results.day(*n, true).excess(LAST)[0] < 0.5 * results.day(*n, false).excess(LAST)[0]);
    json!({
        "alone, by the third minute: at most a quarter of the class mean's loss beyond the true draw's":
            has_low_excess(results.day(1, false), BEFORE_LAST),
        "sharing, by the fourth minute: the same with 3, 10 and 30": shares_well,
        "sharing halves the loss of being one of 10 or 30": halves,
        "a fresh one that shares is nearly as good as an old one within 100 s":
            groups.iter().all(|n| joins_well(results, *n)),
        "nine tenths of runs below the conservative quantile":
            results.days.iter().all(|shared| is_calibrated(&shared.day)),
        "a shared slowdown is followed and left within seconds":
            results.slowdowns.iter().all(follows_and_returns),
        "censored jobs bias no quantile": is_unbiased(&results.censored),
        "the fault (censored as short) is caught": !is_unbiased(&results.faulty),
        "backfill: large up, small down by at most 5 %":
            results.pools.iter().all(|pool| backfilling_pays(&pool.comparison)),
        "properties hold": results.properties_hold,
    })
}

/// Prints a line for each day.
pub fn print_days(days: &[SharedDay]) {
    for SharedDay { dispatchers, is_sharing, day } in days {
        let losses = |losses: &[Loss]| losses.iter().map(Loss::json).collect::<Vec<_>>();
        let excess = PARTS.iter().enumerate();
        let excess = excess.map(|(n, part)| json!([part.from, part.to, day.excess(n).map(round)]));
        let line = json!({
            "excess": excess.collect::<Vec<_>>(),
            "learned": losses(&day.losses.learned),
            "true_draw": day.losses.oracle[LAST].json(),
            "class_mean": day.losses.mean[LAST].json(),
            "joined_late": losses(&day.losses.joined),
            "others_meanwhile": losses(&day.losses.others),
        });
        let sharing = if *is_sharing { "sharing" } else { "each alone" };
        println!("{dispatchers} dispatchers, {sharing}: {line}");
    }
}

fn day_json(shared: &SharedDay) -> Value {
    let SharedDay { dispatchers, is_sharing, day } = shared;
    let learned = day.losses.learned[LAST].json();
    let errors = |losses: &[Loss]| losses.iter().map(|loss| round(loss.mean_error()[0])).collect::<Vec<_>>();
    json!({
        "dispatchers": dispatchers,
        "sharing": is_sharing,
        "excess_p50_p90_at_100_150_s": day.excess(BEFORE_LAST).map(round),
        "at_150_230_s": day.excess(LAST).map(round),
        "pinball": learned["pinball"],
        "log_error": learned["log_error"],
        "below": learned["below"],
        "log_error_joined_late": errors(&day.losses.joined),
        "of_others": errors(&day.losses.others),
        "bytes_told_a_second": day.published_bytes_per_s.round(),
        "memory": day.memory,
        "registers": day.summaries,
        "facts_delivered": day.facts,
    })
}

/// The fractions in time, without and with reservations.
fn comparison_json(comparison: &Comparison) -> Value {
    let Comparison { first_fit, backfill } = comparison;
    let large = [first_fit.large, backfill.large].map(round);
    let small = [first_fit.small, backfill.small].map(round);
    json!({ "large": large, "small": small })
}

/// The summary.
pub fn summary(results: &Results, aims: &Value, is_held: bool) -> Value {
    let alone = &results.day(1, false).losses;
    let by_guess: BTreeMap<String, Value> = (results.pools.iter())
        .map(|pool| (format!("{:?}", pool.guess), comparison_json(&pool.comparison)))
        .collect();
    json!({
        "proof": "runtimes",
        "seed": results.seed,
        "held": is_held,
        "aims": aims,
        "seconds": round(results.started.elapsed().as_secs_f64()),
        "true_draw": alone.oracle[LAST].json(),
        "class_mean": alone.mean[LAST].json(),
        "days": results.days.iter().map(day_json).collect::<Vec<_>>(),
        "slowdown_100_a_second": results.slowdowns[0],
        "slowdown_20_a_second": results.slowdowns[1],
        "cut_off": {
            "part": round(results.censored.censored),
            "bias": mean_bias(&results.censored).map(round),
            "bias_with_fault": mean_bias(&results.faulty).map(round),
        },
        "backfill_off_on": by_guess,
        "backfill_at_load_0.9": comparison_json(&results.full_pool),
        "cost": results.costs,
    })
}
