Feature: An unexpected error affects only the work that caused it

  Scenario Outline: A change set <what>, and the next one is committed
    Given scheduling cycles whose first change set <what>
    When two changes are submitted in one cycle, and a third one later
    Then the outcomes are <first>, <second> and <third>

    Examples:
      | what                            | first   | second  | third |
      | raises an error when proposed   | unknown | unknown | yes   |
      | raises an error once committed  | yes     | yes     | yes   |
      | is refused as impossible to encode | no   | no      | yes   |

  Scenario: A task of the leader that raises an error stops no other task
    Given an idle fleet
    And a task of the leader that raises an error on each tick and each commit
    When a job of 3 tasks of 4 cores with label "" is submitted
    And 3 seconds pass on the fleet
    Then every task of it was started once
    And the job has ended

  # Guards against a leader that neither plans, steps down nor looks after its targets.
  Scenario: An error in one tick of the leader doesn't end the later ones
    Given an idle fleet
    When one report of the load raises an error
    And 3 seconds pass on the fleet
    Then the leader has reported the load since

  # Guards against a leader that neither schedules nor steps down any more.
  Scenario Outline: The leader <fails> in its tick, once
    Given an idle fleet
    And a leader that <fails> in its tick, once
    When a job of 3 tasks of 4 cores with label "" is submitted
    And 3 seconds pass on the fleet
    Then the job has ended
    And the leader steps down once it has lost its lease

    Examples:
      | fails                          |
      | fails to report its load       |
      | fails to look for idle targets |

  # Guards against a filler that keeps a speed which nobody has set.
  Scenario: An order on the speed of a filler raises an error
    Given an idle fleet
    And a filler whose first order on its speed raises an error
    Then the order is sent again, once

  Scenario: A wave completes although the outcome of an upkeep's intent is unknown
    Given an idle fleet
    When a wave begins, and the outcome of its first change sets is unknown
    And 30 seconds pass on the fleet
    Then the wave is complete

  # Guards against jobs that are unknown to callers within the time they are kept.
  Scenario: An ended job is kept for its time although the time of day jumps ahead
    Given an idle fleet
    When a job of 3 tasks of 4 cores with label "" is submitted
    And 2 seconds pass on the fleet
    Then the job has ended
    When the time of day jumps ahead by 600 seconds
    And a job of 3 tasks of 4 cores with label "" is submitted
    And 120 seconds pass on the fleet
    Then 2 jobs are recorded
    When 50 seconds pass on the fleet
    Then 0 jobs are recorded
