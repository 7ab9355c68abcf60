"""Event-loop programs: an entry and a control instance."""
