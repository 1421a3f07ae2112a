"""Tests of the package; each file mirrors a module."""
