"""Pure decisions on replicated state: documents and the ledger."""
