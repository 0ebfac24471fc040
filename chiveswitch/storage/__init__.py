"""The disk of a control VM."""
