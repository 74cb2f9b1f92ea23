///A piece of the answer to a forwarded request.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ForwardFrame {
    ///Whether the answer ends here.
    pub ended: bool,
    ///The refusal that ends the answer, as JSON text; empty when the answer is whole.
    pub refusal: ::std::string::String,
    ///The next tokens.
    pub tokens: ::std::vec::Vec<::std::string::String>,
}
///A request that a daemon hands to another daemon.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ForwardRequest {
    ///The client account.
    pub account: ::std::string::String,
    ///The body for the endpoint, as JSON text.
    pub body: ::std::string::String,
    ///The request class.
    pub class: ::std::string::String,
    ///The request's id towards callers and endpoints.
    pub id: ::std::string::String,
    ///The number of tokens that the sender has.
    pub offset: u64,
    ///The region of the sender.
    pub region: ::std::string::String,
    ///The revision of the lists that admitted the request.
    pub revision: u64,
    ///The text of the tokens that the sender has.
    pub text: ::std::string::String,
    ///The W3C trace context of the hop.
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
