"""
mulberryledge_testing.simulation.machine
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The simulated cluster as a Hypothesis state machine, which shrinks failures.
"""

from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule
from hypothesis.strategies import integers, sampled_from

from mulberryledge_testing.simulation.runs import FAULTS, calm
from mulberryledge_testing.simulation.world import World

__all__ = ["SETTINGS", "ClusterMachine"]

SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
)


class ClusterMachine(RuleBasedStateMachine):
    """Faults and time in any order; the promises are checked by the world."""

    @initialize(seed=integers(0, 1 << 16))
    def begin(self, seed: int) -> None:
        """Make a world."""
        self.world = World(seed)
        self.world.run(1_600)

    @rule(action=sampled_from([action for action, _ in FAULTS]))
    def act(self, action) -> None:
        """Have something happen."""
        action(self.world)

    @rule(duration_ms=sampled_from((1, 20, 300, 1_500)))
    def wait(self, duration_ms: int) -> None:
        """Let time pass."""
        self.world.run(duration_ms)

    def teardown(self) -> None:
        """End the faults; the cluster must work again."""
        if hasattr(self, "world"):
            calm(self.world)
