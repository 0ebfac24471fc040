"""Clients for engines and plain services, announcements, and stand-ins of both."""
