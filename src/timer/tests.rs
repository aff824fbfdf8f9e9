use super::*;

#[tokio::test(start_paused = true)]
async fn ticks_come_at_the_period() {
    let timer = Timer::spawn(1);
    let mut rx = timer.every(Duration::from_secs(2));
    let start = Instant::now();
    for turn in 1..=3 {
        rx.recv().await.unwrap();
        let elapsed = start.elapsed().as_secs();
        assert_eq!(elapsed, 2 * turn);
    }
}

#[tokio::test(start_paused = true)]
async fn unread_ticks_do_not_pile_up() {
    let timer = Timer::spawn(1);
    let mut rx = timer.every(Duration::from_secs(1));
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert!(rx.try_recv().is_ok());
    assert!(rx.try_recv().is_err());
}

#[tokio::test(start_paused = true)]
async fn dropping_the_service_ends_subscribers() {
    let timer = Timer::spawn(1);
    let mut rx = timer.every_jittered(Duration::from_secs(1));
    drop(timer);
    while rx.recv().await.is_some() {}
}
