//! Compiles the schema of the operators' file with a compiler written in Rust, so that the build needs no `protoc`.

use std::path::PathBuf;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo::rerun-if-changed=proto/mothproxy.proto");
    let descriptors = protox::compile(["proto/mothproxy.proto"], ["proto"])?;
    let out_dir = PathBuf::from(std::env::var_os("OUT_DIR").ok_or("OUT_DIR is not set")?);
    std::fs::write(out_dir.join("mothproxy.desc"), prost::Message::encode_to_vec(&descriptors))?;
    Ok(())
}
