//! Tests of the agent's driver.

use hyper::header::{HeaderValue, TRANSFER_ENCODING};
use hyper::{HeaderMap, StatusCode};
use rstest::rstest;

use super::answer_head::{ExpectedAnswer, RejectedHead};
use crate::codes::Code;
use crate::http::names;
use crate::settings::EndpointKind::{self, Model, Service};

const OWN: Option<&str> = Some("attempt-2");
const OTHER: Option<&str> = Some("attempt-1");

fn rejected(code: Code, maybe_run: bool) -> Result<(), RejectedHead> {
    Err(RejectedHead { code, maybe_run })
}

/// Regression: a 503 that named another attempt was taken for the proof that this one was not run.
#[rstest]
#[case::own(Model, 200, OWN, Some("v1"), Ok(()))]
#[case::without_name(Model, 200, None, Some("v1"), Ok(()))]
#[case::of_another_attempt(Model, 200, OTHER, Some("v1"), rejected(Code::AnswerBroken, true))]
#[case::of_another_version(Model, 200, OWN, Some("v2"), rejected(Code::AnswerBroken, true))]
#[case::not_run(Model, 503, OWN, None, rejected(Code::NoEndpoint, false))]
#[case::not_run_without_name(Model, 503, None, None, rejected(Code::NoEndpoint, false))]
#[case::another_not_run(Model, 503, OTHER, None, rejected(Code::AnswerBroken, true))]
#[case::service(Service, 503, OWN, None, Ok(()))]
#[case::service_for_another(Service, 503, OTHER, None, rejected(Code::AnswerBroken, true))]
fn only_an_answer_to_the_attempt_itself_is_believed(
    #[case] endpoint: EndpointKind,
    #[case] status: u16,
    #[case] echoed_id: Option<&'static str>,
    #[case] version: Option<&'static str>,
    #[case] expected: Result<(), RejectedHead>,
) {
    let mut headers = HeaderMap::new();
    let fields = [
        (names::REQUEST_ID, echoed_id),
        (names::ENGINE_VERSION, version),
    ];
    for (name, value) in fields {
        if let Some(value) = value {
            headers.insert(name, HeaderValue::from_static(value));
        }
    }
    let answer = ExpectedAnswer {
        endpoint,
        attempt: "attempt-2",
        version: Some("v1"),
    };
    let status = StatusCode::from_u16(status).unwrap();
    assert_eq!(answer.check(status, &headers), expected);
}

/// Regression: a body in a transfer coding other than chunks, and a switch of protocols, were passed on as answers.
#[rstest]
#[case::chunks(200, &["chunked"], true)]
#[case::in_capitals(200, &["Chunked"], true)]
#[case::name_cut(200, &["chun"], false)]
#[case::compressed(200, &["gzip, chunked"], false)]
#[case::in_two_lines(200, &["gzip", "chunked"], false)]
#[case::chunked_twice(200, &["chunked", "chunked"], false)]
#[case::switched_protocol(101, &[], false)]
fn an_answer_that_is_not_read_as_it_was_written_is_broken(
    #[case] status: u16,
    #[case] codings: &[&'static str],
    #[case] is_passed_on: bool,
) {
    let mut headers = HeaderMap::new();
    for coding in codings {
        headers.append(TRANSFER_ENCODING, HeaderValue::from_static(coding));
    }
    let answer = ExpectedAnswer {
        endpoint: Service,
        attempt: "attempt-2",
        version: None,
    };
    let expected = match is_passed_on {
        true => Ok(()),
        false => rejected(Code::AnswerBroken, true),
    };
    let status = StatusCode::from_u16(status).unwrap();
    assert_eq!(answer.check(status, &headers), expected);
}
