//! Connections to endpoints that send more than they were asked for.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::http::{TrafficClient, endpoint_client, traffic_client};

const OWN: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nown";
/// An earlier refusal, which says that a request was not run.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";

/// Sends three requests to an endpoint that answers the first on each connection, and writes an earlier
/// refusal once more for any further one. Returns the statuses.
async fn statuses(client: TrafficClient) -> Vec<StatusCode> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut req = [0; 1_024];
                let mut answer = OWN;
                while stream.read(&mut req).await.is_ok_and(|read| read > 0) {
                    let _ = stream.write_all(answer).await;
                    answer = REFUSAL;
                }
            });
        }
    });
    let mut statuses = Vec::new();
    for _ in 0..3 {
        let req = Request::get(format!("http://{addr}/")).body(Full::new(Bytes::new()));
        let res = client.request(req.unwrap()).await.unwrap();
        statuses.push(res.status());
        res.into_body().collect().await.unwrap();
        // The pool takes a connection back in a task of its own.
        tokio::task::yield_now().await;
    }
    statuses
}

/// Regression: an endpoint repeated an earlier 503 on a kept connection, and the caller of the next request
/// was told that it had not run.
#[rstest]
#[case::endpoints(endpoint_client(), 0)]
#[case::own_servers(traffic_client(), 2)]
#[tokio::test]
async fn what_an_endpoint_repeats_answers_no_other_request(
    #[case] client: TrafficClient,
    #[case] refused: usize,
) {
    let statuses = statuses(client).await;
    let found = statuses
        .iter()
        .filter(|status| **status == StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(found.count(), refused);
}

/// An endpoint that answers before it has read the request, and resets the connection, has not completed an
/// answer that only the end of the connection would end. The reset may be seen by a write first.
#[tokio::test]
async fn an_answer_is_incomplete_whose_connection_is_reset_beside_the_request() {
    const REQUEST_BYTES: usize = 4 << 20;
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut req = [0; 1_024];
            let _ = stream.read(&mut req).await;
            // Closing a connection with unread data resets it.
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\npart").await;
        }
    });
    for _ in 0..100 {
        let req = Request::post(format!("http://{addr}/"));
        let req = req.body(Full::new(Bytes::from(vec![0; REQUEST_BYTES])));
        if let Ok(res) = endpoint_client().request(req.unwrap()).await {
            assert!(res.into_body().collect().await.is_err());
        }
    }
}
