"""Entry point of the process that the platform starts on each machine: one node with all roles."""

import sys

from chiveswitch.platform import api, boot, headers
from chiveswitch.tools import node


def main():
    """Runs the node; if the settings are invalid, prints every error and exits."""
    result = boot.read_settings()
    if result.is_error():
        for failure in result.error:
            print(f"{int(failure.code)} {failure.code.name} {failure.message}", file=sys.stderr)
        sys.exit(node.EXIT_SETTINGS)
    settings = result.ok
    handler_by_address = {settings.ready_address: api.handle_request}
    for address in (settings.control_address, settings.directory_address):
        if address:
            handler_by_address[address] = api.handle_request
    if settings.metrics_address:
        handler_by_address[settings.metrics_address] = api.handle_metrics
    listeners = [
        node.ApiListener(address, handler, api.max_body_bytes)
        for address, handler in handler_by_address.items()
    ]
    node.run(settings, headers.Dialect(), listeners)


if __name__ == "__main__":
    main()
