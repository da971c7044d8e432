//! The report: a line for each group of dispatchers, the checks with their results, and the summary as one JSON line.

use crate::day::{LAST_PERIOD, PERIODS, ScenarioResult};
use crate::loss::{Loss, round_to_thousandths};
use crate::pool::Comparison;
use crate::results::{GroupResult, Results};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// The index of the period before the last one.
const PERIOD_BEFORE_LAST: usize = LAST_PERIOD - 1;
/// The maximum excess loss of an estimator, as a fraction of that of the class mean.
const MAX_EXCESS: f64 = 0.25;
/// The limit of the bias of a quantile, as a logarithm.
const MAX_BIAS: f64 = 0.2;

fn mean_bias(result: &ScenarioResult) -> [f64; 2] {
    let loss = &result.losses.learned[LAST_PERIOD];
    loss.mean(loss.bias)
}

/// Whether the bias of each quantile is below [`MAX_BIAS`], even if a third of the jobs are cut off.
fn is_unbiased(result: &ScenarioResult) -> bool {
    mean_bias(result).iter().all(|bias| bias.abs() < MAX_BIAS)
}

/// Whether about nine tenths of the run times are below the estimated quantile 0.9.
fn is_calibrated(result: &ScenarioResult) -> bool {
    let loss = &result.losses.learned[LAST_PERIOD];
    (0.87..0.93).contains(&loss.mean(loss.below)[1])
}

fn has_low_excess(result: &ScenarioResult, period: usize) -> bool {
    result.excess(period).iter().all(|excess| *excess < MAX_EXCESS)
}

/// Whether a dispatcher that joins a sharing group soon estimates nearly as well as the others, and better than one that
/// joins a group without sharing.
fn learns_fast_after_joining(results: &Results, dispatchers: u16) -> bool {
    let sharing = &results.group_result(dispatchers, true).losses;
    let alone = &results.group_result(dispatchers, false).losses;
    let joined = sharing.joined[2].mean_error()[0];
    joined < 1.5 * sharing.others[2].mean_error()[0] && joined < 0.8 * alone.joined[2].mean_error()[0]
}

/// Whether more of the large jobs end in time with backfilling, and at most 5 % fewer of the small ones.
fn backfilling_pays(comparison: &Comparison) -> bool {
    let Comparison { first_fit, backfill } = comparison;
    backfill.large > first_fit.large && backfill.small >= 0.95 * first_fit.small
}

/// Whether the estimator soon follows the start and the end of a slowdown, in the median over all seeds.
fn follows_slowdown(slowdown: &Value) -> bool {
    let median = |key: &str| slowdown[key][0].as_f64();
    median("follows_s") < Some(8.0) && median("returns_s") < Some(10.0)
}

/// The result of each check, by its description.
pub fn checks(results: &Results) -> Value {
    let groups = [3, 10, 30];
    let has_low_excess_if_sharing =
        groups.iter().all(|n| has_low_excess(results.group_result(*n, true), LAST_PERIOD));
    let sharing_halves_excess = [10, 30].iter().all(|n| {
        results.group_result(*n, true).excess(LAST_PERIOD)[0]
            < 0.5 * results.group_result(*n, false).excess(LAST_PERIOD)[0]
    });
    json!({
        "alone, by the third minute: at most a quarter of the class mean's loss beyond the true draw's":
            has_low_excess(results.group_result(1, false), PERIOD_BEFORE_LAST),
        "sharing, by the fourth minute: the same with 3, 10 and 30": has_low_excess_if_sharing,
        "sharing halves the loss of being one of 10 or 30": sharing_halves_excess,
        "a fresh one that shares is nearly as good as an old one within 100 s":
            groups.iter().all(|n| learns_fast_after_joining(results, *n)),
        "nine tenths of runs below the conservative quantile":
            results.groups.iter().all(|group| is_calibrated(&group.result)),
        "a shared slowdown is followed and left within seconds":
            results.slowdowns.iter().all(follows_slowdown),
        "censored jobs bias no quantile": is_unbiased(&results.censored),
        "the fault (censored as short) is caught": !is_unbiased(&results.faulty),
        "backfill: large up, small down by at most 5 %":
            results.pools.iter().all(|pool| backfilling_pays(&pool.comparison)),
        "properties hold": results.properties_hold,
    })
}

/// Prints a line for each group.
pub fn print_groups(groups: &[GroupResult]) {
    for GroupResult { dispatchers, is_sharing, result } in groups {
        let losses = |losses: &[Loss]| losses.iter().map(Loss::json).collect::<Vec<_>>();
        let excess = PERIODS.iter().enumerate();
        let excess = excess
            .map(|(n, period)| json!([period.from, period.to, result.excess(n).map(round_to_thousandths)]));
        let line = json!({
            "excess": excess.collect::<Vec<_>>(),
            "learned": losses(&result.losses.learned),
            "true_draw": result.losses.oracle[LAST_PERIOD].json(),
            "class_mean": result.losses.mean[LAST_PERIOD].json(),
            "joined_late": losses(&result.losses.joined),
            "others_meanwhile": losses(&result.losses.others),
        });
        let sharing = if *is_sharing { "sharing" } else { "each alone" };
        println!("{dispatchers} dispatchers, {sharing}: {line}");
    }
}

fn group_json(group: &GroupResult) -> Value {
    let GroupResult { dispatchers, is_sharing, result } = group;
    let learned = result.losses.learned[LAST_PERIOD].json();
    let errors = |losses: &[Loss]| {
        losses.iter().map(|loss| round_to_thousandths(loss.mean_error()[0])).collect::<Vec<_>>()
    };
    json!({
        "dispatchers": dispatchers,
        "sharing": is_sharing,
        "excess_p50_p90_at_100_150_s": result.excess(PERIOD_BEFORE_LAST).map(round_to_thousandths),
        "at_150_230_s": result.excess(LAST_PERIOD).map(round_to_thousandths),
        "pinball": learned["pinball"],
        "log_error": learned["log_error"],
        "below": learned["below"],
        "log_error_joined_late": errors(&result.losses.joined),
        "of_others": errors(&result.losses.others),
        "bytes_told_a_second": result.published_bytes_per_s.round(),
        "memory": result.memory,
        "registers": result.summaries,
        "facts_delivered": result.facts,
    })
}

/// The fractions of jobs that ended in time, without and with reservations.
fn comparison_json(comparison: &Comparison) -> Value {
    let Comparison { first_fit, backfill } = comparison;
    let large = [first_fit.large, backfill.large].map(round_to_thousandths);
    let small = [first_fit.small, backfill.small].map(round_to_thousandths);
    json!({ "large": large, "small": small })
}

/// The summary of all results, under the names of the output.
pub fn summary(results: &Results, checks: &Value, all_passed: bool) -> Value {
    let alone = &results.group_result(1, false).losses;
    let by_source: BTreeMap<String, Value> = (results.pools.iter())
        .map(|pool| (format!("{:?}", pool.estimate_source), comparison_json(&pool.comparison)))
        .collect();
    json!({
        "proof": "runtimes",
        "seed": results.seed,
        "held": all_passed,
        "aims": checks,
        "seconds": round_to_thousandths(results.started.elapsed().as_secs_f64()),
        "true_draw": alone.oracle[LAST_PERIOD].json(),
        "class_mean": alone.mean[LAST_PERIOD].json(),
        "days": results.groups.iter().map(group_json).collect::<Vec<_>>(),
        "slowdown_100_a_second": results.slowdowns[0],
        "slowdown_20_a_second": results.slowdowns[1],
        "cut_off": {
            "part": round_to_thousandths(results.censored.censored),
            "bias": mean_bias(&results.censored).map(round_to_thousandths),
            "bias_with_fault": mean_bias(&results.faulty).map(round_to_thousandths),
        },
        "backfill_off_on": by_source,
        "backfill_at_load_0.9": comparison_json(&results.full_pool),
        "cost": results.costs,
    })
}
