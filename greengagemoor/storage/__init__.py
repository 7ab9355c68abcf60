"""The data folder: durable records, snapshots and recovery."""
