"""One module for each program."""
