"""
mulberryledge_core.consensus
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The replicated log as a pure state machine: an election with pre-vote, replication
to voters and learners, leases, snapshots and changes of members.
"""
