"""The data folder: synced records, snapshots and recovery."""
