"""The two deployments of the design page, scaled to a machine with 10 cores."""

import dataclasses

from cluster import Service
from sheet import customer_kinds

# Divisor of the slots and connections of the design page. The work time per
# call is long enough that the slots, not the processors, are the limit.
SCALE_DIVISOR = 10


@dataclasses.dataclass
class Shape:
    """A deployment. The cases send their load to `loaded_service`."""
    name: str
    loaded_service: Service
    other_service: Service


def make_scaled_service(name, slots, connections, mean_ms):
    return Service(name, max(2, slots // SCALE_DIVISOR),
                   max(8, connections // SCALE_DIVISOR), customer_kinds(),
                   mean_ms=mean_ms)


def make_shape(name):
    if name == "consortium":
        return Shape(name, make_scaled_service("board", 70, 530, 25),
                     make_scaled_service("occupancy", 15, 190, 25))
    return Shape(name, make_scaled_service("intake", 220, 1400, 80),
                 make_scaled_service("tracker", 35, 320, 25))
