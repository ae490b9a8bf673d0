//! A fleet of the real program under its real supervisor.

use crate::folder::Folder;
use crate::http::LONG;
use crate::process::program;
use crate::unshared_host;
use crate::world::World;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Output, Stdio};
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::time::Instant;

/// A fleet's files, and its supervisor while one runs.
pub struct Fleet {
    /// Where all of it is.
    pub folder: Folder,
    /// `fleet.toml`.
    pub file: PathBuf,
    /// The instances' names.
    pub names: Vec<String>,
    /// The supervisor that was started last.
    pub supervisor: Option<Child>,
}

/// The real program with these arguments and nothing of the environment but the search path.
pub fn bellcroft<S: AsRef<std::ffi::OsStr>>(args: impl IntoIterator<Item = S>) -> Command {
    let mut command = Command::from(program());
    command.args(args).env_clear().env("PATH", "/usr/bin:/bin").kill_on_drop(true);
    command.stdin(Stdio::null());
    command
}

impl Fleet {
    /// Writes the files of a fleet in this world, on ports of the kernel's choice, which stay free while a socket is closed; `more` goes into `[fleet]` and
    /// behind it.
    pub fn new(world: &World, instances: usize, more: &str) -> Self {
        let folder = Folder::new();
        let names: Vec<String> = (0..instances).map(|n| format!("desk-{n}")).collect();
        for name in &names {
            folder.write(&format!("{name}.json"), &world.config(name).to_string());
        }
        folder.write("agent.toml", "[daemon]\nstatus_every = \"500ms\"\n");
        let host = unshared_host();
        let mut text = format!("[fleet]\nstate = \"state\"\n{more}\n");
        for name in &names {
            text.push_str(&format!(
                "[[instance]]\nname = \"{name}\"\nlisten = \"{host}:0\"\nconfig = \"{name}.json\"\n\
                 operator = \"agent.toml\"\n"
            ));
        }
        let file = folder.write("fleet.toml", &text);
        Fleet { folder, file, names, supervisor: None }
    }

    /// The state directory of an instance.
    pub fn dir(&self, name: &str) -> PathBuf {
        self.folder.path().join("state/instances").join(name)
    }

    /// Starts a supervisor; its log goes into the folder.
    pub fn run(&mut self) {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.folder.path().join("log"));
        let log = log.expect("a log");
        let mut command = bellcroft([Path::new("fleet"), Path::new("run"), &self.file]);
        command.stdout(Stdio::null()).stderr(log);
        self.supervisor = Some(command.spawn().expect("the supervisor starts"));
    }

    /// Runs `bellcroft fleet WORD FILE ...` to its end.
    pub async fn command(&self, word: &str, more: &[&str]) -> Output {
        let mut command = bellcroft([Path::new("fleet"), Path::new(word), &self.file]);
        let done = tokio::time::timeout(LONG * 4, command.args(more).output()).await;
        done.expect("the command ends").expect("its output")
    }

    /// The supervisor's status, if one answers.
    pub async fn status(&self) -> Option<Value> {
        let output = self.command("status", &["--json"]).await;
        if output.status.success() {
            serde_json::from_slice(&output.stdout).ok()
        } else {
            None
        }
    }

    /// Waits until the status is such.
    pub async fn until(&self, what: &str, wanted: impl Fn(&Value) -> bool) -> Value {
        let begin = Instant::now();
        let mut last = None;
        while begin.elapsed() < LONG * 2 {
            last = self.status().await;
            if let Some(status) = last.as_ref().filter(|status| wanted(status)) {
                return status.clone();
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("{what} did not happen; the last status was {last:?}; the log:\n{}", self.log());
    }

    /// Waits until all instances are ready, and gives their addresses.
    pub async fn ready(&self) -> Vec<SocketAddr> {
        let status = self.until("readiness of all", |s| phases(s).iter().all(|phase| phase == "ready")).await;
        let listen = |instance: &Value| instance["listen"].as_str()?.parse().ok();
        instances(&status).iter().map(|instance| listen(instance).expect("an address")).collect()
    }

    /// The status that an instance itself tells; none if it does not run.
    pub async fn instance(&self, name: &str) -> Option<Value> {
        let dir = self.dir(name);
        let output =
            bellcroft([Path::new("status"), Path::new("--json"), Path::new("--state"), &dir]).output();
        let output = output.await.expect("its output");
        if output.status.success() {
            serde_json::from_slice(&output.stdout).ok()
        } else {
            None
        }
    }

    /// The processes of the instances that run, by the instances' own word.
    pub async fn pids(&self) -> BTreeMap<String, u32> {
        let mut pids = BTreeMap::new();
        for name in &self.names {
            if let Some(pid) = self.instance(name).await.and_then(|status| status["pid"].as_u64()) {
                pids.insert(name.clone(), pid as u32);
            }
        }
        pids
    }

    /// The totals that each process of an instance told in its log at its end.
    pub fn totals(&self, name: &str) -> Vec<Value> {
        let text = std::fs::read_to_string(self.dir(name).join("log")).unwrap_or_default();
        let told = text
            .lines()
            .filter_map(|line| line.split_once("final request totals")?.1.split_once(" requests="))
            .map(|(_, told)| told);
        told.map(|told| serde_json::from_str(told).expect("totals are JSON")).collect()
    }

    /// The supervisors' log.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("log")).unwrap_or_default()
    }
}

/// The instances in a fleet's status.
pub fn instances(status: &Value) -> Vec<Value> {
    status["instances"].as_array().cloned().unwrap_or_default()
}

/// Their phases.
pub fn phases(status: &Value) -> Vec<String> {
    instances(status).iter().map(|i| i["phase"].as_str().unwrap_or_default().to_owned()).collect()
}

impl Drop for Fleet {
    /// A test that has failed leaves no process behind: each one's number is told by itself, and only what answers is
    /// ended.
    fn drop(&mut self) {
        drop(self.supervisor.take());
        for name in &self.names {
            let dir = self.dir(name);
            let told =
                program().args(["status", "--json", "--state"]).arg(&dir).stderr(Stdio::null()).output();
            let Ok(told) = told else { continue };
            let status: Option<Value> = serde_json::from_slice(&told.stdout).ok();
            if let Some(pid) = status.filter(|_| told.status.success()).and_then(|s| s["pid"].as_u64()) {
                let _ = std::process::Command::new("kill").args(["-KILL", &pid.to_string()]).status();
            }
        }
    }
}
