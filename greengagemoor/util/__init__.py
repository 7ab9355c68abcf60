"""General helpers without knowledge of instances or messages."""
