"""Runs the command line as `python -m plantainridge`."""

from plantainridge import cli

if __name__ == '__main__':
    cli.main()
