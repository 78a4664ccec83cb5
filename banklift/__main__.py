"""Entry point of `python -m banklift`."""

from banklift.cli.main import main

main()
