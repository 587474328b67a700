//! The numbers that order processes, leases and terms, each a type of its own so that none is taken for another.

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
    /// A leader's term. Terms and fencing tokens are taken from one rising counter.
    Term
);
number!(
    /// The number that rises with each holder of a block; workers refuse commands under a lower one.
    FencingToken
);
number!(
    /// Tells a controller's process from those that ran before under the same name.
    Incarnation
);
number!(
    /// A worker's life between two expiries of its lease: it rises when the worker has ended all its tasks.
    AgentEpoch
);
