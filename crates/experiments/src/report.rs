//! One HTML page of a folder's results. It opens from disk and asks no network for anything.

use crate::folder::{Folder, Stored};
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

/// Colours that stay apart for most eyes (Okabe and Ito).
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

/// Points of a picture by policy.
type Lines = BTreeMap<&'static str, Vec<(f64, f64)>>;

/// Writes the page.
///
/// # Errors
///
/// The folder cannot be read, or holds no result.
pub fn report(folder: &Folder) -> Result<String, String> {
    let (cells, broken) = folder.all()?;
    let rows = summarise(&cells);
    if rows.is_empty() {
        return Err("there is no result yet".into());
    }
    let mut page = format!(
        "<!doctype html><html lang=en><meta charset=utf-8><title>{0}</title><style>{STYLE}</style><h1>{0}</h1>\
         <p>{1} runs; means with 95% intervals over seeds (Student's t). Green: the best wanted share of its table.",
        escape(folder.name()),
        cells.len()
    );
    if broken > 0 {
        let _ = write!(page, " <b>{broken} files are cut off or spoilt and are left out.</b>");
    }
    let mut points: BTreeMap<&BTreeMap<String, String>, Vec<&Row>> = BTreeMap::new();
    for row in &rows {
        points.entry(&row.point).or_default().push(row);
    }
    let colours = colours(&rows);
    for (point, rows) in &points {
        table(&mut page, point, rows);
        for (title, of) in SECONDS {
            let lines = by_second(&cells, point, of);
            if let Some(svg) = draw(&colours, &lines, "second")? {
                let _ = write!(page, "<h3>{title}, by the second in which clients came</h3>{svg}");
                legend(&mut page, &colours);
            }
        }
    }
    // A picture for each swept key whose values are numbers, along the points that differ in it alone.
    let keys: Vec<String> = rows[0].point.keys().cloned().collect();
    for key in keys {
        for (figure, _) in &FIGURES[..2] {
            if let Some(svg) = plot(&colours, &rows, &key, figure)? {
                let _ = write!(page, "<h2>{} by {}</h2>{svg}", escape(figure), escape(&key));
                legend(&mut page, &colours);
            }
        }
    }
    let _ = writeln!(page, "<h2>The experiment</h2><pre>{}</pre></html>", escape(folder.experiment()));
    Ok(page)
}

/// What of a second is shown.
type OfSecond = fn(&Second) -> u64;

/// The shares that are shown second by second.
const SECONDS: [(&str, OfSecond); 2] =
    [("Served in the wanted time", |s| s.in_wanted), ("Refused", |s| s.refused)];

/// A share of what came in each second, over the seeds, a line a policy.
fn by_second(cells: &[Stored], point: &BTreeMap<String, String>, of: OfSecond) -> Lines {
    let mut sums: BTreeMap<(&'static str, usize), (u64, u64)> = BTreeMap::new();
    for stored in cells.iter().filter(|stored| stored.cell.point == *point) {
        for (place, second) in stored.outcome.seconds.iter().enumerate() {
            let (part, all) = sums.entry((stored.cell.policy.name(), place)).or_default();
            (*part, *all) = (*part + of(second), *all + second.asked);
        }
    }
    let mut lines = Lines::new();
    for ((policy, place), (part, all)) in sums.into_iter().filter(|(_, (_, all))| *all > 0) {
        lines.entry(policy).or_default().push((place as f64, part as f64 / all as f64));
    }
    lines
}

fn table(page: &mut String, point: &BTreeMap<String, String>, rows: &[&Row]) {
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

/// Policies with their colours, the same in all pictures of a page.
type Colours = BTreeMap<&'static str, RGBColor>;

/// The policies that a page shows, in their order, each with its colour.
fn colours(rows: &[Row]) -> Colours {
    let mut names: Vec<_> = rows.iter().map(|row| row.policy).collect();
    names.sort_unstable();
    names.dedup();
    let colour = |place: usize| COLOURS[place % COLOURS.len()];
    names
        .iter()
        .enumerate()
        .map(|(n, p)| (p.name(), RGBColor(colour(n).0, colour(n).1, colour(n).2)))
        .collect()
}

fn legend(page: &mut String, colours: &Colours) {
    page.push_str("<p class=legend>");
    for (name, RGBColor(r, g, b)) in colours {
        let _ = write!(page, "<span><i style=\"background:rgb({r},{g},{b})\"></i>{name}</span>");
    }
}

/// A figure along a key, a line a policy; points that differ in other keys are averaged. None for a key of words.
fn plot(colours: &Colours, rows: &[Row], key: &str, figure: &str) -> Result<Option<String>, String> {
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
    draw(colours, &lines, key)
}

/// A picture of lines, each in its policy's colour; none if they have no width.
fn draw(colours: &Colours, lines: &Lines, x_desc: &str) -> Result<Option<String>, String> {
    let all = || lines.values().flatten();
    let (x0, x1) = all().fold((f64::INFINITY, f64::NEG_INFINITY), |(a, b), (x, _)| (a.min(*x), b.max(*x)));
    let y1 = all().map(|(_, y)| *y).fold(0.0, f64::max);
    if x0 >= x1 {
        return Ok(None);
    }
    let mut svg = String::new();
    let wrong = |e: DrawingAreaErrorKind<std::io::Error>| e.to_string();
    {
        let area = SVGBackend::with_string(&mut svg, (860, 360)).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(60)
            .build_cartesian_2d(x0..x1, 0.0..(y1 * 1.05).max(1e-9))
            .map_err(wrong)?;
        chart.configure_mesh().light_line_style(WHITE).x_desc(x_desc).draw().map_err(wrong)?;
        for (policy, colour) in colours {
            let Some(points) = lines.get(policy) else { continue };
            let line = LineSeries::new(points.iter().copied(), colour.stroke_width(2));
            chart.draw_series(line).map_err(wrong)?;
            let dots = points.iter().map(|point| Circle::new(*point, 3, colour.filled()));
            chart.draw_series(dots).map_err(wrong)?;
        }
        area.present().map_err(wrong)?;
    }
    Ok(Some(svg))
}
