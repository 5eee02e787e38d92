//! Stand-ins of the platform, replicas and clients for the cases of the second review.
//!
//! `standin-2 CASE RECORD` plays a case and writes its record. It exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run. With `TROUBLE=0` in the environment it does the same without the disruption.

mod client;
mod engine;
mod http;
mod late_return;
mod replica;
mod stale_list;
mod store;
mod system;

use std::io::Write;
use std::path::PathBuf;

/// The record of a case.
pub struct Record {
    file: std::fs::File,
}

impl Record {
    /// Writes a line.
    pub fn line(&mut self, text: impl AsRef<str>) {
        let _ = writeln!(self.file, "{}", text.as_ref());
        println!("{}", text.as_ref());
    }
}

/// A temporary folder that is removed at the end.
struct Folder(pub PathBuf);

impl Folder {
    fn new() -> Folder {
        let path = std::env::temp_dir().join(format!("agateroute-review-2-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(record)) = (args.next(), args.next()) else {
        eprintln!("usage: standin-2 CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let file = std::fs::File::create(record).expect("the record is written");
    let mut record = Record { file };
    let folder = Folder::new();
    // A case that can not run, for example since a port was taken meanwhile, is neither broken nor held.
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| match case.as_str() {
        "stale_list" => stale_list::play(trouble, &folder.0, &mut record),
        "late_return" => late_return::play(trouble, &folder.0, &mut record),
        _ => 2,
    }));
    let code = played.unwrap_or(2);
    record.line(format!("exit {code}"));
    drop(folder);
    std::process::exit(code);
}
