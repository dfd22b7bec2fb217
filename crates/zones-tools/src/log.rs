//! Reports of traffic between zones in the log of a dispatcher.

use trailproxy_zones::report::Report;

/// The message of a log line that holds a report, and the beginning of its value.
const MESSAGE: &str = "zones";
const VALUE: &str = "report: {";

/// The reports in a dispatcher's log, and the number of those that could not be parsed.
pub fn reports_in_log(log: &str) -> (Vec<Report>, usize) {
    let (mut reports, mut unread) = (Vec::new(), 0);
    for line in log.lines() {
        // The message and its only value, whatever stands before them: time, level, name.
        let value_at = line.contains(MESSAGE).then(|| line.find(VALUE)).flatten();
        let Some(start) = value_at.map(|start| start + VALUE.len() - 1) else {
            continue;
        };
        // Anything after the value is ignored.
        let mut read = serde_json::Deserializer::from_str(&line[start..]).into_iter::<Report>();
        match read.next() {
            Some(Ok(report)) => reports.push(report),
            _ => unread += 1,
        }
    }
    (reports, unread)
}
