"""Rendezvous hashing: the order of preference of the ready engines for a table group."""

from hashlib import blake2b

from ...state import Engine, EngineRegistry, StepContext

HOME_ENGINES = 4  # first engines of an order; the own zone's come first if crossing zones is costly
MIN_CROSS_ZONE_PRICE = 0.03  # points of the service score; at this price and above, crossing zones is costly
MAX_CACHED_ORDERS = 4096  # orders; the number of table groups is up to the clients
MAX_CACHED_POSITIONS = 2_097_152  # engines in all cached orders together, at 8 bytes each
DIGEST_SIZE = 8  # bytes


class RendezvousOrder:
    """Computes and caches the orders. With a hash seed of 0 all gateways of a zone have the same order."""

    def __init__(self, step_context: StepContext, engine_registry: EngineRegistry) -> None:
        self.step_context = step_context
        self.engine_registry = engine_registry
        self.cached_orders: dict[tuple[float, int], list[Engine]] = {}
        self.is_crossing_costly = step_context.settings.cross_zone_price >= MIN_CROSS_ZONE_PRICE

    def __call__(self, table_group: float, hash_seed: int = 0) -> list[Engine]:
        """Return the ready engines in the order for a table group; callers must not modify the list."""
        order = self.cached_orders.get((table_group, hash_seed))
        if order is None:
            order = self._compute(table_group, hash_seed)
            if not self._has_room(order):
                self.cached_orders.clear()
            self.cached_orders[table_group, hash_seed] = order
        return order

    def _has_room(self, order: list[Engine]) -> bool:
        """Return whether another order may be cached; all cached orders have the same length."""
        order_count = len(self.cached_orders) + 1
        return order_count <= MAX_CACHED_ORDERS and order_count * len(order) <= MAX_CACHED_POSITIONS

    def _compute(self, table_group: float, hash_seed: int) -> list[Engine]:
        """Sort the ready engines by their hashes with the table group."""
        prefix = repr((float(table_group), hash_seed)).encode()

        def digest(engine: Engine) -> bytes:
            return blake2b(prefix + engine.id, digest_size=DIGEST_SIZE).digest()

        order = sorted(self.engine_registry.ready, key=digest)
        if self.is_crossing_costly:
            own_zone = self.step_context.settings.zone
            order[:HOME_ENGINES] = sorted(order[:HOME_ENGINES], key=lambda engine: engine.zone != own_zone)
        return order

    def clear(self) -> None:
        """Discard the cached orders; called when the set of ready engines has changed."""
        self.cached_orders.clear()
