//! Pages for people: self-contained HTML with SVG plots, that need no network.

use crate::experiment::Difference;
use crate::scenario::Scenario;
use crate::tally::{Summary, Tally};
use plotters::prelude::*;
use std::fmt::Write;

type Drawn<T> = Result<T, Box<dyn std::error::Error>>;

/// One line of a plot: its name and its points.
pub struct Line {
    pub name: String,
    pub points: Vec<(f64, f64)>,
}

const SIZE: (u32, u32) = (900, 260);
const COLOURS: [RGBColor; 8] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 96, 30),
    RGBColor(44, 140, 60),
    RGBColor(190, 40, 50),
    RGBColor(120, 90, 180),
    RGBColor(130, 90, 70),
    RGBColor(220, 110, 190),
    RGBColor(110, 110, 110),
];

/// An SVG plot of lines over time; text is left to the reader's own fonts.
pub fn plot(title: &str, below: &str, lines: &[Line]) -> Drawn<String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let all = || lines.iter().flat_map(|line| &line.points);
        let right = all().map(|p| p.0).fold(1.0, f64::max);
        let top = all().map(|p| p.1).fold(0.0, f64::max);
        let top = if top > 0.0 { top * 1.08 } else { 1.0 };
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..right, 0.0..top)?;
        chart
            .configure_mesh()
            .x_desc(below)
            .light_line_style(WHITE)
            .draw()?;
        for (nth, line) in lines.iter().enumerate() {
            let colour = COLOURS[nth % COLOURS.len()];
            chart
                .draw_series(LineSeries::new(
                    line.points.iter().copied(),
                    colour.stroke_width(2),
                ))?
                .label(line.name.clone())
                .legend(move |(x, y)| {
                    PathElement::new(vec![(x, y), (x + 14, y)], colour.stroke_width(2))
                });
        }
        if lines.len() > 1 {
            chart
                .configure_series_labels()
                .background_style(WHITE.mix(0.85))
                .border_style(BLACK.mix(0.2))
                .draw()?;
        }
        area.present()?;
    }
    Ok(svg)
}

/// Text as HTML shows it.
pub fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

/// A whole page around a body.
pub fn page(title: &str, body: &str) -> String {
    let style = "body{font:15px/1.45 sans-serif;max-width:940px;margin:2em auto;padding:0 1em;color:#222}\
        table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .8em;border-bottom:1px solid #ddd;\
        text-align:right}td:first-child,th:first-child{text-align:left}.bad{color:#b00}svg{max-width:100%}";
    let title = escape(title);
    format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title><style>{style}</style>\
         <h1>{title}</h1>{body}</html>\n"
    )
}

/// One row of a table.
pub fn row(out: &mut String, cells: &[String]) {
    let cells: Vec<String> = cells
        .iter()
        .map(|cell| format!("<td>{}</td>", escape(cell)))
        .collect();
    let _ = writeln!(out, "<tr>{}</tr>", cells.concat());
}

fn figures(out: &mut String, summary: &Summary) {
    out.push_str("<table>");
    let mut add = |name: &str, value: String| row(out, &[name.to_owned(), value]);
    add(
        "world",
        format!(
            "{}, {}",
            summary.world,
            if summary.world == "model" {
                "simulated"
            } else {
                "on sockets"
            }
        ),
    );
    add("policy", summary.policy.clone());
    add("seed, days", format!("{}, {}", summary.seed, summary.days));
    let [low, high] = summary.service_ci95;
    add(
        "service",
        format!("{:.4} ({low:.4} to {high:.4})", summary.service),
    );
    add("accesses", summary.accesses.to_string());
    add("done, rejected, aborted, lost", {
        format!(
            "{}, {}, {}, {}",
            summary.done, summary.rejected, summary.aborted, summary.lost
        )
    });
    let latency = &summary.latency_ms;
    add(
        "latency, ms: p50, p99, p999",
        format!(
            "{:.1}, {:.1}, {:.1}",
            latency.p50, latency.p99, latency.p999
        ),
    );
    let megabytes = |bytes: f64| format!("{:.1}", bytes / 1e6);
    add("MB from origin, hubs, hits", {
        [summary.bytes_origin, summary.bytes_hub, summary.bytes_hit]
            .map(megabytes)
            .join(", ")
    });
    add(
        "breakers opened, hosts fallen",
        format!("{}, {}", summary.breakers_opened, summary.hosts_fell),
    );
    if let Some(first) = summary.first_open_s {
        add(
            "first breaker open after the first trouble",
            format!("{first:.2} s"),
        );
    }
    out.push_str("</table>");
}

/// The page of one day, or of several whose last is drawn.
pub fn day(scenario: &Scenario, summary: &Summary, tally: &Tally) -> Drawn<String> {
    let mut body = String::new();
    figures(&mut body, summary);
    if summary.rules_broken.is_empty() {
        body.push_str("<p>All five rules kept.</p>");
    } else {
        let _ = write!(
            body,
            "<p class=\"bad\">{} breaches of rules</p><ul>",
            summary.rule_breaches
        );
        for breach in summary.rules_broken.iter().take(50) {
            let _ = write!(body, "<li>{}</li>", escape(breach));
        }
        body.push_str("</ul>");
    }
    let seconds = &tally.seconds[..tally.seconds.len().saturating_sub(1)];
    let over = |name: &str, value: &dyn Fn(&crate::tally::Second) -> Option<f64>| Line {
        name: name.into(),
        points: seconds
            .iter()
            .enumerate()
            .filter_map(|(i, s)| Some((i as f64, value(s)?)))
            .collect(),
    };
    let share = |(asked, served): (f64, f64)| (asked > 0.0).then(|| served / asked);
    let mut service = vec![over("all", &|s| share((s.asked, s.served)))];
    for (nth, name) in scenario.track_names.iter().enumerate() {
        service.push(over(name, &|s| share(s.tracks[nth])));
    }
    body.push_str(&plot("service by second", "seconds", &service)?);
    let answers = [
        over("done", &|s| Some(s.done as f64)),
        over("rejected", &|s| Some(s.rejected as f64)),
        over("aborted", &|s| Some(s.aborted as f64)),
    ];
    body.push_str(&plot("final answers a second", "seconds", &answers)?);
    let quantiles: Vec<(f64, f64)> = [0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999, 0.9999]
        .iter()
        .map(|&q| {
            (
                -(1.0f64 - q).log10(),
                tally.latency().value_at_quantile(q) as f64 / 1e3,
            )
        })
        .collect();
    let tail = Line {
        name: "latency".into(),
        points: quantiles,
    };
    body.push_str(&plot("latency in ms, by nines", "nines", &[tail])?);
    let bytes = [
        over("origin", &|s| Some(s.origin_kb)),
        over("hubs", &|s| Some(s.hub_kb)),
        over("hits", &|s| Some(s.hit_kb)),
    ];
    body.push_str(&plot("KB a second, by source", "seconds", &bytes)?);
    let linked = scenario
        .shape
        .zones
        .iter()
        .enumerate()
        .filter(|(_, zone)| zone.link_kb_per_s > 0.0);
    let links: Vec<Line> = linked
        .take(8)
        .map(|(nth, zone)| over(&zone.name, &|s| s.crossed_kb.get(nth).copied()))
        .collect();
    body.push_str(&plot(
        "KB a second, by link into a zone",
        "seconds",
        &links,
    )?);
    let names = scenario.host_names();
    let mut opened: Vec<(u32, u64)> = Vec::new();
    for host in scenario.shape.hosts.iter().map(|host| host.id.0) {
        let sum = seconds
            .iter()
            .filter_map(|s| s.open.get(&host))
            .sum::<u32>();
        opened.extend((sum > 0).then_some((sum, host)));
    }
    opened.sort_by(|a, b| b.cmp(a));
    if !opened.is_empty() {
        let line = |&(_, host): &(u32, u64)| {
            let name = names
                .get(&trailproxy::units::HostId(host))
                .cloned()
                .unwrap_or_default();
            over(&name, &|s| {
                Some(f64::from(s.open.get(&host).copied().unwrap_or(0)))
            })
        };
        let lines: Vec<Line> = opened.iter().take(8).map(line).collect();
        body.push_str(&plot(
            "dispatchers at which the breaker is open, by host",
            "seconds",
            &lines,
        )?);
    }
    body.push_str("<h2>Rejections by cause</h2><table>");
    for (cause, n) in &summary.rejected_by_cause {
        row(&mut body, &[cause.clone(), n.to_string()]);
    }
    body.push_str("</table><h2>Service by track</h2><table>");
    for (track, service) in &summary.service_by_track {
        row(&mut body, &[track.clone(), format!("{service:.4}")]);
    }
    body.push_str("</table>");
    Ok(page(
        &format!("{} ({})", scenario.name, summary.world),
        &body,
    ))
}

/// The page of a comparison: differences with their intervals.
pub fn comparison(a: &str, b: &str, differences: &[Difference]) -> Drawn<String> {
    let mut body = String::from(
        "<p>Paired days; a difference whose interval holds zero is called none.</p><table>",
    );
    let head = ["figure", a, b, "b - a", "95% interval", "verdict"].map(str::to_owned);
    row(&mut body, &head);
    for d in differences {
        let interval = format!("{:.4} to {:.4}", d.b_less_a.low, d.b_less_a.high);
        let numbers = [d.a.mean, d.b.mean, d.b_less_a.mean].map(|n| format!("{n:.4}"));
        let [a, b, apart] = numbers;
        row(
            &mut body,
            &[d.figure.clone(), a, b, apart, interval, d.verdict.clone()],
        );
    }
    body.push_str("</table>");
    Ok(page(&format!("{a} and {b}"), &body))
}
