//! One connection of a traffic listener.

use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::activity::Activity;
use super::head_timer::HeadTimer;
use super::read_ahead::ReadAhead;
use super::unframed::UnframedAnswer;
use super::{AnswerBody, ListenerLimits};

/// A connection that is being served.
pub(super) struct Connection {
    pub limits: ListenerLimits,
    /// Time for which it may idle, including the arrival of the next head.
    pub head_timeout: watch::Receiver<Duration>,
    pub drain: CancellationToken,
    pub kill: CancellationToken,
    /// Shared with the listener, which closes idle connections when it is full.
    pub activity: Activity,
    /// Shared with the stream that is served.
    pub unframed_answer: UnframedAnswer,
}

impl Connection {
    /// Serves requests until the connection ends, `drain` is cancelled while it idles, or `kill` is
    /// cancelled.
    ///
    /// What has arrived before a drain is answered, unless the answer before it says that the
    /// connection closes.
    pub async fn serve<S, H, F>(self, stream: S, handler: H)
    where
        S: AsyncRead + AsyncWrite + Unpin,
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Response<AnswerBody>> + Send + 'static,
    {
        let unframed_answer = self.unframed_answer.clone();
        let activity = self.activity.clone();
        let handler = Arc::new(move |mut req: Request<Incoming>| {
            let (version, unframed_answer) = (req.version(), unframed_answer.clone());
            let request = activity.begin_request();
            req.extensions_mut().insert(activity.arrival());
            let answer = handler(req);
            async move { request.attach(unframed_answer.watch(version, answer.await)) }
        });
        let stream = ReadAhead::new(Bytes::new(), stream);
        let Some(stream) = self.serve_until_drained(stream, handler.clone()).await else {
            return;
        };
        let connection = self.builder().keep_alive(false).serve_connection(
            TokioIo::new(stream),
            service_fn(move |req| handler(req).map(Ok::<_, Infallible>)),
        );
        tokio::select! {
            _ = connection => {}
            () = self.kill.cancelled() => {}
        }
    }

    /// Serves requests until the connection ends or is drained. Returns it when it was drained and a
    /// part of another request has arrived, whose sender expects an answer.
    async fn serve_until_drained<S, H, F>(
        &self,
        stream: ReadAhead<S>,
        handler: Arc<H>,
    ) -> Option<ReadAhead<S>>
    where
        S: AsyncRead + AsyncWrite + Unpin,
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Response<AnswerBody>> + Send + 'static,
    {
        let is_blocked = stream.is_write_blocked();
        let says_close = Arc::new(AtomicBool::new(false));
        let (said, drain) = (says_close.clone(), self.drain.clone());
        let service = service_fn(move |req: Request<Incoming>| {
            let is_last = req.version() == Version::HTTP_10 || has_close(req.headers());
            let (answer, said, drain) = (handler(req), said.clone(), drain.clone());
            Box::pin(async move {
                let mut answer = answer.await;
                if drain.is_cancelled() {
                    let close = HeaderValue::from_static("close");
                    answer.headers_mut().insert(CONNECTION, close);
                }
                said.store(is_last || has_close(answer.headers()), Ordering::Relaxed);
                Ok::<_, Infallible>(answer)
            })
        });
        let mut connection = self
            .builder()
            .serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            // A request that has arrived is read before a drain closes an idle connection.
            biased;
            _ = &mut connection => return None,
            () = self.kill.cancelled() => return None,
            () = self.activity.closed_while_idle(|| is_blocked.load(Ordering::Relaxed)) => {
                return None;
            }
            () = self.drain.cancelled() => {}
        }
        Pin::new(&mut connection).graceful_shutdown();
        let drained = poll_fn(|cx| match connection.poll_without_shutdown(cx) {
            // The end of an answer is not written yet.
            Poll::Ready(Ok(())) if is_blocked.load(Ordering::Relaxed) => Poll::Pending,
            ended => ended,
        });
        tokio::select! {
            ended = drained => ended.ok()?,
            () = self.kill.cancelled() => return None,
        }
        let parts = connection.into_parts();
        let mut rest = ReadAhead::new(parts.read_buf, parts.io.into_inner().into_inner());
        if rest.has_ahead() && !says_close.load(Ordering::Relaxed) {
            return Some(rest);
        }
        // A caller that has left needs no orderly end.
        let _ = rest.shutdown().await;
        None
    }

    fn builder(&self) -> http1::Builder {
        let mut builder = http1::Builder::new();
        builder
            .timer(HeadTimer::new(self.head_timeout.clone()))
            .header_read_timeout(Duration::ZERO)
            .max_buf_size(self.limits.header_bytes);
        builder
    }
}

/// True when a head says that its connection closes after the answer.
fn has_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    let mut options = values.filter_map(|value| value.to_str().ok());
    options.any(|value| {
        let mut options = value.split(',');
        options.any(|option| option.trim().eq_ignore_ascii_case("close"))
    })
}
