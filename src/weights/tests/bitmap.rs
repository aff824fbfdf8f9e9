use rstest::rstest;

use crate::weights::ChunkSet;

#[rstest]
#[case::empty(&[])]
#[case::one_word(&[0, 5, 63])]
#[case::across_words(&[1, 64, 127, 128, 1000])]
fn a_set_round_trips_through_bytes(#[case] indexes: &[u32]) {
    let set: ChunkSet = indexes.iter().copied().collect();
    let read = ChunkSet::from_bytes(&set.to_bytes());
    assert_eq!(read.iter().collect::<Vec<_>>(), indexes);
    assert_eq!(read.len() as usize, indexes.len());
}

#[rstest]
#[case(0, &[])]
#[case(64, &[3, 63])]
#[case(65, &[3, 63, 64])]
#[case(200, &[3, 63, 64, 130])]
fn truncation_drops_indexes_that_the_manifest_does_not_have(
    #[case] len: u32,
    #[case] left: &[u32],
) {
    let mut set: ChunkSet = [3, 63, 64, 130].into_iter().collect();
    set.truncate(len);
    assert_eq!(set.iter().collect::<Vec<_>>(), left);
}
