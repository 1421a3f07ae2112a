"""Stand-ins for the engines, plain services, the platform and its store."""
