"""Documents for the tests of the configuration."""

from radishlift.config.document import ConfigDocument
from radishlift.config.parsing import parse_document
from radishlift.core.ids import ConfigVersion

TEXT = """
# Both departments of the cell.
[department:rug-depot]
policy = waiting_first
share_weight = 2

[department:school-kits]
policy = packing_first

[team:wash-floor]
department = rug-depot
cpu_milli = 240000

[service:rugdesk]
department = rug-depot
urgent_classes = clinic, dispatch

[partition:pinetown-1]
racks = pinetown/r1, pinetown/r2

[objective:rugdesk-latency]
subject = rugdesk
target_ratio = 0.99
"""


def make_document(text: str = TEXT, version: int = 1) -> ConfigDocument:
    document = parse_document(text, ConfigVersion(version))
    assert isinstance(document, ConfigDocument), document
    return document
