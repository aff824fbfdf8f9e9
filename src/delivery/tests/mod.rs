mod attempts;
mod keyed;
