use super::*;

#[tokio::test(start_paused = true)]
async fn one_tick_per_period() {
    let timer = Timer::spawn(1);
    let mut rx = timer.every(Duration::from_secs(2));
    let start = Instant::now();
    for period in 1..=3 {
        rx.recv().await.unwrap();
        let elapsed = start.elapsed().as_secs();
        assert_eq!(elapsed, 2 * period);
    }
}

#[tokio::test(start_paused = true)]
async fn at_most_one_unread_tick_is_kept() {
    let timer = Timer::spawn(1);
    let mut rx = timer.every(Duration::from_secs(1));
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert!(rx.try_recv().is_ok());
    assert!(rx.try_recv().is_err());
}

#[tokio::test(start_paused = true)]
async fn channels_close_when_the_last_handle_is_dropped() {
    let timer = Timer::spawn(1);
    let mut rx = timer.every_jittered(Duration::from_secs(1));
    drop(timer);
    while rx.recv().await.is_some() {}
}
