"""`python -m cometusher`: without arguments one proxy, as the platform runs it; else the command line."""

from __future__ import annotations

import sys


def main() -> int:
    """Returns the exit code. What a proxy on its own does not use is not imported for it."""
    if len(sys.argv) == 1:
        from cometusher import service

        return service.main()
    from cometusher import cli

    return cli.main(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
