//! `dump`: the state of one process.

use std::sync::Arc;

use crate::codes::Code;
use crate::wire::ProcessControlClient;

use super::args::DumpArgs;
use super::{Exit, Failure, Output, operator};

pub(super) async fn run(args: &DumpArgs, out: &mut Output) -> Result<Exit, Failure> {
    let operator = operator(&args.settings)?;
    let call = |client: Arc<_>| async move { ProcessControlClient::dump(&*client).await };
    let dump = operator.control.call(args.address, call).await;
    let dump = dump.map_err(|e| Failure::Unreachable {
        code: Code::ProcessUnreachable,
        detail: e.to_string(),
    })?;
    out.value(&dump);
    Ok(Exit::Done)
}
