"""The workspaces of the configuration, and the keys of their callers."""

import zlib

NAMES = ("north", "south")


def workspace_of(call):
    """Returns the workspace in which a call is sent."""
    return NAMES[zlib.crc32(call.encode()) % len(NAMES)]


def credentials(call):
    """Returns the key of a call, and the name of the other workspace, which must not be believed."""
    own = workspace_of(call)
    other = next(name for name in NAMES if name != own)
    return {"Authorization": f"Token {own}-key", "Tenant": other}


def document():
    """Returns the workspaces as the configuration lists them."""
    return [{"name": name, "api-keys": [f"{name}-key"]} for name in NAMES]
