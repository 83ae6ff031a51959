//! Tokens of an endpoint's limit, drawn by many hosts.

use std::time::Duration;

use chicoryarch::protection::limit_bucket::Draw;
use chicoryarch::protection::limit_bucket::EndpointProcess;
use chicoryarch::protection::limit_bucket::KnownLimit;
use chicoryarch::protection::limit_bucket::LimitBuckets;
use chicoryarch::units::Moment;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn at(ms: u64) -> Moment {
    Moment::from_start(Duration::from_millis(ms))
}

fn endpoint() -> EndpointProcess {
    EndpointProcess {
        id: "e1".into(),
        started_ms: 1,
    }
}

/// Result of some seconds in which hosts draw whenever they are allowed to.
struct Drawn {
    granted: u64,
    asked: u64,
}

/// Lets hosts draw for `seconds`; each asks again when its wait is over.
fn draw_for(seconds: u64, hosts: usize, per_s: f64, seed: u64) -> Drawn {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut buckets = LimitBuckets::default();
    let mut next: Vec<u64> = (0..hosts).map(|_| rng.random_range(0..50)).collect();
    let mut drawn = Drawn {
        granted: 0,
        asked: 0,
    };
    for now in 0..seconds * 1000 {
        for host in &mut next {
            if *host > now {
                continue;
            }
            drawn.asked += 1;
            let limit = KnownLimit {
                per_s,
                answered_at: at(now),
            };
            match buckets.draw(endpoint(), limit, 1.0, false, at(now)) {
                Draw::Granted => {
                    drawn.granted += 1;
                    *host = now + rng.random_range(1..30);
                }
                Draw::Denied { wait } => {
                    *host = now + u64::try_from(wait.as_millis()).expect("a short wait");
                }
            }
        }
    }
    drawn
}

// Guards against limits that grow with the number of hosts, and against draws
// that do.
#[test]
fn any_number_of_hosts_gets_one_limit() {
    for (hosts, per_s) in [(1, 8.0), (6, 8.0), (36, 8.0), (690, 8.0), (36, 0.5)] {
        let drawn = draw_for(20, hosts, per_s, 7);
        let exact = per_s * 20.0;
        let granted = f64::from(u32::try_from(drawn.granted).expect("few"));
        let burst = (per_s / 2.0).max(1.0);
        assert!(granted <= exact + burst, "{granted} of {exact}");
        assert!(granted >= exact * 0.8 - 1.0, "{granted} of {exact}");
        let most_asked = 1000 + 20 * u64::try_from(hosts).expect("few");
        assert!(drawn.asked <= most_asked, "{} draws", drawn.asked);
    }
}

// Guards against a bucket that keeps the tokens of a limit that has fallen.
#[test]
fn the_newest_limit_counts_whoever_tells_it() {
    let mut buckets = LimitBuckets::default();
    let mut draw = |per_s, answered_at, now| {
        let limit = KnownLimit {
            per_s,
            answered_at: at(answered_at),
        };
        buckets.draw(endpoint(), limit, 1.0, false, at(now)) == Draw::Granted
    };
    draw(100.0, 1000, 1000);
    let early = (0..50).filter(|n| draw(100.0, 1000, 1500 + n)).count();
    assert!(early >= 40);
    draw(1.0, 3000, 3000);
    // A host that knows the old limit only does not bring it back.
    let later = (0..100)
        .filter(|n| draw(100.0, 1000, 4000 + 20 * n))
        .count();
    assert!(later <= 4, "{later} granted");
}

// Guards against sides of a cut that each hand out the whole limit.
#[test]
fn shares_of_a_cut_add_up_to_one_limit() {
    let granted: usize = [1.0 / 6.0, 5.0 / 6.0]
        .map(|share| {
            let mut buckets = LimitBuckets::default();
            let limit = KnownLimit {
                per_s: 12.0,
                answered_at: at(0),
            };
            let mut draws = (0..10_000)
                .map(|now| buckets.draw(endpoint(), limit, share, false, at(now)) == Draw::Granted);
            draws.by_ref().filter(|granted| *granted).count()
        })
        .iter()
        .sum();
    assert!((110..=125).contains(&granted), "{granted} granted");
}
