"""
mulberryledge_core.consensus
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The replicated log (Raft) as a state machine without I/O: elections with pre-vote,
replication to voters and learners, leases, snapshots and membership changes.
"""
