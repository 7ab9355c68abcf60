"""Pure decisions on queries: snapshot, choice, limits, answers."""
