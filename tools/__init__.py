"""Programs for demonstrations and measurements."""
