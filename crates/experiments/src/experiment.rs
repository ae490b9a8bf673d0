//! Experiment files, and the cells that they stand for.

use bellcroft_simulation::{Policy, Scenario};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// More cells than this are refused before the first is begun.
pub const CELLS_MOST: usize = 100_000;

/// A file, read and checked.
#[derive(Debug, Clone)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// Its text, as it is stored beside the results.
    pub text: String,
    policies: Vec<Policy>,
    seeds: Vec<u64>,
    sweep: Vec<(String, Vec<toml::Value>)>,
    scenario: toml::Table,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    name: String,
    policies: Vec<Policy>,
    seeds: Vec<u64>,
    #[serde(default)]
    sweep: BTreeMap<String, Vec<toml::Value>>,
    scenario: Scenario,
}

/// One run: a point of the sweep, a policy, a seed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Cell {
    /// The swept keys and their values here, in the file's words.
    pub point: BTreeMap<String, String>,
    /// The policy.
    pub policy: Policy,
    /// The seed.
    pub seed: u64,
}

impl Cell {
    /// A name for it that no other cell of its experiment has.
    pub fn id(&self) -> String {
        let text = format!("{:?} {} {}", self.point, self.policy.name(), self.seed);
        blake3::hash(text.as_bytes()).to_hex()[..24].to_owned()
    }
}

/// How many letters set two words apart, at most `most`.
fn near(a: &str, b: &str) -> bool {
    let common = a.chars().zip(b.chars()).take_while(|(x, y)| x == y).count();
    let tail = a.chars().rev().zip(b.chars().rev()).take_while(|(x, y)| x == y).count();
    let longest = a.chars().count().max(b.chars().count());
    common + tail + 2 >= longest
}

/// serde names the words that it expected; the nearest one is what a person meant.
fn with_nearest(message: &str) -> String {
    let mut quoted = message.split('`').skip(1).step_by(2);
    let Some(wrong) = quoted.next().filter(|_| message.contains("unknown")) else {
        return message.to_owned();
    };
    match quoted.find(|known| near(wrong, known)) {
        Some(known) => format!("{message}; did you mean `{known}`?"),
        None => message.to_owned(),
    }
}

impl Experiment {
    /// Reads a file's text.
    ///
    /// # Errors
    ///
    /// What is wrong with it, with its line.
    pub fn parse(text: &str) -> Result<Self, String> {
        let line = |e: &toml::de::Error| {
            e.span().map_or(String::new(), |span| {
                format!("line {}: ", 1 + text[..span.start].matches('\n').count())
            })
        };
        let file: File =
            toml::from_str(text).map_err(|e| format!("{}{}", line(&e), with_nearest(e.message())))?;
        let table: toml::Table = toml::from_str(text).map_err(|e| format!("{}{}", line(&e), e.message()))?;
        file.scenario.check().map_err(|e| format!("scenario: {e}"))?;
        let scenario = match table.get("scenario") {
            Some(toml::Value::Table(scenario)) => scenario.clone(),
            _ => return Err("there is no [scenario]".into()),
        };
        if file.policies.is_empty() || file.seeds.is_empty() || file.sweep.values().any(Vec::is_empty) {
            return Err("policies, seeds and each swept key need at least one value".into());
        }
        let experiment = Experiment {
            name: file.name,
            text: text.to_owned(),
            policies: file.policies,
            seeds: file.seeds,
            sweep: file.sweep.into_iter().collect(),
            scenario,
        };
        let sizes = experiment.sweep.iter().map(|(_, values)| values.len());
        let count = sizes
            .chain([experiment.policies.len(), experiment.seeds.len()])
            .try_fold(1_usize, usize::checked_mul);
        match count {
            Some(count) if count <= CELLS_MOST => {}
            Some(count) => {
                return Err(format!("the sweep has {count} cells; at most {CELLS_MOST} are begun"))
            }
            None => {
                return Err(format!(
                    "the sweep has more cells than can be counted; at most {CELLS_MOST} are begun"
                ))
            }
        }
        // Every point must be one that can be played, or a night's work would end at the last.
        for point in experiment.points() {
            experiment.scenario(&point)?;
        }
        Ok(experiment)
    }

    /// The scenario as the file has it, its sweep left out.
    ///
    /// # Errors
    ///
    /// It can't be played.
    pub fn plain(&self) -> Result<Scenario, String> {
        self.scenario(&BTreeMap::new())
    }

    /// The seeds.
    pub fn seeds(&self) -> &[u64] {
        &self.seeds
    }

    /// The classes of the scenario as the file has it.
    pub fn classes(&self) -> Vec<bellcroft_simulation::ClassSpec> {
        self.scenario.clone().try_into::<Scenario>().map(|scenario| scenario.classes).unwrap_or_default()
    }

    /// The points of the sweep, the last key turning fastest.
    fn points(&self) -> Vec<BTreeMap<String, usize>> {
        let mut points = vec![BTreeMap::new()];
        for (key, values) in &self.sweep {
            let with = |point: &BTreeMap<String, usize>, place: usize| {
                let mut point = point.clone();
                point.insert(key.clone(), place);
                point
            };
            points = points
                .iter()
                .flat_map(|p| (0..values.len()).map(|n| with(p, n)).collect::<Vec<_>>())
                .collect();
        }
        points
    }

    fn value(&self, key: &str, place: usize) -> &toml::Value {
        let values = self.sweep.iter().find(|(own, _)| own == key).map(|(_, values)| &values[place]);
        values.unwrap_or_else(|| unreachable!("{key} is swept"))
    }

    fn scenario(&self, point: &BTreeMap<String, usize>) -> Result<Scenario, String> {
        let mut table = self.scenario.clone();
        for (key, place) in point {
            let value = self.value(key, *place);
            let wrong = |why: &str| format!("sweep: {key} = {value}: {why}");
            set(&mut table, key, value.clone()).map_err(|why| wrong(&why))?;
        }
        let scenario: Scenario = table
            .try_into()
            .map_err(|e: toml::de::Error| format!("sweep {point:?}: {}", with_nearest(e.message())))?;
        scenario.check().map_err(|e| format!("sweep {point:?}: {e}"))?;
        Ok(scenario)
    }

    /// All cells with their scenarios, always in the same order.
    pub fn cells(&self) -> Vec<(Cell, Scenario)> {
        let mut cells = Vec::new();
        for point in self.points() {
            let Ok(scenario) = self.scenario(&point) else { continue };
            let words = point.iter().map(|(key, place)| (key.clone(), self.value(key, *place).to_string()));
            let words: BTreeMap<String, String> = words.collect();
            for policy in &self.policies {
                for seed in &self.seeds {
                    let cell = Cell { point: words.clone(), policy: *policy, seed: *seed };
                    cells.push((cell, scenario.clone()));
                }
            }
        }
        cells
    }
}

/// Sets a dotted key, such as `arrivals.rate` or `servers.0.count`, which must be there.
fn set(table: &mut toml::Table, key: &str, value: toml::Value) -> Result<(), String> {
    let mut parts = key.split('.').peekable();
    let first = parts.next().unwrap_or_default();
    if parts.peek().is_none() {
        // A key that the file leaves to its default may be swept; one that nobody knows is refused when it is read.
        table.insert(first.to_owned(), value);
        return Ok(());
    }
    let mut at = table.get_mut(first).ok_or_else(|| format!("there is no {first}"))?;
    while let Some(part) = parts.next() {
        let last = parts.peek().is_none();
        at = match at {
            toml::Value::Table(table) if last => {
                table.insert(part.to_owned(), value);
                return Ok(());
            }
            toml::Value::Table(table) => table.get_mut(part),
            toml::Value::Array(list) => part.parse::<usize>().ok().and_then(|place| list.get_mut(place)),
            _ => None,
        }
        .ok_or_else(|| format!("there is no {part}"))?;
        if last {
            *at = value;
            return Ok(());
        }
    }
    Ok(())
}
