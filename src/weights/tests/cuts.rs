//! Answers of peers and origins that are cut after each of their bytes.

use std::sync::Arc;
use std::time::Duration;

use crate::http::tests::reply::{FRAMINGS, Reply, ReplyServer};
use crate::weights::client::WeightsClient;
use crate::weights::wire::{PeerRequest, Sender};
use crate::weights::{
    ChunkSet, DefaultOriginApi, Have, OriginApi, Source, WantedVersion, manifest_digest,
};

const CHUNK: &str = "chunk";
const TIMEOUT: Duration = Duration::from_secs(60);

fn answers(body: &str) -> Vec<Reply> {
    let (start, rest) = body.split_at(body.len() / 2);
    let parts = [start.to_owned(), rest.to_owned()];
    let framings = FRAMINGS.into_iter();
    framings.map(|f| Reply::new("", f, &parts)).collect()
}

fn manifest() -> String {
    let digest = blake3::hash(CHUNK.as_bytes()).to_hex();
    format!(r#"{{"model":"m","version":"v","size":5,"chunk_size":5,"chunks":["{digest}"]}}"#)
}

/// A chunk or manifest that is cut is never taken for a whole one, nor are fewer chunks announced than a
/// peer has sent.
#[tokio::test]
async fn only_whole_answers_are_taken() {
    let text = manifest();
    let wanted = WantedVersion {
        model: "m".into(),
        name: "v".into(),
        version: manifest_digest(text.as_bytes()),
        hosts: None,
    };
    let verified = DefaultOriginApi
        .read_manifest(text.as_bytes(), &wanted)
        .unwrap();
    let server = ReplyServer::start().await;
    let addr = server.addr;
    let origin = Arc::new(DefaultOriginApi);
    for source in [Source::Origin(0), Source::Peer("b".into())] {
        for reply in Reply::cuts(&answers(CHUNK)) {
            server.set_reply(&reply);
            // A kept connection that the server has closed meanwhile would fail for another reason.
            let own = Sender {
                host: "a".into(),
                addr,
            };
            let client = WeightsClient::new(own, TIMEOUT, origin.clone());
            let chunk = client.chunk(&wanted, 0, &source, addr, 5).await;
            let chunk = chunk.ok().map(|chunk| chunk.bytes.to_vec());
            let expected = reply.is_proven().then(|| reply.received());
            assert_eq!(chunk, expected, "{reply:?}");
            let is_whole = reply.is_proven() && reply.received() == CHUNK.as_bytes();
            let is_taken = chunk.is_some_and(|chunk| verified.is_chunk(0, &chunk));
            assert_eq!(is_taken, is_whole, "{reply:?}");
        }
    }
    for reply in Reply::cuts(&answers(&text)) {
        server.set_reply(&reply);
        let own = Sender {
            host: "a".into(),
            addr,
        };
        let client = WeightsClient::new(own, TIMEOUT, origin.clone());
        let source = Source::Origin(0);
        let found = client.manifest(&wanted, &source, addr).await;
        let found = found.and_then(|bytes| origin.read_manifest(&bytes, &wanted));
        let is_whole = reply.is_proven() && reply.received() == text.as_bytes();
        assert_eq!(found.is_ok(), is_whole, "{reply:?}");
    }
    for reply in Reply::cuts(&answers("abc")) {
        server.set_reply(&reply);
        let own = Sender {
            host: "a".into(),
            addr,
        };
        let client = WeightsClient::new(own, TIMEOUT, origin.clone());
        let path = PeerRequest::Have("v".into());
        let have = client.announce(addr, &path, &Have::Nothing).await.ok();
        let expected = reply
            .is_proven()
            .then(|| Have::Chunks(ChunkSet::from_bytes(&reply.received())));
        assert_eq!(have, expected, "{reply:?}");
    }
}
