"""Small topical helpers."""
