Feature: Scheduling policies that affect callers, each under the load that it addresses

  Scenario: Jobs that can still meet their deadline go first
    Given a heavy day of "falaj" with fixed pools
    When it is simulated with jobs ordered by deadline feasibility, and first in, first out
    Then at least a tenth more of the jobs end in time than first in, first out
    And no more are abandoned

  Scenario Outline: Hosts follow shifts of demand
    Given a day of "<site>" at its usual load
    When it is simulated with hosts that move, and with fixed pools
    Then at most 3 of 100 fewer jobs end in time
    And pools cost at most three quarters as many host-seconds

    Examples:
      | site  |
      | falaj |
      | yayla |

  Scenario: A pool gets more hosts when demand exceeds its capacity
    Given a day of "falaj" at 1.3 times its usual load
    When it is simulated with hosts that move, and with fixed pools
    Then more jobs end in time with hosts that move

  Scenario: A target that fails all its tasks does not attract the pool's work
    Given a day of "falaj" on which a target starts to fail all its tasks
    When it is simulated with and without target health checks
    Then fewer runs fail with target health checks

  Scenario: A target whose tasks hang is evacuated
    Given a day of "falaj" on which a target starts to hang its tasks
    When it is simulated with and without target health checks
    Then every job ends with target health checks, and not without them

  Scenario: A task that is slow beside equal ones on other targets is moved
    Given an idle fleet whose tasks take 2 seconds
    And a target that runs 8 times slower
    When a job of 40 tasks of 4 cores with label "" is submitted
    And 10 seconds pass on the fleet
    Then the job has ended
    And tasks ran on the slow target

  Scenario: A pool that asks for hosts apart from its load leaves them to one that has load
    Given an idle fleet
    And a pool that always asks for one host more than it has
    When 12 seconds pass on the fleet
    And a job of 400 tasks of 4 cores with label "" is submitted
    And 10 seconds pass on the fleet
    Then the job has ended

  Scenario Outline: <what>
    When a job of <tasks> tasks of <cpu> cores with label "<label>" is submitted
    Then it is <verdict>

    Examples:
      | what                                               | tasks | cpu | label | verdict  |
      | A job that fits is accepted                        | 3     | 4   | a     | accepted |
      | A job that no host is large enough for is refused  | 1     | 65  | a     | refused  |
      | A job with a label that no host has is refused     | 1     | 4   | zz    | refused  |
      | A job that has to wait for other hosts is accepted | 300   | 4   |       | accepted |

  Scenario: A gang over its team's limit is refused, one task over it is not
    Given a team with an upper limit of 10 cores
    When a gang of 4 tasks of 5 cores with label "" is submitted
    Then it is refused
    When a job of 2 tasks of 12 cores with label "" is submitted
    Then it is accepted
    And its tasks run one after the other

  Scenario: Jobs are refused, with a retry delay, before open tasks exhaust the leader's memory
    Given a leader on which 200000 tasks are open
    When a job of 100 tasks of 1 cores with label "" is submitted
    Then it is accepted
    When jobs are submitted until 1000 more tasks are open
    Then those above the limit are refused, with a retry delay of 1 to 45 seconds

  Scenario: A job that is submitted again while it is being accepted is not refused
    Given a leader on which 199950 tasks are open
    When a job of 100 tasks is submitted twice before its acceptance is durable
    Then both are told that it is accepted, and it is one job
    When a job of 100 tasks is submitted twice and the leader is deposed meanwhile
    Then neither is told that it has not run

  Scenario: A schedule whose occurrences are due at once leaves the leader to others
    Given an idle fleet
    When a job of 500 tasks is submitted that runs 1000000000 times, all of them due
    And 2 seconds pass on the fleet
    Then it has at most 10000 open tasks, and more than one occurrence
    When a job of 3 tasks of 4 cores with label "" is submitted
    And 3 seconds pass on the fleet
    Then the job has ended

  Scenario: A lost renewal right after the first start costs no run
    Given an idle fleet that loses the next lease renewal
    When a job of 3 tasks of 4 cores with label "" is submitted
    And 3 seconds pass on the fleet
    Then every task of it was started once

  Scenario: Pools keep two hosts until the first job is submitted
    Given an idle fleet
    When 8 seconds pass on the fleet
    Then each pool with a queue has 2 hosts
    When a job of 1 tasks of 4 cores with label "" is submitted
    And 8 seconds pass on the fleet
    Then each pool with a queue has 1 hosts

  Scenario: A host whose move is under way gets no work when demand returns
    Given a fleet whose surplus hosts are being moved by a cloud that takes 1 second
    When a job of 400 tasks of 4 cores with label "" is submitted
    And 15 seconds pass on the fleet
    Then every task of it was started once

  # Guards against tasks that wait for a slow cloud: surplus hosts counted repeatedly.
  Scenario: A pool keeps the hosts it needs while the moves of the others are slow
    Given a fleet whose surplus hosts are being moved by a cloud that takes 12 seconds
    When the pool of a queue loses the hosts that are not being moved, but 1
    And a job of 3 tasks of 4 cores with label "" is submitted
    And 1 seconds pass on the fleet
    And a job of 3 tasks of 4 cores with label "" is submitted whose tasks take 200 ms
    And 2 seconds pass on the fleet
    Then the job has ended

  # Guards against tasks that wait for the end of an exclusion, with spare hosts at hand.
  Scenario: A pool whose targets are excluded gets other hosts
    Given an idle fleet
    When 6 seconds pass on the fleet
    And all targets of its pool shed all starts for 20 seconds
    And a job of 3 tasks of 4 cores with label "" is submitted
    And 5 seconds pass on the fleet
    Then the job has ended

  Scenario: A move whose answers are lost ends the host's earlier incarnation only
    Given an idle fleet
    And a cloud that carries out moves without an answer for 4 seconds
    When a job of 400 tasks of 4 cores with label "" is submitted
    And 8 seconds pass on the fleet
    Then every task of it was started once
    And the leader counts the hosts of each pool as the cloud does

  Scenario Outline: A host is available again whose cloud <outcome> its move
    Given a fleet whose cloud <outcome> the moves of its surplus hosts
    When 6 seconds pass on the fleet
    And a job of 90 tasks of 4 cores with label "" is submitted
    And 6 seconds pass on the fleet
    Then every task of it was started once
    And no host is cordoned or waits for a call

    Examples:
      | outcome   |
      | throttles |
      | fails on  |

  Scenario: A delayed announcement brings no new work to a target that drains
    Given an idle fleet
    When a target announces that it drains, and an earlier announcement arrives later
    And a job of 90 tasks of 4 cores with label "" is submitted
    And 6 seconds pass on the fleet
    Then every task of it was started once
    And no task was started on the target that drains

  Scenario: A run that is lost with its target's incarnation is logged
    Given an idle fleet whose tasks take 3 seconds
    When a job of 3 tasks of 4 cores with label "" is submitted
    And the target of one of its tasks restarts
    And 6 seconds pass on the fleet
    Then the log has a run that ended "lost", and the end of the job

  Scenario Outline: Runs of a target that <what> restart elsewhere <when>
    Given an idle fleet whose tasks take 4 seconds
    When a job of 3 tasks of 4 cores with label "" is submitted
    And the host of one of its tasks <what>
    Then its tasks are restarted <min> to <max> seconds later

    Examples:
      | what       | when                                            | min | max |
      | goes down  | as soon as the cloud lists its host as down     | 0.0 | 1.6 |
      | is lost    | as soon as two lists lack its host              | 0.0 | 2.0 |
      | is cut off | after its lease, as it keeps running until then | 3.0 | 5.5 |

  Scenario Outline: The cloud's host list reduces late jobs after a lost rack on <site>
    Given a day of "<site>" with <trouble>
    When it is simulated with and without the cloud's host list
    Then at least 2 of 100 more jobs end in time with the host list
    And long-running tasks run for longer

    Examples:
      | site  | trouble   |
      | falaj | lost rack |
      | yayla | lost rack |

  Scenario: Hosts with long-running tasks are evacuated from the start, alongside idle ones
    Given 6 idle hosts, and 8 of a pool of 12 with 2 long-running tasks each
    Then of 6 that may be out at once, 3 with long-running tasks and 3 idle ones are chosen
