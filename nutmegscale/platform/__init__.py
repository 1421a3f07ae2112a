"""Adapter to the platform: its names, wire formats and calls.

The modules only convert between wire messages and the project's types; routing
decisions are made elsewhere. Only `platform_daemon` imports this package.
"""
