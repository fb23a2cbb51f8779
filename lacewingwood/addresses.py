"""Addresses of listeners."""


def split(address: str) -> tuple[str, int]:
    """Returns host and port of `IP:PORT`."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
