"""Distribution of searchers and documents by control instances to entries."""
