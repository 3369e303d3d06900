"""Event loop, effects and messaging shared by all reducer processes."""
