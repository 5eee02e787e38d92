//! Macros for the two sets of derives that most types of this crate use.

/// Derives for small `Copy` types with a total order.
macro_rules! value {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
            $item
        )*
    };
}

/// Derives for types that own memory or contain floating-point numbers.
macro_rules! record {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq)]
            $item
        )*
    };
}
