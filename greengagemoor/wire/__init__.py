"""Messages between our own processes and their codec."""
