Feature: A host that is being emptied for its upkeep doesn't keep jobs waiting

  # Guards against jobs that never run beside a host that can't be emptied (LOST).
  Scenario Outline: The only hosts with room run <what>, and their upkeep is due
    Given an idle fleet with fixed pools, and two targets with label "b"
    When a job of 2 <what> with label "b" is submitted, one for each target
    And 2 seconds pass on the fleet
    And the upkeep of the hosts of these targets is requested
    And 1 seconds pass on the fleet
    Then no new task may start on these targets
    When a job of 3 tasks of 4 cores with label "b" is submitted
    And 3 seconds pass on the fleet
    Then the job has ended

    Examples:
      | what                |
      | long-running tasks  |
      | tasks of 60 seconds |

  # Guards against long-running tasks that wait while hosts are emptied (LOST).
  Scenario: The only hosts with room for a long-running task are being emptied
    Given an idle fleet with fixed pools, and two targets with label "b"
    When a job of 2 long-running tasks with label "b" is submitted, one for each target
    And 2 seconds pass on the fleet
    And the upkeep of the hosts of these targets is requested
    And 1 seconds pass on the fleet
    And a job of 2 long-running tasks with label "b" is submitted, one for each target
    And 3 seconds pass on the fleet
    Then each of these targets runs 2 task

  # Guards against a wave that never ends because its hosts are reopened.
  Scenario: A host that was reopened is emptied again once nothing runs there
    Given an idle fleet with fixed pools, and two targets with label "b"
    When a job of 2 tasks of 5 seconds with label "b" is submitted, one for each target
    And 1 seconds pass on the fleet
    And the upkeep of the hosts of these targets is requested
    And 1 seconds pass on the fleet
    Then no new task may start on these targets
    When a job of 3 tasks of 4 cores with label "b" is submitted
    And 20 seconds pass on the fleet
    Then the job has ended
    And the upkeep of these hosts is done
