"""Templates of the log messages that other programs parse, such as the testbed.

Every message that is parsed is defined here, so that its writer and its parsers use the same template.
`pattern` builds the regular expression that finds a message in a log line.
"""

from __future__ import annotations

import re

# name, host, port
LISTENING = "%s listens on %s:%d"
# number of results, number of started runs, number of segments, milliseconds
RESULTS_RECOVERED = "recovered %d stored results and %d started runs from %d segments in %.1f ms"
# type of the error, error
STORE_WRITER_ENDED = "the store's writer thread has ended: %s %s"
# event; its subject and details, each as ` key=value`
MEMBER_EVENT = "member.%s%s"

_PLACEHOLDER = re.compile(r"%(?:\.\d+)?[sdf]")


def pattern(template: str) -> re.Pattern[str]:
    """The regular expression for messages of a template, with a group for each value."""
    literals = _PLACEHOLDER.split(template)
    return re.compile("(.*)".join(map(re.escape, literals)))
