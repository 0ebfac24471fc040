"""Command line, daemons, measuring tool and demo."""
