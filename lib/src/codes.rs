//! Numbered result codes that callers and operators see.

use serde::{Deserialize, Serialize};

/// Whether a request that got no answer ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// The request was not run; callers may rely on it.
    No,
    /// The request was run.
    Yes,
    /// The request may have run.
    Unknown,
}

impl Ran {
    /// Returns the word used on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        }
    }
}

macro_rules! codes {
    ($($number:literal $name:ident $status:literal $ran:ident $retry:literal $text:literal;)*) => {
        /// Result of a request or an operator's call, with a stable number.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[repr(u16)]
        pub enum Code {
            $(#[doc = $text] $name = $number,)*
        }

        impl Code {
            /// Lists all codes in the order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the HTTP status that carries this code.
            pub fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Returns whether the request ran.
            pub fn ran(self) -> Ran {
                match self { $(Self::$name => Ran::$ran,)* }
            }

            /// Returns whether the same request may be sent again.
            pub fn is_retryable(self) -> bool {
                match self { $(Self::$name => $retry,)* }
            }

            /// Returns the meaning in one sentence.
            pub fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// Returns the name used in metrics and logs.
            pub fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)* }
            }
        }
    };
}

codes! {
    1000 Ok 200 Yes false "The request was answered in full.";
    1001 BadBody 400 No false "The body is malformed.";
    1002 BodyTooLarge 413 No false "The body is larger than the limit.";
    1003 UnknownPath 404 No false "No such path.";
    1004 BadHeader 400 No false "A header has a malformed value.";
    1005 BodyTimeout 408 No true "The body did not come in time or was cut off.";
    1006 WrongMethod 405 No false "The path does not take this method.";
    1101 UnknownAccount 401 No false "The key belongs to no client account.";
    1102 UnknownModel 404 No false "No model group or service has this name.";
    1201 RequestLimit 429 No true "The client account is over its limit on requests.";
    1202 TokenLimit 429 No true "The client account is over its limit on tokens.";
    1203 ConcurrencyLimit 429 No true "The client account is over its limit on open requests.";
    1301 Overload 503 No true "The queue is full.";
    1302 DeadlineUnmet 503 No true "The deadline can't be met.";
    1303 NoReplica 503 No true "No replica of the model is serving.";
    1304 Isolated 503 No true "This entry VM is cut off from the log and its peers; use another.";
    1305 Stopping 503 No true "This entry VM is stopping; use another.";
    1306 Suspect 422 No true "This request crashed endpoints and is refused for a while.";
    1307 TimedOut 504 Unknown true "The deadline passed while the request ran.";
    1401 Broken 502 Unknown true "The answer broke off and could not be resumed.";
    1402 RetryBudget 502 Unknown true "The answer broke off and the retry budget is spent.";
    1403 EndpointRefused 502 No true "The endpoint refused the request before running it.";
    1404 SlowCaller 499 Unknown true "The caller read its answer too slowly.";
    1501 KeyMissing 400 No false "Non-idempotent work needs an idempotency key.";
    1502 KeyMalformed 400 No false "The idempotency key is not a UUIDv7.";
    1503 KeyExpired 409 No false "The idempotency key is too old or lies ahead of the clock.";
    1504 ClaimUnavailable 503 No true "The log is out, so the work could not be claimed.";
    1505 InProgress 409 Unknown true "Work under this idempotency key is in progress.";
    1506 MayHaveRun 409 Unknown false "The work may have run and will not be run again.";
    1507 ClaimUnknown 503 No true "Whether the claim was recorded can't be told yet; nothing was run.";
    1508 KeyReused 422 No false "The idempotency key was used before by another request.";
    1509 AnswerNotKept 409 Yes false "The work ran, but its answer is too large to be kept.";
    2001 RowConflict 409 No false "A row changed since it was read.";
    2002 RowInvalid 422 No false "A row breaks a rule of the table.";
    2003 LogUnavailable 503 No true "The log did not answer.";
    2004 AppendUnknown 504 Unknown false "Whether the change was accepted can't be told.";
    2005 NotInForce 504 Yes false "The change was accepted but is not confirmed on every entry VM.";
    2006 Unreachable 503 No true "The agent did not answer.";
}

impl Code {
    /// Returns the stable number.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Returns the code with this number, if there is one.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL.iter().copied().find(|c| c.number() == number)
    }
}
