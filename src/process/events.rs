//! Event log: structured lines of JSON on standard output.
//!
//! Lines pass through a bounded queue to a dedicated thread, so that no
//! request waits for output. Lines that exceed the queue or the rate limit are
//! dropped and counted, and the count is logged.

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

/// Capacity of the queue, in lines.
const QUEUE_LINES: usize = 1024;
/// Time for which lines are batched before one write.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);

/// One line of the log: an event and its fields.
#[derive(Serialize)]
struct Line<'a, T> {
    at_ms: u64,
    host: &'a str,
    event: &'static str,
    #[serde(flatten)]
    fields: &'a T,
}

/// Number of request lines in the current second, for the rate limit.
#[derive(Debug, Default)]
struct RateWindow {
    start: Moment,
    lines: u32,
}

/// Handle to the event log; clones share its queue and rate limit.
#[derive(Clone, Debug)]
pub struct EventLog {
    host: Arc<str>,
    tx: Sender<Vec<u8>>,
    window: Arc<Mutex<RateWindow>>,
    lines_per_s: u32,
    dropped: Arc<AtomicU64>,
}

impl EventLog {
    /// Starts the thread that writes lines to standard output.
    ///
    /// `lines_per_s` limits the lines of [`Self::request`].
    ///
    /// # Panics
    ///
    /// If the thread cannot be started.
    pub fn start(host: &str, lines_per_s: u32) -> Self {
        let (tx, rx) = async_channel::bounded(QUEUE_LINES);
        let log = Self {
            host: host.into(),
            tx,
            window: Arc::default(),
            lines_per_s,
            dropped: Arc::default(),
        };
        let dropped = Arc::clone(&log.dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&rx, &dropped))
            .expect("failed to start the log thread");
        log
    }

    /// Logs a change of the state of the process, without a rate limit.
    pub fn state<T: Serialize>(&self, event: &'static str, fields: &T) {
        self.write(event, fields);
    }

    /// Logs a decision about a request, subject to the rate limit.
    pub fn request<T: Serialize>(&self, event: &'static str, fields: &T) {
        if self.is_within_rate() {
            self.write(event, fields);
        } else {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Number of lines dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn is_within_rate(&self) -> bool {
        let now = Moment::now();
        let mut window = self.window.lock();
        if now.since(window.start) >= Duration::from_secs(1) {
            *window = RateWindow {
                start: now,
                lines: 0,
            };
        }
        window.lines += 1;
        window.lines <= self.lines_per_s
    }

    fn write<T: Serialize>(&self, event: &'static str, fields: &T) {
        let line = Line {
            at_ms: unix_ms(),
            host: &self.host,
            event,
            fields,
        };
        let mut text = serde_json::to_vec(&line).expect("event fields encode as JSON");
        text.push(b'\n');
        if self.tx.try_send(text).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Wall-clock time in milliseconds since the Unix epoch; 0 if the clock is set
/// before it.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

fn write_lines(rx: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut reported = 0;
    let mut buf = Vec::new();
    while let Ok(line) = rx.recv_blocking() {
        buf.extend(line);
        thread::sleep(BATCH_INTERVAL);
        while let Ok(line) = rx.try_recv() {
            buf.extend(line);
        }
        let total = dropped.load(Ordering::Relaxed);
        if total > reported {
            let line = format!(
                "{{\"event\":\"lines-dropped\",\"lines\":{}}}\n",
                total - reported
            );
            buf.extend(line.as_bytes());
            reported = total;
        }
        // A failure cannot be reported, since standard output is closed.
        let _written = std::io::stdout().lock().write_all(&buf);
        buf.clear();
    }
}
