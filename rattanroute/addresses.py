"""Addresses of listeners and peers."""


def parse_address(value: str) -> tuple[str, int]:
    """Splits `IP:port`.

    Raises:
        ValueError: If the value has another form.
    """
    host, separator, port = value.rpartition(":")
    if not separator or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{value!r} is not of the form IP:port")
    return host.strip("[]"), int(port)
