"""The forwarded path: callers' HTTP connections, channels to targets, and what lies between."""
