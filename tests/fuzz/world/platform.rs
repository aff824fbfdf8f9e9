//! Calls to the object API, and the entries' polls of the object API and the host list.

use super::*;

impl World {
    pub(super) fn handle_store_call(
        &mut self,
        incarnation: Incarnation,
        call_id: StoreCallId,
        call: &StoreCall,
    ) {
        let reply = if self.now < self.store_down_until {
            match self.rng.random_bool(0.5) {
                true => StoreReply::Refused,
                false => StoreReply::Lost,
            }
        } else {
            let call = self.tamper_call(call);
            let reply = self.store.call(&call);
            let lost = self.lose_answers > 0 && matches!(call, StoreCall::Put { .. });
            self.lose_answers -= u32::from(lost);
            if lost { StoreReply::Lost } else { reply }
        };
        let event = EntryEvent::StoreReplied { call_id, reply };
        self.send_soon(Message::ToEntry(incarnation, event));
    }

    /// Under `Fault::NoCondition`, gives each write the current version, so that none conflicts.
    pub(super) fn tamper_call(&self, call: &StoreCall) -> StoreCall {
        let mut call = call.clone();
        if let StoreCall::Put {
            key, if_version, ..
        } = &mut call
            && self.fault == Some(Fault::NoCondition)
        {
            *if_version = self.store.get(key).map_or(0, |(version, _)| version);
        }
        call
    }

    pub(super) fn poll_store(&mut self, n: usize) {
        let incarnation = (n, self.entries[n].incarnation);
        let reached = self.now >= self.store_down_until;
        self.send_soon(Message::ToEntry(
            incarnation,
            EntryEvent::StoreContact { reached },
        ));
        if reached {
            self.deliver_document(incarnation, "config/current", EntryEvent::ConfigRead);
            self.deliver_document(incarnation, "placement/current", EntryEvent::PlacementRead);
        }
        self.send_in(STORE_POLL_INTERVAL, Message::StorePoll(n));
    }

    fn deliver_document(
        &mut self,
        incarnation: Incarnation,
        key: &str,
        event: fn(VersionedDocument) -> EntryEvent,
    ) {
        if let Some((generation, body)) = self.store.get(key) {
            let body = self.tamper_body(body.to_string());
            let doc = VersionedDocument { generation, body };
            self.deliver(Message::ToEntry(incarnation, event(doc)));
        }
    }

    /// Under `Fault::OldZones`, removes the zones that are out from the targets.
    fn tamper_body(&self, body: String) -> String {
        if self.fault != Some(Fault::OldZones) {
            return body;
        }
        match serde_json::from_str::<Targets>(&body) {
            Ok(mut targets) => {
                targets.zones_out.clear();
                serde_json::to_string(&targets).expect("targets serialise to JSON")
            }
            Err(_) => body,
        }
    }

    pub(super) fn send_host_list(&mut self, n: usize) {
        let incarnation = (n, self.entries[n].incarnation);
        let hosts = host_list();
        self.send_soon(Message::ToEntry(
            incarnation,
            EntryEvent::HostsListed(hosts),
        ));
        self.send_in(HOST_LIST_INTERVAL, Message::HostList(n));
    }
}
