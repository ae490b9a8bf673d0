//! Experiment files and the cells of their sweeps.

use bellcroft_simulation::{Policy, Scenario};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of cells of an experiment. Larger sweeps are rejected before anything runs.
pub const MAX_CELLS: usize = 100_000;

/// A validated experiment file.
#[derive(Debug, Clone)]
pub struct Experiment {
    /// The experiment's name.
    pub name: String,
    /// Text of the file, as stored with the results.
    pub text: String,
    policies: Vec<Policy>,
    seeds: Vec<u64>,
    sweep: Vec<(String, Vec<toml::Value>)>,
    scenario: toml::Table,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ExperimentFile {
    name: String,
    policies: Vec<Policy>,
    seeds: Vec<u64>,
    #[serde(default)]
    sweep: BTreeMap<String, Vec<toml::Value>>,
    scenario: Scenario,
}

/// One simulation run: a point of the sweep, a policy and a seed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Cell {
    /// The swept keys and their values at this point, as written in the file.
    pub point: BTreeMap<String, String>,
    /// The balancing policy.
    pub policy: Policy,
    /// The seed of the run.
    pub seed: u64,
}

impl Cell {
    /// Returns an identifier that is unique within the experiment. It names the cell's file, so its derivation must not
    /// change.
    pub fn id(&self) -> String {
        let text = format!("{:?} {} {}", self.point, self.policy.name(), self.seed);
        blake3::hash(text.as_bytes()).to_hex()[..24].to_owned()
    }
}

/// Returns whether two words differ by at most two letters between their common prefix and suffix.
fn is_similar(a: &str, b: &str) -> bool {
    let prefix = a.chars().zip(b.chars()).take_while(|(x, y)| x == y).count();
    let suffix = a.chars().rev().zip(b.chars().rev()).take_while(|(x, y)| x == y).count();
    let longest = a.chars().count().max(b.chars().count());
    prefix + suffix + 2 >= longest
}

/// Adds a suggestion to a serde error about an unknown name: the first similar one of the expected names in the message.
fn with_suggestion(message: &str) -> String {
    let mut quoted = message.split('`').skip(1).step_by(2);
    let Some(unknown) = quoted.next().filter(|_| message.contains("unknown")) else {
        return message.to_owned();
    };
    match quoted.find(|known| is_similar(unknown, known)) {
        Some(known) => format!("{message}; did you mean `{known}`?"),
        None => message.to_owned(),
    }
}

impl Experiment {
    /// Parses and validates the text of an experiment file.
    ///
    /// # Errors
    ///
    /// Returns a description of the first error, with its line if known.
    pub fn parse(text: &str) -> Result<Self, String> {
        let line = |e: &toml::de::Error| {
            e.span().map_or(String::new(), |span| {
                format!("line {}: ", 1 + text[..span.start].matches('\n').count())
            })
        };
        let file: ExperimentFile =
            toml::from_str(text).map_err(|e| format!("{}{}", line(&e), with_suggestion(e.message())))?;
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
            Some(count) if count <= MAX_CELLS => {}
            Some(count) => return Err(format!("the sweep has {count} cells; at most {MAX_CELLS} are begun")),
            None => {
                return Err(format!(
                    "the sweep has more cells than can be counted; at most {MAX_CELLS} are begun"
                ))
            }
        }
        // Validates every point now, since an invalid one would otherwise end a long run at its last cells.
        for point in experiment.points() {
            experiment.scenario(&point)?;
        }
        Ok(experiment)
    }

    /// Returns the file's scenario without any value of the sweep.
    ///
    /// # Errors
    ///
    /// Returns an error if the scenario is invalid.
    pub fn base_scenario(&self) -> Result<Scenario, String> {
        self.scenario(&BTreeMap::new())
    }

    /// Returns the seeds.
    pub fn seeds(&self) -> &[u64] {
        &self.seeds
    }

    /// Returns the request classes of the file's scenario.
    pub fn classes(&self) -> Vec<bellcroft_simulation::ClassSpec> {
        self.scenario.clone().try_into::<Scenario>().map(|scenario| scenario.classes).unwrap_or_default()
    }

    /// Returns the points of the sweep as value indices by key; the last key varies fastest.
    fn points(&self) -> Vec<BTreeMap<String, usize>> {
        let mut points = vec![BTreeMap::new()];
        for (key, values) in &self.sweep {
            let with_index = |point: &BTreeMap<String, usize>, index: usize| {
                let mut point = point.clone();
                point.insert(key.clone(), index);
                point
            };
            points = points
                .iter()
                .flat_map(|p| (0..values.len()).map(|n| with_index(p, n)).collect::<Vec<_>>())
                .collect();
        }
        points
    }

    fn value(&self, key: &str, index: usize) -> &toml::Value {
        let values = self.sweep.iter().find(|(own, _)| own == key).map(|(_, values)| &values[index]);
        values.unwrap_or_else(|| unreachable!("{key} is swept"))
    }

    fn scenario(&self, point: &BTreeMap<String, usize>) -> Result<Scenario, String> {
        let mut table = self.scenario.clone();
        for (key, index) in point {
            let value = self.value(key, *index);
            let error = |reason: &str| format!("sweep: {key} = {value}: {reason}");
            set(&mut table, key, value.clone()).map_err(|reason| error(&reason))?;
        }
        let scenario: Scenario = table
            .try_into()
            .map_err(|e: toml::de::Error| format!("sweep {point:?}: {}", with_suggestion(e.message())))?;
        scenario.check().map_err(|e| format!("sweep {point:?}: {e}"))?;
        Ok(scenario)
    }

    /// Returns all cells with their scenarios, in a deterministic order.
    pub fn cells(&self) -> Vec<(Cell, Scenario)> {
        let mut cells = Vec::new();
        for point in self.points() {
            let Ok(scenario) = self.scenario(&point) else { continue };
            let values = point.iter().map(|(key, index)| (key.clone(), self.value(key, *index).to_string()));
            let values: BTreeMap<String, String> = values.collect();
            for policy in &self.policies {
                for seed in &self.seeds {
                    let cell = Cell { point: values.clone(), policy: *policy, seed: *seed };
                    cells.push((cell, scenario.clone()));
                }
            }
        }
        cells
    }
}

/// Sets a dotted key, such as `arrivals.rate` or `servers.0.count`. Its parent must exist.
fn set(table: &mut toml::Table, key: &str, value: toml::Value) -> Result<(), String> {
    let mut parts = key.split('.').peekable();
    let first = parts.next().unwrap_or_default();
    if parts.peek().is_none() {
        // The key itself may be absent, so that defaults can be swept. Unknown keys are rejected on deserialization.
        table.insert(first.to_owned(), value);
        return Ok(());
    }
    let mut node = table.get_mut(first).ok_or_else(|| format!("there is no {first}"))?;
    while let Some(part) = parts.next() {
        let last = parts.peek().is_none();
        node = match node {
            toml::Value::Table(table) if last => {
                table.insert(part.to_owned(), value);
                return Ok(());
            }
            toml::Value::Table(table) => table.get_mut(part),
            toml::Value::Array(list) => part.parse::<usize>().ok().and_then(|index| list.get_mut(index)),
            _ => None,
        }
        .ok_or_else(|| format!("there is no {part}"))?;
        if last {
            *node = value;
            return Ok(());
        }
    }
    Ok(())
}
