//! Macros that define newtypes over text, numbers and digests.

/// Defines a newtype over reference-counted text of 1 to 200 visible ASCII characters.
macro_rules! text_newtype {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
        )]
        #[serde(try_from = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Borrows the text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(s: &str) -> Result<Self, Error> {
                if (1..=200).contains(&s.len()) && s.bytes().all(|b| b.is_ascii_graphic()) {
                    Ok(Self(s.into()))
                } else {
                    Err(Error::Text { what: $what })
                }
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(s: String) -> Result<Self, Error> {
                s.parse()
            }
        }
    };
}

/// Defines a newtype over `u64` for numbers that only increase.
macro_rules! number_newtype {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(
            Clone,
            Copy,
            Debug,
            Default,
            Display,
            Eq,
            Hash,
            Ord,
            PartialEq,
            PartialOrd,
            Serialize,
            Deserialize,
        )]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next number.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(s: &str) -> Result<Self, Error> {
                s.parse()
                    .map(Self)
                    .map_err(|source| Error::Number { what: $what, source })
            }
        }
    };
}

/// Defines a newtype over a SHA-256 digest, formatted as 64 lower-case hexadecimal digits.
macro_rules! digest_newtype {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
        )]
        #[serde(into = "String", try_from = "String")]
        pub struct $name([u8; 32]);

        impl $name {
            /// Computes the digest of a text or of bytes.
            #[must_use]
            pub fn of(content: impl AsRef<[u8]>) -> Self {
                use sha2::Digest;
                Self(sha2::Sha256::digest(content.as_ref()).into())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(s: &str) -> Result<Self, Error> {
                let error = Error::Digest { what: $what };
                let bytes = parse_hex(s).and_then(|bytes| bytes.try_into().ok());
                bytes.map(Self).ok_or(error)
            }
        }

        impl From<$name> for String {
            fn from(digest: $name) -> Self {
                digest.to_string()
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(s: String) -> Result<Self, Error> {
                s.parse()
            }
        }
    };
}
