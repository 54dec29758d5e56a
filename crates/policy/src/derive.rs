//! The one macro that gives our plain types their common derives.

/// Derives the set that every plain domain type has: cloning, comparing, printing and serde.
///
/// Attributes that a type needs beyond that stay on the type itself.
#[macro_export]
macro_rules! domain {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )*
    };
}
