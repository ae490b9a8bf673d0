//! Renders a directory's results as one HTML page without external resources.

use crate::results_dir::{ResultsDir, StoredCell};
use crate::summary::{summarise, Row, FIGURES};
use bellcroft_simulation::Second;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write;

const STYLE: &str = "body{font:15px/1.5 system-ui,sans-serif;max-width:72rem;margin:2rem auto;padding:0 1rem;color:#222}\
table{border-collapse:collapse;margin:1rem 0}td,th{padding:.25rem .7rem;border-bottom:1px solid #ddd;text-align:right}\
td:first-child,th:first-child{text-align:left}tr.best td{background:#eef7ee}tr.broken td:last-child{color:#b00020;font-weight:600}\
pre{background:#f6f6f6;padding:1rem;overflow:auto}.legend span{display:inline-block;margin-right:1.2rem}\
.legend i{display:inline-block;width:.8rem;height:.8rem;margin-right:.3rem}";

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// Colours of policies. The first are distinguishable with colour blindness (Okabe and Ito).
const COLOURS: [(u8, u8, u8); 10] = [
    (0, 114, 178),
    (230, 159, 0),
    (0, 158, 115),
    (213, 94, 0),
    (86, 180, 233),
    (204, 121, 167),
    (120, 120, 120),
    (240, 228, 66),
    (0, 0, 0),
    (150, 75, 0),
];

/// Points of a chart's lines by policy.
type Lines = BTreeMap<&'static str, Vec<(f64, f64)>>;

/// Renders the page.
///
/// # Errors
///
/// Returns an error if the directory cannot be read or holds no result.
pub fn report(results: &ResultsDir) -> Result<String, String> {
    let (cells, damaged) = results.load_all()?;
    let rows = summarise(&cells);
    if rows.is_empty() {
        return Err("the directory holds no result yet".into());
    }
    let mut page = format!(
        "<!doctype html><html lang=en><meta charset=utf-8><title>{0}</title><style>{STYLE}</style><h1>{0}</h1>\
         <p>{1} runs; means with 95% intervals over seeds (Student's t). Green: the best wanted share of its table.",
        escape(results.name()),
        cells.len()
    );
    if damaged > 0 {
        let _ = write!(page, " <b>{damaged} files are truncated or corrupt and are left out.</b>");
    }
    let mut points: BTreeMap<&BTreeMap<String, String>, Vec<&Row>> = BTreeMap::new();
    for row in &rows {
        points.entry(&row.point).or_default().push(row);
    }
    let colours = assign_colours(&rows);
    for (point, rows) in &points {
        write_table(&mut page, point, rows);
        for (title, of) in SECONDS {
            let lines = lines_by_second(&cells, point, of);
            if let Some(svg) = draw_chart(&colours, &lines, "second")? {
                let _ = write!(page, "<h3>{title}, by the second in which clients came</h3>{svg}");
                write_legend(&mut page, &colours);
            }
        }
    }
    // One chart for each swept key with numeric values, averaged over the other keys.
    let keys: Vec<String> = rows[0].point.keys().cloned().collect();
    for key in keys {
        for (figure, _) in &FIGURES[..2] {
            if let Some(svg) = plot_by_key(&colours, &rows, &key, figure)? {
                let _ = write!(page, "<h2>{} by {}</h2>{svg}", escape(figure), escape(&key));
                write_legend(&mut page, &colours);
            }
        }
    }
    let _ = writeln!(page, "<h2>The experiment</h2><pre>{}</pre></html>", escape(results.experiment()));
    Ok(page)
}

/// Returns a count of one second.
type SecondCount = fn(&Second) -> u64;

/// Titles and counts of the charts over time.
const SECONDS: [(&str, SecondCount); 2] =
    [("Served in the wanted time", |s| s.in_wanted), ("Refused", |s| s.refused)];

/// Returns, by policy, the share of each second's requests that `of` counts, over all seeds.
fn lines_by_second(cells: &[StoredCell], point: &BTreeMap<String, String>, of: SecondCount) -> Lines {
    let mut sums: BTreeMap<(&'static str, usize), (u64, u64)> = BTreeMap::new();
    for stored in cells.iter().filter(|stored| stored.cell.point == *point) {
        for (index, second) in stored.outcome.seconds.iter().enumerate() {
            let (part, all) = sums.entry((stored.cell.policy.name(), index)).or_default();
            (*part, *all) = (*part + of(second), *all + second.asked);
        }
    }
    let mut lines = Lines::new();
    for ((policy, index), (part, all)) in sums.into_iter().filter(|(_, (_, all))| *all > 0) {
        lines.entry(policy).or_default().push((index as f64, part as f64 / all as f64));
    }
    lines
}

fn write_table(page: &mut String, point: &BTreeMap<String, String>, rows: &[&Row]) {
    let words: Vec<String> = point.iter().map(|(key, value)| format!("{key} = {value}")).collect();
    let title = if words.is_empty() { "All policies".to_owned() } else { words.join(", ") };
    let _ = write!(page, "<h2>{}</h2><table><tr><th>policy", escape(&title));
    for (figure, _) in &FIGURES {
        let _ = write!(page, "<th>{figure}");
    }
    let share = |row: &Row| row.figures.get("wanted share").map_or(0.0, |i| i.mean);
    let best = rows.iter().map(|row| share(row)).fold(f64::MIN, f64::max);
    for row in rows {
        let broken = row.figures.get("rules broken").is_some_and(|i| i.mean > 0.0);
        let class = match (share(row) >= best, broken) {
            (true, true) => "best broken",
            (true, false) => "best",
            (false, true) => "broken",
            (false, false) => "",
        };
        let _ = write!(page, "<tr class=\"{class}\"><td>{}", row.policy.name());
        for (figure, _) in &FIGURES {
            let _ =
                write!(page, "<td>{}", row.figures.get(figure).map_or(String::new(), ToString::to_string));
        }
    }
    page.push_str("</table>");
}

/// Colours by policy, the same in all charts of a page.
type Colours = BTreeMap<&'static str, RGBColor>;

/// Assigns colours to the policies of a page.
fn assign_colours(rows: &[Row]) -> Colours {
    let mut names: Vec<_> = rows.iter().map(|row| row.policy).collect();
    names.sort_unstable();
    names.dedup();
    let colour = |index: usize| COLOURS[index % COLOURS.len()];
    names
        .iter()
        .enumerate()
        .map(|(n, p)| (p.name(), RGBColor(colour(n).0, colour(n).1, colour(n).2)))
        .collect()
}

fn write_legend(page: &mut String, colours: &Colours) {
    page.push_str("<p class=legend>");
    for (name, RGBColor(r, g, b)) in colours {
        let _ = write!(page, "<span><i style=\"background:rgb({r},{g},{b})\"></i>{name}</span>");
    }
}

/// Draws a figure by a swept key, with one line for each policy and averages over the other keys. Returns None if the
/// key's values are not numbers.
fn plot_by_key(colours: &Colours, rows: &[Row], key: &str, figure: &str) -> Result<Option<String>, String> {
    let mut sums: BTreeMap<(&'static str, u64), (f64, usize)> = BTreeMap::new();
    for row in rows {
        let Some(Ok(x)) = row.point.get(key).map(|value| value.parse::<f64>()) else { return Ok(None) };
        let Some(y) = row.figures.get(figure).map(|interval| interval.mean) else { continue };
        let cell = sums.entry((row.policy.name(), x.to_bits())).or_insert((0.0, 0));
        *cell = (cell.0 + y, cell.1 + 1);
    }
    let mut lines = Lines::new();
    for ((policy, x), (sum, n)) in sums {
        lines.entry(policy).or_default().push((f64::from_bits(x), sum / n as f64));
    }
    lines.values_mut().for_each(|points| points.sort_by(|a, b| a.0.total_cmp(&b.0)));
    draw_chart(colours, &lines, key)
}

/// Draws lines in the colours of their policies. Returns None if all points have the same x value.
fn draw_chart(colours: &Colours, lines: &Lines, x_desc: &str) -> Result<Option<String>, String> {
    let all = || lines.values().flatten();
    let (x0, x1) = all().fold((f64::INFINITY, f64::NEG_INFINITY), |(a, b), (x, _)| (a.min(*x), b.max(*x)));
    let y1 = all().map(|(_, y)| *y).fold(0.0, f64::max);
    if x0 >= x1 {
        return Ok(None);
    }
    let mut svg = String::new();
    let error = |e: DrawingAreaErrorKind<std::io::Error>| e.to_string();
    {
        let area = SVGBackend::with_string(&mut svg, (860, 360)).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(60)
            .build_cartesian_2d(x0..x1, 0.0..(y1 * 1.05).max(1e-9))
            .map_err(error)?;
        chart.configure_mesh().light_line_style(WHITE).x_desc(x_desc).draw().map_err(error)?;
        for (policy, colour) in colours {
            let Some(points) = lines.get(policy) else { continue };
            let line = LineSeries::new(points.iter().copied(), colour.stroke_width(2));
            chart.draw_series(line).map_err(error)?;
            let dots = points.iter().map(|point| Circle::new(*point, 3, colour.filled()));
            chart.draw_series(dots).map_err(error)?;
        }
        area.present().map_err(error)?;
    }
    Ok(Some(svg))
}
