//! The page for people: what a fleet costs by size against the limits, and what it achieves.

use crate::figures::PhaseFigures;
use crate::fit::Fit;
use crate::phases::Phase;
use crate::report::{KB_PER_S_LIMIT, PURGE_LIMIT_S, Summary};
use trailproxy_lab::report::{Line, escape, plot, row};

type Drawn = Result<String, Box<dyn std::error::Error>>;
type Figure = fn(&PhaseFigures) -> Option<f64>;

const STEADY: [Phase; 5] = [
    Phase::Rest,
    Phase::Purges,
    Phase::Keyed,
    Phase::Budgets,
    Phase::Target,
];

/// The whole page.
pub fn page(summary: &Summary) -> Drawn {
    let mut body = main_figures(summary);
    body.push_str(&plots(summary)?);
    body.push_str(&phases_table(summary));
    body.push_str(&outcomes_table(summary));
    body.push_str(&kinds_table(summary));
    body.push_str(&fits_table(
        "Fits over the number of members",
        &summary.fits,
    ));
    body.push_str(&fits_table(
        "Keyed requests over their rate",
        &summary.rate_fits,
    ));
    Ok(trailproxy_lab::report::page("Capacity", &body))
}

fn main_figures(summary: &Summary) -> String {
    format!("<pre>{}</pre>", escape(&summary.text()))
}

fn plots(summary: &Summary) -> Drawn {
    let mut svg = String::new();
    svg.push_str(&sent_plot(
        summary,
        "KB/s sent by a member in the mean",
        |of| Some(of.sent_kb_per_s.mean),
    )?);
    svg.push_str(&sent_plot(
        summary,
        "KB/s sent by the member that sends most",
        |of| Some(of.sent_kb_per_s.worst),
    )?);
    let limit = limit("limit of sending", KB_PER_S_LIMIT, summary);
    let rest = by_size(summary, Phase::Rest, |of| Some(of.sent_kb_per_s.mean));
    let purges = by_size(summary, Phase::Purges, |of| Some(of.sent_kb_per_s.mean));
    svg.push_str(&plot(
        "KB/s sent at rest and under purges",
        "members",
        &[rest, purges, limit],
    )?);
    svg.push_str(&purges_plot(summary)?);
    svg.push_str(&settled_plot(summary)?);
    Ok(svg)
}

fn sent_plot(summary: &Summary, title: &str, figure: Figure) -> Drawn {
    let mut lines: Vec<Line> = STEADY.map(|phase| by_size(summary, phase, figure)).into();
    lines.push(limit("limit", KB_PER_S_LIMIT, summary));
    plot(title, "members", &lines)
}

fn purges_plot(summary: &Summary) -> Drawn {
    let p99: Figure = |of| Some(of.purges?.everywhere_s_p99);
    let lines = [
        by_size(summary, Phase::Purges, p99),
        by_size(summary, Phase::Target, p99),
        limit("limit", PURGE_LIMIT_S, summary),
    ];
    plot(
        "seconds until a purge is everywhere, p99",
        "members",
        &lines,
    )
}

fn settled_plot(summary: &Summary) -> Drawn {
    let phases = [Phase::AllRestart, Phase::RegionCut, Phase::ZoneLost];
    let lines = phases.map(|phase| by_size(summary, phase, |of| of.agreed_after_s));
    plot(
        "seconds until all members know each other again",
        "members",
        &lines,
    )
}

fn by_size(summary: &Summary, phase: Phase, figure: Figure) -> Line {
    let runs = summary.phases.iter().filter(|of| of.phase == phase.name());
    let points = runs.filter_map(|of| Some((of.members as f64, figure(of)?)));
    Line {
        name: phase.name().into(),
        points: points.collect(),
    }
}

fn limit(name: &str, value: f64, summary: &Summary) -> Line {
    Line {
        name: name.into(),
        points: vec![(0.0, value), (summary.members as f64, value)],
    }
}

/// A table with a heading, and cells of text.
fn table(title: &str, headings: &[&str], rows: impl Iterator<Item = Vec<String>>) -> String {
    let mut html = format!("<h2>{}</h2><table>", escape(title));
    let headings: Vec<String> = headings.iter().map(|&heading| heading.to_owned()).collect();
    row(&mut html, &headings);
    rows.for_each(|cells| row(&mut html, &cells));
    html.push_str("</table>");
    html
}

fn phases_table(summary: &Summary) -> String {
    let headings = [
        "phase",
        "members",
        "messages/s",
        "KB/s sent: mean",
        "p99",
        "worst",
        "KB/s received: worst",
        "worst second, KB",
        "records",
        "purges and hosts",
        "settled after, s",
        "us of a core an event (not exact)",
    ];
    let cells = |of: &PhaseFigures| {
        let settled = of
            .settled_after_s
            .map_or(String::new(), |s| format!("{s:.1}"));
        let numbers = [
            of.sent_messages_per_s.mean,
            of.sent_kb_per_s.mean,
            of.sent_kb_per_s.p99,
            of.sent_kb_per_s.worst,
            of.received_kb_per_s.worst,
            of.peak_kb_per_s.worst,
            of.state.records.mean,
            of.state.common_facts.mean,
        ];
        let mut cells = vec![of.phase.to_owned(), of.members.to_string()];
        cells.extend(numbers.map(|number| format!("{number:.2}")));
        cells.extend([settled, format!("{:.1}", of.timing.core_us_per_event)]);
        cells
    };
    table("Phases", &headings, summary.phases.iter().map(cells))
}

fn outcomes_table(summary: &Summary) -> String {
    let headings = [
        "phase",
        "members",
        "client",
        "requests",
        "granted",
        "found",
        "refused",
        "unsure",
        "wait p99, ms",
    ];
    let with_keyed = summary
        .phases
        .iter()
        .filter_map(|of| Some((of, of.keyed.as_ref()?)));
    let rows = with_keyed.flat_map(|(of, keyed)| {
        keyed.outcomes.iter().map(move |(origin, outcomes)| {
            let shares = [
                outcomes.granted,
                outcomes.found,
                outcomes.refused,
                outcomes.unsure,
            ];
            let mut cells = vec![
                of.phase.to_owned(),
                of.members.to_string(),
                (*origin).to_owned(),
            ];
            cells.push(outcomes.requests.to_string());
            cells.extend(shares.map(|share| format!("{share:.4}")));
            cells.push(format!("{:.1}", outcomes.wait_ms_p99));
            cells
        })
    });
    table(
        "Keyed requests by where the client was before",
        &headings,
        rows,
    )
}

fn kinds_table(summary: &Summary) -> String {
    let headings = [
        "phase",
        "members",
        "kind",
        "messages/s",
        "bytes/s",
        "messages/s of the worst",
    ];
    let rows = summary.phases.iter().flat_map(|of| {
        of.kinds.iter().map(move |(kind, figures)| {
            let numbers = [
                figures.messages_per_s,
                figures.bytes_per_s,
                figures.worst_messages_per_s,
            ];
            let mut cells = vec![
                of.phase.to_owned(),
                of.members.to_string(),
                (*kind).to_owned(),
            ];
            cells.extend(numbers.map(|number| format!("{number:.2}")));
            cells
        })
    });
    table("Sent by a member, by kind of message", &headings, rows)
}

fn fits_table(title: &str, fits: &[Fit]) -> String {
    let headings = ["figure", "law", "at 0", "slope", "95% interval", "run at"];
    let rows = fits.iter().map(|fit| {
        let law = fit
            .law
            .map_or("too few points".into(), |law| format!("{law:?}"));
        let xs: Vec<String> = fit
            .points
            .iter()
            .map(|point| format!("{:.0}", point.x))
            .collect();
        let mut cells = vec![fit.figure.clone(), law];
        match fit.line {
            Some(line) => cells.extend([
                format!("{:.3}", line.intercept),
                format!("{:.5}", line.slope),
                format!("{:.5} to {:.5}", line.slope_low, line.slope_high),
            ]),
            None => cells.extend(["", "", ""].map(str::to_owned)),
        }
        cells.push(xs.join(", "));
        cells
    });
    table(title, &headings, rows)
}
