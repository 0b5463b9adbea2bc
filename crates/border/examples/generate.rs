//! Regenerates the Rust types of the external interfaces from their JSON schemas:
//! `cargo run -p catkin-border --example generate`.

use std::{
    error::Error,
    fs,
    path::{Path, PathBuf},
};

fn main() -> Result<(), Box<dyn Error>> {
    for (target, text) in generated_files()? {
        fs::write(target, text)?;
    }
    Ok(())
}

/// Returns the path and the contents of each generated file, for this crate and for `platform`.
///
/// # Errors
///
/// If a schema cannot be read or is not a valid JSON schema.
pub fn generated_files() -> Result<Vec<(PathBuf, String)>, Box<dyn Error>> {
    let border = Path::new(env!("CARGO_MANIFEST_DIR"));
    let platform = border.join("../../platform");
    let mut files = generate_crate(border)?;
    files.extend(generate_crate(&platform)?);
    Ok(files)
}

/// Generates the files of the crate at `root` from the schemas in its `schema` directory.
fn generate_crate(root: &Path) -> Result<Vec<(PathBuf, String)>, Box<dyn Error>> {
    let mut schemas = fs::read_dir(root.join("schema"))?
        .map(|entry| entry.map(|entry| entry.path()))
        .collect::<Result<Vec<_>, _>>()?;
    schemas.sort();
    schemas.iter().map(|path| generate(root, path)).collect()
}

fn generate(root: &Path, schema: &Path) -> Result<(PathBuf, String), Box<dyn Error>> {
    let mut types = typify::TypeSpace::default();
    types.add_root_schema(serde_json::from_str(&fs::read_to_string(schema)?)?)?;
    let file = syn::parse2::<syn::File>(types.to_stream())?;
    let name = schema.file_stem().ok_or("schema path has no file name")?;
    let target = root.join("src/generated").join(name).with_extension("rs");
    Ok((target, prettyplease::unparse(&file)))
}
