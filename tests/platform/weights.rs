//! Weights from nothing to every engine.

use limpetloom_fakes::site::piece;
use serde_json::json;

use super::site::{PIECES, Site};

fn staged_whole(site: &Site, version: u64) -> bool {
    site.engines.iter().all(|engine| {
        let staged = engine.staged();
        (0..PIECES).all(|index| {
            staged.get(&index).map(|bytes| bytes.to_vec()) == Some(piece(version, index))
        })
    })
}

#[tokio::test]
async fn empty_engines_get_the_weights_with_one_draw_from_the_origin() {
    let site = Site::serving(140, 4).await;
    assert!(staged_whole(&site, 1));
    let sent = site.origin.pieces_sent();
    assert!(sent < 2 * PIECES, "{sent} pieces for 4 engines of {PIECES}");
}

#[tokio::test]
async fn a_named_version_reaches_every_engine() {
    let site = Site::serving(141, 2).await;
    let version = json!({"model": "m0", "version": 2});
    site.store.put("versions", "m0", version);
    site.until(|site| site.engines.iter().all(|e| e.version() == Some(2)))
        .await;
    assert!(staged_whole(&site, 2));
    site.until_answered("chat").await;
}

#[tokio::test]
async fn spoilt_pieces_are_mended_before_an_engine_that_restarted_loads_them() {
    let site = Site::serving(142, 2).await;
    let orders = site.engines[0].orders();
    site.engines[0].corrupt_staged_piece(3);
    site.engines[0].restart();
    site.until(|site| site.engines[0].orders() > orders).await;
    assert!(staged_whole(&site, 1));
    assert_eq!(site.engines[0].version(), Some(1));
}

#[tokio::test]
async fn an_agent_that_restarts_finds_what_lies_in_the_staging() {
    let mut site = Site::serving(143, 2).await;
    let sent = site.origin.pieces_sent();
    site.restart_agent(0).await;
    site.engines[0].restart();
    site.until(|site| site.engines[0].version() == Some(1))
        .await;
    assert_eq!(site.origin.pieces_sent(), sent);
}
