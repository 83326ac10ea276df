Feature: The life of one job from the logs of many daemons

  Scenario Outline: <what>
    Given the log lines of "<example>"
    When "<subject>" is traced
    Then the verdict is "<verdict>"
    And the deciding line is "<deciding>"

    Examples:
      | what                                      | example  | subject | verdict                                | deciding         |
      | A job that was late for want of room      | late     | j1      | completed 702 ms late                  | tasks started    |
      | A job that lost a run                     | lost     | j1      | completed 900 ms late                  | run ended        |
      | A job that failed                         | failed   | j1      | failed after 2 failed runs             | run ended        |
      | A job in time                             | in time  | j1      | completed after 300 ms                 | job ended        |
      | A refused request                         | refused  | j1      | not accepted: unavailable, no leader   | request answered |
      | A request accepted at the second entry    | resent   | j1      | completed after 300 ms                 | job ended        |
      | A job that nothing is known of            | in time  | j9      | nothing is known of it                 | none             |
      | A job that waits                          | waiting  | j1      | accepted, nothing of it has started    | job submitted    |
      | A target by its name                      | lost     | i-1     | target is gone                         | target is gone   |

  Scenario: Clocks that differ by seconds are made to agree
    Given the log lines of "skewed"
    When "j1" is traced
    Then the lines are in the order "job submitted, request answered, tasks started, job ended"
    And the clock of "entry-1" is corrected by -2.001 seconds

  Scenario: Torn lines, other text and strange values are left aside
    Given the log lines of "torn"
    When "j1" is traced
    Then the verdict is "completed after 300 ms"

  Scenario: A log that is not read drops lines and counts them
    Given a log whose reader stands still
    When 5000 lines are logged, and 10 more once the reader goes on
    Then each line that arrives is whole, and the missing ones are counted
