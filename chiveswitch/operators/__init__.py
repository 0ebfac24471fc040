"""Administration API and its client."""
