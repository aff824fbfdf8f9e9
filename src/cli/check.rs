//! `check`: reports every fault in a settings or targets file.

use std::path::Path;

use serde_json::json;

use crate::codes::Code;
use crate::settings::{
    AgentSettings, Document, EntrySettings, Faults, FromIni, OperatorSettings, TargetsFile,
};

use super::args::CheckArgs;
use super::{Exit, Failure, Output};

/// Kind of a file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FileKind {
    Entry,
    Agent,
    Operator,
    Targets,
}

/// Sections that occur only in a targets file.
const TARGET_SECTIONS: &[&str] = &["site", "class", "customer", "model", "service", "zones"];

pub(super) fn run(args: &CheckArgs, out: &mut Output) -> Result<Exit, Failure> {
    let kind = detect_kind(&args.file)?;
    match kind {
        FileKind::Entry => EntrySettings::load(&args.file).map(drop),
        FileKind::Agent => AgentSettings::load(&args.file).map(drop),
        FileKind::Operator => OperatorSettings::load(&args.file).map(drop),
        FileKind::Targets => TargetsFile::load(&args.file).map(drop),
    }?;
    let file = args.file.display();
    out.print_line(format!("{file}: valid ({})", kind.description()));
    out.print_json(&json!({"file": file.to_string(), "kind": kind.description(), "faults": []}));
    Ok(Exit::Done)
}

/// Determines the kind of a file from its sections.
fn detect_kind(path: &Path) -> Result<FileKind, Faults> {
    let file = path.display().to_string();
    let mut faults = Faults::new(&file);
    let text = std::fs::read_to_string(path).map_err(|e| {
        faults.push(0, "", Code::FileUnreadable, &e.to_string());
        faults.clone()
    })?;
    let document = Document::parse(&text, &mut faults);
    Ok(if TARGET_SECTIONS.iter().any(|kind| document.has(kind)) {
        FileKind::Targets
    } else if document.has("endpoint") {
        FileKind::Agent
    } else if document.has("process") || document.has("listen") {
        FileKind::Entry
    } else {
        FileKind::Operator
    })
}

impl FileKind {
    fn description(self) -> &'static str {
        match self {
            Self::Entry => "settings of an entry",
            Self::Agent => "settings of an agent",
            Self::Operator => "settings of an operator's commands",
            Self::Targets => "targets",
        }
    }
}
