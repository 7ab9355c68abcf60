"""Stand-ins of the review: platform, searchers, operator and clients."""
