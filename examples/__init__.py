"""Programs that show how greengagemoor is used."""
