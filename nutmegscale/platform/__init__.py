"""Adapter to the users' platform: names, formats and calls of its wire.

Everything here decodes wire messages into the project's types, or encodes
those; nothing decides. Only the daemon that assembles the parts imports it.
"""
