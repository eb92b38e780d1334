//! Processor time and memory of a process, read from `/proc`.

use std::time::Instant;

/// Resource usage of a process at one instant.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUsage {
    at: Instant,
    cpu_ms: f64,
    /// Resident memory in MB.
    pub rss_mb: f64,
}

impl ProcessUsage {
    /// Reads the resource usage of a process.
    ///
    /// Processor time is the sum over all threads from `schedstat`, which counts
    /// nanoseconds. `stat` counts in steps of 10 ms, too coarse for a window of seconds.
    #[must_use]
    pub fn read(pid: u32) -> Self {
        let threads =
            std::fs::read_dir(format!("/proc/{pid}/task")).expect("the process is running");
        let nanos: f64 = threads
            .filter_map(|thread| {
                let text = std::fs::read_to_string(thread.ok()?.path().join("schedstat")).ok()?;
                text.split(' ').next()?.parse::<f64>().ok()
            })
            .sum();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let rss = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let rss_kb = rss.and_then(|text| text.split_whitespace().next()?.parse::<f64>().ok());
        Self {
            at: Instant::now(),
            cpu_ms: nanos / 1e6,
            rss_mb: rss_kb.unwrap_or_default() / 1024.0,
        }
    }

    /// Returns the processor time since an earlier reading, in milliseconds.
    #[must_use]
    pub fn cpu_since(&self, earlier: &Self) -> f64 {
        self.cpu_ms - earlier.cpu_ms
    }

    /// Returns the processor time per second since an earlier reading, in ms/s.
    #[must_use]
    pub fn rate_since(&self, earlier: &Self) -> f64 {
        self.cpu_since(earlier) / (self.at - earlier.at).as_secs_f64()
    }
}

/// Returns the slope and the intercept of the least-squares line through points.
#[must_use]
pub fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let cross: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let square: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = cross / square;
    (slope, mean_y - slope * mean_x)
}
