//! Types of values in a settings file: their syntax and the Rust values that they are parsed into.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time;

use crate::types::Milliwatts;

/// Reason for which a value is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ValueError {
    /// The unit is missing or unknown for the type.
    Unit,
    /// The syntax is wrong.
    Format,
    /// The value is out of range, or not a whole number of the smallest unit.
    Range,
}

/// Type of a value in a settings file: its syntax and the Rust type that it is parsed into.
pub trait ValueType {
    /// Parsed value.
    type Value: PartialOrd;
    /// Description of valid text, for fault messages.
    const EXPECTED: &'static str;

    /// Parses text without surrounding whitespace.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the text is not valid for this type.
    fn parse(text: &str) -> Result<Self::Value, ValueError>;
}

/// Declares a type for whole numbers without a unit.
macro_rules! whole_number {
    ($(#[$doc:meta])* $name:ident, $value:ty, $expected:literal) => {
        $(#[$doc])*
        #[derive(Debug)]
        pub struct $name;

        impl ValueType for $name {
            type Value = $value;
            const EXPECTED: &'static str = $expected;

            fn parse(text: &str) -> Result<$value, ValueError> {
                let number: u128 = parse_as(text)?;
                number.try_into().map_err(|_| ValueError::Range)
            }
        }
    };
}

whole_number!(
    /// Number of items.
    Count, u32, "a whole number"
);
whole_number!(
    /// Position in an order, such as a priority.
    Rank, u8, "a whole number from 0 to 255"
);
whole_number!(
    /// Unsigned 64-bit integer.
    Integer, u64, "a whole number"
);

/// Declares a type for decimal numbers with a unit, parsed into a count of the smallest unit.
macro_rules! number_with_unit {
    ($(#[$doc:meta])* $name:ident, $expected:literal, [$($unit:literal = $factor:literal),+]) => {
        $(#[$doc])*
        #[derive(Debug)]
        pub struct $name;

        impl ValueType for $name {
            type Value = u64;
            const EXPECTED: &'static str = $expected;

            fn parse(text: &str) -> Result<u64, ValueError> {
                parse_with_unit(text, &[$(($unit, $factor)),+])
            }
        }
    };
}

number_with_unit!(
    /// Size in bytes.
    Size, "a size in B, kB, MB, GB or TB",
    ["B" = 1, "kB" = 1_000, "MB" = 1_000_000, "GB" = 1_000_000_000, "TB" = 1_000_000_000_000]
);
number_with_unit!(
    /// Rate in bytes per second.
    Rate, "a rate in B/s, kB/s, MB/s or GB/s",
    ["B/s" = 1, "kB/s" = 1_000, "MB/s" = 1_000_000, "GB/s" = 1_000_000_000]
);
number_with_unit!(
    /// Power in milliwatts.
    Power, "power in mW, W, kW, MW or GW",
    ["mW" = 1, "W" = 1_000, "kW" = 1_000_000, "MW" = 1_000_000_000, "GW" = 1_000_000_000_000]
);
number_with_unit!(
    /// Energy in millijoules.
    Energy, "energy in mJ, J or kJ",
    ["mJ" = 1, "J" = 1_000, "kJ" = 1_000_000]
);

/// Duration in whole microseconds.
#[derive(Debug)]
pub struct Duration;

impl ValueType for Duration {
    type Value = time::Duration;
    const EXPECTED: &'static str = "a duration in us, ms, s, min or h";

    fn parse(text: &str) -> Result<time::Duration, ValueError> {
        const UNITS: &[(&str, u64)] = &[
            ("us", 1),
            ("ms", 1_000),
            ("s", 1_000_000),
            ("min", 60_000_000),
            ("h", 3_600_000_000),
        ];
        parse_with_unit(text, UNITS).map(time::Duration::from_micros)
    }
}

/// Text that is not empty, such as a name.
#[derive(Debug)]
pub struct Text;

impl ValueType for Text {
    type Value = Arc<str>;
    const EXPECTED: &'static str = "text";

    fn parse(text: &str) -> Result<Arc<str>, ValueError> {
        if text.is_empty() {
            return Err(ValueError::Format);
        }
        Ok(text.into())
    }
}

/// List of names, which may be empty.
#[derive(Debug)]
pub struct List;

impl ValueType for List {
    type Value = Vec<Arc<str>>;
    const EXPECTED: &'static str = "names, separated by commas";

    fn parse(text: &str) -> Result<Vec<Arc<str>>, ValueError> {
        if text.is_empty() {
            return Ok(Vec::new());
        }
        text.split(',')
            .map(|name| Text::parse(name.trim()))
            .collect()
    }
}

/// Boolean, written as `yes` or `no`.
#[derive(Debug)]
pub struct Boolean;

impl ValueType for Boolean {
    type Value = bool;
    const EXPECTED: &'static str = "yes or no";

    fn parse(text: &str) -> Result<bool, ValueError> {
        match text {
            "yes" => Ok(true),
            "no" => Ok(false),
            _ => Err(ValueError::Format),
        }
    }
}

/// Socket address.
#[derive(Debug)]
pub struct Address;

impl ValueType for Address {
    type Value = SocketAddr;
    const EXPECTED: &'static str = "IP:PORT";

    fn parse(text: &str) -> Result<SocketAddr, ValueError> {
        parse_as(text)
    }
}

/// Address of an HTTP service, written as a URL without a path.
#[derive(Debug)]
pub struct Url;

impl ValueType for Url {
    type Value = SocketAddr;
    const EXPECTED: &'static str = "http://IP:PORT";

    fn parse(text: &str) -> Result<SocketAddr, ValueError> {
        let address = text.strip_prefix("http://").ok_or(ValueError::Format)?;
        Address::parse(address.trim_end_matches('/'))
    }
}

/// Secret of at least [`super::Secret::MIN_CHARS`] characters.
#[derive(Debug)]
pub struct Secret;

impl ValueType for Secret {
    type Value = super::Secret;
    // Repeats `Secret::MIN_CHARS`.
    const EXPECTED: &'static str = "text of 16 characters or more";

    fn parse(text: &str) -> Result<super::Secret, ValueError> {
        if text.chars().count() < super::Secret::MIN_CHARS {
            return Err(ValueError::Range);
        }
        Ok(super::Secret::new(text))
    }
}

fn parse_as<T: FromStr>(text: &str) -> Result<T, ValueError> {
    text.parse().map_err(|_| ValueError::Format)
}

/// Parses a decimal number with a unit into a count of the unit whose factor is 1.
fn parse_with_unit(text: &str, units: &[(&str, u64)]) -> Result<u64, ValueError> {
    let end = text
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(end);
    let unit = unit.trim_start();
    if number.is_empty() {
        return Err(ValueError::Format);
    }
    let (_, factor) = units
        .iter()
        .find(|(name, _)| *name == unit)
        .ok_or(ValueError::Unit)?;
    parse_scaled(number, *factor)
}

/// Parses the decimal `number` and multiplies it by `factor`. A result that is not a whole number
/// is out of range.
fn parse_scaled(number: &str, factor: u64) -> Result<u64, ValueError> {
    let (whole, fraction) = number.split_once('.').unwrap_or((number, ""));
    let digits: u64 = parse_as(&format!("{whole}{fraction}"))?;
    let scale = u32::try_from(fraction.len())
        .ok()
        .and_then(|places| 10_u64.checked_pow(places))
        .ok_or(ValueError::Range)?;
    let product = u128::from(digits) * u128::from(factor);
    if product % u128::from(scale) != 0 {
        return Err(ValueError::Range);
    }
    u64::try_from(product / u128::from(scale)).map_err(|_| ValueError::Range)
}

/// Formats a duration in the syntax of a settings file.
pub fn format_duration(duration: time::Duration) -> String {
    let micros = duration.as_micros();
    format_in_largest_unit(
        micros,
        &[
            ("h", 3_600_000_000),
            ("min", 60_000_000),
            ("s", 1_000_000),
            ("ms", 1_000),
        ],
        "us",
    )
}

/// Formats power in the syntax of a settings file.
pub fn format_power(power: Milliwatts) -> String {
    let units = [("MW", 1_000_000_000), ("kW", 1_000_000), ("W", 1_000)];
    format_in_largest_unit(power.into(), &units, "mW")
}

/// Formats a count of the smallest unit in the largest unit that leaves no fraction.
fn format_in_largest_unit(count: u128, units: &[(&str, u128)], smallest: &str) -> String {
    let unit = units
        .iter()
        .find(|(_, factor)| count != 0 && count.is_multiple_of(*factor));
    match unit {
        Some((name, factor)) => format!("{} {name}", count / factor),
        None => format!("{count} {smallest}"),
    }
}
