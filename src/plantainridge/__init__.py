"""Serving system for prompts whose shared context returns after long gaps."""

from typing import Final

VERSION: Final = '0.1.0'
