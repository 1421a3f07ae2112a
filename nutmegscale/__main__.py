"""Entry point of the daemon for `python -m nutmegscale`."""

from nutmegscale import daemon

daemon.main()
