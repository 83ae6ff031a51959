//! Structured log lines on standard output, as JSON.
//!
//! Lines go through a bounded queue to a thread of their own, so that no
//! request waits for them. Lines beyond the queue or the rate are dropped and
//! counted, and the count is logged.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;

use async_channel::Receiver;
use async_channel::Sender;
use parking_lot::Mutex;
use serde::Serialize;

use crate::units::Moment;

/// Lines that wait to be written.
const QUEUE_LINES: usize = 1024;
/// Pause in which lines gather, so that one write carries many.
const GATHER: Duration = Duration::from_millis(50);

/// A line: what happened and the fields that go with it.
#[derive(Serialize)]
struct Line<'a, T> {
    at_ms: u64,
    host: &'a str,
    event: &'static str,
    #[serde(flatten)]
    fields: &'a T,
}

/// Lines of the present second.
#[derive(Debug, Default)]
struct Second {
    from: Moment,
    lines: u32,
}

/// Handle to the log.
#[derive(Clone, Debug)]
pub struct EventLog {
    host: Arc<str>,
    tx: Sender<Vec<u8>>,
    second: Arc<Mutex<Second>>,
    lines_per_s: u32,
    dropped: Arc<AtomicU64>,
}

impl EventLog {
    /// Starts the thread that writes lines to standard output.
    ///
    /// # Panics
    ///
    /// If the system refuses a thread.
    pub fn start(host: &str, lines_per_s: u32) -> Self {
        let (tx, rx) = async_channel::bounded(QUEUE_LINES);
        let log = Self {
            host: host.into(),
            tx,
            second: Arc::default(),
            lines_per_s,
            dropped: Arc::default(),
        };
        let dropped = Arc::clone(&log.dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&rx, &dropped))
            .expect("the system refused to start a thread");
        log
    }

    /// Logs an event that changes what the process believes.
    pub fn state<T: Serialize>(&self, event: &'static str, fields: &T) {
        self.write(event, fields);
    }

    /// Logs a decision about a request, within the rate of such lines.
    pub fn request<T: Serialize>(&self, event: &'static str, fields: &T) {
        if self.is_within_rate() {
            self.write(event, fields);
        } else {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Lines dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn is_within_rate(&self) -> bool {
        let now = Moment::now();
        let mut second = self.second.lock();
        if now.since(second.from) >= Duration::from_secs(1) {
            *second = Second {
                from: now,
                lines: 0,
            };
        }
        second.lines += 1;
        second.lines <= self.lines_per_s
    }

    fn write<T: Serialize>(&self, event: &'static str, fields: &T) {
        let line = Line {
            at_ms: unix_ms(),
            host: &self.host,
            event,
            fields,
        };
        let mut text = serde_json::to_vec(&line).expect("typed fields always encode as JSON");
        text.push(b'\n');
        if self.tx.try_send(text).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Milliseconds of the time of day since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

fn write_lines(rx: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut told = 0;
    let mut buf = Vec::new();
    while let Ok(line) = rx.recv_blocking() {
        buf.extend(line);
        thread::sleep(GATHER);
        while let Ok(line) = rx.try_recv() {
            buf.extend(line);
        }
        let now = dropped.load(Ordering::Relaxed);
        if now > told {
            let line = format!("{{\"event\":\"lines-dropped\",\"lines\":{}}}\n", now - told);
            buf.extend(line.as_bytes());
            told = now;
        }
        // Nobody is left to tell if standard output has gone.
        let _written = std::io::stdout().lock().write_all(&buf);
        buf.clear();
    }
}
