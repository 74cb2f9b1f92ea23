use std::env;
use std::fs;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A child process, killed when this value is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// The address that the process printed at its start.
    pub address: SocketAddr,
}

impl Process {
    /// Starts a program of this workspace and waits until it prints `listening ADDRESS`.
    pub fn start(program: &str, args: &[&str]) -> io::Result<Process> {
        let mut child = Command::new(binary(program)?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let stdout = child
            .stdout
            .take()
            .ok_or_else(|| io::Error::other("the child process has no stdout"))?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let address = line.trim().strip_prefix("listening ").and_then(|a| a.parse().ok());
        let address = address.ok_or_else(|| {
            io::Error::other(format!(
                "{program} did not print its address: expected \"listening ADDRESS\", got {line:?}"
            ))
        })?;
        Ok(Process { child, address })
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name, such as `STOP`.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let sent = Command::new("kill").args(["-s", name, &self.id().to_string()]).status()?;
        if sent.success() {
            Ok(())
        } else {
            Err(io::Error::other(format!("kill -s {name} {} failed: {sent}", self.id())))
        }
    }

    /// Waits until the process exits; true if its exit status is 0.
    pub fn wait(&mut self) -> io::Result<bool> {
        self.child.wait().map(|status| status.success())
    }

    /// Kills the process with `SIGKILL` and waits for its exit.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(|_| ())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.kill();
    }
}

/// The path of a program in the target folder of the running executable.
pub fn binary(program: &str) -> io::Result<PathBuf> {
    let mut dir = env::current_exe()?;
    dir.pop();
    if dir.ends_with("deps") || dir.ends_with("examples") {
        dir.pop();
    }
    Ok(dir.join(program))
}

/// Builds every program of the workspace with the profile of the running executable.
pub fn build_programs() -> io::Result<()> {
    let cargo = env::var("CARGO").unwrap_or_else(|_| String::from("cargo"));
    let mut build = Command::new(cargo);
    build.args(["build", "--workspace", "--bins", "--quiet"]);
    if !cfg!(debug_assertions) {
        build.arg("--release");
    }
    let status = build.status()?;
    if status.success() {
        Ok(())
    } else {
        Err(io::Error::other(format!("cargo build of the workspace failed: {status}")))
    }
}

/// Builds the gateway of an earlier commit of this repository and returns its program. It is kept in
/// the target folder.
pub fn earlier_gateway(commit: &str) -> io::Result<PathBuf> {
    let target = binary("")?.join("../earlier").join(commit);
    let program = target.join("debug/chervilspur-gateway");
    if program.exists() {
        return Ok(program);
    }
    let sources = target.join("sources");
    fs::create_dir_all(&sources)?;
    extract(commit, &sources)?;
    let cargo = env::var("CARGO").unwrap_or_else(|_| String::from("cargo"));
    let mut build = Command::new(cargo);
    build.args(["build", "--locked", "--quiet", "--bin", "chervilspur-gateway", "--target-dir"]);
    // The variables of the running build would apply to the other one as well.
    let inherited = env::vars().map(|(name, _)| name).filter(|name| name.starts_with("CARGO_"));
    inherited.filter(|name| name != "CARGO_HOME").for_each(|name| {
        build.env_remove(name);
    });
    run(build.arg(&target).current_dir(&sources), "cargo build of an earlier commit")?;
    Ok(program)
}

/// Writes the files of a commit into a folder.
fn extract(commit: &str, folder: &Path) -> io::Result<()> {
    let mut archive =
        Command::new("git").args(["archive", commit]).stdout(Stdio::piped()).spawn()?;
    let files = archive.stdout.take().ok_or_else(|| io::Error::other("git has no stdout"))?;
    run(Command::new("tar").arg("-x").current_dir(folder).stdin(files), "tar")?;
    match archive.wait()?.success() {
        true => Ok(()),
        false => {
            Err(io::Error::other(format!("git archive {commit} failed; is it in the history?")))
        }
    }
}

fn run(command: &mut Command, what: &str) -> io::Result<()> {
    match command.status()? {
        status if status.success() => Ok(()),
        status => Err(io::Error::other(format!("{what} failed: {status}"))),
    }
}
