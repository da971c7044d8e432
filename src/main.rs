//! The dispatcher on real sockets: reads its configuration and serves until it is told to stop.
#![forbid(unsafe_code)]

use mothproxy::config::{Config, SseConfig};
use mothproxy::net::{NetError, Server};
use std::path::PathBuf;
use std::process::ExitCode;

const USAGE: &str = "usage: mothproxy [--sse FILE]
The environment variable GW_CONFIG names the configuration. FILE says where the SSE front listens
(deploy/sse.toml if it is not given).";

fn run() -> Result<(), NetError> {
    let mut sse = None;
    let mut args = std::env::args().skip(1);
    while let Some(arg) = args.next() {
        match (arg.as_str(), args.next()) {
            ("--sse", Some(file)) => sse = Some(PathBuf::from(file)),
            _ => {
                eprintln!("{USAGE}");
                std::process::exit(2);
            }
        }
    }
    let config = Config::load(|name| std::env::var(name).ok())?;
    let sse = SseConfig::load(&sse.clone().unwrap_or("deploy/sse.toml".into()), sse.is_some())?;
    let name = config.name.clone();
    let mut server = Server::open(config, sse, std::env::var_os("TMPDIR").map(PathBuf::from).as_deref())?;
    let (platform, sse, admin) = server.addresses();
    let shown = |at: Option<std::net::SocketAddr>| at.map_or("off".to_owned(), |at| at.to_string());
    eprintln!("serving: {name} on {}, SSE {}, control {}", shown(platform), shown(sse), shown(admin));
    server.serve()
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mothproxy: {error}");
            ExitCode::FAILURE
        }
    }
}
