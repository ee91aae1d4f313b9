"""`python -m cometusher`: runs one proxy without arguments, as the platform does, or else the command line."""

from __future__ import annotations

import sys


def main() -> int:
    """Run the program; returns the exit code. A standalone proxy does not import the command line."""
    if len(sys.argv) == 1:
        from cometusher import service

        return service.main()
    from cometusher import cli

    return cli.main(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
