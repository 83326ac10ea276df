Feature: Decisions that callers feel, each against the load that it answers

  Scenario: Jobs that can still be in time go first
    Given a heavy day of "falaj" whose pools keep their hosts
    When it is played in order of what can be in time, and first in, first out
    Then at least a tenth more of the jobs end in time than first in, first out
    And no more are given up

  Scenario Outline: Hosts follow the turns of demand
    Given a day of "<site>" at its usual load
    When it is played with hosts that move, and with hosts that stay
    Then callers get as many jobs in time, give or take 3 of 100
    And pools cost at most three quarters as many host-seconds

    Examples:
      | site  |
      | falaj |
      | yayla |

  Scenario: More hosts come to a pool that is asked for more than it holds
    Given a day of "falaj" at 1.3 times its usual load
    When it is played with hosts that move, and with hosts that stay
    Then more jobs end in time where hosts move

  Scenario: A target that fails all it starts does not draw the pool's work
    Given a day of "falaj" on which a target begins to fail all that it starts
    When it is played with and without the judgement of targets
    Then fewer runs fail where targets are judged

  Scenario: A target that lets its work stand still is emptied
    Given a day of "falaj" on which a target begins to let its work stand still
    When it is played with and without the judgement of targets
    Then every job ends where targets are judged, and not without it

  Scenario Outline: <what>
    When a job of <tasks> tasks of <cpu> cores with label "<label>" is handed in
    Then it is <verdict>

    Examples:
      | what                                               | tasks | cpu | label | verdict  |
      | A job that fits is accepted                        | 3     | 4   | a     | accepted |
      | A job that no host is large enough for is refused  | 1     | 65  | a     | refused  |
      | A job with a label that no host has is refused     | 1     | 4   | zz    | refused  |
      | A job that has to wait for other hosts is accepted | 300   | 4   |       | accepted |

  Scenario: A gang over its team's limit is refused, one task over it is not
    Given a team with an upper limit of 10 cores
    When a gang of 4 tasks of 5 cores with label "" is handed in
    Then it is refused
    When a job of 2 tasks of 12 cores with label "" is handed in
    Then it is accepted
    And its tasks run one after the other

  Scenario: A flood is refused before it takes the leader's memory, and told when to return
    Given a leader on which 200000 tasks are open
    When a job of 100 tasks of 1 cores with label "" is handed in
    Then it is accepted
    When jobs are handed in until 1000 more tasks are open
    Then those after the bound are refused, with 1 to 45 seconds to wait

  Scenario: A lost renewal right after the first start costs no run
    Given an idle fleet on which the next renewal of a lease is lost
    When a job of 3 tasks of 4 cores with label "" is handed in
    And 3 seconds pass on the fleet
    Then every task of it was started once

  Scenario: Pools keep two hosts until the first job has come
    Given an idle fleet
    When 8 seconds pass on the fleet
    Then each pool with a queue has 2 hosts
    When a job of 1 tasks of 4 cores with label "" is handed in
    And 8 seconds pass on the fleet
    Then each pool with a queue has 1 hosts

  Scenario: A run that is lost with its target's life is told of
    Given an idle fleet whose tasks take 3 seconds
    When a job of 3 tasks of 4 cores with label "" is handed in
    And the target of one of its tasks starts again
    And 6 seconds pass on the fleet
    Then the log tells of a run that ended "lost", and of the end of the job

  Scenario Outline: What a target ran that <what> starts elsewhere <when>
    Given an idle fleet whose tasks take 4 seconds
    When a job of 3 tasks of 4 cores with label "" is handed in
    And the host of one of its tasks <what>
    Then its tasks are started again <least> to <most> seconds after

    Examples:
      | what         | when                                     | least | most |
      | goes down    | as soon as the cloud lists its host so   | 0.0   | 1.6  |
      | is lost      | as soon as two lists do not name it      | 0.0   | 2.0  |
      | is cut off   | after its lease, as it runs on until then | 3.0   | 5.5  |

  Scenario Outline: A lost rack costs callers of <site> little
    Given a day of "<site>" with <trouble>
    When it is played with and without the cloud's word on lost hosts
    Then at least 2 of 100 jobs more end in time where the cloud is asked
    And lasting tasks are at work for longer

    Examples:
      | site  | trouble   |
      | falaj | lost rack |
      | yayla | lost rack |

  Scenario: Hosts with lasting tasks are emptied from the begin on, beside idle ones
    Given 6 idle hosts, and 8 of a pool of 12 with 2 lasting tasks each
    Then of 6 that may be out at once, 3 with lasting tasks and 3 idle ones are emptied
