//! The macro that gives the crate's plain data types their common derives.

/// Derives `Clone`, `Debug`, `PartialEq`, `Serialize` and `Deserialize` for each type inside.
///
/// A type that needs further derives or attributes carries them itself.
#[macro_export]
macro_rules! domain {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )*
    };
}
