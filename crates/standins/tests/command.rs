//! Tests of the `chicoryarch-standin` command, run as a process.

mod common;

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use chicoryarch_standins::engine::load::Load;
use common::Caller;
use common::run_test;
use serde_json::Value;

/// Path of the command under test.
const COMMAND: &str = env!("CARGO_BIN_EXE_chicoryarch-standin");

/// A process that is killed when the test ends.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _already_exited = self.0.kill();
        let _reaped = self.0.wait();
    }
}

fn start_process(args: &[&str]) -> (Process, SocketAddr) {
    let mut child = Command::new(COMMAND)
        .args(args)
        .args(["--listen", "127.0.0.1:0"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let stdout = child.stdout.take().unwrap();
    let process = Process(child);
    let mut line = String::new();
    BufReader::new(stdout).read_line(&mut line).unwrap();
    (process, line.trim_end().parse().unwrap())
}

#[test]
fn each_stand_in_prints_its_address_and_serves() {
    for name in ["engine", "platform", "service"] {
        let (_process, addr) = start_process(&[name]);
        run_test(async {
            Caller::new(addr).get::<Value>("/counts").await;
        });
    }
}

#[test]
fn the_engine_reads_its_settings_from_a_file() {
    let path = write_config("settings", "concurrency = 3\n");
    let (_process, addr) = start_process(&["engine", "--config", &path]);
    run_test(async {
        let load: Load = Caller::new(addr).get("/load").await;
        assert_eq!(load.concurrency, 3);
    });
}

#[test]
fn an_unknown_setting_is_refused() {
    let path = write_config("unknown", "concurency = 3\n");
    let output = Command::new(COMMAND)
        .args(["engine", "--listen", "127.0.0.1:0", "--config", &path])
        .output()
        .unwrap();
    let message = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success());
    assert!(message.contains("concurency"), "{message}");
}

/// Writes a settings file for one test and returns its path.
fn write_config(name: &str, text: &str) -> String {
    let directory = env!("CARGO_TARGET_TMPDIR");
    let path = format!("{directory}/engine-{name}-{}.toml", std::process::id());
    let mut file = std::fs::File::create(&path).unwrap();
    file.write_all(text.as_bytes()).unwrap();
    path
}
