"""Runnable examples and example configurations."""
