//! Stored cells of experiments. With fixed seeds a scenario has the same outcome to the last digit and the same stored form,
//! and a cell that was stored earlier is read.

use expect_test::expect_file;
use experiments::{run, Experiment, Folder};
use std::path::{Path, PathBuf};

/// Three scenarios: no fault, a fault with clients that retry, and discovery and peers in use.
const SCENARIOS: [(&str, &str); 3] = [
    ("calm", include_str!("golden/calm.toml")),
    ("brown-out", include_str!("golden/brown-out.toml")),
    ("rolling-deploy", include_str!("golden/rolling-deploy.toml")),
];

struct Temporary(PathBuf);

impl Temporary {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("bellcroft-golden-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Temporary(path)
    }
}

impl Drop for Temporary {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn cells(folder: &Path) -> Vec<(String, String)> {
    let entries = std::fs::read_dir(folder.join("cells")).expect("cells").flatten();
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
        let temporary = Temporary::new(name);
        let folder = Folder::create(&temporary.0, &experiment).expect("a folder");
        run(&experiment, &folder, false).expect("it is played");
        let stored: String =
            cells(&temporary.0).into_iter().map(|(file, text)| format!("{file}\n{text}\n")).collect();
        expect_file![format!("golden/{name}.cells")].assert_eq(&stored);
    }
}

#[test]
fn cells_stored_earlier_are_read() {
    for (name, text) in SCENARIOS {
        let experiment = Experiment::parse(text).expect("an experiment");
        let temporary = Temporary::new(&format!("read-{name}"));
        let folder = Folder::create(&temporary.0, &experiment).expect("a folder");
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/golden/{name}.cells"));
        let golden = std::fs::read_to_string(path).expect("a golden file");
        let lines: Vec<&str> = golden.lines().collect();
        for cell in lines.chunks(3) {
            std::fs::write(temporary.0.join("cells").join(cell[0]), format!("{}\n{}", cell[1], cell[2]))
                .expect("a cell");
        }
        let (read, broken) = folder.all().expect("cells");
        assert_eq!((read.len(), broken), (lines.len() / 3, 0), "{name}");
        assert_eq!(read.len(), experiment.cells().len(), "{name}");
    }
}
