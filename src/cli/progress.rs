//! Progress bar on standard error.

use std::io;
use std::io::IsTerminal;
use std::io::Write;
use std::time::Duration;
use std::time::Instant;

/// Pause between two redraws.
const REDRAW_PERIOD: Duration = Duration::from_millis(100);
/// Width of the bar, in characters.
const WIDTH: u64 = 40;
const MEGABYTE: u64 = 1_000_000;

/// Progress of reading; drawn only on a terminal, and cleared on drop.
#[derive(Debug)]
pub struct Progress {
    total: Option<u64>,
    read: u64,
    drawn: Instant,
    is_shown: bool,
}

impl Progress {
    /// Starts a bar for `total` bytes; without them, it shows the bytes read.
    pub fn new(total: Option<u64>) -> Self {
        Self {
            total,
            read: 0,
            drawn: Instant::now(),
            is_shown: io::stderr().is_terminal(),
        }
    }

    /// Adds bytes that were read.
    pub fn advance(&mut self, bytes: u64) {
        self.read += bytes;
        if self.is_shown && self.drawn.elapsed() >= REDRAW_PERIOD {
            self.drawn = Instant::now();
            eprint!("\r{}", bar(self.read, self.total));
        }
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        if self.is_shown {
            eprint!("\r\x1b[K");
            // A failure leaves at most a part of the bar on the terminal.
            let _flushed = io::stderr().flush();
        }
    }
}

fn bar(read: u64, total: Option<u64>) -> String {
    let read_mb = read / MEGABYTE;
    let Some(total) = total.filter(|total| *total > 0) else {
        return format!("{read_mb} MB");
    };
    // Files may grow while they are read.
    let done = read.min(total) * WIDTH / total;
    let bar: String = (0..WIDTH)
        .map(|n| if n < done { '#' } else { '.' })
        .collect();
    format!("[{bar}] {read_mb} of {} MB", total / MEGABYTE)
}
