mod fixture;
mod harmful;
mod keyed;
mod membership;
mod overload;
mod placing;
mod requests;
