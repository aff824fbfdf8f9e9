//! Checks every settings block and runs every command shown in the documentation pages, against the
//! fake platform services.

use std::fs;
use std::path::Path;

use limpetloom::settings::{AgentSettings, EntrySettings, FromIni, OperatorSettings, TargetsFile};
use rstest::rstest;

use super::site::{Exit, Site};

/// Page whose targets file is used by pages that show none of their own.
const TARGETS_PAGE: &str = "docs/operate/targets.md";

fn page(path: &str) -> String {
    fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(path)).unwrap()
}

/// Contents of a page's fenced code blocks in the given language.
fn blocks(page: &str, language: &str) -> Vec<String> {
    let open = format!("```{language}\n");
    page.split(&open)
        .skip(1)
        .filter_map(|rest| rest.split_once("```"))
        .map(|(block, _)| block.to_owned())
        .collect()
}

fn check_settings(block: &str) {
    let faults = if block.contains("[site]") {
        TargetsFile::parse("block", block).err()
    } else if block.contains("[endpoint") {
        AgentSettings::parse("block", block).err()
    } else if block.contains("[process]") {
        EntrySettings::parse("block", block).err()
    } else {
        OperatorSettings::parse("block", block).err()
    };
    assert!(faults.is_none(), "{}\n{block}", faults.unwrap());
}

/// Arguments of a command line, and the exit code in its `# exit N` comment (0 if there is none).
fn parse_command(line: &str) -> (Vec<String>, u8) {
    let (words, exit) = line.split_once("# exit ").unwrap_or((line, "0"));
    let words = words.split_whitespace().skip(1).map(str::to_owned);
    (words.collect(), exit.trim().parse().unwrap())
}

/// Writes the files that the commands refer to, with the contents that the pages show.
fn write_files(site: &Site, text: &str) {
    let own = blocks(text, "ini");
    let install = blocks(&page("docs/operate/install.md"), "ini");
    let targets = own
        .iter()
        .find(|block| block.contains("[site]"))
        .cloned()
        .unwrap_or_else(|| blocks(&page(TARGETS_PAGE), "ini").remove(0));
    site.write("targets.ini", &targets);
    site.write("entry.ini", &install[0]);
    site.write("agent.ini", &install[1]);
}

#[rstest]
#[case::readme("README.md")]
#[case::commands("docs/operate/commands.md")]
#[case::install("docs/operate/install.md")]
#[case::targets(TARGETS_PAGE)]
#[case::status("docs/operate/status-and-dump.md")]
#[tokio::test]
async fn the_examples_of_a_page_work(#[case] path: &str) {
    let text = page(path);
    blocks(&text, "ini")
        .iter()
        .for_each(|block| check_settings(block));
    let site = Site::new(0).await;
    write_files(&site, &text);
    if !text.contains("limpetloom apply") {
        assert_eq!(site.run("apply TARGETS").await.0, Exit::Done);
    }
    for block in blocks(&text, "sh") {
        for line in block.lines() {
            let (words, expected) = parse_command(line);
            let exit = run(&site, &words).await;
            assert_eq!(exit as u8, expected, "{path}: {line}");
        }
    }
}

async fn run(site: &Site, words: &[String]) -> Exit {
    let in_folder = |word: &String| {
        let path = site.folder.join(word);
        if path.exists() {
            path.display().to_string()
        } else {
            word.clone()
        }
    };
    let mut words: Vec<String> = words.iter().map(in_folder).collect();
    let is_process = ["entry", "agent"].contains(&words[0].as_str());
    if is_process {
        // tests/processes.rs starts these processes; here their settings files are only checked.
        words[0] = "check".to_owned();
    }
    if words[0] == "dump" {
        words[1] = site.entry.addr().to_string();
    }
    if words[0] != "check" {
        let settings = site.folder.join("limpetloom.ini").display().to_string();
        words.extend(["--settings".to_owned(), settings]);
    }
    if words[0] != "dump" && !words.contains(&"--json".to_owned()) {
        words.push("--json".to_owned());
    }
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    site.run_words(&words).await.0
}
