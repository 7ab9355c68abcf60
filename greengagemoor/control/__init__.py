"""Control group: a replicated log of documents, ledger and evacuations."""
