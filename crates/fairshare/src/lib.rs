//! Shares of federated tenants from late reports; exact, in whatever order they come
