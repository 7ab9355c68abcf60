"""Messages between instances, and their codec."""
