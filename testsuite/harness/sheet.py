"""Writes policy sheets for tests and measurements."""

import dataclasses

COLUMNS = ("service,kind,method,path,class,length,idempotent,deadline_ms,retries,"
           "slot_share_percent,max_wait_ms,slo_percent,slo_latency_ms,"
           "max_in_flight,short_reserved")


@dataclasses.dataclass
class Kind:
    """One request kind. The fields are columns of the sheet."""
    name: str
    method: str
    path: str
    request_class: str
    length: str = "short"
    idempotent: bool = True
    deadline_ms: int = 500
    retries: int = 1
    slot_share: int = 100
    max_wait_ms: int = 100
    slo_percent: float = 99.0
    slo_latency_ms: int = 500


def customer_kinds():
    """Request kinds of a service that customers call directly."""
    return [
        Kind("submit", "POST", "/submit/{id}", "critical", idempotent=False,
             deadline_ms=2000, retries=2, max_wait_ms=1000, slo_percent=99.9,
             slo_latency_ms=2000),
        Kind("status", "GET", "/status/{id}", "interactive", deadline_ms=500),
        Kind("lookup", "GET", "/lookup/{id}", "internal", deadline_ms=500,
             max_wait_ms=50),
        Kind("bundle", "GET", "/bundle/{id}", "background", length="long",
             deadline_ms=20000, slot_share=50, max_wait_ms=15000,
             slo_percent=90, slo_latency_ms=20000),
    ]


def chain_kinds(retries):
    return [Kind("go", "GET", "/go", "internal", deadline_ms=2000,
                 retries=retries, slo_latency_ms=2000)]


def sheet_text(services):
    """`services` maps a name to (slots, kinds)."""
    lines = ["cassiakeel-sheet,1", COLUMNS]
    for service, (slots, kinds) in services.items():
        reserved = max(1, slots // 4)
        for kind in kinds:
            lines.append(",".join(str(cell) for cell in (
                service, kind.name, kind.method, kind.path, kind.request_class,
                kind.length, "yes" if kind.idempotent else "no",
                kind.deadline_ms, kind.retries, kind.slot_share,
                kind.max_wait_ms, kind.slo_percent, kind.slo_latency_ms, slots,
                reserved)))
    return "\n".join(lines) + "\n"
