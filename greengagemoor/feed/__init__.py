"""How entries learn searchers and documents from the control instances."""
