use std::env;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// A process that this one started and that ends with it.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// The address that the process listens on.
    pub address: SocketAddr,
}

impl Process {
    /// Starts a program of this workspace and waits until it listens.
    pub fn start(program: &str, args: &[&str]) -> io::Result<Process> {
        let mut child = Command::new(binary(program)?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let stdout = child.stdout.take().ok_or_else(|| io::Error::other("no stdout"))?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let address = line.trim().strip_prefix("listening ").and_then(|a| a.parse().ok());
        let address = address.ok_or_else(|| io::Error::other(format!("{program}: {line:?}")))?;
        Ok(Process { child, address })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name, such as `STOP`.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let sent = Command::new("kill").args(["-s", name, &self.id().to_string()]).status()?;
        if sent.success() { Ok(()) } else { Err(io::Error::other(format!("kill -s {name}"))) }
    }

    /// Waits until the process has ended; returns whether it ended well.
    pub fn wait(&mut self) -> io::Result<bool> {
        self.child.wait().map(|status| status.success())
    }

    /// Kills the process without notice.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(|_| ())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.kill();
    }
}

/// Returns the path of a program beside the one that runs.
pub fn binary(program: &str) -> io::Result<PathBuf> {
    let mut dir = env::current_exe()?;
    dir.pop();
    if dir.ends_with("deps") || dir.ends_with("examples") {
        dir.pop();
    }
    Ok(dir.join(program))
}

/// Builds every program of the workspace with the profile of the one that runs.
pub fn build_programs() -> io::Result<()> {
    let cargo = env::var("CARGO").unwrap_or_else(|_| String::from("cargo"));
    let mut build = Command::new(cargo);
    build.args(["build", "--workspace", "--bins", "--quiet"]);
    if !cfg!(debug_assertions) {
        build.arg("--release");
    }
    let status = build.status()?;
    if status.success() { Ok(()) } else { Err(io::Error::other("cargo build failed")) }
}
