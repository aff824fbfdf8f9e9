//! Generates the settings structs with their key tables and readers.

use std::error::Error;
use std::fmt::Write;

use super::{Choice, File, Key, Schema, Section};

pub(super) fn rust_source(schema: &Schema) -> Result<String, Box<dyn Error>> {
    let mut source = String::from(
        "use std::sync::Arc;\n\
         use super::value_type;\n\
         use super::value_type::{ValueType, ValueError};\n\
         use super::{Document, Faults, FromIni, Key, SectionView};\n",
    );
    for choice in &schema.enums {
        write_choice(&mut source, choice)?;
    }
    for section in &schema.sections {
        write_section(&mut source, section)?;
    }
    for file in &schema.files {
        write_file(&mut source, schema, file)?;
    }
    crate::format_source(&source)
}

fn write_choice(source: &mut String, choice: &Choice) -> std::fmt::Result {
    let Choice { name, doc, values } = choice;
    let mut variants = String::new();
    let mut arms = String::new();
    for value in values {
        let variant = pascal_case(&value.name);
        writeln!(variants, "/// {}\n{variant},", value.doc)?;
        writeln!(arms, "{:?} => Ok(Self::{variant}),", value.name)?;
    }
    let names: Vec<_> = values.iter().map(|value| &*value.name).collect();
    let expected = names.join(" or ");
    writeln!(
        source,
        "/// {doc}\n#[derive(Clone, Copy, Debug, Eq, PartialEq, PartialOrd)]\n\
         pub enum {name} {{ {variants} }}\n\
         impl ValueType for {name} {{\n\
         type Value = Self;\nconst EXPECTED: &'static str = {expected:?};\n\
         fn parse(text: &str) -> Result<Self, ValueError> {{\n\
         match text {{ {arms} _ => Err(ValueError::Format) }} }} }}"
    )
}

fn write_section(source: &mut String, section: &Section) -> Result<(), Box<dyn Error>> {
    let name = &section.name;
    let many = section.many.is_some();
    let mut fields = String::new();
    let mut table = String::new();
    let mut reads = String::new();
    let mut unwraps = String::new();
    if many {
        writeln!(
            fields,
            "/// Name in the section's header.\npub name: Arc<str>,"
        )?;
        writeln!(reads, "let name = section.name();")?;
        writeln!(unwraps, "name,")?;
    }
    for (i, key) in section.keys.iter().enumerate() {
        let field = &key.key;
        let value_type = type_path(&key.value_type);
        writeln!(fields, "/// {}\npub {field}: {},", key.doc, rust_type(key))?;
        writeln!(table, "{},", key_literal(key, &value_type))?;
        let method = if key.optional {
            "read_optional"
        } else {
            "read"
        };
        writeln!(
            reads,
            "let {field} = section.{method}::<{value_type}>(&Self::KEYS[{i}], faults);"
        )?;
        writeln!(unwraps, "{field}: {field}?,")?;
    }
    writeln!(
        source,
        "/// {doc}\n#[derive(Clone, Debug, PartialEq)]\npub struct {name} {{ {fields} }}\n\
         impl {name} {{\n/// Keys of the section.\npub const KEYS: &'static [Key] = &[{table}];\n\
         {constructor}\
         fn read(section: &SectionView<'_>, faults: &mut Faults) -> Option<Self> {{\n\
         section.report_unknown_keys(Self::KEYS, faults);\n{reads}Some(Self {{ {unwraps} }}) }} }}",
        doc = section.doc,
        constructor = constructor(section)?,
    )?;
    Ok(())
}

/// Returns a constructor that takes the required keys as arguments.
fn constructor(section: &Section) -> Result<String, std::fmt::Error> {
    let mut arguments = String::new();
    let mut values = String::new();
    if section.many.is_some() {
        arguments.push_str("name: Arc<str>,");
        values.push_str("name,");
    }
    for (i, key) in section.keys.iter().enumerate() {
        let field = &key.key;
        if key.is_required() {
            write!(arguments, "{field}: {},", rust_type(key))?;
            write!(values, "{field},")?;
        } else if key.optional {
            write!(values, "{field}: None,")?;
        } else {
            let value_type = type_path(&key.value_type);
            write!(
                values,
                "{field}: Self::KEYS[{i}].default_value::<{value_type}>(),"
            )?;
        }
    }
    Ok(format!(
        "/// Creates the section from its required keys; the other keys get their defaults.\n\
         #[allow(clippy::new_without_default)]\n\
         pub fn new({arguments}) -> Self {{ Self {{ {values} }} }}\n"
    ))
}

fn write_file(source: &mut String, schema: &Schema, file: &File) -> Result<(), Box<dyn Error>> {
    let File {
        name,
        doc,
        sections,
        ..
    } = file;
    let mut fields = String::new();
    let mut reads = String::new();
    let mut unwraps = String::new();
    for section in sections {
        let section = schema.section(section)?;
        let kind = &section.section;
        let struct_name = &section.name;
        match &section.many {
            Some(field) => {
                writeln!(
                    fields,
                    "/// {}\npub {field}: Vec<{struct_name}>,",
                    section.doc
                )?;
                writeln!(
                    reads,
                    "let {field} = document.read_named_sections({kind:?}, faults, {struct_name}::read);"
                )?;
                writeln!(unwraps, "{field}: {field}?,")?;
            }
            None => {
                writeln!(fields, "/// {}\npub {kind}: {struct_name},", section.doc)?;
                writeln!(
                    reads,
                    "let {kind} = document.read_unnamed_section({kind:?}, faults, {struct_name}::read);"
                )?;
                writeln!(unwraps, "{kind}: {kind}?,")?;
            }
        }
    }
    writeln!(
        source,
        "/// {doc}\n#[derive(Clone, Debug, PartialEq)]\npub struct {name} {{ {fields} }}\n\
         impl FromIni for {name} {{\n\
         const SECTIONS: &'static [&'static str] = &{sections:?};\n\
         fn read(document: &Document, faults: &mut Faults) -> Option<Self> {{\n\
         {reads}Some(Self {{ {unwraps} }}) }} }}"
    )?;
    Ok(())
}

fn key_literal(key: &Key, value_type: &str) -> String {
    format!(
        "Key {{ name: {:?}, expected: <{value_type} as ValueType>::EXPECTED, default: {:?}, min: {:?}, max: {:?} }}",
        key.key, key.default, key.min, key.max
    )
}

fn rust_type(key: &Key) -> String {
    let value = match key.value_type.as_str() {
        "text" => "Arc<str>".to_owned(),
        "integer" | "size" | "rate" => "u64".to_owned(),
        "power" => "crate::types::Milliwatts".to_owned(),
        "energy" => "crate::types::Millijoules".to_owned(),
        "count" => "u32".to_owned(),
        "rank" => "u8".to_owned(),
        "boolean" => "bool".to_owned(),
        "duration" => "std::time::Duration".to_owned(),
        "address" | "url" => "std::net::SocketAddr".to_owned(),
        "list" => "Vec<Arc<str>>".to_owned(),
        "secret" => "super::Secret".to_owned(),
        choice => choice.to_owned(),
    };
    if key.optional {
        format!("Option<{value}>")
    } else {
        value
    }
}

fn type_path(value_type: &str) -> String {
    if is_choice(value_type) {
        value_type.to_owned()
    } else {
        format!("value_type::{}", pascal_case(value_type))
    }
}

/// True for the enums of the schema, which are named like their Rust types; the names of built-in
/// types are in lower case.
fn is_choice(value_type: &str) -> bool {
    value_type.starts_with(char::is_uppercase)
}

fn pascal_case(name: &str) -> String {
    name.split('-').map(capitalize).collect()
}

fn capitalize(word: &str) -> String {
    let (first, rest) = word.split_at(1);
    first.to_uppercase() + rest
}
