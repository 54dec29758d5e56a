//! Scenes of the second review: the system's own hosts between small stand-ins.
//! `scene NAME RECORD`; TROUBLE=0 plays the scene without its disruption.

mod deadly;
mod forgotten;
mod growth;
mod hosts;
mod http;
mod json;
mod record;
mod store;
mod worker;

use std::path::PathBuf;
use std::sync::Arc;

use record::Record;

/// How a scene ended; the exit code of the script.
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun(&'static str),
}

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let (name, path) = (words[1].as_str(), words[2].as_str());
    let record = Arc::new(Record::create(path));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder: PathBuf =
        std::env::temp_dir().join(format!("chestnutspur-scene-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let outcome = match name {
        "deadly" => deadly::play(&record, has_trouble, &folder),
        "growth" => growth::play(&record, has_trouble, &folder),
        "forgotten" => forgotten::play(&record, has_trouble, &folder),
        _ => Outcome::CouldNotRun("no such scene"),
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    let code = match outcome {
        Outcome::Held => 0,
        Outcome::Broken => 1,
        Outcome::CouldNotRun(why) => {
            record.line(why);
            2
        }
    };
    record.line(&format!("exit {code}"));
    std::process::exit(code);
}
