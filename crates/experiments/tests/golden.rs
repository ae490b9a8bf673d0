//! Golden files of stored cells. They guard against changes of the simulation's outcome with fixed seeds, and of the
//! storage format.

use expect_test::expect_file;
use experiments::{run, Experiment, ResultsDir};
use std::path::{Path, PathBuf};

/// Scenarios without faults, with faults and client retries, and with discovery and peers.
const SCENARIOS: [(&str, &str); 3] = [
    ("calm", include_str!("golden/calm.toml")),
    ("brown-out", include_str!("golden/brown-out.toml")),
    ("rolling-deploy", include_str!("golden/rolling-deploy.toml")),
];

/// A temporary directory, deleted on drop.
struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("bellcroft-golden-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the directory should be creatable");
        TempDir(path)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn cell_files(dir: &Path) -> Vec<(String, String)> {
    let entries = std::fs::read_dir(dir.join("cells")).expect("cells").flatten();
    let mut cells: Vec<(String, String)> = entries
        .map(|entry| {
            let name = entry.file_name().to_string_lossy().into_owned();
            (name, std::fs::read_to_string(entry.path()).expect("text"))
        })
        .collect();
    cells.sort();
    cells
}

#[test]
fn stored_cells_match_golden_files() {
    for (name, text) in SCENARIOS {
        let experiment = Experiment::parse(text).expect("an experiment");
        let temp = TempDir::new(name);
        let results = ResultsDir::create(&temp.0, &experiment).expect("the directory should be creatable");
        run(&experiment, &results, false).expect("the run should succeed");
        let stored: String =
            cell_files(&temp.0).into_iter().map(|(file, text)| format!("{file}\n{text}\n")).collect();
        expect_file![format!("golden/{name}.cells")].assert_eq(&stored);
    }
}

#[test]
fn golden_cells_can_be_loaded() {
    for (name, text) in SCENARIOS {
        let experiment = Experiment::parse(text).expect("an experiment");
        let temp = TempDir::new(&format!("read-{name}"));
        let results = ResultsDir::create(&temp.0, &experiment).expect("the directory should be creatable");
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/golden/{name}.cells"));
        let golden = std::fs::read_to_string(path).expect("a golden file");
        let lines: Vec<&str> = golden.lines().collect();
        for cell in lines.chunks(3) {
            std::fs::write(temp.0.join("cells").join(cell[0]), format!("{}\n{}", cell[1], cell[2]))
                .expect("a cell");
        }
        let (read, damaged) = results.load_all().expect("the results should be readable");
        assert_eq!((read.len(), damaged), (lines.len() / 3, 0), "{name}");
        assert_eq!(read.len(), experiment.cells().len(), "{name}");
    }
}
