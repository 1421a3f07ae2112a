"""Start of the daemon by `python -m nutmegscale`."""

from nutmegscale import daemon

daemon.main()
