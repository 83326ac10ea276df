"""
mulberryledge_testing.batch.troubles
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Faults of a simulated day, by name. Affected hosts and times are drawn with the day's
seed.
"""

from collections.abc import Callable

from mulberryledge_daemon.batch.ports import HostState
from mulberryledge_testing.batch.log import COMMIT_S
from mulberryledge_testing.batch.play import DAEMONS, Day

__all__ = ["FAULTS", "schedule_fault"]

CUT_S = 6.0
RESTART_S = 0.6
LATE_SHARE = 0.3  # of the orders
UNDERESTIMATED_S = 2.0
DURATION_FACTOR = 5.0
JUMP_MS = 2_000
SLOW_COMMIT_S = 0.8
WAVE_SHARE, WAVE_S, WAVE_LIMIT = 0.45, 26.0, 8
HAND_OVERS, HAND_OVER_INTERVAL_S = 6, 1.3
STOP_POLL_S = 0.01
TIGHT_SHARE, TIGHT_S, TIGHT_LIMIT = 0.5, 25.0, 3


def working_hosts(day: Day) -> list[str]:
    """Return the hosts with targets, in order."""
    return sorted(day.fleet.targets)


def pick(day: Day, share: float) -> list[str]:
    """Return a random share of the hosts with targets, at least one."""
    hosts = working_hosts(day)
    return day.random.sample(hosts, min(len(hosts), max(1, int(len(hosts) * share))))


def crash(day: Day) -> None:
    """Crash some targets; new incarnations start seconds later."""
    for host in pick(day, 0.15):
        day.fleet.crash(host, day.random.uniform(0.3, 6.0))


def restart_and_cut(day: Day) -> None:
    """Restart some targets under their names, and disconnect them soon after."""
    hosts = pick(day, 0.4)
    for host in hosts:
        day.fleet.crash(host, RESTART_S, keeps_name=True)
    gap_s = RESTART_S + day.random.uniform(0.0, 2.0)
    day.at(gap_s, day.fleet.faults.cut.update, hosts)
    day.at(gap_s + CUT_S, day.fleet.faults.cut.difference_update, hosts)


def lose_rack(day: Day) -> None:
    """Crash all targets of one rack for some seconds."""
    racks = sorted({one.target.rack for one in day.fleet.targets.values()})
    rack = day.random.choice(racks)
    for host, incarnation in list(day.fleet.targets.items()):
        if incarnation.target.rack == rack:
            day.fleet.crash(host, CUT_S)


def cut_targets(day: Day) -> None:
    """Disconnect some targets, which keep running."""
    hosts = pick(day, 0.2)
    day.fleet.faults.cut.update(hosts)
    day.at(CUT_S, day.fleet.faults.cut.difference_update, hosts)


def late_orders(day: Day) -> None:
    """Let some orders time out and be executed late."""
    day.fleet.faults.late_share = 0.06
    day.at(CUT_S, setattr, day.fleet.faults, "late_share", 0.0)


def late_orders_and_restarts(day: Day) -> None:
    """Restart targets under their names while orders to them are under way."""
    faults = day.fleet.faults
    faults.late_share = LATE_SHARE
    day.at(CUT_S, setattr, faults, "late_share", 0.0)
    for host in pick(day, 0.4):
        delay_s = day.random.uniform(0.5, CUT_S)
        day.at(delay_s, restart, day, host)


def restart(day: Day, host: str) -> None:
    """Restart a target under its name if its host is up."""
    if host in day.fleet.targets:
        day.fleet.crash(host, RESTART_S, keeps_name=True)


def change_leader(day: Day) -> None:
    """Freeze the leader and elect another; the old one resumes later."""
    old = day.log.leader
    day.log.frozen.add(old)
    day.log.leader = ""
    others = [name for name in DAEMONS if name != old]
    day.at(day.random.uniform(0.6, 1.5), day.log.elect, day.random.choice(others))
    day.at(7.0, day.log.frozen.discard, old)


def lose_lease(day: Day) -> None:
    """Let the leader lose its lease thrice in its term, while commits are slow."""
    name = day.log.leader
    day.log.commit_s = day.random.uniform(COMMIT_S, SLOW_COMMIT_S)
    day.at(CUT_S, setattr, day.log, "commit_s", COMMIT_S)
    at_s = 0.0
    for _ in range(3):
        at_s += day.random.uniform(0.05, 0.9)
        day.at(at_s, day.log.frozen.add, name)
        at_s += day.random.uniform(0.01, 0.4)
        day.at(at_s, day.log.frozen.discard, name)


def shed(day: Day) -> None:
    """Let some targets refuse all starts for some seconds."""
    for host in pick(day, 0.1):
        behaviour = day.fleet.targets[host].behaviour
        behaviour.sheds = True
        day.at(CUT_S, setattr, behaviour, "sheds", False)


def drain(day: Day) -> None:
    """Drain some targets, which end afterwards."""
    for host in pick(day, 0.08):
        day.fleet.drain(host, day.random.uniform(2.0, 7.0))


def fail_all(day: Day) -> None:
    """Let some targets fail all runs that they start."""
    for host in pick(day, 0.04):
        day.fleet.targets[host].behaviour.fails = True


def hang(day: Day) -> None:
    """Let the new runs of some targets make no progress."""
    for host in pick(day, 0.04):
        day.fleet.targets[host].behaviour.hangs = True


def slow(day: Day) -> None:
    """Slow some targets down by a factor of six."""
    for host in pick(day, 0.1):
        day.fleet.targets[host].behaviour.slow = 6.0


def wave(day: Day) -> None:
    """Request a wave of upkeep."""
    number = len(day.fleet.cloud.waves) + 1
    day.begin_wave(number, WAVE_SHARE, WAVE_S, WAVE_LIMIT)


def tight_wave(day: Day) -> None:
    """Request the upkeep of half of the hosts, with a low limit of hosts down."""
    number = len(day.fleet.cloud.waves) + 1
    day.begin_wave(number, TIGHT_SHARE, TIGHT_S, TIGHT_LIMIT)


def wave_beside_hand_overs(day: Day) -> None:
    """Request a wave, and change the leader while stops of tasks take effect."""
    wave(day)
    hand_over_at_stop(day, HAND_OVERS)


def hand_over_at_stop(day: Day, remaining: int) -> None:
    """Let another daemon lead once a target stops a run, so many times."""
    stopping = any(
        run.stopping
        for target in day.fleet.targets.values()
        for run in target.running.values()
    )
    delay_s = STOP_POLL_S
    if stopping and day.log.leader:
        others = [name for name in DAEMONS if name != day.log.leader]
        day.log.elect(day.random.choice(others))
        remaining -= 1
        delay_s = HAND_OVER_INTERVAL_S
    if remaining:
        day.at(delay_s, hand_over_at_stop, day, remaining)


def lose_answers(day: Day) -> None:
    """Lose the cloud's answers to the next orders."""
    day.fleet.cloud.lost_answers += 5


def silence_cloud(day: Day) -> None:
    """Let the cloud not answer for some seconds."""
    day.fleet.cloud.silent = True
    day.at(CUT_S, setattr, day.fleet.cloud, "silent", False)


def cancel_jobs(day: Day) -> None:
    """Cancel a third of the open jobs, long-running ones excepted."""
    jobs = day.log.machine.state.jobs.values()
    open_jobs = [job.job_id for job in jobs if not job.ended]
    for job_id in open_jobs[: len(open_jobs) // 3]:
        if not day.submitted[job_id].kind.long_running:
            day.cancel(job_id)


def jump_clock(day: Day) -> None:
    """Set the wall clock ahead, and back after some seconds."""
    day.log.skew_ms += JUMP_MS
    day.at(CUT_S, setattr, day.log, "skew_ms", 0)


def underestimate(day: Day) -> None:
    """Let a third of the new short jobs take far longer than declared."""
    day.duration_factor = DURATION_FACTOR
    day.at(UNDERESTIMATED_S, setattr, day, "duration_factor", 1.0)


def lose_in_upkeep(day: Day) -> None:
    """Remove a host permanently once one that had a target is in upkeep."""
    cloud = day.fleet.cloud
    down = [one for one in cloud.hosts.values() if one.state == HostState.UPKEEP]
    serving = [one for one in down if one.pool != day.fleet.spare]
    if serving:
        del cloud.hosts[serving[0].host]
    else:
        day.at(0.1, lose_in_upkeep, day)


def silence_advisor(day: Day) -> None:
    """Let the advisor not answer for some seconds."""
    day.advisor.silent = True
    day.at(CUT_S, setattr, day.advisor, "silent", False)


FAULTS: dict[str, Callable[[Day], None]] = {
    "crash": crash,
    "restarts and cuts": restart_and_cut,
    "lost rack": lose_rack,
    "cut targets": cut_targets,
    "late orders": late_orders,
    "late orders and restarts": late_orders_and_restarts,
    "new leader": change_leader,
    "lost lease": lose_lease,
    "shedding targets": shed,
    "drain": drain,
    "failing target": fail_all,
    "hanging target": hang,
    "slow targets": slow,
    "wave": wave,
    "tight wave": tight_wave,
    "wave beside hand-overs": wave_beside_hand_overs,
    "lost answers of the cloud": lose_answers,
    "silent cloud": silence_cloud,
    "cancelled jobs": cancel_jobs,
    "silent advisor": silence_advisor,
    "clock jump": jump_clock,
    "host lost in upkeep": lose_in_upkeep,
    "underestimated jobs": underestimate,
}


def schedule_fault(day: Day, name: str, at_s: float) -> None:
    """Schedule a fault; it is delayed until there is a leader."""

    def act() -> None:
        if day.leader is None:
            day.at(0.2, act)
        else:
            FAULTS[name](day)

    day.at(at_s, act)
