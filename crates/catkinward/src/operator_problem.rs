use super::*;
use crate::http_client::json_bytes;

/// Kinds of error responses to operators.
#[derive(Clone, Copy, Debug, Eq, PartialEq, EnumString, IntoStaticStr, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum OperatorProblem {
    /// A parameter of the query is unknown, repeated or invalid.
    MalformedQuery,
    /// The API has no such path.
    NoSuchPath,
    /// The bearer key is absent or is not the operators' key.
    UnknownKey,
}

impl OperatorProblem {
    fn status(self) -> StatusCode {
        match self {
            Self::MalformedQuery => StatusCode::BAD_REQUEST,
            Self::NoSuchPath => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
        }
    }

    fn title(self) -> &'static str {
        match self {
            Self::MalformedQuery => {
                "the query must have `request`, `upstream` or `since`, each at most once and of \
                 the documented form"
            }
            Self::NoSuchPath => "there is no such path",
            Self::UnknownKey => "the bearer key is not the operators'",
        }
    }

    pub(crate) fn response(self) -> Response {
        let body = operator::OperatorProblem {
            status: self.status().as_u16(),
            title: self.title().to_owned(),
            type_: format!("catkinward:{self}"),
        };
        let mut response = Response::new(Body::from(json_bytes(&body)));
        *response.status_mut() = self.status();
        response.headers_mut().insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static("application/problem+json"),
        );
        response
    }
}
