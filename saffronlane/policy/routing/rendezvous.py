"""Rendezvous hash order of ready engines for a table group; without salt the same at every gateway."""

from hashlib import blake2b

from ...state import Engine, EngineRegistry, StepContext

HOME_ENGINES, MIN_CROSS_ZONE_PRICE = (
    4,
    0.03,
)  # of a group's first, the own zone's lead where crossing costs so many points
MAX_CACHED_ORDERS = 4096  # hash orders remembered: table groups come from clients, and are without number


class RendezvousOrder:
    def __init__(self, batch: StepContext, fleet: EngineRegistry) -> None:
        self.step_context, self.engine_registry = batch, fleet
        self.cached_orders: dict[tuple[float, int], list[Engine]] = {}  # of ready engines
        self.crossing_costs = batch.settings.cross_zone_price >= MIN_CROSS_ZONE_PRICE

    def __call__(self, tables: float, salt: int = 0) -> list[Engine]:
        order = self.cached_orders.get((tables, salt))
        if order is None:
            name = repr((float(tables), salt)).encode()
            order = sorted(
                self.engine_registry.ready, key=lambda e: blake2b(name + e.id, digest_size=8).digest()
            )
            if self.crossing_costs:  # of the first few, those of the own zone lead
                order[:HOME_ENGINES] = sorted(
                    order[:HOME_ENGINES], key=lambda e: e.zone != self.step_context.settings.zone
                )
            if len(self.cached_orders) >= MAX_CACHED_ORDERS:
                self.cached_orders.clear()
            self.cached_orders[tables, salt] = order
        return order
