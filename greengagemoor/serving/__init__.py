"""Entry and control instances on the event loop."""
