"""The users' platform: its settings, headers and calls, translated to the product's own types."""
