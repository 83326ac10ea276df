Feature: The cause of a failed job is found from its identifier

  Runs real processes, and the commands of docs/OPERATIONS.md on their logs.

  Background:
    Given three core machines, two entries and targets of two pools
    And the operator has sent a manifest with version 3

  Scenario: A request is refused although there is capacity
    When all core machines but the leader are killed
    And a caller submits a job that is refused
    Then the commands of docs/OPERATIONS.md show "not accepted: unavailable"
    And the deciding log line is "request answered" with "why" containing "no leader"

  Scenario: A job is accepted and late
    When a caller submits a job whose tasks take 1 seconds
    And the target of one of its tasks is lost and replaced
    And the job is shown as "completed" through every entry within 12 seconds
    Then the commands of docs/OPERATIONS.md show "ms late"
    And the deciding log line is "run ended" with "how" containing "lapsed"

  Scenario: A job fails
    When a caller submits a job that fails on every target
    And the job is shown as "failed" through every entry within 8 seconds
    Then the commands of docs/OPERATIONS.md show "failed after"
    And the deciding log line is "run ended" with "how" containing "failed"

  Scenario: Metrics report the leader and the outcome of requests
    When a caller submits a job of two steps with three tasks each
    And the job is shown as "completed" through every entry within 5 seconds
    Then one core machine reports that it leads, and counts 6 runs that are done
    And the entries count a submitted job

  Scenario: A stalled log reader blocks no request
    When the reader of an entry's log stalls
    Then 4000 requests through it are answered

  Scenario: Every log message of the programs is documented
    Then docs/OPERATIONS.md names every message of the platform's programs
