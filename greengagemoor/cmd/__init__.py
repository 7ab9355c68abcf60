"""Command-line programs, one module each, and modules they share."""
