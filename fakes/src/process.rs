use std::env;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
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
