//! One connection of a traffic listener.

use std::convert::Infallible;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::head_timer::HeadTimer;
use super::unframed::UnframedAnswer;
use super::{AnswerBody, ListenerLimits};

/// A connection that is being served.
pub(super) struct Connection {
    pub limits: ListenerLimits,
    /// Time for which it may idle, including the arrival of the next head.
    pub head_timeout: watch::Receiver<Duration>,
    pub drain: CancellationToken,
    pub kill: CancellationToken,
    /// Shared with the stream that is served.
    pub unframed_answer: UnframedAnswer,
}

impl Connection {
    /// Serves requests until the connection ends, `drain` is cancelled while it idles, or `kill` is
    /// cancelled.
    pub async fn serve<S, H, F>(self, stream: S, handler: H)
    where
        S: AsyncRead + AsyncWrite + Unpin,
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Response<AnswerBody>> + Send + 'static,
    {
        let unframed_answer = self.unframed_answer;
        let service = service_fn(move |req: Request<Incoming>| {
            let (version, unframed_answer) = (req.version(), unframed_answer.clone());
            let answer = handler(req);
            async move { Ok::<_, Infallible>(unframed_answer.watch(version, answer.await)) }
        });
        let connection = http1::Builder::new()
            .timer(HeadTimer::new(self.head_timeout))
            .header_read_timeout(Duration::ZERO)
            .max_buf_size(self.limits.header_bytes)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        tokio::select! {
            // A request that has arrived is read before a drain closes an idle connection.
            biased;
            _ = connection.as_mut() => return,
            () = self.kill.cancelled() => return,
            () = self.drain.cancelled() => connection.as_mut().graceful_shutdown(),
        }
        tokio::select! {
            _ = connection => {}
            () = self.kill.cancelled() => {}
        }
    }
}
