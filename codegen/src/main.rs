//! Writes the committed code and pages that are made from `schema/`.

use std::fs;
use std::path::Path;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    for output in limpetloom_codegen::outputs(&root)? {
        fs::write(root.join(output.path), output.text)?;
    }
    Ok(())
}
