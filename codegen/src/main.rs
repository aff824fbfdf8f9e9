//! Writes the files that are generated from `schema/` into the repository.

use std::fs;
use std::path::Path;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    for output in limpetloom_codegen::generate(&root)? {
        fs::write(root.join(output.path), output.text)?;
    }
    Ok(())
}
