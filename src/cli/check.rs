//! `check`: reports every fault of a file.

use std::path::Path;

use serde_json::json;

use crate::codes::Code;
use crate::settings::{
    AgentSettings, Document, EntrySettings, Faults, FromIni, OperatorSettings, TargetsFile,
};

use super::args::CheckArgs;
use super::{Exit, Failure, Output};

/// What a file declares.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FileKind {
    Entry,
    Agent,
    Operator,
    Targets,
}

const TARGET_SECTIONS: &[&str] = &["site", "class", "customer", "model", "service", "zones"];

pub(super) fn run(args: &CheckArgs, out: &mut Output) -> Result<Exit, Failure> {
    let kind = kind_of(&args.file)?;
    match kind {
        FileKind::Entry => EntrySettings::load(&args.file).map(drop),
        FileKind::Agent => AgentSettings::load(&args.file).map(drop),
        FileKind::Operator => OperatorSettings::load(&args.file).map(drop),
        FileKind::Targets => TargetsFile::load(&args.file).map(drop),
    }?;
    let file = args.file.display();
    out.line(format!("{file}: valid ({})", kind.name()));
    out.value(&json!({"file": file.to_string(), "kind": kind.name(), "faults": []}));
    Ok(Exit::Done)
}

/// Tells by its sections what a file declares.
fn kind_of(path: &Path) -> Result<FileKind, Faults> {
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
    fn name(self) -> &'static str {
        match self {
            Self::Entry => "settings of an entry",
            Self::Agent => "settings of an agent",
            Self::Operator => "settings of an operator's commands",
            Self::Targets => "targets",
        }
    }
}
