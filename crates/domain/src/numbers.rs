//! Numbers that order processes, leases and terms. Each has its own type, so that they cannot be
//! confused.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(
            /// The number.
            pub u64,
        );

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

number!(
    /// A leader's term. Terms and fencing tokens are taken from one increasing counter.
    Term
);
number!(
    /// A number that increases with each holder of a block. Workers refuse commands with a lower
    /// token.
    FencingToken
);
number!(
    /// Distinguishes a controller's process from earlier processes with the same name.
    Incarnation
);
number!(
    /// Number of the period between two expiries of a worker's lease. It increases when the worker
    /// has ended all its tasks.
    AgentEpoch
);
