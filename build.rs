//! Compiles the schema of the operators' file, with no compiler from outside.

use std::path::PathBuf;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo::rerun-if-changed=proto/mothproxy.proto");
    let set = protox::compile(["proto/mothproxy.proto"], ["proto"])?;
    let out = PathBuf::from(std::env::var_os("OUT_DIR").ok_or("no OUT_DIR")?);
    std::fs::write(out.join("mothproxy.desc"), prost::Message::encode_to_vec(&set))?;
    Ok(())
}
