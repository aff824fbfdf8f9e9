//! `dump`: prints the state of one process.

use std::sync::Arc;

use crate::codes::Code;
use crate::wire::ProcessControlClient;

use super::args::DumpArgs;
use super::{Exit, Failure, Output, operator_clients};

pub(super) async fn run(args: &DumpArgs, out: &mut Output) -> Result<Exit, Failure> {
    let clients = operator_clients(&args.settings)?;
    let call = |client: Arc<_>| async move { ProcessControlClient::dump(&*client).await };
    let dump = clients.control.call(args.address, call).await;
    let dump = dump.map_err(|e| Failure::Unreachable {
        code: Code::ProcessUnreachable,
        detail: e.to_string(),
    })?;
    out.print_json(&dump);
    Ok(Exit::Done)
}
