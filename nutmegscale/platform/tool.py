"""The command line tool, with the platform's form of a configuration."""

from nutmegscale import cli
from nutmegscale.platform import check_config


def main() -> int:
    """Run the tool; see `cli.main`."""
    return cli.main(forms=(check_config.RowForm(),))


if __name__ == "__main__":
    raise SystemExit(main())
