"""Entry point of ``python -m egretjunction``."""

from egretjunction import cli

if __name__ == '__main__':
    cli.main()
