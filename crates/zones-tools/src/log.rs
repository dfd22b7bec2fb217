//! Reports of traffic between zones, out of a dispatcher's log.

use trailproxy_zones::report::Report;

/// How a dispatcher's log line names a report, and its value.
const MESSAGE: &str = "zones";
const VALUE: &str = "report: {";

/// The reports in a dispatcher's log, and how many could not be read.
pub fn reports_in_log(log: &str) -> (Vec<Report>, usize) {
    let (mut reports, mut unread) = (Vec::new(), 0);
    for line in log.lines() {
        // The message and its one value, whatever stands before: time, level, name.
        let told = line.contains(MESSAGE).then(|| line.find(VALUE)).flatten();
        let Some(at) = told.map(|at| at + VALUE.len() - 1) else {
            continue;
        };
        // What a log adds after it does not matter.
        let mut read = serde_json::Deserializer::from_str(&line[at..]).into_iter::<Report>();
        match read.next() {
            Some(Ok(report)) => reports.push(report),
            _ => unread += 1,
        }
    }
    (reports, unread)
}
