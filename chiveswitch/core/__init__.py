"""Decision logic that does no I/O and reads no clock."""
