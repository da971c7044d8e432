use mothproxy_coldstart::model::*;
fn main() {
    let only = std::env::args().nth(2);
    let n: u16 = std::env::args().nth(1).map_or(60, |t| t.parse().unwrap());
    for name in ["start", "down", "killed", "slow", "mute", "silent", "paused", "halves", "cold", "stale"] {
        if only.as_deref().is_some_and(|o| o != name) {
            continue;
        }
        for how in [Behaviour::Landed, Behaviour::FullJitter, Behaviour::Alone, Behaviour::Heard] {
            let mut s = Scenario::start(n, 7);
            match name {
                "down" => s.down = Some((0, 8_000_000)),
                "killed" => s.killed = Some((s.length / 2, 0.7)),
                "slow" => {
                    s.service_time = 100_000;
                    s.length = 20_000_000 + 250_000 * u64::from(n)
                }
                "mute" => s.mute = 0.2,
                "silent" => s.silent = Some(s.length / 2),
                "paused" => {
                    s.paused = Some((n / 10, 2_000_000));
                    s.down = Some((0, 4_000_000));
                }
                "halves" => s.halves = Some(6_000_000),
                "cold" => s.cold = true,
                "stale" => {
                    s.dead = 1.0;
                    s.down = Some((0, 2_000_000))
                }
                _ => {}
            }
            let t = std::time::Instant::now();
            let o = play(&s, how);
            println!(
                "{name:7} {how:?}: each {:.2} refused {} queue {} peak {} after {} p50 {:.2} p99 {:.2} without {} late {} hs {:.1}/{} dead {:.1} falls {} {:.2} jobs {} lost {} facts {} {:?}",
                o.calls_each,
                o.refused,
                o.longest_queue,
                o.peak,
                o.peak_after,
                o.held_p50 as f64 / 1e6,
                o.held_p99 as f64 / 1e6,
                o.without,
                o.late,
                o.handshakes,
                o.most_handshakes,
                o.tries_at_dead,
                o.falls,
                o.most_of_budget,
                o.jobs,
                o.lost,
                o.facts,
                t.elapsed()
            );
        }
    }
}
