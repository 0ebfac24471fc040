"""Links between the system's own processes."""
