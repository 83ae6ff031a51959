//! Archive hosts that lose their disks, are emptied or go for good.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use chicoryarch::turns::record::Record;
use http::StatusCode;
use serde_json::json;

use crate::fleet::Archive;
use crate::fleet::Fleet;
use crate::fleet::record;
use crate::fleet::wait_until;

const HOSTS: [&str; 4] = ["a-archive-1", "a-archive-2", "b-archive-1", "b-archive-2"];

fn archives(fleet: &Fleet) -> Vec<Archive> {
    let archives: Vec<Archive> = HOSTS
        .iter()
        .map(|name| fleet.archive(name, &name[..1]))
        .collect();
    for archive in &archives {
        fleet.wait_listed(archive);
    }
    archives
}

/// Chains of three turns, held by the hosts of these numbers.
fn chains(count: usize, holders: &[usize]) -> Vec<Record> {
    let holders: Vec<&str> = holders.iter().map(|n| HOSTS[*n]).collect();
    let turn = |chain: usize, turn: usize| {
        let id = format!("chain-{chain}-{turn}");
        let previous = format!("chain-{chain}-{}", turn.wrapping_sub(1));
        let previous = if turn == 0 { "" } else { &previous };
        record(&id, previous, &holders, &format!("{chain}.{turn};"))
    };
    let chains = (0..count).flat_map(|chain| (0..3).map(move |n| (chain, n)));
    chains.map(|(chain, n)| turn(chain, n)).collect()
}

fn store_everywhere(fleet: &Fleet, archives: &[Archive], holders: &[usize], records: &[Record]) {
    for n in holders {
        let stored = fleet.store_turns(&archives[*n], records);
        assert_eq!(stored.status, StatusCode::OK);
    }
}

/// Whether a host returns the whole texts of all chains.
fn has_all(fleet: &Fleet, archive: &Archive, count: usize) -> bool {
    (0..count).all(|chain| {
        let answer = fleet.try_turn(archive, &format!("chain-{chain}-2"));
        answer.is_some_and(|answer| {
            let expected = format!("{chain}.0;{chain}.1;{chain}.2;");
            answer.status == StatusCode::OK && answer.record().text == expected
        })
    })
}

/// Guards against turns that stay on fewer hosts than before after a loss of two
/// disks: the two hosts must refill from the third one.
#[test]
fn two_hosts_that_lose_their_disks_are_refilled() {
    const COUNT: usize = 400;
    let fleet = Fleet::new();
    let mut archives = archives(&fleet);
    let records = chains(COUNT, &[0, 1, 2]);
    store_everywhere(&fleet, &archives, &[0, 1, 2], &records);
    for n in [0, 1] {
        archives[n].lose_disk();
    }
    for n in [0, 1] {
        archives[n].start();
    }
    for n in [0, 1] {
        fleet.wait_listed(&archives[n]);
        // New records are stored during the refill.
        let new = record(&format!("new-{n}"), "", &HOSTS[..3], "new");
        assert_eq!(
            fleet.store_turns(&archives[n], &[new]).status,
            StatusCode::OK
        );
        let archive = &archives[n];
        wait_until("the host is refilled", || has_all(&fleet, archive, COUNT));
    }
    // The refilled records are on disk.
    archives[2].kill();
    for archive in &mut archives[..2] {
        archive.kill();
        archive.start();
    }
    for archive in &archives[..2] {
        fleet.wait_listed(archive);
        assert!(has_all(&fleet, archive, COUNT));
    }
}

/// Guards against turns that are lost, or found too late, after a power loss of all
/// hosts and the loss of as many disks as may be lost.
#[test]
fn turns_are_found_within_15_s_after_a_power_loss_and_two_lost_disks() {
    const COUNT: usize = 400;
    let fleet = Fleet::new();
    let mut archives = archives(&fleet);
    let records = chains(COUNT, &[0, 1, 2]);
    store_everywhere(&fleet, &archives, &[0, 1, 2], &records);
    for archive in &mut archives {
        archive.kill();
    }
    for archive in &mut archives[..2] {
        archive.lose_disk();
    }
    let start = Instant::now();
    for archive in &mut archives {
        archive.start();
    }
    for archive in &archives[..3] {
        wait_until("the turns are found", || has_all(&fleet, archive, COUNT));
    }
    assert!(start.elapsed() < Duration::from_secs(15));
}

/// Guards against a retirement that is reported before the records are on another
/// host, and against records that are lost because they arrive meanwhile.
#[test]
fn a_host_is_emptied_under_load_before_it_reports() {
    const COUNT: usize = 300;
    let fleet = Fleet::new();
    let archives = archives(&fleet);
    let records = chains(COUNT, &[0, 1, 2]);
    // Only the retired host has them, so that the others cannot have them from
    // elsewhere.
    store_everywhere(&fleet, &archives, &[0], &records);
    let is_done = AtomicBool::new(false);
    let acknowledged = std::thread::scope(|scope| {
        let load = scope.spawn(|| {
            let mut acknowledged = Vec::new();
            for n in 0.. {
                let id = format!("load-{n}");
                let turn = record(&id, "", &HOSTS[..3], "load");
                let status = fleet.store_turns(&archives[0], &[turn]).status;
                match status {
                    StatusCode::OK => acknowledged.push(id),
                    status => assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE),
                }
                if is_done.load(Ordering::Acquire) {
                    break;
                }
            }
            acknowledged
        });
        wait_until("some records are stored under load", || {
            fleet.turn(&archives[0], "load-20").status == StatusCode::OK
        });
        fleet.store.put("retirements", HOSTS[0], json!({}));
        wait_until("the retirement is reported", || {
            let status = fleet.store.status("retirements", HOSTS[0]);
            status.is_some_and(|status| status["state"] == "completed")
        });
        // The others do not hold what the records say; as many as must hold each get
        // it.
        for archive in &archives[1..] {
            assert!(has_all(&fleet, archive, COUNT));
        }
        is_done.store(true, Ordering::Release);
        load.join().expect("the load ends")
    });
    for id in &acknowledged {
        for archive in &archives[1..] {
            let turn = fleet.turn(archive, id);
            assert_eq!(turn.status, StatusCode::OK, "{id}");
            let mut holders = turn.record().head.holders;
            holders.sort();
            let holders: Vec<&str> = holders.iter().map(|host| host.as_str()).collect();
            assert_eq!(holders, [HOSTS[1], HOSTS[2], HOSTS[3]]);
        }
    }
    wait_until("the entry is removed", || fleet.entry(HOSTS[0]).is_none());
}

/// Guards against a host that is emptied into a data centre outside the homes of a
/// record, and against one that reports before such a record has another holder.
#[test]
fn records_are_sent_only_to_hosts_within_their_homes() {
    let fleet = Fleet::new();
    let settings = "limits.disk_mb=350\nlimits.memory_mb=130\nzones.a=west\nzones.b=west\n\
                    zones.c=east\n";
    let archives = ["a", "b", "c", "d"].map(|name| fleet.archive_with(name, name, settings));
    for archive in &archives {
        fleet.wait_listed(archive);
    }
    let ids: Vec<String> = (0..40).map(|n| format!("turn-{n}")).collect();
    let records = ids.iter().map(|id| {
        let mut record = record(id, "", &["a"], "text");
        record.head.homes = vec![Box::from("west")].into();
        record
    });
    let mut records: Vec<Record> = records.collect();
    let mut nowhere = record("nowhere", "", &["a"], "text");
    nowhere.head.homes = vec![Box::from("south")].into();
    records.push(nowhere);
    let stored = fleet.store_turns(&archives[0], &records);
    assert_eq!(stored.status, StatusCode::OK);
    fleet.store.put("retirements", "a", json!({}));
    wait_until("the other host in the west has the records", || {
        let has = |id: &String| fleet.turn(&archives[1], id).status == StatusCode::OK;
        ids.iter().all(has)
    });
    std::thread::sleep(Duration::from_secs(1));
    for outside in &archives[2..] {
        let absent = |id: &str| fleet.turn(outside, id).status == StatusCode::NOT_FOUND;
        assert!(ids.iter().all(|id| absent(id)) && absent("nowhere"));
    }
    let status = fleet.store.status("retirements", "a");
    assert!(status.is_none_or(|status| status["state"] != "completed"));
}

/// Guards against turns that remain on two hosts after the third one has gone.
#[test]
fn records_of_a_removed_holder_are_sent_to_another_host() {
    const COUNT: usize = 50;
    let fleet = Fleet::new();
    let mut archives = archives(&fleet);
    let records = chains(COUNT, &[0, 1, 2]);
    store_everywhere(&fleet, &archives, &[0, 1, 2], &records);
    archives[0].kill();
    fleet.store.delete("chicoryarch-archives", HOSTS[0]);
    let taker = &archives[3];
    wait_until("another host has the records", || {
        has_all(&fleet, taker, COUNT)
    });
}

/// Guards against a list that keeps hosts which are gone: each of them would
/// count as one that may hold any turn.
#[test]
fn the_entry_of_a_host_that_is_gone_is_removed() {
    let fleet = Fleet::with_retention(1.0);
    let mut archives = archives(&fleet);
    archives[0].kill();
    // Another host reports its retirement only then.
    fleet.store.put("retirements", HOSTS[0], json!({}));
    wait_until("the entry is removed", || {
        let status = fleet.store.status("retirements", HOSTS[0]);
        let is_reported = status.is_some_and(|status| status["state"] == "completed");
        let is_listed = fleet.entry(HOSTS[0]).is_some();
        assert!(!(is_listed && is_reported), "reported too early");
        !is_listed
    });
    wait_until("the retirement is reported", || {
        let status = fleet.store.status("retirements", HOSTS[0]);
        status.is_some_and(|status| status["state"] == "completed")
    });
    for archive in &archives[1..] {
        assert!(fleet.entry(&archive.name).is_some());
    }
}

/// Guards against retirements that are never reported in deployments that keep
/// no turns, by the host itself or for one that does not run.
#[test]
fn without_kept_turns_retirements_are_reported_at_once() {
    let fleet = Fleet::without_turns();
    let _archive = fleet.archive(HOSTS[0], "a");
    for name in [HOSTS[0], "gone"] {
        fleet.store.put("retirements", name, json!({}));
    }
    for name in [HOSTS[0], "gone"] {
        wait_until("the retirement is reported", || {
            let status = fleet.store.status("retirements", name);
            status.is_some_and(|status| status["state"] == "completed")
        });
    }
}
