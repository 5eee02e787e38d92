//! The derive sets that small types share.

/// Derives what a plain value needs: copying, comparing and printing.
macro_rules! value {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
            $item
        )*
    };
}

/// Derives what a record needs that owns memory or holds fractions.
macro_rules! record {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq)]
            $item
        )*
    };
}
