"""Serving system for prompts with shared context reused after long gaps."""

from typing import Final

VERSION: Final = '0.1.0'
