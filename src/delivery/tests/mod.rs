mod attempts;
mod keyed;
mod suspects;
