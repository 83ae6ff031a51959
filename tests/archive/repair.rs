//! Copies that are lost are restored within the bounds of the deployment.

use std::time::Duration;
use std::time::Instant;

use chicoryarch::archive::times::RepairTimes;
use chicoryarch::turns::record::Record;
use chicoryarch::units::Moment;
use http::StatusCode;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::json;

use crate::fleet::Archive;
use crate::fleet::Fleet;
use crate::fleet::record;
use crate::fleet::wait_until;

const HOSTS: [&str; 6] = ["a-1", "a-2", "b-1", "b-2", "c-1", "c-2"];
/// Hosts that hold a record, with two losses that it must outlast.
const COPIES: usize = 3;
const RECORDS: usize = 200;

/// Guards against times that leave none to copy the records, whatever the bound.
#[test]
fn a_loss_is_noticed_and_repaired_within_any_bound() {
    for catch_up in [0.5, 1.0, 4.0, 6.0, 30.0, 600.0].map(Duration::from_secs_f64) {
        let times = RepairTimes::new(catch_up);
        let noticed = times.silence() + times.check_period();
        // The first host that is to take the records is lost as well.
        let resent = noticed + times.call_timeout(0);
        assert!(resent <= catch_up * 2 / 3, "{catch_up:?}");
        // A probe that is answered in time does not count as silence.
        assert!(times.check_period() + times.probe_timeout() < times.silence());
        assert!(times.doubt() < times.silence());
        // Pauses end before the time does.
        let took = Duration::from_secs(3600);
        assert!(times.pause(catch_up / 2, took) <= times.check_period());
        assert_eq!(times.pause(catch_up, took), Duration::ZERO);
        let started = Moment::from_start(Duration::from_secs(9));
        assert_eq!(times.since_loss(started, started), times.silence());
    }
}

struct Deployment {
    fleet: Fleet,
    archives: Vec<Archive>,
    settings: String,
    catch_up: Duration,
}

impl Deployment {
    /// Starts two hosts in each of three data centres.
    fn start(catch_up_s: f64) -> Self {
        let settings = format!(
            "limits.disk_mb=350\nlimits.memory_mb=130\nfault_tolerance.machines=2\n\
             fault_tolerance.zones=1\nbounds.catch_up_s={catch_up_s}\n"
        );
        let fleet = Fleet::new();
        let start = |name: &&str| fleet.archive_with(name, &name[..1], &settings);
        let archives: Vec<Archive> = HOSTS.iter().map(start).collect();
        for archive in &archives {
            fleet.wait_listed(archive);
        }
        Self {
            fleet,
            archives,
            settings,
            catch_up: Duration::from_secs_f64(catch_up_s),
        }
    }

    /// Stores records on a host, which name these hosts as holders.
    fn store(&self, to: usize, holders: [usize; 3]) {
        let holders = holders.map(|n| HOSTS[n]);
        let text = "x".repeat(2000);
        let records: Vec<Record> = (0..RECORDS)
            .map(|n| record(&format!("turn-{n}"), "", &holders, &text))
            .collect();
        let stored = self.fleet.store_turns(&self.archives[to], &records);
        assert_eq!(stored.status, StatusCode::OK);
    }

    /// Stores records on all hosts that they name.
    fn store_at(&self, holders: [usize; 3]) {
        for to in holders {
            self.store(to, holders);
        }
    }

    /// Smallest number of running hosts that hold a record.
    fn fewest_copies(&self) -> usize {
        let has = |archive: &&Archive, n: usize| {
            let found = self.fleet.try_turn(archive, &format!("turn-{n}"));
            found.is_some_and(|answer| answer.status == StatusCode::OK)
        };
        let running: Vec<&Archive> = self.archives.iter().filter(|a| a.is_started()).collect();
        let copies = |n| running.iter().filter(|a| has(a, n)).count();
        (0..RECORDS).map(copies).min().expect("records")
    }

    /// Empties a host, which is removed with its disk at once.
    fn retire(&mut self, n: usize) {
        let name = self.archives[n].name.clone();
        self.fleet.store.put("retirements", &name, json!({}));
        wait_until("the retirement is reported", || {
            let status = self.fleet.store.status("retirements", &name);
            status.is_some_and(|status| status["state"] == "completed")
        });
        self.archives[n].lose_disk();
    }

    /// Removes a host with its disk. A new one at another address takes its place
    /// after a while. Returns when it was lost.
    fn replace(&mut self, lost: usize, new: &str, after: Duration) -> Instant {
        self.archives[lost].lose_disk();
        let at = Instant::now();
        std::thread::sleep(after);
        let archive = self.fleet.archive_with(new, &new[..1], &self.settings);
        self.archives.push(archive);
        at
    }
}

fn sleep_until(moment: Instant) {
    std::thread::sleep(moment.saturating_duration_since(Instant::now()));
}

/// Guards against copies that are restored after fixed times, later than two further
/// disks may be lost; the successor may come soon or late.
#[test]
fn lost_copies_are_restored_within_the_bound() {
    for (catch_up_s, successor_after) in [(3.0, 0.0), (3.0, 2.5), (6.0, 1.0)] {
        let mut deployment = Deployment::start(catch_up_s);
        deployment.store_at([0, 2, 4]);
        let after = Duration::from_secs_f64(successor_after);
        let lost = deployment.replace(0, "a-3", after);
        sleep_until(lost + deployment.catch_up);
        let copies = deployment.fewest_copies();
        assert!(copies >= COPIES, "{copies} copies, {catch_up_s} s");
    }
}

/// Guards against a second replacement, right after the first one was restored, that
/// finds the copies fewer than they should be.
#[test]
fn copies_are_restored_after_each_of_several_replacements() {
    let mut deployment = Deployment::start(3.0);
    deployment.store_at([0, 2, 4]);
    for (lost, new) in [(0, "a-3"), (2, "b-3"), (4, "c-3")] {
        let lost = deployment.replace(lost, new, Duration::from_millis(300));
        sleep_until(lost + deployment.catch_up);
        let copies = deployment.fewest_copies();
        assert!(copies >= COPIES, "{copies} copies with {new}");
    }
}

/// Guards against a retirement that relies on a holder which never had the record, or
/// on a taker which has it already.
#[test]
fn each_retirement_leaves_as_many_copies_as_before() {
    let mut deployment = Deployment::start(3.0);
    deployment.store_at([0, 2, 4]);
    for n in [0, 2, 4] {
        deployment.retire(n);
        let copies = deployment.fewest_copies();
        assert!(copies >= COPIES, "{copies} copies without {}", HOSTS[n]);
    }
}

/// Guards against lists that name a host which did not answer when the record was
/// stored, in place of the one that took it.
#[test]
fn a_holder_that_never_had_the_record_does_not_count() {
    let mut deployment = Deployment::start(3.0);
    for to in [0, 4] {
        deployment.store(to, [0, 2, 4]);
    }
    deployment.store(3, [0, 4, 3]);
    deployment.retire(0);
    let copies = deployment.fewest_copies();
    assert!(copies >= COPIES, "{copies} copies");
    // The host that took it gets it back after the loss of its disk, though other
    // lists did not name it.
    deployment.archives[3].lose_disk();
    deployment.archives[3].start();
    std::thread::sleep(deployment.catch_up);
    let copies = deployment.fewest_copies();
    assert!(copies >= COPIES, "{copies} copies after a lost disk");
}

/// Guards against copies that are lost, or sent again and again, when hosts were only
/// silent for a while.
#[test]
fn a_silent_host_that_comes_back_keeps_its_records() {
    let mut deployment = Deployment::start(3.0);
    deployment.store_at([0, 2, 4]);
    let signal = |archive: &Archive, signal| {
        let id = i32::try_from(archive.id()).ok().and_then(Pid::from_raw);
        kill_process(id.expect("a process"), signal).expect("it runs");
    };
    for _ in 0..2 {
        signal(&deployment.archives[0], Signal::STOP);
        std::thread::sleep(deployment.catch_up / 2);
        signal(&deployment.archives[0], Signal::CONT);
        std::thread::sleep(deployment.catch_up);
        assert!(deployment.fewest_copies() >= COPIES);
    }
    // It counts as a holder again, so that two further disks may be lost.
    for n in [2, 4] {
        deployment.archives[n].lose_disk();
    }
    assert!(deployment.fewest_copies() >= 1);
}
