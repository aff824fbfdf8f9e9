//! The committed generated files are up to date with the schema.

use std::fs;
use std::path::Path;

#[test]
fn committed_files_match_the_schema() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    for output in limpetloom_codegen::generate(&root).unwrap() {
        let committed = fs::read_to_string(root.join(output.path)).unwrap();
        assert_eq!(committed, output.text, "{} is out of date", output.path);
    }
}
