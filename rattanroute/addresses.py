"""Parsing of listener and peer addresses."""


def parse_address(value: str) -> tuple[str, int]:
    """Splits `IP:port` into the host and the port.

    Raises:
        ValueError: If the value is not of this form.
    """
    host, separator, port = value.rpartition(":")
    if not separator or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{value!r} is not of the form IP:port")
    return host.strip("[]"), int(port)
