//! Bounds of the head of an answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use hyper::Request;
use hyper::ext::on_informational;
use tokio::sync::Notify;

/// Largest head of an answer in bytes, and largest piece in which a body is read. Endpoints send
/// heads of less than 1 KB.
pub const MAX_ANSWER_HEAD_BYTES: usize = 16 * 1024;
/// Largest number of interim answers (status 1xx) before an answer. Endpoints send none, and the
/// HTTP library would read them without end.
const MAX_INTERIM_ANSWERS: usize = 16;

/// Watches the interim answers to a request that is sent afterwards. The returned future ends once
/// there are too many of them for an answer to be expected.
pub fn too_many_interim_answers<B>(req: &mut Request<B>) -> impl Future<Output = ()> + use<B> {
    let exceeded = Arc::new(Notify::new());
    let notifier = exceeded.clone();
    let count = AtomicUsize::new(0);
    on_informational(req, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_ANSWERS {
            notifier.notify_one();
        }
    });
    async move { exceeded.notified().await }
}
