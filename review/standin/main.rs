//! Stand-ins of the platform, its servers and its clients for the cases of the review. The standard library only.

mod crashing_request;
mod cut_answer;
mod engine;
mod foreign_memory;
mod http;
mod json;
mod plain;
mod store;
mod world;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let temporary = std::env::temp_dir().join(format!("agateroute-review-{}", std::process::id()));
    let code = match args[1..] {
        ["plain", name, address, offset, crash] => {
            let crash = match crash {
                "before_head" => plain::Crash::BeforeHead,
                "after_head" => plain::Crash::AfterHead,
                _ => plain::Crash::Never,
            };
            plain::run(name, address, offset.parse().unwrap_or(0), crash);
            0
        }
        ["crashing_request", folder] => crashing_request::run(folder, &temporary, trouble),
        ["cut_answer", folder] => cut_answer::run(folder, &temporary, trouble),
        ["foreign_memory", folder] => foreign_memory::run(folder, &temporary, trouble),
        _ => 2,
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    std::process::exit(code);
}
