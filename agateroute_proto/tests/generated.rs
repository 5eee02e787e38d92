//! Checks that the committed code equals the code generated from `peers.proto`.

use std::path::Path;
use std::{env, fs};

#[test]
fn code_current() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = env::temp_dir().join(format!("agateroute-proto-{}", std::process::id()));
    fs::create_dir_all(&out).expect("a directory for the generated code");
    let files = protox::compile([root.join("proto/peers.proto")], [root.join("proto")])
        .expect("peers.proto compiles");
    tonic_prost_build::configure()
        .out_dir(&out)
        .client_mod_attribute(".", "#[cfg(feature = \"service\")]")
        .server_mod_attribute(".", "#[cfg(feature = \"service\")]")
        .compile_fds(files)
        .expect("code is generated");
    let fresh = fs::read_to_string(out.join("agateroute.peers.v1.rs")).expect("generated code");
    fs::remove_dir_all(&out).expect("the directory is removed");
    let path = root.join("src/peers.rs");
    if env::var_os("AGATEROUTE_REGENERATE").is_some() {
        fs::write(&path, &fresh).expect("peers.rs is written");
    }
    let committed = fs::read_to_string(&path).expect("peers.rs");
    assert!(committed == fresh, "src/peers.rs is not current: run with AGATEROUTE_REGENERATE=1");
}
