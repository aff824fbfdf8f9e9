//! Kinds of values: how each is written and what it becomes.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time;

use crate::types::Milliwatts;

/// Why a value was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ValueError {
    /// The unit is missing or not one of the kind's.
    Unit,
    /// The value does not have the expected form.
    Format,
    /// The value is outside what the kind can hold.
    Range,
}

/// A kind of value.
pub trait ValueType {
    /// What the text becomes.
    type Value: PartialOrd;
    /// What the text looks like.
    const EXPECTED: &'static str;

    /// Parses trimmed text.
    ///
    /// # Errors
    ///
    /// Says why the text is not of this kind.
    fn parse(text: &str) -> Result<Self::Value, ValueError>;
}

/// Declares a kind whose text is a number of its own type.
macro_rules! plain_number {
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

plain_number!(
    /// A number of things.
    Count, u32, "a whole number"
);
plain_number!(
    /// A rank.
    Rank, u8, "a whole number from 0 to 255"
);
plain_number!(
    /// A 64-bit number.
    Integer, u64, "a whole number"
);

/// Declares a kind whose text is a number and a unit, and whose value counts the smallest unit.
macro_rules! measured {
    ($(#[$doc:meta])* $name:ident, $expected:literal, [$($unit:literal = $factor:literal),+]) => {
        $(#[$doc])*
        #[derive(Debug)]
        pub struct $name;

        impl ValueType for $name {
            type Value = u64;
            const EXPECTED: &'static str = $expected;

            fn parse(text: &str) -> Result<u64, ValueError> {
                scaled(text, &[$(($unit, $factor)),+])
            }
        }
    };
}

measured!(
    /// A size in bytes.
    Size, "a size in B, kB, MB, GB or TB",
    ["B" = 1, "kB" = 1_000, "MB" = 1_000_000, "GB" = 1_000_000_000, "TB" = 1_000_000_000_000]
);
measured!(
    /// A rate in bytes a second.
    Rate, "a rate in B/s, kB/s, MB/s or GB/s",
    ["B/s" = 1, "kB/s" = 1_000, "MB/s" = 1_000_000, "GB/s" = 1_000_000_000]
);
measured!(
    /// Power in milliwatts.
    Power, "power in mW, W, kW, MW or GW",
    ["mW" = 1, "W" = 1_000, "kW" = 1_000_000, "MW" = 1_000_000_000, "GW" = 1_000_000_000_000]
);
measured!(
    /// Energy in millijoules.
    Energy, "energy in mJ, J or kJ",
    ["mJ" = 1, "J" = 1_000, "kJ" = 1_000_000]
);

/// A duration.
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
        scaled(text, UNITS).map(time::Duration::from_micros)
    }
}

/// A name or other text that is not empty.
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

/// A list of names.
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

/// A choice of yes and no.
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

/// A socket address.
#[derive(Debug)]
pub struct Address;

impl ValueType for Address {
    type Value = SocketAddr;
    const EXPECTED: &'static str = "IP:PORT";

    fn parse(text: &str) -> Result<SocketAddr, ValueError> {
        parse_as(text)
    }
}

/// Address of an HTTP service.
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

/// A secret.
#[derive(Debug)]
pub struct Secret;

impl ValueType for Secret {
    type Value = super::Secret;
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

/// Parses a decimal number and its unit into a count of the unit whose factor is 1.
fn scaled(text: &str, units: &[(&str, u64)]) -> Result<u64, ValueError> {
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
    decimal(number, *factor)
}

/// Multiplies the decimal `number` by `factor` without a rounding error.
fn decimal(number: &str, factor: u64) -> Result<u64, ValueError> {
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

/// Writes a duration as a settings file does.
pub fn format_duration(duration: time::Duration) -> String {
    let micros = duration.as_micros();
    show(
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

/// Writes power as a settings file does.
pub fn format_power(power: Milliwatts) -> String {
    let units = [("MW", 1_000_000_000), ("kW", 1_000_000), ("W", 1_000)];
    show(power.into(), &units, "mW")
}

/// Writes a count in the largest unit that leaves no fraction.
fn show(count: u128, units: &[(&str, u128)], smallest: &str) -> String {
    let unit = units
        .iter()
        .find(|(_, factor)| count != 0 && count.is_multiple_of(*factor));
    match unit {
        Some((name, factor)) => format!("{} {name}", count / factor),
        None => format!("{count} {smallest}"),
    }
}
