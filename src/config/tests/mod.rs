mod declaration;
mod state;
mod write;
