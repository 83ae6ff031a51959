//! Rate tokens across hosts. Guards against admitting more than a customer's
//! rate because a token is issued twice: by a lender and a borrower, or before
//! and after a restart.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use chicoryarch::gateway::quota::Admission;
use chicoryarch::gateway::quota::ProgramStage;
use chicoryarch::gateway::quota::Quotas;
use chicoryarch::gateway::quota::Share;
use chicoryarch::gateway::routes::Rate;
use chicoryarch::units::Moment;
use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::support::at;

const HOSTS: usize = 5;
const RATE: Rate = Rate {
    per_s: 40.0,
    burst: 40.0,
};
const WINDOW: Duration = Duration::from_secs(5);

fn customer() -> Arc<str> {
    Arc::from("c")
}

fn share() -> Share {
    Share(1.0 / 5.0)
}

#[test]
fn a_bucket_starts_empty_and_fills_at_its_share() {
    let mut quotas = Quotas::default();
    quotas.start(at(0));
    let taken = quotas.take(&customer(), RATE, share(), ProgramStage::Started, at(0));
    assert_eq!(
        taken,
        Admission::Denied {
            wait: Duration::from_millis(125)
        }
    );
    let taken = quotas.take(&customer(), RATE, share(), ProgramStage::Started, at(130));
    assert_eq!(taken, Admission::Granted);
}

#[test]
fn a_host_without_a_share_admits_only_borrowed_tokens() {
    let mut quotas = Quotas::default();
    quotas.start(at(0));
    let none = Share(0.0);
    let is_denied = |taken| matches!(taken, Admission::Denied { .. });
    let taken = quotas.take(&customer(), RATE, none, ProgramStage::Started, at(60_000));
    assert!(is_denied(taken));
    quotas.receive(&customer(), RATE, none, 2, at(60_000));
    let taken = quotas.take(&customer(), RATE, none, ProgramStage::Started, at(60_000));
    assert_eq!(taken, Admission::Granted);
}

#[test]
fn a_request_of_a_started_program_waits_briefly_for_a_token() {
    let mut quotas = Quotas::default();
    quotas.start(at(0));
    let ahead =
        |quotas: &mut Quotas| quotas.reserve_ahead(&customer(), RATE, share(), WINDOW, at(0));
    let waits: Vec<_> = (0..5).map(|_| ahead(&mut quotas)).collect();
    let delayed = |ms| Admission::Delayed {
        wait: Duration::from_millis(ms),
    };
    assert_eq!(
        waits[..4],
        [delayed(125), delayed(250), delayed(375), delayed(500)]
    );
    assert!(matches!(waits[4], Admission::Denied { .. }));
}

#[test]
fn a_request_with_little_time_does_not_wait_for_a_token() {
    let mut quotas = Quotas::default();
    quotas.start(at(0));
    let max_wait = Duration::from_millis(100);
    let ahead = quotas.reserve_ahead(&customer(), RATE, share(), max_wait, at(0));
    assert!(matches!(ahead, Admission::Denied { .. }));
    let ahead = quotas.reserve_ahead(&customer(), RATE, share(), max_wait, at(50));
    assert!(matches!(ahead, Admission::Delayed { .. }));
}

#[test]
fn lent_tokens_are_removed_from_the_lender() {
    let mut quotas = Quotas::default();
    quotas.start(at(0));
    assert_eq!(quotas.lend(&customer(), RATE, share(), 100, at(10_000)), 8);
    assert_eq!(quotas.lend(&customer(), RATE, share(), 100, at(10_000)), 0);
}

struct Fleet {
    rng: ChaCha8Rng,
    now: Moment,
    hosts: Vec<Quotas>,
    admitted: VecDeque<Moment>,
}

impl Fleet {
    fn step(&mut self) {
        self.now += Duration::from_millis(self.rng.random_range(0..40));
        let host = self.rng.random_range(0..HOSTS);
        let now = self.now;
        if self.rng.random_bool(0.01) {
            self.hosts[host] = Quotas::default();
            self.hosts[host].start(now);
        }
        let taken = self.hosts[host].take(&customer(), RATE, share(), ProgramStage::Started, now);
        match taken {
            Admission::Granted => self.admit(now),
            Admission::Denied { .. } | Admission::Delayed { .. } => {
                let ahead = self.hosts[host].reserve_ahead(&customer(), RATE, share(), WINDOW, now);
                if let Admission::Delayed { wait } = ahead {
                    self.admit(now + wait);
                }
            }
        }
        let wanted = self.hosts[host].shortfall(&customer(), RATE, share(), now);
        let other = self.rng.random_range(0..HOSTS);
        if wanted > 0 && other != host {
            let given = self.hosts[other].lend(&customer(), RATE, share(), wanted, now);
            if self.rng.random_bool(0.9) {
                self.hosts[host].receive(&customer(), RATE, share(), given, now);
            }
        }
    }

    fn admit(&mut self, at: Moment) {
        let index = self.admitted.partition_point(|earlier| *earlier <= at);
        self.admitted.insert(index, at);
    }

    fn in_window(&mut self) -> usize {
        while self
            .admitted
            .front()
            .is_some_and(|first| self.now.since(*first) > WINDOW)
        {
            self.admitted.pop_front();
        }
        self.admitted.partition_point(|at| *at <= self.now)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    #[test]
    fn hosts_that_lend_and_restart_stay_within_the_rate(seed in any::<u64>()) {
        let mut fleet = Fleet {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: at(0),
            hosts: (0..HOSTS).map(|_| Quotas::default()).collect(),
            admitted: VecDeque::new(),
        };
        for host in &mut fleet.hosts {
            host.start(at(0));
        }
        let limit = RATE.per_s * WINDOW.as_secs_f64() + RATE.burst;
        for _ in 0..5_000 {
            fleet.step();
            let admitted = u32::try_from(fleet.in_window()).expect("few requests");
            prop_assert!(f64::from(admitted) <= limit + 1.0);
        }
    }
}
