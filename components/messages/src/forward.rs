///A chunk of the response to a forwarded request.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ForwardFrame {
    ///Whether this is the last frame.
    pub ended: bool,
    ///The refusal that ended the response, as JSON text; empty if the response is complete or continues.
    pub refusal: ::std::string::String,
    ///The tokens that follow those of the previous frame; may be empty, as in a heartbeat.
    pub tokens: ::std::vec::Vec<::std::string::String>,
}
///A client request that a daemon forwards to another daemon.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ForwardRequest {
    ///The client account.
    pub account: ::std::string::String,
    ///The request body for the endpoint, as JSON text.
    pub body: ::std::string::String,
    ///The request class.
    pub class: ::std::string::String,
    ///The request id that callers and endpoints see.
    pub id: ::std::string::String,
    ///The number of response tokens that the sender already has.
    pub offset: u64,
    ///The region of the sending daemon; frames to another region are sent less often.
    pub region: ::std::string::String,
    ///The revision of the lists that admitted the request.
    pub revision: u64,
    ///The text of these tokens.
    pub text: ::std::string::String,
    ///The W3C trace context (`traceparent`) of the forwarding span.
    pub traceparent: ::std::string::String,
}
/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
