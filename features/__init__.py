"""Scenarios of what must always hold."""
