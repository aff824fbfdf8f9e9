//! Object API and host list.

use super::*;

impl World {
    pub(super) fn at_store(&mut self, life: Life, call_id: StoreCallId, call: &StoreCall) {
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
        self.send_soon(Message::ToEntry(life, event));
    }

    /// A store without conditions lets every claim win.
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

    pub(super) fn poll(&mut self, n: usize) {
        let life = (n, self.entries[n].life);
        let reached = self.now >= self.store_down_until;
        self.send_soon(Message::ToEntry(life, EntryEvent::StoreContact { reached }));
        if reached {
            self.show(life, "config/current", EntryEvent::ConfigRead);
            self.show(life, "placement/current", EntryEvent::PlacementRead);
        }
        self.send_in(POLL, Message::Poll(n));
    }

    fn show(&mut self, life: Life, key: &str, event: fn(VersionedDocument) -> EntryEvent) {
        if let Some((generation, body)) = self.store.get(key) {
            let body = self.tamper_body(body.to_string());
            let doc = VersionedDocument { generation, body };
            self.deliver(Message::ToEntry(life, event(doc)));
        }
    }

    /// Targets without the zones that are out.
    fn tamper_body(&self, body: String) -> String {
        if self.fault != Some(Fault::OldZones) {
            return body;
        }
        match serde_json::from_str::<Targets>(&body) {
            Ok(mut targets) => {
                targets.zones_out.clear();
                serde_json::to_string(&targets).expect("targets are JSON")
            }
            Err(_) => body,
        }
    }

    pub(super) fn hosts(&mut self, n: usize) {
        let life = (n, self.entries[n].life);
        let hosts = host_list();
        self.send_soon(Message::ToEntry(life, EntryEvent::HostsListed(hosts)));
        self.send_in(HOSTS, Message::Hosts(n));
    }
}
