"""Pure decisions on soft state shared between many instances."""
