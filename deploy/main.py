"""Runs the platform program from the folder made by the build."""

import sys
from types import ModuleType

# asyncio works without ssl, and nothing here uses TLS. Without it, each start
# takes 7 ms less processor time.
sys.modules["ssl"] = None
# Without OpenSSL, hashlib uses the digests built into the interpreter, and each
# process is 3 MB smaller.
sys.modules["_hashlib"] = None
try:
    import google._upb._message  # noqa: F401
except ImportError:
    pass
else:
    # protobuf also imports its pure Python implementation, with the text format
    # and its dependencies, but does not use it if the C implementation exists.
    unused = "google.protobuf.internal.python_message"
    sys.modules[unused] = ModuleType(unused)

from greengagemoor.platform.__main__ import main  # noqa: E402

main()
