//! Organisations, their keys, grants and shares.

section! {
    /// An organisation that sends requests to the deployment.
    pub struct Organisation {
        /// The name in logs, metrics and reports.
        #[schemars(length(min = 1))]
        pub name: String,
        /// The keys that authenticate this organisation.
        #[schemars(length(min = 1))]
        pub keys: Vec<Key>,
        /// The models that it may request.
        #[serde(default)]
        pub models: Vec<String>,
        /// The plain services that it may call.
        #[serde(default)]
        pub services: Vec<String>,
        /// Its share of the capacity under load, relative to the shares of other organisations.
        #[serde(default = "share")]
        #[schemars(range(min = 1))]
        pub share: u32,
        /// The rank of all its requests on routes, which overrides the rank of the route.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub rank: Option<String>,
    }

    /// A bearer key. Only its digest is declared.
    pub struct Key {
        /// The SHA-256 digest of the key, as 64 lower-case hexadecimal digits.
        #[schemars(regex(pattern = "^[0-9a-f]{64}$"))]
        pub sha256: String,
        /// A note on the purpose of the key.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        pub note: String,
    }
}

fn share() -> u32 {
    1
}
