//! Objects of other writers whose number has no bound, beside those that an entry needs.

use hyper::StatusCode;
use rstest::rstest;

use super::site::Site;

/// Most memory that an entry may have used at any time: half of what the smallest host has.
const MAX_PEAK_MEMORY: u64 = 64 << 20;
/// Number of objects of another writer, of some 60 KB each.
const OBJECTS: usize = 300;

/// Objects of another writer.
#[derive(Clone, Copy, Debug)]
enum Sort {
    /// Valid JSON of another format, which takes many times its size as a tree of values.
    OtherFormat,
    /// Endpoints of a service that is not declared, with very long lists of models.
    LargeEndpoints,
    /// Endpoints with a long text in a field that is not read.
    LargeUnread,
    /// Evacuations of zones with long names.
    LongZones,
    /// Versions of models with long names.
    LongModels,
    /// Configurations that are never in force.
    OtherConfigurations,
}

impl Sort {
    /// Kind, name and text of the object with a number.
    fn object(self, number: usize) -> (&'static str, String, String) {
        let name = format!("other-{number:03}");
        let zeros = || format!("[{}0]", "0,".repeat(32_000));
        let endpoint = |more: &str| {
            format!(
                r#"{{"service":"other","address":"127.0.0.9:9","zone":"zone-a","slots":1,"state":"ready",{more}}}"#
            )
        };
        let text = "x".repeat(60_000);
        let (kind, name, spec) = match self {
            Self::OtherFormat => ("servers", name, zeros()),
            Self::LargeEndpoints => {
                let models = r#"{"name":"m","version":1},"#.repeat(2_400);
                let models = format!(r#""models":[{}]"#, models.trim_end_matches(','));
                ("servers", name, endpoint(&models))
            }
            Self::LargeUnread => ("servers", name, endpoint(&format!(r#""more":"{text}""#))),
            Self::LongZones => ("evacuations", format!("{name}{text}"), "{}".into()),
            Self::LongModels => {
                let spec = format!(r#"{{"model":"{name}{text}","version":2}}"#);
                ("versions", name, spec)
            }
            Self::OtherConfigurations => ("config", name, zeros()),
        };
        let object = format!(r#"{{"metadata":{{"name":"{name}"}},"spec":{spec}}}"#);
        (kind, name, object)
    }

    fn write(self, site: &Site) {
        for number in 0..OBJECTS {
            let (kind, name, object) = self.object(number);
            site.store.put_raw(kind, &name, object);
        }
    }
}

/// When the objects come.
#[derive(Clone, Copy, Debug)]
enum Way {
    BeforeTheStart,
    /// Between two watches.
    WhileTheStoreIsAway,
    WhileTheEntryWatches,
}

/// Regression: each entry that started beside many objects of another writer went over its memory, and so did one
/// that listed them again.
#[rstest]
#[case::other_format(0, Sort::OtherFormat)]
#[case::large_endpoints(3, Sort::LargeEndpoints)]
#[case::large_unread(6, Sort::LargeUnread)]
#[case::long_zones(9, Sort::LongZones)]
#[case::long_models(12, Sort::LongModels)]
#[case::other_configurations(15, Sort::OtherConfigurations)]
#[tokio::test]
async fn an_entry_serves_in_bounded_memory_beside_many_objects(
    #[case] number: u8,
    #[case] sort: Sort,
    #[values(
        Way::BeforeTheStart,
        Way::WhileTheStoreIsAway,
        Way::WhileTheEntryWatches
    )]
    way: Way,
) {
    let mut site = Site::start(20 + number + way as u8, 0);
    // About 1 MB, as the store sends it.
    site.store.set_page_size(16);
    site.declare(1, &["key-1"]);
    if let Way::BeforeTheStart = way {
        sort.write(&site);
    }
    site.start_entry();
    site.wait_until_ready().await;
    match way {
        Way::BeforeTheStart => {}
        Way::WhileTheEntryWatches => sort.write(&site),
        Way::WhileTheStoreIsAway => {
            site.store.set_online(false);
            sort.write(&site);
            site.store.set_online(true);
        }
    }
    // The entry follows what is written behind them.
    let spec = site.plain_endpoints[1].server_spec("plain", "zone-a");
    site.store.put("servers", "plain-9", spec);
    site.wait_until(|site| site.entry_log().contains("plain-9 of plain"))
        .await;
    site.store.remove("servers", "plain-9");
    site.wait_until(|site| site.entry_log().contains("plain-9 gone"))
        .await;
    for _ in 0..4 {
        assert_eq!(site.call("read").await.status, StatusCode::OK);
    }
    let peak = site.entry_peak_memory();
    assert!(peak <= MAX_PEAK_MEMORY, "{} MB", peak >> 20);
}
